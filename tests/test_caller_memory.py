"""Tests of what one connection and one body may take, over loopback."""

import asyncio
import contextlib
import json

import pytest

from mustardscale.callers.body_memory import STALLED_S
from mustardscale.callers.caller_connections import CallerLimits
from mustardscale.callers.caller_refusals import CallerRefusals
from mustardscale.callers.callers_http import CallersServer
from mustardscale.callers.held_answers import UNREAD_S, HeldAnswers
from mustardscale.endpoints.plain_endpoints import PlainAnswer
from mustardscale.outcomes import Outcome
from tests.callers_client import BOOKING_ID, CHAT, chat_head, code, served

PLAIN_HEAD = (
    b'PUT /services/ledger/x HTTP/1.1\r\nHost: x\r\n'
    b'Authorization: Bearer ledger-token\r\n'
    b'Idempotency-Key: ' + BOOKING_ID.encode() + b'\r\n'
)
BODY_SIZES = (0, 1, 70_000, 3, 20_000, 0, 16_384)


def plain(body, *headers):
    """Returns a request to a plain service."""
    lines = b''.join(line + b'\r\n' for line in headers)
    length = b'Content-Length: %d\r\n\r\n' % len(body)
    return PLAIN_HEAD + lines + length + body


def chunked(body, size):
    """Returns a request whose body comes in chunks of a size."""
    chunks = [body[n : n + size] for n in range(0, len(body), size)]
    framed = b''.join(b'%x\r\n%b\r\n' % (len(c), c) for c in chunks)
    head = PLAIN_HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
    return head + framed + b'0\r\n\r\n'


class TestPipelining:
    """Requests that come before earlier answers lose nothing and wait."""

    @pytest.mark.parametrize('piece', [1 << 20, 16_384, 1_000, 37])
    def test_all_are_answered_whatever_the_pieces(self, piece):
        bodies = [bytes([65 + n]) * size for n, size in enumerate(BODY_SIZES)]

        async def test(client):
            sent = b''.join(
                chunked(body, 1_000) if number % 2 else plain(body)
                for number, body in enumerate(bodies * 3)
            )
            reader, writer = await client.raw(b'')

            async def write():
                for start in range(0, len(sent), piece):
                    writer.write(sent[start : start + piece])
                    await writer.drain()

            writing = asyncio.ensure_future(write())
            for _ in bodies * 3:
                await reader.readuntil(b'lot 7')
            await writing
            requests = client.service.plain_requests
            assert [r.body for r in requests] == bodies * 3

        served(test)

    def test_transport_is_paused_while_answers_wait(self):
        async def test(client):
            gate = asyncio.Event()
            client.service.script = [gate, 'stop']
            body = json.dumps(CHAT).encode()
            one = chat_head(len(body)) + body
            reader, writer = await client.raw(one)
            await client.service.started.wait()
            writer.write(one * 100_000)
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.5):
                    await writer.drain()
            assert len(client.service.language_requests) == 1
            gate.set()
            await reader.readuntil(b'"usage"')
            writer.transport.abort()

        served(test)


