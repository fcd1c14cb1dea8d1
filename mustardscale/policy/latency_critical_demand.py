"""Measures the demand of services with a strict first-token target."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Collection, Iterable, Mapping

from mustardscale.configuration.config_records import Profile
from mustardscale.policy.base import WaitingRequest

# Seconds after which an arrival's weight has fallen to 1/e.
RATE_DECAY_S = 20.0
# Share of a first-token target for which all prefill engines may be busy, and
# so the share that may pass before a prefill begins.
MAX_BUSY_SHARE = 0.3
# A service is latency-critical if its target is at most this factor times the
# strictest target.
LATENCY_CRITICAL_FACTOR = 1.5
# Services with fewer requests per second count as not in use.
MIN_RATE_PER_S = 0.02
# Maximum number of request ids that are remembered to count each one once.
MAX_KNOWN_REQUESTS = 4_000


@dataclasses.dataclass(frozen=True, slots=True)
class LatencyCriticalNeed:
    """What the latency-critical services need of the prefill engines.

    Attributes:
        wait_s: seconds for which all prefill engines may be busy.
        target_s: the strictest first-token target, seconds.
        weight_per_s: their requests per second, weighted by goodput weight.
    """

    wait_s: float
    target_s: float
    weight_per_s: float

    def is_latency_critical(self, profile: Profile) -> bool:
        """Returns whether a profile's target is near the strictest one."""
        return profile.first_token_s <= LATENCY_CRITICAL_FACTOR * self.target_s

    def busy_s(self, profile: Profile, left_s: float) -> float:
        """Returns the seconds for which a grant may keep all engines busy.

        While a request has plenty of time it leaves one engine free for
        latency-critical requests. The closer its target comes, the longer it
        may keep them waiting, up to the time in which they are expected to
        lose as much goodput as the request is worth. Once it is late its own
        goodput is lost, and the bound starts again from the lowest value and
        grows over the rest of the profile's patience.

        Args:
            profile: the request's profile.
            left_s: seconds to its first-token target, negative when late.
        """
        passed = 1 - left_s / profile.first_token_s
        rest_s = profile.patience_s - profile.first_token_s
        if left_s < 0 < rest_s:
            passed = -left_s / rest_s
        passed = min(1.0, max(0.0, passed))
        weight_per_s = max(self.weight_per_s, MIN_RATE_PER_S)
        return self.wait_s + passed * profile.goodput_weight / weight_per_s


class LatencyCriticalDemand:
    """Counts arrivals by service with exponential decay."""

    __slots__ = ('_counted_at', '_known_ids', '_weight_by_kind')

    def __init__(self):
        # By service and priority.
        self._weight_by_kind: dict[tuple[str, int], float] = {}
        self._known_ids: set[str] = set()
        self._counted_at = 0.0

    def observe(self, waiting: Iterable[WaitingRequest], now: float) -> None:
        """Counts the requests that were not seen before."""
        if len(self._known_ids) > MAX_KNOWN_REQUESTS:
            self._known_ids.clear()
        for item in waiting:
            request_id = item.request.tag.request_id
            if request_id in self._known_ids:
                continue
            self._known_ids.add(request_id)
            self._forget(now)
            kind = (item.request.service, item.request.priority)
            weight = self._weight_by_kind.get(kind, 0.0)
            self._weight_by_kind[kind] = weight + 1.0

    def rate_per_s(
        self, service: str, now: float, priority: float = math.inf
    ) -> float:
        """Returns a service's requests per second.

        Args:
            service: the service.
            now: loop time.
            priority: less urgent requests are not counted.
        """
        weight = sum(
            weight
            for (name, other), weight in self._weight_by_kind.items()
            if name == service and other <= priority
        )
        aged = math.exp((self._counted_at - now) / RATE_DECAY_S)
        return weight * aged / RATE_DECAY_S

    def latency_critical_need(
        self,
        profile_by_service: Mapping[str, Profile],
        now: float,
        ahead: Collection[str] = (),
        priority: float = math.inf,
    ) -> LatencyCriticalNeed:
        """Returns what the latency-critical services in use need.

        Args:
            profile_by_service: the profile of each language service.
            now: loop time.
            ahead: services that received more than their fair share. No engine
                is left free for them.
            priority: priority of the request that leaves engines and memory
                free; it leaves none to less urgent ones.
        """
        in_use = {
            service: profile
            for service, profile in profile_by_service.items()
            if self.rate_per_s(service, now, priority) >= MIN_RATE_PER_S
            and service not in ahead
        }
        target_s = min(
            (profile.first_token_s for profile in in_use.values()),
            default=math.inf,
        )
        weight_per_s = sum(
            self.rate_per_s(service, now, priority) * profile.goodput_weight
            for service, profile in in_use.items()
            if profile.first_token_s <= LATENCY_CRITICAL_FACTOR * target_s
        )
        return LatencyCriticalNeed(
            MAX_BUSY_SHARE * target_s, target_s, weight_per_s
        )

    def _forget(self, now: float) -> None:
        aged = math.exp((self._counted_at - now) / RATE_DECAY_S)
        for kind in self._weight_by_kind:
            self._weight_by_kind[kind] *= aged
        self._counted_at = now
