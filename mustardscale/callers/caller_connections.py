"""The HTTP server of callers' connections, with limits on slow callers."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from collections.abc import Awaitable, Callable

from aiohttp import http_exceptions, web

from mustardscale.callers.bounded_reads import READ_BYTES, BoundedReads
from mustardscale.callers.bounded_requests import BoundedRequests
from mustardscale.callers.caller_refusals import CallerRefusals
from mustardscale.callers.problem_details import problem_response
from mustardscale.exceptions import OutcomeError
from mustardscale.outcomes import Outcome

log = logging.getLogger(__name__)

RequestHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

# Seconds for which the rest of a refused body is read and dropped.
LINGERING_S = 2.0

# Connections beyond the limit that are answered with a refusal; further ones
# are cut off.
REFUSED_CONNECTIONS = 64
# Seconds in which a refused connection must have sent its request.
REFUSED_HEADER_TIMEOUT_S = 2.0

# Bytes that a connection with nothing to send takes without waiting.
_SMALL_CHUNK_BYTES = 16_384

# Memory of whole answers that are being sent, in bytes.
DEFAULT_ANSWERS_BYTES = 67_108_864

# How the HTTP library's message about the number of headers begins.
_TOO_MANY_HEADERS = 'Too many headers'


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may take up.

    Attributes:
        connections: connections of all callers together.
        all_bodies_bytes: size of the bodies of all requests in progress.
        all_answers_bytes: size of all whole answers that are being sent.
        header_bytes: size of all headers, and of the request line.
        body_bytes: size of a body.
        header_timeout_s: seconds for a request's headers to arrive.
        body_timeout_s: seconds for a request's body to arrive.
        write_timeout_s: seconds for which a caller may read nothing.
        keepalive_timeout_s: seconds for which a connection may be idle.
    """

    connections: int = 2_000
    all_bodies_bytes: int = 268_435_456
    all_answers_bytes: int = DEFAULT_ANSWERS_BYTES
    header_bytes: int = 16_384
    body_bytes: int = 2_097_152
    header_timeout_s: float = 10.0
    body_timeout_s: float = 15.0
    write_timeout_s: float = 20.0
    keepalive_timeout_s: float = 75.0


