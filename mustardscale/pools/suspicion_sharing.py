"""Tells peers at once which requests are suspected of crashing endpoints.

A pool's next owner must know of a first crash, or the request could crash two
more endpoints under it. Each host passes on what changed since the peer's
process last confirmed a notice, so that a process that starts learns all.
"""

from __future__ import annotations

import asyncio
import logging

from mustardscale.blackboard import Blackboard
from mustardscale.controller import Controller
from mustardscale.exceptions import PeerUnavailableError
from mustardscale.peers.peer_calls import PeerCalls
from mustardscale.peers.peer_messages import Acknowledgement, SuspicionNotice
from mustardscale.pools.quarantine import Suspicions

log = logging.getLogger(__name__)

# Interval at which notices without an answer are repeated, seconds.
RETRY_INTERVAL_S = 0.25
# Interval at which peers are looked at without a change, seconds.
IDLE_INTERVAL_S = 5.0
CALL_TIMEOUT_S = 0.75
# Suspicions in one notice at most, so that it stays well below a frame.
MAX_NOTICE_ITEMS = 500


class SuspicionSharing(Controller):
    """Sends changed suspicions to every live peer until it confirms them."""

    def __init__(
        self, blackboard: Blackboard, calls: PeerCalls, suspicions: Suspicions
    ):
        self._blackboard = blackboard
        self._calls = calls
        self._suspicions = suspicions
        self._confirmed_by_process: dict[tuple[str, int], int] = {}
        self._sending: dict[str, asyncio.Task[None]] = {}
        calls.handle(SuspicionNotice, self._on_notice)

    async def run(self) -> None:
        """Sends at each change, and again what was not confirmed."""
        try:
            while True:
                self._send_to_peers()
                interval_s = IDLE_INTERVAL_S
                if self._sending:
                    interval_s = RETRY_INTERVAL_S
                await self._suspicions.changed.wait(interval_s)
        finally:
            for task in self._sending.values():
                task.cancel()

    def follow_membership(self) -> None:
        """Tells a process that is new."""
        self._suspicions.changed.notify()

    def _send_to_peers(self) -> None:
        processes = {
            (host.id, host.incarnation)
            for host in self._blackboard.hosts_by_id.values()
            if not host.silent
        }
        self._confirmed_by_process = {
            process: self._confirmed_by_process.get(process, 0)
            for process in processes
        }
        for process, confirmed in self._confirmed_by_process.items():
            host = process[0]
            behind = confirmed < self._suspicions.changes
            if behind and host not in self._sending:
                self._sending[host] = asyncio.create_task(self._send(process))

    async def _send(self, process: tuple[str, int]) -> None:
        """Sends until a peer's process has confirmed all changes."""
        try:
            await self._send_changes(process)
        except PeerUnavailableError as error:
            log.debug('suspicions not told to %s: %s', process[0], error)
        finally:
            del self._sending[process[0]]

    async def _send_changes(self, process: tuple[str, int]) -> None:
        confirmed = self._confirmed_by_process.get(process, 0)
        while confirmed < self._suspicions.changes:
            items, last_change = self._suspicions.changed_after(
                confirmed, MAX_NOTICE_ITEMS
            )
            await self._calls.call(
                process[0],
                SuspicionNotice(items),
                Acknowledgement,
                CALL_TIMEOUT_S,
            )
            confirmed = last_change
            self._confirmed_by_process[process] = confirmed

    async def _on_notice(
        self, sender: str, request: SuspicionNotice
    ) -> Acknowledgement:
        self._suspicions.merge(request.items)
        return Acknowledgement()
