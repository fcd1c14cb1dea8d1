"""Chooses the endpoint of a plain service for a call, without side effects."""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Sequence

from mustardscale.relay.endpoint_health import EndpointHealth

# Cost of each open call, as a multiple of the mean answer time.
OPEN_CALL_COST_FACTOR = 0.5
# Cost of each overdue call, as a multiple of the mean answer time.
OVERDUE_COST_FACTOR = 4.0
# Cost of the squared share of failed calls, as a multiple of the mean answer
# time.
FAILURE_COST_FACTOR = 20.0
# Calls are shared among the endpoints whose cost is at most this factor times
# the minimum cost.
SIMILAR_COST_FACTOR = 1.6


def choose_endpoint(
    health_by_id: dict[str, EndpointHealth],
    candidates: Sequence[str],
    excluded: Collection[str],
    now: float,
    rng: random.Random,
) -> str | None:
    """Returns the endpoint that a call goes to.

    Draws at random among the endpoints with similar expected answer times, so
    that hosts with the same observations do not all choose the same endpoint.
    An endpoint in backoff is only chosen if all remaining ones are in backoff.

    Args:
        health_by_id: observed health of the endpoints.
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
    limit = min(cost_by_id.values()) * SIMILAR_COST_FACTOR
    return rng.choice([n for n in eligible if cost_by_id[n] <= limit])


def find_eligible(
    health_by_id: dict[str, EndpointHealth],
    candidates: Sequence[str],
    excluded: Collection[str],
    now: float,
) -> list[str]:
    """Returns the endpoints left, without those in backoff if others are."""
    remaining = [name for name in candidates if name not in excluded]
    available = [
        name
        for name in remaining
        if not _is_backing_off(health_by_id, name, now)
    ]
    return available or remaining


def compute_costs(
    health_by_id: dict[str, EndpointHealth],
    candidates: Sequence[str],
    eligible: Sequence[str],
    now: float,
) -> dict[str, float]:
    """Returns the cost of each eligible endpoint, seconds, by its id."""
    median_s = _compute_median_s(health_by_id, candidates)
    return {
        name: _compute_cost(health_by_id.get(name), median_s, now)
        for name in eligible
    }


def _is_backing_off(
    health_by_id: dict[str, EndpointHealth], name: str, now: float
) -> bool:
    health = health_by_id.get(name)
    return health is not None and health.backoff_until > now


def _compute_median_s(
    health_by_id: dict[str, EndpointHealth], candidates: Sequence[str]
) -> float:
    """Returns the median of the mean answer times, infinity if none known."""
    means = sorted(
        health_by_id[name].mean_s for name in candidates if name in health_by_id
    )
    return means[(len(means) - 1) // 2] if means else math.inf


def _compute_cost(
    health: EndpointHealth | None, median_s: float, now: float
) -> float:
    """Returns the expected answer time, raised by load and failures."""
    if health is None:
        return 0.0 if median_s == math.inf else median_s
    confidence = health.compute_confidence(now)
    if median_s == math.inf:
        median_s = health.mean_s
    mean_s = median_s + confidence * (health.mean_s - median_s)
    open_calls = len(health.began_at_by_call)
    factor = (
        1.0
        + OPEN_CALL_COST_FACTOR * open_calls
        + OVERDUE_COST_FACTOR * health.count_overdue(median_s, now)
        + FAILURE_COST_FACTOR * confidence * health.failure_share**2
    )
    return mean_s * factor
