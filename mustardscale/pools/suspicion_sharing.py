"""Sends suspicions of requests that may crash endpoints to peers at once.

A pool's next owner must know of a first crash. Otherwise the request could
crash two more endpoints under that owner. Each host sends the changes since the
last notice that the peer's process confirmed. A new process has confirmed none
and gets all of them.
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

# Interval at which unconfirmed notices are repeated, seconds.
RETRY_INTERVAL_S = 0.25
# Interval at which peers are checked if no suspicion changes, seconds.
IDLE_INTERVAL_S = 5.0
CALL_TIMEOUT_S = 0.75
# Maximum number of suspicions in a notice. It stays well below the maximum size
# of a frame.
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
        """Sends each change, and repeats those that were not confirmed."""
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
        """Wakes the controller, which sends all suspicions to new processes."""
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
        """Sends changes to a process until it has confirmed all."""
        try:
            await self._send_changes(process)
        except PeerUnavailableError as error:
            log.debug('sending suspicions to %s failed: %s', process[0], error)
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
