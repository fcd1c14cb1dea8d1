"""Follows a keyed stream and keeps its newest values."""

from __future__ import annotations

import abc
import asyncio
import math
import random
from collections.abc import Sequence

from mustardscale.blackboard import Blackboard, Signal
from mustardscale.controller import Controller, pause
from mustardscale.exceptions import LogUnavailableError
from mustardscale.log.earlier_values import EarlierValues
from mustardscale.log.keyed_log import (
    KeyedCopy,
    KeyedLogClient,
    KeyedPage,
    KeyedRecord,
    RecordsGoneError,
)
from mustardscale.log.stream_eras import era_of, offset_of
from mustardscale.reporting.event_log import EventKind

# Time for which a read waits for a record, seconds.
LONG_POLL_S = 20.0
RETRY_S = 0.25
# Time after which all is read again where a read was older than what is known,
# or records were gone, seconds.
STALE_RETRY_S = 0.1
# Time without a read after one that brought an old answer, seconds. All hosts
# of a site may get such answers, and rely on no reader meanwhile.
OLD_ANSWER_PAUSE_S = 1.0
# Time after a return from an older copy in which keys that were dropped since
# the copy was made are dropped again, seconds.
WITHHELD_S = 3.0
# Bytes of values that one peer is given at once.
COPY_BYTES = 262_144


class StreamReading(abc.ABC):
    """How the hosts share the reading of streams."""

    @abc.abstractmethod
    def wait_s(self, stream: str) -> float:
        """Returns the seconds for which a read waits for a record."""

    @abc.abstractmethod
    def pause_s(self, stream: str) -> float:
        """Returns the seconds without a read after one that found records."""

    @abc.abstractmethod
    def is_shared(self) -> bool:
        """Returns whether readers read the streams for the other hosts."""

    @abc.abstractmethod
    async def wait_started(self) -> None:
        """Waits briefly until it is known whether reading is shared."""

    @abc.abstractmethod
    def is_covered(self, stream: str) -> bool:
        """Returns whether this host need not read the stream itself."""

    @abc.abstractmethod
    async def wait_uncovered(self, stream: str) -> None:
        """Waits until this host must read the stream itself."""


class _ReadAlone(StreamReading):
    """Each host reads all streams itself."""

    def wait_s(self, stream: str) -> float:
        return LONG_POLL_S

    def pause_s(self, stream: str) -> float:
        return 0.0

    def is_shared(self) -> bool:
        return False

    async def wait_started(self) -> None:
        return None

    def is_covered(self, stream: str) -> bool:
        return False

    async def wait_uncovered(self, stream: str) -> None:
        return None


