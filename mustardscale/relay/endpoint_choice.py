"""Which endpoint of a plain service gets a call; a pure decision."""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Sequence

from mustardscale.relay.endpoint_health import EndpointHealth

# Weight of an open call, in mean times of an answer.
OPEN_CALL_COST_FACTOR = 0.5
# Weight of an overdue call, in mean times of an answer.
OVERDUE_COST_FACTOR = 4.0
# Weight of the share of failures, in mean times of an answer.
FAILURE_COST_FACTOR = 20.0
# Endpoints whose cost is within this factor of the least share the calls.
SIMILAR_COST_FACTOR = 1.6


def choose_endpoint(
    health_by_id: dict[str, EndpointHealth],
    candidates: Sequence[str],
    excluded: Collection[str],
    now: float,
    rng: random.Random,
) -> str | None:
    """Returns the endpoint that a call goes to.

    Of the endpoints that are expected to answer about equally soon one is
    drawn, so that hosts that know the same do not all choose the same one.
    An endpoint that rests is only chosen if all do.

    Args:
        health_by_id: what is remembered of the endpoints.
        candidates: endpoints that may be used.
        excluded: endpoints that this request has tried.
        now: loop time.
        rng: draws among similar endpoints.

    Returns:
        None if no endpoint is left.
    """
    remaining = [name for name in candidates if name not in excluded]
    available = [
        name
        for name in remaining
        if not _is_backing_off(health_by_id, name, now)
    ]
    eligible = available or remaining
    if not eligible:
        return None
    median_s = _compute_median_s(health_by_id, candidates)
    cost_by_id = {
        name: _compute_cost(health_by_id.get(name), median_s, now)
        for name in eligible
    }
    limit = min(cost_by_id.values()) * SIMILAR_COST_FACTOR
    return rng.choice([n for n in eligible if cost_by_id[n] <= limit])


def _is_backing_off(
    health_by_id: dict[str, EndpointHealth], name: str, now: float
) -> bool:
    health = health_by_id.get(name)
    return health is not None and health.backoff_until > now


def _compute_median_s(
    health_by_id: dict[str, EndpointHealth], candidates: Sequence[str]
) -> float:
    """Returns the median of the mean times, seconds."""
    means = sorted(
        health_by_id[name].mean_s for name in candidates if name in health_by_id
    )
    return means[(len(means) - 1) // 2] if means else math.inf


def _compute_cost(
    health: EndpointHealth | None, median_s: float, now: float
) -> float:
    """Returns the expected time of an answer, with what may go wrong."""
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
