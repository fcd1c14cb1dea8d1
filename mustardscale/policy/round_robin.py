"""The baseline policy that rotates over engines and reserves no memory."""

from __future__ import annotations

import random
from collections.abc import Sequence

from mustardscale.policy.base import EngineState
from mustardscale.policy.unreserved import UnreservedPolicy


class RoundRobinPolicy(UnreservedPolicy):
    """Grants each request at once to the next engines in the rotation."""

    def __init__(self, rng: random.Random):
        super().__init__(rng)
        self._rotation_index = 0

    def choose(
        self, prefills: Sequence[EngineState], decodes: Sequence[EngineState]
    ) -> tuple[EngineState, EngineState]:
        """See the base class."""
        self._rotation_index += 1
        return (
            prefills[self._rotation_index % len(prefills)],
            decodes[self._rotation_index % len(decodes)],
        )
