"""Counters, gauges and latency histograms of one process."""

from __future__ import annotations

import logging
import re
from collections.abc import Callable

from hdrh.histogram import HdrHistogram

from mustardscale.outcomes import Outcome

log = logging.getLogger(__name__)

# Services beyond this number share the name OTHER_SERVICE.
MAX_SERVICES = 64
OTHER_SERVICE = 'other'
# Counters and gauges of the process at most; more are a programming error.
MAX_NAMES = 256

_MICROSECONDS = 1_000_000
_LOWEST_US = 1
# Ten minutes; longer times are counted as this.
_HIGHEST_US = 600 * _MICROSECONDS
_SIGNIFICANT_DIGITS = 2
_NAME = re.compile(r'[a-z][a-z0-9_]*')


class LatencyHistogram:
    """Times of one kind for one service."""

    __slots__ = ('_histogram', 'sum_s')

    def __init__(self):
        self._histogram = HdrHistogram(
            _LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS
        )
        self.sum_s = 0.0

    @property
    def count(self) -> int:
        """Number of recorded times."""
        return self._histogram.get_total_count()

    def record(self, seconds: float) -> None:
        """Records a time; times outside the range count as its bounds."""
        microseconds = round(max(0.0, seconds) * _MICROSECONDS)
        bounded = min(max(microseconds, _LOWEST_US), _HIGHEST_US)
        self._histogram.record_value(bounded)
        self.sum_s += bounded / _MICROSECONDS

    def quantile(self, share: float) -> float:
        """Returns the time in seconds not exceeded by this share."""
        percentile = 100.0 * share
        value = self._histogram.get_value_at_percentile(percentile)
        return value / _MICROSECONDS


class ServiceMetrics:
    """What is measured for one service.

    Attributes:
        first_token: seconds from a request's arrival to its first token.
        per_token: seconds per output token after the first.
        queue_wait: seconds from a request's arrival to its admission.
        count_by_outcome: finished requests.
    """

    __slots__ = ('count_by_outcome', 'first_token', 'per_token', 'queue_wait')

    def __init__(self):
        self.first_token = LatencyHistogram()
        self.per_token = LatencyHistogram()
        self.queue_wait = LatencyHistogram()
        self.count_by_outcome: dict[Outcome, int] = {}

    def count_outcome(self, outcome: Outcome) -> None:
        """Counts a finished request."""
        count = self.count_by_outcome.get(outcome, 0)
        self.count_by_outcome[outcome] = count + 1


class Metrics:
    """All metrics of a process.

    Attributes:
        by_service: metrics of services by name.
        counter_by_name: counters of the process.
        gauge_by_name: functions that give the value of a gauge now.
    """

    def __init__(self):
        self.by_service: dict[str, ServiceMetrics] = {}
        self.counter_by_name: dict[str, float] = {}
        self.gauge_by_name: dict[str, Callable[[], float]] = {}

    def service(self, name: str) -> ServiceMetrics:
        """Returns the metrics of a service."""
        found = self.by_service.get(name)
        if found is not None:
            return found
        if len(self.by_service) >= MAX_SERVICES:
            name = OTHER_SERVICE
        return self.by_service.setdefault(name, ServiceMetrics())

    def count(self, name: str, amount: float = 1) -> None:
        """Adds to a counter of the process.

        Raises:
            ValueError: the name is malformed or there are too many names.
        """
        if name not in self.counter_by_name:
            self._check_new(name)
        value = self.counter_by_name.get(name, 0)
        self.counter_by_name[name] = value + amount

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Adds a gauge that is read when the metrics are shown.

        Raises:
            ValueError: the name is malformed or there are too many names.
        """
        self._check_new(name)
        self.gauge_by_name[name] = read

    def _check_new(self, name: str) -> None:
        if _NAME.fullmatch(name) is None:
            raise ValueError(f'{name!r} is no metric name')
        if len(self.counter_by_name) + len(self.gauge_by_name) >= MAX_NAMES:
            raise ValueError(f'more than {MAX_NAMES} metrics')
