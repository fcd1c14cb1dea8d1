"""Copies the host list from peers while it cannot be read."""

from __future__ import annotations

import logging
import random
from collections.abc import Sequence

import msgspec

from mustardscale.blackboard import Blackboard
from mustardscale.compression import CompressionError, compress, decompress
from mustardscale.controller import Controller, pause
from mustardscale.exceptions import PeerUnavailableError
from mustardscale.hosts.host_list import HostList, ListedKind
from mustardscale.hosts.host_list_controller import HostListController
from mustardscale.hosts.host_registration import own_entry
from mustardscale.hosts.listed_entries import UnusableEntries, decode_entries
from mustardscale.json_content import decode_json
from mustardscale.peers.peer_calls import PeerCalls
from mustardscale.peers.peer_messages import HostListFetch, HostListFetchReply

log = logging.getLogger(__name__)

INTERVAL_S = 0.3
CALL_TIMEOUT_S = 0.5
# Decompressed size of a peer's list at most, bytes.
MAX_LIST_BYTES = 16 * 1024 * 1024


class HostListCopy(Controller):
    """Requests the list from peers, and answers their requests for it."""

    def __init__(
        self,
        blackboard: Blackboard,
        calls: PeerCalls,
        host_list: HostList,
        controller: HostListController,
        seed_addresses: Sequence[str],
        rng: random.Random,
    ):
        """Prepares the copying.

        Args:
            blackboard: the blackboard.
            calls: calls to peers.
            host_list: the list, by which this host knows if it is current.
            controller: merges the copies.
            seed_addresses: 'ip:port' of peers to ask while no peer is known.
            rng: chooses the peer to ask, and the jitter of the interval.
        """
        self._blackboard = blackboard
        self._calls = calls
        self._host_list = host_list
        self._controller = controller
        self._seeds = [
            address
            for address in seed_addresses
            if address != blackboard.address
        ]
        self._rng = rng
        self._unusable = UnusableEntries("a peer's copy")
        calls.handle(HostListFetch, self._on_fetch)

    async def run(self) -> None:
        """Asks one peer at a time while the list is out of date."""
        while True:
            await pause(INTERVAL_S, self._rng)
            if not self._host_list.is_current():
                await self._ask()

    async def _ask(self) -> None:
        request = HostListFetch(self._controller.version, takes_compressed=True)
        peers = [
            host
            for host in self._blackboard.live_hosts()
            if host != self._blackboard.host
        ]
        try:
            if peers:
                reply = await self._calls.call(
                    self._rng.choice(peers),
                    request,
                    HostListFetchReply,
                    CALL_TIMEOUT_S,
                )
            elif self._seeds:
                reply = await self._calls.call_address(
                    self._rng.choice(self._seeds),
                    request,
                    HostListFetchReply,
                    CALL_TIMEOUT_S,
                )
            else:
                return
        except PeerUnavailableError as error:
            log.debug('host list not copied from a peer: %s', error)
            return
        self._merge_reply(reply)

    def _merge_reply(self, reply: HostListFetchReply) -> None:
        try:
            content = reply.content
            if reply.is_compressed:
                content = decompress(content, MAX_LIST_BYTES)
            raws = decode_json(content, list[msgspec.Raw])
        except (CompressionError, msgspec.MsgspecError) as error:
            log.warning('unreadable host list from a peer: %s', error)
            return
        # The peer has checked the addresses.
        self._unusable.begin()
        listed = decode_entries(map(bytes, raws), self._unusable, False)
        if self._controller.copy(listed, reply.version):
            log.info('host list copied from a peer, version %d', reply.version)
        else:
            self._controller.add_hosts(listed)

    async def _on_fetch(
        self, sender: str, request: HostListFetch
    ) -> HostListFetchReply:
        version = self._controller.version
        listed = [
            host
            for host in self._controller.listed
            if version > request.version or host.kind is ListedKind.ENTRY
        ]
        # This host may not be on the list yet.
        listed.append(own_entry(self._blackboard))
        content = msgspec.json.encode(listed)
        if request.takes_compressed:
            content = compress(content)
        return HostListFetchReply(version, content, request.takes_compressed)
