"""Draws the endpoint of a plain service so that all hosts' calls are even."""

from __future__ import annotations

import random
from collections.abc import Collection, Mapping, Sequence

from mustardscale.relay.endpoint_choice import compute_costs, find_eligible
from mustardscale.relay.endpoint_health import EndpointHealth

# Lower limit of an expected answer time, seconds, to avoid a division by zero.
MIN_COST_S = 1e-6
# A refusal could have been avoided if another endpoint had at most this share
# of the open calls of the one that refused.
ROOM_SHARE = 0.5


def choose_evenly(
    health_by_id: dict[str, EndpointHealth],
    open_by_id: Mapping[str, int],
    candidates: Sequence[str],
    excluded: Collection[str],
    now: float,
    rng: random.Random,
) -> str | None:
    """Returns the endpoint that a call goes to.

    Draws with weights that fall with the expected answer time that this host
    has seen, and with the open calls of all hosts. The latter are as old as the
    heartbeats, and all hosts know the same of them. So the least loaded
    endpoint is not simply chosen: all would send it their calls until the next
    heartbeat. The mean of the open calls is added to each, so that the weights
    differ little while there are few.

    Args:
        health_by_id: observed health of the endpoints.
        open_by_id: calls that all hosts have open at each candidate.
        candidates: endpoints that accept calls.
        excluded: endpoints that this request has already tried.
        now: loop time.
        rng: source of the random draw.

    Returns:
        None if no endpoint is left.
    """
    eligible = find_eligible(health_by_id, candidates, excluded, now)
    if not eligible:
        return None
    cost_by_id = compute_costs(health_by_id, candidates, eligible, now)
    mean_open = sum(open_by_id.values()) / len(candidates)
    base = max(1.0, mean_open)
    weights = [
        1.0 / (max(MIN_COST_S, cost_by_id[name]) * (open_by_id[name] + base))
        for name in eligible
    ]
    return rng.choices(eligible, weights)[0]


def had_room(
    open_by_id: Mapping[str, int], refusing: str, excluded: Collection[str]
) -> bool:
    """Returns whether another endpoint was much less loaded at a refusal.

    Args:
        open_by_id: calls that all hosts have open at each endpoint.
        refusing: the endpoint that refused.
        excluded: endpoints that the request had already tried.
    """
    limit = ROOM_SHARE * open_by_id.get(refusing, 0)
    return any(
        open_calls <= limit
        for name, open_calls in open_by_id.items()
        if name != refusing and name not in excluded
    )


def compute_unevenness(open_by_id: Mapping[str, int]) -> float:
    """Returns the largest number of open calls over the mean, 1 for none."""
    total = sum(open_by_id.values())
    return max(open_by_id.values()) * len(open_by_id) / total if total else 1.0
