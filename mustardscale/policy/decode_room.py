"""Room for further streams on the decode engines of a pool."""

from __future__ import annotations

import collections
import dataclasses
import math

from mustardscale.endpoints.engines import EngineRole, LoadReport, StreamStage
from mustardscale.policy.base import DecodeShare, PoolState, Reservation
from mustardscale.policy.load_estimate import LineFit
from mustardscale.policy.memory_booking import (
    ChernoffBooking,
    DecodeMemory,
    StreamNeed,
    pieces_for,
    present_pieces,
)
from mustardscale.policy.output_lengths import OutputLengths

DEFAULT_PIECES = 64
UNLIMITED_PIECES = 1 << 30
# Share of the learnt step time forgotten in an interval by each decode engine's
# reports while the pool is idle, and the interval, seconds.
IDLE_FADE = 0.05
IDLE_FADE_INTERVAL_S = 0.25
# Prior of a decode step: base, and part of each stream, seconds.
STEP_BASE_S = 0.012
STEP_PER_STREAM_S = 0.0006
TYPICAL_STREAMS = 15.0
# Memory states kept to compare late reports with.
HISTORY_LENGTH = 40
# Tokens by which a report and our own count differ without cause.
COUNT_TOLERANCE_TOKENS = 4_000


def need_of(
    held: Reservation, step_s: float = math.inf, now: float = 0.0
) -> StreamNeed:
    """Returns what a stream needs of its decode engine.

    Args:
        held: the stream's reservation.
        step_s: time of a decode step; infinite to take the progress that was
            reported last for the present one.
        now: loop time.
    """
    stream = held.stream
    emitted = stream.emitted
    if stream.stage is StreamStage.DECODE and math.isfinite(step_s):
        emitted += int((now - held.renewed_at) / step_s)
        emitted = max(0, min(emitted, stream.max_tokens - 1))
    return StreamNeed(
        stream.service,
        stream.prompt_tokens,
        emitted,
        max(stream.max_tokens, emitted + 1),
        stream.hint_tokens,
    )


class ForeignMemory:
    """Memory of one engine that no reservation accounts for.

    Attributes:
        pieces: pieces held for streams that are not known here.
    """

    __slots__ = ('_history', 'pieces')

    def __init__(self):
        self.pieces = 0
        self._history: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=HISTORY_LENGTH
        )

    def observe(self, report: LoadReport, own: int, now: float) -> None:
        """Compares a late report with what was known at its time.

        Args:
            report: the report.
            own: pieces of the reservations at present.
            now: loop time.
        """
        self._history.append((now, own))
        moment = now - report.age_s
        then = self._history[0][1]
        for noted_at, pieces in self._history:
            if noted_at <= moment:
                then = pieces
        used = report.pieces_total - report.pieces_free
        tolerance = pieces_for(COUNT_TOLERANCE_TOKENS, report.piece_tokens)
        excess = used - max(then, own) - tolerance
        self.pieces = max(0, excess)


@dataclasses.dataclass(slots=True)
class EngineRoom:
    """One decode engine in a round of decisions.

    What its streams need now is worked out only if their largest needs do not
    fit together.

    Attributes:
        id: its name.
        memory: its memory, without what others hold.
        share: its reservations at the beginning of the round.
        held_step_s: time of a decode step with these, seconds.
        now: loop time of the round.
        streams: number of its streams.
        largest_pieces: pieces of its streams' largest needs.
        failed_pieces: least pieces of a request that did not fit.
        step_s: expected decode step with one more stream, seconds.
    """

    id: str
    memory: DecodeMemory
    share: DecodeShare
    held_step_s: float
    now: float
    streams: int
    largest_pieces: int
    failed_pieces: int = UNLIMITED_PIECES
    step_s: float = 0.0
    _needs: list[StreamNeed] | None = None
    _held_pieces: int = 0
    _placed: list[StreamNeed] = dataclasses.field(default_factory=list)

    def needs(self) -> list[StreamNeed]:
        """Returns what its streams need."""
        if self._needs is None:
            # In one order, so that a replay adds the same numbers alike.
            held_by_id = self.share.by_request_id
            self._needs = [
                need_of(held_by_id[key], self.held_step_s, self.now)
                for key in sorted(held_by_id)
            ]
            self._needs += self._placed
            self._held_pieces = sum(map(self._needed_pieces, self._needs))
        return self._needs

    def holds_largest(self, pieces: int) -> bool:
        """Returns whether there is room even if all needs are the largest."""
        return self.largest_pieces + pieces <= self.memory.pieces_total

    def holds_now(self, pieces: int) -> bool:
        """Returns whether there is room beside the streams' next tokens."""
        total = self.memory.pieces_total
        if self.largest_pieces + pieces <= total:
            return True
        if pieces > total:
            return False
        if self._needs is None:
            self.needs()
        return self._held_pieces + pieces <= total

    def place(self, need: StreamNeed) -> None:
        """Adds a stream."""
        self._placed.append(need)
        if self._needs is not None:
            self._needs.append(need)
            self._held_pieces += self._needed_pieces(need)
        self.streams += 1
        self.largest_pieces += largest_pieces(need, self.memory.piece_tokens)

    def _needed_pieces(self, need: StreamNeed) -> int:
        return needed_pieces(need, self.memory.piece_tokens)


