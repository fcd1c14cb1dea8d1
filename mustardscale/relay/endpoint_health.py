"""What this host has seen of the endpoints of plain services."""

from __future__ import annotations

import dataclasses
import math

# Weight of a new sample in the mean time of answers.
MEAN_SAMPLE_WEIGHT = 0.25
# Mean time of an endpoint that nothing is known of, seconds.
DEFAULT_MEAN_S = 0.05
# Failures in a row after which an endpoint rests, and for how long, seconds.
FAILURES_BEFORE_BACKOFF = 2
MIN_BACKOFF_S = 1.0
MAX_BACKOFF_S = 8.0
# Weight of a new outcome in the share of failures.
FAILURE_SAMPLE_WEIGHT = 0.15
# Time after which what was seen counts for 1/e, so that an endpoint that was
# slow or failing is tried again, seconds.
CONFIDENCE_DECAY_S = 6.0
# A call without an answer counts as overdue after this multiple of the mean
# time of all endpoints, and at least after MIN_OVERDUE_S.
OVERDUE_FACTOR = 5.0
MIN_OVERDUE_S = 0.4


@dataclasses.dataclass(slots=True)
class EndpointHealth:
    """What is remembered of one endpoint.

    Attributes:
        mean_s: mean time of its answers, seconds; old ones are forgotten.
        failure_share: share of calls that failed; old ones are forgotten.
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
        """Notes the begin of a call."""
        self.began_at_by_call[call] = now

    def end(self, call: str) -> float | None:
        """Notes the end of a call and returns when it began."""
        return self.began_at_by_call.pop(call, None)

    def compute_confidence(self, now: float) -> float:
        """Returns how much the last outcomes still say, from 1 down to 0."""
        return math.exp(
            min(0.0, (self.last_outcome_at - now) / CONFIDENCE_DECAY_S)
        )

    def record_answer(self, seconds: float, now: float) -> None:
        """Notes an answer and the time that it took."""
        self.last_outcome_at = now
        self.mean_s += MEAN_SAMPLE_WEIGHT * (seconds - self.mean_s)
        self.failure_share -= FAILURE_SAMPLE_WEIGHT * self.failure_share
        self.consecutive_failures = 0

    def record_failure(self, now: float) -> None:
        """Notes a call without an answer, or one that the endpoint failed."""
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
        """Notes that no connection was made; the endpoint rests at once."""
        self.consecutive_failures = max(
            self.consecutive_failures, FAILURES_BEFORE_BACKOFF - 1
        )
        self.record_failure(now)

    def count_overdue(self, median_s: float, now: float) -> int:
        """Returns how many open calls have waited unusually long."""
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
        """Returns what is remembered of an endpoint."""
        known = self.by_id.get(endpoint_id)
        if known is None:
            known = self.by_id[endpoint_id] = EndpointHealth()
        return known

    def retain_only(self, endpoint_ids: set[str]) -> None:
        """Forgets endpoints that are gone and have no open call."""
        for endpoint_id in list(self.by_id):
            if (
                endpoint_id not in endpoint_ids
                and not self.by_id[endpoint_id].began_at_by_call
            ):
                del self.by_id[endpoint_id]
