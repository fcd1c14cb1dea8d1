"""Tests of the role balance, of self-draining engines and of takeovers."""

import random

import pytest

from mustardscale.configuration.wanted_state import (
    EngineTarget,
    ListedEngine,
    WantedEngine,
    WeightStoreLimits,
)
from mustardscale.endpoints.engines import EngineRole, LoadReport
from mustardscale.log.log_client import LogPage, LogRecord
from mustardscale.orders.order_decisions import (
    TAKEOVER_MARGIN_S,
    ChangeProgress,
    EngineView,
    Situation,
    decide,
)
from mustardscale.orders.order_state import (
    EngineChange,
    OrderRecord,
    OrderState,
    encode_order_record,
)
from mustardscale.orders.role_balance import (
    PROMOTE_AFTER_S,
    BalanceView,
    RoleBalance,
    compute_prefill_count,
)

PREFILL, DECODE = EngineRole.PREFILL, EngineRole.DECODE


def views(prefills, decodes):
    names = [(f'p{n}', PREFILL) for n in range(prefills)]
    names += [(f'd{n}', DECODE) for n in range(decodes)]
    return [BalanceView(name, 'm', '', role, '1') for name, role in names]


def prefilling(wanted):
    return {name for name, want in wanted.items() if want.role is PREFILL}


class TestBalance:
    """How many engines of a group prefill."""

    @pytest.mark.parametrize(
        ('engines', 'count'), [(1, 0), (2, 1), (5, 1), (6, 1), (28, 6)]
    )
    def test_a_share_of_the_engines_prefills_but_at_least_one(
        self, engines, count
    ):
        assert compute_prefill_count(engines, 0.2) == count

    @pytest.mark.parametrize(
        ('used_share', 'count'), [(0.0, 1), (0.4, 1), (0.6, 0), (1.0, 0)]
    )
    def test_no_promotion_while_decode_memory_is_short(self, used_share, count):
        """The pool lost its prefill engine; promotion leaves two to decode."""
        engines = [
            BalanceView(
                f'd{n}', 'm', '', DECODE, '1', int(1000 * used_share), 1000
            )
            for n in range(3)
        ]
        balance = RoleBalance(0.2)
        balance.wanted(engines, 0.0)
        wanted = balance.wanted(engines, PROMOTE_AFTER_S + 0.1)
        assert len(prefilling(wanted)) == count

    def test_promotion_needs_free_memory_for_the_whole_wait(self):
        balance = RoleBalance(0.2)
        for second in range(20):
            used = 900 if second == 5 else 100
            engines = [
                BalanceView(f'd{n}', 'm', '', DECODE, '1', used, 1000)
                for n in range(3)
            ]
            wanted = balance.wanted(engines, float(second))
            assert bool(prefilling(wanted)) == (second > 5 + PROMOTE_AFTER_S)

    def test_each_group_has_prefill_engines_of_its_own(self):
        north = [
            BalanceView(f'n{n}', 'm', 'north', DECODE, '1') for n in range(7)
        ]
        south = [
            BalanceView(f's{n}', 'm', 'south', PREFILL, '1') for n in range(7)
        ]
        balance = RoleBalance(0.2)
        balance.wanted([*north, *south], 0.0)
        wanted = balance.wanted([*north, *south], PROMOTE_AFTER_S)
        assert prefilling(wanted) == {'n0', 's0'}

    def test_surplus_prefill_engines_decode_at_once(self):
        wanted = RoleBalance(0.2).wanted(views(2, 3), 0.0)
        assert prefilling(wanted) == {'p0'}

    def test_a_lost_prefill_engine_is_awaited_before_another_takes_over(self):
        balance = RoleBalance(0.2)
        assert prefilling(balance.wanted(views(0, 4), 0.0)) == set()
        soon = balance.wanted(views(0, 4), PROMOTE_AFTER_S - 0.1)
        assert prefilling(soon) == set()
        late = balance.wanted(views(0, 4), PROMOTE_AFTER_S + 0.1)
        assert prefilling(late) == {'d0'}

    def test_a_returned_prefill_engine_restarts_the_wait(self):
        balance = RoleBalance(0.2)
        balance.wanted(views(0, 4), 0.0)
        balance.wanted(views(1, 4), 5.0)
        again = balance.wanted(views(0, 4), PROMOTE_AFTER_S + 1.0)
        assert prefilling(again) == set()

    def test_a_balanced_group_is_not_changed(self):
        rng = random.Random(1)
        balance = RoleBalance(0.2)
        views_in_any_order = views(1, 4)
        for now in range(30):
            rng.shuffle(views_in_any_order)
            assert prefilling(
                balance.wanted(views_in_any_order, float(now))
            ) == {'p0'}


