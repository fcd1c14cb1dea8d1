"""The baseline policy that takes engines in turn and reserves nothing."""

from __future__ import annotations

import random

from mustardscale.engines import EngineRole
from mustardscale.outcomes import Outcome
from mustardscale.policy.base import (
    Decision,
    Grant,
    PlacementPolicy,
    PoolState,
    Refusal,
    WaitingRequest,
    candidate_engines,
)

RETRY_AFTER_S = 1.0


class RoundRobinPolicy(PlacementPolicy):
    """Grants each request at once, to the next engines in turn."""

    def __init__(self, rng: random.Random):
        super().__init__(rng)
        self._turn = 0

    def decide(self, pool: PoolState, now: float) -> list[Decision]:
        """Grants all that wait."""
        waiting = list(pool.waiting_by_request_id.values())
        return [self._decide_one(pool, item) for item in waiting]

    def _decide_one(self, pool: PoolState, item: WaitingRequest) -> Decision:
        request = item.request
        prefills = candidate_engines(pool, EngineRole.PREFILL, request)
        decodes = candidate_engines(pool, EngineRole.DECODE, request)
        request_id = request.tag.request_id
        if not prefills or not decodes:
            return Refusal(request_id, Outcome.NO_ENDPOINT, RETRY_AFTER_S)
        self._turn += 1
        prefill = prefills[self._turn % len(prefills)]
        decode = decodes[self._turn % len(decodes)]
        return Grant(request_id, prefill.id, decode.id)
