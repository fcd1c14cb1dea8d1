"""Claims on the log, by which a non-idempotent request runs at most once."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import random
from collections.abc import Callable

import uuid_utils

from mustardscale.background_tasks import BackgroundTasks
from mustardscale.blackboard import Blackboard
from mustardscale.claims.claim_state import ClaimKind, ClaimRecord
from mustardscale.claims.claim_stream import ClaimStream
from mustardscale.controller import pause
from mustardscale.exceptions import (
    LogUnavailableError,
    LogUncertainError,
    OutcomeError,
)
from mustardscale.hosts.rendezvous import owner
from mustardscale.log.log_client import LogClient
from mustardscale.outcomes import Outcome

log = logging.getLogger(__name__)

STREAMS = ('claims-0',)
RETRY_AFTER_S = 2.0
# A claim must be confirmed by the log within this time, seconds.
CONFIRM_S = 3.0
# Pause before a claim that the log refused is appended again, seconds.
REFUSED_PAUSE_S = 0.1
# Ids older than this are refused; the log must retain claims for longer.
CLAIM_HORIZON_S = 600.0
# Tolerated difference between two wall clocks, seconds.
CLOCK_SKEW_S = 10.0


class Claims:
    """Claims ids for this process.

    Attributes:
        streams: the claims streams.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        client: LogClient,
        wall_clock: Callable[[], float],
        rng: random.Random,
    ):
        self._blackboard = blackboard
        self._wall_clock = wall_clock
        self._rng = rng
        self._serial = 0
        self._running: set[tuple[str, int, int]] = set()
        self._background = BackgroundTasks()
        self.streams = [
            ClaimStream(name, blackboard, client, wall_clock, rng)
            for name in STREAMS
        ]

    def stream_of(self, request_id: str) -> ClaimStream:
        """Returns the stream on which an id is claimed."""
        return self.streams[STREAMS.index(owner(request_id, STREAMS))]

    async def claim(
        self, request_id: str, fingerprint: int, known_s: float
    ) -> ClaimRecord:
        """Claims an id; when this returns, this host alone may run it.

        Args:
            request_id: the id, a UUIDv7.
            fingerprint: hash of the request's content.
            known_s: seconds for which it is certain that no other host began
                to serve the id.

        Raises:
            OutcomeError: another claim holds the id, or the log gave no
                certain answer; this host does not run the request.
        """
        minted_at = self._minted_at(request_id)
        stream = self.stream_of(request_id)
        self._check_age(stream, minted_at)
        self._check_held(stream, request_id, fingerprint)
        record = self._new_record(request_id, fingerprint)
        self._running.add(record.holder())
        try:
            async with asyncio.timeout(CONFIRM_S):
                await self._confirm(stream, record)
        except (LogUnavailableError, LogUncertainError, TimeoutError) as error:
            self.abandon(record)
            age_s = self._wall_clock() - minted_at
            fresh = known_s > age_s + CLOCK_SKEW_S
            raise OutcomeError(
                Outcome.LOG_UNAVAILABLE if fresh else Outcome.CLAIM_UNCERTAIN,
                retry_after_s=RETRY_AFTER_S,
            ) from error
        except asyncio.CancelledError:
            self.abandon(record)
            raise
        self._check_age(stream, minted_at)
        held = stream.state.held_by_id.get(request_id)
        if held is None or held.record.holder() != record.holder():
            self._running.discard(record.holder())
            self._check_held(stream, request_id, fingerprint)
            raise OutcomeError(Outcome.CLAIM_HOLDER_GONE)
        return record

    def check_known(self, request_id: str, fingerprint: int) -> None:
        """Checks an id against what this host has read of the claims.

        Raises:
            OutcomeError: the id is malformed, or an earlier send holds it.
        """
        self._minted_at(request_id)
        stream = self.stream_of(request_id)
        self._check_held(stream, request_id, fingerprint)

    def abandon(self, record: ClaimRecord) -> None:
        """Frees an id that this host claimed and will never run."""
        self._end(record, ClaimKind.ABANDONED)

    def finish(self, record: ClaimRecord, answered: bool) -> None:
        """Records how a call that was sent has ended."""
        kind = ClaimKind.DONE if answered else ClaimKind.ANSWER_LOST
        self._end(record, kind)

    def _minted_at(self, request_id: str) -> float:
        """Returns the wall-clock time that an id carries, seconds."""
        try:
            parsed = uuid_utils.UUID(request_id)
        except ValueError as error:
            raise OutcomeError(Outcome.INVALID_REQUEST_ID) from error
        if parsed.version != 7:
            raise OutcomeError(Outcome.INVALID_REQUEST_ID)
        minted_at = parsed.timestamp / 1000
        if minted_at > self._wall_clock() + CLOCK_SKEW_S:
            raise OutcomeError(
                Outcome.INVALID_REQUEST_ID, 'the id is from the future'
            )
        return minted_at

    def _check_age(self, stream: ClaimStream, minted_at: float) -> None:
        """Refuses ids whose earlier claims may have been forgotten."""
        oldest = max(
            self._wall_clock() - CLAIM_HORIZON_S,
            stream.state.covered_from + 2 * CLOCK_SKEW_S,
        )
        if minted_at < oldest:
            raise OutcomeError(Outcome.CLAIM_EXPIRED)

    def _check_held(
        self, stream: ClaimStream, request_id: str, fingerprint: int
    ) -> None:
        """Raises the outcome that fits the claim that holds an id."""
        held = stream.state.held_by_id.get(request_id)
        if held is None:
            return
        if held.record.fingerprint != fingerprint:
            raise OutcomeError(Outcome.REQUEST_ID_REUSED)
        if held.result is ClaimKind.DONE:
            raise OutcomeError(Outcome.ALREADY_COMPLETED)
        if held.result is ClaimKind.ANSWER_LOST:
            raise OutcomeError(Outcome.ANSWER_LOST)
        if self._holder_is_live(held.record):
            raise OutcomeError(Outcome.ALREADY_IN_PROGRESS)
        raise OutcomeError(Outcome.CLAIM_HOLDER_GONE)

    def _holder_is_live(self, record: ClaimRecord) -> bool:
        if record.host == self._blackboard.host:
            return record.holder() in self._running
        host = self._blackboard.hosts_by_id.get(record.host)
        if host is None or host.silent:
            return False
        return host.incarnation == record.incarnation

    def _new_record(self, request_id: str, fingerprint: int) -> ClaimRecord:
        self._serial += 1
        return ClaimRecord(
            ClaimKind.CLAIM,
            request_id,
            self._blackboard.host,
            self._blackboard.incarnation,
            self._serial,
            fingerprint,
            self._wall_clock(),
        )

    async def _confirm(self, stream: ClaimStream, record: ClaimRecord) -> None:
        """Appends a claim and reads the stream up to it."""
        while True:
            try:
                offset = await stream.append(record)
            except LogUnavailableError:
                await pause(REFUSED_PAUSE_S, self._rng)
            else:
                await stream.wait_folded(offset)
                return

    def _end(self, record: ClaimRecord, kind: ClaimKind) -> None:
        self._running.discard(record.holder())
        note = dataclasses.replace(
            record, kind=kind, written_at=self._wall_clock()
        )
        self._background.start(self._append_note(note))

    async def _append_note(self, note: ClaimRecord) -> None:
        """Appends what became of a claim, once the claim itself is read.

        A claim whose append gave no answer may reach the log late; a note
        before it would be lost on every reader.
        """
        stream = self.stream_of(note.request_id)
        try:
            async with asyncio.timeout(CLAIM_HORIZON_S):
                await stream.wait_held(note)
                while not await self._try_append(stream, note):
                    await pause(RETRY_AFTER_S, self._rng)
        except TimeoutError:
            log.debug('claim of %s never reached the log', note.request_id)

    async def _try_append(self, stream: ClaimStream, note: ClaimRecord) -> bool:
        try:
            await stream.append(note)
        except (LogUnavailableError, LogUncertainError):
            return False
        return True
