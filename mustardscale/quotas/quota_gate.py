"""Interface by which a router draws on the quotas of customers."""

from __future__ import annotations

import abc
import dataclasses
import enum

from mustardscale.configuration.customers import Customer


class QuotaSource(enum.StrEnum):
    """What decided on a draw."""

    OWNER = 'owner'
    SHARE = 'own share'
    EXPIRED = 'expired'
    FAILED = 'failed'


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaDraw:
    """What a request has drawn on its customer's quota.

    Attributes:
        customer: the customer.
        amount: units.
        source: what granted it.
    """

    customer: Customer
    amount: int
    source: QuotaSource


class QuotaGate(abc.ABC):
    """Decides whether a request may be sent within its customer's quota."""

    @abc.abstractmethod
    async def acquire(
        self, customer: Customer, amount: int, request_id: str
    ) -> QuotaDraw:
        """Draws on a customer's quota.

        Args:
            customer: the customer; its quota is limited.
            amount: units that the request counts as.
            request_id: the caller's id of the request.

        Raises:
            OutcomeError: RATE_LIMITED, the quota is used up. It says when the
                caller may return.
        """

    @abc.abstractmethod
    def give_back(self, draw: QuotaDraw) -> None:
        """Returns what was drawn for a request that has not run."""
