"""Stand-in of the users' platform's workers: plain ones and engines."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
from collections.abc import Callable
from typing import Any

import multidict
from aiohttp import web

from standins.limited_arrivals import LimitedArrivals

_ID = 'X-Request-Id'
_SOURCE = 'X-Kv-Source'
_BACKUP = 'X-Kv-Backup'
EVENTS = 3
# Time for which a copy is kept after its last part, seconds.
HOLD_S = 0.5


@dataclasses.dataclass(slots=True)
class WorkerFaults:
    """What a worker does wrong.

    Attributes:
        full: whether it rejects every request.
        loses_answers: whether it runs requests and closes without an answer.
        other_id: an id that it puts on its answers in place of their own.
        unsigned: whether its answers lack the signature.
        breaks_after: events after which it breaks the next stream off, 0 for
            none.
        leaving: whether it says in its answers that it leaves.
        busy_s: what it tells callers to wait where it is full, '' for nothing.
        limit: a text that it states as its limit, '' for the one of its
            arrivals.
        unframed: whether its answers have neither a length nor chunks.
        ends_in_answer: whether its process ends in the middle of the next
            answer, between two events.
        harmful_part: id of a part of prompts, not the last one, on which the
            worker crashes as it begins to write, '' for none.
        keeps_no_copies: whether it has no room for copies of other runs.
    """

    full: bool = False
    loses_answers: bool = False
    other_id: str = ''
    unsigned: bool = False
    breaks_after: int = 0
    leaving: bool = False
    busy_s: str = ''
    limit: str = ''
    unframed: bool = False
    ends_in_answer: bool = False
    harmful_part: str = ''
    keeps_no_copies: bool = False


@dataclasses.dataclass(slots=True)
class RunCopy:
    """The KV cache of a run at another worker.

    Attributes:
        events: events that the run had made when it was last copied.
        copied_at: loop time of the last part.
    """

    events: int
    copied_at: float


class PlatformWorker:
    """One worker.

    Attributes:
        faults: the faults switched on.
        phase: its stage, '' for a plain service.
        ran: ids of the requests that it ran, in order.
        headers: headers of the requests that reached it, by id.
        targets: method, target and body of these, by id.
        orders: the orders that it took.
        handles: results of prefills that it keeps.
        gap_s: seconds before each event of a stream.
        work_s: seconds before an answer of a plain worker.
        arrivals: the requests that reached it, and the limits that it stated.
        on_crash: called with it when it crashes.
        on_end: called when its process ends in an answer.
        version: version of its software, which it writes into its events.
        born: start of its process, Unix milliseconds.
        events: events of each stream.
        address: its 'ip:port', once it listens.
        workers_by_address: the workers that it can copy a KV cache to.
        copies_by_id: copies of the runs of other workers, by request id.
        continued: ids of the runs that it went on with from a copy.
    """

    def __init__(self, instance: str, phase: str = '', gap_s: float = 0.0):
        self.instance = instance
        self.phase = phase
        self.faults = WorkerFaults()
        self.ran: list[str] = []
        self.headers: dict[str, multidict.CIMultiDictProxy[str]] = {}
        self.targets: dict[str, tuple[str, str, bytes]] = {}
        self.orders: list[dict[str, Any]] = []
        self.handles: set[str] = set()
        self.gap_s = gap_s
        self.work_s = 0.0
        self.arrivals = LimitedArrivals(instance)
        self.on_crash: Callable[[PlatformWorker], None] | None = None
        self.on_end: Callable[[], None] | None = None
        self.version = ''
        self.born = 1
        self.events = EVENTS
        self.address = ''
        self.workers_by_address: dict[str, PlatformWorker] = {}
        self.copies_by_id: dict[str, RunCopy] = {}
        self.continued: list[str] = []
        self._numbers = itertools.count(1)

    def server(self) -> web.Server:
        """Returns the server to listen with."""
        return web.Server(self._handle, access_log=None)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        response = await self._answer(request)
        if not response.prepared:
            response.headers.update(self._own_headers())
        return response

    def _own_headers(self) -> dict[str, str]:
        """Returns what it says of itself in each answer."""
        headers = {}
        if self.faults.leaving:
            headers['Server-Leaving'] = '1'
        if self.faults.limit:
            headers['Server-Limit'] = self.faults.limit
        elif self.arrivals.limit_per_s is not None:
            headers['Server-Limit'] = str(self.arrivals.limit_per_s)
        return headers

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        expected = request.headers.get('X-Expect-Instance', self.instance)
        if expected != self.instance:
            return web.Response(
                status=421, headers={'X-Instance-Id': self.instance}
            )
        if request.path == '/mustardscale/report':
            return web.json_response(self._report())
        if request.path == '/mustardscale/order':
            return await self._order(request)
        if request.path.startswith('/mustardscale/kv-handle/'):
            self.handles.discard(request.path.rpartition('/')[2])
            return web.Response()
        return await self._run(request)

    def _report(self) -> dict[str, Any]:
        return {
            'phase': self.phase,
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'busy': False,
            'sequence': len(self.orders),
            'waiting': 0,
            'running': 0,
            'kv_used': 0,
            'kv_total': 100_000,
            'state': 'ready',
            'next': 0,
            'born': self.born,
            'active_runs': [],
        }

    async def _order(self, request: web.BaseRequest) -> web.Response:
        order = await request.json()
        if order['expect'] != len(self.orders):
            return web.Response(status=409)
        self.orders.append(order)
        self.phase = order['phase']
        return web.Response(status=202)

    async def _run(self, request: web.BaseRequest) -> web.StreamResponse:
        request_id = request.headers[_ID]
        self.arrivals.add()
        body = await request.read()
        self.headers[request_id] = request.headers
        self.targets[request_id] = (request.method, request.raw_path, body)
        if self.faults.full:
            headers = {'X-Not-Executed': '1'}
            if self.faults.busy_s:
                headers['Retry-After'] = self.faults.busy_s
            return web.Response(status=503, headers=headers)
        if 'X-Serving-Phase' in request.headers:
            return self._prefill()
        if self.phase == 'prefill':
            return web.Response(status=421)
        address, _, key = request.headers.get(_SOURCE, '').rpartition('/')
        if address and address == self.address:
            if not self._take_copy(key):
                return web.Response(status=503, headers={'X-Not-Executed': '1'})
            self.continued.append(request_id)
        else:
            self.ran.append(request_id)
        if self.faults.loses_answers:
            assert request.transport is not None
            request.transport.abort()
            raise ConnectionResetError
        headers = {_ID: self.faults.other_id or request_id}
        headers |= self._own_headers()
        if not self.faults.unsigned:
            headers['X-Response-Signature'] = f'{self.instance}.{request_id}'
        if self.faults.unframed or self.faults.ends_in_answer:
            return await self._answer_unframed(request, headers, body)
        if self.phase:
            return await self._stream(request, headers)
        await asyncio.sleep(self.work_s)
        return web.Response(body=b'whole ' + body, headers=headers)

    def _take_copy(self, key: str) -> bool:
        """Uses up a copy; returns whether there was one."""
        copy = self.copies_by_id.pop(key, None)
        now = asyncio.get_running_loop().time()
        return copy is not None and now - copy.copied_at < HOLD_S

    def _send_copy(self, request: web.BaseRequest, events: int) -> None:
        """Copies the KV cache of a run to the worker that is to keep it."""
        address = request.headers.get(_BACKUP, '')
        keeper = self.workers_by_address.get(address)
        if keeper is not None and not keeper.faults.keeps_no_copies:
            now = asyncio.get_running_loop().time()
            keeper.copies_by_id[request.headers[_ID]] = RunCopy(events, now)

    async def _answer_unframed(
        self, request: web.BaseRequest, headers: dict[str, str], body: bytes
    ) -> web.StreamResponse:
        """Answers without a length or chunks; the connection is the end."""
        transport = request.transport
        assert transport is not None
        parts = [b'whole ', body]
        if self.phase:
            headers |= {'Content-Type': 'text/event-stream'}
            begin = int(request.headers.get('Last-Event-Id', 0)) + 1
            parts = [self._event(n) for n in range(begin, self.events + 1)]
        lines = [f'{name}: {value}' for name, value in headers.items()]
        transport.write('\r\n'.join(['HTTP/1.1 200 OK', *lines]).encode())
        transport.write(b'\r\n\r\n')
        for part in parts:
            await asyncio.sleep(self.gap_s)
            if self.faults.ends_in_answer and part is parts[-1]:
                self.faults.ends_in_answer = False
                if self.on_end is not None:
                    self.on_end()
                break
            transport.write(part)
        transport.close()
        raise ConnectionResetError

    def _event(self, number: int) -> bytes:
        text = f'{number} {self.version}'.strip()
        return f'id: {number}\ndata: {text}\n\n'.encode()

    def _is_harmful(self, request: web.BaseRequest) -> bool:
        parts = request.headers.get('X-Prompt-Prefix', '').split(',')[:-1]
        ids = {part.partition(':')[0] for part in parts}
        return bool(self.faults.harmful_part) and (
            self.faults.harmful_part in ids
        )

    def _prefill(self) -> web.Response:
        key = f'{next(self._numbers):012x}'
        self.handles.add(key)
        return web.json_response({'kv_handle': key, 'tokens': 1, 'version': 1})

    async def _stream(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=headers)
        response.content_type = 'text/event-stream'
        await response.prepare(request)
        begin = int(request.headers.get('Last-Event-Id', 0)) + 1
        for number in range(begin, self.events + 1):
            await asyncio.sleep(self.gap_s)
            if self.faults.breaks_after and number > self.faults.breaks_after:
                self.faults.breaks_after = 0
                await response.write(b'id: %d\nda' % number)
                assert request.transport is not None
                request.transport.close()
                raise ConnectionResetError
            await response.write(self._event(number))
            self._send_copy(request, number)
            if self._is_harmful(request) and self.on_crash is not None:
                self.on_crash(self)
                assert request.transport is not None
                request.transport.abort()
                raise ConnectionResetError
        await response.write_eof()
        return response
