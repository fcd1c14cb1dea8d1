"""Shares a pool fairly among requests of the same priority.

Load: a burst of two kinds of stream of different priority while customers and
services have shares. The more urgent kind receives more while capacity is
short; compared with the other one, it would be the first to give way.

Requests with a customer are shared by customer only: the excess of one would
otherwise count against all others of its service.
"""

from __future__ import annotations

import collections
from collections.abc import Collection, Mapping

from mustardscale.policy.base import Reservation, WaitingRequest
from mustardscale.policy.customer_shares import CustomerShares
from mustardscale.policy.fair_shares import FairShares


class PriorityShares:
    """What services and customers received, by the priority of requests."""

    __slots__ = ('_customers_by_priority', '_services_by_priority')

    def __init__(self):
        self._customers_by_priority: dict[int, CustomerShares] = (
            collections.defaultdict(CustomerShares)
        )
        self._services_by_priority: dict[int, FairShares] = (
            collections.defaultdict(FairShares)
        )

    def observe_waiting(
        self, waiting: Collection[WaitingRequest], now: float
    ) -> None:
        """Updates the shares from the waiting requests."""
        priorities = {item.request.priority for item in waiting}
        for priority in priorities:
            equals = [
                item for item in waiting if item.request.priority == priority
            ]
            self._services_by_priority[priority].observe_waiting(
                item.request.service
                for item in equals
                if not item.request.customer
            )
            self._customers_by_priority[priority].observe_waiting(
                (item for item in equals if item.request.customer), now
            )

    def charge(
        self, reservation: Reservation, service_weight: float, now: float
    ) -> None:
        """Charges a grant to its customer, or to its service if it has none."""
        stream = reservation.stream
        if reservation.customer:
            self._customers_by_priority[reservation.priority].charge(
                reservation.customer,
                stream.prompt_tokens + stream.max_tokens,
                now,
            )
        else:
            self._services_by_priority[reservation.priority].charge(
                stream.service, service_weight, stream.prompt_tokens
            )

    def services_ahead(self) -> set[str]:
        """Returns the services that received more than their fair share."""
        return {
            service
            for shares in self._services_by_priority.values()
            for service in shares.ahead()
        }

    def find_ahead(
        self,
        waiting: Collection[WaitingRequest],
        weight_by_customer: Mapping[str, float],
    ) -> set[str]:
        """Returns the ids of requests that exceed their share.

        Args:
            waiting: the requests.
            weight_by_customer: the weights that are not 1.
        """
        ahead_ids: set[str] = set()
        for priority in {item.request.priority for item in waiting}:
            equals = [
                item for item in waiting if item.request.priority == priority
            ]
            services = self._services_by_priority[priority].ahead()
            ahead_ids |= {
                item.request.tag.request_id
                for item in equals
                if not item.request.customer
                and item.request.service in services
            }
            ahead_ids |= self._customers_by_priority[priority].find_ahead(
                (item for item in equals if item.request.customer),
                weight_by_customer,
            )
        return ahead_ids
