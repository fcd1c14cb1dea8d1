"""Decides how many engines of a model prefill and how many decode.

A prompt occupies a prefill engine for some hundredths of a second, but its
answer occupies memory of a decode engine for seconds. So a small share of
prefill engines is enough for a pool whose scarce resource is decode memory.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Iterable, Sequence

from mustardscale.configuration.wanted_state import WantedEngine
from mustardscale.endpoints.engines import EngineRole

# Time for which a group must lack prefill engines before decode engines take
# the role, seconds. It is longer than an engine takes to restart; meanwhile
# decode engines compute prompts themselves (local prefill).
PROMOTE_AFTER_S = 8.0
# Highest share of the remaining decode memory that may be in use after engines
# have changed to prefill. Above it decode memory is short and none changes.
MAX_MEMORY_SHARE = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class BalanceView:
    """What is known of an engine that may change its role.

    Attributes:
        id: id of the engine.
        model: model that it serves.
        group: group of engines within which roles are divided: the data centre
            if each data centre has its own pools, else ''.
        role: its present role.
        model_version: version of its model.
        used_pieces: KV blocks (pieces) of its memory that are in use.
        pieces: KV blocks (pieces) of its memory, 0 if unknown.
    """

    id: str
    model: str
    group: str
    role: EngineRole
    model_version: str
    used_pieces: int = 0
    pieces: int = 0


class RoleBalance:
    """Assigns prefill to a share of each group of engines, decode to the rest.

    Attributes:
        prefill_share: share of the engines that prefill; at least one does.
    """

    __slots__ = ('_lacking_since_by_group', 'prefill_share')

    def __init__(self, prefill_share: float):
        self.prefill_share = prefill_share
        # By model and group.
        self._lacking_since_by_group: dict[tuple[str, str], float] = {}

    def reset(self) -> None:
        """Clears the waiting times when this host does not coordinate."""
        self._lacking_since_by_group.clear()

    def wanted(
        self, views: Iterable[BalanceView], now: float
    ) -> dict[str, WantedEngine]:
        """Returns the wanted state of each engine.

        Args:
            views: the engines that are in service.
            now: loop time.
        """
        by_group: dict[tuple[str, str], list[BalanceView]] = (
            collections.defaultdict(list)
        )
        for view in views:
            by_group[view.model, view.group].append(view)
        wanted: dict[str, WantedEngine] = {}
        for (model, group), engines in by_group.items():
            prefills = self._choose_prefill_engines(
                (model, group), engines, now
            )
            for engine in engines:
                role = EngineRole.DECODE
                if engine.id in prefills:
                    role = EngineRole.PREFILL
                wanted[engine.id] = WantedEngine(
                    model, engine.model_version, role
                )
        return wanted

    def _choose_prefill_engines(
        self, group: tuple[str, str], engines: list[BalanceView], now: float
    ) -> set[str]:
        """Returns the ids of the engines that must prefill."""
        present = sorted(
            engine.id for engine in engines if engine.role is EngineRole.PREFILL
        )
        decodes = [
            engine for engine in engines if engine.role is EngineRole.DECODE
        ]
        others = sorted(engine.id for engine in decodes)
        count = compute_prefill_count(len(engines), self.prefill_share)
        if len(present) >= count:
            self._lacking_since_by_group.pop(group, None)
            return set(present[:count])
        if not _has_memory_for(decodes, count - len(present)):
            self._lacking_since_by_group.pop(group, None)
            return set(present)
        since = self._lacking_since_by_group.setdefault(group, now)
        if now - since < PROMOTE_AFTER_S:
            return set(present)
        return {*present, *others[: count - len(present)]}


def _has_memory_for(decodes: Sequence[BalanceView], fewer: int) -> bool:
    """Returns whether the streams still fit with fewer decode engines."""
    used = sum(engine.used_pieces for engine in decodes)
    pieces = sum(engine.pieces for engine in decodes)
    left_share = max(0, len(decodes) - fewer) / max(1, len(decodes))
    return used <= MAX_MEMORY_SHARE * left_share * pieces


def compute_prefill_count(engines: int, share: float) -> int:
    """Returns how many of a model's engines prefill.

    >>> (
    ...     compute_prefill_count(5, 0.2),
    ...     compute_prefill_count(6, 0.2),
    ...     compute_prefill_count(1, 0.2),
    ... )
    (1, 1, 0)
    """
    if engines < 2:
        return 0
    return min(engines - 1, max(1, math.floor(engines * share + 0.5)))
