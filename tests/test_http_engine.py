"""Tests of mustardscale.endpoints.http_engine against the engine stand-in."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import aiohttp
import pytest
from aiohttp import web

from mustardscale.endpoints import engines
from mustardscale.endpoints.caller_requests import prompt_from_text
from mustardscale.endpoints.engines import (
    DecodeCall,
    EngineOrder,
    EngineRole,
    PrefillCall,
    StreamTag,
    TokenEvent,
)
from mustardscale.endpoints.event_stream import EventStreamDecoder
from mustardscale.endpoints.http_engine import HttpEngine
from mustardscale.exceptions import (
    EndpointFailedError,
    EndpointRefusedError,
    EndpointUnreachableError,
)
from standins import serving
from standins.engine_parameters import EngineParameters
from standins.engine_server import EngineServer
from standins.expected_answers import expected_tokens, output_length
from standins.weight_store_model import WeightStoreConditions, WeightStoreModel
from standins.weight_store_server import make_weight_store_application

PROMPT = prompt_from_text('Which lots carry a warrant? ' * 100)
LENGTH = output_length(PROMPT.fingerprint, 5000)
# Seconds after which a test that hangs fails.
HANG_S = 10.0
FAST = {
    'prefill_tokens_per_s': 1e6,
    'step_base_s': 0.001,
    'step_per_stream_s': 0.0,
    'restart_s': 0.3,
}


class Engines:
    """A prefill and a decode engine on loopback sockets."""

    def __init__(self, session, prefill, decode):
        self.session = session
        self.prefill_server, self.decode_server = prefill, decode
        self.prefill = HttpEngine(session, prefill.address)
        self.decode = HttpEngine(session, decode.address)

    async def compute(self, request_id='a', prompt=PROMPT) -> DecodeCall:
        tag = StreamTag(request_id, 1, 'host', 1)
        call = PrefillCall(tag, 'model', prompt)
        result = await self.prefill.prefill(call)
        source = self.prefill_server.address
        return DecodeCall(tag, 'model', result.kv_id, source, prompt, 0, 5000)

    async def set_faults(self, server, **faults):
        url = f'{server.address}/faults'
        async with self.session.post(url, json=faults) as response:
            assert response.status == 200


@contextlib.asynccontextmanager
async def running_engines(**settings):
    servers = []
    session = aiohttp.ClientSession()
    try:
        for role in (EngineRole.PREFILL, EngineRole.DECODE):
            parameters = EngineParameters(role=role, **FAST | settings)
            server = EngineServer(parameters, '127.0.0.1', 0)
            await server.start()
            servers.append(server)
        yield Engines(session, *servers)
    finally:
        await session.close()
        for server in servers:
            await server.stop()


async def read_texts(events) -> tuple[str, ...]:
    texts: list[str] = []
    async for event in events:
        texts += event.texts
    return tuple(texts)


class TestHttpEngine:
    """The Engine interface over real sockets."""

    def test_whole_answer_and_resume(self):
        async def check():
            async with running_engines() as engine:
                call = await engine.compute()
                events = engine.decode.decode(call)
                async with contextlib.aclosing(events):
                    first = await anext(events)
                rest = await read_texts(engine.decode.resume('a', 1, 1))
                wanted = expected_tokens(PROMPT.fingerprint, 0, LENGTH)
                assert first.texts + rest == wanted
                url = f'{engine.decode_server.address}/counters'
                async with engine.session.get(url) as response:
                    state = await response.json()
                assert state['pieces_used'] == 0
                assert state['counters']['executions_by_request'] == {'a': 1}

        asyncio.run(check())

    def test_control_calls(self):
        async def check():
            async with running_engines(
                order_s=0.0, cache_event_delay_s=0.0, cache_event_loss=0.0
            ) as engine:
                await engine.compute()
                events = await engine.prefill.cache_events(0)
                hashes = {event.block_hash for event in events}
                assert hashes == set(PROMPT.block_hashes)
                infos = await engine.prefill.streams()
                assert [info.tag.request_id for info in infos] == ['a']
                await engine.prefill.cancel('a', 1)
                assert await engine.prefill.streams() == []
                report = await engine.prefill.report()
                assert report.role is EngineRole.PREFILL
                order = EngineOrder(5, EngineRole.DECODE, 'other')
                await engine.prefill.order(order)
                with pytest.raises(EndpointRefusedError) as caught:
                    await engine.prefill.order(
                        EngineOrder(4, EngineRole.PREFILL, 'model')
                    )
                assert caught.value.reason == engines.REFUSED_FENCED

        asyncio.run(check())

    def test_refusals_carry_their_reason(self):
        async def check():
            async with running_engines() as engine:
                call = await engine.compute()
                await engine.prefill.cancel('a', 1)
                with pytest.raises(EndpointRefusedError) as caught:
                    await read_texts(engine.decode.decode(call))
                assert caught.value.reason == engines.REFUSED_KV_EVICTED
                with pytest.raises(EndpointRefusedError) as caught:
                    await read_texts(engine.decode.resume('x', 1, 0))
                assert caught.value.reason == engines.REFUSED_UNKNOWN_STREAM
                await engine.set_faults(engine.prefill_server, leaving=True)
                with pytest.raises(EndpointRefusedError) as caught:
                    await engine.compute('b')
                assert caught.value.reason == engines.REFUSED_LEAVING

        asyncio.run(check())

    def test_crash_ends_streams_and_the_engine_restarts(self):
        async def check():
            async with running_engines(step_base_s=0.05) as engine:
                events = engine.decode.decode(await engine.compute())
                await anext(events)
                await engine.set_faults(engine.decode_server, kill=True)
                with pytest.raises(EndpointFailedError) as caught:
                    await read_texts(events)
                assert caught.value.crashed
                with pytest.raises(EndpointUnreachableError):
                    await engine.decode.report()
                await engine.decode_server.serving.wait()
                assert (await engine.decode.report()).start == 2

        asyncio.run(check())

    def test_second_crash_while_down(self):
        async def check():
            async with running_engines() as engine:
                server = engine.decode_server
                server.model.kill(60.0)
                server.model.kill(0.0)
                await asyncio.wait_for(server.serving.wait(), HANG_S)
                assert (await engine.decode.report()).start == 3

        asyncio.run(check())

    def test_model_is_loaded_from_the_weight_store(self):
        async def check():
            store = WeightStoreModel(WeightStoreConditions(weight_bytes=1))
            listener = serving.Listener(
                make_weight_store_application(store), '127.0.0.1', 0
            )
            await listener.open()
            address = f'127.0.0.1:{listener.port}'
            server = EngineServer(
                EngineParameters(order_s=0.0, report_lag_s=0.01),
                '127.0.0.1',
                0,
                address,
            )
            await server.start()
            order = EngineOrder(1, EngineRole.DECODE, 'other', '2')
            await server.model.order(order)
            await server.model.orders_settled()
            assert server.model.current_report().model == 'other'
            assert store.counters.loads == 1
            await server.stop()
            await listener.close()

        asyncio.run(check())

    def test_marked_prompt_crashes_the_engine(self):
        async def check():
            async with running_engines() as engine:
                marked = prompt_from_text('CRASH-ENDPOINT')
                with pytest.raises(EndpointFailedError) as caught:
                    await engine.compute('a', marked)
                assert caught.value.crashed

        asyncio.run(check())


class TestEventStream:
    """Lines that arrive in parts."""

    def test_line_counts_once_and_only_when_it_is_whole(self):
        decoder = EventStreamDecoder()
        assert decoder.feed(b'data: a') == []
        assert decoder.feed(b'\n\ndata: b') == [b'a']
        assert decoder.feed(b'\n\n') == [b'b']

    def test_end_mark_without_the_end_of_its_line_does_not_count(self):
        last = (
            b'{"request_id":"a","attempt":1,"index":0,"finish_reason":"stop"}'
        )

        async def answer(request):
            return web.Response(body=b'data: ' + last)

        async def check(engine):
            with pytest.raises(EndpointFailedError):
                await read_texts(engine.resume('a', 1, 0))

        _run_against(answer, check)


class TestErrors:
    """Answers that do not conform to the interface, and missing ones."""

    def test_nothing_listens(self):
        async def check():
            with socket.socket() as bound:
                bound.bind(('127.0.0.1', 0))
                address = f'http://127.0.0.1:{bound.getsockname()[1]}'
                async with aiohttp.ClientSession() as session:
                    with pytest.raises(EndpointUnreachableError):
                        await HttpEngine(session, address).report()

        asyncio.run(check())

    @pytest.mark.parametrize(
        ('status', 'body'),
        [
            (200, b'{"role": 1}'),
            (200, b'\xff\xfe'),
            (409, b'not json'),
            (500, b''),
            (200, b'x' * (5 * 1024 * 1024)),
        ],
    )
    def test_unreadable_answers(self, status, body):
        async def answer(request):
            return web.Response(status=status, body=body)

        async def check(engine):
            with pytest.raises(EndpointFailedError) as caught:
                await engine.report()
            assert not caught.value.crashed

        _run_against(answer, check)

    def test_malformed_events_are_dropped(self, caplog):
        good = b'{"request_id":"a","attempt":1,"index":0,"texts":["x"]'

        async def answer(request):
            lines = (b'data: {"index":"one"}', b': comment', b'data: \xff')
            last = b'data: ' + good + b',"finish_reason":"stop"}'
            return web.Response(body=b'\n\n'.join((*lines, last, b'')))

        async def check(engine):
            events = [event async for event in engine.resume('a', 1, 0)]
            assert events == [TokenEvent('a', 1, 0, ('x',), 'stop')]

        _run_against(answer, check)
        codes = [record.code for record in caplog.records]
        assert codes == [5201, 5201]

    @pytest.mark.parametrize('body', [b'', b'data: ' + b'x' * 300_000])
    def test_truncated_or_endless_streams_fail(self, body):
        async def answer(request):
            return web.Response(body=body)

        async def check(engine):
            with pytest.raises(EndpointFailedError):
                await read_texts(engine.resume('a', 1, 0))

        _run_against(answer, check)


def _run_against(answer, check):
    """Runs a check against a server that answers all calls alike."""

    async def run():
        app = web.Application()
        app.router.add_route('*', '/{path:.*}', answer)
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        port = runner.addresses[0][1]
        async with aiohttp.ClientSession() as session:
            await check(HttpEngine(session, f'http://127.0.0.1:{port}'))
        await runner.cleanup()

    asyncio.run(run())
