"""Serves the calls that other entry hosts make over TCP."""

from __future__ import annotations

import asyncio
import logging
import typing
from collections.abc import Callable

from mustardscale.exceptions import (
    OutcomeError,
    PeerFrameError,
    PeerUnavailableError,
)
from mustardscale.outcomes import Outcome
from mustardscale.peers.peer_codec import (
    CallFailure,
    Frame,
    FrameKind,
    Hello,
    encode_frame,
)
from mustardscale.peers.peer_messages import PeerReply, PeerRequest
from mustardscale.peers.peer_streams import (
    CONNECTION_LOST,
    FrameStream,
    GreetingError,
    PeerIdentity,
    PeerLimits,
    PeerTraffic,
    greet_caller,
)
from mustardscale.peers.peer_transport import PeerHandler

log = logging.getLogger(__name__)

_PONG = encode_frame(Frame(FrameKind.PONG, 0))


class PeerServer:
    """Accepts connections and runs the handler for each call."""

    def __init__(
        self,
        identity: PeerIdentity,
        handler: PeerHandler,
        limits: PeerLimits,
        traffic: PeerTraffic,
    ):
        self._identity = identity
        self._handler = handler
        self._limits = limits
        self._traffic = traffic
        self._server: asyncio.Server | None = None
        self._closing = False
        self._connection_by_task: dict[
            asyncio.Task[None], _InboundConnection
        ] = {}

    async def start(self, host: str, port: int) -> str:
        """Listens and returns the address as 'ip:port'."""
        self._server = await asyncio.start_server(self._accept, host, port)
        name = self._server.sockets[0].getsockname()
        return f'{name[0]}:{name[1]}'

    async def close(self) -> None:
        """Closes all connections and cancels the handlers."""
        self._closing = True
        if self._server is not None:
            self._server.close()
        tasks = list(self._connection_by_task)
        for task, connection in self._connection_by_task.items():
            # A task that has not begun yet would not close its stream.
            connection.close()
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        stream = FrameStream(reader, writer, self._limits, self._traffic)
        if self._closing:
            stream.close()
            return
        if not self._has_place():
            log.warning('connection limit reached')
            stream.close()
            return
        connection = _InboundConnection(
            stream,
            self._identity,
            self._handler,
            self._limits,
            self._mark_replaced,
        )
        task = asyncio.create_task(connection.run())
        self._connection_by_task[task] = connection
        task.add_done_callback(self._connection_by_task.pop)

    def _has_place(self) -> bool:
        """Returns whether one more connection fits, and makes room for it."""
        open_connections = [
            connection
            for connection in self._connection_by_task.values()
            if not connection.closed
        ]
        if len(open_connections) < self._limits.connections:
            return True
        replaced = [c for c in open_connections if c.replaced_at is not None]
        if not replaced:
            return False
        min(replaced, key=lambda c: c.received_at).close()
        return True

    def _mark_replaced(self, successor: _InboundConnection) -> None:
        """Marks what a caller's new connection takes the place of."""
        for connection in self._connection_by_task.values():
            if connection.is_followed_by(successor):
                connection.replaced_at = asyncio.get_running_loop().time()

    def close_replaced(self) -> None:
        """Closes replaced connections over which nothing comes any more.

        Their caller closes them too, which a silent path does not pass on.
        """
        oldest = (
            asyncio.get_running_loop().time() - self._limits.replaced_idle_s
        )
        for connection in self._connection_by_task.values():
            replaced_at = connection.replaced_at
            if replaced_at is None:
                continue
            if max(replaced_at, connection.received_at) < oldest:
                connection.close()


