"""Ways to decide whether another stream fits in a decode engine's memory."""

from __future__ import annotations

import abc
import dataclasses
from collections.abc import Sequence

import numpy as np
from numpy.typing import NDArray

from mustardscale.endpoints.engines import PIECE_TOKENS as PIECE_TOKENS
from mustardscale.policy.output_lengths import (
    MAX_OUTPUT_TOKENS,
    OutputLengths,
)

# Bounds of the intervals over which future demand is bounded, in tokens that
# each stream emits from now on.
HORIZON_TOKENS = (
    *(0, 100, 200, 300, 400, 500, 600, 700, 850, 1000, 1200, 1400, 1700),
    *(2000, 2500, 3000, 4000, 5000, 6000, 7000, 8000, 9000, 10_000),
    *(12_000, MAX_OUTPUT_TOKENS),
)
# Largest and number of Chernoff exponents per share of the whole memory.
MAX_EXPONENT = 120.0
MIN_EXPONENT = 1.0
EXPONENT_COUNT = 12
# Products whose logarithm is below this do not overflow.
_MAX_LOG = 700.0


@dataclasses.dataclass(frozen=True, slots=True)
class DecodeMemory:
    """The memory of a decode engine.

    Attributes:
        pieces_total: memory in pieces.
        piece_tokens: tokens of KV cache held by a piece.
    """

    pieces_total: int
    piece_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class StreamNeed:
    """What is known of a stream's need of memory.

    Attributes:
        service: the service, whose output lengths have been learnt.
        prompt_tokens: tokens of the prompt.
        emitted: output tokens emitted so far.
        max_tokens: output tokens at which the stream ends at the latest.
        hint_tokens: the caller's guess of the output tokens, 0 for none.
    """

    service: str
    prompt_tokens: int
    emitted: int
    max_tokens: int
    hint_tokens: int = 0


