"""Grants permits to send to endpoints that limit the rate of requests.

One host owns the rate limit of an endpoint and grants permits to all hosts, so
that their requests together keep to the limit, whichever host they come to. The
owner follows from the hosts that are live, as that of a pool does.
"""

from __future__ import annotations

import asyncio

from mustardscale.blackboard import Blackboard, EndpointEntry
from mustardscale.endpoints.endpoint_notices import RateLimit
from mustardscale.hosts.duties import choose_host
from mustardscale.hosts.quorum import has_quorum
from mustardscale.hosts.stated_limits import merge_statement
from mustardscale.peers.peer_calls import PeerCalls
from mustardscale.peers.rate_limit_messages import (
    NO_LIMIT,
    PermitReply,
    PermitRequest,
)
from mustardscale.rate_limits.token_bucket import TokenBucket

# A lower limit counts as this one, requests a second. Only the answer to a
# request shows that a limit has ended.
MIN_RATE_PER_S = 0.1
# Permits of this time may be granted at once, in addition to one, seconds.
BURST_S = 0.5
# Time for which a new owner grants nothing, seconds: hosts may still ask the
# one before it. A limit that was learnt within this time had no other owner.
HANDOVER_S = 1.0
# Refused requests that are expected to return, as a multiple of the limit.
MAX_BACKLOG_S = 60.0


class PermitOwners:
    """Finds the hosts that own rate limits.

    Owners are kept until the membership changes: finding one takes a hash for
    each host.
    """

    __slots__ = ('_blackboard', '_owner_by_id')

    def __init__(self, blackboard: Blackboard):
        self._blackboard = blackboard
        self._owner_by_id: dict[str, str] = {}

    def find(self, endpoint: EndpointEntry) -> str:
        """Returns the host that owns the rate limit of an endpoint."""
        owner = self._owner_by_id.get(endpoint.id)
        if owner is None:
            duty = f'rate limit {endpoint.id}'
            owner = choose_host(self._blackboard, duty, endpoint.data_centre)
            self._owner_by_id[endpoint.id] = owner
        return owner

    def follow_membership(self) -> None:
        """Forgets the owners, who follow from the hosts that are live."""
        self._owner_by_id.clear()


def compute_burst(per_s: float) -> float:
    """Returns how many permits of a rate may be granted at once."""
    return 1.0 + BURST_S * per_s


class OwnedLimit:
    """The permits of one endpoint at the owner of its rate limit.

    Attributes:
        start: start number of the endpoint's process.
        owned_since: loop time since when this host owns the limit.
    """

    __slots__ = (
        '_backlog',
        '_backlog_at',
        '_bucket',
        '_opens_at',
        'owned_since',
        'start',
    )

    def __init__(self, start: int, limit: RateLimit, now: float):
        """Takes over a limit; no permit is available at first.

        Args:
            start: start number of the endpoint's process.
            limit: the limit as this host knows it.
            now: loop time.
        """
        self.start = start
        self.owned_since = now
        per_s = _effective_rate(limit)
        self._bucket = TokenBucket(per_s, compute_burst(per_s), level=0.0)
        self._bucket.take(now)
        had_owner = now - limit.learnt_at > HANDOVER_S
        self._opens_at = now + HANDOVER_S if had_owner else now
        self._backlog = 0.0
        self._backlog_at = now

    def grant(self, limit: RateLimit, wanted: int, now: float) -> PermitReply:
        """Grants permits, as many as the limit allows now."""
        per_s = _effective_rate(limit)
        if per_s != self._bucket.rate:
            self._bucket.change(per_s, compute_burst(per_s), now)
        granted = 0
        wait_s = max(0.0, self._opens_at - now)
        while granted < wanted and not wait_s:
            wait_s = self._bucket.take(now)
            granted += not wait_s
        self._drain_backlog(now)
        return PermitReply(
            available=True,
            granted=granted,
            per_s=NO_LIMIT if limit.per_s is None else limit.per_s,
            age_s=max(0.0, now - limit.stated_at),
            wait_s=wait_s,
            backlog_s=self._backlog / per_s,
        )

    def add_refused(self, requests: int, now: float) -> None:
        """Adds requests that were refused and are expected to return."""
        self._drain_backlog(now)
        most = MAX_BACKLOG_S * self._bucket.rate
        self._backlog = min(most, self._backlog + max(0, requests))

    def _drain_backlog(self, now: float) -> None:
        drained = (now - self._backlog_at) * self._bucket.rate
        self._backlog = max(0.0, self._backlog - drained)
        self._backlog_at = now


class PermitOwner:
    """Answers the hosts that ask for permits of the limits owned here.

    Attributes:
        owned_by_id: the limits owned here, by endpoint.
    """

    def __init__(
        self, blackboard: Blackboard, calls: PeerCalls, owners: PermitOwners
    ):
        self._blackboard = blackboard
        self._owners = owners
        self.owned_by_id: dict[str, OwnedLimit] = {}
        calls.handle(PermitRequest, self._on_request)

    def follow_membership(self) -> None:
        """Drops the limits that this host no longer owns."""
        board = self._blackboard
        for endpoint_id, owned in list(self.owned_by_id.items()):
            endpoint = board.endpoints_by_id.get(endpoint_id)
            if endpoint is None or not self._may_own(endpoint, owned):
                del self.owned_by_id[endpoint_id]

    def _may_own(self, endpoint: EndpointEntry, owned: OwnedLimit) -> bool:
        board = self._blackboard
        return (
            owned.start == endpoint.notice.start
            and owned.owned_since > board.quorum_gap_at
            and self._owners.find(endpoint) == board.host
        )

    async def _on_request(
        self, sender: str, request: PermitRequest
    ) -> PermitReply:
        board = self._blackboard
        now = asyncio.get_running_loop().time()
        merge_statement(board, request.statement, now)
        endpoint = board.endpoints_by_id.get(request.statement.endpoint)
        if (
            endpoint is None
            or endpoint.notice.start != request.statement.start
            or not has_quorum(board, now)
            or self._owners.find(endpoint) != board.host
        ):
            return PermitReply(available=False)
        limit = endpoint.notice.rate_limit
        if limit is None or not limit.in_force:
            self.owned_by_id.pop(endpoint.id, None)
            age_s = now - limit.stated_at if limit is not None else 0.0
            return PermitReply(True, request.permits, age_s=age_s)
        owned = self._take_over(endpoint, limit, now)
        owned.add_refused(request.refused, now)
        return owned.grant(limit, request.permits, now)

    def _take_over(
        self, endpoint: EndpointEntry, limit: RateLimit, now: float
    ) -> OwnedLimit:
        """Returns the permits of an endpoint, new ones after a change of owner.

        A host that lost its quorum meanwhile may have had a substitute.
        """
        owned = self.owned_by_id.get(endpoint.id)
        if owned is None or not self._may_own(endpoint, owned):
            owned = OwnedLimit(endpoint.notice.start, limit, now)
            self.owned_by_id[endpoint.id] = owned
        return owned


def _effective_rate(limit: RateLimit) -> float:
    return max(MIN_RATE_PER_S, limit.per_s or 0.0)
