"""Orders waiting requests by urgency and refuses hopeless ones."""

from __future__ import annotations

import dataclasses
import math
from typing import NamedTuple

from mustardscale.configuration.config_records import Profile
from mustardscale.endpoints.engines import NO_PRIORITY
from mustardscale.outcomes import Outcome
from mustardscale.peers.peer_messages import AdmitRequest
from mustardscale.policy.base import Refusal, WaitingRequest
from mustardscale.policy.pairing import Round
from mustardscale.policy.queue_passing import QueueClass

# Seconds of slack added to a request's urgency for each second for which it
# would occupy the whole pool, so that small requests come first.
SLACK_PER_POOL_SECOND = 6.0
# Ranks of waiting requests, the most urgent first. Requests of services that
# received more than their fair share come last, so that late requests of other
# services are not starved. Where there are priorities or customers, they come
# after those of the same priority instead: the excess of an urgent customer
# would otherwise be served less often than requests of less urgent ones.
REPEATED = 0
IN_TIME = 1
LATE = 2
AHEAD_IN_TIME = 3
AHEAD_LATE = 4
MAX_RETRY_AFTER_S = 30.0
MIN_RETRY_AFTER_S = 0.5
# Time after which to retry when no engine may be used, seconds.
NO_ENDPOINT_RETRY_AFTER_S = 1.0


class Urgency(NamedTuple):
    """Sort key of a waiting request; the smallest is decided first.

    Attributes:
        rank: REPEATED, IN_TIME, LATE, or AHEAD_IN_TIME or AHEAD_LATE for
            requests without priority and customer that exceed their service's
            share.
        priority: its priority, NO_PRIORITY for none.
        is_ahead: whether it exceeds the share of its service or customer; only
            where it states a priority or a customer.
        time: order among requests that are equal otherwise: weighted slack in
            seconds, or a loop time for repeated and late ones.
    """

    rank: int
    priority: int
    is_ahead: bool
    time: float


@dataclasses.dataclass(slots=True)
class Candidate:
    """A waiting request that is not refused.

    Attributes:
        urgency: sort key; the smallest is decided first.
        item: the request.
        profile: its profile.
        queue_class: class of requests within which only slack decides the
            order.
    """

    urgency: Urgency
    item: WaitingRequest
    profile: Profile
    queue_class: QueueClass

    def is_in_time(self) -> bool:
        """Returns whether its first token can still be in time."""
        return self.urgency.rank in (IN_TIME, AHEAD_IN_TIME)

    def is_ahead(self) -> bool:
        """Returns whether it exceeds the share of its service or customer."""
        return self.urgency.is_ahead or self.urgency.rank >= AHEAD_IN_TIME

    def has_priority_or_customer(self) -> bool:
        """Returns whether it states a priority or a customer."""
        return has_priority_or_customer(self.item.request)

    @property
    def priority(self) -> int:
        """Its priority, NO_PRIORITY for none."""
        return self.item.request.priority


def find_refusal(
    item: WaitingRequest,
    profile: Profile,
    estimate_s: float,
    current: Round,
    backlog_tokens: int,
) -> Refusal | None:
    """Returns a refusal if a request cannot be served within its profile.

    A repeated attempt is only refused if no engine may be used.

    Args:
        item: the request.
        profile: its profile.
        estimate_s: minimum seconds until its first token.
        current: the round of decisions.
        backlog_tokens: prompt tokens of the waiting requests that are as
            urgent or more.

    Returns:
        The refusal, or None if the request may be granted.
    """
    request = item.request
    request_id = request.tag.request_id
    no_decode = not current.decode_ids or (
        request.excluded and current.decode_ids.issubset(request.excluded)
    )
    if estimate_s == math.inf or no_decode:
        return Refusal(
            request_id, Outcome.NO_ENDPOINT, NO_ENDPOINT_RETRY_AFTER_S
        )
    if request.tag.attempt > 1:
        return None
    waited_s = request.waited_s + current.now - item.arrived_at
    late = current.now + estimate_s > item.first_token_at
    if waited_s > profile.patience_s or (
        late and not accepts_late(request, profile)
    ):
        return Refusal(
            request_id,
            Outcome.POOL_SATURATED,
            _backlog_s(current, backlog_tokens),
        )
    return None


def has_priority_or_customer(request: AdmitRequest) -> bool:
    """Returns whether a request states a priority or a customer."""
    return request.priority != NO_PRIORITY or bool(request.customer)


def accepts_late(request: AdmitRequest, profile: Profile) -> bool:
    """Returns whether a late answer is preferred to a refusal."""
    return request.tag.attempt > 1 or profile.patience_s > profile.first_token_s


def compute_urgency(
    item: WaitingRequest,
    profile: Profile,
    estimate_s: float,
    now: float,
    pool_occupancy_s: float,
    is_ahead: bool = False,
) -> Urgency:
    """Returns the sort key of a request; the smallest is decided first.

    Args:
        item: the request.
        profile: its profile.
        estimate_s: minimum seconds until its first token.
        now: loop time.
        pool_occupancy_s: seconds for which it would occupy the whole pool.
        is_ahead: whether its service or customer received more than its fair
            share.
    """
    priority = item.request.priority
    is_after_equals = is_ahead and has_priority_or_customer(item.request)
    is_last = is_ahead and not is_after_equals
    if item.request.tag.attempt > 1:
        return Urgency(REPEATED, priority, False, item.first_token_at)
    slack_s = item.first_token_at - now - estimate_s
    if slack_s < 0:
        rank = AHEAD_LATE if is_last else LATE
        return Urgency(rank, priority, is_after_equals, item.arrived_at)
    cost_s = SLACK_PER_POOL_SECOND * pool_occupancy_s
    return Urgency(
        AHEAD_IN_TIME if is_last else IN_TIME,
        priority,
        is_after_equals,
        (slack_s + cost_s) / profile.weight,
    )


def _backlog_s(current: Round, backlog_tokens: int) -> float:
    """Returns when to retry: the seconds until the prefill backlog is done."""
    if not current.prefills:
        return NO_ENDPOINT_RETRY_AFTER_S
    rate = sum(engine.tokens_per_s for engine in current.prefills)
    busy = sum(engine.free_at - current.now for engine in current.prefills)
    seconds = backlog_tokens / rate + busy / len(current.prefills)
    return retry_after_s(seconds)


def retry_after_s(seconds: float) -> float:
    """Limits an expected wait to the bounds of a retry-after time."""
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, seconds))
