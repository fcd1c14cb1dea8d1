"""The retry budget of each service, shared by all hosts.

Every arrival of a request at an endpoint after its first one is a retry, even
if the endpoint refuses it. Each host may use a share of the common budget: the
ratio applied to its own requests, and an equal part of the slack.
"""

from __future__ import annotations

import collections
import dataclasses

# Share of the budget that hosts use. The rest covers hosts that this host does
# not know of, and sliding windows that start at other times.
USABLE_SHARE = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class RetryAllowance:
    """Retries that all hosts together may use.

    Attributes:
        ratio: retries as a share of the requests.
        slack: retries allowed in addition to the ratio.
        window_s: length of the sliding window, seconds.
    """

    ratio: float = 0.2
    slack: float = 50.0
    window_s: float = 10.0


class _Window:
    """Counts events within a sliding window."""

    __slots__ = ('_times',)

    def __init__(self):
        self._times: collections.deque[float] = collections.deque()

    def add(self, now: float) -> None:
        self._times.append(now)

    def count(self, now: float, window_s: float) -> int:
        while self._times and self._times[0] < now - window_s:
            self._times.popleft()
        return len(self._times)


class RetryBudgets:
    """This host's share of each service's retry budget."""

    __slots__ = ('_requests_by_service', '_retries_by_service', 'allowance')

    def __init__(self, allowance: RetryAllowance):
        self.allowance = allowance
        self._requests_by_service: dict[str, _Window] = collections.defaultdict(
            _Window
        )
        self._retries_by_service: dict[str, _Window] = collections.defaultdict(
            _Window
        )

    def count_request(self, service: str, now: float) -> None:
        """Counts a request. Its first arrival uses no budget."""
        self._requests_by_service[service].add(now)

    def count_retry(self, service: str, now: float) -> None:
        """Counts a retry that has already happened."""
        self._retries_by_service[service].add(now)

    def compute_remaining(
        self, service: str, hosts: int, now: float, budget_share: float = 1.0
    ) -> float:
        """Returns how many retries this host may still cause now.

        Args:
            service: the service.
            hosts: hosts that share the budget.
            now: loop time.
            budget_share: share of the budget that may be used up.
        """
        allowance = self.allowance
        window_s = allowance.window_s
        requests = self._requests_by_service[service].count(now, window_s)
        retries = self._retries_by_service[service].count(now, window_s)
        allowed = allowance.ratio * requests + allowance.slack / max(1, hosts)
        return budget_share * USABLE_SHARE * allowed - retries

    def take(
        self, service: str, hosts: int, now: float, budget_share: float = 1.0
    ) -> bool:
        """Takes a retry and returns True if one remains in the budget.

        Args:
            service: the service.
            hosts: hosts that share the budget.
            now: loop time.
            budget_share: share of the budget that may be used up.
        """
        if self.compute_remaining(service, hosts, now, budget_share) < 1:
            return False
        self.count_retry(service, now)
        return True
