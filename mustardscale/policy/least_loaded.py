"""The baseline policy that follows load reports and reserves nothing."""

from __future__ import annotations

from mustardscale.engines import EngineRole
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

RETRY_AFTER_S = 1.0


class LeastLoadedPolicy(PlacementPolicy):
    """Grants each request at once, to the engines that report least load."""

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
        prefill = min(prefills, key=_queued_tokens)
        decode = min(decodes, key=_used_pieces)
        return Grant(request_id, prefill.id, decode.id)


def _queued_tokens(engine: EngineState) -> tuple[int, str]:
    queued = engine.report.queued_tokens if engine.report else 0
    return (queued, engine.id)


def _used_pieces(engine: EngineState) -> tuple[float, str]:
    report = engine.report
    used = 0.0
    if report is not None and report.pieces_total > 0:
        used = 1.0 - report.pieces_free / report.pieces_total
    return (used, engine.id)
