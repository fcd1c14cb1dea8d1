"""Messages about the rate limits that endpoints state."""

from __future__ import annotations

import dataclasses

# Value of a limit that the endpoint does not state any more.
NO_LIMIT = -1.0


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimitStatement:
    """The rate limit that an endpoint stated last, as the sender knows it.

    Attributes:
        endpoint: id of the endpoint.
        start: start number of its process, 0 if unknown.
        per_s: requests a second from all hosts, NO_LIMIT for none.
        age_s: seconds since the endpoint stated it.
        first_hand: whether the endpoint stated it to the sender itself.
    """

    endpoint: str
    start: int
    per_s: float
    age_s: float
    first_hand: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequest:
    """Asks the owner of an endpoint's rate limit for permits to send.

    Attributes:
        statement: the limit as the sender knows it.
        permits: number of requests that wait to be sent now; 0 only reports
            the limit.
        refused: number of requests that the sender refused since its last
            PermitRequest because they got no permit.
    """

    statement: RateLimitStatement
    permits: int
    refused: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PermitReply:
    """The permits that the owner of an endpoint's rate limit grants.

    Attributes:
        available: whether the receiver owns the limit and may grant permits.
        granted: number of requests that may be sent at once.
        per_s: the limit as the owner knows it, NO_LIMIT for none.
        age_s: seconds since the endpoint stated it.
        wait_s: seconds until the next permit, 0 if all were granted.
        backlog_s: seconds in which the requests refused by all hosts could be
            sent.
    """

    available: bool
    granted: int = 0
    per_s: float = NO_LIMIT
    age_s: float = 0.0
    wait_s: float = 0.0
    backlog_s: float = 0.0
