"""Prompts that a decode engine computes itself, between its streams' tokens.

It takes longer than on a prefill engine and makes the engine's streams pause,
but moves no memory. So it is done where no prefill engine can be used, on an
engine that has few streams, and for prompts of moderate length that would be
late otherwise.
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
    PrefillRoom,
    Round,
    overbooking,
)

# Least time between two prompts that an engine computes beside streams, so that
# these do not pause twice in a row, seconds.
PAUSE_S = 0.6
# The same where no prefill engine can be used.
LACKING_PAUSE_S = 0.25
# Longest prompt computed beside streams, tokens; more would make them pause for
# longer than callers take for being on time.
MOST_TOKENS = 6_000

# Share of its memory that an engine's streams may come to take up for it to
# read prompts before a prefill engine does.
CALM_MEMORY_SHARE = 0.45


def lacks_prefill(current: Round, request: AdmitRequest) -> bool:
    """Returns whether no prefill engine may be used for a request."""
    return current.prefill_ids.issubset(request.excluded)


def find_own_pairing(
    tracker: EngineTracker,
    current: Round,
    request: AdmitRequest,
    profile: Profile,
    need: StreamNeed,
    calm: bool = False,
) -> Pairing | None:
    """Returns the decode engine with the fewest streams that may compute it.

    Args:
        tracker: the engines' work.
        current: the round.
        request: the request.
        profile: how it is to be served.
        need: what it needs of a decode engine.
        calm: whether only engines with few streams may be taken.

    Returns:
        A pairing of the engine with itself, None if there is none.
    """
    lacking = lacks_prefill(current, request)
    if not lacking and request.prompt_tokens > MOST_TOKENS:
        return None
    pause_s = LACKING_PAUSE_S if lacking else PAUSE_S
    capacities = sorted(
        _usable(tracker, current, request, need, pause_s),
        key=lambda room: (room.streams, room.id),
    )
    epsilon = overbooking(profile)
    for room in capacities:
        if calm and not _is_calm(room):
            continue
        if not tracker.capacities.fits(room, need, epsilon):
            continue
        seconds = tracker.local_prefill_s(request.prompt_tokens)
        done_at = current.now + seconds
        engine = PrefillRoom(room.id, current.now, tracker.local_prefill_rate())
        return Pairing(engine, room, done_at, done_at)
    return None


def _is_calm(room: EngineCapacity) -> bool:
    """Returns whether an engine has few streams that a read delays."""
    return room.largest_pieces <= CALM_MEMORY_SHARE * room.memory.pieces_total


def _usable(
    tracker: EngineTracker,
    current: Round,
    request: AdmitRequest,
    need: StreamNeed,
    pause_s: float,
) -> Iterator[EngineCapacity]:
    """Yields the engines that could begin with a prompt now."""
    pieces = needed_pieces(need, current.piece_tokens)
    for room in current.decodes_by_id.values():
        if room.id not in current.readers or room.id in request.excluded:
            continue
        if current.now - tracker.local_prefill_began_at(room.id) < pause_s:
            continue
        if tracker.free_at(room.id, current.now) > current.now + PREFILL_LEAD_S:
            continue
        if room.has_memory_now(pieces):
            yield room
