"""A worker as a process, whose answers end in several ways.

It is told what it is by one JSON argument, and writes a JSON object a line:
where it listens, and each run that it begins or ends.
"""

from __future__ import annotations

import asyncio
import enum
import json
import os
import random
import signal
import socket
import struct
import sys
from typing import Any

import msgspec
import uvloop

from standins.stream_content import StreamText, plain_body

# Time for which bytes are left to arrive before the answer is cut, seconds.
ARRIVAL_S = 0.02
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Framing(enum.StrEnum):
    """What marks the end of an answer."""

    CHUNKED = 'chunked'
    CONNECTION = 'connection'
    OLD_PROTOCOL = 'http/1.0'


class Cut(enum.StrEnum):
    """How an answer ends early.

    Attributes:
        CLOSED_BETWEEN: the connection closes between two events.
        CLOSED_INSIDE: it closes inside an event.
        RESET_BETWEEN: it is reset between two events.
        RESET_INSIDE: it is reset inside an event.
        IN_CHUNK: it closes inside a chunk.
        KILLED_BETWEEN: the process is killed between two events.
        KILLED_INSIDE: the process is killed inside an event.
    """

    CLOSED_BETWEEN = 'closed between'
    CLOSED_INSIDE = 'closed inside'
    RESET_BETWEEN = 'reset between'
    RESET_INSIDE = 'reset inside'
    IN_CHUNK = 'in chunk'
    KILLED_BETWEEN = 'killed between'
    KILLED_INSIDE = 'killed inside'


# An answer whose end only its connection marks is whole by the protocol when
# its worker closes between two events and runs on.
CUTS_WITHOUT_CHUNKS = (
    Cut.CLOSED_INSIDE,
    Cut.RESET_BETWEEN,
    Cut.RESET_INSIDE,
    Cut.KILLED_BETWEEN,
    Cut.KILLED_BETWEEN,
    Cut.KILLED_INSIDE,
)
CUTS_OF_PLAIN = (Cut.RESET_BETWEEN, Cut.KILLED_BETWEEN)


class WorkerPlan(msgspec.Struct, frozen=True):
    """What a worker is.

    Attributes:
        name: its id.
        phase: stage of an engine, '' for a plain worker.
        born: start of the process, Unix milliseconds.
        seed: seed of what it draws.
        cut_share: share of the answers that end early.
        unframed_share: share of the answers without length and chunks.
        gap_s: seconds before each event or half of a plain answer.
    """

    name: str
    phase: str = ''
    born: int = 0
    seed: int = 0
    cut_share: float = 0.1
    unframed_share: float = 0.4
    gap_s: float = 0.03


