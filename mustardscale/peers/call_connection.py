"""An open connection to a peer, over which this host calls it."""

from __future__ import annotations

import asyncio
import itertools
import logging
import math
import typing

from mustardscale.exceptions import (
    PeerCallError,
    PeerFrameError,
    PeerNotReachedError,
    PeerUnavailableError,
)
from mustardscale.outcomes import Outcome
from mustardscale.peers.connection_liveness import ConnectionLiveness, Liveness
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
    Greeting,
    PeerLimits,
    PeerTraffic,
)

log = logging.getLogger(__name__)

_PING = encode_frame(Frame(FrameKind.PING, 0))


class _PendingCall:
    """A call in flight.

    Attributes:
        reply: gets the frame that answers it.
        began_at: loop time at which it was sent.
    """

    __slots__ = ('began_at', 'reply')

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.reply: asyncio.Future[Frame] = loop.create_future()
        self.began_at = loop.time()


class CallConnection:
    """An open connection that carries many calls at once.

    Attributes:
        closed: whether it has ended.
    """

    def __init__(
        self,
        greeting: Greeting,
        stream: FrameStream,
        limits: PeerLimits,
        traffic: PeerTraffic,
    ):
        """Starts to read.

        Args:
            greeting: the greetings that opened it.
            stream: the connection after the greeting.
            limits: bounds of connections.
            traffic: counts what is exchanged.
        """
        self.closed = False
        self._greeting = greeting
        self._stream = stream
        self._limits = limits
        self._traffic = traffic
        self._liveness = ConnectionLiveness(
            limits.ping_after_s,
            limits.ping_timeout_s if self.answers_pings else limits.unheard_s,
        )
        # Loop times of the first call that was given up since bytes last came,
        # and of these bytes.
        self._unheard_since = -math.inf
        self._unheard_after = -math.inf
        self._pinged_at = -math.inf
        self._call_ids = itertools.count(1)
        # The oldest call comes first.
        self._pending_by_id: dict[int, _PendingCall] = {}
        self._reading = asyncio.create_task(self._read())

    async def call(self, request: PeerRequest) -> PeerReply:
        """Sends a request and returns the reply.

        Raises:
            PeerUnavailableError: no usable reply came.
        """
        if len(self._pending_by_id) >= self._limits.calls:
            raise PeerNotReachedError('too many calls in flight')
        call_id = next(self._call_ids)
        data = _encode_request(call_id, request)
        pending = self._pending_by_id[call_id] = _PendingCall()
        try:
            self._stream.send(data)
            await self._stream.drain()
            frame = await pending.reply
        except OSError as error:
            raise PeerUnavailableError(f'connection lost: {error}') from error
        finally:
            del self._pending_by_id[call_id]
            if not pending.reply.done() or pending.reply.cancelled():
                cancel = Frame(FrameKind.CANCEL, call_id)
                self._stream.send(encode_frame(cancel))
                self._note_unheard(pending)
        return _reply_of(frame, request)

    def _note_unheard(self, pending: _PendingCall) -> None:
        """Counts a call that was given up if nothing came since it began.

        This tells a connection that carries nothing from a peer that answers
        other calls. It is logged once until bytes come again.
        """
        received_at = self._stream.received_at
        if received_at > pending.began_at:
            return
        self._traffic.calls_unheard += 1
        if self._has_unheard_calls():
            return
        self._unheard_since = pending.began_at
        self._unheard_after = received_at
        log.info(
            'call to %s given up: its connection brought nothing for %.3f s',
            self._greeting.server.host,
            asyncio.get_running_loop().time() - received_at,
        )

    @property
    def is_unused(self) -> bool:
        """Whether no call is in flight."""
        return not self._pending_by_id

    @property
    def awaits_bytes(self) -> bool:
        """Whether calls are in flight or were given up unheard."""
        return bool(self._pending_by_id) or self._has_unheard_calls()

    @property
    def answers_pings(self) -> bool:
        """Whether the peer answers pings."""
        return self._greeting.server.answers_pings

    @property
    def nonce(self) -> bytes:
        """What tells this connection from others of this host."""
        return self._greeting.caller.nonce

    def check(self) -> Liveness:
        """Returns whether it carries anything, and pings the peer if due."""
        if not self.answers_pings and not self._has_unheard_calls():
            return Liveness.LIVE
        liveness = self._liveness.judge(
            asyncio.get_running_loop().time(),
            self._find_waiting_since(),
            self._stream.measure_transfer,
        )
        if liveness is Liveness.PING_DUE:
            self._ping()
        return liveness

    def _find_waiting_since(self) -> float | None:
        """Returns when the first call began of which nothing was heard.

        Calls that are given up count too, so that short ones show silence as
        well as long ones.
        """
        if self._has_unheard_calls():
            return self._unheard_since
        pending = next(iter(self._pending_by_id.values()), None)
        return pending.began_at if pending is not None else None

    def check_replaced(self) -> Liveness:
        """Does the same for a connection that was replaced.

        It is pinged also while replies come, as the serving side closes it
        when nothing comes from here.
        """
        liveness = self.check()
        now = asyncio.get_running_loop().time()
        if now - self._pinged_at >= self._limits.ping_after_s:
            self._ping()
        return liveness

    def _ping(self) -> None:
        if not self.answers_pings:
            return
        self._pinged_at = asyncio.get_running_loop().time()
        self._stream.send(_PING)
        self._traffic.pings_sent += 1

    def restart_ping(self) -> None:
        """Lets the peer be pinged again in place of an unanswered ping."""
        self._liveness.restart()

    def _has_unheard_calls(self) -> bool:
        """Returns whether calls were given up since bytes last came."""
        return self._unheard_after == self._stream.received_at

    async def close(self) -> None:
        """Closes the connection; calls in flight fail."""
        self.abort('closed')
        await asyncio.gather(self._reading, return_exceptions=True)

    def abort(self, reason: str) -> None:
        """Closes the connection without a wait; calls in flight fail.

        Args:
            reason: what these calls tell.
        """
        self._reading.cancel()
        # Not left to the reader, which may be cancelled before it begins.
        self._end(reason)

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
                if self._pending_by_id:
                    continue
                return
            if frame.kind is FrameKind.PONG:
                continue
            if frame.kind not in (FrameKind.REPLY, FrameKind.FAILURE):
                raise PeerFrameError(
                    Outcome.PEER_FRAME_MALFORMED,
                    f'{frame.kind.name} in place of a reply',
                )
            pending = self._pending_by_id.get(frame.call_id)
            # The call may have been given up since.
            if pending is not None and not pending.reply.done():
                pending.reply.set_result(frame)

    def _end(self, reason: str) -> None:
        self.closed = True
        self._stream.close()
        for pending in self._pending_by_id.values():
            if not pending.reply.done():
                pending.reply.set_exception(
                    PeerUnavailableError(f'connection lost: {reason}')
                )


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
