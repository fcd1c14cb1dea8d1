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
from mustardscale.policy.decode_room import EngineRoom, needed_pieces
from mustardscale.policy.engine_books import EngineBooks
from mustardscale.policy.memory_booking import StreamNeed
from mustardscale.policy.pairing import (
    PREFILL_LEAD_S,
    Pairing,
    PrefillAvailability,
    Round,
    overbooking_bound,
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
LIGHT_LOAD_MEMORY_SHARE = 0.45


def lacks_prefill_engine(current: Round, request: AdmitRequest) -> bool:
    """Returns whether no prefill engine may be used for a request."""
    return current.prefill_ids.issubset(request.excluded)


def find_local_pairing(
    books: EngineBooks,
    current: Round,
    request: AdmitRequest,
    profile: Profile,
    need: StreamNeed,
    calm: bool = False,
) -> Pairing | None:
    """Returns the decode engine with the fewest streams that may compute it.

    Args:
        books: the engines' work.
        current: the round.
        request: the request.
        profile: how it is to be served.
        need: what it needs of a decode engine.
        calm: whether only engines with few streams may be taken.

    Returns:
        A pairing of the engine with itself, None if there is none.
    """
    lacking = lacks_prefill_engine(current, request)
    if not lacking and request.prompt_tokens > MOST_TOKENS:
        return None
    pause_s = LACKING_PAUSE_S if lacking else PAUSE_S
    rooms = sorted(
        _usable(books, current, request, need, pause_s),
        key=lambda room: (room.streams, room.id),
    )
    epsilon = overbooking_bound(profile)
    for room in rooms:
        if calm and not _is_calm(room):
            continue
        if not books.rooms.fits(room, need, epsilon):
            continue
        seconds = books.own_prefill_s(request.prompt_tokens)
        done_at = current.now + seconds
        engine = PrefillAvailability(room.id, current.now, books.own_rate())
        return Pairing(engine, room, done_at, done_at)
    return None


def _is_calm(room: EngineRoom) -> bool:
    """Returns whether an engine has few streams that a read delays."""
    return (
        room.largest_pieces
        <= LIGHT_LOAD_MEMORY_SHARE * room.memory.pieces_total
    )


def _usable(
    books: EngineBooks,
    current: Round,
    request: AdmitRequest,
    need: StreamNeed,
    pause_s: float,
) -> Iterator[EngineRoom]:
    """Yields the engines that could begin with a prompt now."""
    pieces = needed_pieces(need, current.piece_tokens)
    for room in current.decodes_by_id.values():
        if room.id not in current.readers or room.id in request.excluded:
            continue
        if current.now - books.own_began_at(room.id) < pause_s:
            continue
        if books.free_at(room.id, current.now) > current.now + PREFILL_LEAD_S:
            continue
        if room.holds_now(pieces):
            yield room
