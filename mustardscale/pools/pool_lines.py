"""Trace lines of decisions on pools, with their inputs.

A replay repeats the decisions from them; see docs/design/traces.md.
"""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from mustardscale.configuration.config_records import Profile
from mustardscale.endpoints.engines import CacheEvent, StreamStage
from mustardscale.peers.peer_messages import Release
from mustardscale.policy.base import (
    Decision,
    EngineState,
    Grant,
    Reservation,
    WaitingRequest,
)
from mustardscale.traces.trace import DecisionKind, TraceLine


class Renewal(NamedTuple):
    """The fields of a reservation that change while its stream runs."""

    request_id: str
    stage: StreamStage
    emitted: int
    renewed_at: float
    decoding_since: float | None
    suspect: bool


class RecordedDecision(NamedTuple):
    """A recorded decision of a policy; code is 0 for a grant."""

    request_id: str
    code: int
    prefill: str
    decode: str
    priority: int
    retry_after_s: float


def to_recorded_decision(decision: Decision) -> RecordedDecision:
    """Returns the recorded form of a decision."""
    if isinstance(decision, Grant):
        return RecordedDecision(
            decision.request_id,
            0,
            decision.prefill,
            decision.decode,
            decision.priority,
            0.0,
        )
    return RecordedDecision(
        decision.request_id,
        int(decision.outcome),
        '',
        '',
        0,
        decision.retry_after_s,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class PoolChange:
    """What changed in a pool's state since the previous line.

    Reservations are recorded without the hashes of their prompts' blocks. The
    hashes are recorded with the waiting request.

    Attributes:
        engines: engines that are new or changed.
        engines_gone: ids of engines that left.
        waiting: requests that are new or changed.
        waiting_gone: ids of requests that do not wait any more.
        waiting_order: ids in order, if it is not the order of arrival.
        held: reservations that are new or changed.
        renewed: reservations of which only the progress changed.
        held_gone: ids of reservations that ended.
        held_order: ids in order, if it is not the order of grants.
        profile_by_service: the profiles, if one changed.
        weight_by_customer: the weights of customers, if one changed.
    """

    engines: tuple[EngineState, ...] = ()
    engines_gone: tuple[str, ...] = ()
    waiting: tuple[WaitingRequest, ...] = ()
    waiting_gone: tuple[str, ...] = ()
    waiting_order: tuple[str, ...] = ()
    held: tuple[Reservation, ...] = ()
    renewed: tuple[Renewal, ...] = ()
    held_gone: tuple[str, ...] = ()
    held_order: tuple[str, ...] = ()
    profile_by_service: dict[str, Profile] | None = None
    weight_by_customer: dict[str, float] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyLine(TraceLine):
    """A call of a pool's policy; times in it are loop times.

    Attributes:
        kind: what was called.
        pool: id of the pool.
        policy: name of the policy, in POLICY_BEGUN.
        number: number of the call since POLICY_BEGUN.
        change: what changed in the pool before the call.
        subject: id of the request or engine that is passed to the call.
        reservation: the stream, in POLICY_STAGE and POLICY_RELEASE.
        stage: its stage, in POLICY_STAGE.
        release: how the stream ended, in POLICY_RELEASE.
        events: cache events, in POLICY_CACHE.
        decisions: the decisions, in POLICY_DECIDED.
    """

    kind: DecisionKind
    pool: str
    policy: str = ''
    number: int = 0
    change: PoolChange | None = None
    subject: str = ''
    reservation: Reservation | None = None
    stage: StreamStage | None = None
    release: Release | None = None
    events: tuple[CacheEvent, ...] = ()
    decisions: tuple[RecordedDecision, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class OrphanLine(TraceLine):
    """An owner's decision to cancel a stream that no host reports.

    Attributes:
        kind: ORPHAN_JUDGED.
        request_id: the request's id.
        attempt: number of the attempt.
        endpoint: the engine that holds the stream.
        unnamed_s: seconds for which no host reported it.
        host_live: whether the process that started it is still live.
        resume_grace_s: seconds for which a dead host's streams are kept.
    """

    kind: DecisionKind
    request_id: str
    attempt: int
    endpoint: str
    unnamed_s: float
    host_live: bool
    resume_grace_s: float
