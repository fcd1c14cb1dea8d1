"""Trace lines of folded claims.

A replay decides again from them; see docs/design/traces.md.
"""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from mustardscale.claims.claim_state import (
    ClaimKind,
    ClaimRecord,
    ClaimState,
    decode_claim,
)
from mustardscale.log.log_client import LogPage
from mustardscale.traces.trace import DecisionKind, TraceLine


class FoldedClaim(NamedTuple):
    """What a page left of an id: offset of its claim, 0 if none holds it."""

    request_id: str
    offset: int
    result: ClaimKind | None


def folded_claims(state: ClaimState, page: LogPage) -> tuple[FoldedClaim, ...]:
    """Returns what a page that was just folded left of the ids on it."""
    claims = [decode_claim(record.payload) for record in page.records]
    request_ids = dict.fromkeys(c.request_id for c in claims if c is not None)
    return tuple(
        FoldedClaim(request_id, held.offset, held.result)
        if (held := state.held_by_id.get(request_id)) is not None
        else FoldedClaim(request_id, 0, None)
        for request_id in request_ids
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimsLine(TraceLine):
    """A page of claims that a host has folded.

    Attributes:
        kind: CLAIMS_FOLDED.
        stream: name of the stream.
        wall_now: wall-clock time, seconds.
        first_offset: offset of the oldest record retained.
        records: offset and claim, None for a record that cannot be read.
        folded: what came of the ids on the page.
    """

    kind: DecisionKind
    stream: str
    wall_now: float
    first_offset: int = 0
    records: tuple[tuple[int, ClaimRecord | None], ...] = ()
    folded: tuple[FoldedClaim, ...] = ()
