"""Connections over which this host calls its peers."""

from __future__ import annotations

import asyncio
import itertools
import logging
import math
import random
import typing

from mustardscale.exceptions import (
    PeerCallError,
    PeerFrameError,
    PeerGoneError,
    PeerNotReachedError,
    PeerUnavailableError,
)
from mustardscale.outcomes import Outcome
from mustardscale.peers.peer_codec import (
    CallFailure,
    Frame,
    FrameKind,
    encode_frame,
)
from mustardscale.peers.peer_messages import (
    REPLY_BY_REQUEST,
    PeerReply,
    PeerRequest,
)
from mustardscale.peers.peer_streams import (
    CONNECTION_LOST,
    FrameStream,
    GreetingError,
    PeerIdentity,
    PeerLimits,
    PeerTraffic,
    greet_server,
)

log = logging.getLogger(__name__)


def split_address(address: str) -> tuple[str, int]:
    """Splits 'ip:port'.

    >>> split_address('[::1]:80')
    ('::1', 80)
    """
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)


class PeerConnection:
    """An open connection that carries many calls at once."""

    def __init__(
        self,
        host: str,
        stream: FrameStream,
        limits: PeerLimits,
        traffic: PeerTraffic,
    ):
        self.closed = False
        self._host = host
        self._stream = stream
        self._limits = limits
        self._traffic = traffic
        # Loop time of the last bytes when it was last logged that none come.
        self._logged_received_at = -math.inf
        self._call_ids = itertools.count(1)
        self._future_by_call: dict[int, asyncio.Future[Frame]] = {}
        self._reading = asyncio.create_task(self._read())

    async def call(self, request: PeerRequest) -> PeerReply:
        """Sends a request and returns the reply.

        Raises:
            PeerUnavailableError: no usable reply came.
        """
        if len(self._future_by_call) >= self._limits.calls:
            raise PeerNotReachedError('too many calls in flight')
        call_id = next(self._call_ids)
        data = _encode_request(call_id, request)
        future: asyncio.Future[Frame] = (
            asyncio.get_running_loop().create_future()
        )
        self._future_by_call[call_id] = future
        began_at = asyncio.get_running_loop().time()
        try:
            self._stream.send(data)
            await self._stream.drain()
            frame = await future
        except OSError as error:
            raise PeerUnavailableError(f'connection lost: {error}') from error
        finally:
            del self._future_by_call[call_id]
            if not future.done() or future.cancelled():
                cancel = Frame(FrameKind.CANCEL, call_id)
                self._stream.send(encode_frame(cancel))
                self._note_unheard(began_at)
        return _reply_of(frame, request)

    def _note_unheard(self, began_at: float) -> None:
        """Counts a call that was given up if nothing came since it began.

        This tells a connection that carries nothing from a peer that answers
        other calls. It is logged once until bytes come again.
        """
        received_at = self._stream.received_at
        if received_at > began_at:
            return
        self._traffic.calls_unheard += 1
        if received_at == self._logged_received_at:
            return
        self._logged_received_at = received_at
        log.info(
            'call to %s given up: its connection brought nothing for %.3f s',
            self._host,
            asyncio.get_running_loop().time() - received_at,
        )

    async def close(self) -> None:
        """Closes the connection; calls in flight fail."""
        self._reading.cancel()
        await asyncio.gather(self._reading, return_exceptions=True)
        # Again, for a reader that was cancelled before it began.
        self._end('closed')

    async def _read(self) -> None:
        reason = 'closed'
        try:
            await self._dispatch()
        except PeerFrameError as error:
            reason = str(error)
            log.warning(
                'connection closed: %s',
                error,
                extra={'code': int(error.outcome)},
            )
        except CONNECTION_LOST as error:
            reason = repr(error)
        finally:
            self._end(reason)

    async def _dispatch(self) -> None:
        while True:
            try:
                frame = await self._stream.receive(self._limits.idle_s)
            except TimeoutError:
                if self._future_by_call:
                    continue
                return
            if frame.kind not in (FrameKind.REPLY, FrameKind.FAILURE):
                raise PeerFrameError(
                    Outcome.PEER_FRAME_MALFORMED,
                    f'{frame.kind.name} in place of a reply',
                )
            future = self._future_by_call.get(frame.call_id)
            # The call may have been given up since.
            if future is not None and not future.done():
                future.set_result(frame)

    def _end(self, reason: str) -> None:
        self.closed = True
        self._stream.close()
        for future in self._future_by_call.values():
            if not future.done():
                future.set_exception(
                    PeerUnavailableError(f'connection lost: {reason}')
                )