class CallerConnection(BoundedRequests):
    """One connection; answers unreadable and slow requests with a code.

    Attributes:
        refused: whether it is one too many, so that no request is served.
    """

    __slots__ = (
        '_caller_server',
        '_header_timeout_s',
        '_header_timer',
        'refused',
    )

    def __init__(
        self,
        server: CallerServer,
        loop: asyncio.AbstractEventLoop,
        limits: CallerLimits,
    ):
        super().__init__(
            server,
            loop,
            limits.header_bytes,
            limits.keepalive_timeout_s,
            LINGERING_S,
        )
        self._caller_server = server
        self.refused = False
        self._header_timeout_s = limits.header_timeout_s
        self._header_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Counts the connection, and refuses it if it is one too many."""
        super().connection_made(transport)
        surplus = self._caller_server.count_opened()
        self.refused = surplus > 0
        if self.refused:
            self.refusals.connections += 1
        if surplus > REFUSED_CONNECTIONS:
            assert isinstance(transport, asyncio.WriteTransport)
            transport.abort()
        elif self.refused:
            self._header_timer = self._loop.call_later(
                REFUSED_HEADER_TIMEOUT_S, self._refuse_slow_headers
            )

    def data_received(self, data: bytes) -> None:
        """Passes bytes to the parser and watches over partial headers."""
        count = self._request_count
        super().data_received(data)
        if self._request_count != count:
            self._stop_header_timer()
        elif self._header_timer is None and self.awaits_head:
            self._header_timer = self._loop.call_later(
                self._header_timeout_s, self._refuse_slow_headers
            )

    @property
    def refusals(self) -> CallerRefusals:
        """The refusals of all connections."""
        return self._caller_server.refusals

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the request in progress."""
        self._caller_server.count_closed()
        self._stop_header_timer()
        super().connection_lost(exc)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answers a request that could not be parsed.

        Raises:
            ConnectionError: the caller left, or got part of an answer.
        """
        if isinstance(exc, ConnectionError) or request.writer.output_size > 0:
            raise ConnectionResetError('connection lost') from exc
        outcome = _outcome_of(exc)
        if outcome is Outcome.INTERNAL_ERROR:
            log.error('request failed', exc_info=exc)
        response = problem_response(OutcomeError(outcome))
        response.force_close()
        return response

    def _refuse_slow_headers(self) -> None:
        """Cuts a connection whose headers did not arrive in time."""
        self._header_timer = None
        if self.transport is None or not self.awaits_head:
            return
        self.refusals.heads_too_slow += 1
        self._refuse_head(Outcome.REQUEST_TOO_SLOW)

    def on_large_head(self) -> None:
        """Refuses a head; one behind an earlier request ends after it."""
        self.refusals.heads_too_large += 1
        if self.awaits_head:
            self._refuse_head(Outcome.REQUEST_TOO_LARGE)
        else:
            self.close()

    def on_large_framing(self) -> None:
        """Counts a body that is mostly framing."""
        self.refusals.framings_too_large += 1

    def _refuse_head(self, outcome: Outcome) -> None:
        """Answers a request that has not been parsed, and closes."""
        if self.transport is not None:
            self.transport.write(_unparsed_answer(outcome))
        self.force_close()

    def _stop_header_timer(self) -> None:
        """Stops to wait for headers."""
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None


class CallerServer(web.Server):
    """Makes a CallerConnection for each connection.

    Attributes:
        open_connections: connections that are open.
        refusals: callers that were refused or cut off.
    """

    def __init__(
        self,
        handler: RequestHandler,
        limits: CallerLimits,
        refusals: CallerRefusals | None = None,
    ):
        super().__init__(handler, handler_cancellation=True)
        self._limits = limits
        self._read_buffer = memoryview(bytearray(READ_BYTES))
        self.open_connections = 0
        self.refusals = refusals or CallerRefusals()

    def set_limits(self, limits: CallerLimits) -> None:
        """Sets the limits of connections that are opened from now on."""
        self._limits = limits

    def count_opened(self) -> int:
        """Counts a connection; returns how many there are beyond the limit."""
        self.open_connections += 1
        return max(0, self.open_connections - self._limits.connections)

    def count_closed(self) -> None:
        """Counts the end of a connection."""
        self.open_connections -= 1

    def __call__(self) -> BoundedReads:  # type: ignore[override]
        """Returns the protocol of a new connection."""
        connection = CallerConnection(self, self._loop, self._limits)
        return BoundedReads(connection, self._read_buffer)


def is_refused(request: web.BaseRequest) -> bool:
    """Returns whether a request came on a connection that is one too many."""
    connection = request.protocol
    return isinstance(connection, CallerConnection) and connection.refused


def end_refused(request: web.BaseRequest, response: web.StreamResponse) -> None:
    """Ends a connection after its answer if it is refused or still sends."""
    is_whole = request.content.is_eof()
    if not is_whole and isinstance(request.protocol, CallerConnection):
        request.protocol.drop_rest()
    if not is_whole or is_refused(request):
        response.force_close()


def check_header_size(request: web.BaseRequest, limits: CallerLimits) -> None:
    """Checks the size of all headers together.

    Raises:
        OutcomeError: REQUEST_TOO_LARGE.
    """
    size = sum(len(name) + len(value) for name, value in request.raw_headers)
    if size > limits.header_bytes:
        raise OutcomeError(
            Outcome.REQUEST_TOO_LARGE,
            f'headers of {size} bytes exceed {limits.header_bytes}',
        )


async def write_chunk(
    request: web.BaseRequest,
    response: web.StreamResponse,
    data: bytes,
    limits: CallerLimits,
) -> None:
    """Sends a piece of a stream; cuts off a caller that does not read.

    Raises:
        ConnectionResetError: the caller left or was cut off.
    """
    transport = request.transport
    if (
        transport is not None
        and len(data) <= _SMALL_CHUNK_BYTES
        and transport.get_write_buffer_size() == 0
    ):
        # Can't block, so that the cost of a timeout is saved.
        await response.write(data)
    else:
        await write_in_time(request, response.write(data), limits)


async def write_in_time(
    request: web.BaseRequest, writing: Awaitable[object], limits: CallerLimits
) -> None:
    """Awaits a write; cuts off a caller that does not read.

    Raises:
        ConnectionResetError: the caller was cut off.
    """
    try:
        async with asyncio.timeout(limits.write_timeout_s):
            await writing
    except TimeoutError as error:
        log.info('caller cut off: it does not read its answer')
        if isinstance(request.protocol, CallerConnection):
            request.protocol.refusals.answers_unread += 1
        if request.transport is not None:
            request.transport.abort()
        raise ConnectionResetError('the caller does not read') from error


def _outcome_of(error: BaseException | None) -> Outcome:
    """Returns the code for an error of the HTTP library."""
    if isinstance(error, http_exceptions.LineTooLong):
        return Outcome.REQUEST_TOO_LARGE
    if isinstance(error, http_exceptions.HttpProcessingError):
        if error.message.startswith(_TOO_MANY_HEADERS):
            return Outcome.REQUEST_TOO_LARGE
        return Outcome.MALFORMED_REQUEST
    return Outcome.INTERNAL_ERROR


def _unparsed_answer(outcome: Outcome) -> bytes:
    """Returns an HTTP answer for a request that has not been parsed yet."""
    response = problem_response(OutcomeError(outcome))
    body = response.body
    assert isinstance(body, bytes)
    return (
        b'HTTP/1.1 %d %b\r\nConnection: close\r\n'
        b'Content-Type: application/problem+json\r\n'
        b'Content-Length: %d\r\n\r\n%b'
        % (response.status, outcome.name.encode(), len(body), body)
    )
