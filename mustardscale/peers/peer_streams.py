"""Frames over a TCP connection, and the greeting that opens it."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import hashlib
import hmac
import secrets

from mustardscale.endpoints.unsent_bytes import count_unsent_bytes
from mustardscale.exceptions import MustardscaleError, PeerFrameError
from mustardscale.outcomes import Outcome
from mustardscale.peers.connection_liveness import Transfer
from mustardscale.peers.peer_codec import (
    HEADER_BYTES,
    MAX_FRAME_BYTES,
    Frame,
    FrameKind,
    Hello,
    decode_header,
    decode_payload,
    encode_frame,
)
from mustardscale.reporting.metrics import Metrics

# Raised by the stream when the connection is gone.
CONNECTION_LOST = (OSError, EOFError)

_NONCE_BYTES = 16
# Payload of a greeting. Whoever has not been greeted yet gets no room for a
# whole frame of 1 MiB.
_MAX_GREETING_BYTES = 4_096


class GreetingError(MustardscaleError):
    """The peer is not the host that it should be, or lacks the peer key."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLimits:
    """Bounds of connections between entry hosts.

    Attributes:
        connections: connections accepted at the same time.
        calls: calls in flight on one connection.
        drain_bytes: unsent bytes from which a sender waits.
        abort_bytes: unsent bytes at which the connection is given up.
        connect_s: seconds for connection and greeting.
        frame_s: seconds from a frame's header to its end, and for sending.
        idle_s: seconds without a call after which the caller closes; the
            serving side closes after twice this time without a frame.
        backoff_s: seconds before the second connection attempt.
        backoff_limit_s: seconds between attempts at most.
        check_s: interval at which open connections are checked, seconds.
        ping_after_s: seconds without bytes, while calls wait for them, after
            which the peer is pinged.
        ping_timeout_s: seconds after which a ping counts as unanswered.
        unheard_s: the same for a peer that does not answer pings, seconds from
            when one would have been sent.
        replaced_idle_s: seconds without bytes after which the serving side
            closes a connection in whose place the caller has opened another.
    """

    connections: int = 256
    calls: int = 4096
    drain_bytes: int = 256 * 1024
    abort_bytes: int = 4 * 1024 * 1024
    connect_s: float = 1.0
    frame_s: float = 5.0
    idle_s: float = 30.0
    backoff_s: float = 0.05
    backoff_limit_s: float = 1.0
    check_s: float = 0.1
    ping_after_s: float = 0.4
    ping_timeout_s: float = 0.4
    unheard_s: float = 1.0
    replaced_idle_s: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Who this process is to its peers.

    Attributes:
        host: id of this host.
        incarnation: start number of this process.
        key: the shared peer key; empty for none.
    """

    host: str
    incarnation: int
    key: bytes = dataclasses.field(default=b'', repr=False)


@dataclasses.dataclass(slots=True)
class PeerTraffic:
    """What a process has exchanged with its peers since its start.

    Attributes:
        frames_sent: frames sent.
        bytes_sent: their bytes.
        frames_received: frames received whole.
        bytes_received: their bytes.
        calls_unheard: calls that ended without a reply, and over whose
            connection nothing came after they began.
        pings_sent: pings sent.
        connections_replaced: connections that went silent, and in whose place
            others were opened.
    """

    frames_sent: int = 0
    bytes_sent: int = 0
    frames_received: int = 0
    bytes_received: int = 0
    calls_unheard: int = 0
    pings_sent: int = 0
    connections_replaced: int = 0

    def add_gauges(self, metrics: Metrics) -> None:
        """Shows the traffic with peers among the metrics."""
        for field in dataclasses.fields(self):
            metrics.add_gauge(
                f'peer_{field.name}',
                functools.partial(getattr, self, field.name),
            )


@dataclasses.dataclass(frozen=True, slots=True)
class Greeting:
    """The greetings that opened a connection.

    Attributes:
        caller: that of the side that calls.
        server: that of the side that serves.
    """

    caller: Hello
    server: Hello


class FrameStream:
    """Sends and receives frames on one connection.

    Attributes:
        received_at: loop time at which bytes last came, or at which the
            connection was made.
        sent_bytes: bytes of the frames sent.
    """

    __slots__ = (
        '_limits',
        '_queued',
        '_queued_bytes',
        '_reader',
        '_traffic',
        '_writer',
        'received_at',
        'sent_bytes',
    )

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        limits: PeerLimits,
        traffic: PeerTraffic,
    ):
        self._reader = reader
        self._writer = writer
        self._limits = limits
        self._traffic = traffic
        self._queued: list[bytes] = []
        self._queued_bytes = 0
        self.received_at = asyncio.get_running_loop().time()
        self.sent_bytes = 0
        writer.transport.set_write_buffer_limits(high=limits.drain_bytes)

    async def receive(
        self, idle_s: float, max_bytes: int = MAX_FRAME_BYTES
    ) -> Frame:
        """Receives the next frame.

        Args:
            idle_s: seconds to wait for the header.
            max_bytes: largest payload that is accepted.

        Raises:
            TimeoutError: no header came in time.
            PeerFrameError: the frame is damaged, too large or did not end in
                time.
            OSError, EOFError: the connection is lost.
        """
        async with asyncio.timeout(idle_s):
            data = await self._reader.readexactly(HEADER_BYTES)
        self.received_at = asyncio.get_running_loop().time()
        header = decode_header(data)
        if header.length > max_bytes:
            raise PeerFrameError(
                Outcome.PEER_FRAME_TOO_LARGE, f'{header.length} payload bytes'
            )
        try:
            async with asyncio.timeout(self._limits.frame_s):
                payload = await self._read_payload(header.length)
        except TimeoutError:
            raise PeerFrameError(
                Outcome.PEER_FRAME_MALFORMED, 'payload not received in time'
            ) from None
        self._traffic.frames_received += 1
        self._traffic.bytes_received += HEADER_BYTES + header.length
        return decode_payload(header, payload)

    async def _read_payload(self, length: int) -> bytes:
        """Reads a payload, and notes the time of each part that comes."""
        parts: list[bytes] = []
        missing = length
        while missing:
            part = await self._reader.read(missing)
            if not part:
                raise asyncio.IncompleteReadError(b''.join(parts), length)
            self.received_at = asyncio.get_running_loop().time()
            parts.append(part)
            missing -= len(part)
        return b''.join(parts)

    def send(self, data: bytes) -> None:
        """Queues an encoded frame; aborts a connection that takes nothing.

        Frames queued in one step of the event loop are written at once: a
        write may cost as much as all else that is done for a call.
        """
        if self._writer.transport.is_closing():
            return
        if not self._queued:
            asyncio.get_running_loop().call_soon(self._flush)
        self._queued.append(data)
        self._queued_bytes += len(data)
        if self._queued_bytes >= self._limits.drain_bytes:
            self._flush()
        self.sent_bytes += len(data)
        self._traffic.frames_sent += 1
        self._traffic.bytes_sent += len(data)

    def _flush(self) -> None:
        """Writes the queued frames."""
        data = b''.join(self._queued)
        self._queued.clear()
        self._queued_bytes = 0
        if not data or self._writer.transport.is_closing():
            return
        self._writer.write(data)
        unsent = self._writer.transport.get_write_buffer_size()
        if unsent > self._limits.abort_bytes:
            self.close()

    async def drain(self) -> None:
        """Waits until few bytes are unsent.

        Raises:
            OSError: the connection is lost.
        """
        await self._writer.drain()

    def measure_transfer(self) -> Transfer:
        """Returns what has passed on the connection so far."""
        unsent = self._queued_bytes + count_unsent_bytes(self._writer.transport)
        return Transfer(self.received_at, self.sent_bytes, unsent)

    def close(self) -> None:
        """Closes the connection at once, after a try to write the queue."""
        self._flush()
        self._writer.transport.abort()


async def greet_server(
    stream: FrameStream,
    identity: PeerIdentity,
    host: str,
    connect_s: float,
    replaces: bytes = b'',
) -> Greeting:
    """Opens a connection as the caller.

    Args:
        stream: the connection.
        identity: who calls.
        host: id of the host that must answer, '' for any.
        connect_s: seconds until the greeting is given up.
        replaces: nonce of the caller on a silent connection that this one
            replaces, empty for none.

    Raises:
        GreetingError: another host answered, or one without the peer key.
        TimeoutError, PeerFrameError, OSError, EOFError: no usable answer.
    """
    hello = _make_hello(identity, replaces)
    _send_hello(stream, hello)
    answer = await _receive_hello(stream, connect_s)
    if host and answer.host != host:
        raise GreetingError(f'{answer.host!r} answers in place of {host!r}')
    _check_proof(answer, _proof(identity.key, b'server', hello, answer))
    proof = _proof(identity.key, b'caller', hello, answer)
    _send_hello(stream, dataclasses.replace(hello, proof=proof))
    return Greeting(hello, answer)


async def greet_caller(
    stream: FrameStream, identity: PeerIdentity, connect_s: float
) -> Hello:
    """Answers a caller's greeting and returns it.

    Raises:
        GreetingError: the caller does not hold the peer key.
        TimeoutError, PeerFrameError, OSError, EOFError: no usable greeting.
    """
    hello = await _receive_hello(stream, connect_s)
    answer = _make_hello(identity)
    proof = _proof(identity.key, b'server', hello, answer)
    _send_hello(stream, dataclasses.replace(answer, proof=proof))
    second = await _receive_hello(stream, connect_s)
    if dataclasses.replace(second, proof=b'') != hello:
        raise GreetingError('the two greetings differ')
    _check_proof(second, _proof(identity.key, b'caller', hello, answer))
    return hello


def _make_hello(identity: PeerIdentity, replaces: bytes = b'') -> Hello:
    # Must not be predictable, so it does not come from the seeded generator.
    nonce = secrets.token_bytes(_NONCE_BYTES)
    return Hello(
        identity.host,
        identity.incarnation,
        nonce,
        answers_pings=True,
        replaces=replaces,
    )


def _send_hello(stream: FrameStream, hello: Hello) -> None:
    stream.send(encode_frame(Frame(FrameKind.HELLO, 0, hello)))


async def _receive_hello(stream: FrameStream, connect_s: float) -> Hello:
    frame = await stream.receive(connect_s, _MAX_GREETING_BYTES)
    if not isinstance(frame.message, Hello):
        raise PeerFrameError(
            Outcome.PEER_FRAME_MALFORMED, f'{frame.kind.name} before a greeting'
        )
    return frame.message


def _proof(key: bytes, role: bytes, hello: Hello, answer: Hello) -> bytes:
    if not key:
        return b''
    digest = hmac.new(key, role, hashlib.sha256)
    for side in (hello, answer):
        for part in (
            side.host.encode(),
            str(side.incarnation).encode(),
            side.nonce,
        ):
            digest.update(len(part).to_bytes(4, 'big') + part)
    return digest.digest()


def _check_proof(received: Hello, expected: bytes) -> None:
    if not hmac.compare_digest(received.proof, expected):
        raise GreetingError(f'{received.host!r} does not hold the peer key')
