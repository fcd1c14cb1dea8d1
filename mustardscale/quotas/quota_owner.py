"""Grants requests of customers within their quotas.

One host owns the quota of a customer and grants requests to all hosts, so that
these together keep to it, whichever host the requests come to. The owner is
computed from the set of live hosts.
"""

from __future__ import annotations

import asyncio

from mustardscale.blackboard import Blackboard
from mustardscale.configuration.customers import Customer
from mustardscale.controller import Controller
from mustardscale.hosts.duties import choose_host
from mustardscale.hosts.quorum import has_quorum
from mustardscale.peers.peer_calls import PeerCalls
from mustardscale.peers.quota_messages import (
    QuotaReply,
    QuotaRequest,
    QuotaTerms,
)
from mustardscale.quotas.quota_bucket import QuotaBucket
from mustardscale.quotas.quota_share import OWNED_EXCESS, QuotaTolerance
from mustardscale.quotas.quota_window import QuotaWindow

# Time for which a new owner grants nothing, seconds: hosts may still ask the
# previous owner.
HANDOVER_S = 1.0
# Longest time after which a refused caller is asked to return, seconds. Callers
# of streams wait about this long at most, a third of their time.
MAX_BACKLOG_S = 5.0
# Interval at which quotas are taken over and dropped without a change of the
# configuration or the membership, seconds.
FOLLOW_INTERVAL_S = 2.0


class QuotaOwners:
    """Finds the hosts that own quotas.

    Owners are kept until the membership changes: finding one takes a hash for
    each host.
    """

    __slots__ = ('_blackboard', '_owner_by_customer')

    def __init__(self, blackboard: Blackboard):
        self._blackboard = blackboard
        self._owner_by_customer: dict[str, str] = {}

    def find(self, customer: str) -> str:
        """Returns the host that owns the quota of a customer."""
        owner = self._owner_by_customer.get(customer)
        if owner is None:
            owner = choose_host(self._blackboard, f'quota {customer}')
            self._owner_by_customer[customer] = owner
        return owner

    def follow_membership(self) -> None:
        """Forgets the owners, since they depend on which hosts are live."""
        self._owner_by_customer.clear()


def make_terms(customer: Customer, version: int) -> QuotaTerms:
    """Returns the quota of a customer in a version of the configuration."""
    quota = customer.quota
    return QuotaTerms(version, quota.rate_per_s, quota.burst)


class OwnedQuota:
    """The credit of one customer at the owner of its quota.

    Attributes:
        terms: the quota.
        owned_since: loop time since when this host owns it.
        granted: units granted.
        refused: units refused.
    """

    __slots__ = (
        '_backlog',
        '_backlog_at',
        '_bucket',
        '_heard_share',
        '_tolerance',
        '_window',
        'granted',
        'owned_since',
        'refused',
        'terms',
    )

    def __init__(
        self, terms: QuotaTerms, tolerance: QuotaTolerance, now: float
    ):
        """Takes over a quota without credit.

        The previous owner may have granted all that the quota allows until now,
        and hosts use their shares until this one grants.

        Args:
            terms: the quota.
            tolerance: by how much it may be exceeded.
            now: loop time.
        """
        self.terms = terms
        self._tolerance = tolerance
        self.owned_since = now
        self.granted = 0
        self.refused = 0
        self._bucket = QuotaBucket(
            terms.rate_per_s, self._capacity(), 0.0, now + HANDOVER_S
        )
        self._window = QuotaWindow(tolerance.window_s)
        self._heard_share = 1.0
        self._backlog = 0.0
        self._backlog_at = now

    def is_open(self, now: float) -> bool:
        """Returns whether the handover is over, so that it may grant."""
        return now >= self.owned_since + HANDOVER_S

    def adopt(self, terms: QuotaTerms, heard_share: float, now: float) -> None:
        """Applies the newest terms, less the shares of hosts not heard.

        Args:
            terms: the quota as a host knows it.
            heard_share: share of the hosts that ask this owner. The others may
                be using their shares of the quota.
            now: loop time.
        """
        if terms.version >= self.terms.version:
            self.terms = terms
        self._heard_share = heard_share
        rate_per_s = self._rate_per_s(now)
        capacity = self._capacity()
        if (rate_per_s, capacity) != (
            self._bucket.rate_per_s,
            self._bucket.capacity,
        ):
            self._bucket.change(rate_per_s, capacity, now)

    def grant(self, request: QuotaRequest, now: float) -> QuotaReply:
        """Grants the first requests, as many as there is credit for."""
        self._bucket.put_back(request.returned, now)
        self._window.add(-request.returned, now)
        granted = 0
        for amount in request.amounts:
            if not self._may_add(now) or not self._bucket.take(amount, now):
                break
            self._window.add(amount, now)
            granted += 1
        self.granted += sum(request.amounts[:granted]) - request.returned
        wait_s = 0.0
        if granted < len(request.amounts):
            wait_s = self._refuse(sum(request.amounts[granted:]), now)
        return QuotaReply(True, granted, wait_s, self.terms)

    def level(self, now: float) -> float:
        """Returns the credit, which is negative after a large request."""
        return self._bucket.level(now)

    def _limit(self) -> float:
        """Returns the units that may be granted within a window."""
        terms = self.terms
        allowed = terms.rate_per_s * self._tolerance.window_s + terms.burst
        excess = OWNED_EXCESS * self._tolerance.excess(terms)
        return self._heard_share * (allowed + excess)

    def _may_add(self, now: float) -> bool:
        """Returns whether the window has credit for a request."""
        return not self._tolerance.window_s or (
            self._window.total(now) < self._limit()
        )

    def _rate_per_s(self, now: float) -> float:
        """Returns the rate at which credit grows.

        Where quotas are counted in windows, a customer that always sends more
        than its quota gets all that a window allows. A new owner does not know
        what the one before has granted within the window.
        """
        rate_per_s = self._heard_share * self.terms.rate_per_s
        window_s = self._tolerance.window_s
        if not window_s or now < self.owned_since + HANDOVER_S + window_s:
            return rate_per_s
        return self._limit() / window_s

    def _capacity(self) -> float:
        """Returns the units that may be granted at once.

        Includes part of the tolerated excess, so that usual bursts are not
        refused.
        """
        excess = self._tolerance.excess(self.terms)
        return self.terms.burst + OWNED_EXCESS * excess

    def _refuse(self, units: int, now: float) -> float:
        """Notes units that are refused and expected to return.

        Returns:
            Seconds until there is credit behind those that were refused before.
        """
        self.refused += units
        rate_per_s = self._bucket.rate_per_s
        drained = (now - self._backlog_at) * rate_per_s
        backlog = max(0.0, self._backlog - drained)
        window_wait_s = self._window.wait_s(self._limit(), now)
        credit_s = max(self._bucket.wait_s(now), window_wait_s)
        wait_s = credit_s + backlog / rate_per_s
        self._backlog = min(MAX_BACKLOG_S * rate_per_s, backlog + units)
        self._backlog_at = now
        return min(MAX_BACKLOG_S, wait_s)


