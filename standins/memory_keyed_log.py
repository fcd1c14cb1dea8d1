"""In-process stand-in of the platform's keyed streams."""

from __future__ import annotations

import asyncio

from mustardscale.exceptions import LogUnavailableError
from mustardscale.log.keyed_log import KeyedLogClient, KeyedPage, KeyedRecord

# Time of a call, seconds.
CALL_S = 0.004


class KeyedStreams:
    """The streams, which all hosts share.

    Attributes:
        available: whether calls are answered.
        writes: number of records appended.
    """

    def __init__(self) -> None:
        self.available = True
        self.writes = 0
        self.records_by_stream: dict[str, list[KeyedRecord]] = {}
        self._changed = asyncio.Event()

    def append(self, stream: str, key: str, value: bytes) -> int:
        """Appends a record; returns its offset."""
        records = self.records_by_stream.setdefault(stream, [])
        self.writes += 1
        records.append(KeyedRecord(key, value, len(records) + 1))
        self._changed.set()
        self._changed = asyncio.Event()
        return len(records)

    async def wait_changed(self, timeout_s: float) -> None:
        """Waits for the next record of any stream."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return


class MemoryKeyedLog(KeyedLogClient):
    """One host's access to the streams.

    Attributes:
        is_cut: whether the host does not reach them.
    """

    def __init__(self, streams: KeyedStreams):
        self._streams = streams
        self.is_cut = False

    async def newest(self, stream: str) -> KeyedPage:
        """See the base class."""
        await self._call()
        by_key = {
            record.key: record
            for record in self._streams.records_by_stream.get(stream, [])
        }
        return self._page(stream, list(by_key.values()))

    async def read(self, stream: str, after: int, wait_s: float) -> KeyedPage:
        """See the base class."""
        await self._call()
        if not self._after(stream, after):
            await self._streams.wait_changed(wait_s)
            await self._call()
        return self._page(stream, self._after(stream, after))

    async def put(
        self, stream: str, key: str, value: bytes, after: int | None = None
    ) -> int:
        """See the base class."""
        await self._call()
        return self._streams.append(stream, key, value)

    async def _call(self) -> None:
        await asyncio.sleep(CALL_S)
        if self.is_cut or not self._streams.available:
            raise LogUnavailableError('no answer')

    def _after(self, stream: str, after: int) -> list[KeyedRecord]:
        return self._streams.records_by_stream.get(stream, [])[after:]

    def _page(self, stream: str, records: list[KeyedRecord]) -> KeyedPage:
        end = len(self._streams.records_by_stream.get(stream, []))
        return KeyedPage(tuple(records), end)
