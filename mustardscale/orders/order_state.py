"""Folds the orders stream: which engines are being changed, and by whom.

Every record carries the whole state and the version (offset) that it was made
from. It counts only if that is the current version, so hosts that race change
nothing twice, and whoever resumes after a pause writes in vain.

Where earlier records are no longer on the log, the fold begins at the first
record that a later one was made from: its writer had folded it as current.
"""

from __future__ import annotations

import dataclasses

import msgspec

from mustardscale.configuration.wanted_state import EngineTarget
from mustardscale.endpoints.engines import EngineRole
from mustardscale.log.log_client import LogPage
from mustardscale.log.stream_eras import era_of, offset_of

SCHEMA_VERSION = 1


def orders_stream(region: str) -> str:
    """Returns the name of a region's orders stream."""
    return f'orders-{region}'


@dataclasses.dataclass(frozen=True, slots=True)
class EngineChange:
    """A change of one engine that is under way.

    Attributes:
        engine: id of the engine.
        target: the state that it shall reach.
        host: entry host that gives the order.
        incarnation: start number of that host's process.
        loads: whether weights are loaded for it.
        number: fencing number: the offset of the record that states the
            change first, 0 within that record.
    """

    engine: str
    target: EngineTarget
    host: str
    incarnation: int
    loads: bool
    number: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PlacedEngine:
    """What an engine serves after a change, in place of the host list.

    Attributes:
        engine: id of the engine.
        model: its model.
        role: its role.
    """

    engine: str
    model: str
    role: EngineRole


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRecord:
    """A record of the orders stream: the whole state.

    Attributes:
        base: version that it was made from.
        host: entry host that wrote it.
        incarnation: start number of that host's process.
        changes: the changes that are under way.
        placed: engines that serve something else than listed.
        restart: whether it counts although its base is not known any more;
            only directly after the record at base.
        schema: schema version.
    """

    base: int
    host: str
    incarnation: int
    changes: tuple[EngineChange, ...] = ()
    placed: tuple[PlacedEngine, ...] = ()
    restart: bool = False
    schema: int = SCHEMA_VERSION


class OrderState:
    """The orders stream up to an offset.

    Attributes:
        version: offset of the record that counts, 0 if there is none.
        folded_offset: offset of the last record folded.
        settled: whether no record is missing that could decide on others.
        host: entry host that wrote the record that counts.
        incarnation: start number of that host's process.
        earlier_host: another host that wrote before it, '' if there was none.
        lost: whether the stream came back from an older copy and lacks what
            counts, so that it has to be written again.
        change_by_engine: the changes that are under way.
        placed_by_engine: engines that serve something else than listed.
    """

    __slots__ = (
        '_base',
        '_candidates',
        'change_by_engine',
        'earlier_host',
        'folded_offset',
        'host',
        'incarnation',
        'lost',
        'placed_by_engine',
        'settled',
        'version',
    )

    def __init__(self):
        self.version = 0
        self.folded_offset = 0
        self.settled = True
        self.host = ''
        self.incarnation = 0
        self.earlier_host = ''
        self.lost = False
        self._base = 0
        self.change_by_engine: dict[str, EngineChange] = {}
        self.placed_by_engine: dict[str, PlacedEngine] = {}
        self._candidates: dict[int, OrderRecord] = {}

    def apply_page(self, page: LogPage) -> bool:
        """Folds what was read after folded_offset.

        Returns:
            Whether another record counts now.
        """
        before = self.version
        if page.compacted:
            return self._apply_newest(page)
        if not offset_of(page.end_offset):
            # The stream is empty, in whichever era.
            self.folded_offset = max(self.folded_offset, page.end_offset)
        if page.first_offset > self.folded_offset + 1:
            self.settled = False
            self._candidates.clear()
            self.folded_offset = page.first_offset - 1
        for record in page.records:
            if record.offset > self.folded_offset:
                self.folded_offset = record.offset
                content = _decode(record.payload)
                if content is not None:
                    self._apply(record.offset, content)
        return self.version != before

    def _apply_newest(self, page: LogPage) -> bool:
        """Takes the newest record of a stream that keeps no others.

        Records come there only under the condition that their writer knew the
        one before, so each of them counted. Where the stream came back from an
        older copy, the record there may be older than the one that is known:
        its writer knew less, as its base tells. The known one then stays, until
        the host that gives orders writes it again.
        """
        before = self.version
        set_back = bool(before) and era_of(page.end_offset) > era_of(before)
        if set_back:
            self.version = page.end_offset
            self.lost = True
        for record in page.records:
            content = _decode(record.payload)
            if content is None or record.offset <= before:
                continue
            if set_back and content.base <= self._base:
                # What is known is newer, or the same.
                self.lost = content.base < self._base
            else:
                self._make_current(record.offset, content)
        self.folded_offset = max(self.folded_offset, page.end_offset)
        return self.version != before

    def _apply(self, offset: int, record: OrderRecord) -> None:
        if record.restart:
            if record.base == offset - 1:
                self._make_current(offset, record)
        elif self.settled:
            if record.base == self.version:
                self._make_current(offset, record)
        else:
            self._candidates[offset] = record
            if record.base in self._candidates:
                self._settle_from(record.base)

    def _settle_from(self, offset: int) -> None:
        """Begins at a record that is known to count and follows its chain."""
        candidates = sorted(self._candidates.items())
        self._make_current(offset, self._candidates[offset])
        for later, record in candidates:
            if later > offset and record.base == self.version:
                self._make_current(later, record)

    def _make_current(self, offset: int, record: OrderRecord) -> None:
        self.version = offset
        self._base = record.base
        self.lost = False
        self.settled = True
        self._candidates = {}
        if self.host not in ('', record.host):
            self.earlier_host = self.host
        self.host = record.host
        self.incarnation = record.incarnation
        self.change_by_engine = {
            change.engine: change
            if change.number
            else dataclasses.replace(change, number=offset)
            for change in record.changes
        }
        self.placed_by_engine = {item.engine: item for item in record.placed}


def encode_order_record(record: OrderRecord) -> bytes:
    """Encodes a record for the log."""
    return msgspec.json.encode(record)


def _decode(payload: bytes) -> OrderRecord | None:
    """Decodes a record; None when it can't be read, alike on every host."""
    try:
        record = msgspec.json.decode(payload, type=OrderRecord)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    return record if record.schema == SCHEMA_VERSION else None
