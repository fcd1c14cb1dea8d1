"""A peer transport inside one process, with faults, for virtual time."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from collections.abc import Coroutine

from mustardscale.exceptions import (
    OutcomeError,
    PeerCallError,
    PeerFrameError,
    PeerUnavailableError,
)
from mustardscale.outcomes import Outcome
from mustardscale.peers.config_messages import ConfigFetchReply
from mustardscale.peers.peer_codec import Frame, FrameKind, encode_frame
from mustardscale.peers.peer_messages import PeerReply, PeerRequest
from mustardscale.peers.peer_transport import PeerHandler, PeerTransport


@dataclasses.dataclass(eq=False, slots=True)
class PeerCall:
    """One call between two hosts.

    Attributes:
        source: host that calls.
        target: host that is called.
        future: the reply.
        task: what carries the call, and runs its handler.
    """

    source: str
    target: str
    future: asyncio.Future[PeerReply]
    task: asyncio.Task[None] | None = None


class MemoryPeerNetwork:
    """Hosts and the links between them."""

    def __init__(self, rng: random.Random, latency_s: float = 0.0015):
        self._rng = rng
        self._latency_s = latency_s
        self._latency_by_pair: dict[tuple[str, str], float] = {}
        self._loss_by_pair: dict[tuple[str, str], float] = {}
        self._cut_pairs: set[tuple[str, str]] = set()
        self._thawed_by_host: dict[str, asyncio.Event] = {}
        self._handler_by_host: dict[str, PeerHandler] = {}
        self._dead_hosts: set[str] = set()
        self._calls: set[PeerCall] = set()
        self._background: set[asyncio.Task[None]] = set()

    def transport(self, host: str) -> MemoryPeerTransport:
        """Returns the transport of a host."""
        return MemoryPeerTransport(self, host)

    def set_latency(self, one: str, other: str, seconds: float) -> None:
        """Sets the one-way latency between two hosts."""
        self._latency_by_pair[one, other] = seconds
        self._latency_by_pair[other, one] = seconds

    def cut(self, source: str, target: str, one_way: bool = False) -> None:
        """Loses messages from source to target, and back unless one_way."""
        self._cut_pairs.add((source, target))
        if not one_way:
            self._cut_pairs.add((target, source))

    def restore(self, one: str, other: str) -> None:
        """Ends a cut in both directions."""
        self._cut_pairs -= {(one, other), (other, one)}

    def passes(self, one: str, other: str) -> bool:
        """Returns whether messages pass between two hosts, both ways."""
        return not self._cut_pairs & {(one, other), (other, one)}

    def lose_replies(self, source: str, target: str, share: float) -> None:
        """Loses this share of the replies that source sends to target."""
        self._loss_by_pair[source, target] = share

    def freeze(self, host: str) -> None:
        """Keeps messages to and from a host waiting; its timers run on."""
        self._thawed_by_host.setdefault(host, asyncio.Event())

    def thaw(self, host: str) -> None:
        """Ends a freeze."""
        event = self._thawed_by_host.pop(host, None)
        if event is not None:
            event.set()

    def kill(self, host: str, silent: bool = False) -> None:
        """Ends a host, with the handlers that run on it.

        Args:
            host: id of the host.
            silent: peers see no closed connection, as when power is lost.
        """
        self._dead_hosts.add(host)
        self._handler_by_host.pop(host, None)
        for call in list(self._calls):
            if call.target == host:
                _cancel_handler(call)
                if not silent:
                    self._spawn(self._reset(call))
            elif call.source == host:
                _fail(call, PeerUnavailableError('this host is dead'))
                if not silent:
                    self._spawn(self._cancel_after_travel(call))

    def attach(self, host: str, handler: PeerHandler) -> None:
        """Starts to serve calls to a host; ends its death."""
        self._dead_hosts.discard(host)
        self._handler_by_host[host] = handler

    async def exchange(
        self, source: str, target: str, request: PeerRequest
    ) -> PeerReply:
        """Carries a request to the target and its reply back.

        Raises:
            PeerUnavailableError: either host is dead or refuses.
        """
        if source in self._dead_hosts:
            raise PeerUnavailableError('this host is dead')
        call = PeerCall(
            source, target, asyncio.get_running_loop().create_future()
        )
        self._calls.add(call)
        call.task = self._spawn(self._serve(call, request))
        call.task.add_done_callback(lambda _: self._calls.discard(call))
        try:
            return await call.future
        finally:
            if not call.future.done() or call.future.cancelled():
                self._spawn(self._cancel_after_travel(call))

    async def _serve(self, call: PeerCall, request: PeerRequest) -> None:
        if not await self._travel(call.source, call.target, call, request):
            return
        reply: PeerReply | PeerUnavailableError
        handler = self._handler_by_host.get(call.target)
        if handler is None:
            reply = PeerUnavailableError(f'{call.target} refuses')
        else:
            reply = await _handle(handler, call.source, request)
        await self._return(call, reply)

    async def _return(
        self, call: PeerCall, reply: PeerReply | PeerUnavailableError
    ) -> None:
        pair = (call.target, call.source)
        if self._rng.random() < self._loss_by_pair.get(pair, 0.0):
            return
        message = None if isinstance(reply, PeerUnavailableError) else reply
        if not await self._travel(*pair, call, message):
            return
        if isinstance(reply, PeerUnavailableError):
            _fail(call, reply)
        elif not call.future.done():
            call.future.set_result(reply)

    async def _travel(
        self,
        source: str,
        target: str,
        call: PeerCall,
        message: PeerRequest | PeerReply | None = None,
    ) -> bool:
        """Waits for a message to arrive; returns whether it does.

        Args:
            source: host that sends it.
            target: host to which it goes.
            call: the call that it belongs to.
            message: its content, None for a notice without any.
        """
        await self._wait_thawed(source)
        if (source, target) in self._cut_pairs:
            return False
        await self._carry(source, target, call, message)
        await asyncio.sleep(
            self._latency_by_pair.get((source, target), self._latency_s)
        )
        await self._wait_thawed(target)
        return (source, target) not in self._cut_pairs

    async def _carry(
        self,
        source: str,
        target: str,
        call: PeerCall,
        message: PeerRequest | PeerReply | None,
    ) -> None:
        """Waits until the links of both hosts have carried a message.

        These links have no limit.
        """

    async def _wait_thawed(self, host: str) -> None:
        while (event := self._thawed_by_host.get(host)) is not None:
            await event.wait()

    async def _reset(self, call: PeerCall) -> None:
        if await self._travel(call.target, call.source, call):
            _fail(call, PeerUnavailableError('connection lost'))

    async def _cancel_after_travel(self, call: PeerCall) -> None:
        if await self._travel(call.source, call.target, call):
            _cancel_handler(call)

    def _spawn(self, job: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(job)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task


class MemoryPeerTransport(PeerTransport):
    """The transport of one host on a MemoryPeerNetwork."""

    def __init__(self, network: MemoryPeerNetwork, host: str):
        self._network = network
        self._host = host
        self._closed = False

    async def start(self, handler: PeerHandler) -> None:
        """Starts to serve; handler gets the peer's id and the request."""
        self._network.attach(self._host, handler)

    async def call(
        self, host: str, address: str, request: PeerRequest, timeout_s: float
    ) -> PeerReply:
        """Sends a request and returns the reply; see PeerTransport."""
        if self._closed:
            raise PeerUnavailableError('this process has stopped')
        try:
            async with asyncio.timeout(timeout_s):
                return await self._network.exchange(self._host, host, request)
        except TimeoutError as error:
            raise PeerUnavailableError(
                f'no reply from {host} within {timeout_s} s'
            ) from error

    async def close(self) -> None:
        """Closes all connections and stops serving."""
        self._closed = True
        self._network.kill(self._host)


async def _handle(
    handler: PeerHandler, source: str, request: PeerRequest
) -> PeerReply | PeerUnavailableError:
    try:
        reply = await handler(source, request)
        if isinstance(reply, ConfigFetchReply):
            # Others stay far from the limit; encoding all would be slow.
            encode_frame(Frame(FrameKind.REPLY, 1, reply))
        return reply
    except PeerFrameError as error:
        return PeerCallError(error.outcome, str(error))
    except OutcomeError as error:
        return PeerCallError(error.outcome, error.detail)
    except PeerUnavailableError as error:
        return PeerCallError(Outcome.PEER_UNAVAILABLE, str(error))
    except Exception as error:
        return PeerCallError(Outcome.INTERNAL_ERROR, repr(error))


def _cancel_handler(call: PeerCall) -> None:
    if call.task is not None:
        call.task.cancel()


def _fail(call: PeerCall, error: PeerUnavailableError) -> None:
    if not call.future.done():
        call.future.set_exception(error)
