"""Tests of callers' HTTP over loopback sockets."""

import asyncio
import json

import aiohttp
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from mustardscale.caller_connections import CallerLimits
from mustardscale.callers_http import CallersServer
from mustardscale.chat_completions import parse_chat_request
from mustardscale.exceptions import OutcomeError
from mustardscale.outcomes import Outcome
from mustardscale.plain_endpoints import PlainAnswer
from tests.fake_service import FakeService

BOOKING_ID = '01890a5d-ac96-774b-bcce-b302099a8057'
CHAT = {'model': 'model-a', 'messages': [{'role': 'user', 'content': 'hi'}]}
PATIENCE_S = 10


class Client:
    """A caller of a server with a fake service behind it."""

    def __init__(self, service, session, port):
        self.service = service
        self.port = port
        self._session = session

    async def send(self, method, path, token='lm-token', headers=(), **kwargs):
        headers = {'Authorization': f'Bearer {token}', **dict(headers)}
        url = f'http://127.0.0.1:{self.port}{path}'
        async with self._session.request(
            method, url, headers=headers, **kwargs
        ) as answer:
            return answer.status, answer.headers, await answer.read()

    async def chat(self, body=None, headers=(), **changes):
        body = json.dumps({**CHAT, **changes}) if body is None else body
        return await self.send(
            'POST', '/v1/chat/completions', headers=headers, data=body
        )

    async def raw(self, data):
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        writer.write(data)
        return reader, writer

    async def raw_chat(self, **changes):
        body = json.dumps({**CHAT, 'stream': True, **changes}).encode()
        return await self.raw(chat_head(len(body)) + body)


def chat_head(length):
    return (
        b'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n'
        b'Authorization: Bearer lm-token\r\nContent-Length: %d\r\n\r\n' % length
    )


def served(test, limits=None):
    """Runs a test with a client of a server on loopback."""

    async def run():
        service = FakeService()
        server = CallersServer(service, limits or CallerLimits(), grace_s=1)
        port = await server.start('127.0.0.1', 0)
        async with aiohttp.ClientSession() as session:
            try:
                async with asyncio.timeout(PATIENCE_S):
                    await test(Client(service, session, port))
            finally:
                await server.stop()

    asyncio.run(run())


def code(body):
    return json.loads(body)['code']


def stream_events(body):
    """Returns the events of a stream as (id, event, data)."""
    events = []
    for block in body.decode().strip().split('\n\n'):
        fields = dict(line.split(': ', 1) for line in block.split('\n'))
        events.append((fields.get('id'), fields.get('event'), fields['data']))
    return events


class TestStream:
    """Streamed answers."""

    def test_tokens_ids_and_end(self):
        async def test(client):
            status, headers, body = await client.chat(
                stream=True,
                stream_options={'include_usage': True},
                headers={'Idempotency-Key': 'r:1'},
            )
            events = stream_events(body)
            assert status == 200
            assert headers['X-Request-Id'] == 'r:1'
            ids = [event[0] for event in events]
            assert ids == ['r:1:1', 'r:1:2', 'r:1:2', None, None]
            assert events[-1][2] == '[DONE]'
            chunks = [json.loads(event[2]) for event in events[:-1]]
            deltas = [chunk['choices'][0]['delta'] for chunk in chunks[:3]]
            assert [delta['content'] for delta in deltas] == ['ab', 'c', '']
            assert chunks[2]['choices'][0]['finish_reason'] == 'stop'
            assert chunks[3]['usage']['completion_tokens'] == 3

        served(test)

    def test_resumes_after_the_last_event(self):
        async def test(client):
            client.service.script = [('x',), 'length']
            _, _, body = await client.chat(
                stream=True, headers={'Last-Event-ID': 'r:1:6'}
            )
            request = client.service.language_requests[0]
            assert (request.id, request.resume_after) == ('r:1', 6)
            assert stream_events(body)[0][0] == 'r:1:7'

        served(test)

    @pytest.mark.parametrize(
        ('script', 'expected'),
        [
            ([('a',), OutcomeError(Outcome.ENDPOINT_FAILED)], 2001),
            ([('a',), RuntimeError('bug')], 5900),
            ([('a',), 'preempted'], 2001),
            ([('a',)], 2001),
            ([('a',), 'stop', ('b',)], 5900),
        ],
    )
    def test_a_broken_stream_ends_with_an_error(self, script, expected):
        async def test(client):
            client.service.script = script
            _, _, body = await client.chat(stream=True)
            events = stream_events(body)
            assert events[-1][1] == 'error'
            assert code(events[-1][2]) == expected
            assert '[DONE]' not in body.decode()

        served(test)

    def test_a_wrong_token_index_breaks_the_answer(self):
        async def test(client):
            serve = client.service.serve_language

            async def skip(request):
                async for event in serve(request):
                    if event.index != 0:
                        yield event

            client.service.serve_language = skip
            _, _, body = await client.chat()
            assert code(body) == Outcome.INTERNAL_ERROR

        served(test)


