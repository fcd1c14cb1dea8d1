"""Keeps memory for more urgent requests that wait for it.

Load: a burst of two kinds of stream that need the same memory. Without claims
the smaller or less urgent one takes each part of the memory as it is freed,
before there is enough of it for the more urgent one.

An engine is kept for each request that waits, and no more: the other engines
serve the less urgent ones. Late requests claim nothing, so that they don't
displace those that can be in time.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Sequence

from mustardscale.policy.decode_capacity import EngineCapacity
from mustardscale.policy.urgency import Urgency


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryClaim:
    """Memory that a request waits for.

    Attributes:
        urgency: its urgency; the claim does not bind requests that differ only
            in their time.
        pieces: KV blocks (pieces) that it needs at first.
        excluded: ids of engines that it may not use.
    """

    urgency: Urgency
    pieces: int
    excluded: tuple[str, ...] = ()


def find_withheld(
    claims: Sequence[MemoryClaim],
    urgency: Urgency,
    engines: Iterable[EngineCapacity],
) -> frozenset[str]:
    """Returns the engines that a request leaves to more urgent ones.

    For each claim that is the engine with the most free memory, which is
    expected to have enough first.

    Args:
        claims: the claims of this round.
        urgency: urgency of the request.
        engines: the decode engines.
    """
    if not claims:
        return frozenset()
    claims = [claim for claim in claims if claim.urgency[:-1] < urgency[:-1]]
    if not claims:
        return frozenset()
    by_free_pieces = sorted(
        engines, key=lambda engine: (-engine.free_pieces(), engine.id)
    )
    withheld: set[str] = set()
    for claim in claims:
        for engine in by_free_pieces:
            if (
                engine.id not in withheld
                and engine.id not in claim.excluded
                and engine.memory.pieces_total >= claim.pieces
            ):
                withheld.add(engine.id)
                break
    return frozenset(withheld)
