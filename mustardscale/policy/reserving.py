"""The policy that starts a prefill only against a decode reservation."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Iterable

from mustardscale.config_records import Profile
from mustardscale.engines import (
    BLOCK_TOKENS,
    CacheEvent,
    EngineRole,
    LoadReport,
    StreamStage,
)
from mustardscale.link_schedule import LinkSchedule
from mustardscale.memory_booking import StreamNeed
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
)
from mustardscale.policy.decode_room import (
    DecodeRooms,
    EngineRoom,
    needed_pieces,
)
from mustardscale.policy.hurried_demand import Express, HurriedDemand
from mustardscale.policy.prefill_timeline import SEND_S, PrefillTimeline
from mustardscale.prefix_index import PrefixIndex

DEFAULT_PREFILL_TOKENS_PER_S = 16_000.0
PREFILL_BASE_S = 0.02
DEFAULT_LINK_BYTES_PER_S = 2e9
KV_BYTES_PER_TOKEN = 100_000
# A prefill is granted when its engine is free within this time, seconds.
PREFILL_LEAD_S = 0.04
# Longest time for which a result may wait for its transfer, seconds.
PICKUP_WAIT_S = 0.35
# Seconds of slack that a request with a prompt of one token more gives up.
SLACK_PER_TOKEN_S = 0.5e-3
# Factor by which the bound on running out of memory exceeds what is seen.
BOUND_SLACK = 3.0
LEAST_WEIGHT = 1e-3
# Time for which a result is surely kept, seconds.
KEEP_S = 0.7
# Seconds between the end of a prefill and the start of its transfer.
HANDOVER_S = 0.004
# Share of the time per token target that a decode step may take.
STEP_SHARE = 0.97
LONGEST_RETRY_AFTER_S = 30.0
SHORTEST_RETRY_AFTER_S = 0.5
URGENT_PRIORITY = 0
PATIENT_PRIORITY = 1
INTERACTIVE_S = 1.0
# Seconds for which a look-up of cached blocks is used again.
CACHE_LOOKUP_S = 0.25
# Look-ups kept at most.
MOST_LOOKUPS = 4_000
DEFAULT_PROFILE = Profile()


@dataclasses.dataclass(slots=True)
class PrefillRoom:
    """One prefill engine in a round of decisions.

    Attributes:
        id: its name.
        free_at: loop time at which it has done its work.
        tokens_per_s: its rate.
    """

    id: str
    free_at: float
    tokens_per_s: float


@dataclasses.dataclass(slots=True)
class Round:
    """What has been decided in a round, on top of the pool's state.

    Attributes:
        now: loop time.
        prefills: the prefill engines.
        decodes_by_id: the decode engines.
        express: what hurried requests need.
        free_at_by_link: loop time at which each link is free, by engine.
        step_s: least time of a decode step, seconds.
    """

    now: float
    prefills: list[PrefillRoom]
    decodes_by_id: dict[str, EngineRoom]
    express: Express
    free_at_by_link: dict[str, float]
    step_s: float

    def any_free(self) -> bool:
        """Returns whether a prefill engine is free soon."""
        horizon = self.now + PREFILL_LEAD_S
        return any(engine.free_at <= horizon for engine in self.prefills)


@dataclasses.dataclass(slots=True)
class Candidate:
    """A waiting request that is not refused.

    Attributes:
        urgency: sort key; the smallest is decided first.
        item: the request.
        profile: its profile.
    """

    urgency: tuple[int, float]
    item: WaitingRequest
    profile: Profile


@dataclasses.dataclass(slots=True)
class Pairing:
    """A prefill and a decode engine for a request.

    Attributes:
        prefill: the prefill engine.
        decode: the decode engine.
        prefill_done_at: loop time at which the prefill will be done.
        transfer_done_at: loop time at which decoding can begin.
    """

    prefill: PrefillRoom
    decode: EngineRoom
    prefill_done_at: float
    transfer_done_at: float


class ReservingPolicy(PlacementPolicy):
    """Reserves decode memory and links before a prefill, by least slack."""

    def __init__(self, rng: random.Random):
        super().__init__(rng)
        self._rooms = DecodeRooms()
        self._links = LinkSchedule(DEFAULT_LINK_BYTES_PER_S)
        self._prefixes = PrefixIndex()
        self._timeline_by_id: dict[str, PrefillTimeline] = {}
        self._rate_by_id: dict[str, float] = {}
        self._demand = HurriedDemand()
        self._expected_blocks_by_request_id: dict[str, int] = {}
        self._round_at = 0.0
        # Loop time of a look-up and the tokens cached, by request and engine.
        self._cached_by_request: dict[tuple[str, str], tuple[float, float]] = {}

    def decide(self, pool: PoolState, now: float) -> list[Decision]:
        """Grants by least slack while engines have room."""
        current = self._round(pool, now)
        decisions: list[Decision] = []
        kept: list[Candidate] = []
        backlog_tokens = sum(
            item.request.prompt_tokens
            for item in pool.waiting_by_request_id.values()
        )
        for item in pool.waiting_by_request_id.values():
            profile = pool.profile_by_service.get(
                item.request.service, DEFAULT_PROFILE
            )
            estimate_s = self._least_s(current, item.request)
            refusal = self._refusal(
                item, profile, estimate_s, current, backlog_tokens
            )
            if refusal is not None:
                decisions.append(refusal)
                continue
            urgency = _urgency(item, profile, estimate_s, now)
            kept.append(Candidate(urgency, item, profile))
        if not current.any_free():
            return decisions
        kept.sort(key=lambda candidate: candidate.urgency)
        for candidate in kept:
            grant = self._grant(current, candidate.item, candidate.profile)
            if grant is not None:
                decisions.append(grant)
                if not current.any_free():
                    break
        return decisions

    def _round(self, pool: PoolState, now: float) -> Round:
        self._round_at = now
        if len(self._cached_by_request) > MOST_LOOKUPS:
            self._cached_by_request.clear()
        self._demand.observe(pool.waiting_by_request_id.values(), now)
        prefills = [
            PrefillRoom(
                engine.id,
                self._timeline(engine.id).free_at(now),
                self._rate(engine.id),
            )
            for engine in pool.engines(EngineRole.PREFILL)
        ]
        express = self._demand.express(pool.profile_by_service, now)
        rooms = self._rooms.rooms(pool, now)
        engine_ids = [engine.id for engine in prefills] + list(rooms)
        free_at_by_link = {
            engine_id: self._links.free_at(engine_id, now)
            for engine_id in engine_ids
        }
        return Round(
            now,
            prefills,
            rooms,
            express,
            free_at_by_link,
            self._rooms.step_s(1),
        )

    def _least_s(self, current: Round, request: AdmitRequest) -> float:
        """Returns the least seconds until the first token, if memory is free.

        The engines that are free first are assumed.
        """
        best = float('inf')
        for engine in current.prefills:
            if engine.id in request.excluded:
                continue
            begin = max(engine.free_at, current.now + SEND_S)
            seconds = begin - current.now + self._prefill_s(engine, request)
            best = min(best, seconds)
        transfer_s = (
            request.prompt_tokens * KV_BYTES_PER_TOKEN
        ) / DEFAULT_LINK_BYTES_PER_S
        return best + transfer_s + HANDOVER_S + current.step_s

    def _prefill_s(self, engine: PrefillRoom, request: AdmitRequest) -> float:
        key = (request.tag.request_id, engine.id)
        known = self._cached_by_request.get(key)
        if known is None or self._round_at - known[0] > CACHE_LOOKUP_S:
            cached = self._prefixes.expected_cached_tokens(
                engine.id, request.block_hashes
            )
            known = self._cached_by_request[key] = (self._round_at, cached)
        tokens = max(1.0, request.prompt_tokens - known[1])
        return PREFILL_BASE_S + tokens / engine.tokens_per_s

    def _least_prefill_s(
        self, engine: PrefillRoom, request: AdmitRequest
    ) -> float:
        """Returns the time of a prefill if all known blocks are cached."""
        prefixes = self._prefixes.endpoint(engine.id)
        blocks = prefixes.matched_blocks(request.block_hashes)
        tokens = max(1, request.prompt_tokens - blocks * BLOCK_TOKENS)
        return PREFILL_BASE_S + tokens / engine.tokens_per_s

    def _refusal(
        self,
        item: WaitingRequest,
        profile: Profile,
        estimate_s: float,
        current: Round,
        backlog_tokens: int,
    ) -> Refusal | None:
        request = item.request
        request_id = request.tag.request_id
        usable = set(current.decodes_by_id) - set(request.excluded)
        if estimate_s == float('inf') or not usable:
            return Refusal(request_id, Outcome.NO_ENDPOINT, 1.0)
        if request.tag.attempt > 1:
            return None
        waited_s = request.waited_s + current.now - item.arrived_at
        late = current.now + estimate_s > item.first_token_at
        if waited_s > profile.patience_s or (
            late and not _accepts_late(request, profile)
        ):
            return Refusal(
                request_id,
                Outcome.POOL_SATURATED,
                _retry_after_s(current, backlog_tokens),
            )
        return None

    def _grant(
        self, current: Round, item: WaitingRequest, profile: Profile
    ) -> Grant | None:
        request = item.request
        need = StreamNeed(
            request.service, request.prompt_tokens, 0, request.max_tokens
        )
        busy_s = current.express.busy_s(
            profile, item.first_token_at - current.now
        )
        pairing = self._pair(current, request, profile, need, busy_s)
        if pairing is None or (
            pairing.transfer_done_at + current.step_s > item.first_token_at
            and not _accepts_late(request, profile)
        ):
            return None
        prefill, decode = pairing.prefill, pairing.decode
        prefill.free_at = pairing.prefill_done_at
        self._rooms.place(decode, need)
        for link in (prefill.id, decode.id):
            current.free_at_by_link[link] = pairing.transfer_done_at
        interactive = profile.first_token_s <= INTERACTIVE_S
        urgent = interactive or request.tag.attempt > 1
        return Grant(
            request.tag.request_id,
            prefill.id,
            decode.id,
            URGENT_PRIORITY if urgent else PATIENT_PRIORITY,
        )

    def _pair(
        self,
        current: Round,
        request: AdmitRequest,
        profile: Profile,
        need: StreamNeed,
        busy_s: float,
    ) -> Pairing | None:
        """Returns the pairing with the first token soonest, if there is one."""
        pieces = needed_pieces(need)
        step_s = STEP_SHARE * profile.per_token_s
        decodes = [
            room
            for room in current.decodes_by_id.values()
            if room.id not in request.excluded
            and self._rooms.may_fit(room, pieces, step_s)
        ]
        if not decodes:
            return None
        pairings = [
            pairing
            for engine in current.prefills
            if engine.id not in request.excluded
            and engine.free_at <= current.now + PREFILL_LEAD_S
            for pairing in self._pairings(current, engine, decodes, request)
            if _busy_until(current, pairing) <= current.now + busy_s
        ]
        pairings.sort(key=lambda item: item.transfer_done_at)
        unfit: set[str] = set()
        for pairing in pairings:
            decode = pairing.decode
            if decode.id in unfit:
                continue
            if self._rooms.fits(decode, need, _overbooking(profile)):
                return pairing
            unfit.add(decode.id)
        return None

    def _pairings(
        self,
        current: Round,
        engine: PrefillRoom,
        decodes: list[EngineRoom],
        request: AdmitRequest,
    ) -> Iterable[Pairing]:
        """Yields the decode engines that can fetch the result in time."""
        begin = max(engine.free_at, current.now + SEND_S)
        done = begin + self._prefill_s(engine, request)
        ready = done + HANDOVER_S
        latest = min(
            ready + PICKUP_WAIT_S,
            begin + self._least_prefill_s(engine, request) + KEEP_S,
        )
        size = request.prompt_tokens * KV_BYTES_PER_TOKEN
        free_at = current.free_at_by_link
        out_free_at = free_at[engine.id]
        if out_free_at > max(latest, ready):
            return
        for decode in decodes:
            start = max(ready, out_free_at, free_at[decode.id])
            if start > max(latest, ready):
                continue
            finish = start + size / self._links.rate(engine.id, decode.id)
            yield Pairing(engine, decode, done, finish)

    def _timeline(self, engine_id: str) -> PrefillTimeline:
        timeline = self._timeline_by_id.get(engine_id)
        if timeline is None:
            timeline = self._timeline_by_id[engine_id] = PrefillTimeline()
        return timeline

    def _rate(self, engine_id: str) -> float:
        return self._rate_by_id.get(engine_id, DEFAULT_PREFILL_TOKENS_PER_S)

    def observe_grant(
        self, pool: PoolState, reservation: Reservation, now: float
    ) -> None:
        """Books the prefill engine and the links."""
        stream = reservation.stream
        request_id = reservation.request_id
        if stream.stage is StreamStage.DECODE:
            return
        ready = now
        if stream.stage is not StreamStage.TRANSFER:
            hashes = reservation.block_hashes
            cached = self._prefixes.expected_cached_tokens(
                stream.prefill, hashes
            )
            tokens = max(1.0, stream.prompt_tokens - cached)
            seconds = PREFILL_BASE_S + tokens / self._rate(stream.prefill)
            timeline = self._timeline(stream.prefill)
            timeline.add(request_id, seconds, now)
            ready = timeline.free_at(now) + HANDOVER_S
            prefixes = self._prefixes.endpoint(stream.prefill)
            self._expected_blocks_by_request_id[request_id] = (
                prefixes.matched_blocks(hashes)
            )
            prefixes.sent(hashes, now)
        self._links.book(
            request_id,
            stream.prefill,
            stream.decode,
            stream.prompt_tokens * KV_BYTES_PER_TOKEN,
            ready,
            now,
        )

    def observe_stage(
        self,
        pool: PoolState,
        reservation: Reservation,
        stage: StreamStage,
        now: float,
    ) -> None:
        """Notes the end of a prefill or of a transfer."""
        stream = reservation.stream
        request_id = reservation.request_id
        if stage is StreamStage.TRANSFER:
            self._note_prefill(reservation, now)
            self._links.ready(request_id, now)
        elif stage is StreamStage.DECODE:
            self._timeline(stream.prefill).done(request_id, now)
            self._links.finish(request_id, now)

    def _note_prefill(self, reservation: Reservation, now: float) -> None:
        """Corrects the trust in the prefix index by a prefill's duration."""
        stream = reservation.stream
        seconds = self._timeline(stream.prefill).done(
            reservation.request_id, now
        )
        hashes = reservation.block_hashes
        expected = self._expected_blocks_by_request_id.pop(
            reservation.request_id, 0
        )
        if seconds is None or not expected:
            return
        rate = self._rate(stream.prefill)
        computed = max(0.0, seconds - PREFILL_BASE_S) * rate
        cached = max(0, int(stream.prompt_tokens - computed))
        blocks = min(len(hashes), round(cached / BLOCK_TOKENS))
        self._prefixes.endpoint(stream.prefill).observe(
            expected, blocks * BLOCK_TOKENS
        )

    def observe_release(
        self,
        pool: PoolState,
        reservation: Reservation,
        release: Release,
        now: float,
    ) -> None:
        """Frees the engines and learns the output length."""
        stream = reservation.stream
        self._timeline(stream.prefill).done(reservation.request_id, now)
        self._expected_blocks_by_request_id.pop(reservation.request_id, None)
        self._links.drop(reservation.request_id)
        if release.finished:
            self._rooms.lengths.record(stream.service, release.emitted)

    def observe_report(
        self,
        pool: PoolState,
        engine: EngineState,
        report: LoadReport,
        now: float,
    ) -> None:
        """Takes in speeds and the memory in use."""
        self._links.set_rate(engine.id, report.link_bytes_per_s)
        if engine.role is EngineRole.PREFILL:
            self._rate_by_id[engine.id] = report.prefill_tokens_per_s
        else:
            self._rooms.observe_report(pool, engine.id, report, now)

    def observe_cache(
        self,
        pool: PoolState,
        engine: EngineState,
        events: list[CacheEvent],
        now: float,
    ) -> None:
        """Follows a prefill engine's prefix cache."""
        self._prefixes.endpoint(engine.id).apply(events, now)


