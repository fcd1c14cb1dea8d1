"""In-process stand-in of the platform's keyed streams."""

from __future__ import annotations

import asyncio

from mustardscale.exceptions import LogUnavailableError
from mustardscale.log.keyed_log import KeyedLogClient, KeyedPage, KeyedRecord

# Time of a call, and time after which one without an answer is given up,
# seconds.
CALL_S = 0.004
CALL_TIMEOUT_S = 2.0


class StoreLink:
    """One host's link to the platform.

    Attributes:
        is_cut: whether calls fail at once.
    """

    def __init__(self) -> None:
        self.is_cut = False
        self._passes = asyncio.Event()
        self._passes.set()

    @property
    def is_silent(self) -> bool:
        """Whether all bytes are kept back, both ways."""
        return not self._passes.is_set()

    def keep_back(self) -> None:
        """Keeps all bytes back from now on."""
        self._passes.clear()

    def release(self) -> None:
        """Lets kept bytes through."""
        self._passes.set()

    async def travel(self) -> None:
        """Waits until bytes have passed.

        Raises:
            LogUnavailableError: they did not in time.
        """
        await asyncio.sleep(CALL_S)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                await self._passes.wait()
        except TimeoutError as error:
            raise LogUnavailableError('no answer in time') from error
        if self.is_cut:
            raise LogUnavailableError('no answer')


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
        link: the host's link to them.
        reads: number of reads that the host began.
    """

    def __init__(self, streams: KeyedStreams):
        self._streams = streams
        self.link = StoreLink()
        self.reads = 0

    @property
    def is_cut(self) -> bool:
        """Whether the host does not reach the streams."""
        return self.link.is_cut

    @is_cut.setter
    def is_cut(self, is_cut: bool) -> None:
        self.link.is_cut = is_cut

    async def newest(self, stream: str) -> KeyedPage:
        """See the base class."""
        self.reads += 1
        await self._call()
        by_key = {
            record.key: record
            for record in self._streams.records_by_stream.get(stream, [])
        }
        return self._page(stream, list(by_key.values()))

    async def read(self, stream: str, after: int, wait_s: float) -> KeyedPage:
        """See the base class."""
        self.reads += 1
        await self._call()
        if not self._after(stream, after):
            await self._streams.wait_changed(wait_s)
        # The answer is made now, and may arrive much later.
        page = self._page(stream, self._after(stream, after))
        await self._call()
        return page

    async def put(
        self, stream: str, key: str, value: bytes, after: int | None = None
    ) -> int:
        """See the base class."""
        await self._call()
        return self._streams.append(stream, key, value)

    async def _call(self) -> None:
        await self.link.travel()
        if not self._streams.available:
            raise LogUnavailableError('no answer')

    def _after(self, stream: str, after: int) -> list[KeyedRecord]:
        return self._streams.records_by_stream.get(stream, [])[after:]

    def _page(self, stream: str, records: list[KeyedRecord]) -> KeyedPage:
        end = len(self._streams.records_by_stream.get(stream, []))
        return KeyedPage(tuple(records), end)
