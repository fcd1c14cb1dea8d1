"""Folds claims of non-idempotent requests in log order.

The first claim of an id wins. An abandonment by its holder, who never sent the
request and never will, frees the id for a later claim.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import math
from collections.abc import Sequence

import msgspec

from mustardscale.json_content import decode_json
from mustardscale.log.log_client import LogPage


class ClaimKind(enum.StrEnum):
    """What a claim record says."""

    CLAIM = 'claim'
    ABANDONED = 'abandoned'
    DONE = 'done'
    ANSWER_LOST = 'answer_lost'


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRecord:
    """A record on a claims stream.

    Attributes:
        kind: what it says.
        request_id: the id.
        host: the entry host that claims.
        incarnation: start number of that host's process.
        serial: number of the claim within that process.
        fingerprint: hash of the request's content.
        written_at: wall-clock time at the host, seconds.
    """

    kind: ClaimKind
    request_id: str
    host: str
    incarnation: int
    serial: int
    fingerprint: int
    written_at: float

    def holder(self) -> tuple[str, int, int]:
        """Returns what identifies the claim."""
        return (self.host, self.incarnation, self.serial)


@dataclasses.dataclass(slots=True)
class HeldClaim:
    """The claim that holds an id.

    Attributes:
        offset: its offset.
        record: the claim.
        result: what its holder recorded afterwards, CLAIM until then.
    """

    offset: int
    record: ClaimRecord
    result: ClaimKind = ClaimKind.CLAIM


class ClaimState:
    """The claims of one stream, up to an offset.

    Attributes:
        folded_offset: offset of the last record folded.
        held_by_id: the claim that holds each id.
        covered_from: wall-clock time since when every claim is known, seconds;
            minus infinity when the stream is known from its first record.
    """

    __slots__ = ('_order', 'covered_from', 'folded_offset', 'held_by_id')

    def __init__(self):
        self.folded_offset = 0
        self.held_by_id: dict[str, HeldClaim] = {}
        self.covered_from = -math.inf
        self._order: collections.deque[tuple[float, str]] = collections.deque()

    def apply_page(self, page: LogPage, now: float, wall_now: float) -> None:
        """Folds a page of the stream.

        Args:
            page: what was read after folded_offset.
            now: loop time.
            wall_now: wall-clock time, seconds.
        """
        records = [
            (record.offset, decode_claim(record.payload))
            for record in page.records
        ]
        if page.first_offset > self.folded_offset + 1:
            self.covered_from = _first_written_at(records, wall_now)
            self.folded_offset = page.first_offset - 1
        for offset, record in records:
            if offset > self.folded_offset:
                self.folded_offset = offset
                if record is not None:
                    self._apply(offset, record, now)

    def _apply(self, offset: int, record: ClaimRecord, now: float) -> None:
        held = self.held_by_id.get(record.request_id)
        if record.kind is ClaimKind.CLAIM:
            if held is None:
                self.held_by_id[record.request_id] = HeldClaim(offset, record)
                self._order.append((now, record.request_id))
            return
        if held is None or held.record.holder() != record.holder():
            return
        if record.kind is not ClaimKind.ABANDONED:
            held.result = record.kind
        elif held.result is ClaimKind.CLAIM:
            del self.held_by_id[record.request_id]

    def expire(self, horizon: float) -> None:
        """Forgets claims that were folded before a loop time."""
        while self._order and self._order[0][0] < horizon:
            _, request_id = self._order.popleft()
            self.held_by_id.pop(request_id, None)


def encode_claim(record: ClaimRecord) -> bytes:
    """Encodes a record for the log."""
    return msgspec.json.encode(record)


def decode_claim(payload: bytes) -> ClaimRecord | None:
    """Decodes a record; None when it can't be read, alike on every host."""
    try:
        return decode_json(payload, ClaimRecord)
    except msgspec.MsgspecError:
        return None


def _first_written_at(
    records: Sequence[tuple[int, ClaimRecord | None]], wall_now: float
) -> float:
    """Returns when the oldest readable record was written, or now."""
    return next(
        (record.written_at for _, record in records if record is not None),
        wall_now,
    )