def _overbooking(profile: Profile) -> float:
    """Returns the bound on running out of memory that a grant may reach."""
    weight = profile.goodput_weight / max(profile.waste_weight, LEAST_WEIGHT)
    return min(1.0, BOUND_SLACK * weight * profile.overbook_probability)


def _accepts_late(request: AdmitRequest, profile: Profile) -> bool:
    """Returns whether a late answer is wanted rather than a refusal."""
    return request.tag.attempt > 1 or profile.patience_s > profile.first_token_s


def _retry_after_s(current: Round, backlog_tokens: int) -> float:
    """Returns the seconds until the present backlog is worked off."""
    rate = sum(engine.tokens_per_s for engine in current.prefills)
    busy = sum(engine.free_at - current.now for engine in current.prefills)
    seconds = backlog_tokens / rate + busy / len(current.prefills)
    return min(LONGEST_RETRY_AFTER_S, max(SHORTEST_RETRY_AFTER_S, seconds))


def _busy_until(current: Round, pairing: Pairing) -> float:
    """Returns when some prefill engine can begin other work."""
    others = [
        _begins_at(current, engine, engine.free_at)
        for engine in current.prefills
        if engine is not pairing.prefill
    ]
    if not others:
        return current.now
    after = max(
        pairing.prefill_done_at, pairing.transfer_done_at - PICKUP_WAIT_S
    )
    return min(after, *others)


def _begins_at(current: Round, engine: PrefillRoom, free_at: float) -> float:
    """Returns when an engine can begin a prefill whose result it can send."""
    return max(free_at, current.free_at_by_link[engine.id] - PICKUP_WAIT_S)


def _urgency(
    item: WaitingRequest, profile: Profile, estimate_s: float, now: float
) -> tuple[int, float]:
    """Returns the sort key of a request; the smallest is decided first."""
    if item.request.tag.attempt > 1:
        return (0, item.first_token_at)
    slack_s = item.first_token_at - now - estimate_s
    if slack_s < 0:
        return (2, item.arrived_at)
    cost_s = SLACK_PER_TOKEN_S * item.request.prompt_tokens
    return (1, (slack_s + cost_s) / profile.weight)
