"""Tells peers at once what crashes endpoints.

Each host tells all peers what it observed itself, until they confirm it. What
is new to it from others it passes on to few peers, and all that it knows to one
peer at a time and to new processes, so that hosts that are cut off from an
observer learn it too.
"""

from __future__ import annotations

import asyncio
import logging
import random

from mustardscale.background_tasks import BackgroundTasks
from mustardscale.blackboard import Blackboard
from mustardscale.controller import Controller
from mustardscale.exceptions import PeerUnavailableError
from mustardscale.hosts.rendezvous import rank
from mustardscale.peers.peer_calls import PeerCalls
from mustardscale.peers.peer_messages import Acknowledgement
from mustardscale.peers.suspicion_messages import SuspicionNotice
from mustardscale.quarantine.evidence_codec import (
    decode_evidence,
    encode_evidence,
)
from mustardscale.quarantine.suspicions import Suspicions

log = logging.getLogger(__name__)

# Interval at which unconfirmed notices are repeated, seconds.
RETRY_INTERVAL_S = 0.25
# Interval at which all evidence is sent to one peer, and at which peers are
# checked while there is none, seconds.
GOSSIP_INTERVAL_S = 1.0
IDLE_INTERVAL_S = 5.0
CALL_TIMEOUT_S = 0.75
# Maximum number of changes in a notice. It stays well below the maximum size
# of a frame.
MAX_NOTICE_ITEMS = 200
# Peers to which a host passes on what is new to it.
RELAY_PEERS = 2
# Hosts that send all evidence to a new process.
GREETING_HOSTS = 3
# Delay for each host, at random, before a survival is shared: of many hosts
# that know of it, few need to tell, seconds.
SURVIVAL_DELAY_PER_HOST_S = 0.001

Process = tuple[str, int]


