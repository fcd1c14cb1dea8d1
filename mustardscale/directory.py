"""The request directory: which host serves which request id.

The home of an id is chosen by rendezvous hashing over the serving hosts. It
holds soft state: after a change of home the hosts that serve requests register
them again.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import random
from collections.abc import Coroutine
from typing import Any

from mustardscale.blackboard import Blackboard, DirectoryRow, ServedRequest
from mustardscale.controller import Controller, pause
from mustardscale.exceptions import OutcomeError, PeerUnavailableError
from mustardscale.membership import QUORUM_LEASE_S
from mustardscale.outcomes import Outcome
from mustardscale.peer_calls import PeerCalls
from mustardscale.peers import (
    Acknowledgement,
    DirectoryEntry,
    DirectoryRegister,
    DirectoryRemove,
    DirectoryReply,
)
from mustardscale.rendezvous import owner, rank

log = logging.getLogger(__name__)

# Interval at which a host registers again what it still serves, seconds.
RENEWAL_S = 10.0
# Seconds for which a home keeps an entry that is not registered again.
UNRENEWED_MEMORY_S = 35.0
# Seconds for which a home remembers entries that have ended.
ENDED_MEMORY_S = 120.0
CALL_TIMEOUT_S = 1.5
SHORTEST_WAIT_S = 0.001
RETRY_AFTER_S = 2.0
# Time for which a caller that resumes waits for the death of its id's home to
# be noticed and for the next home to settle, seconds.
TAKEOVER_PATIENCE_S = 7.0
# The same for any other request, and for a home that is leaving.
HANDOVER_PATIENCE_S = 1.0
REGISTER_RETRY_S = 0.1
EXPIRY_INTERVAL_S = 5.0


class DirectoryHome(Controller):
    """Answers for the ids whose home is this host."""

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
        self._tasks: set[asyncio.Task[None]] = set()
        self._processes: dict[str, int] = {}
        self._hosts: list[str] = []
        self._previous_hosts: list[str] = []
        self._changed_at = asyncio.get_running_loop().time()
        self._started_at = self._changed_at
        calls.handle(DirectoryRegister, self._on_register)
        calls.handle(DirectoryRemove, self._on_remove)

    async def run(self) -> None:
        """Forgets ended entries."""
        while True:
            await pause(EXPIRY_INTERVAL_S, self._rng)
            self._expire()

    def follow_membership(self) -> None:
        """Notes a change of the serving hosts."""
        hosts = self._blackboard.serving_hosts()
        self._hand_over_ended(hosts)
        if hosts == self._hosts:
            return
        self._previous_hosts = self._hosts
        self._hosts = hosts
        self._changed_at = asyncio.get_running_loop().time()

    def _hand_over_ended(self, hosts: list[str]) -> None:
        """Tells processes that are new as homes which ids were answered."""
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
            task = asyncio.create_task(self._tell_ended(home, entries))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _tell_ended(
        self, home: str, entries: list[DirectoryEntry]
    ) -> None:
        for entry in entries:
            request = DirectoryRegister(entry, rebuild=True)
            try:
                await self._calls.call(
                    home, request, DirectoryReply, CALL_TIMEOUT_S
                )
            except PeerUnavailableError as error:
                log.debug('ended ids not handed to %s: %s', home, error)
                return

    def _in_charge_since(self, request_id: str) -> float:
        """Returns the loop time since when this host is the id's home."""
        was_home = bool(self._previous_hosts) and (
            owner(request_id, self._previous_hosts) == self._blackboard.host
        )
        since = self._started_at if was_home else self._changed_at
        # While this host was silent another one was the home.
        return max(since, self._blackboard.quorum_gap_at)

    async def _on_register(
        self, sender: str, request: DirectoryRegister
    ) -> DirectoryReply:
        request_id = request.entry.request_id
        if not request.rebuild:
            await self._settle(request_id)
            if not self._may_answer(request_id):
                return DirectoryReply(False, 0.0)
        now = asyncio.get_running_loop().time()
        known_s = now - self._in_charge_since(request_id)
        rows = self._blackboard.directory_by_request_id
        row = rows.get(request_id)
        found = (row.entry,) if row is not None else ()
        accepted = row is None or self._may_replace(row, request)
        if accepted:
            ended_at = now if request.entry.done else None
            rows[request_id] = DirectoryRow(request.entry, now, ended_at)
        return DirectoryReply(accepted, known_s, found)

    def _may_answer(self, request_id: str) -> bool:
        """Returns whether no other host can be the home of an id now."""
        board = self._blackboard
        now = asyncio.get_running_loop().time()
        if now - board.quorum_at > QUORUM_LEASE_S:
            return False
        return owner(request_id, board.serving_hosts()) == board.host

    async def _settle(self, request_id: str) -> None:
        """Waits until the hosts had time to register with a new home."""
        loop = asyncio.get_running_loop()
        settled_at = self._in_charge_since(request_id) + self._settle_s
        while (wait_s := settled_at - loop.time()) > 0:
            # A rest below the clock's resolution would be slept for ever.
            await asyncio.sleep(max(wait_s, SHORTEST_WAIT_S))
            settled_at = self._in_charge_since(request_id) + self._settle_s

    def _may_replace(
        self, row: DirectoryRow, request: DirectoryRegister
    ) -> bool:
        old = row.entry
        new = request.entry
        same_holder = (old.host, old.incarnation) == (
            new.host,
            new.incarnation,
        )
        if same_holder:
            return not old.done
        if request.rebuild:
            return row.ended_at is None and self._may_rebuild(row, new)
        if old.fingerprint != new.fingerprint:
            return False
        if old.done:
            return False
        return (
            row.ended_at is not None
            or request.takeover
            or not self._holder_is_live(old)
        )

    def _may_rebuild(self, row: DirectoryRow, new: DirectoryEntry) -> bool:
        """Returns whether a holder's own word outweighs another's.

        With equal attempts the first stands: a host whose stream was taken
        over while it was frozen may still claim it.
        """
        return (
            new.attempt > row.entry.attempt
            or not self._holder_is_live(row.entry)
            or row.renewed_at < self._blackboard.quorum_gap_at
        )

    def _holder_is_live(self, entry: DirectoryEntry) -> bool:
        if entry.host == self._blackboard.host:
            return entry.incarnation == self._blackboard.incarnation
        host = self._blackboard.hosts_by_id.get(entry.host)
        if host is None or host.silent:
            return False
        return host.incarnation == entry.incarnation

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
    """Returns whether a row may be forgotten."""
    if row.ended_at is not None:
        return now - row.ended_at > ENDED_MEMORY_S
    return now - row.renewed_at > UNRENEWED_MEMORY_S


