"""Clients of endpoints that go through another host where links are lost."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Awaitable, Callable
from typing import TypeVar

import msgspec

from mustardscale.blackboard import EndpointEntry
from mustardscale.endpoints.engines import (
    CacheEvent,
    EngineControl,
    EngineOrder,
    LoadReport,
)
from mustardscale.exceptions import (
    EndpointFailedError,
    EndpointGoneError,
    EndpointOutOfReachError,
    EndpointRefusedError,
    EndpointUnreachableError,
    PeerUnavailableError,
)
from mustardscale.forwarding.forwarded_calls import (
    pack_handle,
    pack_request,
    raise_failure,
    record_notices,
    unpack_handle,
    unpack_head,
)
from mustardscale.forwarding.forwarders import (
    DEADLINE_MARGIN_S,
    ForwardedReply,
    Forwarders,
)
from mustardscale.forwarding.link_monitor import LIVENESS_TIMEOUT_S, LinkMonitor
from mustardscale.json_content import decode_json
from mustardscale.peers.forward_messages import (
    NO_POSITION,
    ForwardCall,
    ForwardClose,
    ForwardKind,
    ForwardPart,
    ForwardRead,
    ForwardReply,
)
from mustardscale.relay.endpoint_listener import EndpointListener
from mustardscale.relay.relay_endpoint import (
    EndpointAnswer,
    PrefillHandle,
    RelayCall,
    RelayEndpoint,
)

# Time after which an unanswered call for the next part is given up, seconds.
# The other host answers sooner, without data if there are none.
READ_TIMEOUT_S = 4.0
FREE_TIMEOUT_S = 1.0
REPORT_TIMEOUT_S = 0.9
# Time after which the other hosts are asked for the start number, too, seconds.
OTHERS_AFTER_S = 0.05
# Body above which a request is not forwarded, bytes. It fits a frame.
MAX_BODY_BYTES = 786_432

ResultT = TypeVar('ResultT')


class ForwardedAnswer(EndpointAnswer):
    """An answer whose content another host reads."""

    def __init__(
        self, forwarders: Forwarders, forwarded: ForwardedReply
    ) -> None:
        self.head, self.framing = unpack_head(forwarded.reply)
        self._forwarders = forwarders
        self._host = forwarded.host
        self._stream = forwarded.reply.stream
        self._ended = False
        self._link_closed = False

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """See the base class."""
        received = 0
        while not self._ended:
            part = await self._read_part(received)
            received += len(part.data)
            if part.data:
                yield part.data
            self._ended = part.ended or part.failed
            self._link_closed = part.link_closed
            if part.failed:
                raise EndpointFailedError(
                    f'through {self._host}: {part.detail}', part.crashed
                )

    async def _read_part(self, position: int) -> ForwardPart:
        """Reads the part that begins at a position.

        Raises:
            EndpointFailedError: it did not arrive, or begins elsewhere.
        """
        try:
            part = await self._forwarders.calls.call(
                self._host,
                ForwardRead(self._stream, position),
                ForwardPart,
                READ_TIMEOUT_S,
            )
        except PeerUnavailableError as error:
            raise EndpointFailedError(
                f'the answer through {self._host} broke off: {error}'
            ) from error
        if part.position not in (NO_POSITION, position):
            raise EndpointFailedError(
                f'through {self._host}: a part at {part.position},'
                f' not at {position}'
            )
        return part

    def close(self) -> None:
        """See the base class."""
        if self._ended:
            return
        self._ended = True
        self._forwarders.close_later(self._host, ForwardClose(self._stream))

    def was_link_closed(self, ended_at: float) -> bool:
        """See the base class.

        The other host has found it out when the content ended there.
        """
        return self._link_closed


class ForwardingEndpoint(RelayEndpoint):
    """Client of one endpoint.

    Attributes:
        direct: the client that uses this host's own links only.
    """

    def __init__(
        self,
        entry: EndpointEntry,
        direct: RelayEndpoint,
        listener: EndpointListener,
        monitor: LinkMonitor,
    ):
        self.direct = _DirectEndpoint(entry.id, direct, monitor)
        self._entry = entry
        self._listener = listener
        self._monitor = monitor

    async def run(self, call: RelayCall) -> EndpointAnswer:
        """See the base class."""

        async def forward() -> EndpointAnswer:
            forwarded = await self._forward(ForwardKind.RUN, call)
            return ForwardedAnswer(self._monitor.forwarders, forwarded)

        return await self._send(lambda: self.direct.run(call), forward)

    async def prefill(self, call: RelayCall) -> PrefillHandle:
        """See the base class."""

        async def forward() -> PrefillHandle:
            forwarded = await self._forward(ForwardKind.PREFILL, call)
            handle = unpack_handle(forwarded.reply.handle)
            if handle is None:
                raise EndpointFailedError('prefill: no result was named')
            return handle

        return await self._send(lambda: self.direct.prefill(call), forward)

    async def free(self, handle: PrefillHandle) -> None:
        """See the base class."""

        async def forward() -> None:
            call = ForwardCall(
                ForwardKind.FREE, self._entry.id, handle=pack_handle(handle)
            )
            await self._ask(call, FREE_TIMEOUT_S)

        await self._send(lambda: self.direct.free(handle), forward)

    async def read_start(self) -> int:
        """See the base class.

        Other hosts are asked, too, if the endpoint does not answer this one at
        once: a link that this host has lost shows nothing of the process.

        Raises:
            EndpointOutOfReachError: neither this host nor one that it asked has
                links to the endpoints.
        """
        began_at = asyncio.get_running_loop().time()
        direct = asyncio.ensure_future(self.direct.read_start())
        try:
            is_forwarded = self._monitor.links.is_forwarded(self._entry.id)
            wait_s = 0.0 if is_forwarded else OTHERS_AFTER_S
            await asyncio.wait([direct], timeout=wait_s)
            if direct.done() and _is_answer(direct):
                return direct.result()
            return await self._read_start_elsewhere(direct, began_at)
        finally:
            direct.cancel()
            await asyncio.gather(direct, return_exceptions=True)

    async def _read_start_elsewhere(
        self, direct: asyncio.Future[int], began_at: float
    ) -> int:
        call = ForwardCall(ForwardKind.START, self._entry.id)
        try:
            forwarded = await self._ask(call, 2 * LIVENESS_TIMEOUT_S)
        except EndpointOutOfReachError:
            await asyncio.wait([direct])
            if not _is_answer(
                direct
            ) and not await self._monitor.reaches_others(
                self._entry.id, began_at
            ):
                raise
            return direct.result()
        except EndpointUnreachableError:
            await asyncio.wait([direct])
            if _is_answer(direct) or await self._was_refused(direct, began_at):
                return direct.result()
            raise
        return forwarded.reply.start

    async def _was_refused(
        self, direct: asyncio.Future[int], began_at: float
    ) -> bool:
        """Returns whether the endpoint refused a host that has links.

        That shows more than the other host's connection that was not made.
        """
        return isinstance(
            direct.exception(), EndpointGoneError
        ) and await self._monitor.reaches_others(self._entry.id, began_at)

    async def _send(
        self,
        direct: Callable[[], Awaitable[ResultT]],
        forward: Callable[[], Awaitable[ResultT]],
    ) -> ResultT:
        """Calls the endpoint directly, or through another host if need be."""
        endpoint_id = self._entry.id
        monitor = self._monitor
        await monitor.wait_for_link_checks()
        now = asyncio.get_running_loop().time()
        if monitor.links.is_forwarded(endpoint_id):
            monitor.try_directly(endpoint_id)
            try:
                return await forward()
            except EndpointUnreachableError:
                monitor.start_check(endpoint_id)
                raise
        if monitor.links.is_out_of_reach(endpoint_id, now):
            monitor.try_directly(endpoint_id)
            raise EndpointOutOfReachError('no host has links to the endpoints')
        try:
            return await direct()
        except EndpointUnreachableError:
            if not await monitor.is_forwarded_after(endpoint_id):
                raise
        except EndpointFailedError as error:
            if error.crashed:
                monitor.check_lost_connection(endpoint_id)
            raise
        return await forward()

    async def _forward(
        self, kind: ForwardKind, call: RelayCall
    ) -> ForwardedReply:
        """Has another host send a request to the endpoint."""
        if len(call.request.body) > MAX_BODY_BYTES:
            raise EndpointUnreachableError(
                f'a body above {MAX_BODY_BYTES} bytes is not forwarded'
            )
        request = pack_request(call)
        message = ForwardCall(
            kind, self._entry.id, request, pack_handle(call.prefill)
        )
        return await self._ask(
            message, max(0.0, request.deadline_s) + DEADLINE_MARGIN_S
        )

    async def _ask(
        self, message: ForwardCall, timeout_s: float
    ) -> ForwardedReply:
        forwarded = await self._monitor.forwarders.call(
            self._entry, message, timeout_s
        )
        record_notices(forwarded.reply, self._listener)
        raise_failure(forwarded.reply, forwarded.host)
        return forwarded


class _DirectEndpoint(RelayEndpoint):
    """Client that uses this host's own links and records that they work."""

    def __init__(
        self, endpoint_id: str, inner: RelayEndpoint, monitor: LinkMonitor
    ):
        self._endpoint_id = endpoint_id
        self._inner = inner
        self._monitor = monitor

    async def run(self, call: RelayCall) -> EndpointAnswer:
        """See the base class."""
        return await self._record(self._inner.run(call))

    async def prefill(self, call: RelayCall) -> PrefillHandle:
        """See the base class."""
        return await self._record(self._inner.prefill(call))

    async def free(self, handle: PrefillHandle) -> None:
        """See the base class."""
        await self._record(self._inner.free(handle))

    async def read_start(self) -> int:
        """See the base class."""
        return await self._record(self._inner.read_start())

    async def _record(self, call: Awaitable[ResultT]) -> ResultT:
        try:
            result = await call
        except EndpointRefusedError:
            self._monitor.record_reached(self._endpoint_id)
            raise
        self._monitor.record_reached(self._endpoint_id)
        return result


