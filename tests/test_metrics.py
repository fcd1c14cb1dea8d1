"""Tests of the metrics and of their text form."""

import random
import re

import pytest

from mustardscale.outcomes import Outcome
from mustardscale.reporting.metrics import (
    MAX_NAMES,
    MAX_SERVICES,
    OTHER_SERVICE,
    LatencyHistogram,
    Metrics,
)
from mustardscale.reporting.prometheus_text import prometheus_text

SAMPLE = re.compile(
    r'[a-z_]+(\{[a-z]+="(\\.|[^"\\])*"(,[a-z]+="(\\.|[^"\\])*")*\})? \S+'
)


class TestLatencyHistogram:
    """Quantiles of recorded times."""

    def test_quantiles_within_a_hundredth(self):
        rng = random.Random(3)
        times = [rng.expovariate(2.0) for _ in range(5000)]
        histogram = LatencyHistogram()
        for seconds in times:
            histogram.record(seconds)
        times.sort()
        for share in (0.5, 0.9, 0.99):
            exact = times[round(share * len(times)) - 1]
            assert histogram.quantile(share) == pytest.approx(exact, rel=0.01)
        assert histogram.sum_s == pytest.approx(sum(times), rel=1e-4)

    @pytest.mark.parametrize(
        ('seconds', 'recorded'), [(-1.0, 1e-6), (0.0, 1e-6), (1e9, 600.0)]
    )
    def test_times_outside_the_range(self, seconds, recorded):
        histogram = LatencyHistogram()
        histogram.record(seconds)
        assert histogram.count == 1
        assert histogram.quantile(0.5) == pytest.approx(recorded, rel=0.01)


class TestBounds:
    """Numbers of names are bounded."""

    def test_services_beyond_the_limit_share_one_name(self):
        metrics = Metrics()
        for number in range(10 * MAX_SERVICES):
            service = metrics.service(f's{number}')
            service.count_outcome(Outcome.COMPLETE)
        assert len(metrics.by_service) == MAX_SERVICES + 1
        others = metrics.by_service[OTHER_SERVICE].count_by_outcome
        assert others == {Outcome.COMPLETE: 9 * MAX_SERVICES}

    def test_names(self):
        metrics = Metrics()
        with pytest.raises(ValueError, match='no metric name'):
            metrics.count('a b')
        for number in range(MAX_NAMES):
            metrics.count(f'n{number}')
        metrics.count('n0')
        with pytest.raises(ValueError, match='more than'):
            metrics.add_gauge('late', lambda: 0.0)


class TestPrometheusText:
    """The text form."""

    def test_samples(self):
        metrics = Metrics()
        service = metrics.service('lm "1"\n\\')
        service.first_token.record(0.5)
        service.count_outcome(Outcome.RATE_LIMITED)
        metrics.count('retries', 2)
        metrics.add_gauge('streams', lambda: 3)
        metrics.add_gauge('broken', lambda: 1 / 0)
        metrics.add_gauge('unknown', lambda: float('nan'))
        text = prometheus_text(metrics)
        lines = text.splitlines()
        samples = [line for line in lines if not line.startswith('#')]
        assert all(SAMPLE.fullmatch(line) for line in samples)
        label = r'service="lm \"1\"\n\\"'
        name = 'mustardscale_first_token_seconds'
        assert f'{name}_sum{{{label}}} 0.5' in lines
        assert f'{name}_count{{{label}}} 1' in lines
        assert (
            f'mustardscale_requests_total{{{label},code="1001",'
            'outcome="rate_limited"} 1'
        ) in lines
        assert 'mustardscale_retries_total 2.0' in lines
        assert 'mustardscale_streams 3.0' in lines
        assert 'mustardscale_unknown NaN' in lines
        assert 'broken' not in text

    def test_each_metric_has_one_header(self):
        metrics = Metrics()
        for name in ('a', 'b'):
            metrics.service(name).queue_wait.record(1)
        types = re.findall(r'# TYPE (\S+)', prometheus_text(metrics))
        assert len(types) == len(set(types)) == 4
