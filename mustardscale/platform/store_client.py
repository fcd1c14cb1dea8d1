"""The platform's metadata store as a log of keyed streams."""

from __future__ import annotations

import asyncio
import base64
import binascii
import dataclasses
import math
import struct
from collections.abc import Iterator
from urllib.parse import quote

import aiohttp
import msgspec

from mustardscale.endpoints.http_sessions import (
    REQUEST_ERRORS,
    SendProgress,
    describe_error,
    read_content,
)
from mustardscale.exceptions import LogUnavailableError, LogUncertainError
from mustardscale.json_content import decode_json
from mustardscale.log.keyed_log import (
    KeyedLogClient,
    KeyedPage,
    KeyedRecord,
    RecordsGoneError,
)
from mustardscale.log.log_client import LogClient, LogPage, LogRecord
from mustardscale.log.stream_eras import (
    StreamEras,
    era_of,
    offset_of,
    position_of,
)
from mustardscale.platform import names
from mustardscale.platform.http_client import (
    make_client,
    make_timeout,
    make_url,
)

# Time without any data after which a call is given up, seconds, besides the
# wait of a read that waits for records.
CALL_TIMEOUT_S = 2.0
# Time of a call at most, seconds, besides that wait. A large answer takes
# several seconds on a narrow link.
MAX_ANSWER_S = 10.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Maximum number of digits of an era. A position holds the era and the offset,
# and a longer era would not leave enough digits for the offset.
MAX_ERA_DIGITS = 3
_ENDS = struct.Struct('!QQ')
_LENGTH = struct.Struct('!I')


class _NewestItem(msgspec.Struct):
    """A record in the answer to a query for the newest records."""

    key: str
    offset: int
    value: str = ''


class _NewestAnswer(msgspec.Struct):
    """The newest records of a topic."""

    items: list[_NewestItem]
    end: int
    has_more: bool = False


class _AppendAnswer(msgspec.Struct):
    """The answer to an append, with the offset of the new record."""

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """An answer of the store.

    Attributes:
        status: HTTP status.
        content: body.
        era: the era of the store in the header, 0 if there is none.
        answered_at: loop time at which its head had come.
    """

    status: int
    content: bytes
    era: int
    answered_at: float


class StoreClient(KeyedLogClient):
    """Reads and appends records.

    The store counts offsets from 0. The positions that this class returns count
    from 1 and contain the store's era.
    """

    def __init__(self, address: str):
        """Opens a session; a loop must be running.

        Args:
            address: 'ip:port' of the store.
        """
        self._address = address
        self._session = make_client(connection_per_call=False)
        self._eras = StreamEras()

    async def close(self) -> None:
        """Closes the session."""
        await self._session.close()

    async def newest(self, stream: str) -> KeyedPage:
        """See the base class."""
        records: list[KeyedRecord] = []
        query = f'{names.NEWEST_PATH}?topic={quote(stream)}&part=0'
        after = ''
        end = None
        answered_at = math.inf
        while True:
            reply = await self._get(query + after, 0.0)
            if reply.status != 200:
                raise LogUnavailableError(f'the store refused: {reply.status}')
            try:
                answer = decode_json(reply.content, _NewestAnswer)
            except msgspec.MsgspecError as error:
                raise LogUnavailableError(str(error)) from error
            if end is None:
                # A record that is appended between two pages may be on
                # neither of them, so the end is that of the first page.
                end = position_of(reply.era, answer.end)
                answered_at = reply.answered_at
            if era_of(end) != reply.era:
                raise LogUnavailableError('the store was set back meanwhile')
            records += [
                KeyedRecord(
                    item.key,
                    _decode_value(item.value),
                    position_of(reply.era, item.offset + 1),
                )
                for item in answer.items
            ]
            if not answer.has_more or not answer.items:
                return KeyedPage(tuple(records), end, answered_at)
            after = f'&after={quote(answer.items[-1].key)}'

    async def read(self, stream: str, after: int, wait_s: float) -> KeyedPage:
        """See the base class."""
        self._eras.check(after)
        start = offset_of(after)
        query = (
            f'{names.READ_PATH}?topic={quote(stream)}&part=0&from={start}'
            f'&wait_ms={round(wait_s * 1000)}'
        )
        reply = await self._eras.while_current(self._get(query, wait_s))
        self._eras.check(after)
        if reply.status == 410:
            raise RecordsGoneError(stream)
        if reply.status != 200 or len(reply.content) < _ENDS.size:
            raise LogUnavailableError(f'the store refused: {reply.status}')
        end, _ = _ENDS.unpack_from(reply.content)
        first = position_of(reply.era, start + 1)
        records = [
            KeyedRecord(*_split_record(record), offset=position)
            for position, record in enumerate(
                _split_records(reply.content), start=first
            )
        ]
        return KeyedPage(
            tuple(records), position_of(reply.era, end), reply.answered_at
        )

    async def put(
        self, stream: str, key: str, value: bytes, after: int | None = None
    ) -> int:
        """See the base class."""
        query = f'{names.APPEND_PATH}?topic={quote(stream)}&part=0'
        if after is not None:
            self._check_condition(after)
            query += f'&at={offset_of(after)}'
        encoded = key.encode()
        record = bytes([len(encoded)]) + encoded + value
        progress = SendProgress()
        try:
            async with self._session.post(
                make_url(self._address, query),
                data=_LENGTH.pack(len(record)) + record,
                timeout=make_timeout(CALL_TIMEOUT_S),
                trace_request_ctx=progress,
            ) as response:
                content = await read_content(response, MAX_ANSWER_BYTES)
                status = response.status
                era = _read_era(response)
        except REQUEST_ERRORS as error:
            if progress.connected:
                raise LogUncertainError(describe_error(error)) from error
            raise LogUnavailableError(describe_error(error)) from error
        if status != 200:
            self._eras.note(era)
            raise LogUnavailableError(f'the store refused: {status}')
        try:
            self._eras.note(era)
            answer = decode_json(content, _AppendAnswer)
        except (msgspec.MsgspecError, LogUnavailableError) as error:
            raise LogUncertainError(str(error)) from error
        return position_of(era, answer.offset + 1)

    def _check_condition(self, after: int) -> None:
        """Raises LogUnavailableError if a position is of another era."""
        try:
            self._eras.check(after)
        except RecordsGoneError as error:
            raise LogUnavailableError(str(error)) from error

    async def _get(self, query: str, wait_s: float) -> _Answer:
        loop = asyncio.get_running_loop()
        limit = asyncio.timeout(CALL_TIMEOUT_S + wait_s)

        def extend_limit() -> None:
            ends_at = limit.when() or 0.0
            limit.reschedule(max(ends_at, loop.time() + CALL_TIMEOUT_S))

        try:
            async with (
                limit,
                self._session.get(
                    make_url(self._address, query),
                    timeout=make_timeout(MAX_ANSWER_S + wait_s),
                    trace_request_ctx=SendProgress(),
                ) as response,
            ):
                answered_at = loop.time()
                content = await read_content(
                    response, MAX_ANSWER_BYTES, extend_limit
                )
                era = _read_era(response)
                self._eras.note(era)
                return _Answer(response.status, content, era, answered_at)
        except REQUEST_ERRORS as error:
            raise LogUnavailableError(describe_error(error)) from error


