"""Tests of the limits on callers, over loopback sockets."""

import asyncio
import contextlib

import pytest

from mustardscale.callers.caller_connections import (
    REFUSED_CONNECTIONS,
    CallerLimits,
)
from mustardscale.callers.callers_http import CallersServer
from mustardscale.outcomes import Outcome
from tests.callers_client import (
    PATIENCE_S,
    Client,
    chat_head,
    code,
    served,
)
from tests.fake_service import FakeService


class TestLimits:
    """Callers that leave, are slow, or do not stop."""

    def test_a_caller_that_leaves_the_queue_is_noticed(self):
        async def test(client):
            client.service.script = [asyncio.Event()]
            _, writer = await client.raw_chat()
            await client.service.started.wait()
            writer.close()
            await client.service.closed.wait()

        served(test)

    @pytest.mark.parametrize('size', [1_000, 1_000_000])
    def test_a_caller_that_does_not_read_is_cut_off(self, size):
        async def test(client):
            client.service.script = [('x' * size,)] * (50_000_000 // size)
            _, writer = await client.raw_chat()
            await client.service.closed.wait()
            writer.close()

        served(test, CallerLimits(write_timeout_s=0.2))

    def test_a_slow_body_is_refused(self):
        async def test(client):
            reader, _ = await client.raw(chat_head(50) + b'{')
            answer = await reader.read()
            assert answer.startswith(b'HTTP/1.1 408 ')
            assert b'"code":4005' in answer

        served(test, CallerLimits(body_timeout_s=0.1))

    @pytest.mark.parametrize(
        'first', [b'', b'GET /x HTTP/1.1\r\nHost: x\r\n\r\n']
    )
    def test_slow_headers_are_refused(self, first):
        async def test(client):
            reader, writer = await client.raw(first)
            if first:
                await reader.readuntil(b'"code":4001')
            writer.write(b'GET / HTTP/1.1\r\nX-Slow: ')
            assert b'"code":4005' in await reader.read()

        served(test, CallerLimits(header_timeout_s=0.1))

    @pytest.mark.parametrize('line', [b'X: x\r\n' * 999, b'X:' + b'x' * 20_000])
    def test_endless_headers_are_refused(self, line):
        async def test(client):
            reader, _ = await client.raw(b'GET / HTTP/1.1\r\n' + line)
            assert b'"code":4004' in await reader.read()

        served(test)

    @pytest.mark.parametrize('chunked', [False, True])
    def test_a_large_body_is_refused(self, chunked):
        async def test(client):
            async def chunks():
                yield b' ' * 60
                yield b' ' * 60

            body = chunks() if chunked else ' ' * 120
            status, _, answer = await client.chat(body)
            assert (status, code(answer)) == (413, Outcome.REQUEST_TOO_LARGE)

        served(test, CallerLimits(body_bytes=100))

    def test_stopping_cuts_off_no_stream(self):
        async def run():
            service = FakeService()
            server = CallersServer(service, CallerLimits(), PATIENCE_S)
            port = await server.start('127.0.0.1', 0)
            gate = asyncio.Event()
            service.script = [('a',), gate, ('b',), 'stop']
            client = Client(service, None, port)
            reader, _ = await client.raw_chat()
            await service.started.wait()
            stopping = asyncio.ensure_future(server.stop())
            await asyncio.sleep(0)
            gate.set()
            assert (await reader.read()).endswith(b'[DONE]\n\n\r\n0\r\n\r\n')
            await stopping

        asyncio.run(run())


class TestConnections:
    """More callers than a host may have."""

    def test_one_too_many_is_refused_until_another_has_left(self):
        async def test(client):
            client.service.script = [asyncio.Event()]
            _, writer = await client.raw_chat()
            await client.service.started.wait()
            status, headers, body = await client.chat()
            assert (status, code(body)) == (503, Outcome.HOST_OVERLOADED)
            assert headers['Connection'] == 'close'
            assert int(headers['Retry-After']) > 0
            assert len(client.service.language_requests) == 1
            writer.close()
            await client.service.closed.wait()
            client.service.script = ['stop']
            status, _, _ = await client.chat()
            assert status == 200

        served(test, CallerLimits(connections=1))

    def test_beyond_the_refused_ones_they_are_cut_off(self):
        async def test(client):
            open_ones = [
                await client.raw(b'') for _ in range(1 + REFUSED_CONNECTIONS)
            ]
            reader, _ = await client.raw(b'')
            with contextlib.suppress(ConnectionError):
                assert await reader.read() == b''
            # The first stays, the refused ones are cut off in the end.
            for reader, _ in open_ones[1:]:
                assert b'"code":4005' in await reader.read()
            _, writer = open_ones[0]
            assert not writer.is_closing()

        served(test, CallerLimits(connections=1))


class TestBodies:
    """The memory that bodies take."""

    def test_bodies_are_counted_until_their_requests_end(self):
        async def test(client):
            gate = asyncio.Event()
            client.service.script = [gate, 'stop']
            first = asyncio.ensure_future(client.chat(stream=True))
            await client.service.started.wait()
            _, _, body = await client.chat()
            assert code(body) == Outcome.HOST_OVERLOADED
            gate.set()
            status, _, _ = await first
            assert status == 200
            status, _, _ = await client.chat()
            assert status == 200

        served(test, CallerLimits(all_bodies_bytes=150))

    def test_refused_and_broken_bodies_are_counted_no_longer(self):
        async def test(client):
            for _ in range(5):
                _, _, body = await client.chat('{' + ' ' * 100)
                assert code(body) == Outcome.MALFORMED_REQUEST
                _, writer = await client.raw(chat_head(100) + b' ' * 90)
                writer.close()
            # A caller's loss is noticed soon; served() bounds the wait.
            while (await client.chat())[0] != 200:
                pass

        served(test, CallerLimits(all_bodies_bytes=150))
