"""Calls the hosts that own rate limits and quotas."""

from __future__ import annotations

import asyncio
from typing import Protocol, TypeVar

from mustardscale.blackboard import Blackboard
from mustardscale.exceptions import PeerUnavailableError
from mustardscale.hosts.quorum import MIN_SUSPENSION_S, has_quorum
from mustardscale.peers.peer_calls import PeerCalls
from mustardscale.peers.peer_messages import PeerRequest
from mustardscale.reporting.metrics import Metrics
from mustardscale.suspension import suspended_s

# Timeout of a call to an owner, seconds. The caller's request waits meanwhile.
CALL_TIMEOUT_S = 0.15
# Time for which an owner that did not answer is not asked again, seconds.
OWNER_RETRY_S = 0.5
# Age at which a permit must not be used any more, seconds: the process may have
# been paused since it asked.
PERMIT_VALID_S = 0.3


class OwnerReply(Protocol):
    """An owner's reply.

    Attributes:
        available: whether the host owns what it was asked for and may grant.
    """

    @property
    def available(self) -> bool:
        """Whether the host may grant."""
        raise NotImplementedError


ReplyType = TypeVar('ReplyType', bound=OwnerReply)


class OwnerCalls:
    """Calls owners, and skips for a while those that failed to grant."""

    __slots__ = (
        '_blackboard',
        '_calls',
        '_failure_counter',
        '_metrics',
        '_unavailable_until_by_host',
    )

    def __init__(
        self,
        blackboard: Blackboard,
        calls: PeerCalls,
        metrics: Metrics,
        failure_counter: str,
    ):
        """Prepares the calls.

        Args:
            blackboard: the blackboard.
            calls: calls to peers.
            metrics: counts calls that were not answered.
            failure_counter: name under which these are counted.
        """
        self._blackboard = blackboard
        self._calls = calls
        self._metrics = metrics
        self._failure_counter = failure_counter
        self._unavailable_until_by_host: dict[str, float] = {}

    def may_call(self, owner: str) -> bool:
        """Returns whether an owner is worth asking.

        Without a quorum it is not: the owners that this host still reaches have
        no quorum either.
        """
        now = asyncio.get_running_loop().time()
        unavailable_until = self._unavailable_until_by_host.get(owner, 0.0)
        return now >= unavailable_until and has_quorum(self._blackboard, now)

    async def call(
        self, owner: str, request: PeerRequest, reply_type: type[ReplyType]
    ) -> ReplyType | None:
        """Returns an owner's reply, None if none came or it may not grant."""
        try:
            reply = await self._calls.call(
                owner, request, reply_type, CALL_TIMEOUT_S
            )
        except PeerUnavailableError:
            self._metrics.count(self._failure_counter)
        else:
            if reply.available:
                return reply
        now = asyncio.get_running_loop().time()
        self._unavailable_until_by_host[owner] = now + OWNER_RETRY_S
        return None

    def forget_failures(self) -> None:
        """Asks all owners again, as others may own now."""
        self._unavailable_until_by_host.clear()


class PermitAge:
    """Time since a permit was asked for, with suspensions of the machine."""

    __slots__ = ('_asked_at', '_suspended_before_s')

    def __init__(self):
        self._asked_at = asyncio.get_running_loop().time()
        self._suspended_before_s = suspended_s()

    def has_expired(self) -> bool:
        """Returns whether the permit must not be used any more."""
        age_s = asyncio.get_running_loop().time() - self._asked_at
        paused_s = suspended_s() - self._suspended_before_s
        return age_s > PERMIT_VALID_S or paused_s > MIN_SUSPENSION_S
