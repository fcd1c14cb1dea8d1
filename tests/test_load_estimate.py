"""Tests of the load estimated from delayed reports and own requests."""

import pytest

from mustardscale.policy.load_estimate import DecodeLoad, LineFit, PrefillLoad

BASE_S = 0.02
PER_TOKEN_S = 1 / 16_000


def prefill_load():
    return PrefillLoad(LineFit(BASE_S, PER_TOKEN_S, 4000))


class TestLineFit:
    """A line fitted to observations with a prior."""

    def test_observations_replace_the_prior(self):
        fit = LineFit(BASE_S, PER_TOKEN_S, 4000)
        assert fit.value(16_000) == pytest.approx(1.02)
        for number in range(300):
            tokens = 1000 + 100 * (number % 80)
            fit.observe(tokens, 0.05 + tokens / 8000)
        assert fit.value(8000) == pytest.approx(1.05, rel=0.05)

    def test_one_repeated_point_stays_finite(self):
        fit = LineFit(0.012, 0.0006, 20)
        for _ in range(1000):
            fit.observe(10, 0.018)
        assert fit.value(10) == pytest.approx(0.018, rel=0.01)
        assert fit.value(20) == pytest.approx(0.024, rel=0.2)


class TestPrefillLoad:
    """The backlog of a prefill endpoint."""

    def test_sent_work_counts_before_any_report(self):
        load = prefill_load()
        load.send('a', 8000, 10.0)
        load.send('b', 8000, 10.0)
        assert load.backlog_s(10.0) == pytest.approx(1.04)
        assert load.backlog_s(10.3) == pytest.approx(0.74)

    def test_late_report_is_not_counted_twice(self):
        load = prefill_load()
        load.send('a', 8000, 0.0)
        load.report(8000, age_s=0.5, now=1.0)
        load.finish('a', 8000, 1.0)
        assert load.backlog_s(1.0) == pytest.approx(0, abs=1e-9)

    def test_foreign_work_counts_until_it_is_computed(self):
        load = prefill_load()
        load.report(16_000, age_s=0.25, now=1.0)
        assert load.backlog_s(1.0) == pytest.approx(0.75)
        assert load.backlog_tokens(1.5) == pytest.approx(4000)
        assert load.backlog_s(3.0) == 0

    def test_older_report_is_ignored(self):
        load = prefill_load()
        load.report(0, age_s=0.0, now=1.0)
        load.report(16_000, age_s=2.0, now=1.1)
        assert load.backlog_s(1.1) == 0

    def test_learns_the_rate_from_queued_prefills(self):
        load = prefill_load()
        now = 0.0
        for number in range(200):
            tokens = 1000 * (1 + number % 9)
            load.send(str(number), tokens, now)
            if number:
                now += 0.02 + 1000 * (1 + (number - 1) % 9) / 8000
                load.finish(str(number - 1), 1000 * (1 + (number - 1) % 9), now)
        assert load.fit.value(8000) == pytest.approx(1.02, rel=0.05)

    def test_dropped_work_no_longer_counts(self):
        load = prefill_load()
        load.send('a', 8000, 0.0)
        load.drop('a', 0.1)
        assert load.backlog_s(0.1) == 0


class TestDecodeLoad:
    """The batch of a decode endpoint."""

    def test_occupancy_corrects_the_report(self):
        load = DecodeLoad(LineFit(0.012, 0.0006, 20))
        load.sent.send('a', 1, 0.0)
        load.report(active=6, step_s=0.0156, age_s=0.5, now=1.0)
        load.sent.send('b', 1, 1.2)
        load.sent.finish('a', 1.3)
        assert load.active() == 6
        assert load.step_s(added=4) == pytest.approx(0.018, rel=0.01)
