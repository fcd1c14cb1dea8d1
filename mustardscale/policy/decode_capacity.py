"""Free KV memory for further streams on the decode engines of a pool."""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Collection

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
from mustardscale.policy.step_speeds import StepSpeeds

# Memory of a decode engine before its first report, in KV blocks (pieces).
DEFAULT_PIECES = 64
UNLIMITED_PIECES = 1 << 30
# While the pool is idle, the reports of each decode engine make the learnt step
# time decay by the share IDLE_FADE every IDLE_FADE_INTERVAL_S seconds.
IDLE_FADE = 0.05
IDLE_FADE_INTERVAL_S = 0.25
# Prior of a decode step's time: base, and addition by each stream, seconds.
STEP_BASE_S = 0.012
STEP_PER_STREAM_S = 0.0006
TYPICAL_STREAMS = 15.0
# Past states of the memory kept to compare delayed reports with.
HISTORY_LENGTH = 40
# A reported use may exceed the use by the reservations by this many tokens
# before memory counts as held by unknown streams.
COUNT_TOLERANCE_TOKENS = 4_000


def estimate_need(
    held: Reservation, step_s: float = math.inf, now: float = 0.0
) -> StreamNeed:
    """Returns the memory that a stream needs on its decode engine.

    Args:
        held: the stream's reservation.
        step_s: time of a decode step, seconds, from which the tokens emitted
            since the last report of progress are estimated; infinite to count
            reported tokens only.
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
    """Memory in use on one engine that no reservation accounts for.

    Attributes:
        pieces: KV blocks (pieces) held by streams that are not known here.
    """

    __slots__ = ('_history', 'pieces')

    def __init__(self):
        self.pieces = 0
        self._history: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=HISTORY_LENGTH
        )

    def observe(self, report: LoadReport, own: int, now: float) -> None:
        """Compares a delayed report with the reservations of its time.

        Args:
            report: the report.
            own: KV blocks that the present reservations use.
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
class EngineCapacity:
    """The capacity of one decode engine in a round of decisions.

    The present needs of the engine's streams are computed only if the sum of
    their largest needs exceeds the memory.

    Attributes:
        id: name of the engine.
        memory: the engine's memory, without the part that unknown streams use.
        share: the engine's reservations at the beginning of the round.
        held_step_s: time of a decode step with these reservations, seconds.
        now: loop time of the round.
        streams: number of streams, including those granted in this round.
        largest_pieces: sum of the streams' largest needs, KV blocks (pieces).
        failed_pieces: KV blocks for the prompt and the first token of the
            smallest request that did not fit in this round.
        step_s: expected time of a decode step with one more stream, seconds.
        speed_factor: its step time as a multiple of the pool's.
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
    speed_factor: float = 1.0
    _needs: list[StreamNeed] | None = None
    _held_pieces: int = 0

    @property
    def next_load(self) -> float:
        """Number of streams with one more, times the engine's step factor."""
        return (self.streams + 1) * self.speed_factor

    _placed: list[StreamNeed] = dataclasses.field(default_factory=list)

    def needs(self) -> list[StreamNeed]:
        """Returns the needs of the streams, computed at the first call."""
        if self._needs is None:
            # Sorted, so that a replay adds the same numbers in the same order.
            held_by_id = self.share.by_request_id
            self._needs = [
                estimate_need(held_by_id[key], self.held_step_s, self.now)
                for key in sorted(held_by_id)
            ]
            self._needs += self._placed
            self._held_pieces = sum(map(self._needed_pieces, self._needs))
        return self._needs

    def free_pieces(self) -> int:
        """Returns the KV blocks that are free beside the present needs."""
        self.needs()
        return self.memory.pieces_total - self._held_pieces

    def has_memory_for_largest(self, pieces: int) -> bool:
        """Returns whether more KV blocks fit beside the largest needs."""
        return self.largest_pieces + pieces <= self.memory.pieces_total

    def has_memory_now(self, pieces: int) -> bool:
        """Returns whether more KV blocks fit beside the present needs."""
        total = self.memory.pieces_total
        if self.largest_pieces + pieces <= total:
            return True
        if pieces > total:
            return False
        if self._needs is None:
            self.needs()
        return self._held_pieces + pieces <= total

    def place(self, need: StreamNeed) -> None:
        """Adds a stream that was granted in this round."""
        self._placed.append(need)
        if self._needs is not None:
            self._needs.append(need)
            self._held_pieces += self._needed_pieces(need)
        self.streams += 1
        self.largest_pieces += largest_pieces(need, self.memory.piece_tokens)

    def _needed_pieces(self, need: StreamNeed) -> int:
        return needed_pieces(need, self.memory.piece_tokens)


