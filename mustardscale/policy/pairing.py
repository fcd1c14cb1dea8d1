"""Chooses a prefill and a decode engine for a request."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable

from mustardscale.configuration.config_records import Profile
from mustardscale.endpoints.engines import EngineRole
from mustardscale.peers.peer_messages import AdmitRequest
from mustardscale.policy.base import PoolState
from mustardscale.policy.decode_capacity import (
    UNLIMITED_PIECES,
    EngineCapacity,
    needed_pieces,
)
from mustardscale.policy.engine_tracker import (
    HANDOVER_S,
    EngineTracker,
)
from mustardscale.policy.latency_critical_demand import LatencyCriticalNeed
from mustardscale.policy.memory_booking import StreamNeed, pieces_for
from mustardscale.policy.prefill_timeline import SEND_S

# A prefill is only granted if its engine is free within this time, seconds.
PREFILL_LEAD_S = 0.04
# Pairings whose transfers end within this time of the earliest are chosen by
# their decode engine's load, seconds. It is a few steps of a stream.
SIMILAR_START_S = 0.04
# Longest time for which a prefill result may wait for its transfer, seconds.
MAX_TRANSFER_WAIT_S = 0.35
# Time for which a prefill engine keeps a result at least, seconds.
MIN_RESULT_KEEP_S = 0.7
# Maximum share of the target time per token that a decode step may take.
MAX_STEP_SHARE = 0.97
# Tokens of a decode engine's memory that are kept free for latency-critical
# requests.
LATENCY_CRITICAL_TOKENS = 4_000
# Factor on the allowed probability of running out of memory. The bound that is
# computed for a placement exceeds the observed frequency by about this factor.
OVERBOOK_BOUND_FACTOR = 3.0
# Lower limit of a waste weight, to avoid a division by zero.
MIN_WASTE_WEIGHT = 1e-3


@dataclasses.dataclass(slots=True)
class PrefillAvailability:
    """One prefill engine in a round of decisions.

    Attributes:
        id: its name.
        free_at: loop time at which it has finished its work.
        tokens_per_s: prompt tokens that it computes per second.
    """

    id: str
    free_at: float
    tokens_per_s: float


@dataclasses.dataclass(slots=True)
class Round:
    """The engines in a round of decisions, updated by the round's grants.

    Attributes:
        now: loop time.
        prefills: the prefill engines.
        prefill_ids: ids of the prefill engines.
        begin_s_by_prefill: seconds until each prefill engine could begin a new
            prefill.
        decode_ids: ids of the decode engines.
        decodes_by_id: the decode engines. Empty if no prefill engine is free
            soon and no decode engine computes prompts itself.
        latency_critical_need: what the latency-critical services need.
        free_at_by_link: loop time at which each engine's link is free.
        unfit_pieces: smallest number of KV blocks (pieces) for which no decode
            engine had enough free memory.
        step_s: minimum time of a decode step, seconds.
        piece_tokens: tokens in a KV block (piece).
        local_prefill_ids: decode engines that may still compute a prompt
            themselves in this round.
        lacks_memory: whether the last request for which a pairing was searched
            had none because no decode engine had enough free memory.
        withheld_ids: decode engines that the present request leaves to more
            urgent ones.
    """

    now: float
    prefills: list[PrefillAvailability]
    prefill_ids: frozenset[str]
    begin_s_by_prefill: dict[str, float]
    decode_ids: frozenset[str]
    decodes_by_id: dict[str, EngineCapacity]
    latency_critical_need: LatencyCriticalNeed
    free_at_by_link: dict[str, float]
    unfit_pieces: int
    step_s: float
    piece_tokens: int
    local_prefill_ids: frozenset[str] = frozenset()
    lacks_memory: bool = False
    withheld_ids: frozenset[str] = frozenset()

    def has_free_prefill(self) -> bool:
        """Returns whether a prefill engine is free within PREFILL_LEAD_S."""
        horizon = self.now + PREFILL_LEAD_S
        return any(engine.free_at <= horizon for engine in self.prefills)


@dataclasses.dataclass(slots=True)
class Pairing:
    """A prefill and a decode engine for a request.

    Attributes:
        prefill: the prefill engine.
        decode: the decode engine.
        prefill_done_at: loop time at which the prefill will be done.
        transfer_done_at: loop time at which decoding can begin.
    """

    prefill: PrefillAvailability
    decode: EngineCapacity
    prefill_done_at: float
    transfer_done_at: float


def begin_round(
    tracker: EngineTracker,
    pool: PoolState,
    latency_critical_need: LatencyCriticalNeed,
    now: float,
) -> Round:
    """Reads the state of the engines at the beginning of a round."""
    prefills = [
        PrefillAvailability(
            engine.id, tracker.free_at(engine.id, now), tracker.rate(engine.id)
        )
        for engine in pool.engines(EngineRole.PREFILL)
    ]
    begin_s_by_prefill = {
        engine.id: max(engine.free_at, now + SEND_S) - now
        for engine in prefills
    }
    decode_ids = frozenset(
        engine.id for engine in pool.engines(EngineRole.DECODE)
    )
    current = Round(
        now,
        prefills,
        frozenset(begin_s_by_prefill),
        begin_s_by_prefill,
        decode_ids,
        {},
        latency_critical_need,
        {},
        UNLIMITED_PIECES,
        tracker.capacities.min_first_step_s(decode_ids),
        pool.piece_tokens,
        _local_prefill_ids(pool),
    )
    if current.has_free_prefill() or current.local_prefill_ids:
        current.decodes_by_id = tracker.capacities.capacities(pool, now)
        current.free_at_by_link = {
            engine_id: tracker.links.free_at(engine_id, now)
            for engine_id in current.prefill_ids | decode_ids
        }
    return current


def min_first_token_s(
    tracker: EngineTracker, current: Round, request: AdmitRequest
) -> float:
    """Returns the minimum seconds until the first token, if memory is free.

    The best prefill engine and the fastest transfer are assumed. The result
    is infinite if no engine may be used.
    """
    seconds_by_id = tracker.prefill_s_by_id(
        current.prefill_ids, request, current.now
    )
    best = math.inf
    for engine_id, begin_s in current.begin_s_by_prefill.items():
        seconds = begin_s + seconds_by_id[engine_id]
        if seconds < best and engine_id not in request.excluded:
            best = seconds
    if best == math.inf and not current.local_prefill_ids.issubset(
        request.excluded
    ):
        best = tracker.local_prefill_s(request.prompt_tokens)
    transfer_s = tracker.min_transfer_s(request.prompt_tokens)
    return best + transfer_s + HANDOVER_S + current.step_s


def find_pairing(
    tracker: EngineTracker,
    current: Round,
    request: AdmitRequest,
    profile: Profile,
    need: StreamNeed,
    busy_s: float,
    first_token_at: float = math.inf,
) -> Pairing | None:
    """Returns the pairing with the earliest first token.

    Args:
        tracker: the state of the engines.
        current: the round of decisions.
        request: the request.
        profile: the profile of its service.
        need: the memory that it needs on a decode engine.
        busy_s: seconds for which all prefill engines may be busy afterwards.
        first_token_at: loop time at which the first token is due.

    Returns:
        The pairing, or None if no engines can be used now.
    """
    pieces = needed_pieces(need, current.piece_tokens)
    reserve_pieces = 0
    if (
        request.tag.attempt == 1
        and not current.latency_critical_need.is_latency_critical(profile)
    ):
        reserve_pieces = pieces_for(
            LATENCY_CRITICAL_TOKENS, current.piece_tokens
        )
    step_s = MAX_STEP_SHARE * profile.per_token_s
    decodes = [
        candidate
        for candidate in current.decodes_by_id.values()
        if candidate.id not in request.excluded
        and candidate.id not in current.withheld_ids
        and tracker.capacities.may_fit(
            candidate, pieces, step_s, reserve_pieces
        )
    ]
    if not decodes:
        others = current.decodes_by_id.values()
        if not any(candidate.has_memory_now(pieces) for candidate in others):
            current.unfit_pieces = pieces
        current.lacks_memory = True
        return None
    pairings = [
        pairing
        for engine in current.prefills
        if engine.id not in request.excluded
        and engine.free_at <= current.now + PREFILL_LEAD_S
        for pairing in _pairings(tracker, current, engine, decodes, request)
        if _all_busy_until(current, pairing) <= current.now + busy_s
    ]
    pairings.sort(key=lambda item: item.transfer_done_at)
    if tracker.capacities.learns_speeds and pairings:
        _prefer_even_load(pairings, first_token_at)
    unfit: set[str] = set()
    for pairing in pairings:
        decode = pairing.decode
        if decode.id in unfit:
            continue
        if tracker.capacities.fits(decode, need, overbooking_bound(profile)):
            return pairing
        unfit.add(decode.id)
    current.lacks_memory = bool(unfit)
    return None


def _prefer_even_load(pairings: list[Pairing], first_token_at: float) -> None:
    """Sorts pairings that end at about the same time by their load.

    Without this, the engine that comes first by its id gets all streams while
    links are free. Sorted by the step time, fast engines would be filled up
    while slow ones are idle.

    Args:
        pairings: the pairings, the earliest first.
        first_token_at: loop time at which the first token is due.
    """
    earliest = pairings[0].transfer_done_at
    latest = max(earliest, min(earliest + SIMILAR_START_S, first_token_at))
    pairings.sort(
        key=lambda item: (
            max(latest, item.transfer_done_at),
            item.decode.next_load,
            item.transfer_done_at,
        )
    )


def _local_prefill_ids(pool: PoolState) -> frozenset[str]:
    """Returns the decode engines that compute prompts themselves."""
    return frozenset(
        engine.id
        for engine in pool.engines(EngineRole.DECODE)
        if engine.report is not None and engine.report.reads_prompts
    )


def _pairings(
    tracker: EngineTracker,
    current: Round,
    engine: PrefillAvailability,
    decodes: list[EngineCapacity],
    request: AdmitRequest,
) -> Iterable[Pairing]:
    """Yields pairings whose decode engine can fetch the result in time."""
    begin = max(engine.free_at, current.now + SEND_S)
    seconds_by_id = tracker.prefill_s_by_id(
        current.prefill_ids, request, current.now
    )
    done = begin + seconds_by_id[engine.id]
    ready = done + HANDOVER_S
    latest = min(
        ready + MAX_TRANSFER_WAIT_S,
        begin + tracker.min_prefill_s(engine.id, request) + MIN_RESULT_KEEP_S,
    )
    size = request.prompt_tokens * tracker.kv_bytes_per_token
    free_at = current.free_at_by_link
    out_free_at = free_at[engine.id]
    if out_free_at > max(latest, ready):
        return
    for decode in decodes:
        start = max(ready, out_free_at, free_at[decode.id])
        if start > max(latest, ready):
            continue
        finish = start + size / tracker.links.rate(engine.id, decode.id)
        yield Pairing(engine, decode, done, finish)


def overbooking_bound(profile: Profile) -> float:
    """Returns the bound on the probability of running out of memory."""
    weight = profile.goodput_weight / max(
        profile.waste_weight, MIN_WASTE_WEIGHT
    )
    return min(
        1.0, OVERBOOK_BOUND_FACTOR * weight * profile.overbook_probability
    )


def _all_busy_until(current: Round, pairing: Pairing) -> float:
    """Returns when the first prefill engine can begin other work again."""
    others = [
        _begins_at(current, engine, engine.free_at)
        for engine in current.prefills
        if engine is not pairing.prefill
    ]
    if not others:
        return current.now
    after = max(
        pairing.prefill_done_at, pairing.transfer_done_at - MAX_TRANSFER_WAIT_S
    )
    return min(after, *others)


def _begins_at(
    current: Round, engine: PrefillAvailability, free_at: float
) -> float:
    """Returns when an engine can begin a prefill.

    The engine's link has to be free early enough to send the result.
    """
    return max(
        free_at, current.free_at_by_link[engine.id] - MAX_TRANSFER_WAIT_S
    )