class TestWholeAnswer:
    """Answers that are not streamed."""

    def test_text_and_usage(self):
        async def test(client):
            status, headers, body = await client.chat(max_tokens=9)
            answer = json.loads(body)
            assert status == 200
            assert answer['choices'][0]['message']['content'] == 'abc'
            assert answer['usage']['total_tokens'] == 3 + 3
            request = client.service.language_requests[0]
            assert request.max_tokens == 9
            assert answer['id'] == headers['X-Request-Id'] == request.id

        served(test)

    @pytest.mark.parametrize('stream', [False, True])
    def test_a_refusal_tells_when_to_come_back(self, stream):
        async def test(client):
            refusal = OutcomeError(Outcome.POOL_SATURATED, 'full', 2.2)
            client.service.script = [refusal]
            status, headers, body = await client.chat(stream=stream)
            problem = json.loads(body)
            assert status == 429
            assert headers['Retry-After'] == '3'
            assert headers['Content-Type'] == 'application/problem+json'
            assert problem['code'] == Outcome.POOL_SATURATED
            assert problem['title'] == 'POOL_SATURATED'
            assert (problem['detail'], problem['retry_after']) == ('full', 2.2)

        served(test)


class TestWrongRequests:
    """Requests that are refused, and never with an internal error."""

    @given(st.binary(max_size=60) | st.text(max_size=60).map(str.encode))
    @example(b'{"model":"m","messages":' + b'[' * 100_000)
    @example(json.dumps({**CHAT, 'x': 'y'}).encode()[:-1] + b',"n":1e999}')
    @example(json.dumps({**CHAT, 'max_tokens': 0}).encode())
    @example(json.dumps({**CHAT, 'max_tokens': 10**30}).encode())
    @example(json.dumps({**CHAT, 'max_tokens': float('nan')}).encode())
    @example(json.dumps({**CHAT, 'model': '\ud800'}).encode())
    @example(json.dumps({**CHAT, 'messages': []}).encode())
    @example(b'{"model":"m","messages":[{"role":"u","content":[{"type":1}]}]}')
    def test_bodies(self, body):
        with pytest.raises(OutcomeError) as caught:
            parse_chat_request(body)
        assert caught.value.outcome is Outcome.MALFORMED_REQUEST

    @pytest.mark.parametrize(
        ('headers', 'expected'),
        [
            ({'X-Deadline-Seconds': 'nan'}, Outcome.MALFORMED_REQUEST),
            ({'X-Deadline-Seconds': '1_0'}, Outcome.MALFORMED_REQUEST),
            ({'X-Deadline-Seconds': '0'}, Outcome.MALFORMED_REQUEST),
            ({'X-Deadline-Seconds': '999999'}, Outcome.MALFORMED_REQUEST),
            ({'Idempotency-Key': 'a b'}, Outcome.INVALID_REQUEST_ID),
            ({'Idempotency-Key': 'k' * 129}, Outcome.INVALID_REQUEST_ID),
            ({'Last-Event-ID': 'r:x'}, Outcome.MALFORMED_REQUEST),
            ({'Last-Event-ID': 'r:1'}, Outcome.MALFORMED_REQUEST),
            ({'Authorization': 'Bearer nobody'}, Outcome.UNAUTHENTICATED),
            ({'Authorization': 'Basic lm-token'}, Outcome.UNAUTHENTICATED),
            ({'Authorization': 'Bearer \xff'}, Outcome.UNAUTHENTICATED),
            ({'X-Big': 'x' * 20_000}, Outcome.REQUEST_TOO_LARGE),
            ({f'X-{n}': 'x' * 900 for n in range(20)}, 4004),
        ],
    )
    def test_headers(self, headers, expected):
        async def test(client):
            _, _, body = await client.chat(headers=headers)
            assert code(body) == expected
            assert not client.service.language_requests

        served(test)

    def test_targets(self):
        async def test(client):
            for method, path, expected in [
                ('POST', '/v1/other', Outcome.UNKNOWN_SERVICE),
                ('GET', '/v1/chat/completions', Outcome.MALFORMED_REQUEST),
                ('GET', '/services/none/x', Outcome.UNKNOWN_SERVICE),
                ('GET', '/services/ledger/x', Outcome.FORBIDDEN_BY_PROFILE),
                ('GET', '/services/lm/x', Outcome.FORBIDDEN_BY_PROFILE),
            ]:
                _, _, body = await client.send(method, path)
                assert code(body) == expected
            _, _, body = await client.chat(model='model-b')
            assert code(body) == Outcome.UNKNOWN_SERVICE
            headers = {'Authorization': 'Bearer ledger-token'}
            _, _, body = await client.chat(headers=headers)
            assert code(body) == Outcome.FORBIDDEN_BY_PROFILE

        served(test)

    def test_broken_http(self):
        async def test(client):
            reader, _ = await client.raw(b'\x00\x01 broken\r\n\r\n')
            assert b'"code":4000' in await reader.read()

        served(test)


