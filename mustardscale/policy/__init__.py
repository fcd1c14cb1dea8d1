"""Placement policies, which the settings select by name."""

from __future__ import annotations

from mustardscale.policy.base import PlacementPolicy
from mustardscale.policy.least_loaded import LeastLoadedPolicy
from mustardscale.policy.reserving import ReservingPolicy
from mustardscale.policy.round_robin import RoundRobinPolicy

POLICY_BY_NAME: dict[str, type[PlacementPolicy]] = {
    'mustardscale': ReservingPolicy,
    'round_robin': RoundRobinPolicy,
    'least_loaded': LeastLoadedPolicy,
}
