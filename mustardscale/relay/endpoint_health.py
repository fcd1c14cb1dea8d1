"""What this host has seen of the endpoints of plain services."""

from __future__ import annotations

import dataclasses
import math

# Weight of a new sample in the mean time of answers.
SAMPLE_WEIGHT = 0.25
# Mean time of an endpoint that nothing is known of, seconds.
UNKNOWN_S = 0.05
# Failures in a row after which an endpoint rests, and for how long, seconds.
FAILURES_TO_REST = 2
FIRST_REST_S = 1.0
LONGEST_REST_S = 8.0
# Weight of a new outcome in the share of failures.
OUTCOME_WEIGHT = 0.15
# Time after which what was seen counts for 1/e, so that an endpoint that was
# slow or failing is tried again, seconds.
MEMORY_S = 6.0
# A call without an answer counts as overdue after this multiple of the mean
# time of all endpoints, and at least after OVERDUE_LEAST_S.
OVERDUE_FACTOR = 5.0
OVERDUE_LEAST_S = 0.4


@dataclasses.dataclass(slots=True)
class EndpointHealth:
    """What is remembered of one endpoint.

    Attributes:
        mean_s: mean time of its answers, seconds; old ones are forgotten.
        failing: share of calls that failed; old ones are forgotten.
        failures: failures since the last answer.
        rests_until: loop time until which it gets no calls.
        began_at_by_call: loop time at which each open call began.
        judged_at: loop time of the last answer or failure.
    """

    mean_s: float = UNKNOWN_S
    failing: float = 0.0
    failures: int = 0
    rests_until: float = -math.inf
    began_at_by_call: dict[str, float] = dataclasses.field(default_factory=dict)
    judged_at: float = -math.inf

    def begin(self, call: str, now: float) -> None:
        """Notes the begin of a call."""
        self.began_at_by_call[call] = now

    def end(self, call: str) -> float | None:
        """Notes the end of a call and returns when it began."""
        return self.began_at_by_call.pop(call, None)

    def trust(self, now: float) -> float:
        """Returns how much the last outcomes still say, from 1 down to 0."""
        return math.exp(min(0.0, (self.judged_at - now) / MEMORY_S))

    def answered(self, seconds: float, now: float) -> None:
        """Notes an answer and the time that it took."""
        self.judged_at = now
        self.mean_s += SAMPLE_WEIGHT * (seconds - self.mean_s)
        self.failing -= OUTCOME_WEIGHT * self.failing
        self.failures = 0

    def failed(self, now: float) -> None:
        """Notes a call without an answer, or one that the endpoint failed."""
        self.judged_at = now
        self.failing += OUTCOME_WEIGHT * (1.0 - self.failing)
        self.failures += 1
        surplus = self.failures - FAILURES_TO_REST
        if surplus >= 0:
            rest_s = min(LONGEST_REST_S, FIRST_REST_S * 2.0 ** min(surplus, 8))
            self.rests_until = now + rest_s

    def unreachable(self, now: float) -> None:
        """Notes that no connection was made; the endpoint rests at once."""
        self.failures = max(self.failures, FAILURES_TO_REST - 1)
        self.failed(now)

    def overdue(self, typical_s: float, now: float) -> int:
        """Returns how many open calls have waited unusually long."""
        limit_s = max(OVERDUE_LEAST_S, OVERDUE_FACTOR * typical_s)
        return sum(
            now - began_at > limit_s
            for began_at in self.began_at_by_call.values()
        )


class HealthTable:
    """The health of all endpoints by id."""

    __slots__ = ('by_id',)

    def __init__(self):
        self.by_id: dict[str, EndpointHealth] = {}

    def of(self, endpoint_id: str) -> EndpointHealth:
        """Returns what is remembered of an endpoint."""
        known = self.by_id.get(endpoint_id)
        if known is None:
            known = self.by_id[endpoint_id] = EndpointHealth()
        return known

    def forget_all_but(self, endpoint_ids: set[str]) -> None:
        """Forgets endpoints that are gone and have no open call."""
        for endpoint_id in list(self.by_id):
            if (
                endpoint_id not in endpoint_ids
                and not self.by_id[endpoint_id].began_at_by_call
            ):
                del self.by_id[endpoint_id]
