"""Strategies that decide whether a stream fits in a decode engine's memory."""

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

# Limits of the intervals for each of which future demand is bounded, in tokens
# that each stream emits from now on.
HORIZON_TOKENS = (
    *(0, 100, 200, 300, 400, 500, 600, 700, 850, 1000, 1200, 1400, 1700),
    *(2000, 2500, 3000, 4000, 5000, 6000, 7000, 8000, 9000, 10_000),
    *(12_000, MAX_OUTPUT_TOKENS),
)
# Range and number of the Chernoff exponents that are tried. They are divided by
# the memory in KV blocks (pieces).
MAX_EXPONENT = 120.0
MIN_EXPONENT = 1.0
EXPONENT_COUNT = 12
# Products whose logarithm is below this do not overflow.
_MAX_LOG = 700.0


@dataclasses.dataclass(frozen=True, slots=True)
class DecodeMemory:
    """The memory of a decode engine.

    Attributes:
        pieces_total: number of KV blocks (pieces).
        piece_tokens: tokens of KV cache that a KV block holds.
    """

    pieces_total: int
    piece_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class StreamNeed:
    """What determines the memory that a stream needs now and later.

    Attributes:
        service: name of the service; output lengths are learnt for each.
        prompt_tokens: tokens of the prompt.
        emitted: output tokens emitted so far.
        max_tokens: limit of the output tokens.
        hint_tokens: the caller's estimate of the output tokens, 0 for none.
    """

    service: str
    prompt_tokens: int
    emitted: int
    max_tokens: int
    hint_tokens: int = 0


def pieces_for(tokens: int | float, piece_tokens: int) -> int:
    """Returns the number of KV blocks that hold a number of tokens.

    >>> pieces_for(2001, 2000)
    2
    """
    return int(-(-tokens // piece_tokens))


def present_pieces(memory: DecodeMemory, streams: Sequence[StreamNeed]) -> int:
    """Returns the KV blocks that streams need up to their next tokens."""
    return sum(
        pieces_for(
            stream.prompt_tokens + min(stream.emitted + 1, stream.max_tokens),
            memory.piece_tokens,
        )
        for stream in streams
    )


class MemoryBooking(abc.ABC):
    """Decides whether streams fit together in a decode engine's memory."""

    __slots__ = ()

    def admits(
        self,
        memory: DecodeMemory,
        streams: Sequence[StreamNeed],
        candidate: StreamNeed,
    ) -> bool:
        """Returns whether a candidate fits beside the present streams."""
        together = [*streams, candidate]
        if present_pieces(memory, together) > memory.pieces_total:
            return False
        return self.fits_later(memory, together)

    @abc.abstractmethod
    def fits_later(
        self, memory: DecodeMemory, streams: Sequence[StreamNeed]
    ) -> bool:
        """Returns whether the streams are expected to fit until they end.

        Args:
            memory: the engine's memory.
            streams: streams that fit now.
        """


class MaximumBooking(MemoryBooking):
    """Books the prompt and max_tokens, so that memory never runs out."""

    __slots__ = ()

    def fits_later(
        self, memory: DecodeMemory, streams: Sequence[StreamNeed]
    ) -> bool:
        """Returns whether the sum of the largest needs fits in the memory."""
        booked = sum(
            pieces_for(
                stream.prompt_tokens + stream.max_tokens, memory.piece_tokens
            )
            for stream in streams
        )
        return booked <= memory.pieces_total


class MeanBooking(MemoryBooking):
    """Books the prompt and the mean output, given the tokens emitted so far."""

    __slots__ = ('_lengths',)

    def __init__(self, lengths: OutputLengths):
        self._lengths = lengths

    def fits_later(
        self, memory: DecodeMemory, streams: Sequence[StreamNeed]
    ) -> bool:
        """Returns whether the sum of the mean needs fits in the memory."""
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
    is still running. The paper bounds arrivals by a burstiness curve; here
    the jobs are the known streams, each weighted by its KV blocks (pieces).

    All streams are assumed to emit tokens at the same rate. A stream that is
    alive at the beginning of an interval of HORIZON_TOKENS counts with its
    KV blocks at the interval's end. The bound of an interval therefore holds
    at every moment in it, and the sum of the bounds over all intervals bounds
    the probability that memory runs out at any time.
    """

    __slots__ = ('_epsilon', '_exponents', '_lengths', '_starts', '_stops')

    def __init__(self, lengths: OutputLengths, epsilon: float):
        """Creates a booking strategy.

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
        """Returns whether the bound is at most the accepted probability."""
        return self.exhaustion_bound(memory, streams) <= self._epsilon

    def exhaustion_bound(
        self, memory: DecodeMemory, streams: Sequence[StreamNeed]
    ) -> float:
        """Returns an upper bound on P(memory runs out), at most 1.

        It is 0 if even the largest needs fit.
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
        """Returns the demand of each stream (row) in each interval (column).

        Returns:
            P(stream is alive at the interval's beginning), and its KV blocks
            at the interval's end.
        """
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
        # The products must stay finite, as the logarithm is taken only once for
        # each interval: exponents that would overflow are left out.
        largest = int(pieces.sum(axis=0).max())
        exponents = self._exponents / pieces_total
        exponents = exponents[exponents * largest < _MAX_LOG]
        growth = np.expm1(pieces[:, :, None] * exponents)
        growth *= alive_probability[:, :, None]
        growth += 1.0
        cumulants = np.log(growth.prod(axis=0))
        logs = cumulants - exponents * (pieces_total + 1)
        return np.exp(np.minimum(logs.min(axis=1, initial=0.0), 0.0))
