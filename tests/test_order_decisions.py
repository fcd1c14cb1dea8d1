"""Decisions on orders, which are pure functions of what is known."""

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
    LOG_AGE_S,
    ORDER_TIMEOUT_S,
    REFRESH_S,
    RESTART_AFTER_S,
)
from mustardscale.orders.order_decisions import (
    DRAIN_LIMIT_S,
    FRESH_S,
    LOAD_LIMIT_S,
    MARGIN_S,
    SETTLE_S,
    UNHEARD_LIMIT_S,
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
    """Returns a decode engine that serves and shall have version 2."""
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


def changed(engine='a', known_since=NOW - 20, drained=True, **fields):
    """Returns an engine with a change of its own under way."""
    change = EngineChange(engine, TARGET, 'me', 1, True, 7)
    progress = ChangeProgress(7, known_since, drained)
    return view(engine, change=change, progress=progress, **fields)


def decided(*views, loads=9, held_since=NOW - 60, load_s=0.0, served=('m',)):
    limits = WeightStoreLimits(loads, 1.0 if load_s else 0.0, load_s)
    by_engine = {item.listed.id: item for item in views}
    known = Situation(
        'me', 1, held_since, NOW - 10, limits, frozenset(served), by_engine
    )
    return decide(known, NOW)


def begun(decisions):
    return [change.engine for change in decisions.changes]


class TestBeginning:
    """When an engine is taken out of service."""

    def test_one_of_a_few_and_two_of_eight(self):
        few = decided(*(view(name) for name in 'abc'))
        many = decided(*(view(name) for name in 'abcdefgh'))
        assert (begun(few), begun(many)) == (['a'], ['a', 'b'])

    def test_the_last_one_is_held_back(self):
        silent = view('b', report=None)
        decisions = decided(view('a'), silent)
        assert begun(decisions) == []
        assert decisions.held_back == ['a']
        allowed = WantedEngine('m', '2', allow_outage=True)
        assert begun(decided(view('a', wanted=allowed), silent)) == ['a']
        assert begun(decided(view('a'), silent, served=())) == ['a']

    def test_one_that_does_not_serve_may_go_at_once(self):
        broken = view('b', report=report(model='x'))
        assert begun(decided(view('a'), broken)) == ['b']

    def test_not_on_an_old_report(self):
        old = view('a', reported_at=NOW - FRESH_S - 1)
        assert begun(decided(old, view('b', '2'), view('c', '2'))) == []

    def test_not_beyond_the_weight_store(self):
        busy = changed('x', pool='other')
        assert begun(decided(view('a'), view('b'), busy, loads=1)) == []
        assert begun(decided(view('a'), view('b'), busy, loads=2)) == ['a']

    def test_what_is_as_wanted_is_left_alone(self):
        decisions = decided(view('a', '2'), view('b', '2'))
        assert not decisions.writes
        assert not decisions.orders


class TestGoingOn:
    """When an order is sent, repeated, stated anew or ended."""

    def test_after_the_engine_is_drained_or_the_limit(self):
        busy = changed(drained=False)
        late = changed(drained=False, known_since=NOW - DRAIN_LIMIT_S)
        assert not decided(busy).orders
        assert decided(late).orders['a'].term == 7

    @pytest.mark.parametrize(('fencing', 'sent'), [(True, 1), (False, 0)])
    def test_an_earlier_holder_s_margin(self, fencing, sent):
        engine = changed(fencing=fencing)
        soon = decided(engine, held_since=NOW - MARGIN_S + 0.1)
        assert len(soon.orders) == sent
        assert len(decided(engine, held_since=NOW - MARGIN_S).orders) == 1

    def test_the_margin_outlasts_an_earlier_holder_s_last_order(self):
        assert MARGIN_S >= LOG_AGE_S + ORDER_TIMEOUT_S
        assert RESTART_AFTER_S > 2 * REFRESH_S

    def test_loads_keep_their_distance(self):
        engines = [changed('a'), changed('b')]
        assert len(decided(*engines).orders) == 2
        assert len(decided(*engines, load_s=9.0).orders) == 1
        assert not decided(*engines, load_s=11.0).orders

    def test_an_order_is_not_repeated_while_the_engine_loads(self):
        engine = changed(report=report(model=''))
        engine.progress.note_sent(NOW - 30)
        assert not decided(engine).orders
        engine.progress.sent_at = NOW - LOAD_LIMIT_S - 1
        assert decided(engine).orders

    def test_an_order_that_had_no_effect_is_repeated(self):
        engine = changed()
        engine.progress.note_sent(NOW - SETTLE_S)
        assert decided(engine).orders
        engine.progress.accepted = True
        assert not decided(engine).orders
        engine.progress.sent_at -= 1
        assert decided(engine).orders

    def test_a_report_from_before_the_order_ends_nothing(self):
        early = changed(report=report('2', term=6), known_since=NOW - 1)
        assert not decided(early).finished
        assert decided(changed(report=report('2', term=7))).finished == {
            'a': TARGET
        }

    @pytest.mark.parametrize('reason', ['host', 'target', 'fenced'])
    def test_stated_under_a_new_number(self, reason):
        engine = changed()
        if reason == 'host':
            engine.change = dataclasses.replace(engine.change, incarnation=2)
        elif reason == 'target':
            engine.wanted = WantedEngine('m', '3')
        else:
            engine.progress.fenced = True
        decisions = decided(engine, loads=1)
        assert [change.number for change in decisions.changes] == [0]
        assert not decisions.orders

    def test_given_up_when_nothing_is_heard(self):
        silent = changed(
            known_since=NOW - UNHEARD_LIMIT_S - 1,
            reported_at=NOW - UNHEARD_LIMIT_S - 1,
        )
        assert decided(silent).abandoned == ['a']
        assert decided(changed(wanted=None)).abandoned == ['a']
