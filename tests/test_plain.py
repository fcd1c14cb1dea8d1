"""Tests of the plain service's stand-in and its clients."""

import asyncio
import contextlib
import random
import socket

import async_solipsism
import msgspec
import pytest

from mustardscale.endpoints.http_plain import HttpPlainEndpoint, PlainLimits
from mustardscale.endpoints.plain_endpoints import PlainCall
from mustardscale.exceptions import (
    EndpointFailedError,
    EndpointRefusedError,
    EndpointUnreachableError,
    OutcomeError,
)
from mustardscale.outcomes import Outcome
from standins.memory_network import MemoryNetwork
from standins.plain_inprocess import MemoryPlainEndpoint
from standins.plain_model import (
    CRASH_MARK,
    CrashPoint,
    PlainConditions,
    PlainModel,
)
from standins.plain_server import CrashingListener


def make_call(request_id='r1', method='POST', body=b'x', **changes):
    values = {'path': '/book?seat=1', 'headers': (), 'timeout_s': 0.5}
    values.update(changes)
    return PlainCall(request_id, method, body=body, **values)


def run_model(scenario, capacity=64, **conditions):
    async def with_model():
        rng = random.Random(5)
        model = PlainModel(rng, PlainConditions(**conditions), capacity)
        await scenario(MemoryPlainEndpoint(model), model)

    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        runner.run(with_model())


def run_server(scenario, limits=None, **conditions):
    async def with_server():
        model = PlainModel(random.Random(5), PlainConditions(**conditions))
        listener = CrashingListener(model, '127.0.0.1', 0)
        await listener.open()
        address = f'127.0.0.1:{listener.port}'
        endpoint = HttpPlainEndpoint(address, limits)
        try:
            await scenario(endpoint, model)
        finally:
            model.conditions.frozen = False
            await endpoint.close()
            await listener.close()

    asyncio.run(with_server())


async def assert_faults_are_told(endpoint, model):
    """The same faults have the same meaning in process and over HTTP."""
    executions_by_id = model.counters.executions_by_id
    answer = await endpoint.call(make_call('ok'))
    assert msgspec.json.decode(answer.body)['id'] == 'ok'
    model.conditions.leaving = True
    with pytest.raises(EndpointRefusedError):
        await endpoint.call(make_call('left'))
    model.conditions.leaving = False
    model.conditions.lose_next_answers = 1
    with pytest.raises(EndpointFailedError):
        await endpoint.call(make_call('lost', 'GET', b''))
    model.conditions.frozen = True
    with pytest.raises(EndpointFailedError) as caught:
        await endpoint.call(make_call('frozen', timeout_s=0.1))
    assert not caught.value.crashed
    model.conditions.frozen = False
    await asyncio.sleep(0.2)
    model.conditions.restart_s = 0.2
    with pytest.raises(EndpointFailedError) as caught:
        await endpoint.call(make_call('crash', body=CRASH_MARK))
    assert caught.value.crashed
    with pytest.raises(EndpointUnreachableError):
        await endpoint.call(make_call('down'))
    await asyncio.sleep(0.5)
    await endpoint.call(make_call('ok'))
    assert executions_by_id == {'ok': 2, 'lost': 1, 'frozen': 1}


class TestMemoryPlainEndpoint:
    """The model counts executions; its client tells what is known."""

    def test_faults(self):
        run_model(assert_faults_are_told)

    def test_crash_fails_what_runs_and_what_waits(self):
        async def scenario(endpoint, model):
            tasks = []
            for name in ('crash', 'running', 'waiting'):
                body = CRASH_MARK if name == 'crash' else b''
                call = make_call(name, body=body, timeout_s=9)
                tasks.append(asyncio.create_task(endpoint.call(call)))
                await asyncio.sleep(0.1)
            results = await asyncio.gather(*tasks, return_exceptions=True)
            kinds = [type(result) for result in results]
            assert kinds == [EndpointFailedError] * 3
            executed = set(model.counters.executions_by_id)
            assert executed == {'crash', 'running'}
            assert model.counters.running == 0

        run_model(
            scenario,
            capacity=2,
            latency_s=1,
            crash_point=CrashPoint.AFTER_EXECUTION,
        )

    def test_calls_over_capacity_wait(self):
        async def scenario(endpoint, model):
            calls = [endpoint.call(make_call(str(n))) for n in range(6)]
            await asyncio.gather(*calls)
            assert 0.3 <= asyncio.get_running_loop().time() < 0.31

        run_model(scenario, capacity=2, latency_s=0.1)

    def test_cut_host(self):
        async def scenario(endpoint, model):
            endpoint.network = MemoryNetwork(reachable=lambda: False)
            with pytest.raises(EndpointUnreachableError):
                await endpoint.call(make_call())
            assert model.counters.executions_by_id == {}

        run_model(scenario)