class SuspicionSharing(Controller):
    """Sends evidence to the live peers."""

    def __init__(
        self,
        blackboard: Blackboard,
        calls: PeerCalls,
        suspicions: Suspicions,
        rng: random.Random,
    ):
        self._blackboard = blackboard
        self._calls = calls
        self._suspicions = suspicions
        self._rng = rng
        self._confirmed_by_process: dict[Process, int] = {}
        # The keys of the above, ordered.
        self._processes: list[Process] = []
        self._sending: dict[str, asyncio.Task[None]] = {}
        self._gossiped_at = 0.0
        self._sharing: asyncio.Task[None] | None = None
        # Number of the change after which to pass on changes, if any is due.
        self._relay_after: int | None = None
        self._relays = BackgroundTasks()
        calls.handle(SuspicionNotice, self._on_notice)

    async def run(self) -> None:
        """Sends each change, and repeats those that were not confirmed."""
        try:
            while True:
                self._send_to_peers()
                self._relay()
                self._gossip()
                await self._suspicions.changed.wait(self._interval_s())
        finally:
            for task in self._sending.values():
                task.cancel()
            self._relays.cancel()
            if self._sharing is not None:
                self._sharing.cancel()

    def _interval_s(self) -> float:
        if self._sending:
            return RETRY_INTERVAL_S
        if self._suspicions.changes:
            return GOSSIP_INTERVAL_S
        return IDLE_INTERVAL_S

    def follow_membership(self) -> None:
        """Wakes the controller, which sends the evidence to new processes."""
        self._suspicions.changed.notify()

    def _send_to_peers(self) -> None:
        new = self._update_processes()
        own_change = self._suspicions.own_change
        behind = [
            process
            for process, confirmed in self._confirmed_by_process.items()
            if confirmed < own_change or process in new
        ]
        for process in behind:
            if process[0] in self._sending:
                continue
            if process in new and self._greets(process):
                self._start(process, own_only=False)
            elif self._confirmed_by_process[process] < own_change:
                self._start(process, own_only=True)

    def _update_processes(self) -> set[Process]:
        """Updates the live peers' processes, and returns the new ones."""
        processes = {
            (host.id, host.incarnation)
            for host in self._blackboard.hosts_by_id.values()
            if not host.silent
        }
        known = self._confirmed_by_process
        if processes == known.keys():
            return set()
        self._confirmed_by_process = {
            process: known.get(process, 0) for process in processes
        }
        self._processes = sorted(processes)
        return processes - known.keys()

    def _greets(self, process: Process) -> bool:
        """Returns whether this host sends all evidence to a new process."""
        hosts = [
            host for host in self._blackboard.live_hosts() if host != process[0]
        ]
        first = rank(f'{process[0]} {process[1]}', hosts)[:GREETING_HOSTS]
        return self._blackboard.host in first

    def _relay(self) -> None:
        """Passes on what was new from others to some peers."""
        after = self._relay_after
        if after is None:
            return
        self._relay_after = None
        count = min(RELAY_PEERS, len(self._processes))
        for process in self._rng.sample(self._processes, count):
            self._relays.start(self._send_once(process, after))

    async def _send_once(self, process: Process, after: int) -> None:
        changes = self._suspicions.changed_after(after, False, MAX_NOTICE_ITEMS)
        if changes.is_empty:
            return
        now = asyncio.get_running_loop().time()
        try:
            await self._calls.call(
                process[0],
                encode_evidence(changes, now),
                Acknowledgement,
                CALL_TIMEOUT_S,
            )
        except PeerUnavailableError as error:
            log.debug('relaying to %s failed: %s', process[0], error)

    def _gossip(self) -> None:
        """Sends all evidence to a random peer, at an interval."""
        now = asyncio.get_running_loop().time()
        is_due = now - self._gossiped_at >= GOSSIP_INTERVAL_S
        if not is_due or not self._suspicions.changes:
            return
        free = [
            process
            for process in self._processes
            if process[0] not in self._sending
        ]
        if free:
            self._gossiped_at = now
            self._start(self._rng.choice(free), own_only=False)

    def _start(self, process: Process, own_only: bool) -> None:
        self._sending[process[0]] = asyncio.create_task(
            self._send(process, own_only)
        )

    async def _send(self, process: Process, own_only: bool) -> None:
        """Sends changes to a process until it has confirmed all."""
        try:
            await self._send_changes(process, own_only)
        except PeerUnavailableError as error:
            log.debug('sending suspicions to %s failed: %s', process[0], error)
        finally:
            del self._sending[process[0]]

    async def _send_changes(self, process: Process, own_only: bool) -> None:
        confirmed = 0
        if own_only:
            confirmed = self._confirmed_by_process.get(process, 0)
        while confirmed < self._suspicions.changes:
            changes = self._suspicions.changed_after(
                confirmed, own_only, MAX_NOTICE_ITEMS
            )
            if not changes.is_empty:
                now = asyncio.get_running_loop().time()
                await self._calls.call(
                    process[0],
                    encode_evidence(changes, now),
                    Acknowledgement,
                    CALL_TIMEOUT_S,
                )
            confirmed = changes.last_change
            if process in self._confirmed_by_process:
                self._confirmed_by_process[process] = max(
                    confirmed, self._confirmed_by_process[process]
                )

    async def _on_notice(
        self, sender: str, request: SuspicionNotice
    ) -> Acknowledgement:
        now = asyncio.get_running_loop().time()
        before = self._suspicions.changes
        self._suspicions.merge(decode_evidence(request, now))
        if self._suspicions.changes > before and self._relay_after is None:
            self._relay_after = before
        if self._sharing is None and self._suspicions.has_unshared_survivals():
            self._sharing = asyncio.create_task(self._share_survivals())
        return Acknowledgement()

    async def _share_survivals(self) -> None:
        """Shares survivals, after a delay in which others may have."""
        hosts = len(self._blackboard.hosts_by_id) + 1
        delay_s = hosts * SURVIVAL_DELAY_PER_HOST_S * self._rng.random()
        await asyncio.sleep(delay_s)
        self._sharing = None
        self._suspicions.share_survivals()
