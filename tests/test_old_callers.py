"""Streams to callers that speak HTTP/1.0 and stop reading near the end."""

import asyncio
import socket
import types

import pytest
import uvloop

from mustardscale.callers.caller_connections import CallerLimits
from mustardscale.peers.peer_connections import split_address
from mustardscale.platform.front_http import FrontServer
from mustardscale.relay.relay_messages import AnswerHead
from tests.platform_site import WAIT_S

EVENT = b'id: %d\ndata: ' + b'x' * 2_000 + b'\n\n'
# Events that are written after the caller's window is full. They stay below
# the size of a write buffer from which writes wait.
LAST_EVENTS = 12
FULL_S = 1.5


class LongAnswer:
    """A stream that ends when its caller has not taken its last events.

    Attributes:
        sent: its bytes, once it has ended.
    """

    head = AnswerHead(200, (('Content-Type', 'text/event-stream'),))

    def __init__(self, transport):
        self.sent = b''
        self._transport = transport

    async def events(self):
        left = LAST_EVENTS
        number = 0
        while left:
            if left < LAST_EVENTS or self._transport.get_write_buffer_size():
                left -= 1
            event = EVENT % number
            self.sent += event
            number += 1
            yield event


class ShortAnswer:
    """A stream of two events."""

    head = LongAnswer.head

    def __init__(self, transport):
        self.sent = EVENT % 1 + EVENT % 2

    async def events(self):
        yield EVENT % 1
        yield EVENT % 2


class StreamingFront(FrontServer):
    """A front that answers each request with a stream of one kind."""

    def __init__(self, make_answer, *options):
        super().__init__(*options)
        self._make_answer = make_answer

    async def _handle(self, request):
        self.transport = request.transport
        self.answer = self._make_answer(request.transport)
        return await self._stream(request, self.answer)


def make_front(make_answer=LongAnswer):
    router = types.SimpleNamespace(
        blackboard=types.SimpleNamespace(draining=False)
    )
    return StreamingFront(make_answer, router, CallerLimits(), 0.5)


async def read_on(caller):
    """Returns the content that a caller gets, and whether it is reset."""
    loop = asyncio.get_running_loop()
    received = b''
    try:
        while data := await loop.sock_recv(caller, 65_536):
            received += data
    except ConnectionResetError:
        return received.partition(b'\r\n\r\n')[2], True
    return received.partition(b'\r\n\r\n')[2], False


class TestSlowOldCallers:
    """Callers for whom only the end of the connection ends a stream."""

    @pytest.mark.parametrize('is_cut', [False, True])
    def test_a_short_stream_does_not_end_like_a_whole_one(self, is_cut):
        async def main():
            front = make_front()
            await front.start('127.0.0.1', 0)
            caller = socket.socket()
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            caller.connect(split_address(front.address))
            caller.setblocking(False)
            caller.send(b'GET / HTTP/1.0\r\nHost: a\r\nX-Request-Id: r\r\n\r\n')
            await asyncio.sleep(FULL_S)
            if is_cut:
                front.transport.abort()
            content, was_reset = await read_on(caller)
            caller.close()
            sent = front.answer.sent
            await front.stop()
            return content == sent, was_reset

        is_whole, was_reset = uvloop.run(main())
        assert (is_whole, was_reset) == (not is_cut, is_cut)


class TestOldCallersThatKeepTheConnection:
    """Callers of HTTP/1.0 who ask for their connection to be kept."""

    @pytest.mark.parametrize('requests', [1, 2])
    def test_a_stream_ends_with_its_connection_and_no_other_one_follows(
        self, requests
    ):
        async def main():
            front = make_front(ShortAnswer)
            await front.start('127.0.0.1', 0)
            reader, writer = await asyncio.open_connection(
                *split_address(front.address)
            )
            for number in range(requests):
                writer.write(
                    b'GET / HTTP/1.0\r\nHost: a\r\nX-Request-Id: r%d\r\n'
                    b'Connection: keep-alive\r\n\r\n' % number
                )
            async with asyncio.timeout(WAIT_S):
                answer = await reader.read(-1)
            writer.close()
            sent = front.answer.sent
            await front.stop()
            return answer.partition(b'\r\n\r\n')[2], sent

        content, sent = uvloop.run(main())
        assert content == sent
