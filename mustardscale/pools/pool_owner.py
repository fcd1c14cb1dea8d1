"""Decides admissions to the pools that this host owns."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import math
import random
from collections.abc import Callable

from mustardscale.blackboard import Blackboard, Signal
from mustardscale.configuration.config_records import Profile, ServiceKind
from mustardscale.controller import Controller
from mustardscale.endpoints.engines import (
    NO_PRIORITY,
    EngineRole,
    StreamStage,
)
from mustardscale.hosts.quorum import has_quorum
from mustardscale.outcomes import Outcome
from mustardscale.peers.peer_calls import PeerCalls
from mustardscale.peers.peer_messages import (
    Acknowledgement,
    AdmitReply,
    AdmitRequest,
    HeldDigest,
    HeldDigestReply,
    HeldStream,
    Progress,
    Release,
    StreamLookup,
    StreamLookupReply,
)
from mustardscale.policy.base import (
    Decision,
    EngineState,
    Grant,
    PlacementPolicy,
    PoolState,
    WaitingRequest,
)
from mustardscale.policy.customer_shares import compute_weights
from mustardscale.pools.owned_pool import (
    OwnedPool,
    build_expiry_release,
    build_reservation,
    find_backup,
    find_current_engine,
    find_reservations_on,
    mark_suspects,
    rebuild_reservation,
    renew_by_digest,
    select_visible_requests,
)
from mustardscale.pools.pool_members import (
    PoolMembers,
    compute_pools,
    find_owner,
)
from mustardscale.pools.recorded_policy import RecordedPolicy
from mustardscale.quarantine.crash_evidence import HarmfulKeys, ProcessId
from mustardscale.quarantine.suspicions import Suspicions
from mustardscale.reporting.event_log import EventKind
from mustardscale.reporting.metrics import Metrics

log = logging.getLogger(__name__)

# Interval at which the policy decides again on waiting requests, seconds.
DECISION_INTERVAL_S = 0.02
# Interval between checks for expired reservations, seconds.
EXPIRY_INTERVAL_S = 0.25
# Interval between these checks while nothing is reserved, seconds. It is
# shorter than a reservation's lease, so that a reservation that is made between
# two checks cannot expire before the next one.
IDLE_EXPIRY_INTERVAL_S = 1.0
# Time for which a new owner collects the hosts' reports of running streams
# before it grants, seconds.
SETTLE_S = 0.8
# Signs of a crash of one engine within this time count as one crash, seconds.
CRASH_WINDOW_S = 5.0
# Time in which a new owner has learnt of earlier trials, seconds.
TRIAL_SETTLE_S = 3.0
# Time for which a suspected request must have written before it is cleared,
# seconds. A harmful one ends its engine as it begins to write.
CLEARED_AFTER_S = 2.0

# Decisions on less urgent requests are counted under this priority.
MAX_COUNTED_PRIORITY = 9

EngineCheck = Callable[[OwnedPool, str, str], None]

_STAGE_ORDER = {stage: number for number, stage in enumerate(StreamStage)}


class PoolOwner(Controller):
    """Decides admissions for the pools whose owner is this host.

    Attributes:
        owned_by_id: the pools that this host owns now.
        pools_acquired: notified when this host becomes the owner of a pool.
        check_engine: called with an engine that a host did not reach.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        calls: PeerCalls,
        suspicions: Suspicions,
        policy_type: Callable[[random.Random], PlacementPolicy],
        rng: random.Random,
        settle_s: float = SETTLE_S,
        metrics: Metrics | None = None,
    ):
        self._blackboard = blackboard
        self._suspicions = suspicions
        self._policy_type = policy_type
        self._rng = rng
        self._settle_s = settle_s
        self._metrics = metrics
        self.owned_by_id: dict[str, OwnedPool] = {}
        self.pools_acquired = Signal()
        self.check_engine: EngineCheck = self.mark_unreachable
        self._admission_arrived = Signal()
        self._profiles_digest = 0
        self._profile_by_service: dict[str, Profile] = {}
        self._weight_by_customer: dict[str, float] = {}
        suspicions.listeners.append(self._apply_suspicions)
        calls.handle(AdmitRequest, self._on_admit)
        calls.handle(Progress, self._on_progress)
        calls.handle(HeldDigest, self._on_held_digest)
        calls.handle(Release, self._on_release)
        calls.handle(StreamLookup, self._on_lookup)

    async def run(self) -> None:
        """Decides on waiting requests and drops expired reservations."""
        loop = asyncio.get_running_loop()
        expiry_at = loop.time()
        while True:
            for pool in list(self.owned_by_id.values()):
                if loop.time() >= expiry_at:
                    self._drop_expired(pool)
                self.decide(pool)
            if loop.time() >= expiry_at:
                expiry_at = loop.time() + EXPIRY_INTERVAL_S
            pools = self.owned_by_id.values()
            if any(pool.waiting_by_request_id for pool in pools):
                await asyncio.sleep(DECISION_INTERVAL_S)
            else:
                await self._admission_arrived.wait(self._expiry_interval_s())

    def _expiry_interval_s(self) -> float:
        pools = self.owned_by_id.values()
        if any(pool.state.reservations_by_request_id for pool in pools):
            return EXPIRY_INTERVAL_S
        return IDLE_EXPIRY_INTERVAL_S

    def follow_membership(self) -> None:
        """Acquires and releases pools when hosts or endpoints change."""
        board = self._blackboard
        pools = compute_pools(board)
        for pool_id, members in pools.items():
            if find_owner(board, members) == board.host:
                self._acquire_pool(members)
            else:
                self._release_pool(pool_id)
        for pool_id in set(self.owned_by_id) - set(pools):
            self._release_pool(pool_id)

    def _acquire_pool(self, members: PoolMembers) -> None:
        pool = self.owned_by_id.get(members.id)
        if pool is None:
            pool = OwnedPool(
                members,
                PoolState(members.id),
                self._new_policy(members.id),
                asyncio.get_running_loop().time(),
            )
            self.owned_by_id[members.id] = pool
            log.info('became owner of pool %s', members.id)
            self.pools_acquired.notify()
        pool.members = members
        self._refresh_engines(pool)

    def _new_policy(self, pool_id: str) -> PlacementPolicy:
        policy = self._policy_type(self._rng)
        if not self._blackboard.trace.takes_lines:
            return policy
        return RecordedPolicy(policy, pool_id, self._blackboard)

    def _release_pool(self, pool_id: str) -> None:
        pool = self.owned_by_id.pop(pool_id, None)
        if pool is None:
            return
        log.info('no longer owner of pool %s', pool_id)
        for reply in pool.reply_by_request_id.values():
            if not reply.done():
                reply.set_result(AdmitReply(Outcome.OWNER_UNAVAILABLE))

    def _refresh_engines(self, pool: OwnedPool) -> None:
        """Copies the blackboard's state of the engines into the pool."""
        now = asyncio.get_running_loop().time()
        engines_by_id = pool.state.engines_by_id
        for engine_id in pool.members.engine_ids:
            entry = self._blackboard.endpoints_by_id.get(engine_id)
            if entry is None:
                continue
            report = entry.report
            role = report.role if report else entry.role
            engine = engines_by_id.get(engine_id)
            if engine is None:
                engine = engines_by_id[engine_id] = EngineState(
                    engine_id, role or EngineRole.DECODE, entry.data_centre
                )
            engine.role = role or engine.role
            engine.version = entry.version
            model_ready = report is None or report.model == entry.model
            engine.usable = (
                not entry.leaving(now)
                and entry.unreachable_since is None
                and model_ready
                and not self._blackboard.is_withdrawn(entry)
            )
            new_report = entry.reported_at != engine.reported_at
            engine.report = report
            engine.reported_at = entry.reported_at
            if report is not None and new_report:
                pool.policy.observe_report(pool.state, engine, report, now)
        for engine_id in set(engines_by_id) - set(pool.members.engine_ids):
            del engines_by_id[engine_id]
        pool.state.update_piece_tokens()

    def refresh(self) -> None:
        """Updates the pools from new reports, profiles and suspicions."""
        profiles = self._language_profiles()
        for pool in self.owned_by_id.values():
            self._refresh_engines(pool)
            pool.state.profile_by_service = profiles
            pool.state.weight_by_customer = self._weight_by_customer

    def _apply_suspicions(self) -> None:
        """Refuses waiting requests that are quarantined, and marks suspects."""
        for pool in self.owned_by_id.values():
            mark_suspects(pool, self._suspicions)
            for request_id, item in list(pool.waiting_by_request_id.items()):
                is_quarantined = self._suspicions.is_quarantined(
                    item.request.keys
                )
                reply = pool.reply_by_request_id.get(request_id)
                if is_quarantined and not item.is_trial and reply is not None:
                    del pool.waiting_by_request_id[request_id]
                    if not reply.done():
                        reply.set_result(AdmitReply(Outcome.QUARANTINED))
        self._admission_arrived.notify()

    def _may_try(self, pool: OwnedPool, harmful: HarmfulKeys) -> bool:
        """Returns whether a quarantined request may be tried in a pool.

        Only the owner of a model's first pool decides, and only if it is not
        cut off, so that one request at a time is tried.
        """
        if not self._suspicions.may_try(harmful):
            return False
        board = self._blackboard
        now = asyncio.get_running_loop().time()
        first = min(
            members.id
            for members in compute_pools(board).values()
            if members.model == pool.members.model
        )
        return (
            pool.members.id == first
            and has_quorum(board, now)
            and now - pool.owned_since > TRIAL_SETTLE_S
        )

    def _language_profiles(self) -> dict[str, Profile]:
        """Returns the profiles of language services and routes by name."""
        config = self._blackboard.config
        if self._profiles_digest != config.digest():
            self._profiles_digest = config.digest()
            self._profile_by_service = {
                name: config.profiles_by_name[entry.choice.profile].profile
                for name, entry in config.services_by_name.items()
                if entry.choice.kind is ServiceKind.LANGUAGE
                and entry.choice.profile in config.profiles_by_name
            }
            self._profile_by_service |= config.routes.profile_by_route
            self._weight_by_customer = compute_weights(
                config.routes.table.customers
            )
        return self._profile_by_service

    async def _on_admit(self, sender: str, request: AdmitRequest) -> AdmitReply:
        pool = self.owned_by_id.get(request.pool)
        if pool is None:
            return AdmitReply(Outcome.OWNER_UNAVAILABLE)
        request_id = request.tag.request_id
        harmful = self._suspicions.find_harmful(request.keys)
        if harmful is not None:
            if not self._may_try(pool, harmful):
                return AdmitReply(Outcome.QUARANTINED)
            self._suspicions.record_trial(harmful, request_id)
        request = self._complete_priority(request)
        loop = asyncio.get_running_loop()
        now = loop.time()
        reply: asyncio.Future[AdmitReply] = loop.create_future()
        pool.reply_by_request_id[request_id] = reply
        item = WaitingRequest(
            request,
            arrived_at=now,
            first_token_at=now + request.first_token_s,
            deadline_at=now + request.deadline_s,
            suspect=self._suspicions.is_suspect(request.keys),
            is_trial=harmful is not None,
        )
        pool.waiting_by_request_id[request_id] = item
        self.decide(pool)
        if not reply.done():
            self._admission_arrived.notify()
        try:
            within_s = request.turn_within_s or None
            await asyncio.wait([reply], timeout=within_s)
            if not reply.done():
                return AdmitReply(Outcome.POOL_SATURATED, missed_turn=True)
            return reply.result()
        finally:
            if pool.reply_by_request_id.get(request_id) is reply:
                del pool.reply_by_request_id[request_id]
                pool.waiting_by_request_id.pop(request_id, None)

    def _complete_priority(self, request: AdmitRequest) -> AdmitRequest:
        """Returns a request with the priority of its route if it states none.

        Hosts of earlier releases, and hosts whose configuration is older or
        newer than this one's, may state none.
        """
        if request.priority != NO_PRIORITY:
            return request
        routes = self._blackboard.config.routes
        priority = routes.priorities.of_route(request.service)
        return dataclasses.replace(request, priority=priority)

    def decide(self, pool: OwnedPool) -> None:
        """Lets the policy decide and applies its decisions."""
        now = asyncio.get_running_loop().time()
        if not pool.waiting_by_request_id:
            return
        if now - pool.owned_since < self._settle_s:
            return
        pool.state.waiting_by_request_id = select_visible_requests(pool)
        for decision in pool.policy.decide(pool.state, now):
            self._apply_decision(pool, decision, now)

    def _apply_decision(
        self, pool: OwnedPool, decision: Decision, now: float
    ) -> None:
        request_id = decision.request_id
        item = pool.waiting_by_request_id.pop(request_id, None)
        reply = pool.reply_by_request_id.get(request_id)
        if item is None or reply is None or reply.done():
            return
        if isinstance(decision, Grant):
            backup = find_backup(pool, item, decision)
            reservation = build_reservation(item, decision, now, backup)
            pool.state.reservations_by_request_id[request_id] = reservation
            pool.policy.observe_grant(pool.state, reservation, now)
            self._log_decision(pool, item, decision, now)
            reply.set_result(self._build_grant_reply(item, decision, backup))
        else:
            self._log_decision(pool, item, decision, now)
            reply.set_result(
                AdmitReply(
                    decision.outcome, retry_after_s=decision.retry_after_s
                )
            )

    def _build_grant_reply(
        self, item: WaitingRequest, grant: Grant, backup: str
    ) -> AdmitReply:
        """Returns the reply that tells a host of a grant."""
        decode = self._blackboard.endpoints_by_id.get(grant.decode)
        return AdmitReply(
            Outcome.COMPLETE,
            grant.prefill,
            grant.decode,
            priority=grant.priority,
            prefill_s=grant.prefill_s,
            is_trial=item.is_trial,
            backup=backup,
            decode_version=decode.version if decode is not None else '',
            decode_began_anew=(
                decode is not None and not decode.is_version_known
            ),
        )

    def _log_decision(
        self,
        pool: OwnedPool,
        item: WaitingRequest,
        decision: Decision,
        now: float,
    ) -> None:
        prefill = decode = ''
        code, retry_after_s = Outcome.COMPLETE, 0.0
        priority = item.request.priority
        if isinstance(decision, Grant):
            prefill, decode = decision.prefill, decision.decode
        else:
            code, retry_after_s = decision.outcome, decision.retry_after_s
        ages = [
            now - engine.reported_at
            for engine in pool.state.engines_by_id.values()
            if math.isfinite(engine.reported_at)
        ]
        self._blackboard.events.emit(
            EventKind.POOL_DECIDED,
            decision.request_id,
            code,
            pool=pool.members.id,
            prefill=prefill,
            decode=decode,
            waited_s=round(item.request.waited_s + now - item.arrived_at, 4),
            waiting=len(pool.waiting_by_request_id),
            held=len(pool.state.reservations_by_request_id),
            report_age_s=round(max(ages), 3) if ages else None,
            retry_after_s=retry_after_s,
            priority=None if priority == NO_PRIORITY else priority,
            customer=item.request.customer,
        )
        if self._metrics is not None and priority != NO_PRIORITY:
            name = 'granted' if code is Outcome.COMPLETE else 'refused'
            shown = min(max(priority, 0), MAX_COUNTED_PRIORITY)
            self._metrics.count(f'pool_{name}_priority_{shown}')

    async def _on_progress(
        self, sender: str, request: Progress
    ) -> Acknowledgement:
        pool = self.owned_by_id.get(request.pool)
        if pool is not None:
            for stream in request.streams:
                self._update_reservation(pool, stream)
        return Acknowledgement()

    async def _on_held_digest(
        self, sender: str, request: HeldDigest
    ) -> HeldDigestReply:
        pool = self.owned_by_id.get(request.pool)
        return HeldDigestReply(pool is None or renew_by_digest(pool, request))

    def _update_reservation(self, pool: OwnedPool, stream: HeldStream) -> None:
        now = asyncio.get_running_loop().time()
        request_id = stream.tag.request_id
        known = pool.state.reservations_by_request_id.get(request_id)
        if known is None:
            known = rebuild_reservation(stream, now)
            known.suspect = self._suspicions.is_suspect(known.keys)
            pool.state.reservations_by_request_id[request_id] = known
            pool.policy.observe_grant(pool.state, known, now)
            return
        if stream.tag.attempt < known.stream.tag.attempt:
            return
        old_stage = known.stream.stage
        known.renewed_at = now
        if _STAGE_ORDER[stream.stage] < _STAGE_ORDER[old_stage] and (
            stream.tag == known.stream.tag
        ):
            return
        known.stream = stream
        pool.state.reservations_by_request_id[request_id] = known
        if stream.stage is StreamStage.DECODE and known.decoding_since is None:
            known.decoding_since = now
        if stream.stage is not old_stage:
            pool.policy.observe_stage(pool.state, known, stream.stage, now)
        decoding_since = known.decoding_since
        if (
            known.suspect
            and stream.emitted
            and decoding_since is not None
            and now - decoding_since >= CLEARED_AFTER_S
        ):
            known.suspect = False
            self._suspicions.record_survival(known.keys)

    async def _on_release(
        self, sender: str, request: Release
    ) -> Acknowledgement:
        pool = self.owned_by_id.get(request.pool)
        if pool is None:
            return Acknowledgement()
        request_id = request.tag.request_id
        known = pool.state.reservations_by_request_id.get(request_id)
        if known is not None and known.stream.tag == request.tag:
            del pool.state.reservations_by_request_id[request_id]
            now = asyncio.get_running_loop().time()
            pool.policy.observe_release(pool.state, known, request, now)
            if request.outcome == Outcome.ENDPOINT_UNREACHABLE:
                self.check_engine(pool, find_current_engine(known), sender)
            if request.outcome == Outcome.ENDPOINT_FAILED:
                pool.state.reservations_by_request_id[request_id] = known
                self.handle_crash(pool, find_current_engine(known), sender)
                del pool.state.reservations_by_request_id[request_id]
            if request.outcome == Outcome.COMPLETE and request.finished:
                process = self._process(pool, find_current_engine(known))
                self._suspicions.record_end(process, known.keys)
            self.decide(pool)
        return Acknowledgement()

    async def _on_lookup(
        self, sender: str, request: StreamLookup
    ) -> StreamLookupReply:
        found = [
            pool.state.reservations_by_request_id[request.request_id].stream
            for pool in self.owned_by_id.values()
            if request.request_id in pool.state.reservations_by_request_id
        ]
        found.sort(key=lambda stream: -stream.tag.attempt)
        return StreamLookupReply(tuple(found))

    def _drop_expired(self, pool: OwnedPool) -> None:
        """Drops expired reservations whose engine memory is free."""
        now = asyncio.get_running_loop().time()
        reservations = pool.state.reservations_by_request_id
        for held in pool.expired_reservations.collect_freed(
            list(reservations.values()), now
        ):
            del reservations[held.request_id]
            release = build_expiry_release(pool, held)
            pool.policy.observe_release(pool.state, held, release, now)

    def mark_unreachable(
        self,
        pool: OwnedPool,
        engine_id: str,
        sender: str,
        change: str = 'unreachable',
    ) -> None:
        """Withholds new work from an engine until its next report is read.

        Args:
            pool: the pool of the engine.
            engine_id: id of the engine.
            sender: the host that told of it, '' for this host's own reading.
            change: what became of the engine, for the log.
        """
        entry = self._blackboard.endpoints_by_id.get(engine_id)
        if entry is None or entry.unreachable_since is not None:
            return
        entry.unreachable_since = asyncio.get_running_loop().time()
        self._blackboard.events.emit(
            EventKind.ENDPOINT_CHANGED,
            endpoint=engine_id,
            change=change,
            service=entry.service,
            role=entry.role or '',
            told_by=sender,
        )
        self._refresh_engines(pool)

    def handle_crash(
        self, pool: OwnedPool, engine_id: str, sender: str = ''
    ) -> None:
        """Counts a crash against the requests that the engine was running.

        One crash shows several times: as broken streams and as a new start
        number in the engine's report. All signs of one process within
        CRASH_WINDOW_S count as one crash.

        Args:
            pool: the pool of the engine.
            engine_id: id of the engine.
            sender: the host that told of it, '' for this host's own reading.
        """
        now = asyncio.get_running_loop().time()
        process = self._process(pool, engine_id)
        crashed_at = pool.crashed_at_by_process.get(process, -math.inf)
        if now - crashed_at < CRASH_WINDOW_S:
            return
        pool.crashed_at_by_process = {
            other: at
            for other, at in pool.crashed_at_by_process.items()
            if now - at < CRASH_WINDOW_S
        }
        pool.crashed_at_by_process[process] = now
        self.mark_unreachable(pool, engine_id, sender, 'crashed')
        in_flight = find_reservations_on(pool, engine_id)
        self._suspicions.record_crash(
            process,
            [(held.keys, held.granted_at) for held in in_flight],
            [held.request_id for held in in_flight],
        )
        mark_suspects(pool, self._suspicions)

    def _process(self, pool: OwnedPool, engine_id: str) -> ProcessId:
        """Returns the process of an engine, by its report or the host list."""
        entry = self._blackboard.endpoints_by_id.get(engine_id)
        listed = entry.notice.start if entry else 0
        return ProcessId(
            engine_id, pool.start_by_engine_id.get(engine_id, listed)
        )