class StreamWorker:
    """One worker."""

    def __init__(self, plan: WorkerPlan):
        self._plan = plan
        self._rng = random.Random(f'{plan.seed} {plan.name} {plan.born}')
        self._runs = 0
        self._orders = 0
        self._phase = plan.phase

    async def serve(self) -> None:
        """Serves until the process is ended."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        ip, port = server.sockets[0].getsockname()[:2]
        say({'listening': f'{ip}:{port}'})
        await server.serve_forever()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
            lines = head.split('\r\n')
            pairs = (line.partition(':') for line in lines[1:] if line)
            headers = {name.lower(): value.strip() for name, _, value in pairs}
            length = int(headers.get('content-length', 0))
            body = await reader.readexactly(length)
            target = lines[0].split(' ')[1]
            await self._answer(target, headers, body, writer)
            await writer.drain()
        except (OSError, RuntimeError, asyncio.IncompleteReadError):
            # The host has closed the connection.
            return
        finally:
            writer.close()

    async def _answer(
        self,
        target: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        name = self._plan.name
        if headers.get('x-expect-instance', name) != name:
            _write_whole(writer, '421 Misdirected', b'')
        elif target.startswith('/mustardscale/report'):
            _write_whole(writer, '200 OK', json.dumps(self._report()).encode())
        elif target.startswith('/mustardscale/order'):
            self._take_order(json.loads(body), writer)
        elif target.startswith('/mustardscale/'):
            _write_whole(writer, '200 OK', b'')
        elif headers.get('x-serving-phase') == 'prefill':
            self._runs += 1
            handle = {'kv_handle': f'{self._runs:x}', 'tokens': 1, 'version': 1}
            _write_whole(writer, '200 OK', json.dumps(handle).encode())
        elif self._phase == 'prefill':
            _write_whole(writer, '421 Misdirected', b'')
        else:
            await self._run(target, headers, writer)

    def _report(self) -> dict[str, Any]:
        return {
            'phase': self._phase,
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'busy': False,
            'sequence': self._orders,
            'waiting': 0,
            'running': 0,
            'kv_used': 0,
            'kv_total': 100_000,
            'state': 'ready',
            'next': 0,
            'born': self._plan.born,
            'active_runs': [],
        }

    def _take_order(
        self, order: dict[str, Any], writer: asyncio.StreamWriter
    ) -> None:
        if order.get('expect', self._orders) != self._orders:
            _write_whole(writer, '409 Conflict', b'{}')
            return
        self._orders += 1
        self._phase = order['phase']
        _write_whole(writer, '202 Accepted', b'{}')

    async def _run(
        self, target: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        """Runs a request and answers it."""
        self._runs += 1
        request_id = headers['x-request-id']
        run = f'{self._plan.name}.{self._plan.born}.{self._runs}'
        after = headers.get('last-event-id', '')
        parts = self._make_parts(target, request_id, run, after)
        framing = self._draw_framing()
        cut = self._draw_cut(framing, len(parts))
        say(
            {
                'run': run,
                'request': request_id,
                'after': after,
                'framing': framing,
                'cut': cut or '',
            }
        )
        lines = [
            f'HTTP/1.{0 if framing is Framing.OLD_PROTOCOL else 1} 200 OK',
            f'X-Request-Id: {request_id}',
            f'X-Response-Signature: {run}',
        ]
        if self._phase:
            lines.append('Content-Type: text/event-stream')
        if framing is Framing.CHUNKED:
            lines.append('Transfer-Encoding: chunked')
        writer.write('\r\n'.join([*lines, '', '']).encode())
        kept = self._rng.randrange(len(parts)) if cut else len(parts)
        for part in parts[:kept]:
            await asyncio.sleep(self._plan.gap_s)
            writer.write(_frame(part, framing))
            await writer.drain()
        if cut:
            await self._cut(writer, cut, parts[kept], framing)
        else:
            if framing is Framing.CHUNKED:
                writer.write(b'0\r\n\r\n')
            await writer.drain()
            say({'done': run})

    def _make_parts(
        self, target: str, request_id: str, run: str, after: str
    ) -> list[bytes]:
        if not self._phase:
            body = plain_body(request_id)
            return [body[: len(body) // 2], body[len(body) // 2 :]]
        text = StreamText.parse(target)
        first = text.position(after) + 1
        return [text.event(n, run) for n in range(first, text.events + 1)]

    def _draw_framing(self) -> Framing:
        if self._rng.random() >= self._plan.unframed_share:
            return Framing.CHUNKED
        return self._rng.choice((Framing.CONNECTION, Framing.OLD_PROTOCOL))

    def _draw_cut(self, framing: Framing, parts: int) -> Cut | None:
        if not parts or self._rng.random() >= self._plan.cut_share:
            return None
        if not self._phase:
            return self._rng.choice(CUTS_OF_PLAIN)
        if framing is Framing.CHUNKED:
            return self._rng.choice(list(Cut))
        return self._rng.choice(CUTS_WITHOUT_CHUNKS)

    async def _cut(
        self,
        writer: asyncio.StreamWriter,
        cut: Cut,
        part: bytes,
        framing: Framing,
    ) -> None:
        """Ends an answer early."""
        if cut in (Cut.CLOSED_INSIDE, Cut.RESET_INSIDE, Cut.KILLED_INSIDE):
            writer.write(_frame(part[: len(part) // 2], framing))
        elif cut is Cut.IN_CHUNK:
            framed = _frame(part, framing)
            writer.write(framed[: len(framed) // 2])
        await writer.drain()
        await asyncio.sleep(ARRIVAL_S)
        if writer.is_closing():
            return
        if cut in (Cut.RESET_BETWEEN, Cut.RESET_INSIDE):
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
            writer.transport.abort()
        elif cut in (Cut.KILLED_BETWEEN, Cut.KILLED_INSIDE):
            os.kill(os.getpid(), signal.SIGKILL)


def _frame(data: bytes, framing: Framing) -> bytes:
    if framing is not Framing.CHUNKED:
        return data
    return b'%x\r\n%b\r\n' % (len(data), data)


def _write_whole(
    writer: asyncio.StreamWriter, status: str, content: bytes
) -> None:
    head = f'HTTP/1.1 {status}\r\nContent-Length: {len(content)}\r\n\r\n'
    writer.write(head.encode() + content)


def say(said: dict[str, Any]) -> None:
    """Writes a line at once, so that a kill loses none."""
    os.write(sys.stdout.fileno(), json.dumps(said).encode() + b'\n')


def main() -> None:
    """Runs the worker of the command line."""
    plan = msgspec.json.decode(sys.argv[1], type=WorkerPlan)
    uvloop.run(StreamWorker(plan).serve())


if __name__ == '__main__':
    main()
