"""Orders waiting requests by urgency and refuses hopeless ones."""

from __future__ import annotations

import dataclasses
import math

from mustardscale.configuration.config_records import Profile
from mustardscale.outcomes import Outcome
from mustardscale.peers.peer_messages import AdmitRequest
from mustardscale.policy.base import Refusal, WaitingRequest
from mustardscale.policy.pairing import Round

# Seconds of slack added to a request's urgency for each second for which it
# would occupy the whole pool, so that small requests come first.
SLACK_PER_POOL_SECOND = 6.0
# Ranks of waiting requests, the most urgent first. Requests of services that
# received more than their fair share come last, so that late requests of other
# services are not starved.
REPEATED = 0
IN_TIME = 1
LATE = 2
AHEAD_IN_TIME = 3
AHEAD_LATE = 4
MAX_RETRY_AFTER_S = 30.0
MIN_RETRY_AFTER_S = 0.5
# Time after which to retry when no engine may be used, seconds.
NO_ENDPOINT_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(slots=True)
class Candidate:
    """A waiting request that is not refused.

    Attributes:
        urgency: sort key, rank first; the smallest is decided first.
        item: the request.
        profile: its profile.
    """

    urgency: tuple[int, float]
    item: WaitingRequest
    profile: Profile

    def is_in_time(self) -> bool:
        """Returns whether its first token can still be in time."""
        return self.urgency[0] in (IN_TIME, AHEAD_IN_TIME)


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
        backlog_tokens: prompt tokens of all waiting requests.

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
) -> tuple[int, float]:
    """Returns the sort key of a request; the smallest is decided first.

    Args:
        item: the request.
        profile: its profile.
        estimate_s: minimum seconds until its first token.
        now: loop time.
        pool_occupancy_s: seconds for which it would occupy the whole pool.
        is_ahead: whether its service received more than its fair share.
    """
    if item.request.tag.attempt > 1:
        return (REPEATED, item.first_token_at)
    slack_s = item.first_token_at - now - estimate_s
    if slack_s < 0:
        return (AHEAD_LATE if is_ahead else LATE, item.arrived_at)
    cost_s = SLACK_PER_POOL_SECOND * pool_occupancy_s
    return (
        AHEAD_IN_TIME if is_ahead else IN_TIME,
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