class TestPlainServices:
    """Requests to plain services."""

    def test_passes_the_request_and_the_answer_on(self):
        async def test(client):
            status, headers, body = await client.send(
                'POST',
                '/services/ledger/lots/a%2Fb?x=1&y',
                'ledger-token',
                {
                    'Idempotency-Key': BOOKING_ID.upper(),
                    'X-Deadline-Seconds': '2.5',
                    'X-Seen': 'yes',
                    'X-Hop': 'no',
                    'Connection': 'X-Hop',
                },
                data=b'book',
            )
            request = client.service.plain_requests[0]
            assert (status, body) == (200, b'lot 7')
            assert headers['X-Kept'] == '1'
            assert (request.id, request.idempotent) == (BOOKING_ID, False)
            assert request.path == '/lots/a%2Fb?x=1&y'
            assert (request.body, request.timeout_s) == (b'book', 2.5)
            passed = dict(request.headers)
            assert passed['X-Seen'] == 'yes'
            assert not {'X-Hop', 'Authorization', 'Host'} & set(passed)

        served(test)

    @pytest.mark.parametrize('key', ['', 'mine', BOOKING_ID[:-1], '0' * 36])
    def test_a_booking_needs_an_id_that_carries_its_time(self, key):
        async def test(client):
            headers = {'Idempotency-Key': key} if key else {}
            _, _, body = await client.send(
                'POST', '/services/ledger/lots', 'ledger-token', headers
            )
            assert code(body) == Outcome.INVALID_REQUEST_ID
            assert not client.service.plain_requests

        served(test)

    def test_a_lookup_gets_an_id(self):
        async def test(client):
            path = '/services/ledger/lots'
            _, headers, _ = await client.send('GET', path, 'ledger-token')
            request = client.service.plain_requests[0]
            assert request.idempotent
            assert headers['X-Request-Id'] == request.id

        served(test)

    def test_a_status_that_is_no_answer(self):
        async def test(client):
            client.service.plain_answer = PlainAnswer(101, (), b'')
            path = '/services/ledger/lots'
            status, _, body = await client.send('GET', path, 'ledger-token')
            assert (status, code(body)) == (502, Outcome.PLAIN_SERVICE_FAILED)

        served(test)


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
