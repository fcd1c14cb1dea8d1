"""Stand-in of a worker that frames and ends its answers as it is told."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import json
import socket
import struct
from collections.abc import Awaitable, Callable, Sequence

# Time for which a closed answer is left to arrive before it is reset, seconds.
ARRIVAL_S = 0.05
# Time for which a worker that shuts down replies after its answers, seconds.
SHUTDOWN_S = 0.2


class Framing(enum.StrEnum):
    """How the end of an answer is marked."""

    LENGTH = 'length'
    CHUNKED = 'chunked'
    NONE = 'none'
    OLD_PROTOCOL = 'http/1.0'


class Ending(enum.StrEnum):
    """How an answer ends.

    Attributes:
        WHOLE: with its last byte.
        CLOSED: early; the worker closes the connection and runs on.
        LINK_CLOSED: early; all connections to the worker are closed, as by a
            proxy that ends, and the worker runs on.
        RESET: early, with a reset.
        GONE: early; the worker's process ends, which closes its connections
            without a reset, and nothing listens at its address any more.
        GONE_BEHIND_PROXY: the same, but a proxy at its address goes on to
            accept connections, and closes them.
        GONE_IN_SILENCE: the same, but its address goes on to accept
            connections, and nothing answers them.
        STOPPED: early, at the deadline that the worker received, at which it
            closes the connection. The worker runs on.
        SHUTTING_DOWN: early; the worker closes its open connections, replies
            for SHUTDOWN_S more, and its process ends.
    """

    WHOLE = 'whole'
    CLOSED = 'closed'
    LINK_CLOSED = 'link closed'
    RESET = 'reset'
    GONE = 'gone'
    GONE_BEHIND_PROXY = 'gone behind a proxy'
    GONE_IN_SILENCE = 'gone in silence'
    STOPPED = 'stopped'
    SHUTTING_DOWN = 'shutting down'


# Endings after which the worker's process is gone.
GONE_ENDINGS = (Ending.GONE, Ending.GONE_BEHIND_PROXY, Ending.GONE_IN_SILENCE)


class Check(enum.StrEnum):
    """What a worker does with the question what it says of itself."""

    ANSWERED = 'answered'
    SLOW = 'slow'
    REFUSED_FULL = 'refused as full'
    RESET = 'reset'
    LOST = 'lost'
    WITHOUT_START = 'without a start'
    LATE_WITHOUT_START = 'late, without a start'
    OTHER_START = 'another start'
    GATEWAY_ERROR = 'gateway error'
    CUT = 'cut short, without a length'


# What shows that the process which answered still runs.
CONFIRMING_CHECKS = (
    Check.ANSWERED,
    Check.SLOW,
    Check.REFUSED_FULL,
    Check.WITHOUT_START,
)


@dataclasses.dataclass(frozen=True, slots=True)
class RawAnswer:
    """One answer.

    Attributes:
        pieces: parts of its content, sent one after the other.
        framing: how its end is marked.
        ending: how it ends.
        missing: bytes of the content that are not sent when it ends early.
        gap_s: seconds before each part.
        in_one_burst: whether head and content leave together.
        media_type: its Content-Type.
        status: its status.
        goes_on: whether it begins after the event that its request names.
    """

    pieces: Sequence[bytes]
    framing: Framing = Framing.NONE
    ending: Ending = Ending.WHOLE
    missing: int = 0
    gap_s: float = 0.01
    in_one_burst: bool = False
    media_type: str = 'text/event-stream'
    status: int = 200
    goes_on: bool = False

    def after(self, last_id: str) -> RawAnswer:
        """Returns the answer to a request that names an event by its id."""
        if not self.goes_on or not last_id:
            return self
        named = b'id: %b\n' % last_id.encode()
        begins = [piece.startswith(named) for piece in self.pieces]
        left = self.pieces[begins.index(True) + 1 :]
        return dataclasses.replace(self, pieces=left)


class RawWorker:
    """A worker; one answer for each request, the last one again and again.

    Attributes:
        instance: its id.
        born: start of its process, Unix milliseconds.
        answers: what it answers.
        answer_by_request_id: what it answers to some requests instead.
        check: what it does when asked what it says of itself, once it has
            run a request.
        ran: heads of the requests that it ran.
        before_end: is awaited once an answer's parts are sent, before it ends.
        says_leaving: whether its reports carry Server-Leaving.
    """

    def __init__(self, instance: str, answers: Sequence[RawAnswer] = ()):
        self.instance = instance
        self.born = 1
        self.answers = list(answers)
        self.answer_by_request_id: dict[str, RawAnswer] = {}
        self.check = Check.ANSWERED
        self.ran: list[dict[str, str]] = []
        self.before_end: Callable[[], Awaitable[None]] | None = None
        self.says_leaving = False
        self._gone: Ending | None = None
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()

    @property
    def ran_ids(self) -> list[str]:
        """Ids of the requests that it ran."""
        return [headers['x-request-id'] for headers in self.ran]

    @property
    def open_connections(self) -> int:
        """Number of its open connections."""
        return len(self._open)

    async def start(self, port: int = 0) -> str:
        """Starts to listen; returns 'ip:port'."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', port, limit=2**20
        )
        ip, port = self._server.sockets[0].getsockname()[:2]
        return f'{ip}:{port}'

    def end(self, ending: Ending = Ending.GONE) -> None:
        """Ends the process; all its connections are closed.

        Args:
            ending: what its address does from then on.
        """
        self._gone = ending
        if self._server is not None and ending is Ending.GONE:
            self._server.close()
            self._server = None
        self.close_all()

    def close_all(self) -> None:
        """Closes all open connections."""
        for writer in list(self._open):
            writer.close()

    def shut_down(self) -> None:
        """Ends what is open at once, and the process a little later."""
        self.close_all()
        asyncio.get_running_loop().call_later(SHUTDOWN_S, self.end)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open.add(writer)
        try:
            if self._gone is Ending.GONE_IN_SILENCE:
                await reader.read()
            if self._gone is not None:
                return
            head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
            lines = head.split('\r\n')
            pairs = (line.partition(':') for line in lines[1:] if line)
            headers = {name.lower(): value.strip() for name, _, value in pairs}
            await reader.readexactly(int(headers.get('content-length', 0)))
            await self._answer(lines[0], headers, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._open.discard(writer)
            writer.close()

    async def _answer(
        self, line: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        if headers.get('x-expect-instance', self.instance) != self.instance:
            writer.write(b'HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n')
        elif '/mustardscale/report' in line:
            await self._answer_check(writer)
        else:
            self.ran.append(headers)
            answer = self._take_answer(headers['x-request-id'])
            answer = answer.after(headers.get('last-event-id', ''))
            await self._send(answer, headers, writer)

    def _take_answer(self, request_id: str) -> RawAnswer:
        if request_id in self.answer_by_request_id:
            return self.answer_by_request_id[request_id]
        is_last = len(self.answers) == 1
        return self.answers[0] if is_last else self.answers.pop(0)

    async def _answer_check(self, writer: asyncio.StreamWriter) -> None:
        check = self.check if self.ran else Check.ANSWERED
        if check is Check.LOST:
            await asyncio.sleep(60)
        if check is Check.RESET:
            _reset(writer)
            return
        if check in (Check.SLOW, Check.LATE_WITHOUT_START):
            await asyncio.sleep(0.6)
        if check is Check.GATEWAY_ERROR:
            writer.write(b'HTTP/1.1 502 X\r\nContent-Length: 0\r\n\r\n')
            return
        if check is Check.REFUSED_FULL:
            writer.write(
                b'HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\n'
                b'Content-Length: 0\r\n\r\n'
            )
            return
        report = {'phase': 'decode', 'kv_total': 100_000, 'born': self.born}
        if check in (Check.WITHOUT_START, Check.LATE_WITHOUT_START):
            del report['born']
        if check is Check.OTHER_START:
            report['born'] = self.born + 1
        body = json.dumps(report).encode()
        if check is Check.CUT:
            writer.write(b'HTTP/1.1 200 OK\r\n\r\n' + body[: len(body) // 2])
            return
        leaving = b'Server-Leaving: 1\r\n' if self.says_leaving else b''
        writer.write(
            b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%b'
            b'Content-Length: %d\r\n\r\n%b' % (leaving, len(body), body)
        )
        await writer.drain()

    async def _send(
        self,
        answer: RawAnswer,
        headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        received_at = asyncio.get_running_loop().time()
        content = b''.join(answer.pieces)
        head = self._head(answer, headers['x-request-id'], len(content))
        pieces = list(_cut(answer.pieces, answer.missing))
        if answer.framing is Framing.CHUNKED:
            pieces = [b'%x\r\n%b\r\n' % (len(p), p) for p in pieces if p]
            if answer.ending is Ending.WHOLE:
                pieces.append(b'0\r\n\r\n')
        if answer.in_one_burst:
            pieces = [head + b''.join(pieces)]
        else:
            writer.write(head)
        for piece in pieces:
            await asyncio.sleep(answer.gap_s)
            writer.write(piece)
            await writer.drain()
        if self.before_end is not None:
            await self.before_end()
        if answer.ending is Ending.STOPPED:
            deadline_s = int(headers['x-request-deadline']) / 1000
            await _sleep_until(received_at + deadline_s)
        elif answer.ending is Ending.LINK_CLOSED:
            self.close_all()
        elif answer.ending is Ending.SHUTTING_DOWN:
            self.shut_down()
        elif answer.ending is Ending.RESET:
            if not answer.in_one_burst:
                await asyncio.sleep(ARRIVAL_S)
            _reset(writer)
        elif answer.ending in GONE_ENDINGS:
            self.end(answer.ending)

    def _head(self, answer: RawAnswer, request_id: str, size: int) -> bytes:
        old = answer.framing is Framing.OLD_PROTOCOL
        lines = [
            f'HTTP/1.{0 if old else 1} {answer.status} X',
            f'X-Request-Id: {request_id}',
            f'X-Response-Signature: {self.instance}.{request_id}',
            f'Content-Type: {answer.media_type}',
        ]
        if answer.framing is Framing.LENGTH:
            lines.append(f'Content-Length: {size}')
        if answer.framing is Framing.CHUNKED:
            lines.append('Transfer-Encoding: chunked')
        return '\r\n'.join([*lines, '', '']).encode()


def _cut(pieces: Sequence[bytes], missing: int) -> list[bytes]:
    """Returns the parts without the last bytes of the content."""
    left = sum(map(len, pieces)) - missing
    kept = []
    for piece in pieces:
        kept.append(piece[:left])
        left = max(0, left - len(piece))
    return [piece for piece in kept if piece]


async def _sleep_until(time_at: float) -> None:
    left_s = time_at - asyncio.get_running_loop().time()
    await asyncio.sleep(max(0.0, left_s))


def _reset(writer: asyncio.StreamWriter) -> None:
    raw = writer.get_extra_info('socket')
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
    writer.transport.abort()
