"""Tests of the fold of the orders stream."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from mustardscale.configuration.wanted_state import EngineTarget
from mustardscale.endpoints.engines import EngineRole
from mustardscale.log.log_client import LogPage, LogRecord
from mustardscale.orders.order_state import (
    EngineChange,
    OrderRecord,
    OrderState,
    PlacedEngine,
    encode_order_record,
)

TARGET = EngineTarget(EngineRole.DECODE, 'm', '2')


def record(base, host='a', restart=False, **content):
    return encode_order_record(
        OrderRecord(base, host, 1, restart=restart, **content)
    )


def page(payloads, first=1, after=0):
    """Returns the page that a read from offset after + 1 returns."""
    end = first + len(payloads) - 1
    numbered = enumerate(payloads, first)
    records = [LogRecord(o, p) for o, p in numbered if o > after]
    return LogPage(tuple(records), first, end)


def fold(payloads, first=1):
    state = OrderState()
    state.apply_page(page(payloads, first))
    return state


def make_racing_stream(seed, length=60):
    """Returns a stream of concurrent writers and the versions that count.

    A writer may base its record on the current version or the one before.
    """
    rng = random.Random(seed)
    payloads, current_versions = [], []
    version = 0
    versions = [0]
    while len(payloads) < length:
        base = rng.choice(versions[-2:])
        if rng.random() < 0.1:
            payloads.append(b'{broken')
            continue
        payloads.append(record(base, f'host-{len(payloads)}'))
        if base == version:
            version = len(payloads)
            versions.append(version)
            current_versions.append(version)
    return payloads, current_versions


class TestFold:
    """Which records count."""

    def test_of_two_from_the_same_version_the_first_counts(self):
        state = fold([record(0, 'a'), record(0, 'b'), record(1, 'c')])
        assert (state.version, state.host) == (3, 'c')
        assert fold([record(0, 'a'), record(0, 'b')]).host == 'a'

    def test_a_change_is_numbered_by_the_record_that_states_it_first(self):
        change = EngineChange('e', TARGET, 'a', 1, True)
        placed = PlacedEngine('f', 'm', EngineRole.PREFILL)
        state = fold([b'{', record(0, changes=(change,), placed=(placed,))])
        stated = state.change_by_engine['e']
        assert stated.number == 2
        assert state.placed_by_engine == {'f': placed}
        state.apply_page(page([record(2, changes=(stated,))], first=3))
        assert state.change_by_engine['e'].number == 2

    @given(st.integers(0, 2**32), st.data())
    @settings(max_examples=100, deadline=None)
    def test_readers_from_any_offset_agree(self, seed, data):
        payloads, current_versions = make_racing_stream(seed)
        assert fold(payloads).version == current_versions[-1]
        first = data.draw(st.integers(1, len(payloads)))
        state = fold(payloads[first - 1 :], first)
        if state.settled:
            assert state.version == current_versions[-1]
        chained = [version for version in current_versions if version >= first]
        assert state.settled == (first == 1 or len(chained) > 1)

    def test_after_a_gap_a_superseded_record_does_not_count(self):
        state = fold([record(4, 'late'), record(5, 'x'), record(7, 'y')], 7)
        assert (state.settled, state.version, state.host) == (True, 9, 'y')
        alone = fold([record(4, 'late')], 7)
        assert not alone.settled

    def test_a_restart_counts_only_directly_after_its_base(self):
        lost = fold([record(3, restart=True)], 9)
        assert not lost.settled
        state = fold([record(3), record(9, 'z', restart=True)], 9)
        assert (state.settled, state.version, state.host) == (True, 10, 'z')
