"""Health of plain endpoints as this host observes it."""

from __future__ import annotations

import dataclasses
import math

# Weight of a new sample in the moving mean of the answer time.
MEAN_SAMPLE_WEIGHT = 0.25
# Initial mean answer time of an endpoint without samples, seconds.
DEFAULT_MEAN_S = 0.05
# Consecutive failures after which an endpoint gets no calls for a time, and the
# bounds of that time, seconds. Each further failure doubles it.
FAILURES_BEFORE_BACKOFF = 2
MIN_BACKOFF_S = 1.0
MAX_BACKOFF_S = 8.0
# Weight of a new outcome in the moving share of failed calls.
FAILURE_SAMPLE_WEIGHT = 0.15
# Time in which the weight of past observations falls to 1/e, seconds. Without
# this decay a slow or failing endpoint would never be tried again.
CONFIDENCE_DECAY_S = 6.0
# A call without an answer counts as overdue after this multiple of the median
# answer time of all endpoints, but not before MIN_OVERDUE_S.
OVERDUE_FACTOR = 5.0
MIN_OVERDUE_S = 0.4


@dataclasses.dataclass(slots=True)
class EndpointHealth:
    """Observed health of one endpoint.

    Attributes:
        mean_s: exponential moving mean of its answer times, seconds.
        failure_share: exponential moving share of calls that failed.
        consecutive_failures: failures since the last answer.
        backoff_until: loop time until which it gets no calls.
        began_at_by_call: loop time at which each open call began.
        last_outcome_at: loop time of the last answer or failure.
    """

    mean_s: float = DEFAULT_MEAN_S
    failure_share: float = 0.0
    consecutive_failures: int = 0
    backoff_until: float = -math.inf
    began_at_by_call: dict[str, float] = dataclasses.field(default_factory=dict)
    last_outcome_at: float = -math.inf

    def begin(self, call: str, now: float) -> None:
        """Records the start of a call."""
        self.began_at_by_call[call] = now

    def end(self, call: str) -> float | None:
        """Records the end of a call and returns when it began."""
        return self.began_at_by_call.pop(call, None)

    def compute_confidence(self, now: float) -> float:
        """Returns the weight of past outcomes, which decays from 1 to 0."""
        return math.exp(
            min(0.0, (self.last_outcome_at - now) / CONFIDENCE_DECAY_S)
        )

    def record_answer(self, seconds: float, now: float) -> None:
        """Records an answer and the seconds that it took."""
        self.last_outcome_at = now
        self.mean_s += MEAN_SAMPLE_WEIGHT * (seconds - self.mean_s)
        self.failure_share -= FAILURE_SAMPLE_WEIGHT * self.failure_share
        self.consecutive_failures = 0

    def record_failure(self, now: float) -> None:
        """Records a call without an answer or with a server error."""
        self.last_outcome_at = now
        self.failure_share += FAILURE_SAMPLE_WEIGHT * (1.0 - self.failure_share)
        self.consecutive_failures += 1
        surplus = self.consecutive_failures - FAILURES_BEFORE_BACKOFF
        if surplus >= 0:
            backoff_s = min(
                MAX_BACKOFF_S, MIN_BACKOFF_S * 2.0 ** min(surplus, 8)
            )
            self.backoff_until = now + backoff_s

    def record_unreachable(self, now: float) -> None:
        """Records a failed connection, which starts a backoff at once."""
        self.consecutive_failures = max(
            self.consecutive_failures, FAILURES_BEFORE_BACKOFF - 1
        )
        self.record_failure(now)

    def count_overdue(self, median_s: float, now: float) -> int:
        """Returns how many open calls have waited beyond the overdue limit."""
        limit_s = max(MIN_OVERDUE_S, OVERDUE_FACTOR * median_s)
        return sum(
            now - began_at > limit_s
            for began_at in self.began_at_by_call.values()
        )


class HealthTable:
    """The health of all endpoints by id."""

    __slots__ = ('by_id',)

    def __init__(self):
        self.by_id: dict[str, EndpointHealth] = {}

    def get_or_create(self, endpoint_id: str) -> EndpointHealth:
        """Returns the health of an endpoint, a new one if it is unknown."""
        known = self.by_id.get(endpoint_id)
        if known is None:
            known = self.by_id[endpoint_id] = EndpointHealth()
        return known

    def retain_only(self, endpoint_ids: set[str]) -> None:
        """Drops all other endpoints, except those with an open call."""
        for endpoint_id in list(self.by_id):
            if (
                endpoint_id not in endpoint_ids
                and not self.by_id[endpoint_id].began_at_by_call
            ):
                del self.by_id[endpoint_id]
