"""The learnt distribution of output lengths of each service."""

from __future__ import annotations

import math

import numpy as np
from numpy.typing import NDArray

# Longer outputs are counted as this length, tokens.
MAX_OUTPUT_TOKENS = 16_384
# Ratio of the upper edges of two neighbouring bins.
BIN_RATIO = 1.12
# Number of samples after which an old one's weight has fallen to 1/e.
DECAY_SAMPLES = 1_000.0
# Number of samples that the prior counts as; its weight does not decay.
PRIOR_SAMPLES = 10.0
# Median and log standard deviation of the lognormal prior.
PRIOR_MEDIAN_TOKENS = 250.0
PRIOR_LOG_SIGMA = 1.0
# Number of new samples after which the tables are computed again.
REFRESH_SAMPLES = 16
# Prior of the accuracy of callers' estimates: standard deviation of
# log(estimate / length), and number of samples that it counts as.
HINT_PRIOR_SIGMA = 0.6
HINT_PRIOR_SAMPLES = 8.0
# Maximum number of rows of the table; a full table is cleared.
MAX_ROWS = 512
# Sample weights are rescaled before they exceed this.
_MAX_WEIGHT = 1e12

Floats = NDArray[np.float64]
Integers = NDArray[np.int64]


def _bin_edges() -> Integers:
    """Returns the bins' upper edges in tokens: 1, 2, ..., then log-spaced."""
    edges = [1]
    while edges[-1] < MAX_OUTPUT_TOKENS:
        following = max(edges[-1] + 1, int(edges[-1] * BIN_RATIO))
        edges.append(min(following, MAX_OUTPUT_TOKENS))
    return np.array(edges, dtype=np.int64)


BIN_EDGES = _bin_edges()
_WIDTHS = np.diff(BIN_EDGES, prepend=0)
_BIN_BY_LENGTH = np.repeat(np.arange(len(BIN_EDGES)), _WIDTHS).tolist()
# Index of the first bin of the lengths above n, for n from 0 to
# MAX_OUTPUT_TOKENS. No length is above the last n: its index is past the bins.
_BIN_ABOVE = np.append(np.array(_BIN_BY_LENGTH), len(BIN_EDGES))
_LOG_EDGES = np.log(BIN_EDGES)
_ABOVE_NONE = np.zeros(1)


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
    """Histogram of one service's output lengths, in which old samples decay.

    All of a bin's weight counts at its upper edge, so that sums of lengths
    are overestimated by at most a factor BIN_RATIO and never underestimated.

    Attributes:
        weights: weight of each bin including the prior, at the last refresh.
    """

    __slots__ = (
        '_prior',
        '_sample_weight',
        '_samples',
        '_samples_since_refresh',
        'weights',
    )

    def __init__(
        self,
        prior_median: float = PRIOR_MEDIAN_TOKENS,
        prior_log_sigma: float = PRIOR_LOG_SIGMA,
    ):
        prior = lognormal_bins(prior_median, prior_log_sigma)
        self._prior = prior * PRIOR_SAMPLES
        self._samples = np.zeros(len(BIN_EDGES))
        self._sample_weight = 1.0
        self._samples_since_refresh = 0
        self.weights = self._prior

    def record(self, tokens: int) -> bool:
        """Counts an output.

        Returns:
            Whether the weights were refreshed.
        """
        length = min(max(tokens, 1), MAX_OUTPUT_TOKENS)
        self._samples[_BIN_BY_LENGTH[length - 1]] += self._sample_weight
        self._sample_weight *= 1 + 1 / DECAY_SAMPLES
        if self._sample_weight > _MAX_WEIGHT:
            self._samples /= self._sample_weight
            self._sample_weight = 1.0
        self._samples_since_refresh += 1
        if self._samples_since_refresh >= REFRESH_SAMPLES:
            self.refresh()
            return True
        return False

    def refresh(self) -> None:
        """Computes the weights from all samples so far."""
        self.weights = self._samples / self._sample_weight + self._prior
        self._samples_since_refresh = 0


class HintAccuracy:
    """Distribution of the errors of callers' estimates of output lengths.

    log(estimate / length) is assumed to be normally distributed.

    Attributes:
        samples: number of estimates that were compared, including the prior.
    """

    __slots__ = ('_mean', '_squares', 'samples')

    def __init__(self):
        self.samples = HINT_PRIOR_SAMPLES
        self._mean = 0.0
        self._squares = HINT_PRIOR_SAMPLES * HINT_PRIOR_SIGMA**2

    def record(self, hint: int, tokens: int) -> None:
        """Compares an estimate with the length of the finished output."""
        error = math.log(max(1, hint) / max(1, tokens))
        self.samples += 1
        step = error - self._mean
        self._mean += step / self.samples
        self._squares += step * (error - self._mean)

    def likelihood(self, hint: int) -> Floats:
        """Returns the likelihood of an estimate for the length of each bin."""
        sigma = math.sqrt(self._squares / self.samples)
        errors = math.log(max(1, hint)) - _LOG_EDGES - self._mean
        return np.exp(-0.5 * (errors / sigma) ** 2)