class DecodeCapacity:
    """Learnt data about decode engines, and their capacity in a round.

    Attributes:
        lengths: the learnt output lengths.
        learns_speeds: whether each engine's own step time is learnt.
    """

    def __init__(self, learns_speeds: bool = False):
        self.learns_speeds = learns_speeds
        self._speeds = StepSpeeds()
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
        """Learns from a load report of a decode engine."""
        share = pool.reservations_by_request_id.decode_share(engine_id)
        needs = [estimate_need(held) for held in share.by_request_id.values()]
        memory = DecodeMemory(report.pieces_total, report.piece_tokens)
        foreign = self._foreign_by_id.setdefault(engine_id, ForeignMemory())
        own = present_pieces(memory, needs) + share.copied_pieces
        foreign.observe(report, own, now)
        passed_s = now - self._reported_at_by_id.get(engine_id, now)
        self._reported_at_by_id[engine_id] = now
        step_s = report.step_s
        if self.learns_speeds:
            step_s = self._speeds.observe(
                engine_id, report, self.step_s(report.active), now
            )
        if report.active > 0 and step_s > 0:
            self._step_fit.observe(report.active, step_s)
        elif not pool.reservations_by_request_id:
            # An idle engine reports no steps: without decay, steps that were
            # slow once would keep all requests away for ever.
            intervals = passed_s / IDLE_FADE_INTERVAL_S
            self._step_fit.fade(1 - (1 - IDLE_FADE) ** intervals)

    def capacities(
        self, pool: PoolState, now: float
    ) -> dict[str, EngineCapacity]:
        """Returns the capacity of each usable decode engine, by its id."""
        capacities: dict[str, EngineCapacity] = {}
        for engine in pool.engines(EngineRole.DECODE):
            total = DEFAULT_PIECES
            if engine.report is not None:
                total = engine.report.pieces_total
            foreign = self._foreign_by_id.get(engine.id)
            if foreign is not None:
                total -= foreign.pieces
            capacities[engine.id] = self._engine_capacity(
                pool, engine.id, total, now
            )
        return capacities

    def _engine_capacity(
        self, pool: PoolState, engine_id: str, pieces_total: int, now: float
    ) -> EngineCapacity:
        share = pool.reservations_by_request_id.decode_share(engine_id)
        streams = len(share.by_request_id)
        return EngineCapacity(
            engine_id,
            DecodeMemory(pieces_total - share.copied_pieces, pool.piece_tokens),
            share,
            self.step_s(streams, engine_id),
            now,
            streams,
            share.largest_pieces,
            step_s=self.step_s(streams + 1, engine_id),
            speed_factor=self.speed_factor(engine_id),
        )

    def step_s(self, streams: int, engine_id: str = '') -> float:
        """Returns the expected time of a decode step, seconds.

        Args:
            streams: number of streams in the batch.
            engine_id: id of the engine, '' for the mean of the pool.
        """
        return self._step_fit.value(streams) * self._speeds.factor(engine_id)

    def speed_factor(self, engine_id: str) -> float:
        """Returns an engine's step time as a multiple of the pool's."""
        return self._speeds.factor(engine_id)

    def describe_factors(self) -> dict[str, float]:
        """Returns the learnt step factors by engine."""
        return self._speeds.list_factors()

    def min_first_step_s(self, engine_ids: Collection[str]) -> float:
        """Returns the step time of a single stream on the fastest engine."""
        return min(
            (self.step_s(1, engine_id) for engine_id in engine_ids),
            default=self.step_s(1),
        )

    def may_fit(
        self,
        capacity: EngineCapacity,
        pieces: int,
        step_s: float,
        reserve_pieces: int = 0,
    ) -> bool:
        """Returns whether a stream may fit, by a cheap test.

        If a request did not fit in this round, requests that need at least as
        much memory at first are assumed not to fit either.

        Args:
            capacity: the engine's capacity.
            pieces: KV blocks for the prompt and the first token.
            step_s: longest decode step that the stream accepts, seconds.
            reserve_pieces: KV blocks that must stay free beside the stream.
        """
        return (
            pieces < capacity.failed_pieces
            and capacity.step_s <= step_s
            and capacity.has_memory_now(pieces + reserve_pieces)
        )

    def fits(
        self, capacity: EngineCapacity, need: StreamNeed, epsilon: float
    ) -> bool:
        """Returns whether a stream is expected to fit until its end.

        Args:
            capacity: the engine's capacity.
            need: the stream's need; may_fit() must hold for it.
            epsilon: accepted probability that the memory runs out.
        """
        piece_tokens = capacity.memory.piece_tokens
        if capacity.has_memory_for_largest(largest_pieces(need, piece_tokens)):
            return True
        booking = self._booking_by_epsilon.get(epsilon)
        if booking is None:
            booking = ChernoffBooking(self.lengths, epsilon)
            self._booking_by_epsilon[epsilon] = booking
        fits = booking.fits_later(capacity.memory, [*capacity.needs(), need])
        if not fits:
            capacity.failed_pieces = needed_pieces(need, piece_tokens)
        return fits

    def place(self, capacity: EngineCapacity, need: StreamNeed) -> None:
        """Adds a stream that was granted in this round to an engine."""
        capacity.place(need)
        capacity.step_s = self.step_s(capacity.streams + 1, capacity.id)


def needed_pieces(need: StreamNeed, piece_tokens: int) -> int:
    """Returns the KV blocks that a stream needs up to its next token."""
    tokens = need.prompt_tokens + min(need.emitted + 1, need.max_tokens)
    return pieces_for(tokens, piece_tokens)


def largest_pieces(need: StreamNeed, piece_tokens: int) -> int:
    """Returns the KV blocks that a stream needs if it emits max_tokens."""
    return pieces_for(need.prompt_tokens + need.max_tokens, piece_tokens)
