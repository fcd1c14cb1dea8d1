"""Tests of callers' HTTP over loopback sockets."""

import json

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from mustardscale.callers.chat_completions import parse_chat_request
from mustardscale.exceptions import OutcomeError
from mustardscale.outcomes import Outcome
from tests.callers_client import (
    CHAT,
    chat_head,
    code,
    served,
    stream_events,
)


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


class TestEndMark:
    """Ends that leave tokens out."""

    @pytest.mark.parametrize('stream', [False, True])
    def test_end_after_missing_tokens_is_no_end_of_a_whole_answer(self, stream):
        async def test(client):
            client.service.script = [('a', 'b'), ('c',), 'stop']
            serve = client.service.serve_language

            async def lose_a_token(request):
                async for event in serve(request):
                    if event.index != 2:
                        yield event

            client.service.serve_language = lose_a_token
            _, _, body = await client.chat(stream=stream)
            assert b'[DONE]' not in body
            problem = stream_events(body)[-1][2] if stream else body
            assert json.loads(problem).get('code') == Outcome.INTERNAL_ERROR

        served(test)


class TestResumedStream:
    """Requests that would join two answers, or look whole without a start."""

    def test_key_of_another_request_is_refused(self):
        async def test(client):
            headers = {'Last-Event-ID': 'r:1:6', 'Idempotency-Key': 'r:2'}
            _, _, body = await client.chat(stream=True, headers=headers)
            assert code(body) == Outcome.MALFORMED_REQUEST
            assert not client.service.language_requests

        served(test)

    def test_key_of_the_same_request_is_taken(self):
        async def test(client):
            headers = {'Last-Event-ID': 'r:1:6', 'Idempotency-Key': 'r:1'}
            _, _, body = await client.chat(stream=True, headers=headers)
            assert stream_events(body)[0][0] == 'r:1:8'

        served(test)

    def test_whole_answer_is_not_resumed(self):
        async def test(client):
            headers = {'Last-Event-ID': 'r:1:6'}
            _, _, body = await client.chat(headers=headers)
            assert code(body) == Outcome.MALFORMED_REQUEST
            assert not client.service.language_requests

        served(test)


class TestStreamOverHttp10:
    """Streams that only the end of the connection delimits."""

    def test_whole_stream_ends_with_its_end_mark(self):
        async def test(client):
            assert stream_events(await _read_http10(client))[-1][2] == '[DONE]'

        served(test)

    @pytest.mark.parametrize(
        'script', [[('a',), OutcomeError(Outcome.ENDPOINT_FAILED)], [('a',)]]
    )
    def test_broken_stream_ends_with_an_error(self, script):
        async def test(client):
            client.service.script = script
            body = await _read_http10(client)
            assert stream_events(body)[-1][1] == 'error'
            assert b'[DONE]' not in body

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


async def _read_http10(client):
    """Returns the content of a stream over HTTP/1.0."""
    body = json.dumps({**CHAT, 'stream': True}).encode()
    head = chat_head(len(body)).replace(b'HTTP/1.1', b'HTTP/1.0')
    reader, writer = await client.raw(head + body)
    head, _, content = (await reader.read()).partition(b'\r\n\r\n')
    writer.close()
    assert b'Transfer-Encoding' not in head
    assert b'Content-Length' not in head
    return content
