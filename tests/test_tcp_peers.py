"""Tests of the calls between entry hosts over TCP, under virtual time."""

import asyncio
import random

import pytest

from mustardscale.exceptions import (
    OutcomeError,
    PeerCallError,
    PeerGoneError,
    PeerUnavailableError,
)
from mustardscale.outcomes import Outcome
from mustardscale.peer_codec import Frame, FrameKind, Hello, encode_frame
from mustardscale.peer_streams import (
    FrameStream,
    PeerIdentity,
    PeerLimits,
    PeerTraffic,
    greet_server,
)
from mustardscale.peers import (
    Acknowledgement,
    ConfigFetch,
    ConfigFetchReply,
    ConfigRecord,
    StreamLookup,
    StreamLookupReply,
)
from mustardscale.tcp_peers import TcpPeerTransport
from tests.virtual_time import virtual_time

REPLY = StreamLookupReply(())


class Handler:
    """Answers by request id and remembers what happened."""

    def __init__(self):
        self.hosts = []
        self.running = 0
        self.cancelled = 0

    async def __call__(self, host, request):
        self.hosts.append(host)
        if isinstance(request, ConfigFetch):
            payload = bytes(request.after)
            return ConfigFetchReply((ConfigRecord(1, payload),))
        self.running += 1
        try:
            return await self._answer(request.request_id)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.running -= 1

    async def _answer(self, wish):
        if wish == 'hang':
            await asyncio.sleep(1000)
        if wish == 'refuse':
            raise OutcomeError(Outcome.POOL_SATURATED, 'full')
        if wish == 'fail':
            raise KeyError(wish)
        if wish == 'mistype':
            return Acknowledgement()
        await asyncio.sleep(float(wish or 0))
        return REPLY


def transport(host, port, key=b'', limits=None):
    return TcpPeerTransport(
        PeerIdentity(host, 1, key),
        f'127.0.0.1:{port}',
        random.Random(1),
        limits,
    )


class Pair:
    """Two started transports, a (the caller) and b."""

    def __init__(self, keys=(b'', b''), limits=None):
        self.a = transport('a', 7001, keys[0], limits)
        self.b = transport('b', 7002, keys[1], limits)
        self.handler = Handler()

    async def __aenter__(self):
        """Starts both."""
        await self.a.start(Handler())
        await self.b.start(self.handler)
        return self

    async def __aexit__(self, *_):
        """Closes both."""
        await self.a.close()
        await self.b.close()

    async def call(self, wish, timeout_s=10.0, host='b'):
        return await self.a.call(
            host, '127.0.0.1:7002', StreamLookup(wish), timeout_s
        )


class TestCalls:
    """Requests and replies."""

    @virtual_time
    async def test_replies_may_overtake_each_other(self):
        async with Pair() as pair:
            ended = []

            async def call(wish):
                assert await pair.call(wish) == REPLY
                ended.append(wish)

            await asyncio.gather(*map(call, ('3', '1', '2')))
            assert ended == ['1', '2', '3']
            assert pair.handler.hosts == ['a'] * 3

    @pytest.mark.parametrize(
        ('wish', 'code'),
        [
            ('refuse', Outcome.POOL_SATURATED),
            ('fail', Outcome.INTERNAL_ERROR),
        ],
    )
    @virtual_time
    async def test_failure_of_the_handler_carries_its_code(self, wish, code):
        async with Pair() as pair:
            with pytest.raises(PeerCallError) as caught:
                await pair.call(wish)
            assert caught.value.outcome is code
            assert await pair.call('0') == REPLY

    @virtual_time
    async def test_reply_of_another_type_is_an_error(self):
        async with Pair() as pair:
            with pytest.raises(PeerUnavailableError, match='Acknowl'):
                await pair.call('mistype')

    @virtual_time
    async def test_reply_above_the_size_limit_is_an_error(self):
        async with Pair() as pair:
            with pytest.raises(PeerCallError) as caught:
                await pair.a.call(
                    'b', '127.0.0.1:7002', ConfigFetch(2 << 20), 5
                )
            assert caught.value.outcome is Outcome.PEER_FRAME_TOO_LARGE
            assert await pair.call('0') == REPLY

    @virtual_time
    async def test_large_replies_pass_through_small_buffers(self):
        async with Pair(limits=PeerLimits(drain_bytes=1000)) as pair:
            fetch = ConfigFetch(900_000)
            replies = await asyncio.gather(
                *[
                    pair.a.call('b', '127.0.0.1:7002', fetch, 60)
                    for _ in range(4)
                ]
            )
            sizes = [len(reply.records[0].payload) for reply in replies]
            assert sizes == [900_000] * 4

    @virtual_time
    async def test_calls_in_flight_are_limited(self):
        async with Pair(limits=PeerLimits(calls=1)) as pair:
            first = asyncio.create_task(pair.call('1'))
            await asyncio.sleep(0.5)
            with pytest.raises(PeerUnavailableError, match='too many'):
                await pair.call('0')
            assert await first == REPLY
            assert await pair.call('0') == REPLY


