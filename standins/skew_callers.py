"""Callers who take streams up at another host, judged by what engines wrote."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections.abc import Mapping

from standins.platform_plan import HOST

DEADLINE_MS = 8_000
GIVE_UP_S = 9.0


@dataclasses.dataclass(slots=True)
class SkewStream:
    """What a caller got of a stream.

    Attributes:
        id: id of its first send.
        versions: the versions that wrote its events, in order, each once.
        numbers: the numbers of its events.
        statuses: status of each send, 0 for none.
        was_taken_up: whether it was sent a second time.
        went_on: whether events came then.
    """

    id: str
    versions: list[str] = dataclasses.field(default_factory=list)
    numbers: list[int] = dataclasses.field(default_factory=list)
    statuses: list[int] = dataclasses.field(default_factory=list)
    was_taken_up: bool = False
    went_on: bool = False

    @property
    def is_in_order(self) -> bool:
        """Whether no event is missing or came twice."""
        return self.numbers == list(range(1, len(self.numbers) + 1))


class SkewCallers:
    """Callers of hosts, each with a connection of its own.

    Attributes:
        streams: what they got.
    """

    def __init__(self, address_by_host: Mapping[str, str]):
        self._address_by_host = address_by_host
        self.streams: list[SkewStream] = []

    async def play(
        self, first: str, second: str, events: int, gap_s: float
    ) -> None:
        """Reads some events at a host, and the others at another one."""
        stream = SkewStream(f'{len(self.streams) + 1:016x}')
        self.streams.append(stream)
        await self._send(stream, first, events)
        if len(stream.numbers) != events:
            return
        await asyncio.sleep(gap_s)
        stream.was_taken_up = True
        await self._send(stream, second, 0)
        stream.went_on = len(stream.numbers) > events

    async def _send(self, stream: SkewStream, host: str, events: int) -> None:
        """Sends a request and reads so many events, 0 for all."""
        stream.statuses.append(0)
        with contextlib.suppress(
            OSError, TimeoutError, asyncio.IncompleteReadError
        ):
            async with asyncio.timeout(GIVE_UP_S):
                ip, _, port = self._address_by_host[host].rpartition(':')
                reader, writer = await asyncio.open_connection(ip, int(port))
                try:
                    writer.write(_make_request(stream))
                    await _read(reader, stream, events)
                finally:
                    writer.close()


def _make_request(stream: SkewStream) -> bytes:
    lines = [
        'POST /chat/x HTTP/1.1',
        f'Host: {HOST}',
        f'X-Request-Deadline: {DEADLINE_MS}',
        'Connection: close',
        'X-Token-Usage: 1000,500',
        'X-Length-Hint: 300',
        'Content-Length: 4',
    ]
    if stream.numbers:
        lines += [
            f'X-Request-Id: {int(stream.id, 16) + (1 << 60):016x}',
            f'Last-Event-Id: {stream.numbers[-1]}',
            f'Resumes: {stream.id}',
        ]
    else:
        lines.append(f'X-Request-Id: {stream.id}')
    return '\r\n'.join([*lines, '', 'body']).encode()


async def _read(
    reader: asyncio.StreamReader, stream: SkewStream, events: int
) -> None:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    stream.statuses[-1] = int(head.split(' ')[1])
    if stream.statuses[-1] != 200:
        return
    left, text = events, b''
    while size := int(await reader.readuntil(b'\r\n'), 16):
        text += (await reader.readexactly(size + 2))[:size]
        *whole, text = text.split(b'\n\n')
        for event in whole:
            _take(stream, event.decode())
            left -= 1
            if left == 0:
                return


def _take(stream: SkewStream, event: str) -> None:
    number, written = event.split('\n')
    stream.numbers.append(int(number.removeprefix('id: ')))
    version = written.rpartition(' ')[2]
    if version not in stream.versions:
        stream.versions.append(version)
