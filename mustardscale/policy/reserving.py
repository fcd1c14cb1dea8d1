"""The policy that starts a prefill only against a decode reservation."""

from __future__ import annotations

import dataclasses
import math
import random

from mustardscale.engines import EngineRole, LoadReport, StreamStage
from mustardscale.outcomes import Outcome
from mustardscale.peers import AdmitRequest, Release
from mustardscale.policy.base import (
    Decision,
    EngineState,
    Grant,
    PlacementPolicy,
    PoolState,
    Refusal,
    Reservation,
    WaitingRequest,
    candidate_engines,
)

PIECE_TOKENS = 2000
DEFAULT_PIECES = 64
DEFAULT_PREFILL_TOKENS_PER_S = 16_000.0
# A prefill is started when the engine is free within this time, seconds.
PREFILL_LEAD_S = 0.05


@dataclasses.dataclass(slots=True)
class _Plan:
    """What has been decided in this round, on top of the pool's state."""

    prefill_free_at_by_id: dict[str, float]
    pieces_by_id: dict[str, float]


class ReservingPolicy(PlacementPolicy):
    """Reserves decode memory before prefill, by least slack."""

    def __init__(self, rng: random.Random):
        super().__init__(rng)
        self._prefill_free_at_by_id: dict[str, float] = {}
        self._mean_output_by_service: dict[str, float] = {}

    def decide(self, pool: PoolState, now: float) -> list[Decision]:
        """Grants by least slack while engines have room."""
        plan = self._plan(pool, now)
        waiting = sorted(
            pool.waiting_by_request_id.values(),
            key=lambda item: item.first_token_at,
        )
        decisions = []
        for item in waiting:
            decision = self._decide_one(pool, item, plan, now)
            if decision is not None:
                decisions.append(decision)
        return decisions

    def _plan(self, pool: PoolState, now: float) -> _Plan:
        free_at = {
            engine.id: max(now, self._prefill_free_at_by_id.get(engine.id, now))
            for engine in pool.engines(EngineRole.PREFILL)
        }
        pieces = {engine.id: 0.0 for engine in pool.engines(EngineRole.DECODE)}
        for held in pool.reservations_by_request_id.values():
            stream = held.stream
            if stream.decode in pieces:
                pieces[stream.decode] += self._need(
                    stream.service,
                    stream.prompt_tokens,
                    stream.emitted,
                    stream.max_tokens,
                )
        return _Plan(free_at, pieces)

    def _need(
        self, service: str, prompt_tokens: int, emitted: int, max_tokens: int
    ) -> float:
        mean = self._mean_output_by_service.get(service, 400.0)
        output = min(max_tokens, max(mean, emitted + mean / 2))
        return math.ceil((prompt_tokens + output) / PIECE_TOKENS)

    def _decide_one(
        self, pool: PoolState, item: WaitingRequest, plan: _Plan, now: float
    ) -> Decision | None:
        request = item.request
        request_id = request.tag.request_id
        prefills = candidate_engines(pool, EngineRole.PREFILL, request)
        decodes = candidate_engines(pool, EngineRole.DECODE, request)
        if not prefills or not decodes:
            return Refusal(request_id, Outcome.NO_ENDPOINT, 1.0)
        profile = pool.profile_by_service.get(request.service)
        patience_s = profile.patience_s if profile else 1.0
        if now - item.arrived_at + request.waited_s > patience_s:
            return Refusal(request_id, Outcome.POOL_SATURATED, 1.0)
        prefill = min(
            prefills, key=lambda engine: plan.prefill_free_at_by_id[engine.id]
        )
        decode = min(decodes, key=lambda engine: plan.pieces_by_id[engine.id])
        free_at = plan.prefill_free_at_by_id[prefill.id]
        need = self._need(
            request.service, request.prompt_tokens, 0, request.max_tokens
        )
        total = _pieces_total(decode)
        if free_at > now + PREFILL_LEAD_S:
            return None
        if plan.pieces_by_id[decode.id] + need > total:
            return None
        plan.prefill_free_at_by_id[prefill.id] = free_at + _prefill_s(
            request, prefill
        )
        plan.pieces_by_id[decode.id] += need
        return Grant(request_id, prefill.id, decode.id)

    def observe_grant(
        self, pool: PoolState, reservation: Reservation, now: float
    ) -> None:
        """Books the prefill engine."""
        stream = reservation.stream
        engine = pool.engines_by_id[stream.prefill]
        free_at = max(now, self._prefill_free_at_by_id.get(engine.id, now))
        seconds = stream.prompt_tokens / _prefill_rate(engine.report)
        self._prefill_free_at_by_id[engine.id] = free_at + seconds

    def observe_stage(
        self,
        pool: PoolState,
        reservation: Reservation,
        stage: StreamStage,
        now: float,
    ) -> None:
        """Corrects the prefill engine's booking when a prefill is done."""
        stream = reservation.stream
        if stage is not StreamStage.TRANSFER:
            return
        others = [
            held
            for held in pool.reservations_by_request_id.values()
            if held.stream.prefill == stream.prefill
            and held.stream.stage in (StreamStage.QUEUED, StreamStage.PREFILL)
        ]
        engine = pool.engines_by_id.get(stream.prefill)
        rate = _prefill_rate(engine.report if engine else None)
        left = sum(held.stream.prompt_tokens for held in others) / rate
        self._prefill_free_at_by_id[stream.prefill] = now + left

    def observe_release(
        self,
        pool: PoolState,
        reservation: Reservation,
        release: Release,
        now: float,
    ) -> None:
        """Learns the mean output length."""
        if release.finished:
            service = reservation.stream.service
            mean = self._mean_output_by_service.get(service, release.emitted)
            mean += 0.05 * (release.emitted - mean)
            self._mean_output_by_service[service] = mean


def _prefill_rate(report: LoadReport | None) -> float:
    if report is None or report.prefill_tokens_per_s <= 0:
        return DEFAULT_PREFILL_TOKENS_PER_S
    return report.prefill_tokens_per_s


def _prefill_s(request: AdmitRequest, engine: EngineState) -> float:
    return request.prompt_tokens / _prefill_rate(engine.report)


def _pieces_total(engine: EngineState) -> int:
    if engine.report is None:
        return DEFAULT_PIECES
    return engine.report.pieces_total
