"""The policy that reserves decode memory before it starts a prefill.

A prefill is only granted together with a reservation on a decode engine, so
that its result is not wasted for lack of memory there.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
import math
import random
from collections.abc import Collection

from mustardscale.configuration.config_records import Profile
from mustardscale.endpoints.engines import (
    NO_PRIORITY,
    CacheEvent,
    LoadReport,
    StreamStage,
)
from mustardscale.outcomes import Outcome
from mustardscale.peers.peer_messages import AdmitRequest, Release
from mustardscale.policy.admission_forecast import (
    MAX_PASSING_SHARE,
    MAX_URGENT_PASSING_SHARE,
    AdmissionForecast,
    is_worth_waiting,
    may_be_admitted_in_time,
)
from mustardscale.policy.base import (
    Decision,
    EngineSpeeds,
    EngineState,
    Grant,
    PlacementPolicy,
    PoolState,
    Refusal,
    Reservation,
    WaitingRequest,
)
from mustardscale.policy.engine_tracker import EngineTracker
from mustardscale.policy.latency_critical_demand import (
    LatencyCriticalDemand,
    LatencyCriticalNeed,
)
from mustardscale.policy.local_prefill import (
    find_local_pairing,
    lacks_prefill_engine,
)
from mustardscale.policy.memory_booking import StreamNeed, pieces_for
from mustardscale.policy.memory_claims import MemoryClaim, find_withheld
from mustardscale.policy.pairing import (
    Round,
    begin_round,
    find_pairing,
    min_first_token_s,
)
from mustardscale.policy.pool_capacity import compute_capacity
from mustardscale.policy.priority_shares import PriorityShares
from mustardscale.policy.queue_passing import QueueClass, find_class
from mustardscale.policy.urgency import (
    IN_TIME,
    REPEATED,
    Candidate,
    accepts_late,
    compute_urgency,
    find_refusal,
    retry_after_s,
)

URGENT_PRIORITY = 0
PATIENT_PRIORITY = 1
# Grants of services with a first-token target up to this get URGENT_PRIORITY,
# seconds.
INTERACTIVE_S = 1.0
DEFAULT_PROFILE = Profile()
# Time from the end of a local prefill on a decode engine to the caller's first
# event, seconds.
LOCAL_PREFILL_MARGIN_S = 0.1


@dataclasses.dataclass(slots=True)
class _UngrantedRequests:
    """Requests that are not granted in a round, the most urgent first.

    Attributes:
        candidates: the requests.
        seconds: time that the prefill engines together need for them.
        has_in_time: whether one of them can still be in time.
    """

    candidates: list[Candidate] = dataclasses.field(default_factory=list)
    seconds: float = 0.0
    has_in_time: bool = False

    def add(self, candidate: Candidate, prefill_s: float) -> None:
        """Appends a request."""
        self.candidates.append(candidate)
        self.seconds += prefill_s
        self.has_in_time = self.has_in_time or candidate.is_in_time()


class ReservingPolicy(PlacementPolicy):
    """Grants waiting requests in the order of their urgency.

    Requests that can be in time come before late ones, then the more urgent
    priority comes first, and then mainly the least slack to the first-token
    target. Decode memory and links are reserved before a prefill.
    """

    def __init__(self, rng: random.Random, learns_speeds: bool = False):
        super().__init__(rng)
        self._tracker = EngineTracker(learns_speeds)
        self._demand = LatencyCriticalDemand()
        self._shares = PriorityShares()
        self._forecast = AdmissionForecast()
        # Requests without a grant for lack of decode memory when a prefill
        # engine was last free.
        self._short_of_memory_ids: set[str] = set()

    def decide(self, pool: PoolState, now: float) -> list[Decision]:
        """Grants the most urgent requests and refuses hopeless ones."""
        self._short_of_memory_ids &= pool.waiting_by_request_id.keys()
        self._demand.observe(pool.waiting_by_request_id.values(), now)
        waiting = pool.waiting_by_request_id.values()
        self._shares.observe_waiting(waiting, now)
        ahead_ids = self._shares.find_ahead(waiting, pool.weight_by_customer)
        self._forecast.observe_waiting(waiting, now, ahead_ids)
        need_by_priority = self._find_needs(pool, now)
        current = begin_round(
            self._tracker, pool, need_by_priority[NO_PRIORITY], now
        )
        decisions, kept = self._screen_waiting(current, pool, ahead_ids)
        kept.sort(key=lambda candidate: candidate.urgency)
        ungranted = _UngrantedRequests()
        claims: list[MemoryClaim] = []
        for candidate in kept:
            current.latency_critical_need = need_by_priority[candidate.priority]
            current.withheld_ids = find_withheld(
                claims, candidate.urgency, current.decodes_by_id.values()
            )
            grant = self._grant_local_if_lightly_loaded(current, candidate)
            if grant is None and current.has_free_prefill():
                grant = self._grant(current, candidate)
                self._note_short_of_memory(current, candidate, grant)
            if grant is None:
                grant = self._grant_local_if_late(current, candidate, ungranted)
            if grant is not None:
                decisions.append(grant)
            else:
                ungranted.add(candidate, self._prefill_s(current, candidate))
                if len(claims) < len(current.decodes_by_id):
                    # Each claim is for one engine.
                    claims += self._claim_memory(current, candidate)
        return decisions + self._refuse_short_of_memory(
            current, pool, ungranted.candidates
        )

    def _find_needs(
        self, pool: PoolState, now: float
    ) -> dict[int, LatencyCriticalNeed]:
        """Returns the latency-critical need that each priority leaves free.

        It is that of the requests which are as urgent or more. Requests without
        a priority leave room for all.
        """
        ahead = self._shares.services_ahead()
        priorities = {
            item.request.priority
            for item in pool.waiting_by_request_id.values()
        }
        return {
            priority: self._demand.latency_critical_need(
                pool.profile_by_service,
                now,
                ahead,
                math.inf if priority == NO_PRIORITY else priority,
            )
            for priority in (NO_PRIORITY, *sorted(priorities - {NO_PRIORITY}))
        }

    def _claim_memory(
        self, current: Round, candidate: Candidate
    ) -> list[MemoryClaim]:
        """Returns what an ungranted request claims of less urgent ones.

        Only where requests have priorities or customers, and only for those
        that can be in time or are repeated.
        """
        request = candidate.item.request
        if (
            not candidate.has_priority_or_customer()
            or candidate.urgency.rank not in (REPEATED, IN_TIME)
            or request.tag.request_id not in self._short_of_memory_ids
        ):
            return []
        pieces = pieces_for(request.prompt_tokens + 1, current.piece_tokens)
        return [MemoryClaim(candidate.urgency, pieces, request.excluded)]

    def _note_short_of_memory(
        self, current: Round, candidate: Candidate, grant: Grant | None
    ) -> None:
        """Records whether a request was not granted for lack of memory."""
        request_id = candidate.item.request.tag.request_id
        self._short_of_memory_ids.discard(request_id)
        if grant is None and current.lacks_memory:
            self._short_of_memory_ids.add(request_id)
        current.lacks_memory = False

    def _refuse_short_of_memory(
        self, current: Round, pool: PoolState, ungranted: list[Candidate]
    ) -> list[Decision]:
        """Refuses requests that lack memory and will be admitted too late.

        They are refused at once rather than kept until they are late.
        """
        held = len(pool.reservations_by_request_id)
        refusals: list[Decision] = []
        kept = 0
        ungranted = [
            candidate
            for candidate in ungranted
            if candidate.item.request.tag.request_id
            in self._short_of_memory_ids
        ]
        count_by_class = collections.Counter(
            candidate.queue_class for candidate in ungranted
        )
        place_by_class: collections.Counter[QueueClass] = collections.Counter()
        for candidate in ungranted:
            queue_class = candidate.queue_class
            place = place_by_class[queue_class] / count_by_class[queue_class]
            place_by_class[queue_class] += 1
            max_share = MAX_PASSING_SHARE
            if self._forecast.is_passed(queue_class):
                max_share = MAX_URGENT_PASSING_SHARE
            passing_share = self._forecast.passing_share(queue_class, place)
            admission_s = self._forecast.wait_s(
                kept, passing_share, held, max_share
            )
            late_s = self._forecast.wait_s(kept, 1.0, held, max_share)
            if _may_keep_waiting(current, candidate, admission_s, late_s):
                kept += 1
                continue
            refusal = Refusal(
                candidate.item.request.tag.request_id,
                Outcome.POOL_SATURATED,
                # A caller that returns is in time again.
                retry_after_s(
                    admission_s
                    if candidate.has_priority_or_customer()
                    else late_s
                ),
            )
            refusals.append(refusal)
        return refusals

    def _prefill_s(self, current: Round, candidate: Candidate) -> float:
        """Returns the time that all prefill engines together need."""
        tokens = candidate.item.request.prompt_tokens
        rate = sum(engine.tokens_per_s for engine in current.prefills)
        return tokens / rate if rate else 0.0

    def _grant_local_if_lightly_loaded(
        self, current: Round, candidate: Candidate
    ) -> Grant | None:
        """Grants a local prefill on a lightly loaded engine if in time."""
        request = candidate.item.request
        local_s = self._tracker.local_prefill_s(request.prompt_tokens)
        begins_at = current.now + local_s + LOCAL_PREFILL_MARGIN_S
        if begins_at > candidate.item.first_token_at:
            return None
        return self._grant_local(current, candidate, lightly_loaded=True)

    def _grant_local_if_late(
        self,
        current: Round,
        candidate: Candidate,
        ungranted: _UngrantedRequests,
    ) -> Grant | None:
        """Grants a local prefill if a prefill engine would be too late.

        A request that is already late gets a local prefill only if no more
        urgent request without a grant can still be in time, because that one
        may need the decode engine.

        Args:
            current: the round of decisions.
            candidate: the request.
            ungranted: more urgent requests that were not granted.
        """
        request = candidate.item.request
        if not lacks_prefill_engine(current, request):
            estimate_s = min_first_token_s(self._tracker, current, request)
            split_s = ungranted.seconds + estimate_s
            is_late = current.now + split_s > candidate.item.first_token_at
            local_s = self._tracker.local_prefill_s(request.prompt_tokens)
            if not is_late or local_s > split_s:
                return None
            if ungranted.has_in_time and not candidate.is_in_time():
                return None
        return self._grant_local(current, candidate)

    def _grant_local(
        self, current: Round, candidate: Candidate, lightly_loaded: bool = False
    ) -> Grant | None:
        """Grants a local prefill on a decode engine that has memory for it.

        Args:
            current: the round of decisions.
            candidate: the request.
            lightly_loaded: whether only lightly loaded engines may be chosen.
        """
        if not current.local_prefill_ids:
            return None
        request = candidate.item.request
        need = _stream_need(request)
        pairing = find_local_pairing(
            self._tracker,
            current,
            request,
            candidate.profile,
            need,
            lightly_loaded,
        )
        if pairing is None:
            return None
        decode = pairing.decode
        self._tracker.capacities.place(decode, need)
        current.local_prefill_ids -= {decode.id}
        return Grant(
            request.tag.request_id, decode.id, decode.id, URGENT_PRIORITY
        )

    def _screen_waiting(
        self, current: Round, pool: PoolState, ahead_ids: Collection[str]
    ) -> tuple[list[Decision], list[Candidate]]:
        """Refuses requests that cannot be served in time.

        Args:
            current: the round of decisions.
            pool: the pool.
            ahead_ids: ids of the requests whose service or customer received
                more than its fair share.

        Returns:
            The refusals, and the requests that may be granted in this round.
        """
        refusals: list[Decision] = []
        kept: list[Candidate] = []
        waiting = pool.waiting_by_request_id.values()
        backlog_by_priority = _sum_backlogs(waiting)
        capacity = compute_capacity(self._tracker, current, pool)
        for item in waiting:
            service = item.request.service
            profile = pool.profile_by_service.get(service, DEFAULT_PROFILE)
            estimate_s = min_first_token_s(self._tracker, current, item.request)
            pool_occupancy_s = capacity.occupancy_s(item.request)
            refusal = find_refusal(
                item,
                profile,
                estimate_s,
                current,
                backlog_by_priority[item.request.priority],
            )
            if refusal is not None:
                refusals.append(refusal)
            else:
                is_ahead = item.request.tag.request_id in ahead_ids
                urgency = compute_urgency(
                    item,
                    profile,
                    estimate_s,
                    current.now,
                    pool_occupancy_s,
                    is_ahead,
                )
                queue_class = find_class(item.request, is_ahead)
                kept.append(Candidate(urgency, item, profile, queue_class))
        return refusals, kept

    def _grant(self, current: Round, candidate: Candidate) -> Grant | None:
        item, profile = candidate.item, candidate.profile
        request = item.request
        least_pieces = pieces_for(
            request.prompt_tokens + 1, current.piece_tokens
        )
        if least_pieces >= current.unfit_pieces:
            current.lacks_memory = True
            return None
        need = _stream_need(request)
        busy_s = _busy_s(current, candidate)
        pairing = find_pairing(
            self._tracker,
            current,
            request,
            profile,
            need,
            busy_s,
            item.first_token_at,
        )
        if pairing is None or (
            pairing.transfer_done_at
            + self._tracker.capacities.step_s(1, pairing.decode.id)
            > item.first_token_at
            and not accepts_late(request, profile)
        ):
            return None
        prefill, decode = pairing.prefill, pairing.decode
        prefill.free_at = pairing.prefill_done_at
        self._tracker.capacities.place(decode, need)
        for link in (prefill.id, decode.id):
            current.free_at_by_link[link] = pairing.transfer_done_at
        interactive = profile.first_token_s <= INTERACTIVE_S
        urgent = interactive or request.tag.attempt > 1
        return Grant(
            request.tag.request_id,
            prefill.id,
            decode.id,
            URGENT_PRIORITY if urgent else PATIENT_PRIORITY,
            pairing.prefill_done_at - current.now,
        )

    def describe_speeds(self) -> EngineSpeeds:
        """See the base class."""
        return self._tracker.describe_speeds()

    def observe_grant(
        self,
        pool: PoolState,
        reservation: Reservation,
        now: float,
    ) -> None:
        """Records the work of the engines and charges the service."""
        self._tracker.observe_grant(reservation, now)
        stream = reservation.stream
        if stream.stage is StreamStage.QUEUED:
            profile = pool.profile_by_service.get(
                stream.service, DEFAULT_PROFILE
            )
            self._shares.charge(reservation, profile.weight, now)

    def observe_stage(
        self,
        pool: PoolState,
        reservation: Reservation,
        stage: StreamStage,
        now: float,
    ) -> None:
        """Records the end of a prefill or of a transfer."""
        self._tracker.observe_stage(reservation, stage, now)

    def observe_release(
        self,
        pool: PoolState,
        reservation: Reservation,
        release: Release,
        now: float,
    ) -> None:
        """Frees the engines and learns the output length."""
        self._tracker.observe_release(reservation, release, now)
        if release.finished:
            self._forecast.observe_release(reservation, now)

    def observe_report(
        self,
        pool: PoolState,
        engine: EngineState,
        report: LoadReport,
        now: float,
    ) -> None:
        """Updates the speeds and the memory in use of an engine."""
        self._tracker.observe_report(pool, engine, report, now)

    def observe_cache(
        self,
        pool: PoolState,
        engine: EngineState,
        events: list[CacheEvent],
        now: float,
    ) -> None:
        """Updates the contents of a prefill engine's prefix cache."""
        self._tracker.observe_cache(engine, events, now)


