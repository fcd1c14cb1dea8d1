"""Customers that callers belong to: their keys, priorities and quotas."""

from __future__ import annotations

import dataclasses
import enum


class QuotaUnit(enum.StrEnum):
    """What a quota counts."""

    REQUESTS = 'requests'
    TOKENS = 'tokens'


@dataclasses.dataclass(frozen=True, slots=True)
class CustomerQuota:
    """What all hosts together may send to endpoints for one customer.

    Attributes:
        rate_per_s: units a second; 0 is unlimited.
        burst: units that may be sent at once.
        unit: what is counted.
        plain_tokens: tokens that a request without a declared size counts as.
    """

    rate_per_s: float = 0.0
    burst: float = 0.0
    unit: QuotaUnit = QuotaUnit.REQUESTS
    plain_tokens: int = 0

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit."""
        return self.rate_per_s > 0


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """A customer that sends requests.

    Attributes:
        name: the customer's name, which endpoints are told.
        keys: the keys of its callers. They are secrets and must not be logged.
        priority: priority of its requests, 0 is the most urgent; None for that
            of the route.
        quota: the limit of its requests.
    """

    name: str
    keys: tuple[str, ...] = dataclasses.field(default=(), repr=False)
    priority: int | None = None
    quota: CustomerQuota = CustomerQuota()
