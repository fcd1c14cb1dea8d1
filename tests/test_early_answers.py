"""Answers that come, and end, before their requests were read."""

import asyncio
import copy
import enum
import json
import socket
import unittest.mock

import aiohttp
import pytest
import uvloop

from mustardscale.endpoints.http_plain import HttpPlainEndpoint
from mustardscale.endpoints.plain_endpoints import PlainCall
from mustardscale.exceptions import EndpointFailedError, LogUncertainError
from mustardscale.outcomes import Outcome
from mustardscale.platform.http_client import make_client
from mustardscale.platform.store_client import StoreClient
from mustardscale.platform.worker_relay import WorkerRelay
from mustardscale.relay.endpoint_listener import EndpointListener
from mustardscale.relay.relay_endpoint import RelayCall
from mustardscale.relay.relay_messages import RelayRequest
from standins.platform_plan import HOST
from standins.raw_worker import RawWorker, _reset
from tests.host_refusals import PersistentCaller, require_refusal
from tests.platform_site import WAIT_S, until
from tests.test_broken_answers import EVENTS, RawSite
from tests.test_forwarding_http import CutSite

LONG_BYTES, LONGEST_BYTES = 300_000, 1_900_000
# Receive buffer of a worker, so that a long body waits at its host.
RECEIVE_BUFFER_BYTES = 16_384
PATHS = ('/book/x', '/read/x', '/once/x')


class EarlyEnd(enum.StrEnum):
    """How a worker ends an answer while its request is unread.

    Attributes:
        RESET: with a reset.
        CLOSED_THEN_RESET: with its side of the connection, and a reset later.
        CLOSED: with its side of the connection, which it leaves open.
        READ_ON: the same, and it reads the rest of the request.
    """

    RESET = 'reset'
    CLOSED_THEN_RESET = 'closed-then-reset'
    CLOSED = 'closed'
    READ_ON = 'reads-on'


class EarlyWorker(RawWorker):
    """A worker that answers once it has the head of a request.

    Attributes:
        lines: further lines of its answer's head.
        status: status of the answer.
        content: what it sends of the content.
        early_end: how the answer ends.
        read_bytes: bytes that it has read of bodies.
        reads_first: whether it reads the whole request before it answers.
        other_bytes: what followed the body of a request.
    """

    status = 200
    lines = ''
    content = EVENTS[0]
    early_end = EarlyEnd.CLOSED
    reads_first = False

    def __init__(self, instance):
        super().__init__(instance)
        self.read_bytes = 0
        self.other_bytes = b''

    async def start(self, port=0):
        """Starts to listen with a small receive buffer."""
        listening = socket.socket()
        listening.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        listening.bind(('127.0.0.1', port))
        self._server = await asyncio.start_server(
            self._serve, sock=listening, limit=1024
        )
        ip, port = listening.getsockname()
        return f'{ip}:{port}'

    async def _serve(self, reader, writer):
        self._open.add(writer)
        try:
            head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
            lines = head.split('\r\n')
            pairs = (line.partition(':') for line in lines[1:] if line)
            headers = {name.lower(): value.strip() for name, _, value in pairs}
            if '/mustardscale/report' in lines[0]:
                await self._answer(lines[0], headers, writer)
                return
            self.ran.append(headers)
            size = int(headers['content-length'])
            if self.reads_first:
                await reader.readexactly(size)
                size = 0
            writer.write(self._early_head(headers) + self.content)
            await asyncio.sleep(0.1)
            if self.early_end is EarlyEnd.RESET:
                _reset(writer)
                return
            if 'Content-Length' not in self.lines:
                writer.write_eof()
            if self.early_end is EarlyEnd.READ_ON:
                while data := await reader.read(65_536):
                    self.read_bytes += len(data)
                    self.other_bytes += data[size:]
                    size = max(0, size - len(data))
                return
            await asyncio.sleep(0.15)
            if self.early_end is EarlyEnd.CLOSED_THEN_RESET:
                _reset(writer)
                return
            await asyncio.sleep(5)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._open.discard(writer)
            writer.close()

    def _early_head(self, headers):
        request_id = headers.get('x-request-id', '')
        return (
            f'HTTP/1.1 {self.status} X\r\nX-Request-Id: {request_id}\r\n'
            f'X-Response-Signature: {self.instance}.{request_id}\r\n'
            f'Content-Type: text/event-stream\r\n{self.lines}\r\n'
        ).encode()


