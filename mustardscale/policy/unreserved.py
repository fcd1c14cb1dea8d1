"""Common part of the baseline policies, which grant requests at once."""

from __future__ import annotations

import abc
from collections.abc import Sequence

from mustardscale.endpoints.engines import EngineRole
from mustardscale.outcomes import Outcome
from mustardscale.policy.base import (
    Decision,
    EngineState,
    Grant,
    PlacementPolicy,
    PoolState,
    Refusal,
    WaitingRequest,
    candidate_engines,
)

# Seconds after which to retry a request that found no usable engine.
RETRY_AFTER_S = 1.0


class UnreservedPolicy(PlacementPolicy):
    """Grants each request at once and reserves no memory."""

    def decide(self, pool: PoolState, now: float) -> list[Decision]:
        """Grants all waiting requests, or refuses those without an engine."""
        waiting = list(pool.waiting_by_request_id.values())
        return [self._decide_one(pool, item) for item in waiting]

    def _decide_one(self, pool: PoolState, item: WaitingRequest) -> Decision:
        request = item.request
        request_id = request.tag.request_id
        prefills = candidate_engines(pool, EngineRole.PREFILL, request)
        decodes = candidate_engines(pool, EngineRole.DECODE, request)
        if not prefills or not decodes:
            return Refusal(request_id, Outcome.NO_ENDPOINT, RETRY_AFTER_S)
        prefill, decode = self.choose(prefills, decodes)
        return Grant(request_id, prefill.id, decode.id)

    @abc.abstractmethod
    def choose(
        self, prefills: Sequence[EngineState], decodes: Sequence[EngineState]
    ) -> tuple[EngineState, EngineState]:
        """Returns the prefill and the decode engine for a request.

        Args:
            prefills: the usable prefill engines, at least one.
            decodes: the usable decode engines, at least one.
        """
