"""Tests of the learnt speeds of engines, and of the placement by them."""

import collections
import dataclasses
import random

import pytest

from mustardscale.configuration.routes import EngineSpec
from mustardscale.endpoints.engines import EngineRole
from mustardscale.platform.worker_control import (
    WorkerReport,
    make_load_report,
)
from mustardscale.policy.base import EngineState
from mustardscale.policy.engine_tracker import (
    DEFAULT_PREFILL_TOKENS_PER_S,
    EngineTracker,
)
from mustardscale.policy.reserving import ReservingPolicy
from mustardscale.policy.step_speeds import StepSpeeds
from tests.test_reserving import PoolScenario, report

REPORT_S = 0.9
POOL_STEP_S = 0.02
STREAMS = 6


class Engine:
    """An engine whose runs make tokens at a given step time."""

    def __init__(self, name):
        self.name = name
        self.start = 1
        self.tokens = [1.0] * STREAMS

    def report(self, step_s, passed_s=REPORT_S):
        self.tokens = [tokens + passed_s / step_s for tokens in self.tokens]
        return dataclasses.replace(
            report(EngineRole.DECODE),
            active=STREAMS,
            start=self.start,
            run_ids=tuple(f'r{n}' for n in range(STREAMS)),
            run_tokens=tuple(map(int, self.tokens)),
        )


class TestStepSpeeds:
    """What is learnt from the tokens in reports."""

    def feed(self, speeds, engine, step_times, now=0.0):
        for step_s in step_times:
            now += REPORT_S
            speeds.observe(engine.name, engine.report(step_s), POOL_STEP_S, now)
        return now

    @pytest.mark.parametrize('factor', [0.8, 1.8])
    def test_five_reports_after_the_first_show_an_engines_speed(self, factor):
        speeds = StepSpeeds()
        self.feed(speeds, Engine('a'), [factor * POOL_STEP_S] * 6)
        assert speeds.factor('a') == pytest.approx(factor, rel=0.15)

    def test_momentary_spells_do_not_hide_which_engine_is_slower(self):
        # Spells of 0.6 s, over when a report shows them.
        speeds, rng = StepSpeeds(), random.Random(1)
        for name, factor in (('fast', 0.8), ('slow', 1.8)):
            times = [
                factor * POOL_STEP_S * (2.5 if rng.random() < 0.15 else 1.0)
                for _ in range(60)
            ]
            self.feed(speeds, Engine(name), times)
        assert speeds.factor('slow') > 1.5 * speeds.factor('fast')

    def test_stalled_streams_count_as_slow(self):
        speeds, engine = StepSpeeds(), Engine('a')
        now = self.feed(speeds, engine, [POOL_STEP_S] * 6)
        self.feed(speeds, engine, [1e9] * 2, now)
        assert speeds.factor('a') > 1.8

    def test_a_restarted_engine_does_not_keep_its_speed(self):
        speeds, engine = StepSpeeds(), Engine('a')
        now = self.feed(speeds, engine, [2 * POOL_STEP_S] * 6)
        engine.start = 2
        self.feed(speeds, engine, [POOL_STEP_S], now)
        assert speeds.factor('a') == 1.0

    def test_an_idle_engine_is_tried_again(self):
        speeds, engine = StepSpeeds(), Engine('a')
        now = self.feed(speeds, engine, [3 * POOL_STEP_S] * 6)
        idle = report(EngineRole.DECODE)
        for _ in range(40):
            now += REPORT_S
            speeds.observe('a', idle, POOL_STEP_S, now)
        assert speeds.factor('a') == pytest.approx(1.0, abs=0.1)


