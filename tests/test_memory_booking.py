"""Tests of the strategies that book decode memory."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mustardscale.policy.memory_booking import (
    ChernoffBooking,
    DecodeMemory,
    MaximumBooking,
    MeanBooking,
    StreamNeed,
    pieces_for,
    present_pieces,
)
from mustardscale.policy.output_lengths import OutputLengths

MEMORY = DecodeMemory(24, 500)
MAX_TOKENS = 3000


def learnt_lengths():
    lengths = OutputLengths()
    rng = random.Random(7)
    for _ in range(4000):
        lengths.record('digest', int(rng.lognormvariate(5.5, 1.0)) + 1)
    lengths.record('digest', MAX_TOKENS)
    return lengths


LENGTHS = learnt_lengths()
NEEDS = st.builds(
    StreamNeed,
    st.just('digest'),
    st.integers(1, 4000),
    st.integers(0, MAX_TOKENS - 1),
    st.just(MAX_TOKENS),
)
STREAMS = st.lists(NEEDS, max_size=25)


def seeded_streams(rng, count):
    return [
        StreamNeed(
            'digest', rng.randrange(50, 900), rng.randrange(0, 400), MAX_TOKENS
        )
        for _ in range(count)
    ]


def exhausted(rng, streams):
    """Returns whether memory runs out for lengths drawn from LENGTHS."""
    remaining = []
    for need in streams:
        drawn = LENGTHS.remaining_quantile('digest', need.emitted, rng.random())
        remaining.append(min(drawn, MAX_TOKENS - need.emitted))
    for emitted in sorted(set(remaining)):
        demand = sum(
            pieces_for(
                need.prompt_tokens + need.emitted + emitted,
                MEMORY.piece_tokens,
            )
            for need, left in zip(streams, remaining, strict=True)
            if left >= emitted
        )
        if demand > MEMORY.pieces_total:
            return True
    return False


class TestMemoryBooking:
    """Properties of every booking strategy."""

    @given(STREAMS, NEEDS)
    @settings(max_examples=150, deadline=None)
    def test_never_admits_beyond_present_memory(self, streams, candidate):
        bookings = (
            MaximumBooking(),
            MeanBooking(LENGTHS),
            ChernoffBooking(LENGTHS, 1.0),
        )
        present = present_pieces(MEMORY, [*streams, candidate])
        for booking in bookings:
            if booking.admits(MEMORY, streams, candidate):
                assert present <= MEMORY.pieces_total

    @given(STREAMS, NEEDS)
    @settings(max_examples=150, deadline=None)
    def test_every_way_admits_what_maximum_booking_admits(
        self, streams, candidate
    ):
        if MaximumBooking().admits(MEMORY, streams, candidate):
            assert MeanBooking(LENGTHS).admits(MEMORY, streams, candidate)
            strict = ChernoffBooking(LENGTHS, 0.0)
            assert strict.admits(MEMORY, streams, candidate)

    def test_mean_admits_more_than_maximum(self):
        streams = seeded_streams(random.Random(3), 4)
        candidate = StreamNeed('digest', 400, 0, MAX_TOKENS)
        assert not MaximumBooking().admits(MEMORY, streams, candidate)
        assert MeanBooking(LENGTHS).admits(MEMORY, streams, candidate)


class TestChernoffBooking:
    """The bound on the probability that memory runs out."""

    @given(STREAMS, NEEDS, st.floats(0, 1), st.floats(0, 1))
    @settings(max_examples=150, deadline=None)
    def test_larger_epsilon_admits_at_least_as_much(
        self, streams, candidate, one, other
    ):
        low, high = sorted((one, other))
        if ChernoffBooking(LENGTHS, low).admits(MEMORY, streams, candidate):
            loose = ChernoffBooking(LENGTHS, high)
            assert loose.admits(MEMORY, streams, candidate)

    @pytest.mark.parametrize('count', [8, 9, 10, 11, 12])
    def test_bound_holds_against_samples(self, count):
        rng = random.Random(count)
        streams = seeded_streams(rng, count)
        bound = ChernoffBooking(LENGTHS, 0).exhaustion_bound(MEMORY, streams)
        trials = 2000
        seen = sum(exhausted(rng, streams) for _ in range(trials)) / trials
        assert seen <= bound
        assert bound > 0

    def test_bound_tells_light_from_heavy_load(self):
        streams = seeded_streams(random.Random(5), 8)
        booking = ChernoffBooking(LENGTHS, 0.01)
        assert booking.exhaustion_bound(MEMORY, streams) < 0.01
        assert not MaximumBooking().fits_later(MEMORY, streams)
        crowded = seeded_streams(random.Random(5), 16)
        assert booking.exhaustion_bound(MEMORY, crowded) > 0.01