class KeyedTail(Controller):
    """The newest values of a stream, merged by offset and never backwards.

    Attributes:
        value_by_key: the newest value of each key.
        end_offset: offset up to which the stream was read.
        dropped_offset: offset at which keys were last found to be gone without
            a record, 0 if never.
        revision: rises when values changed.
        changed: wakes when values changed.
        regained_at: loop time since when the stream can be read again, minus
            infinity if it always could.
        current: whether the last read succeeded, or peers tell what is new.
        set_back_at: loop time at which the stream last came back from an older
            copy, minus infinity if it never did.
        read_at: loop time at which nothing newer was known to be there.
        proved_at: the same, also by a peer's reading, minus infinity if never.
        reading: how hosts share the reading.
        is_urgent: whether hosts must learn of a change within seconds, also
            of one that ends no read that waits.
        is_followed_alone: whether another component reads the stream while
            reading is not shared; the tail then reads only while it is shared.
        lists_hosts: whether the stream has the entries of hosts, which a host
            that starts reads first.
        keeps_replaced: whether values that newer ones replace are kept until
            they are taken.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        client: KeyedLogClient,
        stream: str,
        rng: random.Random,
        pause_s: float = 0.0,
    ):
        """Prepares to follow.

        Args:
            blackboard: where events are told.
            client: reads the stream.
            stream: its name.
            rng: spreads what hosts do alike.
            pause_s: least seconds without a read after one that found records,
                so that many changes at once are read together.
        """
        self._blackboard = blackboard
        self._client = client
        self._stream = stream
        self._rng = rng
        self._pause_s = pause_s
        # Seconds of the pause after the last read.
        self._paused_s = 0.0
        self._offset_by_key: dict[str, int] = {}
        self._whole = False
        # Keys that were dropped and came back with an older copy, with their
        # offsets there.
        self._withheld_by_key: dict[str, int] = {}
        self._call: asyncio.Task[KeyedPage] | None = None
        self._lost_at: float | None = None
        self.value_by_key: dict[str, bytes] = {}
        self.end_offset = 0
        self.dropped_offset = 0
        self.revision = 0
        self.changed = Signal()
        self.regained_at = -math.inf
        self.current = False
        self.set_back_at = -math.inf
        self.read_at = -math.inf
        self.proved_at = -math.inf
        self.reading: StreamReading = _ReadAlone()
        self.is_urgent = False
        self.is_followed_alone = False
        self.lists_hosts = False
        self.keeps_replaced = False
        self._replaced: list[tuple[str, bytes]] = []
        self._earlier = EarlierValues()

    @property
    def stream(self) -> str:
        """Name of the stream."""
        return self._stream

    async def run(self) -> None:
        """Reads all once, then what is new; after a gap all again."""
        try:
            await self._follow()
        finally:
            self.read_anew()

    async def confirm(self) -> None:
        """Reads what is newer by a call that begins now.

        Raises:
            LogUnavailableError: nothing shows that this was all.
        """
        if not self._whole:
            raise LogUnavailableError('the stream was not read whole yet')
        while True:
            known = self.end_offset
            page = await self._read_from(known)
            if page.end_offset < known:
                raise LogUnavailableError('the answer is an old one')
            if self._merge(page):
                self._tell_changed()
            if self.end_offset >= page.end_offset:
                break
            if self.end_offset == known:
                raise LogUnavailableError('the answer lacks records')
        now = asyncio.get_running_loop().time()
        if now - self.set_back_at < WITHHELD_S:
            raise LogUnavailableError('the stream came back from a copy')
        self.note_proved(min(page.answered_at, now))

    async def _read_from(self, offset: int) -> KeyedPage:
        """Reads what is there after an offset, without a wait.

        Raises:
            LogUnavailableError: it can't be read.
        """
        try:
            return await self._client.read(self._stream, offset, 0.0)
        except RecordsGoneError as error:
            raise LogUnavailableError('records are gone') from error

    def read_anew(self) -> None:
        """Ends a read that waits for a record."""
        if self._call is not None:
            self._call.cancel()

    async def _follow(self) -> None:
        while True:
            try:
                if self.reading.is_covered(self._stream):
                    await self.reading.wait_uncovered(self._stream)
                elif self._whole:
                    await self._read_more()
                else:
                    await self._read_all()
            except RecordsGoneError:
                self._whole = False
                await pause(STALE_RETRY_S, self._rng)
            except LogUnavailableError as error:
                self._note_lost(error)
                await pause(RETRY_S, self._rng)

    async def _read_all(self) -> None:
        page = await self._client.newest(self._stream)
        self._note_read(page)
        if page.end_offset < self.end_offset:
            await pause(STALE_RETRY_S, self._rng)
            return
        present = {record.key for record in page.records}
        self._note_first_era(page.end_offset)
        changed = self._merge(page)
        changed = self._drop_all_but(present) or changed
        self._whole = True
        if changed:
            self._tell_changed()

    def _note_first_era(self, end_offset: int) -> None:
        """Notes that the stream may have come back just before the start."""
        if not self._whole and not self.end_offset and era_of(end_offset):
            # When the stream came back is not known to a host that has started.
            self.set_back_at = asyncio.get_running_loop().time()

    def _drop_all_but(self, present: set[str]) -> bool:
        """Drops keys that are gone without a record that says so."""
        gone = set(self.value_by_key) - present
        for key in gone:
            del self.value_by_key[key]
        # Whoever is behind may have keys that this host has never known.
        self.dropped_offset = self.end_offset
        return bool(gone)

    def _is_set_back(self, end_offset: int) -> bool:
        """Returns whether the stream came back from an older copy."""
        known = self.end_offset
        return bool(known) and era_of(end_offset) > era_of(known)

    async def _read_more(self) -> None:
        # After an outage an answer must come at once, to know its end.
        wait_s = 0.0
        if self.current:
            # The pause counts as a part of the wait, so that the age of what
            # is known does not grow by it.
            wait_s = self.reading.wait_s(self._stream) - self._paused_s
        self._paused_s = 0.0
        known = self.end_offset
        self._call = asyncio.create_task(
            self._client.read(self._stream, known, max(0.0, wait_s))
        )
        await asyncio.wait([self._call])
        if self._call.cancelled():
            return
        page = self._call.result()
        self._note_read(page)
        if self._merge(page):
            self._tell_changed()
        if page.end_offset < known:
            await pause(OLD_ANSWER_PAUSE_S, self._rng)
        # Records that repeat what is known end reads, too: all hosts write
        # their entries again when they start.
        pause_s = max(self._pause_s, self.reading.pause_s(self._stream))
        if page.records and pause_s:
            self._paused_s = pause_s
            await pause(pause_s, self._rng)

    def _merge(self, page: KeyedPage) -> bool:
        """Takes the records that are newer than what is known."""
        if self._is_set_back(page.end_offset):
            self._note_set_back(page)
        changed = False
        for record in page.records:
            known_offset = self._offset_by_key.get(record.key, 0)
            if record.offset <= known_offset:
                continue
            self._offset_by_key[record.key] = record.offset
            if record.offset > self._withheld_by_key.get(record.key, math.inf):
                del self._withheld_by_key[record.key]
                changed = True
            if record.value == self.value_by_key.get(record.key, b''):
                continue
            if record.key in self.value_by_key:
                known = self.value_by_key[record.key]
                self._earlier.add(record.key, known_offset, known)
                if self.keeps_replaced:
                    self._replaced.append((record.key, known))
            if record.value:
                self.value_by_key[record.key] = record.value
            else:
                del self.value_by_key[record.key]
            changed = True
        if self._whole:
            last = max((record.offset for record in page.records), default=0)
        else:
            last = page.end_offset
        self.end_offset = max(self.end_offset, last)
        return changed

    def take_replaced(self) -> list[tuple[str, bytes]]:
        """Returns keys and values that newer ones have replaced since."""
        replaced, self._replaced = self._replaced, []
        return replaced

    def present_values(self) -> dict[str, bytes]:
        """Returns the newest values, without keys that an older copy revived.

        A key that was dropped counts again when it is written again, or when it
        is still there after a while.
        """
        return {
            key: value
            for key, value in self.value_by_key.items()
            if key not in self._withheld_by_key
        }

    @property
    def is_whole(self) -> bool:
        """Whether all keys up to the offset are known."""
        return self._whole

    @property
    def is_lost(self) -> bool:
        """Whether the last read of this host failed."""
        return self._lost_at is not None

    def value_at(self, key: str, offset: int) -> bytes:
        """Returns the value that a key had at an offset, b'' if unknown."""
        if 0 < self._offset_by_key.get(key, 0) <= offset:
            return self.value_by_key.get(key, b'')
        return self._earlier.find(key, offset)

    def newer_than(
        self, after: int, max_bytes: int = COPY_BYTES
    ) -> KeyedCopy | None:
        """Returns what a reader lacks that has come up to an offset.

        Args:
            after: offset up to which the reader has read.
            max_bytes: bytes of values at most, about.

        Returns:
            The oldest records; None where that cannot be told.
        """
        if not self._whole:
            return None
        whole = after < self.dropped_offset
        records = sorted(
            (
                KeyedRecord(key, self.value_by_key.get(key, b''), offset)
                for key, offset in self._offset_by_key.items()
                if offset > after or (whole and key in self.value_by_key)
            ),
            key=lambda record: record.offset,
        )
        count = _count_within(records, max_bytes)
        if count == len(records):
            return KeyedCopy(tuple(records), self.end_offset, whole)
        if whole:
            # A part would make the rest look dropped.
            return None
        part = tuple(records[:count])
        return KeyedCopy(part, part[-1].offset, False)

    def copy(self, copied: KeyedCopy) -> bool:
        """Takes what another reader has; returns whether it is newer."""
        if copied.end_offset <= self.end_offset:
            if not copied.end_offset:
                # The stream is empty.
                self._whole = True
            return False
        self._note_first_era(copied.end_offset)
        changed = self._merge(KeyedPage(copied.records, copied.end_offset))
        self.end_offset = max(self.end_offset, copied.end_offset)
        if copied.whole:
            present = {record.key for record in copied.records if record.value}
            changed = self._drop_all_but(present) or changed
        self._whole = True
        if changed:
            self._tell_changed()
        return True

    def note_covered(self, regained_at: float, read_at: float) -> None:
        """Notes that peers keep this host up to date.

        Args:
            regained_at: loop time since when they can read the stream again,
                minus infinity if they always could.
            read_at: loop time at which they knew of nothing newer.
        """
        self.note_proved(read_at)
        self._note_regained()
        self.regained_at = max(self.regained_at, regained_at)

    def note_proved(self, read_at: float) -> None:
        """Notes that nothing newer was there at a loop time."""
        self.proved_at = max(self.proved_at, read_at)

    def _note_read(self, page: KeyedPage) -> None:
        if page.end_offset >= self.end_offset:
            now = asyncio.get_running_loop().time()
            self.read_at = min(page.answered_at, now)
            self.note_proved(self.read_at)
        self._note_regained()

    def _note_regained(self) -> None:
        self.current = True
        if self._lost_at is None:
            return
        now = asyncio.get_running_loop().time()
        self._blackboard.events.emit(
            EventKind.DEPENDENCY_REGAINED,
            dependency=f'log/{self._stream}',
            lost_s=round(now - self._lost_at, 3),
        )
        self._lost_at = None
        self.regained_at = now

    def _note_set_back(self, page: KeyedPage) -> None:
        """Gives what the platform wrote lately the time to be back."""
        loop = asyncio.get_running_loop()
        self.regained_at = self.set_back_at = loop.time()
        self._withheld_by_key = {
            record.key: record.offset
            for record in page.records
            if record.value and self._is_dropped(record.key)
        }
        loop.call_later(WITHHELD_S, self._withhold_no_longer, page.end_offset)
        self._blackboard.events.emit(
            EventKind.STREAM_SET_BACK,
            stream=self._stream,
            era=era_of(page.end_offset),
            known_offset=offset_of(self.end_offset),
            offset=offset_of(page.end_offset),
        )

    def _tell_changed(self) -> None:
        self.revision += 1
        self.changed.notify()

    def _is_dropped(self, key: str) -> bool:
        return key in self._offset_by_key and key not in self.value_by_key

    def _withhold_no_longer(self, end_offset: int) -> None:
        """Takes what has not been dropped again since a return."""
        kept = len(self._withheld_by_key)
        self._withheld_by_key = {
            key: offset
            for key, offset in self._withheld_by_key.items()
            if offset > end_offset
        }
        if len(self._withheld_by_key) < kept:
            self._tell_changed()

    def _note_lost(self, error: LogUnavailableError) -> None:
        self.current = False
        if self._lost_at is not None:
            return
        self._lost_at = asyncio.get_running_loop().time()
        self._blackboard.events.emit(
            EventKind.DEPENDENCY_LOST,
            dependency=f'log/{self._stream}',
            cause=type(error).__name__,
            detail=str(error),
        )


def _count_within(records: Sequence[KeyedRecord], size: int) -> int:
    """Returns how many records have values of a size together, at least 1."""
    total = 0
    for number, record in enumerate(records):
        total += len(record.value)
        if total > size and number:
            return number
    return len(records)
