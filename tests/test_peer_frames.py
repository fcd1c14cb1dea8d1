"""Tests of single frames on peers' connections, under virtual time."""

import asyncio

import pytest

from mustardscale.exceptions import (
    PeerUnavailableError,
)
from mustardscale.outcomes import Outcome
from mustardscale.peers.config_messages import ConfigFetch
from mustardscale.peers.peer_codec import Frame, FrameKind, Hello, encode_frame
from mustardscale.peers.peer_messages import StreamLookup
from mustardscale.peers.peer_streams import (
    FrameStream,
    PeerIdentity,
    PeerLimits,
    PeerTraffic,
    greet_server,
)
from tests.peer_pair import REPLY, Pair
from tests.virtual_time import virtual_time


async def connect(pair):
    """Connects to b without a greeting; the pair closes the stream."""
    reader, writer = await asyncio.open_connection('127.0.0.1', 7002)
    stream = FrameStream(reader, writer, PeerLimits(), PeerTraffic())
    pair.streams.append(stream)
    return stream


async def greeted(pair):
    """Connects to b as host x."""
    stream = await connect(pair)
    await greet_server(stream, PeerIdentity('x', 1), 'b', 1)
    return stream


def record_writers(monkeypatch):
    """Returns a list that gets the writer of each connection, on both sides."""
    writers = []
    original = asyncio.StreamWriter.__init__

    def record(writer, *arguments, **options):
        original(writer, *arguments, **options)
        writers.append(writer)

    monkeypatch.setattr(asyncio.StreamWriter, '__init__', record)
    return writers


def request(call_id, message):
    return encode_frame(Frame(FrameKind.REQUEST, call_id, message))


class TestMisbehavingCaller:
    """Callers that send more than they may or read nothing."""

    @virtual_time
    async def test_calls_above_the_limit_are_refused(self):
        async with Pair(limits=PeerLimits(calls=1)) as pair:
            stream = await greeted(pair)
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
            stream = await greeted(pair)
            for _ in range(2):
                stream.send(request(1, StreamLookup('hang')))
            with pytest.raises((ConnectionError, EOFError)):
                await stream.receive(10)
            assert pair.handler.running == 0

    @virtual_time
    async def test_caller_that_reads_nothing_is_cut_off(self):
        async with Pair() as pair:
            stream = await greeted(pair)
            stream.send(request(1, StreamLookup('hang')))
            for call_id in range(2, 20):
                stream.send(request(call_id, ConfigFetch(900_000)))
            await asyncio.sleep(6)
            assert len(pair.handler.hosts) == 19
            assert (pair.handler.running, pair.handler.cancelled) == (0, 1)
            assert await pair.call('0') == REPLY

    @pytest.mark.parametrize('steps', range(30))
    @virtual_time
    async def test_closing_ends_connections_at_any_moment(
        self, steps, monkeypatch
    ):
        writers = record_writers(monkeypatch)
        pair = Pair()
        await pair.b.start(pair.handler)
        call = asyncio.create_task(pair.call('hang', 100))
        stream = await connect(pair)
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
        stream.close()
        assert len(writers) >= 2
        assert all(writer.transport.is_closing() for writer in writers)


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
    async def test_large_frame_in_place_of_a_greeting_is_refused(self):
        async with Pair() as pair:
            stream = await connect(pair)
            hello = Hello('x' * 10_000, 1)
            stream.send(encode_frame(Frame(FrameKind.HELLO, 0, hello)))
            with pytest.raises((ConnectionError, EOFError)):
                await stream.receive(10)

    @virtual_time
    async def test_caller_without_the_key_cannot_reach_the_handler(self):
        async with Pair((b'k', b'k')) as pair:
            stream = await connect(pair)
            hello = Frame(FrameKind.HELLO, 0, Hello('x', 1))
            for _ in range(2):
                stream.send(encode_frame(hello))
            stream.send(request(1, StreamLookup('0')))
            await stream.receive(10)
            with pytest.raises((ConnectionError, EOFError)):
                await stream.receive(10)
            assert pair.handler.hosts == []


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
            stream = await greeted(pair)
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
            stream = await connect(pair)
            with pytest.raises((ConnectionError, EOFError)):
                await stream.receive(10)
            assert await pair.call('0') == REPLY

    @virtual_time
    async def test_connections_are_limited(self):
        async with Pair(limits=PeerLimits(connections=1)) as pair:
            assert await pair.call('0') == REPLY
            stream = await connect(pair)
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
