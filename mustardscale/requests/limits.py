"""Limits on rate, concurrency and retries of services at this host."""

from __future__ import annotations

import asyncio
import collections

from mustardscale.blackboard import Blackboard
from mustardscale.configuration.config_records import Profile
from mustardscale.exceptions import OutcomeError
from mustardscale.outcomes import Outcome
from mustardscale.rate_limits.token_bucket import RetryBudget, TokenBucket

RETRY_AFTER_S = 1.0
# Retries permitted to a service before its requests have earned any.
INITIAL_RETRIES = 3
# Unused retries that a service may save up. About this many streams break when
# an engine dies, and each of them needs a retry.
MAX_EARNED_RETRIES = 25


class ServiceLimits:
    """Enforces this host's share of each service's limits.

    Attributes:
        active_by_service: requests in progress at this host.
    """

    def __init__(self, blackboard: Blackboard):
        self._blackboard = blackboard
        self._bucket_by_service: dict[str, TokenBucket] = {}
        self._retry_budget_by_service: dict[str, RetryBudget] = {}
        self.active_by_service: collections.Counter[str] = collections.Counter()
        self._active = 0
        self._cached_floor_limit = (0, 0)

    def enter(self, service: str, profile: Profile) -> None:
        """Admits a request and counts it as in progress.

        Raises:
            OutcomeError: RATE_LIMITED or HEAT_LIMIT, a limit is reached and
                the request must not run.
        """
        self._check_rate(service, profile)
        hosts = self._blackboard.count_sharing_hosts()
        self._check_concurrency(service, profile, hosts)
        self.active_by_service[service] += 1
        self._active += 1
        self._retry_budget(service, profile).count_request()

    def leave(self, service: str) -> None:
        """Counts the end of a request that enter() admitted."""
        self.active_by_service[service] -= 1
        self._active -= 1
        if not self.active_by_service[service]:
            del self.active_by_service[service]

    def take_retry(self, service: str, profile: Profile) -> bool:
        """Takes one retry from the service's budget.

        Returns:
            Whether the budget permitted it.
        """
        return self._retry_budget(service, profile).spend_retry()

    def _check_rate(self, service: str, profile: Profile) -> None:
        if profile.rate_per_s <= 0:
            return
        now = asyncio.get_running_loop().time()
        hosts = self._blackboard.count_sharing_hosts()
        rate = profile.rate_per_s / hosts
        burst = max(1.0, profile.burst / hosts)
        bucket = self._bucket_by_service.get(service)
        if bucket is None:
            bucket = TokenBucket(rate, burst)
            self._bucket_by_service[service] = bucket
        elif (bucket.rate, bucket.burst) != (rate, burst):
            bucket.change(rate, burst, now)
        wait_s = bucket.take(now)
        if wait_s > 0:
            raise OutcomeError(Outcome.RATE_LIMITED, retry_after_s=wait_s)

    def _check_concurrency(
        self, service: str, profile: Profile, hosts: int
    ) -> None:
        active = self.active_by_service[service]
        limit = _host_share(profile.max_concurrent, hosts)
        if limit and active >= limit:
            raise OutcomeError(Outcome.HEAT_LIMIT, retry_after_s=RETRY_AFTER_S)
        floor_limit = _host_share(self._floor_limit(), hosts)
        if floor_limit and self._active >= floor_limit:
            raise OutcomeError(Outcome.HEAT_LIMIT, retry_after_s=RETRY_AFTER_S)

    def _floor_limit(self) -> int:
        """Returns the smallest floor_max_concurrent of the profiles in use.

        It is computed again only if the configuration has changed.
        """
        digest = self._blackboard.config.digest()
        known_digest, limit = self._cached_floor_limit
        if known_digest != digest:
            limit = self._compute_floor_limit()
            self._cached_floor_limit = (digest, limit)
        return limit

    def _compute_floor_limit(self) -> int:
        config = self._blackboard.config
        names = {e.choice.profile for e in config.services_by_name.values()}
        limits = [
            entry.profile.floor_max_concurrent
            for name, entry in config.profiles_by_name.items()
            if name in names and entry.profile.floor_max_concurrent
        ]
        return min(limits, default=0)

    def _retry_budget(self, service: str, profile: Profile) -> RetryBudget:
        share = profile.retry_share
        budget = self._retry_budget_by_service.get(service)
        if budget is None:
            budget = RetryBudget(share, INITIAL_RETRIES, MAX_EARNED_RETRIES)
            self._retry_budget_by_service[service] = budget
        budget.change(share)
        return budget


def _host_share(limit: int, hosts: int) -> int:
    """Returns one host's share of a limit, rounded up.

    This is at least 1 if there is a limit, and 0 if there is none.

    >>> _host_share(10, 4), _host_share(0, 4)
    (3, 0)
    """
    return -(-limit // hosts)