async def count_requests_on_breaking_server(method):
    """Sends two calls to a server that breaks off at the second.

    Returns:
        the requests that the server received and the error of the second.
    """
    received = []

    async def serve(reader, writer):
        while head := await reader.readuntil(b'\r\n\r\n'):
            received.append(head)
            if len(received) > 1:
                break
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
        writer.transport.abort()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    endpoint = HttpPlainEndpoint(f'127.0.0.1:{port}')
    try:
        await endpoint.call(make_call('first', method, b''))
        with pytest.raises(EndpointFailedError) as caught:
            await endpoint.call(make_call('second', method, b''))
    finally:
        await endpoint.close()
        server.close()
    return received, caught.value


class TestHttpPlainEndpoint:
    """The client tells not sent from lost, and sends each call once."""

    def test_faults(self):
        run_server(assert_faults_are_told)

    @pytest.mark.parametrize('method', ['GET', 'PUT', 'DELETE', 'POST'])
    def test_broken_kept_connection_is_not_sent_again(self, method):
        received, error = asyncio.run(count_requests_on_breaking_server(method))
        assert [b'second' in head for head in received] == [False, True]
        assert error.crashed

    def test_silent_address_is_unreachable(self):
        async def scenario():
            with contextlib.ExitStack() as stack:
                server = stack.enter_context(socket.socket())
                server.bind(('127.0.0.1', 0))
                server.listen(0)
                # With the queue of connections full, attempts get no answer.
                for _ in range(3):
                    filler = stack.enter_context(socket.socket())
                    filler.setblocking(False)
                    filler.connect_ex(server.getsockname())
                port = server.getsockname()[1]
                endpoint = HttpPlainEndpoint(f'127.0.0.1:{port}')
                with pytest.raises(EndpointUnreachableError):
                    await endpoint.call(make_call(timeout_s=0.2))
                await endpoint.close()

        asyncio.run(scenario())

    def test_drops_hop_by_hop_headers(self):
        async def scenario():
            heads = []

            async def serve(reader, writer):
                heads.append(await reader.readuntil(b'\r\n\r\n'))
                writer.write(
                    b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Own: b\r\n'
                    b'Connection: close, X-Hop\r\nX-Hop: 1\r\n\r\n'
                )
                writer.close()

            server = await asyncio.start_server(serve, '127.0.0.1', 0)
            port = server.sockets[0].getsockname()[1]
            endpoint = HttpPlainEndpoint(f'127.0.0.1:{port}')
            headers = (
                ('Connection', 'X-Secret'),
                ('X-Secret', '1'),
                ('TE', 'trailers'),
                ('X-Own', 'a'),
                ('Idempotency-Key', 'forged'),
            )
            answer = await endpoint.call(make_call('r7', headers=headers))
            await endpoint.close()
            server.close()
            assert dict(answer.headers) == {
                'X-Own': 'b',
            }
            head = heads[0].decode().lower()
            assert 'x-own: a\r\nidempotency-key: r7\r\n' in head
            for dropped in ('secret', 'te: ', 'forged', 'user-agent'):
                assert dropped not in head

        asyncio.run(scenario())

    def test_broken_off_answer_is_failed(self):
        async def scenario():
            async def serve(reader, writer):
                await reader.readuntil(b'\r\n\r\n')
                writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n1')
                writer.close()

            server = await asyncio.start_server(serve, '127.0.0.1', 0)
            port = server.sockets[0].getsockname()[1]
            endpoint = HttpPlainEndpoint(f'127.0.0.1:{port}')
            with pytest.raises(EndpointFailedError) as caught:
                await endpoint.call(make_call())
            assert caught.value.crashed
            await endpoint.close()
            server.close()

        asyncio.run(scenario())

    def test_limits(self):
        async def scenario(endpoint, model):
            for call, outcome in (
                (make_call(body=b'x' * 101), Outcome.REQUEST_TOO_LARGE),
                (
                    make_call(headers=(('A', 'x' * 300),)),
                    Outcome.REQUEST_TOO_LARGE,
                ),
                (
                    make_call(headers=(('A', 'x\r\nB: 1'),)),
                    Outcome.MALFORMED_REQUEST,
                ),
                (
                    make_call(headers=(('A', '\udcff'),)),
                    Outcome.MALFORMED_REQUEST,
                ),
                (make_call(path='x y'), Outcome.MALFORMED_REQUEST),
            ):
                with pytest.raises(OutcomeError) as caught:
                    await endpoint.call(call)
                assert caught.value.outcome is outcome
            assert model.counters.executions_by_id == {}
            with pytest.raises(EndpointFailedError):
                await endpoint.call(make_call(path='/' + 'y' * 100))

        run_server(scenario, PlainLimits(header_bytes=300, body_bytes=100))
