"""Stand-in of a server whose answers go on until its caller closes."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import socket
from typing import Any

# Bytes that are sent in one write.
WRITE_BYTES = 16_384
# Time between two writes, in which the other connections of a test go on,
# seconds.
PAUSE_S = 0.001
# Size of a connection's send buffer, so that few bytes are under way unread.
SEND_BUFFER_BYTES = 65_536

# Stands for the id of the request that is answered.
_ID = b'REQUEST-ID'
_HEAD = b'X-Request-Id: ' + _ID + b'\r\nX-Response-Signature: s\r\n'
_OK = b'HTTP/1.1 200 OK\r\n' + _HEAD
_FAILED = b'HTTP/1.1 500 X\r\n' + _HEAD
_CHUNKED = _OK + b'Transfer-Encoding: chunked\r\n\r\n'
_EVENTS = _OK + b'Content-Type: text/event-stream\r\n\r\n'


@dataclasses.dataclass(frozen=True, slots=True)
class EndlessAnswer:
    """An answer without an end.

    Attributes:
        begin: what is sent first.
        repeated: what is sent again and again after it.
    """

    begin: bytes
    repeated: bytes


def _repeat(piece: bytes) -> bytes:
    return piece * max(1, WRITE_BYTES // len(piece))


_FILL = _repeat(b'x')

# Answers whose head never ends.
HEADS = {
    'status line': EndlessAnswer(b'HTTP/1.1 200 OK', _FILL),
    'field': EndlessAnswer(_OK + b'X-Long: ', _FILL),
    'fields': EndlessAnswer(_OK, _repeat(b'X-More: x\r\n')),
    'long fields': EndlessAnswer(
        _OK, _repeat(b'X-Long: ' + b'x' * 8_000 + b'\r\n')
    ),
    'garbage': EndlessAnswer(b'', bytes(WRITE_BYTES)),
    'interim answers': EndlessAnswer(
        b'', _repeat(b'HTTP/1.1 100 Continue\r\n\r\n')
    ),
}
# Answers whose content never ends.
BODIES = {
    'no length': EndlessAnswer(_OK + b'\r\n', _FILL),
    'length': EndlessAnswer(
        _OK + b'Content-Length: 900000000000\r\n\r\n', _FILL
    ),
    'chunks': EndlessAnswer(_CHUNKED, b'%x\r\n%b\r\n' % (len(_FILL), _FILL)),
    'one chunk': EndlessAnswer(_CHUNKED + b'fffffffff\r\n', _FILL),
    'error': EndlessAnswer(_FAILED + b'\r\n', _FILL),
}
# Answers that never end and yield no content, or hardly any.
OVERHEADS = {
    'chunk extension': EndlessAnswer(_CHUNKED + b'4;', _FILL),
    'chunk extensions': EndlessAnswer(
        _CHUNKED, _repeat(b'1;' + b'x' * 2_000 + b'\r\nx\r\n')
    ),
    'chunk size': EndlessAnswer(_CHUNKED, _repeat(b'0')),
    'trailers': EndlessAnswer(_CHUNKED + b'0\r\n', _repeat(b'X-More: x\r\n')),
    'trailer': EndlessAnswer(_CHUNKED + b'0\r\nX-Long: ', _FILL),
}
# Streams that never end.
STREAMS = {
    'event': EndlessAnswer(_EVENTS + b'data: ', _FILL),
    'events': EndlessAnswer(
        _EVENTS, _repeat(b'data: ' + b'x' * 1_000 + b'\n\n')
    ),
    'small events': EndlessAnswer(_EVENTS, _repeat(b'data: x\n\n')),
    'comments': EndlessAnswer(_EVENTS, _repeat(b': x\n')),
}
ANSWERS = HEADS | BODIES | OVERHEADS


class EndlessWorker:
    """A server that gives each request the same answer without end.

    Attributes:
        answer: what it answers.
        report: what it says of itself when asked, None to answer that without
            an end as well.
        sent_by_connection: bytes that each of its callers has taken.
        open: connections that their callers have not closed.
        ran_ids: ids of the requests that it answered.
    """

    def __init__(
        self, answer: EndlessAnswer, report: dict[str, Any] | None = None
    ):
        self.answer = answer
        self.report = report
        self.sent_by_connection: list[int] = []
        self.open = 0
        self.ran_ids: list[str] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Starts to listen; returns 'ip:port'."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        ip, port = self._server.sockets[0].getsockname()[:2]
        return f'{ip}:{port}'

    def end(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        raw = writer.get_extra_info('socket')
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        writer.transport.set_write_buffer_limits(high=0)
        try:
            with contextlib.suppress(
                ConnectionError, asyncio.IncompleteReadError
            ):
                head = await reader.readuntil(b'\r\n\r\n')
                if self.report is not None and b'/report ' in head:
                    await self._send_report(self.report, writer)
                else:
                    await self._send_endless(_find_id(head), writer)
        finally:
            writer.close()

    async def _send_report(
        self, report: dict[str, Any], writer: asyncio.StreamWriter
    ) -> None:
        body = json.dumps(report).encode()
        length = b'Content-Length: %d\r\n\r\n' % len(body)
        writer.write(b'HTTP/1.1 200 OK\r\n' + length + body)
        await writer.drain()

    async def _send_endless(
        self, request_id: bytes, writer: asyncio.StreamWriter
    ) -> None:
        self.ran_ids.append(request_id.decode())
        connection = len(self.sent_by_connection)
        self.sent_by_connection.append(0)
        self.open += 1
        try:
            writer.write(self.answer.begin.replace(_ID, request_id))
            while not writer.is_closing():
                writer.write(self.answer.repeated)
                await writer.drain()
                await asyncio.sleep(PAUSE_S)
                sent = len(self.answer.repeated)
                self.sent_by_connection[connection] += sent
        finally:
            self.open -= 1


def _find_id(head: bytes) -> bytes:
    """Returns the id of a request, which its answer repeats."""
    for line in head.split(b'\r\n'):
        name, _, value = line.partition(b':')
        if name.lower() == b'x-request-id':
            return value.strip()
    return _ID
