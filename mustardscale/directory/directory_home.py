"""The request directory, which maps request ids to the hosts that serve them.

The directory home of an id is chosen by rendezvous hashing over the serving
hosts. It holds soft state: after a change of home the hosts that serve requests
register them again.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
import random

from mustardscale.background_tasks import BackgroundTasks
from mustardscale.blackboard import Blackboard, DirectoryRow
from mustardscale.controller import Controller, pause
from mustardscale.directory.directory_lines import DirectoryLine
from mustardscale.directory.directory_rules import Registration, may_replace
from mustardscale.exceptions import PeerUnavailableError
from mustardscale.hosts.quorum import has_quorum
from mustardscale.hosts.rendezvous import owner
from mustardscale.peers.directory_messages import (
    NOT_HOME,
    DirectoryEntry,
    DirectoryRegister,
    DirectoryRemove,
    DirectoryReply,
)
from mustardscale.peers.peer_calls import PeerCalls
from mustardscale.peers.peer_messages import Acknowledgement
from mustardscale.traces.trace import DecisionKind

log = logging.getLogger(__name__)

# Seconds for which a home keeps an entry that is not renewed.
UNRENEWED_RETENTION_S = 35.0
# Seconds for which a home keeps an entry that has ended.
ENDED_RETENTION_S = 120.0
CALL_TIMEOUT_S = 1.5
MIN_WAIT_S = 0.001
# Hosts must register their ids with a new home before it has settled, so a
# registration that is lost is repeated soon.
REBUILD_TIMEOUT_S = 0.5
REBUILD_PAUSE_S = 0.1
REBUILD_TRIES = 10
EXPIRY_INTERVAL_S = 5.0


class DirectoryHome(Controller):
    """Handles registrations of the ids whose home is this host."""

    def __init__(
        self,
        blackboard: Blackboard,
        calls: PeerCalls,
        settle_s: float,
        rng: random.Random,
    ):
        self._blackboard = blackboard
        self._settle_s = settle_s
        self._rng = rng
        self._calls = calls
        self._background = BackgroundTasks()
        self._processes: dict[str, int] = {}
        self._hosts: list[str] = []
        self._previous_hosts: list[str] = []
        self._changed_at = asyncio.get_running_loop().time()
        self._started_at = self._changed_at
        self._membership_changed = asyncio.Event()
        calls.handle(DirectoryRegister, self._on_register)
        calls.handle(DirectoryRemove, self._on_remove)

    async def run(self) -> None:
        """Removes expired entries at intervals of EXPIRY_INTERVAL_S."""
        while True:
            await pause(EXPIRY_INTERVAL_S, self._rng)
            self._expire()

    def follow_membership(self) -> None:
        """Records a change of the serving hosts."""
        hosts = self._blackboard.serving_hosts()
        self._hand_over_ended(hosts)
        if hosts == self._hosts:
            return
        self._previous_hosts = self._hosts
        self._hosts = hosts
        self._changed_at = asyncio.get_running_loop().time()
        self._membership_changed.set()
        self._membership_changed = asyncio.Event()

    def _hand_over_ended(self, hosts: list[str]) -> None:
        """Sends the entries of answered ids to their new homes."""
        board = self._blackboard
        processes = {
            host.id: host.incarnation
            for host in board.hosts_by_id.values()
            if host.id in hosts
        }
        known = self._processes
        self._processes = processes
        if processes == known and hosts == self._hosts:
            return
        before = [*known, board.host]
        entries_by_home: dict[str, list[DirectoryEntry]] = {}
        for row in board.directory_by_request_id.values():
            home = owner(row.entry.request_id, hosts)
            is_new = processes.get(home) != known.get(home)
            moved = owner(row.entry.request_id, before) != home
            if row.entry.done and home != board.host and (is_new or moved):
                entries_by_home.setdefault(home, []).append(row.entry)
        for home, entries in entries_by_home.items():
            self._background.start(self._send_ended(home, entries))

    async def _send_ended(
        self, home: str, entries: list[DirectoryEntry]
    ) -> None:
        tries = 0
        while entries and tries < REBUILD_TRIES:
            request = DirectoryRegister(entries[-1], rebuild=True)
            try:
                await self._calls.call(
                    home, request, DirectoryReply, REBUILD_TIMEOUT_S
                )
            except PeerUnavailableError as error:
                log.debug('ended ids not handed to %s: %s', home, error)
                tries += 1
                await pause(REBUILD_PAUSE_S, self._rng)
            else:
                entries.pop()

    def _home_since(self, request_id: str) -> float:
        """Returns the loop time at which this host became the id's home."""
        was_home = bool(self._previous_hosts) and (
            owner(request_id, self._previous_hosts) == self._blackboard.host
        )
        since = self._started_at if was_home else self._changed_at
        # While this host was cut off, another host was the home.
        return max(since, self._blackboard.quorum_gap_at)

    async def _on_register(
        self, sender: str, request: DirectoryRegister
    ) -> DirectoryReply:
        loop = asyncio.get_running_loop()
        request_id = request.entry.request_id
        if not request.rebuild:
            await self._settle(request_id)
            if not self._is_home(request_id):
                return DirectoryReply(False, NOT_HOME)
            if not has_quorum(self._blackboard, loop.time()):
                return DirectoryReply(False, 0.0)
        now = loop.time()
        known_s = now - self._home_since(request_id)
        rows = self._blackboard.directory_by_request_id
        row = rows.get(request_id)
        found = (row.entry,) if row is not None else ()
        accepted = row is None or self._may_replace(row, request)
        if accepted:
            entry = request.entry
            if row is not None and row.entry.done:
                entry = dataclasses.replace(entry, done=True)
            ended_at = now if entry.done else None
            rows[request_id] = DirectoryRow(entry, now, ended_at)
        return DirectoryReply(accepted, known_s, found)

    def _is_home(self, request_id: str) -> bool:
        """Returns whether this host, and no other, is the home of an id now."""
        board = self._blackboard
        return owner(request_id, board.serving_hosts()) == board.host

    async def _settle(self, request_id: str) -> None:
        """Waits until the hosts have had time to register with a new home.

        The wait ends as soon as another host is the home, so that the caller's
        patience is left for that one.
        """
        while (wait_s := self._settling_s(request_id)) > 0:
            with contextlib.suppress(TimeoutError):
                # With a wait below the resolution of the clock the loop would
                # never end.
                async with asyncio.timeout(max(wait_s, MIN_WAIT_S)):
                    await self._membership_changed.wait()

    def _settling_s(self, request_id: str) -> float:
        """Returns the seconds for which this host still settles as a home."""
        if not self._is_home(request_id):
            return 0.0
        settled_at = self._home_since(request_id) + self._settle_s
        return settled_at - asyncio.get_running_loop().time()

    def _may_replace(
        self, row: DirectoryRow, request: DirectoryRegister
    ) -> bool:
        registration = Registration(
            row.entry,
            request.entry,
            takeover=request.takeover,
            rebuild=request.rebuild,
            ended=row.ended_at is not None,
            holder_live=self._holder_is_live(row),
            before_gap=row.renewed_at < self._blackboard.quorum_gap_at,
        )
        accepted = may_replace(registration)
        self._blackboard.record_line(
            DirectoryLine,
            DecisionKind.DIRECTORY_DECIDED,
            registration=registration,
            accepted=accepted,
        )
        return accepted

    def _holder_is_live(self, row: DirectoryRow) -> bool:
        """Returns whether the process that holds an entry is live.

        A recent registration also shows that a process is live: the home may
        not have received a heartbeat yet from a process that has just started.
        """
        entry = row.entry
        if entry.host == self._blackboard.host:
            return entry.incarnation == self._blackboard.incarnation
        host = self._blackboard.hosts_by_id.get(entry.host)
        if host is None or host.incarnation < entry.incarnation:
            now = asyncio.get_running_loop().time()
            return now - row.renewed_at <= self._settle_s
        return not host.silent and host.incarnation == entry.incarnation

    async def _on_remove(
        self, sender: str, request: DirectoryRemove
    ) -> Acknowledgement:
        row = self._blackboard.directory_by_request_id.get(request.request_id)
        holder = (request.host, request.incarnation)
        if row is not None and holder == (
            row.entry.host,
            row.entry.incarnation,
        ):
            row.ended_at = asyncio.get_running_loop().time()
            row.entry = DirectoryEntry(
                row.entry.request_id,
                row.entry.fingerprint,
                row.entry.host,
                row.entry.incarnation,
                max(row.entry.attempt, request.attempt),
                row.entry.decode,
                row.entry.done or request.done,
            )
        return Acknowledgement()

    def _expire(self) -> None:
        now = asyncio.get_running_loop().time()
        rows = self._blackboard.directory_by_request_id
        expired = [
            request_id for request_id, row in rows.items() if _expired(row, now)
        ]
        for request_id in expired:
            del rows[request_id]


def _expired(row: DirectoryRow, now: float) -> bool:
    """Returns whether a row may be removed."""
    if row.ended_at is not None:
        return now - row.ended_at > ENDED_RETENTION_S
    return now - row.renewed_at > UNRENEWED_RETENTION_S
