"""Shares a pool fairly between customers, by the tokens granted to them.

Load: one customer sends many times its usual for some seconds, and the others
send a few requests a second as ever. Requests of the customer that received
more than its fair share are decided after those of the others of the same
priority, so that its excess costs itself first. Those of its requests that fit
into the rest of its share keep their normal place. If any remaining share kept
the place of all of them, it would take the memory in batches while the others
wait.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Iterable, Mapping

from mustardscale.configuration.customers import Customer
from mustardscale.policy.base import WaitingRequest

# Time after which tokens asked for and granted count for 1/e, seconds. An
# overload lasts 6 to 11 s; a customer is equal again soon after it.
USAGE_DECAY_S = 5.0
# Tokens by which a customer may exceed its fair share: two prompts of usual
# length. With less, customers that ask for the same pass each other often.
ALLOWANCE_TOKENS = 10_000.0
# A customer alone has nobody to share with.
MIN_CUSTOMERS = 2
# Customers whose tokens have decayed below this are forgotten.
MIN_TOKENS = 1.0


class CustomerShares:
    """What customers asked for and received lately.

    Requests of one priority are kept in an instance: while capacity is short,
    more urgent requests receive more, which is no excess.
    """

    __slots__ = (
        '_counted_at',
        '_demand_by_customer',
        '_granted_by_customer',
        '_waiting_ids',
    )

    def __init__(self):
        self._demand_by_customer: dict[str, float] = {}
        self._granted_by_customer: dict[str, float] = {}
        self._counted_at = 0.0
        self._waiting_ids: set[str] = set()

    def observe_waiting(
        self, waiting: Iterable[WaitingRequest], now: float
    ) -> None:
        """Counts the tokens of the requests that came since the last call.

        Requests with a time limit for their admission are not counted: they
        wait at another pool.

        Args:
            waiting: the waiting requests.
            now: loop time.
        """
        self._age(now)
        # By id, as requests may arrive at the same loop time.
        known_ids, self._waiting_ids = self._waiting_ids, set()
        for item in waiting:
            request = item.request
            self._waiting_ids.add(request.tag.request_id)
            if (
                request.tag.request_id not in known_ids
                and not request.turn_within_s
            ):
                _add(
                    self._demand_by_customer,
                    request.customer,
                    _count_tokens(item),
                )

    def charge(self, customer: str, tokens: int, now: float) -> None:
        """Counts the tokens of a grant."""
        self._age(now)
        _add(self._granted_by_customer, customer, tokens)

    def find_ahead(
        self,
        waiting: Iterable[WaitingRequest],
        weight_by_customer: Mapping[str, float],
    ) -> set[str]:
        """Returns the ids of requests that exceed their customers' shares.

        Args:
            waiting: the waiting requests.
            weight_by_customer: the weights that are not 1.
        """
        if len(self._demand_by_customer) < MIN_CUSTOMERS:
            return set()
        granted_by = self._granted_by_customer
        # Grants to requests that wait at another pool were not asked for here.
        demand_by = granted_by | {
            customer: max(demand, granted_by.get(customer, 0.0))
            for customer, demand in self._demand_by_customer.items()
        }
        level = compute_fair_level(
            demand_by, weight_by_customer, sum(granted_by.values())
        )
        if level == math.inf:
            return set()
        left_by_customer: dict[str, float] = {}
        ahead_ids: set[str] = set()
        for item in sorted(waiting, key=lambda item: item.first_token_at):
            customer = item.request.customer
            if customer not in left_by_customer:
                share = level * weight_by_customer.get(customer, 1.0)
                received = self._granted_by_customer.get(customer, 0.0)
                left_by_customer[customer] = share + ALLOWANCE_TOKENS - received
            if left_by_customer[customer] <= 0:
                ahead_ids.add(item.request.tag.request_id)
            left_by_customer[customer] -= _count_tokens(item)
        return ahead_ids

    def _age(self, now: float) -> None:
        aged = math.exp((self._counted_at - now) / USAGE_DECAY_S)
        self._counted_at = now
        for tokens_by in (self._demand_by_customer, self._granted_by_customer):
            for customer in list(tokens_by):
                tokens_by[customer] *= aged
                if tokens_by[customer] < MIN_TOKENS:
                    del tokens_by[customer]


def _count_tokens(item: WaitingRequest) -> int:
    """Returns the tokens of a request's prompt and longest answer."""
    return item.request.prompt_tokens + item.request.max_tokens


def _add(tokens_by: dict[str, float], customer: str, tokens: int) -> None:
    tokens_by[customer] = tokens_by.get(customer, 0.0) + tokens


def compute_fair_level(
    demand_by_customer: Mapping[str, float],
    weight_by_customer: Mapping[str, float],
    granted: float,
) -> float:
    """Returns the tokens that a customer of weight 1 may receive (max-min).

    Customers that ask for less get what they ask for, and what they leave is
    shared by the others according to their weights.

    Args:
        demand_by_customer: tokens that each customer asked for.
        weight_by_customer: the weights that are not 1.
        granted: tokens that all customers received together.

    Returns:
        The level; infinite if all that was asked for was granted.

    >>> compute_fair_level({'heavy': 100.0, 'light': 10.0}, {}, 60.0)
    50.0
    """
    left = granted
    weight = sum(
        weight_by_customer.get(name, 1.0) for name in demand_by_customer
    )
    by_level = sorted(
        (demand / weight_by_customer.get(name, 1.0), name)
        for name, demand in demand_by_customer.items()
    )
    for level, name in by_level:
        if level * weight > left:
            return left / weight
        left -= demand_by_customer[name]
        weight -= weight_by_customer.get(name, 1.0)
    return math.inf


def compute_weights(customers: Iterable[Customer]) -> dict[str, float]:
    """Returns the weight of each customer that has a quota.

    It is the rate of its quota over the mean of all quotas of the same unit.

    >>> from mustardscale.configuration.customers import CustomerQuota
    >>> compute_weights(
    ...     [
    ...         Customer('a', quota=CustomerQuota(1.0)),
    ...         Customer('b', quota=CustomerQuota(3.0)),
    ...         Customer('c'),
    ...     ]
    ... )
    {'a': 0.5, 'b': 1.5}
    """
    limited = [item for item in customers if item.quota.is_limited]
    mean_by_unit = {
        unit: statistics.fmean(
            item.quota.rate_per_s for item in limited if item.quota.unit is unit
        )
        for unit in {item.quota.unit for item in limited}
    }
    return {
        item.name: item.quota.rate_per_s / mean_by_unit[item.quota.unit]
        for item in limited
    }