class ForwardingControl(EngineControl):
    """Control client of one engine.

    Reports come through another host where links are lost. Orders never do:
    who gives them is told by the host that sends them.
    """

    def __init__(
        self, entry: EndpointEntry, direct: EngineControl, monitor: LinkMonitor
    ):
        self.direct = direct
        self._entry = entry
        self._monitor = monitor

    async def report(self) -> LoadReport:
        """See the base class."""
        endpoint_id = self._entry.id
        if self._monitor.links.is_forwarded(endpoint_id):
            self._monitor.try_directly(endpoint_id)
            return await self._forward_report()
        try:
            report = await self.direct.report()
        except EndpointUnreachableError:
            if not await self._monitor.is_forwarded_after(endpoint_id):
                raise
            return await self._forward_report()
        except EndpointFailedError as error:
            if error.crashed:
                self._monitor.check_lost_connection(endpoint_id)
            raise
        self._monitor.record_reached(endpoint_id)
        return report

    async def _forward_report(self) -> LoadReport:
        call = ForwardCall(ForwardKind.REPORT, self._entry.id)
        forwarded = await self._monitor.forwarders.call(
            self._entry, call, REPORT_TIMEOUT_S
        )
        raise_failure(forwarded.reply, forwarded.host)
        return decode_report(forwarded.reply)

    async def order(self, order: EngineOrder) -> None:
        """See the base class."""
        await self.direct.order(order)

    async def cache_events(self, after: int) -> list[CacheEvent]:
        """See the base class."""
        return await self.direct.cache_events(after)

    async def close(self) -> None:
        """See the base class."""
        await self.direct.close()


def decode_report(reply: ForwardReply) -> LoadReport:
    """Returns the load report in a reply.

    Raises:
        EndpointFailedError: it cannot be read.
    """
    try:
        return decode_json(reply.report, LoadReport)
    except msgspec.MsgspecError as error:
        raise EndpointFailedError(f'forwarded report: {error}') from error


def _is_answer(direct: asyncio.Future[int]) -> bool:
    """Returns whether an endpoint answered, also if it refused."""
    error = direct.exception()
    return error is None or isinstance(error, EndpointRefusedError)
