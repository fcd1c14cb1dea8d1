"""Which hosts and endpoints are there, from the host list."""

from __future__ import annotations

import asyncio
import logging
import random

from mustardscale.blackboard import Blackboard, EndpointEntry, HostEntry
from mustardscale.controller import Controller, pause
from mustardscale.exceptions import PeerUnavailableError
from mustardscale.hosts.host_list import HostList, ListedHost, ListedKind
from mustardscale.hosts.membership import MembershipTimes

log = logging.getLogger(__name__)

# Hosts unlisted and silent for this long are forgotten, seconds.
FORGET_AFTER_S = 60.0


class HostListController(Controller):
    """Reads the host list into the blackboard."""

    def __init__(
        self,
        blackboard: Blackboard,
        host_list: HostList,
        times: MembershipTimes,
        rng: random.Random,
    ):
        self._blackboard = blackboard
        self._host_list = host_list
        self._times = times
        self._rng = rng
        self.fetched_at: float | None = None
        self._applied: list[ListedHost] | None = None

    async def run(self) -> None:
        """Reads the list at a fixed interval."""
        while True:
            try:
                listed = await self._host_list.fetch()
            except PeerUnavailableError as error:
                log.warning('host list not read, keeping the last: %s', error)
            else:
                self.fetched_at = asyncio.get_running_loop().time()
                self.apply(listed)
            await pause(self._times.host_list_s, self._rng)

    def apply(self, listed: list[ListedHost]) -> None:
        """Merges one reading of the list."""
        self._blackboard.host_list_read = True
        now = asyncio.get_running_loop().time()
        changed = self._apply_hosts(listed, now)
        if listed is not self._applied:
            changed = self._apply_endpoints(listed) or changed
            self._applied = listed
        if changed:
            self._blackboard.membership_changed.notify()

    def _apply_hosts(self, listed: list[ListedHost], now: float) -> bool:
        hosts_by_id = self._blackboard.hosts_by_id
        entries = [
            host
            for host in listed
            if host.kind is ListedKind.ENTRY
            and host.id != self._blackboard.host
        ]
        changed = False
        for host in entries:
            known = hosts_by_id.get(host.id)
            if known is None or known.address != host.address:
                hosts_by_id[host.id] = HostEntry(
                    host.id,
                    host.address,
                    host.data_centre,
                    host.operators_address,
                    silent_since=now,
                )
                changed = True
        listed_ids = {host.id for host in entries}
        for known in list(hosts_by_id.values()):
            known.listed = known.id in listed_ids
            gone = known.silent and now - known.silent_since > FORGET_AFTER_S
            if not known.listed and gone:
                del hosts_by_id[known.id]
                changed = True
        return changed

    def _apply_endpoints(self, listed: list[ListedHost]) -> bool:
        endpoints_by_id = self._blackboard.endpoints_by_id
        entries = [host for host in listed if host.kind is not ListedKind.ENTRY]
        changed = False
        for host in entries:
            known = endpoints_by_id.get(host.id)
            if known is None or known.address != host.address:
                known = endpoints_by_id[host.id] = _endpoint_of(host)
                self._blackboard.place(known)
                changed = True
            if known.listed_leaving != host.leaving or not known.listed:
                known.listed_leaving = host.leaving
                known.listed = True
                changed = True
        listed_ids = {host.id for host in entries}
        for known in list(endpoints_by_id.values()):
            if known.id not in listed_ids:
                del endpoints_by_id[known.id]
                changed = True
        return changed


def _endpoint_of(host: ListedHost) -> EndpointEntry:
    """Makes the blackboard's entry of a listed endpoint."""
    return EndpointEntry(
        id=host.id,
        kind=host.kind,
        address=host.address,
        data_centre=host.data_centre,
        region=host.region,
        service=host.service,
        model=host.model,
        role=host.role,
        fencing=host.fencing,
        listed_model=host.model,
        listed_role=host.role,
    )
