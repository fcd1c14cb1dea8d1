"""Keeps the entries of entry hosts on a list that these hosts write."""

from __future__ import annotations

import asyncio
import logging
import random

from mustardscale.blackboard import Blackboard
from mustardscale.controller import Controller, pause
from mustardscale.exceptions import PeerUnavailableError
from mustardscale.hosts.host_list import HostList, ListedHost, ListedKind
from mustardscale.hosts.host_list_controller import HostListController
from mustardscale.hosts.rendezvous import owner

log = logging.getLogger(__name__)

RETRY_S = 0.5
CHECK_INTERVAL_S = 2.0
# Silence after which a host is removed from the list, seconds. This is longer
# than a host takes to restart, and than a network cut between hosts usually
# lasts.
RETIRE_AFTER_S = 15.0


def own_entry(board: Blackboard) -> ListedHost:
    """Returns the entry of this host."""
    return ListedHost(
        board.host,
        ListedKind.ENTRY,
        board.address,
        board.data_centre,
        board.region,
        capacity=board.capacity,
    )


class HostRegistration(Controller):
    """Adds this host to the list, and removes hosts that are gone."""

    def __init__(
        self,
        blackboard: Blackboard,
        host_list: HostList,
        controller: HostListController,
        rng: random.Random,
    ):
        self._blackboard = blackboard
        self._host_list = host_list
        self._controller = controller
        self._rng = rng

    async def run(self) -> None:
        """Announces this host until it is listed, then removes gone hosts."""
        await self._announce_until_listed()
        while True:
            await pause(CHECK_INTERVAL_S, self._rng)
            for host in self._hosts_to_retire():
                await self._retire(host)
            if not self._blackboard.draining and not self._is_listed():
                await self._announce_until_listed()

    async def withdraw(self) -> None:
        """Removes this host from the list, before it stops."""
        await self._retire(self._blackboard.host)

    async def _announce_until_listed(self) -> None:
        while not await self._announce():
            await pause(RETRY_S, self._rng)

    def _is_listed(self) -> bool:
        return own_entry(self._blackboard) in self._controller.listed

    async def _announce(self) -> bool:
        try:
            await self._host_list.announce(own_entry(self._blackboard))
        except PeerUnavailableError as error:
            log.warning('this host is not on the host list yet: %s', error)
            return False
        return True

    def _hosts_to_retire(self) -> list[str]:
        """Returns the gone hosts that this host must remove from the list."""
        board = self._blackboard
        now = asyncio.get_running_loop().time()
        live = board.live_hosts()
        return [
            host.id
            for host in board.hosts_by_id.values()
            if host.listed
            and host.silent
            and now - host.silent_since > RETIRE_AFTER_S
            and owner(f'retire {host.id}', live) == board.host
        ]

    async def _retire(self, host: str) -> None:
        try:
            await self._host_list.retire(host)
        except PeerUnavailableError as error:
            log.warning('host %s is still on the list: %s', host, error)