class TestHeads:
    """A head is bounded as it arrives, and a legal one always passes."""

    def test_largest_legal_head_passes(self):
        async def test(client):
            lines = [b'X-%d: ' % n + b'a' * 900 for n in range(17)]
            query = b'/services/ledger/x?' + b'q' * 16_000
            sent = plain(b'', *lines).replace(b'/services/ledger/x', query)
            reader, _ = await client.raw(sent)
            await reader.readuntil(b'lot 7')

        served(test)

    @pytest.mark.parametrize(
        'filler', [b'\r\n', b'X: ' + b'a' * 990 + b'\r\n', b'a']
    )
    def test_head_without_end_is_cut_off(self, filler):
        async def test(client):
            reader, writer = await client.raw(b'')
            with pytest.raises(ConnectionError):
                while not reader.at_eof():
                    writer.write(filler * (10_000 // len(filler)))
                    await writer.drain()
                raise ConnectionError
            assert await client.send(
                'GET', '/services/ledger/x', 'ledger-token'
            )

        served(test)

    def test_chunks_that_are_mostly_framing_are_refused(self):
        async def test(client):
            reader, _ = await client.raw(chunked(b'a' * 200_000, 1))
            # What is still on its way may make the system reset the answer.
            with contextlib.suppress(ConnectionError):
                assert b'"code":4000' in await reader.read()
            assert not client.service.plain_requests

        served(test)

    @pytest.mark.parametrize(('size', 'chunk'), [(3_000, 1), (200_000, 64)])
    def test_ordinary_chunks_pass(self, size, chunk):
        async def test(client):
            reader, _ = await client.raw(chunked(b'a' * size, chunk))
            await reader.readuntil(b'lot 7')

        served(test)


class TestBodies:
    """Room is reserved by the declared length, for those that make progress."""

    LIMITS = CallerLimits(all_bodies_bytes=150)

    def test_body_without_room_is_refused_before_it_comes(self):
        async def test(client):
            _, waiting = await client.raw(chat_head(100))
            await asyncio.sleep(STALLED_S / 5)
            reader, _ = await client.raw(chat_head(100))
            answer = await reader.readuntil(b'"code":1015')
            assert answer.startswith(b'HTTP/1.1 503 ')
            assert b'\r\nRetry-After: 1\r\n' in answer
            waiting.close()

        served(test, self.LIMITS)

    def test_body_without_progress_makes_room(self):
        async def test(client):
            reader, waiting = await client.raw(chat_head(100) + b'{')
            await asyncio.sleep(STALLED_S * 1.1)
            status, _, _ = await client.chat()
            assert status == 200
            answer = await reader.readuntil(b'"code":4005')
            assert answer.startswith(b'HTTP/1.1 408 ')
            assert len(client.service.language_requests) == 1
            waiting.close()

        served(test, self.LIMITS)

    def test_body_alone_has_room_whatever_its_size(self):
        async def test(client):
            status, _, body = await client.chat('{' + ' ' * 1_000)
            assert (status, code(body)) == (400, Outcome.MALFORMED_REQUEST)
            assert (await client.chat())[0] == 200

        served(test, self.LIMITS)


class TestAnswers:
    """Answers that nobody reads end when others need their memory."""

    def test_the_oldest_unread_is_cut_off(self):
        async def test(client):
            client.service.plain_answer = PlainAnswer(200, (), b'a' * 8_000_000)
            reader, writer = await client.raw(plain(b''))
            await reader.read(1)
            await asyncio.sleep(UNREAD_S * 1.1)
            status, _, body = await client.send(
                'GET', '/services/ledger/x', 'ledger-token'
            )
            assert (status, len(body)) == (200, 8_000_000)
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await reader.readexactly(8_000_000)
            writer.close()

        served(test, CallerLimits(all_answers_bytes=9_000_000))

    def test_what_was_sent_is_counted_no_longer(self):
        async def run():
            answers = HeldAnswers(10, CallerRefusals())
            with answers.hold(None, 8), answers.hold(None, 8):
                assert answers.used == 16
            assert answers.used == 0

        asyncio.run(run())


class TestRefusals:
    """What operators see of refusals."""

    def test_counts_by_cause(self):
        async def test(client):
            reader, _ = await client.raw(chunked(b'a' * 200_000, 1))
            with contextlib.suppress(ConnectionError):
                await reader.read()

        refusals, seen = [], CallerRefusals()
        original = CallersServer.stop

        async def stop(server):
            refusals.append(server.refusals)
            await original(server)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(CallersServer, 'stop', stop)
            served(test)
        assert refusals[0].take_new(seen) == {'framings_too_large': 1}
        assert refusals[0].take_new(seen) == {}
