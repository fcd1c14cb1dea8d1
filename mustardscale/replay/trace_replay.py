"""Decides again from the inputs that a trace carries."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Iterable

from mustardscale.claims.claim_lines import (
    ClaimsLine,
    FoldedClaim,
    folded_claims,
)
from mustardscale.claims.claim_state import ClaimState, encode_claim
from mustardscale.claims.claim_stream import MEMORY_S
from mustardscale.directory.directory_lines import DirectoryLine
from mustardscale.directory.directory_rules import may_replace
from mustardscale.log.log_client import LogPage, LogRecord
from mustardscale.outcomes import Outcome
from mustardscale.policy import POLICY_BY_NAME
from mustardscale.policy.base import PlacementPolicy
from mustardscale.pools.pool_changes import RestoredPool
from mustardscale.pools.pool_lines import (
    OrphanLine,
    PolicyLine,
    RecordedDecision,
    to_recorded_decision,
)
from mustardscale.pools.reconcile import is_orphan
from mustardscale.traces.trace import DecisionKind, TraceLine


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """A decision that today's code takes differently.

    Attributes:
        at: loop time at the host, seconds.
        host: the entry host that decided.
        decision: what was decided: policy, claims, directory or cancel.
        request_id: the request.
        recorded: what was decided then.
        today: what is decided now.
    """

    at: float
    host: str
    decision: str
    request_id: str
    recorded: str
    today: str


class DecisionReplay:
    """Runs the decisions of a trace again.

    Attributes:
        decisions: decisions that were run again.
        left_out: lines that follow a gap in the trace, or of a policy that
            is not known here.
        differences: decisions that came out differently.
    """

    def __init__(self) -> None:
        self.decisions = 0
        self.left_out = 0
        self.differences: list[Difference] = []
        self._pool_by_key: dict[tuple[str, int, str], _ReplayedPool] = {}
        self._claims_by_key: dict[tuple[str, int, str], ClaimState] = {}

    def run(self, lines: Iterable[TraceLine]) -> None:
        """Runs all lines that carry decisions."""
        for line in lines:
            match line:
                case PolicyLine():
                    self._policy(line)
                case ClaimsLine():
                    self._claims(line)
                case DirectoryLine():
                    self._directory(line)
                case OrphanLine():
                    self._orphan(line)

    def _compare(
        self,
        line: TraceLine,
        decision: str,
        request_id: str,
        recorded: str,
        today: str,
    ) -> None:
        self.decisions += 1
        if recorded != today:
            self.differences.append(
                Difference(
                    line.at, line.host, decision, request_id, recorded, today
                )
            )

    def _policy(self, line: PolicyLine) -> None:
        key = (line.host, line.incarnation, line.pool)
        if line.kind is DecisionKind.POLICY_BEGUN:
            self._pool_by_key.pop(key, None)
            policy_type = POLICY_BY_NAME.get(line.policy)
            if policy_type is not None:
                policy = policy_type(random.Random(0))
                self._pool_by_key[key] = _ReplayedPool(line.pool, policy)
            return
        pool = self._pool_by_key.get(key)
        if pool is None or not pool.is_next(line):
            self._pool_by_key.pop(key, None)
            self.left_out += 1
            return
        today = {item.request_id: item for item in pool.run(line)}
        recorded = {item.request_id: item for item in line.decisions}
        for request_id in dict.fromkeys((*recorded, *today)):
            self._compare(
                line,
                'policy',
                request_id,
                _policy_text(recorded.get(request_id)),
                _policy_text(today.get(request_id)),
            )

    def _claims(self, line: ClaimsLine) -> None:
        key = (line.host, line.incarnation, line.stream)
        state = self._claims_by_key.setdefault(key, ClaimState())
        if _lacks_page(state, line):
            self.left_out += 1
            return
        records = tuple(
            LogRecord(offset, b'' if claim is None else encode_claim(claim))
            for offset, claim in line.records
        )
        page = LogPage(records, line.first_offset, 0)
        state.apply_page(page, line.at, line.wall_now)
        state.expire(line.at - MEMORY_S)
        recorded = {item.request_id: item for item in line.folded}
        today = {item.request_id: item for item in folded_claims(state, page)}
        for request_id in dict.fromkeys((*recorded, *today)):
            self._compare(
                line,
                'claims',
                request_id,
                _claim_text(recorded.get(request_id)),
                _claim_text(today.get(request_id)),
            )

    def _directory(self, line: DirectoryLine) -> None:
        registration = line.registration
        self._compare(
            line,
            'directory',
            registration.new.request_id,
            _directory_text(line.accepted),
            _directory_text(may_replace(registration)),
        )

    def _orphan(self, line: OrphanLine) -> None:
        cancelled = is_orphan(
            line.unnamed_s, line.host_live, line.resume_grace_s
        )
        self._compare(
            line,
            'cancel',
            line.request_id,
            'cancelled',
            'cancelled' if cancelled else 'kept',
        )


class _ReplayedPool:
    """A pool and a policy that is called as the recorded one was."""

    def __init__(self, pool_id: str, policy: PlacementPolicy):
        self._pool = RestoredPool(pool_id)
        self._policy = policy
        self._number = 0

    def is_next(self, line: PolicyLine) -> bool:
        """Returns whether a call follows the last one without a gap."""
        self._number += 1
        return line.number == self._number

    def run(self, line: PolicyLine) -> list[RecordedDecision]:
        """Calls the policy; returns what it decides, if it was asked to."""
        pool, policy, now = self._pool, self._policy, line.at
        ended = None
        if line.reservation is not None:
            # Its hashes are forgotten with the change that ends it.
            ended = pool.restore_block_hashes(line.reservation)
        if line.change is not None:
            pool.apply(line.change)
        state = pool.state
        match line.kind:
            case DecisionKind.POLICY_DECIDED:
                return [
                    to_recorded_decision(item)
                    for item in policy.decide(state, now)
                ]
            case DecisionKind.POLICY_GRANT:
                held = state.reservations_by_request_id[line.subject]
                policy.observe_grant(state, held, now)
            case DecisionKind.POLICY_STAGE:
                held = state.reservations_by_request_id[line.subject]
                if line.stage is not None:
                    policy.observe_stage(state, held, line.stage, now)
            case DecisionKind.POLICY_RELEASE:
                if ended is not None and line.release is not None:
                    policy.observe_release(state, ended, line.release, now)
            case DecisionKind.POLICY_REPORT:
                engine = state.engines_by_id[line.subject]
                if engine.report is not None:
                    policy.observe_report(state, engine, engine.report, now)
            case DecisionKind.POLICY_CACHE:
                engine = state.engines_by_id[line.subject]
                policy.observe_cache(state, engine, list(line.events), now)
        return []


def _lacks_page(state: ClaimState, line: ClaimsLine) -> bool:
    """Returns whether claims before a page are missing from the trace."""
    if not line.records:
        return False
    return line.records[0][0] > max(state.folded_offset + 1, line.first_offset)


def _policy_text(item: RecordedDecision | None) -> str:
    if item is None:
        return 'kept waiting'
    if item.code:
        name = Outcome(item.code).name
        return f'{item.code} {name}, back in {item.retry_after_s:g} s'
    return f'{item.prefill} then {item.decode}, priority {item.priority}'


def _claim_text(item: FoldedClaim | None) -> str:
    if item is None:
        return 'not folded'
    if not item.offset:
        return 'free'
    return f'held from offset {item.offset}, {item.result}'


def _directory_text(accepted: bool) -> str:
    return 'accepted' if accepted else 'refused'
