"""Local prefill: a decode engine computes a prompt itself.

The engine computes the prompt between two tokens of its streams. This takes
longer than on a prefill engine and makes the streams pause, but no KV memory
has to be transferred. It is used if no prefill engine may be used, on an engine
that has few streams, and for prompts of moderate length that would be late
otherwise.
"""

from __future__ import annotations

from collections.abc import Iterator

from mustardscale.configuration.config_records import Profile
from mustardscale.peers.peer_messages import AdmitRequest
from mustardscale.policy.decode_capacity import EngineCapacity, needed_pieces
from mustardscale.policy.engine_tracker import EngineTracker
from mustardscale.policy.memory_booking import StreamNeed
from mustardscale.policy.pairing import (
    PREFILL_LEAD_S,
    Pairing,
    PrefillAvailability,
    Round,
    overbooking_bound,
)

# Minimum time between the starts of two local prefills on an engine, so that
# its streams do not pause twice in a row, seconds.
MIN_GAP_S = 0.6
# Minimum time between the starts of two local prefills if no prefill engine may
# be used, seconds.
MIN_GAP_WITHOUT_PREFILL_S = 0.25
# Longest prompt that is computed beside streams if a prefill engine may be
# used, tokens. With longer ones the streams would pause for so long that their
# callers count the tokens as late.
MAX_LOCAL_PREFILL_TOKENS = 6_000

# A decode engine is lightly loaded if its streams can occupy at most this share
# of its memory. It may then compute a prompt although a prefill engine could.
LIGHT_LOAD_MEMORY_SHARE = 0.45


def lacks_prefill_engine(current: Round, request: AdmitRequest) -> bool:
    """Returns whether no prefill engine may be used for a request."""
    return current.prefill_ids.issubset(request.excluded)


def find_local_pairing(
    tracker: EngineTracker,
    current: Round,
    request: AdmitRequest,
    profile: Profile,
    need: StreamNeed,
    lightly_loaded: bool = False,
) -> Pairing | None:
    """Returns the decode engine with the least load for a local prefill.

    Args:
        tracker: the state of the engines.
        current: the round of decisions.
        request: the request.
        profile: the profile of its service.
        need: the memory that it needs on a decode engine.
        lightly_loaded: whether only lightly loaded engines may be chosen.

    Returns:
        A pairing of the engine with itself, or None if no engine fits.
    """
    no_prefill_engine = lacks_prefill_engine(current, request)
    if (
        not no_prefill_engine
        and request.prompt_tokens > MAX_LOCAL_PREFILL_TOKENS
    ):
        return None
    min_gap_s = MIN_GAP_WITHOUT_PREFILL_S if no_prefill_engine else MIN_GAP_S
    decodes = sorted(
        _usable(tracker, current, request, need, min_gap_s),
        key=lambda decode: (decode.next_load, decode.id),
    )
    epsilon = overbooking_bound(profile)
    for decode in decodes:
        if lightly_loaded and not _is_lightly_loaded(decode):
            continue
        if not tracker.capacities.fits(decode, need, epsilon):
            continue
        seconds = tracker.local_prefill_s(request.prompt_tokens, decode.id)
        done_at = current.now + seconds
        engine = PrefillAvailability(
            decode.id, current.now, tracker.local_prefill_rate()
        )
        return Pairing(engine, decode, done_at, done_at)
    return None


def _is_lightly_loaded(decode: EngineCapacity) -> bool:
    """Returns whether few streams would pause for a prefill on an engine."""
    return (
        decode.largest_pieces
        <= LIGHT_LOAD_MEMORY_SHARE * decode.memory.pieces_total
    )


def _usable(
    tracker: EngineTracker,
    current: Round,
    request: AdmitRequest,
    need: StreamNeed,
    min_gap_s: float,
) -> Iterator[EngineCapacity]:
    """Yields the engines that could begin a local prefill now."""
    pieces = needed_pieces(need, current.piece_tokens)
    for decode in current.decodes_by_id.values():
        if (
            decode.id not in current.local_prefill_ids
            or decode.id in request.excluded
            or decode.id in current.withheld_ids
        ):
            continue
        if current.now - tracker.local_prefill_began_at(decode.id) < min_gap_s:
            continue
        if (
            tracker.free_at(decode.id, current.now)
            > current.now + PREFILL_LEAD_S
        ):
            continue
        if decode.has_memory_now(pieces):
            yield decode