def _sum_backlogs(waiting: Collection[WaitingRequest]) -> dict[int, int]:
    """Returns the prompt tokens that requests of each priority wait for.

    These are the tokens of waiting requests that are as urgent or more.
    """
    tokens_by_priority: collections.Counter[int] = collections.Counter()
    for item in waiting:
        tokens_by_priority[item.request.priority] += item.request.prompt_tokens
    priorities = sorted(tokens_by_priority)
    sums = itertools.accumulate(tokens_by_priority[key] for key in priorities)
    return dict(zip(priorities, sums, strict=True))


def _stream_need(request: AdmitRequest) -> StreamNeed:
    """Returns the memory that a request needs on a decode engine."""
    return StreamNeed(
        request.service,
        request.prompt_tokens,
        0,
        request.max_tokens,
        request.hint_tokens,
    )


def _busy_s(current: Round, candidate: Candidate) -> float:
    """Returns the seconds for which all prefill engines may be busy."""
    if candidate.is_ahead():
        return current.latency_critical_need.wait_s
    left_s = candidate.item.first_token_at - current.now
    if candidate.item.request.tag.attempt > 1:
        left_s = 0.0
    return current.latency_critical_need.busy_s(candidate.profile, left_s)


def _may_keep_waiting(
    current: Round, candidate: Candidate, admission_s: float, late_s: float
) -> bool:
    """Returns whether a request goes on waiting.

    Args:
        current: the round of decisions.
        candidate: the request.
        admission_s: forecast time until it is admitted while it is in time,
            seconds.
        late_s: forecast time until it is admitted once it is late, when all new
            requests pass it in the queue, seconds.
    """
    item, profile = candidate.item, candidate.profile
    if candidate.urgency.rank == REPEATED:
        return True
    left_s = item.first_token_at - current.now
    if candidate.is_in_time() and may_be_admitted_in_time(admission_s, left_s):
        return True
    waited_s = item.request.waited_s + current.now - item.arrived_at
    return accepts_late(item.request, profile) and is_worth_waiting(
        late_s, profile, waited_s
    )
