"""In-process stand-in of the platform's keyed streams."""

from __future__ import annotations

import asyncio

from mustardscale.exceptions import LogUnavailableError, LogUncertainError
from mustardscale.log.keyed_log import KeyedLogClient, KeyedPage, KeyedRecord

# Time of a call, and time after which one without an answer is given up,
# seconds.
CALL_S = 0.004
CALL_TIMEOUT_S = 2.0


class StoreLink:
    """One host's link to the platform.

    Attributes:
        is_cut: whether calls of keyed streams fail at once.
        refuses: whether all calls fail at once, those of the list too.
    """

    def __init__(self) -> None:
        self.is_cut = False
        self.refuses = False
        self._calls_pass = asyncio.Event()
        self._answers_pass = asyncio.Event()
        self.release()

    @property
    def is_sound(self) -> bool:
        """Whether bytes pass both ways."""
        passes = self._calls_pass.is_set() and self._answers_pass.is_set()
        return passes and not self.refuses

    def keep_back(self, calls: bool = True, answers: bool = True) -> None:
        """Keeps bytes back from now on.

        Args:
            calls: those from the host.
            answers: those to it.
        """
        if calls:
            self._calls_pass.clear()
        if answers:
            self._answers_pass.clear()

    def release(self) -> None:
        """Lets kept bytes through."""
        self._calls_pass.set()
        self._answers_pass.set()

    async def travel(self) -> None:
        """Waits until a call has passed.

        Raises:
            LogUnavailableError: it did not in time.
        """
        await asyncio.sleep(CALL_S)
        await _pass(self._calls_pass)
        if self.is_cut or self.refuses:
            raise LogUnavailableError('no answer')

    async def travel_back(self) -> None:
        """Waits until an answer has passed, which was made before.

        Raises:
            LogUnavailableError: it did not in time.
        """
        await _pass(self._answers_pass)


async def _pass(passes: asyncio.Event) -> None:
    if passes.is_set():
        return
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            await passes.wait()
    except TimeoutError as error:
        raise LogUnavailableError('no answer in time') from error


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
        page = self._page(stream, list(by_key.values()))
        await self.link.travel_back()
        return page

    async def read(self, stream: str, after: int, wait_s: float) -> KeyedPage:
        """See the base class."""
        self.reads += 1
        await self._call()
        if not self._after(stream, after):
            await self._streams.wait_changed(wait_s)
        # The answer is made now, and may arrive much later.
        page = self._page(stream, self._after(stream, after))
        await self._call()
        await self.link.travel_back()
        return page

    async def put(
        self, stream: str, key: str, value: bytes, after: int | None = None
    ) -> int:
        """See the base class."""
        await self._call()
        offset = self._streams.append(stream, key, value)
        try:
            await self.link.travel_back()
        except LogUnavailableError as error:
            raise LogUncertainError(str(error)) from error
        return offset

    async def _call(self) -> None:
        await self.link.travel()
        if not self._streams.available:
            raise LogUnavailableError('no answer')

    def _after(self, stream: str, after: int) -> list[KeyedRecord]:
        return self._streams.records_by_stream.get(stream, [])[after:]

    def _page(self, stream: str, records: list[KeyedRecord]) -> KeyedPage:
        end = len(self._streams.records_by_stream.get(stream, []))
        return KeyedPage(tuple(records), end)