class TestWorkerReports:
    """The tokens of runs in a worker's report."""

    SPEC = EngineSpec(48, 100_000, 1, 1e12, event_tokens=10)

    def make(self, rows):
        worker_report = WorkerReport(phase='decode', active_runs=rows)
        return make_load_report(
            worker_report, EngineRole.DECODE, 's', self.SPEC
        )

    def test_events_are_converted_to_tokens(self):
        found = self.make([['r1', 5_000, 3, 5], ['r2', 4_000, 0, 5]])
        assert (found.run_ids, found.run_tokens) == (('r1', 'r2'), (30, 0))

    @pytest.mark.parametrize('row', [['r1'], ['r1', 5, 'x', 5]])
    def test_rows_without_a_count_tell_no_tokens(self, row):
        assert self.make([row]).run_tokens is None


class TestPrefillRates:
    """The learnt rate of prefill engines."""

    def tracker(self, learns_speeds):
        tracker = EngineTracker(learns_speeds)
        for name in ('p0', 'p1'):
            self.observe(tracker, name, 1)
            tracker._learn_rate(name, 4_000, 1.02)
        return tracker

    def observe(self, tracker, name, start):
        sample = dataclasses.replace(
            report(EngineRole.PREFILL), start=start, prefill_tokens_per_s=0.0
        )
        engine = EngineState(name, EngineRole.PREFILL, 'dc1', report=sample)
        tracker.observe_report(None, engine, sample, 0.0)

    def test_a_restarted_or_new_engine_counts_like_the_others(self):
        tracker = self.tracker(True)
        tracker._learn_rate('p0', 8_000, 0.52)
        assert tracker.rate('p0') > 5_000
        self.observe(tracker, 'p0', 2)
        assert tracker.rate('p0') == tracker.rate('p9') == 4_000

    def test_off_nothing_changes(self):
        tracker = self.tracker(False)
        self.observe(tracker, 'p0', 2)
        assert tracker.rate('p0') == 4_000
        assert tracker.rate('p9') == DEFAULT_PREFILL_TOKENS_PER_S


class TestPlacement:
    """Streams go to decode engines by their speed."""

    def place(self, learns_speeds, fast_step_s=POOL_STEP_S / 2):
        scenario = PoolScenario(prefills=4, decodes=4)
        policy = ReservingPolicy(random.Random(1), learns_speeds)
        scenario.policy = policy
        for engine in scenario.pool.engines_by_id.values():
            policy.observe_report(scenario.pool, engine, engine.report, 0.0)
        runs = [Engine(f'd{n}') for n in range(4)]
        for number in range(12):
            for n, run in enumerate(runs):
                step_s = fast_step_s * (1.0 if n else 2.2)
                engine = scenario.pool.engines_by_id[run.name]
                sample = run.report(step_s)
                policy.observe_report(
                    scenario.pool, engine, sample, REPORT_S * number
                )
        placed = collections.Counter()
        for number in range(16):
            now = 20.0 + number
            scenario.ask(f'r{number}', now=now, tokens=100, max_tokens=50)
            for grant in scenario.decide(now).values():
                placed[grant.decode] += 1
        return placed

    def test_streams_are_spread_by_speed(self):
        # All sixteen went to the engine that comes first, the slow one.
        placed = self.place(True)
        assert sum(placed.values()) == 16
        assert 1 <= placed['d0'] <= 3
        assert max(placed.values()) <= 6

    def test_an_engine_too_slow_for_the_target_gets_none(self):
        # Its step of 44 ms exceeds the target of 30 ms a token.
        placed = self.place(True, POOL_STEP_S)
        assert sum(placed.values()) == 16
        assert 'd0' not in placed

    def test_slow_steps_mean_slow_local_prefills(self):
        tracker = EngineTracker(True)
        engine = Engine('d0')
        pool = PoolScenario().pool
        for number in range(8):
            sample = engine.report(0.05)
            state = EngineState('d0', EngineRole.DECODE, 'dc1', report=sample)
            tracker.observe_report(pool, state, sample, REPORT_S * number)
        found = tracker.describe_speeds().step_factor_by_id
        assert found['d0'] > 1.2
        slow_s = tracker.local_prefill_s(5_000, 'd0')
        assert slow_s > 1.2 * tracker.local_prefill_s(5_000, 'd1') - 0.01

    def test_off_placement_is_as_before(self):
        assert self.place(False) == {'d0': 16}
