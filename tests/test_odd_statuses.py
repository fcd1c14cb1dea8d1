"""Answers whose status is none."""

import asyncio
import functools

import pytest
import uvloop

from mustardscale.endpoints.http_plain import HttpPlainEndpoint
from mustardscale.endpoints.http_sessions import (
    REQUEST_ERRORS,
    SendProgress,
    make_session,
)
from mustardscale.endpoints.plain_endpoints import PlainCall
from mustardscale.exceptions import EndpointFailedError
from mustardscale.outcomes import Outcome
from mustardscale.platform.http_client import make_client
from standins.raw_worker import Framing, RawAnswer, RawWorker
from tests.test_broken_answers import ask

STATUSES = ('000', '099', '600', '999', '0', '00', '1000', '100', '101')
PATHS = ('/book/x', '/read/x', '/once/x')


class TestStatusesOfWorkers:
    """They reach no caller, as an answer or as a refusal."""

    @pytest.mark.parametrize('framing', [Framing.LENGTH, Framing.NONE])
    @pytest.mark.parametrize('status', STATUSES)
    @pytest.mark.parametrize('path', PATHS)
    def test_answer_is_lost(self, path, status, framing):
        answer = RawAnswer([b'no ', b'room'], framing, status=status)
        received, content, _ = ask(answer, path)
        assert received == 502
        assert (
            b'%d' % Outcome.ANSWER_LOST in content
            or b'%d' % Outcome.ATTEMPTS_EXHAUSTED in content
        )


class TestStatusesOfOtherServices:
    """Endpoints of the own interface, the store and control calls."""

    @pytest.mark.parametrize('status', STATUSES)
    def test_endpoint_of_the_own_interface_has_failed(self, status):
        async def main():
            answer = RawAnswer([b'x'], Framing.LENGTH, status=status)
            worker = RawWorker('e1', [answer])
            endpoint = HttpPlainEndpoint(await worker.start())
            headers = (('X-Request-Id', 'r1'),)
            call = PlainCall('r1', 'GET', '/x', headers, b'', 2.0)
            try:
                with pytest.raises(EndpointFailedError):
                    await endpoint.call(call)
            finally:
                await endpoint.close()
                worker.end()

        uvloop.run(main())

    @pytest.mark.parametrize('status', ['000', '099', '600', '999'])
    @pytest.mark.parametrize(
        'make',
        [make_session, functools.partial(make_client, False)],
        ids=['usual', 'platform'],
    )
    def test_call_has_no_answer(self, make, status):
        async def serve(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(
                f'HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n{{}}'.encode()
            )
            await writer.drain()
            writer.close()

        async def main():
            server = await asyncio.start_server(serve, '127.0.0.1', 0)
            ip, port = server.sockets[0].getsockname()
            async with make() as session:
                with pytest.raises(REQUEST_ERRORS):
                    await session.post(
                        f'http://{ip}:{port}/x',
                        data=b'order',
                        trace_request_ctx=SendProgress(),
                    )
            server.close()

        uvloop.run(main())
