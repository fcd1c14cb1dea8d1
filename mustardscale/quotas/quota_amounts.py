"""Computes how much of its customer's quota a request uses."""

from __future__ import annotations

from mustardscale.configuration.customers import CustomerQuota, QuotaUnit


def compute_amount(quota: CustomerQuota, declared_tokens: int) -> int:
    """Returns the units of a quota that a request counts as.

    Args:
        quota: the quota.
        declared_tokens: prompt tokens and maximum output tokens together, as
            the caller declares them; 0 if it declares none.

    >>> compute_amount(CustomerQuota(unit=QuotaUnit.TOKENS), 1_540)
    1540
    >>> plain = CustomerQuota(unit=QuotaUnit.TOKENS, plain_tokens=200)
    >>> compute_amount(plain, 0), compute_amount(CustomerQuota(), 1_540)
    (200, 1)
    """
    if quota.unit is QuotaUnit.REQUESTS:
        return 1
    return declared_tokens or quota.plain_tokens
