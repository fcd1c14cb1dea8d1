"""A wrapper of a placement policy that records its calls."""

from __future__ import annotations

from mustardscale.blackboard import Blackboard
from mustardscale.endpoints.engines import CacheEvent, LoadReport, StreamStage
from mustardscale.peers.peer_messages import Release
from mustardscale.policy import POLICY_BY_NAME
from mustardscale.policy.base import (
    Decision,
    EngineSpeeds,
    EngineState,
    PlacementPolicy,
    PoolState,
    Reservation,
)
from mustardscale.pools.pool_changes import (
    PoolChangeTracker,
    strip_block_hashes,
)
from mustardscale.pools.pool_lines import PolicyLine, to_recorded_decision
from mustardscale.traces.trace import DecisionKind


class RecordedPolicy(PlacementPolicy):
    """Records every call to a policy, with its decisions, in the trace."""

    def __init__(
        self, policy: PlacementPolicy, pool_id: str, blackboard: Blackboard
    ):
        super().__init__(policy.rng)
        self._policy = policy
        self._pool_id = pool_id
        self._blackboard = blackboard
        self._change_tracker = PoolChangeTracker()
        name = next(
            (
                key
                for key, kind in POLICY_BY_NAME.items()
                if kind is type(policy)
            ),
            type(policy).__name__,
        )
        self._number = 0
        blackboard.record_line(
            PolicyLine, DecisionKind.POLICY_BEGUN, pool=pool_id, policy=name
        )

    def _record(
        self,
        kind: DecisionKind,
        pool: PoolState,
        now: float,
        **fields: object,
    ) -> None:
        self._number += 1
        self._blackboard.record_line(
            PolicyLine,
            kind,
            now,
            pool=self._pool_id,
            number=self._number,
            change=self._change_tracker.compute_change(pool),
            **fields,
        )

    def decide(self, pool: PoolState, now: float) -> list[Decision]:
        """See the base class."""
        decisions = self._policy.decide(pool, now)
        self._record(
            DecisionKind.POLICY_DECIDED,
            pool,
            now,
            decisions=tuple(map(to_recorded_decision, decisions)),
        )
        return decisions

    def describe_speeds(self) -> EngineSpeeds:
        """See the base class."""
        return self._policy.describe_speeds()

    def observe_grant(
        self, pool: PoolState, reservation: Reservation, now: float
    ) -> None:
        """See the base class."""
        subject = reservation.request_id
        self._record(DecisionKind.POLICY_GRANT, pool, now, subject=subject)
        self._policy.observe_grant(pool, reservation, now)

    def observe_stage(
        self,
        pool: PoolState,
        reservation: Reservation,
        stage: StreamStage,
        now: float,
    ) -> None:
        """See the base class."""
        self._record(
            DecisionKind.POLICY_STAGE,
            pool,
            now,
            subject=reservation.request_id,
            stage=stage,
        )
        self._policy.observe_stage(pool, reservation, stage, now)

    def observe_release(
        self,
        pool: PoolState,
        reservation: Reservation,
        release: Release,
        now: float,
    ) -> None:
        """See the base class."""
        self._record(
            DecisionKind.POLICY_RELEASE,
            pool,
            now,
            subject=reservation.request_id,
            reservation=strip_block_hashes(reservation),
            release=release,
        )
        self._policy.observe_release(pool, reservation, release, now)

    def observe_report(
        self,
        pool: PoolState,
        engine: EngineState,
        report: LoadReport,
        now: float,
    ) -> None:
        """See the base class."""
        self._record(DecisionKind.POLICY_REPORT, pool, now, subject=engine.id)
        self._policy.observe_report(pool, engine, report, now)

    def observe_cache(
        self,
        pool: PoolState,
        engine: EngineState,
        events: list[CacheEvent],
        now: float,
    ) -> None:
        """See the base class."""
        self._record(
            DecisionKind.POLICY_CACHE,
            pool,
            now,
            subject=engine.id,
            events=tuple(events),
        )
        self._policy.observe_cache(pool, engine, events, now)
