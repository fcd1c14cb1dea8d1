"""Messages about the quotas of customers."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaTerms:
    """A customer's quota in one version of the configuration.

    Attributes:
        version: number of the version.
        rate_per_s: units a second over all hosts.
        burst: units that may be sent at once.
    """

    version: int
    rate_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaRequest:
    """Draws on the quota of a customer at the host that owns it.

    Attributes:
        customer: the customer's name.
        terms: the quota as the sender knows it.
        amounts: units of each request that waits to be sent now, in order of
            arrival.
        returned: units that the owner granted and that were not used.
    """

    customer: str
    terms: QuotaTerms
    amounts: tuple[int, ...] = ()
    returned: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaReply:
    """What the owner of a customer's quota grants.

    Attributes:
        available: whether the receiver owns the quota and may grant.
        granted: number of requests, from the first one on, that may be sent.
        wait_s: seconds until there is credit for the first of the others, 0 if
            all were granted.
        terms: the quota as the owner knows it.
    """

    available: bool
    granted: int = 0
    wait_s: float = 0.0
    terms: QuotaTerms = QuotaTerms(0, 0.0, 0.0)
