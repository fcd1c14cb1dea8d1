"""A worker, as a process that is told how it answers.

With a phase it is an engine: it prefills, or streams events. It writes a JSON
object a line: where it listens, and what it runs.
"""

from __future__ import annotations

import asyncio
import json
import socket
import struct
import sys
import time
from typing import Any


class Worker:
    """One worker; its answers end with their connection if it is told so."""

    def __init__(self, plan: dict[str, Any]):
        self._plan = plan
        self._handles = 0
        self._sequence = 0

    async def run(self) -> None:
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
            if '/mustardscale/order' in lines[0]:
                self._take_order(json.loads(body), writer)
                await writer.drain()
                return
            await self._answer(lines[0], headers, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def _answer(
        self, line: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        name = self._plan['name']
        if headers.get('x-expect-instance', name) != name:
            _write_whole(writer, '421 Misdirected', {}, b'')
        elif '/mustardscale/report' in line:
            report = json.dumps(self._report()).encode()
            _write_whole(writer, '200 OK', {}, report)
        elif '/mustardscale/kv-handle/' in line:
            _write_whole(writer, '200 OK', {}, b'')
        elif 'x-request-id' not in headers:
            _write_whole(writer, '400 Bad', {'X-Not-Executed': '1'}, b'')
        elif headers.get('x-serving-phase') == 'prefill':
            await asyncio.sleep(self._plan['work_s'])
            self._handles += 1
            handle = {'kv_handle': f'{self._handles:x}', 'tokens': 1}
            fields = {'X-Request-Id': headers['x-request-id']}
            content = json.dumps(handle | {'version': 1}).encode()
            _write_whole(writer, '200 OK', fields, content)
        elif self._plan['phase']:
            await self._run_stream(line, headers, writer)
        else:
            await self._run_request(line, headers['x-request-id'], writer)
        await writer.drain()

    def _take_order(
        self, order: dict[str, Any], writer: asyncio.StreamWriter
    ) -> None:
        """Changes the stage, unless the order is based on an older count."""
        say({'order': order, 'at': time.time()})
        if order.get('expect', self._sequence) != self._sequence:
            _write_whole(writer, '409 Conflict', {}, b'{}')
            return
        self._sequence += 1
        self._plan['phase'] = order['phase']
        _write_whole(writer, '202 Accepted', {}, b'{}')

    def _report(self) -> dict[str, Any]:
        report = {'state': 'ready', 'born': self._plan['born']}
        if not self._plan['phase']:
            return report
        return report | {
            'phase': self._plan['phase'],
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'busy': False,
            'sequence': self._sequence,
            'waiting': 0,
            'running': 0,
            'kv_used': 0,
            'kv_total': 100_000,
            'kv_handles': 0,
            'active_runs': [],
        }

    async def _run_stream(
        self, line: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        request_id = headers['x-request-id']
        model = headers.get('x-model-name', '').encode('latin-1').hex()
        say({'runs': request_id, 'line': line, 'model': model})
        await asyncio.sleep(self._plan['work_s'])
        fields = {
            'X-Request-Id': request_id,
            'X-Response-Signature': f'{self._plan["name"]}.{request_id}',
            'Content-Type': 'text/event-stream',
        }
        unframed = self._plan.get('unframed')
        if not unframed:
            fields['Transfer-Encoding'] = 'chunked'
        head = [f'{name}: {value}' for name, value in fields.items()]
        writer.write('\r\n'.join(['HTTP/1.1 200 OK', *head, '', '']).encode())
        first = int(headers.get('last-event-id', 0)) + 1
        for number in range(first, self._plan['events'] + 1):
            await asyncio.sleep(self._plan['gap_s'])
            event = event_of(request_id, number)
            if not unframed:
                event = b'%x\r\n%b\r\n' % (len(event), event)
            writer.write(event)
            await writer.drain()
        if not unframed:
            writer.write(b'0\r\n\r\n')
        say({'whole': request_id})

    async def _run_request(
        self, line: str, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        say({'runs': request_id, 'line': line})
        await asyncio.sleep(self._plan['work_s'])
        body = body_of(request_id)
        fields = {
            'X-Request-Id': request_id,
            'X-Response-Signature': f'{self._plan["name"]}.{request_id}',
            'Content-Type': 'application/json',
        }
        if not self._plan.get('unframed'):
            _write_whole(writer, '200 OK', fields, body)
            return
        # No length: the end of the connection is the end of the answer.
        head = [f'{name}: {value}' for name, value in fields.items()]
        writer.write('\r\n'.join(['HTTP/1.1 200 OK', *head, '', '']).encode())
        half = len(body) // 2
        writer.write(body[:half])
        await writer.drain()
        say({'half': request_id})
        await asyncio.sleep(self._plan['pause_s'])
        if self._plan.get('resets'):
            raw = writer.get_extra_info('socket')
            raw.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            writer.transport.abort()
            return
        writer.write(body[half:])
        await writer.drain()
        say({'whole': request_id})


def event_of(request_id: str, number: int) -> bytes:
    """Returns an event of the stream that answers a request."""
    return f'id: {number}\ndata: {number} of {request_id}\n\n'.encode()


def body_of(request_id: str) -> bytes:
    """Returns the whole body that answers a request: 800 bytes."""
    return (request_id.encode() + b' ').ljust(799, b'x') + b'\n'


def _write_whole(
    writer: asyncio.StreamWriter,
    status: str,
    fields: dict[str, str],
    body: bytes,
) -> None:
    all_fields = fields | {'Content-Length': str(len(body))}
    head = [f'{name}: {value}' for name, value in all_fields.items()]
    text = '\r\n'.join([f'HTTP/1.1 {status}', *head, '', ''])
    writer.write(text.encode() + body)


def say(said: dict[str, Any]) -> None:
    """Writes a line for the script."""
    sys.stdout.write(json.dumps(said) + '\n')
    sys.stdout.flush()


if __name__ == '__main__':
    asyncio.run(Worker(json.loads(sys.argv[1])).run())