def report(**fields):
    values = {
        'role': DECODE,
        'model': 'm',
        'model_version': '1',
        'pieces_total': 10,
        'pieces_free': 1,
        'active': 3,
        'queued_tokens': 0,
        'prefill_tokens_per_s': 0.0,
        'step_s': 0.0,
        'age_s': 0.0,
        'leaving': False,
        'start': 1,
        'order_term': None,
        'link_bytes_per_s': 1.0,
        'drains_itself': True,
    }
    return LoadReport(**(values | fields))


def orders_given(now, taken_over=False, coordinating_since=0.0, **fields):
    """Returns the orders for an engine whose change to prefill is recorded."""
    target = EngineTarget(PREFILL, 'm', '1')
    change = EngineChange('e', target, 'me', 1, False, 7)
    view = EngineView(
        ListedEngine('e', 'm', DECODE, True),
        'pool',
        'm',
        DECODE,
        True,
        WantedEngine('m', '1', PREFILL),
        report(**fields),
        now,
        change,
        ChangeProgress(7, coordinating_since),
    )
    situation = Situation(
        'me',
        1,
        coordinating_since,
        0.0,
        WeightStoreLimits(),
        frozenset({'m'}),
        {'e': view},
        taken_over,
    )
    return decide(situation, now)


class TestOrdersToSelfDrainingEngines:
    """Orders to engines that drain themselves and report no fencing number."""

    def test_running_work_is_not_waited_for(self):
        assert set(orders_given(1.0).orders) == {'e'}
        assert not orders_given(1.0, drains_itself=False).orders

    def test_no_order_within_the_margin_after_a_takeover(self):
        assert not orders_given(TAKEOVER_MARGIN_S - 0.1, taken_over=True).orders
        assert orders_given(TAKEOVER_MARGIN_S + 0.1, taken_over=True).orders

    def test_a_change_is_done_when_a_later_report_shows_it(self):
        done = orders_given(1.0, role=PREFILL)
        assert set(done.finished) == {'e'}


def page(offset, host, base, compacted=True):
    record = OrderRecord(base, host, 1)
    records = (LogRecord(offset, encode_order_record(record)),)
    return LogPage(records, 1, offset, compacted)


class TestCompactedStream:
    """An orders stream that keeps only its newest record."""

    def test_the_newest_record_counts_without_those_before(self):
        state = OrderState()
        assert state.apply_page(page(41, 'a', 40))
        assert (state.version, state.host, state.settled) == (41, 'a', True)

    def test_an_older_copy_does_not_take_it_back(self):
        state = OrderState()
        state.apply_page(page(41, 'a', 40))
        assert not state.apply_page(page(39, 'b', 38))
        assert state.host == 'a'

    def test_later_records_are_folded_as_usual(self):
        state = OrderState()
        state.apply_page(page(41, 'a', 40))
        assert state.apply_page(page(42, 'b', 41, compacted=False))
        assert (state.host, state.earlier_host) == ('b', 'a')

    def test_the_first_coordinator_has_no_predecessor(self):
        state = OrderState()
        state.apply_page(page(1, 'a', 0))
        state.apply_page(page(2, 'a', 1, compacted=False))
        assert state.earlier_host == ''