class QuotaOwner(Controller):
    """Answers the hosts that draw on the quotas owned here.

    Attributes:
        owned_by_customer: the quotas owned here.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        calls: PeerCalls,
        owners: QuotaOwners,
        tolerance: QuotaTolerance,
    ):
        self._blackboard = blackboard
        self._owners = owners
        self._tolerance = tolerance
        self.owned_by_customer: dict[str, OwnedQuota] = {}
        calls.handle(QuotaRequest, self._on_request)

    async def run(self) -> None:
        """Takes quotas over when the configuration changes.

        Quotas are taken over before the first request, which the time that a
        new owner waits would hold up.
        """
        while True:
            self.follow_membership()
            await self._blackboard.config_changed.wait(FOLLOW_INTERVAL_S)

    def follow_membership(self) -> None:
        """Drops the quotas that this host does not own, and takes others."""
        board = self._blackboard
        now = asyncio.get_running_loop().time()
        table = board.config.routes.table
        limited = {c.name: c for c in table.customers if c.quota.is_limited}
        for name, owned in list(self.owned_by_customer.items()):
            # Another host may know a newer version that has the quota.
            is_limited = name in limited or owned.terms.version > table.version
            if not is_limited or not self._may_keep(name):
                del self.owned_by_customer[name]
        if not has_quorum(board, now):
            return
        for name, customer in limited.items():
            if self._owners.find(name) == board.host:
                terms = make_terms(customer, table.version)
                owned = self._take_over(name, terms, now)
                owned.adopt(terms, self._heard_share(), now)

    def describe(self) -> dict[str, object]:
        """Returns the quotas owned here, for the state dump."""
        now = asyncio.get_running_loop().time()
        return {
            name: {
                'rate_per_s': owned.terms.rate_per_s,
                'burst': owned.terms.burst,
                'version': owned.terms.version,
                'level': round(owned.level(now), 1),
                'owned_s': round(now - owned.owned_since, 3),
                'granted': owned.granted,
                'refused': owned.refused,
            }
            for name, owned in self.owned_by_customer.items()
        }

    def _may_keep(self, customer: str) -> bool:
        """Returns whether this host has been the only owner all the while.

        While this host had no quorum, another one may have owned the quota.
        """
        board = self._blackboard
        owned = self.owned_by_customer[customer]
        return (
            owned.owned_since > board.quorum_gap_at
            and self._owners.find(customer) == board.host
        )

    def _take_over(
        self, customer: str, terms: QuotaTerms, now: float
    ) -> OwnedQuota:
        """Returns the credit of a customer, a new one after a change."""
        owned = self.owned_by_customer.get(customer)
        if owned is None or not self._may_keep(customer):
            owned = OwnedQuota(terms, self._tolerance, now)
            self.owned_by_customer[customer] = owned
        return owned

    async def _on_request(
        self, sender: str, request: QuotaRequest
    ) -> QuotaReply:
        board = self._blackboard
        now = asyncio.get_running_loop().time()
        if (
            not has_quorum(board, now)
            or self._owners.find(request.customer) != board.host
            or not request.terms.rate_per_s > 0
        ):
            return QuotaReply(available=False)
        owned = self._take_over(request.customer, request.terms, now)
        if not owned.is_open(now):
            return QuotaReply(available=False)
        owned.adopt(request.terms, self._heard_share(), now)
        return owned.grant(request, now)

    def _heard_share(self) -> float:
        """Returns the share of the hosts that may ask this one."""
        board = self._blackboard
        live = len(board.live_hosts())
        return min(1.0, live / board.count_sharing_hosts())