class TestGivingUp:
    """Calls whose caller no longer waits."""

    @virtual_time
    async def test_timeout_cancels_the_handler(self):
        async with Pair() as pair:
            with pytest.raises(PeerUnavailableError, match='no reply'):
                await pair.call('hang', timeout_s=2)
            await asyncio.sleep(1)
            assert (pair.handler.running, pair.handler.cancelled) == (0, 1)
            assert await pair.call('0') == REPLY

    @virtual_time
    async def test_cancelling_the_call_cancels_only_its_handler(self):
        async with Pair() as pair:
            other = asyncio.create_task(pair.call('5'))
            call = asyncio.create_task(pair.call('hang'))
            await asyncio.sleep(1)
            assert pair.handler.running == 2
            call.cancel()
            await asyncio.sleep(1)
            assert (pair.handler.running, pair.handler.cancelled) == (1, 1)
            assert await other == REPLY

    @virtual_time
    async def test_loss_of_the_connection_cancels_its_handlers(self):
        async with Pair() as pair:
            call = asyncio.create_task(pair.call('hang', 100))
            await asyncio.sleep(1)
            await pair.a.close()
            with pytest.raises(PeerUnavailableError):
                await call
            await asyncio.sleep(1)
            assert (pair.handler.running, pair.handler.cancelled) == (0, 1)

    @virtual_time
    async def test_death_of_the_peer_fails_the_calls_at_once(self):
        async with Pair() as pair:
            call = asyncio.create_task(pair.call('hang', 100))
            await asyncio.sleep(1)
            await pair.b.close()
            done, _ = await asyncio.wait([call], timeout=1)
            assert isinstance(call.exception(), PeerUnavailableError)
            assert done


class TestMisbehavingCaller:
    """Callers that send more than they may or read nothing."""

    @virtual_time
    async def test_calls_above_the_limit_are_refused(self):
        async with Pair(limits=PeerLimits(calls=1)) as pair:
            stream = await greeted()
            for call_id in (1, 2):
                stream.send(request(call_id, StreamLookup('5')))
            refusal = await stream.receive(1)
            assert refusal.call_id == 2
            assert refusal.message.outcome == Outcome.RATE_LIMITED
            assert (await stream.receive(10)).message == REPLY
            assert len(pair.handler.hosts) == 1

    @virtual_time
    async def test_call_number_in_use_closes_the_connection(self):
        async with Pair() as pair:
            stream = await greeted()
            for _ in range(2):
                stream.send(request(1, StreamLookup('hang')))
            with pytest.raises((ConnectionError, EOFError)):
                await stream.receive(10)
            assert pair.handler.running == 0

    @virtual_time
    async def test_caller_that_reads_nothing_is_cut_off(self):
        async with Pair() as pair:
            stream = await greeted()
            stream.send(request(1, StreamLookup('hang')))
            for call_id in range(2, 20):
                stream.send(request(call_id, ConfigFetch(900_000)))
            await asyncio.sleep(6)
            assert len(pair.handler.hosts) == 19
            assert (pair.handler.running, pair.handler.cancelled) == (0, 1)
            assert await pair.call('0') == REPLY

    @pytest.mark.parametrize('steps', range(30))
    @virtual_time
    async def test_closing_ends_connections_at_any_moment(self, steps):
        pair = Pair()
        await pair.b.start(pair.handler)
        call = asyncio.create_task(pair.call('hang', 100))
        stream = await connect()
        for _ in range(steps):
            await asyncio.sleep(0)
        await pair.b.close()
        await pair.a.close()
        with pytest.raises((ConnectionError, EOFError)):
            await stream.receive(1)
        with pytest.raises(PeerUnavailableError):
            await call
        assert pair.handler.running == 0
        assert asyncio.all_tasks() == {asyncio.current_task()}


class TestReconnecting:
    """Attempts after a failure."""

    @virtual_time
    async def test_waits_longer_after_each_failure_and_recovers(self):
        caller = transport('a', 7001)
        refusals = 0
        for _ in range(200):
            with pytest.raises(PeerUnavailableError) as caught:
                await caller.call('b', '127.0.0.1:7002', StreamLookup(''), 1)
            refusals += 'next attempt' in str(caught.value)
            await asyncio.sleep(0.02)
        # In 4 s: attempts at growing intervals, at most 1 s apart.
        assert 185 < refusals < 197
        async with Pair() as pair:
            await asyncio.sleep(1)
            reply = await caller.call(
                'b', '127.0.0.1:7002', StreamLookup(''), 1
            )
            assert reply == REPLY
            assert pair.handler.hosts == ['a']
        await caller.close()

    @virtual_time
    async def test_only_a_refusal_of_now_shows_that_the_peer_is_gone(self):
        """A process that has started since must not be taken for gone."""
        caller = transport('a', 7001)
        call = ('b', '127.0.0.1:7002', StreamLookup(''), 1)
        with pytest.raises(PeerGoneError):
            await caller.call(*call)
        async with Pair():
            with pytest.raises(PeerUnavailableError) as caught:
                await caller.call(*call)
            assert not isinstance(caught.value, PeerGoneError)
        await caller.close()

    @virtual_time
    async def test_connects_again_after_the_idle_time(self):
        async with Pair(limits=PeerLimits(idle_s=5)) as pair:
            assert await pair.call('0') == REPLY
            assert pair.a._peer_by_host['b'].connected
            await asyncio.sleep(6)
            assert not pair.a._peer_by_host['b'].connected
            assert await pair.call('7') == REPLY


