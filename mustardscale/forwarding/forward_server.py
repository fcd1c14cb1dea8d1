"""Calls endpoints for hosts that have lost their links to them."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
from collections.abc import AsyncIterator, Awaitable, Iterator

import msgspec

from mustardscale.active_requests import ActiveRequests
from mustardscale.background_tasks import BackgroundTasks
from mustardscale.blackboard import Blackboard, EndpointEntry
from mustardscale.controller import Controller
from mustardscale.endpoints.answer_framing import AnswerFraming
from mustardscale.exceptions import (
    EndpointFailedError,
    EndpointGoneError,
    EndpointRefusedError,
    EndpointUnreachableError,
    OutcomeError,
)
from mustardscale.forwarding.forwarded_calls import (
    pack_handle,
    pack_headers,
    unpack_call,
    unpack_handle,
)
from mustardscale.forwarding.forwarding_endpoint import (
    ForwardingControl,
    ForwardingEndpoint,
)
from mustardscale.forwarding.link_monitor import LinkMonitor, ReadStart
from mustardscale.peers.forward_messages import (
    NO_LIMIT,
    NO_POSITION,
    ForwardCall,
    ForwardClose,
    ForwardKind,
    ForwardOutcome,
    ForwardPart,
    ForwardRead,
    ForwardReply,
)
from mustardscale.peers.peer_calls import PeerCalls
from mustardscale.peers.peer_messages import Acknowledgement
from mustardscale.relay.relay_endpoint import EndpointAnswer, RelayClients
from mustardscale.reporting.event_log import EventKind
from mustardscale.reporting.metrics import Metrics

# Requests forwarded at the same time at most, and the bytes of their bodies.
MAX_OPEN_CALLS = 64
MAX_OPEN_BYTES = 8 * 1024 * 1024
# Time that a call for the next part waits for it, seconds.
READ_WAIT_S = 2.0
# Bytes in one part at most.
MAX_PART_BYTES = 262_144
# Time without a call for the next part after which an answer is closed,
# seconds. A caller may be slow to take what was read before.
UNREAD_TIMEOUT_S = 30.0
# The same before the first call for a part, which follows the reply at once
# unless the reply was lost.
FIRST_READ_TIMEOUT_S = 2.0
# Time after a request's deadline at which its answer is closed, seconds.
DEADLINE_MARGIN_S = 0.5
EXPIRY_INTERVAL_S = 0.25
# Time after the end of an answer that its connection delimits in which the
# other connections of a path that is closed are closed, too, seconds.
PATH_CLOSES_S = 0.002
# Numbers of answers set aside for each start number of the process. A process
# that gives out more runs for many units of the start number, milliseconds.
NUMBERS_PER_START = 2**20
_SENDING_KINDS = (ForwardKind.RUN, ForwardKind.PREFILL)


@dataclasses.dataclass(eq=False, slots=True)
class _OpenAnswer:
    """An answer that another host reads.

    Attributes:
        sender: the host.
        incarnation: start number of its process when it asked.
        answer: the endpoint's answer.
        chunks: its content.
        ends_at: loop time at which it is closed.
        read_at: loop time of the last call for a part, or of the reply.
        was_read: whether a part was called for.
        next_chunk: the part that is being read.
        rest: bytes that were read and not yet passed on.
        position: number of bytes that were passed on.
    """

    sender: str
    incarnation: int
    answer: EndpointAnswer
    chunks: AsyncIterator[bytes]
    ends_at: float
    read_at: float
    next_chunk: asyncio.Future[bytes] | None = None
    rest: bytes = b''
    was_read: bool = False
    position: int = 0

    def take_part(self) -> ForwardPart:
        """Takes a part from the bytes that were read."""
        part = ForwardPart(self.rest[:MAX_PART_BYTES], position=self.position)
        self.rest = self.rest[MAX_PART_BYTES:]
        self.position += len(part.data)
        return part

    def close(self) -> None:
        """Closes the answer."""
        if self.next_chunk is not None:
            self.next_chunk.cancel()
        self.answer.close()


@dataclasses.dataclass(frozen=True, slots=True)
class _CalledEndpoint:
    """An endpoint that a request was sent to.

    Attributes:
        entry: its entry, which may have left the list since.
        client: its client.
        until: loop time after which no host asks about the request any more.
    """

    entry: EndpointEntry
    client: ForwardingEndpoint
    until: float


class ForwardServer(Controller):
    """Serves the calls that other hosts have forwarded here.

    Attributes:
        open_calls: requests that are being forwarded now.
    """

    def __init__(
        self,
        board: Blackboard,
        calls: PeerCalls,
        clients: RelayClients,
        monitor: LinkMonitor,
        active: ActiveRequests,
        metrics: Metrics,
    ):
        self._board = board
        self._clients = clients
        self._monitor = monitor
        self._active = active
        self._metrics = metrics
        self._background = BackgroundTasks()
        self._numbers = itertools.count(_first_number(board.incarnation))
        self._open_by_number: dict[int, _OpenAnswer] = {}
        self._called_by_id: dict[str, _CalledEndpoint] = {}
        self.open_calls = 0
        self._open_bytes = 0
        monitor.find_direct = self._find_direct
        calls.handle(ForwardCall, self._on_call)
        calls.handle(ForwardRead, self._on_read)
        calls.handle(ForwardClose, self._on_close)
        metrics.add_gauge('forwarded_calls_open', lambda: self.open_calls)

    async def run(self) -> None:
        """Closes answers that nobody reads any more."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            for number, opened in list(self._open_by_number.items()):
                if self._is_abandoned(opened, now):
                    self._end(number)
            self._forget_called(now)
            self._monitor.links.retain_only(set(self._board.endpoints_by_id))

    def _is_abandoned(self, opened: _OpenAnswer, now: float) -> bool:
        sender = self._board.hosts_by_id.get(opened.sender)
        unread_s = UNREAD_TIMEOUT_S if opened.was_read else FIRST_READ_TIMEOUT_S
        return (
            now > opened.ends_at
            or now - opened.read_at > unread_s
            or sender is None
            or sender.silent
            or sender.incarnation != opened.incarnation
        )

    def _forget_called(self, now: float) -> None:
        for endpoint_id, called in list(self._called_by_id.items()):
            if now > called.until:
                del self._called_by_id[endpoint_id]

    def _end(self, number: int) -> None:
        opened = self._open_by_number.pop(number, None)
        if opened is not None:
            opened.close()
            self._leave()

    def _leave(self) -> None:
        self.open_calls -= 1
        self._active.leave()

    def _find_direct(self, endpoint_id: str) -> ReadStart | None:
        """Returns what asks an endpoint directly, None if it is gone."""
        client = self._clients.relay(endpoint_id)
        if not isinstance(client, ForwardingEndpoint):
            return None
        return client.direct.read_start

    async def _on_call(self, sender: str, call: ForwardCall) -> ForwardReply:
        entry = self._board.endpoints_by_id.get(call.endpoint)
        if entry is None:
            return await self._reply_for_unlisted(call)
        reply = await self._make_reply(sender, entry, call)
        self._metrics.count(f'forwarded_calls_{reply.outcome.value}')
        if call.kind in _SENDING_KINDS:
            self._board.events.emit(
                EventKind.CALL_FORWARDED,
                call.request.id,
                endpoint=call.endpoint,
                call=call.kind.value,
                sender=sender,
                outcome=reply.outcome.value,
                detail=reply.detail,
            )
        return self._add_notices(entry, reply)

    async def _reply_for_unlisted(self, call: ForwardCall) -> ForwardReply:
        """Replies to a call to an endpoint that is not listed.

        Its process may run on after its entry was removed, and is asked about
        itself when an answer that went through here has ended.
        """
        called = self._called_by_id.get(call.endpoint)
        if called is None or call.kind is not ForwardKind.START:
            return ForwardReply(ForwardOutcome.UNREACHED, 'not listed')
        reply = await self._reply_with_errors(
            called.entry, False, _read_start(called.client)
        )
        return self._add_notices(called.entry, reply)

    async def _make_reply(
        self, sender: str, entry: EndpointEntry, call: ForwardCall
    ) -> ForwardReply:
        """Makes the call and returns how it ended."""
        now = asyncio.get_running_loop().time()
        sends = call.kind in _SENDING_KINDS
        if sends and not entry.takes_work(now):
            return ForwardReply(
                ForwardOutcome.UNREACHED,
                'the endpoint takes no calls',
                reaches_others=True,
            )
        # A link that was not tried may be asked, but carries no request.
        links = self._monitor.links
        if links.is_cut_off and (sends or entry.id in links.lost_by_id):
            self._monitor.try_directly(entry.id)
            return ForwardReply(ForwardOutcome.UNREACHED, 'links lost here')
        return await self._reply_with_errors(
            entry, sends, self._call(sender, entry, call)
        )

    async def _reply_with_errors(
        self, entry: EndpointEntry, sends: bool, reply: Awaitable[ForwardReply]
    ) -> ForwardReply:
        """Returns the reply of a call, or that which tells of its error.

        Args:
            entry: the endpoint.
            sends: whether the call sends it a request.
            reply: the call.
        """
        now = asyncio.get_running_loop().time()
        try:
            return await reply
        except EndpointUnreachableError as error:
            self._monitor.check_lost_connection(entry.id)
            return ForwardReply(
                ForwardOutcome.UNREACHED,
                str(error),
                gone=isinstance(error, EndpointGoneError),
                reaches_others=await self._monitor.reaches_others(
                    entry.id, now
                ),
            )
        except EndpointRefusedError as error:
            return ForwardReply(ForwardOutcome.REFUSED, error.reason)
        except EndpointFailedError as error:
            if error.crashed:
                self._monitor.check_lost_connection(entry.id)
            outcome = ForwardOutcome.FAILED
            reaches_others = True
            if not sends:
                outcome = ForwardOutcome.UNREACHED
                reaches_others = await self._monitor.reaches_others(
                    entry.id, now
                )
            return ForwardReply(
                outcome,
                str(error),
                error.crashed,
                reaches_others=reaches_others,
            )

    async def _call(
        self, sender: str, entry: EndpointEntry, call: ForwardCall
    ) -> ForwardReply:
        """Makes a call over this host's own links."""
        client = self._clients.relay(entry.id)
        if not isinstance(client, ForwardingEndpoint):
            raise EndpointUnreachableError('the endpoint is gone')
        if call.kind is ForwardKind.REPORT:
            return await self._report(entry.id)
        if call.kind is ForwardKind.START:
            return await _read_start(client)
        if call.kind is ForwardKind.FREE:
            handle = unpack_handle(call.handle)
            if handle is not None:
                await client.direct.free(handle)
            return ForwardReply(ForwardOutcome.DONE)
        return await self._send(sender, entry, client, call)

    async def _report(self, engine_id: str) -> ForwardReply:
        control = self._clients.control(engine_id)
        if not isinstance(control, ForwardingControl):
            raise EndpointUnreachableError('the engine is gone')
        report = await control.direct.report()
        self._monitor.record_reached(engine_id)
        return ForwardReply(
            ForwardOutcome.DONE, report=msgspec.json.encode(report)
        )

    async def _send(
        self,
        sender: str,
        entry: EndpointEntry,
        client: ForwardingEndpoint,
        call: ForwardCall,
    ) -> ForwardReply:
        """Sends a request to run or to prefill, if there is room for it."""
        size = len(call.request.body)
        if (
            self._board.draining
            or self.open_calls >= MAX_OPEN_CALLS
            or self._open_bytes + size > MAX_OPEN_BYTES
        ):
            return ForwardReply(ForwardOutcome.OVERLOADED)
        try:
            self._active.enter()
        except OutcomeError as error:
            return ForwardReply(ForwardOutcome.OVERLOADED, error.detail)
        self.open_calls += 1
        kept_open = False
        try:
            with self._count_bytes(size):
                relayed = unpack_call(call.request, call.handle)
                if call.kind is ForwardKind.PREFILL:
                    handle = await client.direct.prefill(relayed)
                    return ForwardReply(
                        ForwardOutcome.DONE, handle=pack_handle(handle)
                    )
                self._record_called(entry, client, relayed.deadline_at)
                answer = await client.direct.run(relayed)
            kept_open = True
            return self._open(sender, answer, relayed.deadline_at)
        finally:
            if not kept_open:
                self._leave()

    def _record_called(
        self,
        entry: EndpointEntry,
        client: ForwardingEndpoint,
        deadline_at: float,
    ) -> None:
        until = deadline_at + DEADLINE_MARGIN_S
        known = self._called_by_id.get(entry.id)
        if known is not None and known.client is client:
            until = max(until, known.until)
        self._called_by_id[entry.id] = _CalledEndpoint(entry, client, until)

    @contextlib.contextmanager
    def _count_bytes(self, size: int) -> Iterator[None]:
        """Counts the bytes of a body while it is sent."""
        self._open_bytes += size
        try:
            yield
        finally:
            self._open_bytes -= size

    def _open(
        self, sender: str, answer: EndpointAnswer, deadline_at: float
    ) -> ForwardReply:
        """Keeps an answer open for its host to read."""
        number = next(self._numbers)
        host = self._board.hosts_by_id.get(sender)
        self._open_by_number[number] = _OpenAnswer(
            sender,
            host.incarnation if host is not None else 0,
            answer,
            answer.chunks(),
            deadline_at + DEADLINE_MARGIN_S,
            asyncio.get_running_loop().time(),
        )
        return ForwardReply(
            ForwardOutcome.DONE,
            status=answer.head.status,
            headers=pack_headers(answer.head.headers),
            framing=answer.framing.value,
            stream=number,
        )

    def _add_notices(
        self, entry: EndpointEntry, reply: ForwardReply
    ) -> ForwardReply:
        """Adds what the endpoint has stated of itself to this host."""
        now = asyncio.get_running_loop().time()
        notice = entry.notice
        limit_per_s = NO_LIMIT
        if (
            notice.rate_limit is not None
            and notice.rate_limit.per_s is not None
        ):
            limit_per_s = notice.rate_limit.per_s
        return dataclasses.replace(
            reply,
            leaving=notice.leaving,
            busy_s=max(0.0, notice.busy_until - now),
            limit_per_s=limit_per_s,
        )

    async def _on_read(self, sender: str, read: ForwardRead) -> ForwardPart:
        opened = self._open_by_number.get(read.stream)
        if opened is None or opened.sender != sender:
            return ForwardPart(failed=True, detail='the answer was closed')
        if read.position not in (NO_POSITION, opened.position):
            # A part was lost on its way, and is not kept.
            self._end(read.stream)
            return ForwardPart(
                failed=True,
                detail=f'read at {read.position}, not at {opened.position}',
            )
        opened.read_at = asyncio.get_running_loop().time()
        opened.was_read = True
        if opened.rest:
            return opened.take_part()
        try:
            return await self._read(read.stream, opened)
        except asyncio.CancelledError:
            # The other host has given the answer up, or has ended.
            self._end(read.stream)
            raise

    async def _read(self, number: int, opened: _OpenAnswer) -> ForwardPart:
        """Waits for the next part of an answer."""
        if opened.next_chunk is None:
            opened.next_chunk = asyncio.ensure_future(_next(opened.chunks))
        chunk = opened.next_chunk
        await asyncio.wait([chunk], timeout=READ_WAIT_S)
        if not chunk.done():
            return ForwardPart(position=opened.position)
        if chunk.cancelled():
            return ForwardPart(failed=True, detail='the answer was closed')
        opened.next_chunk = None
        error = chunk.exception()
        if error is None and chunk.result():
            opened.rest = chunk.result()
            return opened.take_part()
        if error is None:
            return await self._make_last_part(number, opened)
        self._end(number)
        crashed = isinstance(error, EndpointFailedError) and error.crashed
        return ForwardPart(failed=True, detail=str(error), crashed=crashed)

    async def _make_last_part(
        self, number: int, opened: _OpenAnswer
    ) -> ForwardPart:
        """Returns the part that tells of an answer's end, and closes it."""
        answer = opened.answer
        ended_at = asyncio.get_running_loop().time()
        if answer.framing is AnswerFraming.CONNECTION:
            await asyncio.sleep(PATH_CLOSES_S)
        link_closed = answer.was_link_closed(ended_at)
        self._end(number)
        return ForwardPart(
            ended=True, position=opened.position, link_closed=link_closed
        )

    async def _on_close(
        self, sender: str, close: ForwardClose
    ) -> Acknowledgement:
        opened = self._open_by_number.get(close.stream)
        if opened is not None and opened.sender == sender:
            self._end(close.stream)
        return Acknowledgement()


async def _read_start(client: ForwardingEndpoint) -> ForwardReply:
    """Asks an endpoint's process about itself over this host's own links."""
    start = await client.direct.read_start()
    return ForwardReply(ForwardOutcome.DONE, start=start)


async def _next(chunks: AsyncIterator[bytes]) -> bytes:
    """Returns the next bytes that are not empty, none at the end."""
    async for data in chunks:
        if data:
            return data
    return b''


def _first_number(incarnation: int) -> int:
    """Returns the first number of an answer of a process.

    It is above all numbers that earlier processes of the host gave out, so
    that a number never stands for an answer of another process.

    >>> _first_number(1), _first_number(2)
    (1048577, 2097153)
    """
    return (incarnation * NUMBERS_PER_START + 1) % 2**63
