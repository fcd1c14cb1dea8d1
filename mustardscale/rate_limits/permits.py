"""Asks for permits to send to endpoints that limit the rate of requests."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import enum
import random
from collections.abc import Iterable

from mustardscale.background_tasks import BackgroundTasks
from mustardscale.blackboard import Blackboard, EndpointEntry
from mustardscale.controller import Controller
from mustardscale.endpoints.endpoint_notices import RateLimit
from mustardscale.hosts.stated_limits import make_statement
from mustardscale.peers.peer_calls import PeerCalls
from mustardscale.peers.rate_limit_messages import PermitReply, PermitRequest
from mustardscale.rate_limits.owner_calls import (
    OWNER_RETRY_S,
    OwnerCalls,
    PermitAge,
)
from mustardscale.rate_limits.permit_owner import (
    MIN_RATE_PER_S,
    PermitOwners,
)
from mustardscale.rate_limits.token_bucket import TokenBucket
from mustardscale.reporting.event_log import EventKind
from mustardscale.reporting.metrics import Metrics

# Part of a limit that hosts use without permits while its owner cannot be
# reached. Together with the permits of an owner that the others still reach,
# less than one and a half times the limit is sent.
SHARE_WITHOUT_OWNER = 0.5
# Shortest time after which a refused caller returns, seconds.
MIN_RETURN_S = 0.05
# Interval at which unconfirmed reports of a changed limit are repeated, and at
# which the reporter looks without one, seconds.
REPORT_RETRY_S = 0.25
REPORT_IDLE_S = 60.0


class PermitSource(enum.StrEnum):
    """What decided on a permit."""

    OWNER = 'owner'
    SHARE = 'own share'
    EXPIRED = 'expired'
    FAILED = 'failed'


@dataclasses.dataclass(frozen=True, slots=True)
class _Decision:
    """Whether a request may be sent, and what decided that."""

    granted: bool
    source: PermitSource


@dataclasses.dataclass(slots=True)
class _Asking:
    """What this host keeps of an endpoint that limits its rate.

    Attributes:
        waiting: requests that wait for the decision on their permit.
        share: permits without the owner, None while the owner answers.
        share_rate: the rate of `share`, requests a second.
        refused: requests refused since the owner was asked last.
        returns_at: loop time at which the next refused request may return.
    """

    waiting: collections.deque[asyncio.Future[_Decision]] = dataclasses.field(
        default_factory=collections.deque
    )
    share: TokenBucket | None = None
    share_rate: float = 0.0
    refused: int = 0
    returns_at: float = 0.0


class Permits(Controller):
    """Gets permits from the owners of limits, or uses this host's share."""

    def __init__(
        self,
        blackboard: Blackboard,
        calls: PeerCalls,
        owners: PermitOwners,
        metrics: Metrics,
        rng: random.Random,
    ):
        self._blackboard = blackboard
        self._owner_calls = OwnerCalls(
            blackboard, calls, metrics, 'permit_calls_failed'
        )
        self._owners = owners
        self._metrics = metrics
        self._rng = rng
        self._background = BackgroundTasks()
        self._asking_by_id: dict[str, _Asking] = {}
        metrics.add_gauge('rate_limited_endpoints', self._count_limited)
        metrics.add_gauge('rate_limit_oldest_seconds', self._oldest_limit_s)

    async def run(self) -> None:
        """Reports each limit that an endpoint states anew to its owner."""
        changed = self._blackboard.notices.changed_limit_ids
        while True:
            for endpoint_id in list(changed):
                if await self._report(endpoint_id):
                    changed.discard(endpoint_id)
            interval_s = REPORT_RETRY_S if changed else REPORT_IDLE_S
            await self._blackboard.rate_limit_changed.wait(interval_s)

    def follow_membership(self) -> None:
        """Asks all owners again, and forgets endpoints that are gone."""
        self._owner_calls.forget_failures()
        listed = self._blackboard.endpoints_by_id
        for endpoint_id, asking in list(self._asking_by_id.items()):
            if endpoint_id not in listed and not asking.waiting:
                del self._asking_by_id[endpoint_id]

    async def acquire(self, endpoint_id: str, request_id: str) -> bool:
        """Gets a permit to send a request to an endpoint at once.

        Returns:
            Whether it may be sent. Endpoints without a limit need no permit.
        """
        endpoint = self._blackboard.endpoints_by_id.get(endpoint_id)
        if endpoint is None or not endpoint.notice.is_rate_limited:
            return True
        if endpoint.busy(asyncio.get_running_loop().time()):
            return False
        age = PermitAge()
        decision = await self._ask(endpoint)
        if decision.granted and age.has_expired():
            decision = _Decision(False, PermitSource.EXPIRED)
        self._report_decision(endpoint, request_id, decision)
        return decision.granted

    def refuse(self, endpoints: Iterable[EndpointEntry]) -> float:
        """Notes that a request is refused as no endpoint may be sent to.

        Requests that are refused one after the other are asked to return one
        after the other, at the rate of the endpoint that is free first.

        Returns:
            Seconds after which its caller may return, 0 if an endpoint may be
            sent to now or there is none.
        """
        now = asyncio.get_running_loop().time()
        closed = list(endpoints)
        if not closed or not all(endpoint.busy(now) for endpoint in closed):
            return 0.0
        first = min(closed, key=self._returns_at)
        returns_at = self._returns_at(first)
        limit = first.notice.rate_limit
        if limit is not None and limit.per_s is not None:
            asking = self._asking(first.id)
            asking.refused += 1
            step_s = 1.0 / max(MIN_RATE_PER_S, limit.per_s)
            asking.returns_at = returns_at + step_s
        return max(MIN_RETURN_S, returns_at - now)

    def _returns_at(self, endpoint: EndpointEntry) -> float:
        closed_until = endpoint.notice.closed_until
        if not endpoint.notice.is_rate_limited:
            return closed_until
        return max(closed_until, self._asking(endpoint.id).returns_at)

    def _asking(self, endpoint_id: str) -> _Asking:
        return self._asking_by_id.setdefault(endpoint_id, _Asking())

    async def _ask(self, endpoint: EndpointEntry) -> _Decision:
        """Waits for the decision on one permit.

        Requests that come while the owner is asked are asked for together.
        """
        asking = self._asking(endpoint.id)
        decision = asyncio.get_running_loop().create_future()
        asking.waiting.append(decision)
        if len(asking.waiting) == 1:
            self._background.start(self._serve_waiting(endpoint, asking))
        return await decision

    async def _serve_waiting(
        self, endpoint: EndpointEntry, asking: _Asking
    ) -> None:
        """Decides on the requests that wait until there are none."""
        try:
            while asking.waiting:
                await self._decide(endpoint, asking)
        finally:
            # Not reached with requests that wait, unless deciding has failed.
            while asking.waiting:
                _answer(asking.waiting.popleft(), False, PermitSource.FAILED)

    async def _decide(self, endpoint: EndpointEntry, asking: _Asking) -> None:
        """Decides on all requests that wait now."""
        wanted = len(asking.waiting)
        reply = await self._call_owner(endpoint, asking, wanted)
        now = asyncio.get_running_loop().time()
        if reply is not None:
            granted = min(wanted, reply.granted)
            source = PermitSource.OWNER
            wait_s = reply.wait_s
            asking.share = None
            asking.returns_at = now + wait_s + reply.backlog_s
        else:
            granted, wait_s = self._use_share(endpoint, asking, wanted, now)
            source = PermitSource.SHARE
        if granted < wanted:
            endpoint.notice.no_permit_until = now + wait_s
        for _ in range(wanted):
            # The permit of a caller that left meanwhile goes to the next one.
            if _answer(asking.waiting.popleft(), granted > 0, source):
                granted -= 1

    async def _call_owner(
        self, endpoint: EndpointEntry, asking: _Asking, permits: int
    ) -> PermitReply | None:
        """Asks the owner for permits; returns None if it grants none."""
        now = asyncio.get_running_loop().time()
        owner = self._owners.find(endpoint)
        limit = endpoint.notice.rate_limit
        if limit is None or not self._owner_calls.may_call(owner):
            return None
        entry = self._blackboard.hosts_by_id.get(owner)
        if entry is not None and not entry.grants_permits:
            return None
        refused, asking.refused = asking.refused, 0
        request = PermitRequest(
            make_statement(endpoint, limit, now), permits, refused
        )
        reply = await self._owner_calls.call(owner, request, PermitReply)
        if reply is None:
            asking.refused += refused
            return None
        now = asyncio.get_running_loop().time()
        if endpoint.notice.rate_limit is limit:
            self._adopt(endpoint, reply, now)
        return reply

    def _adopt(
        self, endpoint: EndpointEntry, reply: PermitReply, now: float
    ) -> None:
        """Records the limit as the owner knows it, who was told this host's."""
        known = endpoint.notice.rate_limit
        per_s = None if reply.per_s < 0 else reply.per_s
        stated_at = now - reply.age_s
        first_hand = False
        if known is not None and per_s == known.per_s:
            stated_at = max(stated_at, known.stated_at)
            first_hand = known.first_hand
        if endpoint.notice.update_rate_limit(per_s, stated_at, now, first_hand):
            self._blackboard.events.emit(
                EventKind.RATE_LIMIT_CHANGED,
                endpoint=endpoint.id,
                change='told by its owner',
                service=endpoint.service,
                limit_per_s=per_s,
            )

    def _use_share(
        self, endpoint: EndpointEntry, asking: _Asking, wanted: int, now: float
    ) -> tuple[int, float]:
        """Takes permits from this host's own share of a limit.

        The share starts at a random level, so that hosts that lose an owner at
        the same time do not all send at the same time.

        Returns:
            The permits, and the seconds until there may be another one.
        """
        rate = self._compute_share(endpoint.notice.rate_limit)
        if asking.share is None:
            asking.share = TokenBucket(rate, 1.0, level=self._rng.random())
        elif asking.share_rate != rate:
            asking.share.change(rate, 1.0, now)
        asking.share_rate = rate
        granted, wait_s = 0, 0.0
        while granted < wanted and not wait_s:
            wait_s = asking.share.take(now)
            granted += not wait_s
        return granted, min(wait_s, OWNER_RETRY_S)

    def _compute_share(self, limit: RateLimit | None) -> float:
        """Returns this host's share of a limit, requests a second."""
        per_s = limit.per_s if limit is not None else None
        hosts = self._blackboard.count_sharing_hosts()
        whole = max(MIN_RATE_PER_S, per_s or 0.0)
        return SHARE_WITHOUT_OWNER * whole / hosts

    async def _report(self, endpoint_id: str) -> bool:
        """Tells the owner of a limit what the endpoint has stated.

        Returns:
            Whether nothing is left to tell.
        """
        endpoint = self._blackboard.endpoints_by_id.get(endpoint_id)
        if endpoint is None or endpoint.notice.rate_limit is None:
            return True
        asking = self._asking(endpoint_id)
        return await self._call_owner(endpoint, asking, 0) is not None

    def _report_decision(
        self, endpoint: EndpointEntry, request_id: str, decision: _Decision
    ) -> None:
        limit = endpoint.notice.rate_limit
        if limit is None:
            return
        self._metrics.count(
            'permits_granted' if decision.granted else 'permits_refused'
        )
        if decision.granted and decision.source is PermitSource.SHARE:
            self._metrics.count('permits_of_own_share')
        now = asyncio.get_running_loop().time()
        self._blackboard.events.emit(
            EventKind.PERMIT_DECIDED,
            request_id,
            endpoint=endpoint.id,
            granted=decision.granted,
            source=decision.source,
            owner=self._owners.find(endpoint),
            limit_per_s=limit.per_s,
            limit_age_s=round(now - limit.stated_at, 3),
            first_hand=limit.first_hand,
            share_per_s=round(self._compute_share(limit), 5),
            wait_s=round(max(0.0, endpoint.notice.no_permit_until - now), 3),
        )

    def _limits(self) -> list[RateLimit]:
        """Returns the limits in force that this host knows."""
        endpoints = self._blackboard.endpoints_by_id.values()
        limits = (endpoint.notice.rate_limit for endpoint in endpoints)
        return [limit for limit in limits if limit and limit.in_force]

    def _count_limited(self) -> float:
        return len(self._limits())

    def _oldest_limit_s(self) -> float:
        now = asyncio.get_running_loop().time()
        ages = [now - limit.stated_at for limit in self._limits()]
        return max(ages, default=0.0)


def _answer(
    waiter: asyncio.Future[_Decision], granted: bool, source: PermitSource
) -> bool:
    """Answers a request that waits; returns False if its caller has left."""
    if waiter.done():
        return False
    waiter.set_result(_Decision(granted, source))
    return True