class TestGreeting:
    """Who may connect."""

    @pytest.mark.parametrize(
        ('keys', 'accepted'),
        [
            ((b'k', b'k'), True),
            ((b'k', b'x'), False),
            ((b'', b'k'), False),
            ((b'k', b''), False),
        ],
    )
    @virtual_time
    async def test_both_sides_must_hold_the_peer_key(self, keys, accepted):
        async with Pair(keys) as pair:
            if accepted:
                assert await pair.call('0') == REPLY
                return
            with pytest.raises(PeerUnavailableError):
                await pair.call('0')
            assert pair.handler.hosts == []

    @virtual_time
    async def test_another_host_at_the_address_is_refused(self):
        async with Pair() as pair:
            with pytest.raises(PeerUnavailableError, match='in place of'):
                await pair.call('0', host='c')

    @virtual_time
    async def test_caller_without_the_key_cannot_reach_the_handler(self):
        async with Pair((b'k', b'k')) as pair:
            stream = await connect()
            hello = Frame(FrameKind.HELLO, 0, Hello('x', 1))
            for _ in range(2):
                stream.send(encode_frame(hello))
            stream.send(request(1, StreamLookup('0')))
            await stream.receive(10)
            with pytest.raises((ConnectionError, EOFError)):
                await stream.receive(10)
            assert pair.handler.hosts == []


async def connect():
    """Connects to b without a greeting."""
    reader, writer = await asyncio.open_connection('127.0.0.1', 7002)
    return FrameStream(reader, writer, PeerLimits(), PeerTraffic())


async def greeted():
    """Connects to b as host x."""
    stream = await connect()
    await greet_server(stream, PeerIdentity('x', 1), 'b', 1)
    return stream


def request(call_id, message):
    return encode_frame(Frame(FrameKind.REQUEST, call_id, message))


class TestDamagedFrames:
    """Bytes that are no frame close one connection only."""

    @pytest.mark.parametrize(
        ('data', 'code'),
        [
            (b'GET / HTTP/1.1\r\nHost: x\r\n\r\n', 5001),
            (b'MSPF\x02' + bytes(15), 5003),
            (b'MSPF\x01\x02' + bytes(10) + b'\xff' * 4, 5002),
            (b'MSPF\x01\x02' + bytes(10) + b'\0\0\0\x08half', 5001),
        ],
    )
    @virtual_time
    async def test_only_that_connection_is_closed(self, data, code, caplog):
        async with Pair() as pair:
            other = asyncio.create_task(pair.call('20', 60))
            await asyncio.sleep(1)
            stream = await greeted()
            stream.send(data)
            with pytest.raises((ConnectionError, EOFError)):
                await stream.receive(10)
            assert await other == REPLY
            assert pair.handler.cancelled == 0
        codes = [getattr(record, 'code', None) for record in caplog.records]
        assert codes == [code]

    @virtual_time
    async def test_silent_connection_is_closed(self):
        async with Pair() as pair:
            stream = await connect()
            with pytest.raises((ConnectionError, EOFError)):
                await stream.receive(10)
            assert await pair.call('0') == REPLY

    @virtual_time
    async def test_connections_are_limited(self):
        async with Pair(limits=PeerLimits(connections=1)) as pair:
            assert await pair.call('0') == REPLY
            stream = await connect()
            with pytest.raises((ConnectionError, EOFError)):
                await stream.receive(10)
            assert await pair.call('0') == REPLY


class WriterStub:
    """Remembers what is written."""

    def __init__(self):
        self.written = []
        self.transport = self

    def write(self, data):
        self.written.append(data)

    def set_write_buffer_limits(self, high):
        self.high = high

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return False

    def abort(self):
        self.written.append('abort')


class TestFrameStream:
    """When queued frames are written."""

    def make(self):
        writer = WriterStub()
        limits = PeerLimits(drain_bytes=10)
        stream = FrameStream(
            asyncio.StreamReader(), writer, limits, PeerTraffic()
        )
        return stream, writer.written

    @virtual_time
    async def test_frames_of_one_step_are_written_at_once(self):
        stream, written = self.make()
        stream.send(b'one')
        stream.send(b'two')
        assert not written
        await asyncio.sleep(0)
        assert written == [b'onetwo']

    @virtual_time
    async def test_many_bytes_do_not_wait_for_the_step_to_end(self):
        stream, written = self.make()
        stream.send(b'12345')
        stream.send(b'67890')
        stream.send(b'rest')
        assert written == [b'1234567890']
        await asyncio.sleep(0)
        assert written == [b'1234567890', b'rest']

    @virtual_time
    async def test_closing_writes_what_is_queued(self):
        stream, written = self.make()
        stream.send(b'last')
        stream.close()
        assert written == [b'last', 'abort']