class DecodeRooms:
    """What is learnt of decode engines, and their room in a round."""

    def __init__(self):
        self.lengths = OutputLengths()
        self._foreign_by_id: dict[str, ForeignMemory] = {}
        self._reported_at_by_id: dict[str, float] = {}
        self._step_fit = LineFit(
            STEP_BASE_S, STEP_PER_STREAM_S, TYPICAL_STREAMS
        )
        self._booking_by_epsilon: dict[float, ChernoffBooking] = {}

    def observe_report(
        self, pool: PoolState, engine_id: str, report: LoadReport, now: float
    ) -> None:
        """Takes in a load report of a decode engine."""
        share = pool.reservations_by_request_id.decode_share(engine_id)
        needs = [need_of(held) for held in share.by_request_id.values()]
        memory = DecodeMemory(report.pieces_total, report.piece_tokens)
        foreign = self._foreign_by_id.setdefault(engine_id, ForeignMemory())
        foreign.observe(report, present_pieces(memory, needs), now)
        passed_s = now - self._reported_at_by_id.get(engine_id, now)
        self._reported_at_by_id[engine_id] = now
        if report.active > 0 and report.step_s > 0:
            self._step_fit.observe(report.active, report.step_s)
        elif not pool.reservations_by_request_id:
            # Steps that were slow once must not keep all work away for ever.
            intervals = passed_s / IDLE_FADE_INTERVAL_S
            self._step_fit.fade(1 - (1 - IDLE_FADE) ** intervals)

    def rooms(self, pool: PoolState, now: float) -> dict[str, EngineRoom]:
        """Returns the usable decode engines by id."""
        rooms: dict[str, EngineRoom] = {}
        for engine in pool.engines(EngineRole.DECODE):
            total = DEFAULT_PIECES
            if engine.report is not None:
                total = engine.report.pieces_total
            foreign = self._foreign_by_id.get(engine.id)
            if foreign is not None:
                total -= foreign.pieces
            rooms[engine.id] = self._room(pool, engine.id, total, now)
        return rooms

    def _room(
        self, pool: PoolState, engine_id: str, pieces_total: int, now: float
    ) -> EngineRoom:
        share = pool.reservations_by_request_id.decode_share(engine_id)
        streams = len(share.by_request_id)
        return EngineRoom(
            engine_id,
            DecodeMemory(pieces_total, pool.piece_tokens),
            share,
            self.step_s(streams),
            now,
            streams,
            share.largest_pieces,
            step_s=self.step_s(streams + 1),
        )

    def step_s(self, streams: int) -> float:
        """Returns the expected time of a decode step."""
        return self._step_fit.value(streams)

    def may_fit(
        self,
        room: EngineRoom,
        pieces: int,
        step_s: float,
        left_pieces: int = 0,
    ) -> bool:
        """Returns whether a stream may fit, by a cheap test.

        A request that is not smaller than one that did not fit in this round
        is taken not to fit either.

        Args:
            room: the engine.
            pieces: pieces for the prompt and the first token.
            step_s: longest decode step that the stream accepts, seconds.
            left_pieces: pieces that the stream must leave free.
        """
        return (
            pieces < room.failed_pieces
            and room.step_s <= step_s
            and room.holds_now(pieces + left_pieces)
        )

    def fits(self, room: EngineRoom, need: StreamNeed, epsilon: float) -> bool:
        """Returns whether a stream that may fit does so until its end."""
        piece_tokens = room.memory.piece_tokens
        if room.holds_largest(largest_pieces(need, piece_tokens)):
            return True
        booking = self._booking_by_epsilon.get(epsilon)
        if booking is None:
            booking = ChernoffBooking(self.lengths, epsilon)
            self._booking_by_epsilon[epsilon] = booking
        fits = booking.fits_later(room.memory, [*room.needs(), need])
        if not fits:
            room.failed_pieces = needed_pieces(need, piece_tokens)
        return fits

    def place(self, room: EngineRoom, need: StreamNeed) -> None:
        """Adds a stream that was granted in this round."""
        room.place(need)
        room.step_s = self.step_s(room.streams + 1)


def needed_pieces(need: StreamNeed, piece_tokens: int) -> int:
    """Returns the pieces that a stream needs for its next token."""
    tokens = need.prompt_tokens + min(need.emitted + 1, need.max_tokens)
    return pieces_for(tokens, piece_tokens)


def largest_pieces(need: StreamNeed, piece_tokens: int) -> int:
    """Returns the pieces that a stream needs if it emits all it may."""
    return pieces_for(need.prompt_tokens + need.max_tokens, piece_tokens)