class DirectoryClient(Controller):
    """Registers the requests that this host serves with their homes."""

    def __init__(
        self, blackboard: Blackboard, calls: PeerCalls, rng: random.Random
    ):
        self._blackboard = blackboard
        self._calls = calls
        self._rng = rng
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Registers again, at a fixed interval, what is still served."""
        while True:
            await pause(RENEWAL_S, self._rng)
            for served in list(self._blackboard.served_by_id.values()):
                if served.home and not served.taken_over:
                    self._start(self._rebuild(served))

    async def register(
        self, served: ServedRequest, takeover: bool = False
    ) -> DirectoryReply:
        """Registers a request before anything is done for it.

        The home may be leaving, so the next one is asked too. A caller that
        resumes waits longer: with the host of its stream the home may have
        died.

        Args:
            served: the request.
            takeover: whether its caller resumes what another host may hold.

        Raises:
            OutcomeError: DIRECTORY_UNAVAILABLE, when no home gave an answer.
        """
        loop = asyncio.get_running_loop()
        patience_s = TAKEOVER_PATIENCE_S if takeover else HANDOVER_PATIENCE_S
        give_up_at = loop.time() + patience_s
        try:
            while True:
                try:
                    return await self._ask_home(served, takeover)
                except OutcomeError:
                    if loop.time() >= give_up_at:
                        raise
                await asyncio.sleep(REGISTER_RETRY_S)
        except BaseException:
            self.remove(served, done=False)
            raise

    async def _ask_home(
        self, served: ServedRequest, takeover: bool
    ) -> DirectoryReply:
        home = owner(served.id, self._blackboard.serving_hosts())
        # The home may act although its reply is lost; remove() needs to know.
        served.home = home
        request = DirectoryRegister(self._entry(served), takeover)
        try:
            reply = await self._calls.call(
                home, request, DirectoryReply, CALL_TIMEOUT_S * 2
            )
        except PeerUnavailableError as error:
            raise OutcomeError(
                Outcome.DIRECTORY_UNAVAILABLE, str(error), RETRY_AFTER_S
            ) from error
        if not reply.accepted and not reply.found:
            raise OutcomeError(
                Outcome.DIRECTORY_UNAVAILABLE, retry_after_s=RETRY_AFTER_S
            )
        return reply

    def update(self, served: ServedRequest) -> None:
        """Tells the home of a new attempt or endpoint, without waiting."""
        self._start(self._rebuild(served))

    def remove(self, served: ServedRequest, done: bool) -> None:
        """Ends a registration, without waiting.

        That an id was answered must outlive its home: this host and the one
        that would be the next home remember it too.
        """
        if not served.home:
            return
        self._start(self._remove(served, done))
        if done:
            ranked = rank(served.id, self._blackboard.serving_hosts())
            hosts = {*ranked[:2], self._blackboard.host} - {served.home}
            for host in sorted(hosts):
                self._start(self._copy(served, host))

    async def _copy(self, served: ServedRequest, host: str) -> None:
        entry = dataclasses.replace(self._entry(served), done=True)
        request = DirectoryRegister(entry, rebuild=True)
        try:
            await self._calls.call(
                host, request, DirectoryReply, CALL_TIMEOUT_S
            )
        except PeerUnavailableError as error:
            log.debug('end of %s not copied to %s: %s', served.id, host, error)

    def follow_membership(self) -> None:
        """Registers requests again whose home has changed."""
        hosts = self._blackboard.serving_hosts()
        for served in list(self._blackboard.served_by_id.values()):
            home = owner(served.id, hosts)
            if served.home and served.home != home and not served.taken_over:
                served.home = home
                self._start(self._rebuild(served))

    async def confirm(self, served: ServedRequest) -> bool:
        """Asks the home whether this host still holds a request.

        Used after a pause of this process, before more is sent to the caller.
        """
        request = DirectoryRegister(self._entry(served))
        try:
            home = owner(served.id, self._blackboard.serving_hosts())
            reply = await self._calls.call(
                home, request, DirectoryReply, CALL_TIMEOUT_S * 2
            )
        except PeerUnavailableError:
            return False
        return reply.accepted

    def _entry(self, served: ServedRequest) -> DirectoryEntry:
        return DirectoryEntry(
            request_id=served.id,
            fingerprint=served.fingerprint,
            host=self._blackboard.host,
            incarnation=self._blackboard.incarnation,
            attempt=served.tag.attempt if served.tag else 0,
            decode=served.decode,
        )

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _rebuild(self, served: ServedRequest) -> None:
        request = DirectoryRegister(self._entry(served), rebuild=True)
        try:
            await self._calls.call(
                served.home, request, DirectoryReply, CALL_TIMEOUT_S
            )
        except PeerUnavailableError as error:
            log.debug('request %s not registered: %s', served.id, error)

    async def _remove(self, served: ServedRequest, done: bool) -> None:
        request = DirectoryRemove(
            served.id,
            self._blackboard.host,
            self._blackboard.incarnation,
            served.tag.attempt if served.tag else 0,
            done,
        )
        try:
            await self._calls.call(
                served.home, request, Acknowledgement, CALL_TIMEOUT_S
            )
        except PeerUnavailableError as error:
            log.debug('request %s not removed: %s', served.id, error)


def check_reply(reply: DirectoryReply, served: ServedRequest) -> None:
    """Turns a directory's refusal into the caller's outcome.

    Raises:
        OutcomeError: another send of the id is or was served.
    """
    if reply.accepted:
        return
    found = reply.found[0]
    if found.fingerprint != served.fingerprint:
        raise OutcomeError(Outcome.REQUEST_ID_REUSED)
    if found.done:
        raise OutcomeError(Outcome.ALREADY_COMPLETED)
    raise OutcomeError(Outcome.ALREADY_IN_PROGRESS)