class LongBodies:
    """A site whose routes take long bodies."""

    def configure(self, config):
        """Configures the site."""
        config = copy.deepcopy(config)
        config['limits']['max_body_bytes'] = 2 * LONGEST_BYTES
        super().configure(config)


class EarlySite(LongBodies, RawSite):
    """One host."""


class EarlyCutSite(LongBodies, CutSite):
    """Three hosts; the others call the workers for the first one."""


async def upload(site, path, size, request_id):
    """Sends a long body slowly; returns status, content and wholeness."""
    headers = {
        'Host': HOST,
        'X-Request-Id': request_id,
        'X-Request-Deadline': '7000',
        'X-Token-Usage': '1000,500',
    }

    async def parts():
        for _ in range(10):
            yield b'x' * (size // 10)
            await asyncio.sleep(0.02)

    content = b''
    async with site.session.post(
        site.url(path), headers=headers, data=parts()
    ) as response:
        try:
            async for data in response.content.iter_any():
                content += data
        except aiohttp.ClientError:
            return response.status, content, False
        return response.status, content, True


def ask(path, size=LONG_BYTES, site_type=EarlySite, **fields):
    """Returns what the caller of an early worker gets, and the worker."""
    name = 'd1' if path.startswith('/once') else 'a1'

    async def main():
        site = site_type(name)
        site.raw[name] = worker = EarlyWorker(name)
        for field, value in fields.items():
            setattr(worker, field, value)
        async with site, asyncio.timeout(WAIT_S):
            caller = PersistentCaller(worker)

            def send(send_id):
                return upload(site, path, size, send_id)

            return await caller.ask('r1', send), worker

    return uvloop.run(main())


def require_lost(received):
    """Requires that a caller knows that its answer is lost."""
    status, content, whole = received
    if status == 200:
        # A stream, which had begun.
        assert not whole
        return
    assert status == 502
    assert json.loads(content)['code'] in (
        Outcome.ANSWER_LOST,
        Outcome.ATTEMPTS_EXHAUSTED,
    )


class TestAnswersThatEndInFrontOfTheirRequests:
    """Without a length and chunks, nothing shows that they are whole."""

    @pytest.mark.parametrize('size', [LONG_BYTES, LONGEST_BYTES])
    @pytest.mark.parametrize('end', EarlyEnd)
    @pytest.mark.parametrize('path', PATHS)
    def test_part_of_an_answer_does_not_look_whole(self, path, end, size):
        received, _ = ask(path, size, early_end=end)
        require_lost(received)

    @pytest.mark.parametrize('end', [EarlyEnd.CLOSED, EarlyEnd.READ_ON])
    def test_answer_of_an_endpoint_of_the_own_interface(self, end):
        async def main():
            worker = EarlyWorker('e1')
            worker.early_end = end
            endpoint = HttpPlainEndpoint(await worker.start())
            headers = (('X-Request-Id', 'r1'),)
            body = b'x' * LONGEST_BYTES
            call = PlainCall('r1', 'POST', '/x', headers, body, 5.0)
            try:
                with pytest.raises(EndpointFailedError):
                    await endpoint.call(call)
            finally:
                await endpoint.close()
                worker.end()

        uvloop.run(main())

    @pytest.mark.parametrize('end', EarlyEnd)
    @pytest.mark.parametrize('path', PATHS)
    def test_part_of_a_forwarded_answer_does_not_look_whole(self, path, end):
        received, _ = ask(path, LONG_BYTES, EarlyCutSite, early_end=end)
        require_lost(received)

    @pytest.mark.parametrize('site_type', [EarlySite, EarlyCutSite])
    @pytest.mark.parametrize('path', PATHS)
    def test_answer_after_a_request_that_was_read_is_whole(
        self, path, site_type
    ):
        received, _ = ask(path, LONG_BYTES, site_type, reads_first=True)
        assert received == (200, EVENTS[0], True)


class TestEarlyAnswersWithALength:
    """What is whole by its length is handed on, whoever has read what."""

    LENGTH = f'Content-Length: {len(EVENTS[0])}\r\n'

    @pytest.mark.parametrize('end', EarlyEnd)
    @pytest.mark.parametrize('status', [200, 401, 413])
    @pytest.mark.parametrize('path', PATHS)
    def test_it_is_handed_on(self, path, status, end):
        received, _ = ask(
            path,
            LONGEST_BYTES,
            lines=self.LENGTH,
            status=status,
            early_end=end,
        )
        assert received == (status, EVENTS[0], True)

    @pytest.mark.parametrize('end', EarlyEnd)
    @pytest.mark.parametrize('path', PATHS)
    def test_it_is_handed_on_in_whole_chunks(self, path, end):
        chunk = b'%x\r\n%b\r\n' % (len(EVENTS[0]), EVENTS[0])
        lines = 'Transfer-Encoding: chunked\r\n'
        whole = (200, EVENTS[0], True)
        for content, expected in ((chunk + b'0\r\n\r\n', True), (chunk, False)):
            received, _ = ask(
                path,
                LONGEST_BYTES,
                lines=lines,
                content=content,
                early_end=end,
            )
            assert (received == whole) is expected

    @pytest.mark.parametrize('path', PATHS)
    def test_refusal_is_not_taken_for_a_run(self, path):
        lines = f'X-Not-Executed: 1\r\n{self.LENGTH}'

        async def main():
            name = 'd1' if path.startswith('/once') else 'a1'
            site = EarlySite(name)
            site.raw[name] = worker = EarlyWorker(name)
            worker.status, worker.lines = 503, lines
            async with site, asyncio.timeout(WAIT_S):
                received = await upload(site, path, LONGEST_BYTES, 'r1')
                require_refusal(*received, 'r1')

        uvloop.run(main())

    @pytest.mark.parametrize('path', PATHS)
    def test_worker_that_reads_on_gets_no_other_bytes(self, path):
        async def main():
            name = 'd1' if path.startswith('/once') else 'a1'
            site = EarlySite(name)
            site.raw[name] = worker = EarlyWorker(name)
            worker.lines, worker.early_end = self.LENGTH, EarlyEnd.READ_ON
            async with site, asyncio.timeout(WAIT_S):
                for number in range(3):
                    await upload(site, path, LONGEST_BYTES, f'r{number}')
                await until(lambda: not worker.open_connections)
                assert worker.other_bytes == b''

        uvloop.run(main())


class TestOtherCalls:
    """Prefills and appends whose answers end in front of their requests."""

    @pytest.mark.parametrize('end', [EarlyEnd.CLOSED, EarlyEnd.READ_ON])
    def test_prefill_has_no_handle(self, end):
        async def main():
            worker = EarlyWorker('p1')
            worker.early_end, worker.content = end, b'{"kv_handle": "k1"}'
            address = await worker.start()
            now = asyncio.get_running_loop().time()
            body = b'x' * LONG_BYTES
            request = RelayRequest('r1', HOST, 'POST', '/x', (), body, now)
            async with make_client(connection_per_call=True) as session:
                listener = unittest.mock.Mock(EndpointListener)
                relay = WorkerRelay(session, address, 'p1', 1.0, listener)
                with pytest.raises(EndpointFailedError):
                    await relay.prefill(RelayCall(request, now + 5.0))
            worker.end()

        uvloop.run(main())

    @pytest.mark.parametrize('end', [EarlyEnd.CLOSED, EarlyEnd.READ_ON])
    def test_append_is_uncertain(self, end):
        async def main():
            worker = EarlyWorker('s1')
            worker.early_end, worker.content = end, b'{"offset": 3}'
            worker.lines = 'Store-Era: 1\r\n'
            client = StoreClient(await worker.start())
            with pytest.raises(LogUncertainError):
                await client.put('t', 'k', b'x' * LONG_BYTES)
            await client.close()
            worker.end()

        uvloop.run(main())
