"""Folds the orders stream: which engines are being changed, and by which host.

Every record holds the whole state and the version (offset) that it is based on.
A record counts only if that version is the current one. So hosts that write at
the same time change nothing twice, and a record of a host that resumes after a
pause has no effect.

If earlier records are no longer on the log, the fold begins at the first record
that a later record is based on, because the writer of the later record had
folded it as the current one.
"""

from __future__ import annotations

import dataclasses

import msgspec

from mustardscale.configuration.wanted_state import EngineTarget
from mustardscale.endpoints.engines import EngineRole
from mustardscale.json_content import decode_json
from mustardscale.log.log_client import LogPage
from mustardscale.log.stream_eras import era_of, offset_of

SCHEMA_VERSION = 1


def orders_stream(region: str) -> str:
    """Returns the name of a region's orders stream."""
    return f'orders-{region}'


@dataclasses.dataclass(frozen=True, slots=True)
class EngineChange:
    """A change of one engine that is in progress.

    Attributes:
        engine: id of the engine.
        target: the state that it must reach.
        host: entry host that sends the order.
        incarnation: start number of that host's process.
        loads: whether the engine must load weights for the change.
        number: fencing number, which is the offset of the first record that
            holds the change; 0 within that record.
    """

    engine: str
    target: EngineTarget
    host: str
    incarnation: int
    loads: bool
    number: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PlacedEngine:
    """What an engine serves after a change; it overrides the host list.

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
    """A record of the orders stream, which holds the whole state.

    Attributes:
        base: version that the record is based on.
        host: entry host that wrote it.
        incarnation: start number of that host's process.
        changes: the changes in progress.
        placed: engines that do not serve what the host list says.
        restart: whether the record restarts a lost state. It then counts only
            directly after the record at offset base.
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
    """The state of the orders stream up to an offset.

    Attributes:
        version: offset of the current record, 0 if there is none.
        folded_offset: offset of the last record folded.
        settled: whether the current record is known. It is not after a gap,
            until a later record shows which one counts.
        host: entry host that wrote the current record.
        incarnation: start number of that host's process.
        earlier_host: the last other host that wrote a current record, '' if
            there was none.
        lost: whether the stream was restored from an older copy that lacks the
            current record, which must then be written again.
        change_by_engine: the changes in progress.
        placed_by_engine: engines that do not serve what the host list says.
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
        """Folds a page of records that was read after folded_offset.

        Returns:
            Whether the current record has changed.
        """
        before = self.version
        if page.compacted:
            return self._apply_newest(page)
        if not offset_of(page.end_offset):
            # The stream is empty; its end offset holds only the era.
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
        """Applies the newest record of a stream that keeps no other records.

        A record is appended to such a stream only if its writer knew the record
        before it, so every record counted. If the stream was restored from an
        older copy, its record may be older than the known one, which shows in
        its lower base. The known record then stays current until the
        coordinator writes it again.
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
                # The known record is newer or the same.
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
        """Makes a record current and applies the later records based on it."""
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
    """Decodes a record; returns None on every host if it is unreadable."""
    try:
        record = decode_json(payload, OrderRecord)
    except msgspec.MsgspecError:
        return None
    return record if record.schema == SCHEMA_VERSION else None