class OutboundPeer:
    """One peer: its connection and when to try to connect again."""

    def __init__(
        self,
        host: str,
        identity: PeerIdentity,
        limits: PeerLimits,
        rng: random.Random,
        traffic: PeerTraffic,
    ):
        self._traffic = traffic
        self.used_at = 0.0
        self._host = host
        self._identity = identity
        self._limits = limits
        self._rng = rng
        self._address = ''
        self._connection: PeerConnection | None = None
        self._connecting = asyncio.Lock()
        self._failures = 0
        self._retry_at = 0.0
        self._closing = False

    @property
    def connected(self) -> bool:
        """Whether a connection is open."""
        return self._connection is not None and not self._connection.closed

    async def connect(self, address: str) -> PeerConnection:
        """Returns the open connection, connecting if there is none.

        Raises:
            PeerNotReachedError: the attempt failed, or the last one failed
                a short time ago.
            PeerGoneError: this attempt was refused. An earlier refusal says
                nothing of a process that may have started since.
        """
        now = asyncio.get_running_loop().time()
        self.used_at = now
        async with self._connecting:
            if address != self._address:
                await self._move(address)
            if self._connection is not None and not self._connection.closed:
                return self._connection
            wait_s = self._retry_at - asyncio.get_running_loop().time()
            if wait_s > 0:
                raise PeerNotReachedError(
                    f'{self._host} failed; next attempt in {wait_s:.3f} s'
                )
            connection = await self._attempt()
            if self._closing:
                await connection.close()
                raise PeerNotReachedError('this host is shutting down')
            self._connection = connection
            return connection

    async def close(self) -> None:
        """Closes the connection; no other is opened."""
        self._closing = True
        await self._disconnect()

    async def _disconnect(self) -> None:
        if self._connection is not None:
            await self._connection.close()
            self._connection = None

    async def _move(self, address: str) -> None:
        await self._disconnect()
        self._address = address
        self._failures = 0
        self._retry_at = 0.0

    async def _attempt(self) -> PeerConnection:
        try:
            async with asyncio.timeout(self._limits.connect_s):
                connection = await self._open()
        except (PeerFrameError, GreetingError, *CONNECTION_LOST) as error:
            self._back_off()
            log.info('no connection to %s: %r', self._host, error)
            detail = f'no connection to {self._host}: {error!r}'
            if isinstance(error, ConnectionRefusedError):
                raise PeerGoneError(detail) from error
            raise PeerNotReachedError(detail) from error
        self._failures = 0
        return connection

    async def _open(self) -> PeerConnection:
        ip, port = split_address(self._address)
        reader, writer = await asyncio.open_connection(ip, port)
        stream = FrameStream(reader, writer, self._limits, self._traffic)
        try:
            await greet_server(
                stream, self._identity, self._host, self._limits.connect_s
            )
        except BaseException:
            stream.close()
            raise
        return PeerConnection(self._host, stream, self._limits, self._traffic)

    def _back_off(self) -> None:
        delay_s = min(
            self._limits.backoff_limit_s,
            self._limits.backoff_s * 2**self._failures,
        )
        self._failures += 1
        now = asyncio.get_running_loop().time()
        self._retry_at = now + delay_s * self._rng.uniform(0.5, 1.0)


def _encode_request(call_id: int, request: PeerRequest) -> bytes:
    try:
        return encode_frame(Frame(FrameKind.REQUEST, call_id, request))
    except PeerFrameError as error:
        log.exception('request not sent', extra={'code': int(error.outcome)})
        raise PeerNotReachedError(f'not sent: {error}') from error


def _reply_of(frame: Frame, request: PeerRequest) -> PeerReply:
    message = frame.message
    if isinstance(message, CallFailure):
        try:
            outcome = Outcome(message.outcome)
        except ValueError:
            outcome = Outcome.INTERNAL_ERROR
        raise PeerCallError(outcome, message.detail)
    if type(message) is not REPLY_BY_REQUEST[type(request)]:
        raise PeerUnavailableError(f'reply of type {type(message).__name__}')
    return typing.cast(PeerReply, message)
