"""Interface by which a router draws on the quotas of customers."""

from __future__ import annotations

import abc

from mustardscale.configuration.customers import Customer


class QuotaGate(abc.ABC):
    """Decides whether a request may be sent within its customer's quota."""

    @abc.abstractmethod
    async def acquire(
        self, customer: Customer, amount: int, request_id: str
    ) -> None:
        """Draws on a customer's quota.

        Args:
            customer: the customer.
            amount: units that the request counts as.
            request_id: the caller's id of the request.

        Raises:
            OutcomeError: RATE_LIMITED, the quota is used up. It says when the
                caller may return.
        """

    @abc.abstractmethod
    def give_back(self, customer: Customer, amount: int) -> None:
        """Returns what was drawn for a request that has not run."""


class UnlimitedQuotas(QuotaGate):
    """Permits all requests."""

    async def acquire(
        self, customer: Customer, amount: int, request_id: str
    ) -> None:
        """See the base class."""
        return None

    def give_back(self, customer: Customer, amount: int) -> None:
        """See the base class."""
        return None
