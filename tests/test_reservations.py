"""Tests of the sums that a pool maintains for its reservations."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from mustardscale.endpoints.engines import EngineRole, StreamStage, StreamTag
from mustardscale.peers.peer_messages import HeldStream
from mustardscale.policy.base import (
    EngineState,
    PoolState,
    Reservation,
    Reservations,
)
from mustardscale.policy.decode_capacity import (
    DecodeCapacity,
    estimate_need,
    needed_pieces,
)
from mustardscale.policy.memory_booking import (
    PIECE_TOKENS,
    ChernoffBooking,
    DecodeMemory,
    StreamNeed,
    pieces_for,
    present_pieces,
)

DECODES = ('decode-0', 'decode-1', 'decode-2')
EPSILON = 0.01


def random_stream(rng, name):
    return HeldStream(
        StreamTag(name, 1, 'entry', 1),
        'service',
        'prefill',
        rng.choice(DECODES),
        rng.choice([StreamStage.PREFILL, StreamStage.DECODE]),
        rng.randrange(9_000),
        rng.randrange(500),
        rng.randrange(500, 9_000),
        backup=rng.choice(['', *DECODES]),
    )


def random_reservations(rng):
    """Returns the reservations left by random grants, changes and releases."""
    held_by_id = Reservations()
    for _ in range(rng.randrange(60)):
        name = f'request-{rng.randrange(12)}'
        held = held_by_id.get(name)
        if held is not None and rng.random() < 0.4:
            del held_by_id[name]
            continue
        stream = random_stream(rng, name)
        if held is None:
            held = Reservation(stream, 0, 0.0, 0.0)
        held.stream = stream
        held_by_id[name] = held
    return held_by_id


class TestReservations:
    """The sums for each decode engine match its reservations."""

    @given(st.integers(0, 2**32))
    @settings(max_examples=100, deadline=None)
    def test_sums_match_a_full_recomputation(self, seed):
        held_by_id = random_reservations(random.Random(seed))
        for decode in DECODES:
            expected = {
                name: held
                for name, held in held_by_id.items()
                if held.stream.decode == decode
            }
            share = held_by_id.decode_share(decode)
            assert share.by_request_id == expected
            assert share.largest_pieces == sum(
                pieces_for(
                    held.stream.prompt_tokens
                    + max(held.stream.max_tokens, held.stream.emitted + 1),
                    PIECE_TOKENS,
                )
                for held in expected.values()
            )
            assert share.copied_pieces == sum(
                pieces_for(
                    held.stream.prompt_tokens + held.stream.emitted,
                    PIECE_TOKENS,
                )
                for held in held_by_id.values()
                if held.stream.backup == decode
            )

    @given(st.integers(0, 2**32))
    @settings(max_examples=100, deadline=None)
    def test_capacity_matches_a_full_recomputation(self, seed):
        rng = random.Random(seed)
        state = PoolState('pool')
        for decode in DECODES:
            engine = EngineState(decode, EngineRole.DECODE, 'dc')
            state.engines_by_id[decode] = engine
        held_by_id = random_reservations(rng)
        state.reservations_by_request_id = held_by_id
        decode_capacity = DecodeCapacity()
        booking = ChernoffBooking(decode_capacity.lengths, EPSILON)
        for decode, capacity in decode_capacity.capacities(
            state, now=1.0
        ).items():
            on_it = [
                held
                for held in held_by_id.values()
                if held.stream.decode == decode
            ]
            step_s = decode_capacity.step_s(len(on_it))
            needs = [estimate_need(held, step_s, 1.0) for held in on_it]
            memory = DecodeMemory(rng.randrange(1, 80), PIECE_TOKENS)
            capacity.memory = memory
            for _ in range(3):
                need = StreamNeed('service', rng.randrange(9_000), 0, 1 << 12)
                pieces = needed_pieces(need, PIECE_TOKENS)
                present = present_pieces(memory, needs)
                fits_now = present + pieces <= memory.pieces_total
                assert capacity.has_memory_now(pieces) == fits_now
                together = [*needs, need]
                fits = booking.fits_later(memory, together)
                assert decode_capacity.fits(capacity, need, EPSILON) == fits
                if fits_now and fits:
                    decode_capacity.place(capacity, need)
                    needs = together
                    assert capacity.streams == len(needs)