class StoreLog(LogClient):
    """Stores each stream of the router in a keyed topic.

    The topic keeps only the newest record of its one key.
    """

    def __init__(self, client: KeyedLogClient):
        self._client = client
        # Topics that had no records when they were last queried.
        self._empty_topics: set[str] = set()

    async def append(
        self, stream: str, payloads: list[bytes], after: int | None = None
    ) -> list[int]:
        """See the base class."""
        topic = names.STREAM_TOPIC_PREFIX + stream
        offsets = []
        for payload in payloads:
            offset = await self._client.put(topic, stream, payload, after)
            offsets.append(offset)
            after = offset if after is not None else None
        return offsets

    async def read(
        self, stream: str, after: int, limit: int = 1000, wait_s: float = 0.0
    ) -> LogPage:
        """See the base class."""
        topic = names.STREAM_TOPIC_PREFIX + stream
        if after == 0 and topic not in self._empty_topics:
            page = await self._client.newest(topic)
            if page.records:
                return _make_log_page(page, compacted=True)
            self._empty_topics.add(topic)
        try:
            page = await self._client.read(topic, after, wait_s)
        except RecordsGoneError:
            return _make_log_page(
                await self._client.newest(topic), compacted=True
            )
        return _make_log_page(page, first_offset=after + 1)

    async def close(self) -> None:
        """Closes the client."""
        await self._client.close()


def _read_era(response: aiohttp.ClientResponse) -> int:
    """Returns the era in an answer's header, 0 if it has none."""
    return parse_era(response.headers.get(names.STORE_ERA, ''))


def parse_era(text: str) -> int:
    """Parses an era; returns 0 if the text is not a valid one.

    >>> parse_era('7'), parse_era('-1'), parse_era('9' * 5_000)
    (7, 0, 0)
    """
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_ERA_DIGITS:
        return 0
    return int(text)


def _make_log_page(
    page: KeyedPage, first_offset: int = 1, compacted: bool = False
) -> LogPage:
    records = tuple(
        LogRecord(record.offset, record.value) for record in page.records
    )
    last = max((record.offset for record in records), default=0)
    end = max(page.end_offset, last)
    return LogPage(records, first_offset, end, compacted)


def _split_records(content: bytes) -> Iterator[bytes]:
    """Yields the records of an answer, without a truncated last one."""
    position = _ENDS.size
    while position + _LENGTH.size <= len(content):
        (length,) = _LENGTH.unpack_from(content, position)
        start = position + _LENGTH.size
        position = start + length
        if position > len(content):
            return
        yield content[start:position]


def _split_record(record: bytes) -> tuple[str, bytes]:
    """Returns key and value of a record, both empty if it is damaged."""
    if not record or len(record) < 1 + record[0]:
        return '', b''
    end = 1 + record[0]
    return record[1:end].decode('utf-8', 'replace'), record[end:]


def _decode_value(value: str) -> bytes:
    try:
        return base64.b64decode(value, validate=True)
    except (binascii.Error, ValueError):
        return b''