def survival_of_bins(weights: Floats) -> Floats:
    """Returns P(length is in the bin or above) for each bin, then a 0."""
    # Summed from the tail, so that small tail probabilities stay accurate.
    at_least = np.cumsum(weights[::-1])[::-1]
    return np.append(at_least / at_least[0], _ABOVE_NONE)


class OutputLengths:
    """Learnt output lengths by service, and by the caller's estimate if any."""

    __slots__ = (
        '_accuracy_by_service',
        '_histogram_by_service',
        '_row_by_key',
        '_table',
    )

    def __init__(self):
        self._histogram_by_service: dict[str, LengthHistogram] = {}
        self._accuracy_by_service: dict[str, HintAccuracy] = {}
        # Row of the table by service and estimate; the estimate is 0 for none.
        self._row_by_key: dict[tuple[str, int], int] = {}
        self._table: Floats = np.zeros((0, len(BIN_EDGES) + 1))

    def record(self, service: str, tokens: int, hint: int = 0) -> None:
        """Counts the length of a finished output.

        Args:
            service: the service.
            tokens: length of the output.
            hint: the caller's estimate of the length, 0 for none.
        """
        if len(self._row_by_key) >= MAX_ROWS:
            self._row_by_key.clear()
            self._table = self._table[:0]
        self.row(service, hint)
        if hint:
            self._accuracy_by_service[service].record(hint, tokens)
        if self._histogram_by_service[service].record(tokens):
            self._forget_rows(service)

    def row(self, service: str, hint: int = 0) -> int:
        """Returns the number of a row of the table, which is added if new.

        Args:
            service: the service.
            hint: the caller's estimate of the length, 0 for none.
        """
        row = self._row_by_key.get((service, hint))
        if row is not None:
            return row
        histogram = self._histogram_by_service.get(service)
        if histogram is None:
            histogram = LengthHistogram(hint or PRIOR_MEDIAN_TOKENS)
            self._histogram_by_service[service] = histogram
            self._accuracy_by_service[service] = HintAccuracy()
        weights = histogram.weights
        if hint:
            accuracy = self._accuracy_by_service[service]
            weights = weights * accuracy.likelihood(hint)
        row = self._row_by_key[service, hint] = len(self._table)
        self._table = np.vstack([self._table, survival_of_bins(weights)])
        return row

    def _forget_rows(self, service: str) -> None:
        """Removes a service's rows after its histogram was refreshed."""
        kept = [key for key in self._row_by_key if key[0] != service]
        rows = [self._row_by_key[key] for key in kept]
        self._table = self._table[rows]
        self._row_by_key = {key: number for number, key in enumerate(kept)}

    def survival(self, rows: Integers, lengths: Integers) -> Floats:
        """Returns P(length > n), elementwise.

        Args:
            rows: rows of the table, broadcast against lengths.
            lengths: n, in tokens.
        """
        bounded = np.minimum(lengths, MAX_OUTPUT_TOKENS)
        return self._table[rows, _BIN_ABOVE[bounded]]

    def tail(self, service: str, tokens: int) -> float:
        """Returns P(length > tokens)."""
        return float(self._survival(service)[min(tokens, MAX_OUTPUT_TOKENS)])

    def mean(self, service: str) -> float:
        """Returns the mean length, tokens."""
        return self.remaining_mean(service, 0)

    def quantile(self, service: str, q: float) -> int:
        """Returns the smallest n with P(length <= n) >= q, tokens."""
        return self.remaining_quantile(service, 0, q)

    def remaining_mean(self, service: str, emitted: int) -> float:
        """Returns E[length - emitted | length > emitted], at least 1."""
        emitted = min(emitted, MAX_OUTPUT_TOKENS - 1)
        survival = self._survival(service)
        return float(survival[emitted:].sum() / survival[emitted])

    def remaining_quantile(self, service: str, emitted: int, q: float) -> int:
        """Returns a quantile of the remaining length, tokens.

        It is the smallest n with
        P(length - emitted <= n | length > emitted) >= q.
        """
        survival = self._survival(service)
        emitted = min(emitted, MAX_OUTPUT_TOKENS - 1)
        allowed = (1 - q) * survival[emitted]
        following = -survival[emitted + 1 :]
        return 1 + int(np.searchsorted(following, -allowed))

    def _survival(self, service: str) -> Floats:
        """Returns P(length > n) for n from 0 to MAX_OUTPUT_TOKENS."""
        row = self.row(service)
        return self._table[row][_BIN_ABOVE]
