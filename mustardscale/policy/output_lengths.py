"""The learnt distribution of output lengths of each service."""

from __future__ import annotations

import math

import numpy as np
from numpy.typing import NDArray

# Longest output that is told apart, tokens.
LONGEST_OUTPUT_TOKENS = 16_384
# Ratio of the upper edges of two neighbouring bins.
BIN_RATIO = 1.12
# Samples after which an old sample's weight has fallen to 1/e.
MEMORY_SAMPLES = 1_000.0
# Samples that the prior counts for; it is never forgotten.
PRIOR_SAMPLES = 10.0
# Median and log standard deviation of the lognormal prior.
PRIOR_MEDIAN_TOKENS = 250.0
PRIOR_LOG_SIGMA = 1.0
# Samples after which the tables are computed again.
REFRESH_SAMPLES = 16
# Sample weights are rescaled before they exceed this.
_LARGEST_WEIGHT = 1e12

Floats = NDArray[np.float64]
Integers = NDArray[np.int64]


def _bin_edges() -> Integers:
    """Returns the bins' upper edges in tokens: 1, 2, ... log-spaced."""
    edges = [1]
    while edges[-1] < LONGEST_OUTPUT_TOKENS:
        following = max(edges[-1] + 1, int(edges[-1] * BIN_RATIO))
        edges.append(min(following, LONGEST_OUTPUT_TOKENS))
    return np.array(edges, dtype=np.int64)


BIN_EDGES = _bin_edges()
_WIDTHS = np.diff(BIN_EDGES, prepend=0)
_BIN_BY_LENGTH = np.repeat(np.arange(len(BIN_EDGES)), _WIDTHS).tolist()


def lognormal_bins(median: float, log_sigma: float) -> Floats:
    """Returns the probability of each bin under a lognormal distribution."""
    scale = log_sigma * math.sqrt(2)
    below = [
        0.5 * (1 + math.erf((math.log(edge / median)) / scale))
        for edge in BIN_EDGES.tolist()
    ]
    below[-1] = 1.0
    return np.diff(np.array(below), prepend=0.0)


class LengthHistogram:
    """Output lengths of one service in bounded bins, old ones forgotten.

    All of a bin's weight counts at its upper edge, so that sums of lengths
    are overestimated by at most BIN_RATIO and never underestimated.

    Attributes:
        survival: P(length > n) for n from 0 to LONGEST_OUTPUT_TOKENS.
        sums: sum of survival from n on, for each n.
    """

    __slots__ = (
        '_prior',
        '_sample_weight',
        '_unread',
        '_weights',
        'sums',
        'survival',
    )

    def __init__(
        self,
        prior_median: float = PRIOR_MEDIAN_TOKENS,
        prior_log_sigma: float = PRIOR_LOG_SIGMA,
    ):
        prior = lognormal_bins(prior_median, prior_log_sigma)
        self._prior = prior * PRIOR_SAMPLES
        self._weights = np.zeros(len(BIN_EDGES))
        self._sample_weight = 1.0
        self._unread = 0
        self.survival = np.zeros(LONGEST_OUTPUT_TOKENS + 1)
        self.sums = np.zeros(LONGEST_OUTPUT_TOKENS + 1)
        self.refresh()

    def record(self, tokens: int) -> bool:
        """Counts an output; returns whether the tables were refreshed."""
        length = min(max(tokens, 1), LONGEST_OUTPUT_TOKENS)
        self._weights[_BIN_BY_LENGTH[length - 1]] += self._sample_weight
        self._sample_weight *= 1 + 1 / MEMORY_SAMPLES
        if self._sample_weight > _LARGEST_WEIGHT:
            self._weights /= self._sample_weight
            self._sample_weight = 1.0
        self._unread += 1
        if self._unread >= REFRESH_SAMPLES:
            self.refresh()
            return True
        return False

    def refresh(self) -> None:
        """Computes survival and sums from the samples so far."""
        weights = self._weights / self._sample_weight + self._prior
        # Summed from the tail, so that small tail probabilities are exact.
        at_least = np.cumsum(weights[::-1])[::-1]
        at_least /= at_least[0]
        self.survival[:-1] = np.repeat(at_least, _WIDTHS)
        self.survival[-1] = 0.0
        self.sums = np.cumsum(self.survival[::-1])[::-1]
        self._unread = 0


class OutputLengths:
    """Learnt output lengths by service."""

    __slots__ = ('_histogram_by_service', '_row_by_service', '_table')

    def __init__(self):
        self._histogram_by_service: dict[str, LengthHistogram] = {}
        self._row_by_service: dict[str, int] = {}
        self._table: Floats = np.zeros((0, LONGEST_OUTPUT_TOKENS + 1))

    def record(self, service: str, tokens: int) -> None:
        """Counts the length of a finished output."""
        row = self.row(service)
        histogram = self._histogram_by_service[service]
        if histogram.record(tokens):
            self._table[row] = histogram.survival

    def row(self, service: str) -> int:
        """Returns the service's row in the survival table."""
        row = self._row_by_service.get(service)
        if row is None:
            row = len(self._row_by_service)
            histogram = LengthHistogram()
            self._row_by_service[service] = row
            self._histogram_by_service[service] = histogram
            self._table = np.vstack([self._table, histogram.survival])
        return row

    def survival(self, rows: Integers, lengths: Integers) -> Floats:
        """Looks up P(length > n), elementwise.

        Args:
            rows: rows of the services, broadcast against lengths.
            lengths: n, in tokens.
        """
        return self._table[rows, np.minimum(lengths, LONGEST_OUTPUT_TOKENS)]

    def tail(self, service: str, tokens: int) -> float:
        """Returns P(length > tokens)."""
        row = self.row(service)
        return float(self._table[row, min(tokens, LONGEST_OUTPUT_TOKENS)])

    def mean(self, service: str) -> float:
        """Returns the mean length, tokens."""
        return self.remaining_mean(service, 0)

    def quantile(self, service: str, q: float) -> int:
        """Returns the smallest n with P(length <= n) >= q, tokens."""
        return self.remaining_quantile(service, 0, q)

    def remaining_mean(self, service: str, emitted: int) -> float:
        """Returns E[length - emitted | length > emitted], at least 1."""
        row = self.row(service)
        emitted = min(emitted, LONGEST_OUTPUT_TOKENS - 1)
        histogram = self._histogram_by_service[service]
        return float(histogram.sums[emitted] / self._table[row, emitted])

    def remaining_quantile(self, service: str, emitted: int, q: float) -> int:
        """Returns the smallest n with P(length - emitted <= n | ...) >= q.

        The condition is that the output is longer than emitted.
        """
        row = self.row(service)
        survival = self._table[row]
        emitted = min(emitted, LONGEST_OUTPUT_TOKENS - 1)
        allowed = (1 - q) * survival[emitted]
        following = -survival[emitted + 1 :]
        return 1 + int(np.searchsorted(following, -allowed))
