"""Follows a keyed stream and keeps its newest values."""

from __future__ import annotations

import asyncio
import math
import random

from mustardscale.blackboard import Blackboard, Signal
from mustardscale.controller import Controller, pause
from mustardscale.exceptions import LogUnavailableError
from mustardscale.log.keyed_log import (
    KeyedLogClient,
    KeyedPage,
    RecordsGoneError,
)
from mustardscale.reporting.event_log import EventKind

# Time for which a read waits for a record, seconds.
LONG_POLL_S = 20.0
RETRY_S = 0.25
# Time after which all is read again where a read was older than what is known,
# or records were gone, seconds.
STALE_RETRY_S = 0.1


class KeyedTail(Controller):
    """The newest values of a stream, merged by offset and never backwards.

    Attributes:
        value_by_key: the newest value of each key.
        end_offset: offset up to which the stream was read.
        changed: wakes when values changed.
        regained_at: loop time since when the stream can be read again, minus
            infinity if it always could.
        current: whether the last read succeeded.
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
            pause_s: seconds between two reads that found something, so that
                many changes at once are read together.
        """
        self._blackboard = blackboard
        self._client = client
        self._stream = stream
        self._rng = rng
        self._pause_s = pause_s
        self._offset_by_key: dict[str, int] = {}
        self._whole = False
        self._lost_at: float | None = None
        self.value_by_key: dict[str, bytes] = {}
        self.end_offset = 0
        self.changed = Signal()
        self.regained_at = -math.inf
        self.current = False

    async def run(self) -> None:
        """Reads all once, then what is new; after a gap all again."""
        while True:
            try:
                if self._whole:
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
        self._note_read()
        if page.end_offset < self.end_offset:
            await pause(STALE_RETRY_S, self._rng)
            return
        present = {record.key for record in page.records}
        changed = self._merge(page)
        for key in set(self.value_by_key) - present:
            del self.value_by_key[key]
            changed = True
        self._whole = True
        if changed:
            self.changed.notify()

    async def _read_more(self) -> None:
        # After an outage an answer must come at once, to know its end.
        wait_s = LONG_POLL_S if self.current else 0.0
        page = await self._client.read(self._stream, self.end_offset, wait_s)
        self._note_read()
        if self._merge(page):
            self.changed.notify()
            if self._pause_s:
                await pause(self._pause_s, self._rng)

    def _merge(self, page: KeyedPage) -> bool:
        """Takes the records that are newer than what is known."""
        changed = False
        for record in page.records:
            if record.offset <= self._offset_by_key.get(record.key, 0):
                continue
            self._offset_by_key[record.key] = record.offset
            if record.value:
                self.value_by_key[record.key] = record.value
            else:
                self.value_by_key.pop(record.key, None)
            changed = True
        last = max((record.offset for record in page.records), default=0)
        if not self._whole:
            last = max(last, page.end_offset)
        self.end_offset = max(self.end_offset, last)
        return changed

    def _note_read(self) -> None:
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
