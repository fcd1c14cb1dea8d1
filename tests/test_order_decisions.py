"""Tests of the decisions on orders, which are pure functions."""

import dataclasses

import pytest

from mustardscale.configuration.wanted_state import (
    EngineTarget,
    ListedEngine,
    WantedEngine,
    WeightStoreLimits,
)
from mustardscale.endpoints.engines import EngineRole, LoadReport
from mustardscale.orders.order_controller import (
    MAX_LOG_AGE_S,
    ORDER_TIMEOUT_S,
    RESTART_AFTER_S,
    REWRITE_INTERVAL_S,
)
from mustardscale.orders.order_decisions import (
    MAX_DRAIN_S,
    MAX_LOAD_S,
    MAX_REPORT_AGE_S,
    MAX_WITHOUT_REPORT_S,
    REPORT_SETTLE_S,
    TAKEOVER_MARGIN_S,
    ChangeProgress,
    EngineView,
    Situation,
    decide,
)
from mustardscale.orders.order_state import EngineChange

NOW = 1000.0
DECODE = EngineRole.DECODE
TARGET = EngineTarget(DECODE, 'm', '2')


def report(version='1', model='m', term=0):
    return LoadReport(
        DECODE, model, version, 8, 8, 0, 0, 1e3, 0.0, 0.5, False, 1, term, 1e9
    )


def view(engine, version='1', fencing=True, **fields):
    """Returns a decode engine in service whose wanted version is 2."""
    known = EngineView(
        ListedEngine(engine, 'm', DECODE, fencing),
        'pool',
        'm',
        DECODE,
        True,
        WantedEngine('m', '2'),
        report(version),
        NOW,
    )
    return dataclasses.replace(known, **fields)


def changing_view(engine='a', known_since=NOW - 20, drained=True, **fields):
    """Returns an engine with a change in progress that this host began."""
    change = EngineChange(engine, TARGET, 'me', 1, True, 7)
    progress = ChangeProgress(7, known_since, drained)
    return view(engine, change=change, progress=progress, **fields)


def decide_on(
    *views, loads=9, coordinating_since=NOW - 60, load_s=0.0, served=('m',)
):
    limits = WeightStoreLimits(loads, 1.0 if load_s else 0.0, load_s)
    by_engine = {item.listed.id: item for item in views}
    known = Situation(
        'me',
        1,
        coordinating_since,
        NOW - 10,
        limits,
        frozenset(served),
        by_engine,
    )
    return decide(known, NOW)


def begun(decisions):
    return [change.engine for change in decisions.changes]


class TestBeginChange:
    """When a change of an engine begins."""

    def test_one_of_three_and_two_of_eight_are_changed_at_a_time(self):
        few = decide_on(*(view(name) for name in 'abc'))
        many = decide_on(*(view(name) for name in 'abcdefgh'))
        assert (begun(few), begun(many)) == (['a'], ['a', 'b'])

    def test_the_last_engine_in_service_is_held_back(self):
        silent = view('b', report=None)
        decisions = decide_on(view('a'), silent)
        assert begun(decisions) == []
        assert decisions.held_back == ['a']
        allowed = WantedEngine('m', '2', allow_outage=True)
        assert begun(decide_on(view('a', wanted=allowed), silent)) == ['a']
        assert begun(decide_on(view('a'), silent, served=())) == ['a']

    def test_an_engine_out_of_service_is_changed_first(self):
        broken = view('b', report=report(model='x'))
        assert begun(decide_on(view('a'), broken)) == ['b']

    def test_an_old_report_begins_no_change(self):
        old = view('a', reported_at=NOW - MAX_REPORT_AGE_S - 1)
        assert begun(decide_on(old, view('b', '2'), view('c', '2'))) == []

    def test_loads_stay_within_the_limit_of_the_weight_store(self):
        busy = changing_view('x', pool='other')
        assert begun(decide_on(view('a'), view('b'), busy, loads=1)) == []
        assert begun(decide_on(view('a'), view('b'), busy, loads=2)) == ['a']

    def test_engines_in_the_wanted_state_are_not_changed(self):
        decisions = decide_on(view('a', '2'), view('b', '2'))
        assert not decisions.writes
        assert not decisions.orders


class TestContinueChange:
    """When a change is ordered, repeated, recorded again or ended."""

    def test_an_order_waits_for_the_drain_up_to_a_limit(self):
        busy = changing_view(drained=False)
        late = changing_view(drained=False, known_since=NOW - MAX_DRAIN_S)
        assert not decide_on(busy).orders
        assert decide_on(late).orders['a'].term == 7

    @pytest.mark.parametrize(('fencing', 'sent'), [(True, 1), (False, 0)])
    def test_orders_to_unfenced_engines_wait_for_the_takeover_margin(
        self, fencing, sent
    ):
        engine = changing_view(fencing=fencing)
        soon = decide_on(
            engine, coordinating_since=NOW - TAKEOVER_MARGIN_S + 0.1
        )
        assert len(soon.orders) == sent
        assert (
            len(
                decide_on(
                    engine, coordinating_since=NOW - TAKEOVER_MARGIN_S
                ).orders
            )
            == 1
        )

    def test_the_margin_outlasts_a_previous_coordinator_s_last_order(self):
        assert TAKEOVER_MARGIN_S >= MAX_LOG_AGE_S + ORDER_TIMEOUT_S
        assert RESTART_AFTER_S > 2 * REWRITE_INTERVAL_S

    def test_loads_are_ordered_at_an_interval(self):
        engines = [changing_view('a'), changing_view('b')]
        assert len(decide_on(*engines).orders) == 2
        assert len(decide_on(*engines, load_s=9.0).orders) == 1
        assert not decide_on(*engines, load_s=11.0).orders

    def test_an_order_is_not_repeated_while_the_engine_loads(self):
        engine = changing_view(report=report(model=''))
        engine.progress.record_sent(NOW - 30)
        assert not decide_on(engine).orders
        engine.progress.sent_at = NOW - MAX_LOAD_S - 1
        assert decide_on(engine).orders

    def test_an_order_that_had_no_effect_is_repeated(self):
        engine = changing_view()
        engine.progress.record_sent(NOW - REPORT_SETTLE_S)
        assert decide_on(engine).orders
        engine.progress.accepted = True
        assert not decide_on(engine).orders
        engine.progress.sent_at -= 1
        assert decide_on(engine).orders

    def test_a_report_from_before_the_order_finishes_no_change(self):
        early = changing_view(report=report('2', term=6), known_since=NOW - 1)
        assert not decide_on(early).finished
        assert decide_on(
            changing_view(report=report('2', term=7))
        ).finished == {'a': TARGET}

    @pytest.mark.parametrize('reason', ['host', 'target', 'fenced'])
    def test_a_change_is_stated_again_under_a_new_number(self, reason):
        engine = changing_view()
        if reason == 'host':
            engine.change = dataclasses.replace(engine.change, incarnation=2)
        elif reason == 'target':
            engine.wanted = WantedEngine('m', '3')
        else:
            engine.progress.fenced = True
        decisions = decide_on(engine, loads=1)
        assert [change.number for change in decisions.changes] == [0]
        assert not decisions.orders

    def test_a_change_without_reports_is_abandoned(self):
        silent = changing_view(
            known_since=NOW - MAX_WITHOUT_REPORT_S - 1,
            reported_at=NOW - MAX_WITHOUT_REPORT_S - 1,
        )
        assert decide_on(silent).abandoned == ['a']
        assert decide_on(changing_view(wanted=None)).abandoned == ['a']
