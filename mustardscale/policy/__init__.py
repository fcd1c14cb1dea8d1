"""Placement policies, which the settings select by name."""

from __future__ import annotations

import random

from mustardscale.policy.base import PlacementPolicy
from mustardscale.policy.least_loaded import LeastLoadedPolicy
from mustardscale.policy.reserving import ReservingPolicy
from mustardscale.policy.round_robin import RoundRobinPolicy

POLICY_BY_NAME: dict[str, type[PlacementPolicy]] = {
    'mustardscale': ReservingPolicy,
    'round_robin': RoundRobinPolicy,
    'least_loaded': LeastLoadedPolicy,
}


def make_policy(
    name: str, rng: random.Random, learns_speeds: bool = False
) -> PlacementPolicy:
    """Returns a new placement policy.

    Args:
        name: its name in the settings.
        rng: the generator of random choices.
        learns_speeds: whether it learns each engine's own speed, if it can.
    """
    policy_type = POLICY_BY_NAME[name]
    if policy_type is ReservingPolicy:
        return ReservingPolicy(rng, learns_speeds)
    return policy_type(rng)