class _InboundConnection:
    """One accepted connection and the handlers that it started.

    Attributes:
        closed: whether it was closed by this host.
        replaced_at: loop time at which its caller opened another one in its
            place, None if it did not.
    """

    __slots__ = (
        '_caller',
        '_greeted',
        '_handler',
        '_identity',
        '_limits',
        '_stream',
        '_task_by_call',
        'closed',
        'replaced_at',
    )

    def __init__(
        self,
        stream: FrameStream,
        identity: PeerIdentity,
        handler: PeerHandler,
        limits: PeerLimits,
        greeted: Callable[[_InboundConnection], None],
    ):
        """Prepares the connection.

        Args:
            stream: the frames.
            identity: who this host is.
            handler: serves the calls.
            limits: bounds of connections.
            greeted: called once the caller is known.
        """
        self.closed = False
        self.replaced_at: float | None = None
        self._stream = stream
        self._identity = identity
        self._handler = handler
        self._limits = limits
        self._greeted = greeted
        self._caller: Hello | None = None
        self._task_by_call: dict[int, asyncio.Task[None]] = {}

    @property
    def received_at(self) -> float:
        """Loop time at which bytes last came."""
        return self._stream.received_at

    @property
    def _host(self) -> str:
        """Id of the caller, '' until it is known."""
        return self._caller.host if self._caller is not None else ''

    def is_followed_by(self, successor: _InboundConnection) -> bool:
        """Returns whether a connection takes the place of this one."""
        mine, other = self._caller, successor._caller
        if successor is self or mine is None or other is None:
            return False
        if mine.host != other.host:
            return False
        is_named = bool(other.replaces) and mine.nonce == other.replaces
        return is_named or mine.incarnation < other.incarnation

    def close(self) -> None:
        """Closes the connection; its handlers are cancelled."""
        self.closed = True
        self._stream.close()

    async def run(self) -> None:
        """Serves until the connection is lost, idle or damaged."""
        try:
            self._caller = await greet_caller(
                self._stream, self._identity, self._limits.connect_s
            )
            self._greeted(self)
            while True:
                # Heartbeats keep the connection of a live caller busy.
                frame = await self._stream.receive(2 * self._limits.idle_s)
                self._take(frame)
        except PeerFrameError as error:
            self._log_refusal(error.outcome, error)
        except GreetingError as error:
            self._log_refusal(Outcome.UNAUTHENTICATED, error)
        except CONNECTION_LOST as error:
            log.info('connection from %r ended: %r', self._host, error)
        finally:
            self._stream.close()
            await self._cancel_handlers()

    def _log_refusal(self, outcome: Outcome, error: Exception) -> None:
        log.warning(
            'connection from %r closed: %s',
            self._host,
            error,
            extra={'code': int(outcome)},
        )

    async def _cancel_handlers(self) -> None:
        tasks = list(self._task_by_call.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _take(self, frame: Frame) -> None:
        if frame.kind is FrameKind.CANCEL:
            task = self._task_by_call.get(frame.call_id)
            if task is not None:
                task.cancel()
            return
        if frame.kind is FrameKind.PING:
            self._stream.send(_PONG)
            return
        if frame.kind is not FrameKind.REQUEST:
            raise _malformed(f'{frame.kind.name} from a caller')
        if frame.call_id in self._task_by_call:
            raise _malformed(f'call {frame.call_id} is in flight already')
        if len(self._task_by_call) >= self._limits.calls:
            self._send_failure(
                frame.call_id, Outcome.RATE_LIMITED, 'too many calls in flight'
            )
            return
        request = typing.cast(PeerRequest, frame.message)
        task = asyncio.create_task(self._answer(frame.call_id, request))
        self._task_by_call[frame.call_id] = task
        task.add_done_callback(
            lambda _: self._task_by_call.pop(frame.call_id, None)
        )

    async def _answer(self, call_id: int, request: PeerRequest) -> None:
        try:
            reply = await self._handler(self._host, request)
            self._send_reply(call_id, reply)
        except OutcomeError as error:
            self._send_failure(call_id, error.outcome, error.detail)
        except PeerFrameError as error:
            self._log_refusal(error.outcome, error)
            self._send_failure(call_id, error.outcome, str(error))
        except PeerUnavailableError as error:
            # The handler passes the call on, and the next host may be silent.
            code = Outcome.PEER_UNAVAILABLE
            log.info(
                'call from %r not answered: %s',
                self._host,
                error,
                extra={'code': int(code)},
            )
            self._send_failure(call_id, code, str(error))
        except Exception:
            code = Outcome.INTERNAL_ERROR
            log.exception('handler failed', extra={'code': int(code)})
            self._send_failure(call_id, code, 'see the log of the peer')
        await self._drain()

    def _send_reply(self, call_id: int, reply: PeerReply) -> None:
        self._stream.send(encode_frame(Frame(FrameKind.REPLY, call_id, reply)))

    def _send_failure(self, call_id: int, outcome: Outcome, text: str) -> None:
        failure = CallFailure(int(outcome), text)
        frame = Frame(FrameKind.FAILURE, call_id, failure)
        self._stream.send(encode_frame(frame))

    async def _drain(self) -> None:
        try:
            async with asyncio.timeout(self._limits.frame_s):
                await self._stream.drain()
        except OSError as error:
            log.info('%r takes no answers: %r', self._host, error)
            self._stream.close()


def _malformed(detail: str) -> PeerFrameError:
    return PeerFrameError(Outcome.PEER_FRAME_MALFORMED, detail)