def pieces_for(tokens: int | float, piece_tokens: int) -> int:
    """Returns the pieces that hold a number of tokens.

    >>> pieces_for(2001, 2000)
    2
    """
    return int(-(-tokens // piece_tokens))


def present_pieces(memory: DecodeMemory, streams: Sequence[StreamNeed]) -> int:
    """Returns the pieces that the streams need for their next token."""
    return sum(
        pieces_for(
            stream.prompt_tokens + min(stream.emitted + 1, stream.max_tokens),
            memory.piece_tokens,
        )
        for stream in streams
    )


class MemoryBooking(abc.ABC):
    """Decides whether streams fit in a decode engine together."""

    __slots__ = ()

    def admits(
        self,
        memory: DecodeMemory,
        streams: Sequence[StreamNeed],
        candidate: StreamNeed,
    ) -> bool:
        """Returns whether a candidate fits beside the streams present."""
        together = [*streams, candidate]
        if present_pieces(memory, together) > memory.pieces_total:
            return False
        return self.fits_later(memory, together)

    @abc.abstractmethod
    def fits_later(
        self, memory: DecodeMemory, streams: Sequence[StreamNeed]
    ) -> bool:
        """Returns whether the streams may be expected to fit until they end.

        Args:
            memory: the engine's memory.
            streams: streams that fit at present.
        """


class MaximumBooking(MemoryBooking):
    """Books the prompt and the longest output: memory never runs out."""

    __slots__ = ()

    def fits_later(
        self, memory: DecodeMemory, streams: Sequence[StreamNeed]
    ) -> bool:
        """Compares the sum of the largest needs with the memory."""
        booked = sum(
            pieces_for(
                stream.prompt_tokens + stream.max_tokens, memory.piece_tokens
            )
            for stream in streams
        )
        return booked <= memory.pieces_total


class MeanBooking(MemoryBooking):
    """Books the prompt and the mean output of a stream that got this far."""

    __slots__ = ('_lengths',)

    def __init__(self, lengths: OutputLengths):
        self._lengths = lengths

    def fits_later(
        self, memory: DecodeMemory, streams: Sequence[StreamNeed]
    ) -> bool:
        """Compares the sum of the mean needs with the memory."""
        booked = sum(
            pieces_for(self._mean_tokens(stream), memory.piece_tokens)
            for stream in streams
        )
        return booked <= memory.pieces_total

    def _mean_tokens(self, stream: StreamNeed) -> float:
        remaining = self._lengths.remaining_mean(stream.service, stream.emitted)
        output = min(stream.emitted + remaining, stream.max_tokens)
        return stream.prompt_tokens + output


class ChernoffBooking(MemoryBooking):
    """Overbooks so that memory runs out with a bounded probability.

    The bound is the one of G. Kesidis, "Overbooking Microservices in the
    Cloud" (WOSC 2019), section 4: log E exp(theta Q) is a sum of terms
    log(Phi exp(theta) + 1 - Phi), where Phi is the probability that a job
    is still there. Here the jobs are known streams in place of arrivals
    under a burstiness curve, and each weighs as many pieces as it holds.
    Streams emit in step. In an interval of HORIZON_TOKENS a stream counts
    with its pieces at the interval's end if it lives at its beginning, so
    each interval's bound covers every moment in it, and the sum over the
    intervals bounds the probability that memory ever runs out.
    """

    __slots__ = ('_epsilon', '_exponents', '_lengths', '_starts', '_stops')

    def __init__(self, lengths: OutputLengths, epsilon: float):
        """Makes a booking.

        Args:
            lengths: the learnt output lengths.
            epsilon: accepted probability that memory runs out before the
                streams have ended.
        """
        self._lengths = lengths
        self._epsilon = epsilon
        horizons = np.array(HORIZON_TOKENS, dtype=np.int64)
        self._starts = horizons[:-1]
        self._stops = horizons[1:]
        self._exponents = np.geomspace(
            MIN_EXPONENT, MAX_EXPONENT, EXPONENT_COUNT
        )

    def fits_later(
        self, memory: DecodeMemory, streams: Sequence[StreamNeed]
    ) -> bool:
        """Compares the bound with the accepted probability."""
        return self.exhaustion_bound(memory, streams) <= self._epsilon

    def exhaustion_bound(
        self, memory: DecodeMemory, streams: Sequence[StreamNeed]
    ) -> float:
        """Returns an upper bound on P(memory runs out), at most 1.

        It is 0 where even the largest needs fit.
        """
        if not streams:
            return 0.0
        alive_probability, pieces = self._demand(memory, streams)
        largest = np.where(alive_probability > 0, pieces, 0).sum(axis=0)
        at_risk = largest > memory.pieces_total
        if not at_risk.any():
            return 0.0
        bounds = self._chernoff(
            alive_probability[:, at_risk],
            pieces[:, at_risk],
            memory.pieces_total,
        )
        return min(1.0, float(bounds.sum()))

    def _demand(
        self, memory: DecodeMemory, streams: Sequence[StreamNeed]
    ) -> tuple[NDArray[np.float64], NDArray[np.int64]]:
        """Returns P(stream lives) and its pieces, both streams x intervals."""
        row = self._lengths.row
        known = np.array(
            [
                (
                    row(stream.service, stream.hint_tokens),
                    stream.prompt_tokens,
                    min(stream.emitted, stream.max_tokens - 1),
                    stream.max_tokens,
                )
                for stream in streams
            ],
            dtype=np.int64,
        )
        rows, prompt, emitted, longest = known.T[:, :, None]
        at_start = emitted + self._starts
        alive_now = self._lengths.survival(rows, emitted)
        alive_probability = self._lengths.survival(rows, at_start)
        alive_probability = alive_probability / np.maximum(
            alive_now, np.finfo(float).tiny
        )
        alive_probability[at_start >= longest] = 0.0
        alive_probability[:, 0] = 1.0
        at_end = np.minimum(emitted + self._stops, longest)
        return alive_probability, -(-(prompt + at_end) // memory.piece_tokens)

    def _chernoff(
        self,
        alive_probability: NDArray[np.float64],
        pieces: NDArray[np.int64],
        pieces_total: int,
    ) -> NDArray[np.float64]:
        """Returns the bound on P(demand > pieces_total) for each interval."""
        # Products stay finite: the logarithm is taken once for each interval.
        largest = int(pieces.sum(axis=0).max())
        exponents = self._exponents / pieces_total
        exponents = exponents[exponents * largest < _MAX_LOG]
        growth = np.expm1(pieces[:, :, None] * exponents)
        growth *= alive_probability[:, :, None]
        growth += 1.0
        cumulants = np.log(growth.prod(axis=0))
        logs = cumulants - exponents * (pieces_total + 1)
        return np.exp(np.minimum(logs.min(axis=1, initial=0.0), 0.0))
