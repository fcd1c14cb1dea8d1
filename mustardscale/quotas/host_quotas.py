"""Draws on the quotas of customers for the requests of this host."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random

from mustardscale.background_tasks import BackgroundTasks
from mustardscale.blackboard import Blackboard
from mustardscale.configuration.customers import Customer
from mustardscale.exceptions import OutcomeError
from mustardscale.outcomes import Outcome
from mustardscale.peers.peer_calls import PeerCalls
from mustardscale.peers.quota_messages import (
    QuotaReply,
    QuotaRequest,
    QuotaTerms,
)
from mustardscale.quotas.quota_gate import (
    QuotaDraw,
    QuotaGate,
    QuotaSource,
)
from mustardscale.quotas.quota_owner import QuotaOwners, make_terms
from mustardscale.quotas.quota_share import QuotaShare, QuotaTolerance
from mustardscale.rate_limits.owner_calls import OwnerCalls, PermitAge
from mustardscale.reporting.event_log import EventKind
from mustardscale.reporting.metrics import Metrics

# Shortest time after which a refused caller returns, seconds.
MIN_RETURN_S = 0.05
# Time for which returned units are collected before the owner is told, seconds.
RETURN_DELAY_S = 0.1
# Customers whose state is kept while they send nothing.
MAX_IDLE_CUSTOMERS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Decision:
    """Whether a request may be sent.

    Attributes:
        granted: whether it may.
        source: what decided.
        wait_s: seconds after which the caller may return if it may not.
    """

    granted: bool
    source: QuotaSource
    wait_s: float = 0.0


@dataclasses.dataclass(slots=True)
class _Waiter:
    """A request that waits for a decision."""

    amount: int
    decision: asyncio.Future[_Decision]


@dataclasses.dataclass(slots=True)
class _Account:
    """What this host keeps of a customer's quota.

    Attributes:
        terms: the newest quota that this host or the owner knows.
        waiting: requests that wait for a decision.
        returned: units to return to the owner.
        share: what is granted without the owner, None until that is needed.
    """

    terms: QuotaTerms
    waiting: collections.deque[_Waiter] = dataclasses.field(
        default_factory=collections.deque
    )
    returned: int = 0
    share: QuotaShare | None = None

    @property
    def is_idle(self) -> bool:
        """Whether little is lost if it is forgotten."""
        return not self.waiting and not self.returned


class HostQuotas(QuotaGate):
    """Asks the owners of quotas, or uses this host's shares."""

    def __init__(
        self,
        blackboard: Blackboard,
        calls: PeerCalls,
        owners: QuotaOwners,
        tolerance: QuotaTolerance,
        metrics: Metrics,
        rng: random.Random,
    ):
        """Prepares the quotas.

        Args:
            blackboard: the blackboard.
            calls: calls to peers.
            owners: finds the owners of quotas.
            tolerance: by how much quotas may be exceeded.
            metrics: counts decisions.
            rng: draws the level at which shares start.
        """
        self._blackboard = blackboard
        self._owners = owners
        self._owner_calls = OwnerCalls(
            blackboard, calls, metrics, 'quota_calls_failed'
        )
        self._tolerance = tolerance
        self._metrics = metrics
        self._rng = rng
        self._background = BackgroundTasks()
        self._account_by_customer: dict[str, _Account] = {}

    def follow_membership(self) -> None:
        """Asks all owners again."""
        self._owner_calls.forget_failures()

    async def acquire(
        self, customer: Customer, amount: int, request_id: str
    ) -> QuotaDraw:
        """See the base class."""
        account = self._open_account(customer)
        decision = await self._ask(customer.name, account, amount)
        if decision.source is QuotaSource.EXPIRED:
            decision = await self._ask(customer.name, account, amount)
        self._report(customer.name, amount, request_id, decision)
        if decision.granted:
            return QuotaDraw(customer, amount, decision.source)
        raise OutcomeError(
            Outcome.RATE_LIMITED,
            'the quota of the customer is used up',
            retry_after_s=max(MIN_RETURN_S, decision.wait_s),
        )

    def give_back(self, draw: QuotaDraw) -> None:
        """See the base class."""
        self._metrics.count('quota_draws_returned')
        account = self._account_by_customer.get(draw.customer.name)
        if account is None:
            return
        if draw.source is QuotaSource.SHARE:
            if account.share is not None:
                now = asyncio.get_running_loop().time()
                account.share.put_back(draw.amount, now)
            return
        self._add_returned(draw.customer.name, account, draw.amount)

    def _open_account(self, customer: Customer) -> _Account:
        """Returns a customer's account, with the newest terms."""
        version = self._blackboard.config.routes.table.version
        terms = make_terms(customer, version)
        account = self._account_by_customer.get(customer.name)
        if account is None:
            self._forget_idle_accounts()
            account = _Account(terms)
            self._account_by_customer[customer.name] = account
        elif terms.version > account.terms.version:
            account.terms = terms
        return account

    def _forget_idle_accounts(self) -> None:
        if len(self._account_by_customer) < MAX_IDLE_CUSTOMERS:
            return
        for name, account in list(self._account_by_customer.items()):
            if account.is_idle:
                del self._account_by_customer[name]

    async def _ask(
        self, customer: str, account: _Account, amount: int
    ) -> _Decision:
        """Waits for the decision on one request.

        Requests that come while the owner is asked are asked for together.
        """
        age = PermitAge()
        waiter = _Waiter(amount, asyncio.get_running_loop().create_future())
        account.waiting.append(waiter)
        if len(account.waiting) == 1:
            self._background.start(self._serve_waiting(customer, account))
        decision = await waiter.decision
        if not decision.granted or not age.has_expired():
            return decision
        if decision.source is QuotaSource.OWNER:
            self._add_returned(customer, account, amount)
        elif account.share is not None:
            now = asyncio.get_running_loop().time()
            account.share.put_back(amount, now)
        return _Decision(False, QuotaSource.EXPIRED)

    async def _serve_waiting(self, customer: str, account: _Account) -> None:
        """Decides on the requests that wait until there are none."""
        try:
            while account.waiting:
                await self._decide(customer, account)
        finally:
            # Not reached with requests that wait, unless deciding has failed.
            while account.waiting:
                decision = _Decision(False, QuotaSource.FAILED)
                _answer(account.waiting.popleft(), decision)

    async def _decide(self, customer: str, account: _Account) -> None:
        """Decides on all requests that wait now."""
        waiting = list(account.waiting)
        amounts = tuple(waiter.amount for waiter in waiting)
        reply = await self._call_owner(customer, account, amounts)
        for _ in waiting:
            account.waiting.popleft()
        if reply is None:
            self._use_share(account, waiting)
            return
        if account.share is not None:
            account.share.pause(asyncio.get_running_loop().time())
        wait_s = reply.wait_s
        for number, waiter in enumerate(waiting):
            granted = number < reply.granted
            decision = _Decision(granted, QuotaSource.OWNER, wait_s)
            if not _answer(waiter, decision) and granted:
                self._add_returned(customer, account, waiter.amount)
            if not granted:
                wait_s += waiter.amount / account.terms.rate_per_s

    async def _call_owner(
        self, customer: str, account: _Account, amounts: tuple[int, ...]
    ) -> QuotaReply | None:
        """Asks the owner; returns None if it can grant nothing."""
        owner = self._owners.find(customer)
        entry = self._blackboard.hosts_by_id.get(owner)
        if entry is not None and not entry.grants_quotas:
            return None
        if not self._owner_calls.may_call(owner):
            return None
        returned, account.returned = account.returned, 0
        request = QuotaRequest(customer, account.terms, amounts, returned)
        reply = await self._owner_calls.call(owner, request, QuotaReply)
        if reply is not None and reply.terms.version > account.terms.version:
            account.terms = reply.terms
        return reply

    def _use_share(self, account: _Account, waiting: list[_Waiter]) -> None:
        """Decides on requests by this host's own share of the quota."""
        now = asyncio.get_running_loop().time()
        hosts = self._blackboard.count_sharing_hosts()
        if account.share is not None and not account.share.resume(now):
            account.share = None
        for waiter in waiting:
            if account.share is None:
                account.share = QuotaShare(
                    account.terms,
                    self._tolerance,
                    hosts,
                    waiter.amount,
                    self._rng,
                    now,
                )
            wait_s = account.share.take(
                account.terms, hosts, waiter.amount, now
            )
            decision = _Decision(not wait_s, QuotaSource.SHARE, wait_s)
            if not _answer(waiter, decision) and decision.granted:
                account.share.put_back(waiter.amount, now)

    def _add_returned(
        self, customer: str, account: _Account, amount: int
    ) -> None:
        """Notes units to return; the owner is told soon."""
        if not account.returned:
            self._background.start(self._return_later(customer, account))
        account.returned += amount

    async def _return_later(self, customer: str, account: _Account) -> None:
        """Tells the owner of returned units, unless a request did so before."""
        await asyncio.sleep(RETURN_DELAY_S)
        if not account.returned:
            return
        returned = account.returned
        if await self._call_owner(customer, account, ()) is None:
            account.returned = max(0, account.returned - returned)

    def _report(
        self,
        customer: str,
        amount: int,
        request_id: str,
        decision: _Decision,
    ) -> None:
        """Counts a decision, and logs refusals and what the share grants."""
        is_share = decision.source is QuotaSource.SHARE
        if decision.granted:
            self._metrics.count('quota_draws_granted')
            if not is_share:
                return
            self._metrics.count('quota_draws_of_own_share')
        else:
            self._metrics.count('quota_draws_refused')
        self._blackboard.events.emit(
            EventKind.QUOTA_DECIDED,
            request_id,
            customer=customer,
            amount=amount,
            granted=decision.granted,
            source=decision.source,
            owner=self._owners.find(customer),
            wait_s=round(decision.wait_s, 3),
        )


def _answer(waiter: _Waiter, decision: _Decision) -> bool:
    """Answers a request that waits; returns False if its caller has left."""
    if waiter.decision.done():
        return False
    waiter.decision.set_result(decision)
    return True
