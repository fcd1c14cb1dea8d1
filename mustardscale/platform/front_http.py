"""HTTP servers for the platform's load balancer: requests and readiness."""

from __future__ import annotations

import asyncio
import logging
import socket
import struct
from collections.abc import Callable

from aiohttp import HttpVersion11, web

from mustardscale.callers.body_memory import host_overloaded
from mustardscale.callers.caller_bodies import BodyReader
from mustardscale.callers.caller_connections import (
    CallerLimits,
    CallerServer,
    check_header_size,
    end_refused,
    is_refused,
    write_chunk,
    write_in_time,
)
from mustardscale.callers.caller_refusals import CallerRefusals
from mustardscale.callers.held_answers import HeldAnswers, body_size
from mustardscale.callers.problem_details import problem_of, problem_response
from mustardscale.endpoints.http_plain import HOP_BY_HOP_HEADERS
from mustardscale.exceptions import OutcomeError
from mustardscale.outcomes import Outcome
from mustardscale.platform import names
from mustardscale.relay.relay_messages import (
    Headers,
    RelayRequest,
    SizeEstimate,
    WholeAnswer,
)
from mustardscale.relay.stream_relay import RelayedStream
from mustardscale.relay_router import RelayRouter

log = logging.getLogger(__name__)

_BACKLOG = 1_024
# A linger time of 0 seconds, with which closing a socket resets it, and none,
# with which it sends what is left.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_SEND_ON_CLOSE = struct.pack('ii', 0, 0)
# Interval at which a connection is looked at until all was sent, seconds.
_SENT_LOOK_S = 0.01
_SERVICE_UNAVAILABLE = 503
# Probes, scrapers and operators; more than one of each is unusual.
_READY_LIMITS = CallerLimits(connections=128)
_REPLACED_HEADERS = frozenset({'content-length', 'expect', 'host'})
# Headers that the system states itself, with the caller's value.
_RESTATED_HEADERS = frozenset(
    {names.LAST_EVENT_ID.lower(), names.REQUEST_ID.lower()}
)


class FrontServer:
    """Serves the requests of clients on one address.

    Attributes:
        refusals: clients that were refused or cut off.
    """

    def __init__(
        self, router: RelayRouter, limits: CallerLimits, close_timeout_s: float
    ):
        """Prepares the server.

        Args:
            router: relays the requests.
            limits: limits on connections and requests of clients.
            close_timeout_s: seconds after which stop() closes the connections
                that are still open.
        """
        self._router = router
        self._limits = limits
        self._close_timeout_s = close_timeout_s
        self.refusals = CallerRefusals()
        self._bodies = BodyReader(limits, self.refusals)
        self._answers = HeldAnswers(limits.all_answers_bytes, self.refusals)
        self._server: CallerServer | None = None
        self._runner: web.ServerRunner | None = None

    async def start(self, host: str, port: int) -> None:
        """Starts listening."""
        self._server = CallerServer(self._handle, self._limits, self.refusals)
        self._runner = web.ServerRunner(
            self._server, shutdown_timeout=self._close_timeout_s
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port, backlog=_BACKLOG)
        await site.start()

    @property
    def address(self) -> str:
        """The address on which the server listens, 'ip:port'."""
        assert self._runner is not None
        ip, port = self._runner.addresses[0][:2]
        return f'{ip}:{port}'

    def set_limits(self, limits: CallerLimits) -> None:
        """Sets the limits for new requests and new connections."""
        self._limits = limits
        self._bodies.set_limits(limits)
        self._answers.set_max(limits.all_answers_bytes)
        if self._server is not None:
            self._server.set_limits(limits)

    async def stop(self) -> None:
        """Stops listening and waits for the requests in progress."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        request_id = request.headers.get(names.REQUEST_ID, '')
        try:
            return await self._relay(request)
        except OutcomeError as error:
            response = make_error_response(error, request_id)
        except (ConnectionError, asyncio.CancelledError):
            raise
        except Exception:
            log.exception('request failed', extra={'request_id': request_id})
            response = make_error_response(
                OutcomeError(Outcome.INTERNAL_ERROR), request_id
            )
        finally:
            self._bodies.release(request)
        await self._send(request, response)
        return response

    async def _relay(self, request: web.BaseRequest) -> web.StreamResponse:
        arrived_at = asyncio.get_running_loop().time()
        if is_refused(request):
            raise host_overloaded('it has too many connections')
        check_header_size(request, self._limits)
        body = await self._bodies.read(request)
        relayed = make_relay_request(request, body, arrived_at)
        async with self._router.serve(relayed) as answer:
            if isinstance(answer, WholeAnswer):
                response = _make_whole_response(answer)
                await self._send(request, response)
                return response
            return await self._stream(request, answer)

    async def _stream(
        self, request: web.BaseRequest, answer: RelayedStream
    ) -> web.StreamResponse:
        """Sends the events of a stream to the client as they arrive.

        Raises:
            ConnectionResetError: the client disconnected, or the answer broke
                off. In the second case the client sees an incomplete answer.
        """
        head = answer.head
        response = web.StreamResponse(status=head.status)
        for name, value in head.headers:
            response.headers.add(name, value)
        if request.version >= HttpVersion11:
            response.enable_chunked_encoding()
        else:
            # Only the end of the connection ends the answer, whatever the
            # caller asked for, and only a reset tells a broken answer from a
            # whole one, also when this process ends.
            response.force_close()
            _set_linger(request, _RESET_ON_CLOSE)
        self._close_if_draining(response)
        await write_in_time(request, response.prepare(request), self._limits)
        try:
            async for data in answer.events():
                await write_chunk(request, response, data, self._limits)
        except (ConnectionError, asyncio.CancelledError):
            _break_off(request)
            raise
        except Exception as error:
            if not isinstance(error, OutcomeError):
                log.exception('stream failed')
            _break_off(request)
            raise ConnectionResetError('the answer broke off') from error
        await write_in_time(request, response.write_eof(), self._limits)
        if request.version < HttpVersion11:
            await write_in_time(
                request, _wait_until_sent(request), self._limits
            )
            _set_linger(request, _SEND_ON_CLOSE)
        return response

    def _close_if_draining(self, response: web.StreamResponse) -> None:
        if self._router.blackboard.draining:
            response.force_close()

    async def _send(
        self, request: web.BaseRequest, response: web.StreamResponse
    ) -> None:
        """Sends an answer that is complete in memory."""
        end_refused(request, response)
        self._close_if_draining(response)

        async def send() -> None:
            await response.prepare(request)
            await response.write_eof()

        with self._answers.hold(request, body_size(response)):
            await write_in_time(request, send(), self._limits)


def _break_off(request: web.BaseRequest) -> None:
    """Ends a connection so that the client sees an incomplete answer."""
    transport = request.transport
    if transport is None:
        return
    if request.version >= HttpVersion11:
        # What was sent still arrives, without the final chunk.
        transport.close()
    else:
        transport.abort()


async def _wait_until_sent(request: web.BaseRequest) -> None:
    """Waits until the system has taken all that was written to a caller.

    Raises:
        ConnectionResetError: the connection was closed before.
    """
    while True:
        transport = request.transport
        if transport is None or transport.is_closing():
            raise ConnectionResetError('the caller left')
        if not transport.get_write_buffer_size():
            return
        await asyncio.sleep(_SENT_LOOK_S)


def _set_linger(request: web.BaseRequest, linger: bytes) -> None:
    """Sets what closing a caller's connection does."""
    if request.transport is not None:
        request.transport.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, linger
        )


def make_relay_request(
    request: web.BaseRequest, body: bytes, arrived_at: float
) -> RelayRequest:
    """Converts a client's HTTP request to a request of the router.

    Raises:
        OutcomeError: MALFORMED_REQUEST, if the request id or the Host header
            is missing or comes more than once, or a header that is forwarded
            is not UTF-8.
    """
    headers = request.headers
    request_id = headers.get(names.REQUEST_ID, '')
    host = headers.get('Host', '')
    if not request_id or len(headers.getall(names.REQUEST_ID)) > 1:
        raise OutcomeError(
            Outcome.MALFORMED_REQUEST, f'{names.REQUEST_ID} must come once'
        )
    if len(headers.getall('Host', [])) != 1:
        raise OutcomeError(Outcome.MALFORMED_REQUEST, 'Host must come once')
    forwarded = _select_forwarded_headers(request)
    keys = headers.getall(names.CREDENTIAL, [])
    return RelayRequest(
        id=request_id,
        host=host.partition(':')[0],
        method=request.method,
        target=request.raw_path,
        headers=tuple(
            item for item in forwarded if not _identifies_caller(item[0])
        ),
        body=body,
        arrived_at=arrived_at,
        timeout_s=_parse_milliseconds(headers.get(names.REQUEST_DEADLINE)),
        size=_parse_size(
            headers.get(names.TOKEN_USAGE), headers.get(names.LENGTH_HINT)
        ),
        resume_after=headers.get(names.LAST_EVENT_ID, ''),
        resumes=headers.get(names.RESUMES, '').strip(),
        segments=_parse_segments(headers.get(names.PROMPT_PREFIX)),
        credential=keys[0].strip() if len(keys) == 1 else '',
        identity_headers=tuple(
            item for item in forwarded if _identifies_caller(item[0])
        ),
    )


def _identifies_caller(header: str) -> bool:
    return header.lower() in names.IDENTITY_HEADERS


def _select_forwarded_headers(request: web.BaseRequest) -> Headers:
    """Returns the headers that are forwarded to the worker.

    Raises:
        OutcomeError: MALFORMED_REQUEST, one of them, or one that is forwarded
            by its meaning, is not UTF-8.
    """
    raw = [
        (name.decode('latin-1'), value) for name, value in request.raw_headers
    ]
    dropped = set(HOP_BY_HOP_HEADERS)
    for name, value in raw:
        if name.lower() == 'connection':
            listed = value.decode('latin-1').split(',')
            named = {token.strip().lower() for token in listed}
            dropped |= named - names.NEVER_HOP_BY_HOP_HEADERS
    dropped |= names.SYSTEM_HEADERS | _REPLACED_HEADERS
    dropped.add(names.REQUEST_ID.lower())
    for name, value in raw:
        if name.lower() in _RESTATED_HEADERS:
            _decode(name, value)
    return tuple(
        (name, _decode(name, value))
        for name, value in raw
        if name.lower() not in dropped
    )


def _decode(name: str, value: bytes) -> str:
    """Returns a header's value as text that is sent on as the same bytes.

    Raises:
        OutcomeError: MALFORMED_REQUEST, it is not UTF-8.
    """
    try:
        return value.decode()
    except UnicodeDecodeError as error:
        raise OutcomeError(
            Outcome.MALFORMED_REQUEST,
            f'header {name} is not UTF-8; encode it so, or leave it out',
        ) from error


def _parse_milliseconds(text: str | None) -> float | None:
    """Converts a header in milliseconds to seconds.

    Returns:
        None if the header is missing or not a number.

    >>> [_parse_milliseconds(text) for text in ('1500', 'soon', None)]
    [1.5, None, None]
    """
    if text is None or not text.strip().isdigit():
        return None
    return int(text) / 1000.0


def _parse_size(usage: str | None, hint: str | None) -> SizeEstimate | None:
    """Parses the token counts of the usage and length hint headers.

    Returns:
        None if the usage header is missing or not a pair of numbers.

    >>> _parse_size('1460,80', '70')
    SizeEstimate(prompt_tokens=1460, max_output_tokens=80, \
output_hint_tokens=70)
    >>> _parse_size('many', None) is None
    True
    """
    parts = (usage or '').split(',')
    if len(parts) != 2 or not all(part.strip().isdigit() for part in parts):
        return None
    prompt, output = (int(part) for part in parts)
    hinted = int(hint) if hint is not None and hint.strip().isdigit() else 0
    return SizeEstimate(max(1, prompt), max(1, output), hinted)


def _parse_segments(text: str | None) -> tuple[str, ...]:
    """Returns the ids of the prompt's parts that other requests may share.

    The last part is the request's own. Entries without an id are left out.

    >>> _parse_segments('5C1E07A2:800, 91bd3f06:410,:7,e4402b7d:250')
    ('5c1e07a2', '91bd3f06')
    >>> _parse_segments('e4402b7d:250'), _parse_segments(None)
    ((), ())
    """
    shared = (text or '').split(',')[:-1]
    ids = (entry.partition(':')[0].strip().lower() for entry in shared)
    return tuple(segment for segment in ids if segment)


def make_error_response(error: OutcomeError, request_id: str) -> web.Response:
    """Returns the HTTP response to a request that ended with an error."""
    status = None
    if error.outcome in (Outcome.QUARANTINED, Outcome.ALREADY_IN_PROGRESS):
        # The request was not run, and it is well-formed.
        status = _SERVICE_UNAVAILABLE
    response = problem_response(error, request_id, status)
    if names.RETRY_AFTER in response.headers:
        seconds = problem_of(error).retry_after or 0.0
        response.headers[names.RETRY_AFTER] = f'{seconds:.2f}'
    return response


def _make_whole_response(answer: WholeAnswer) -> web.Response:
    response = web.Response(status=answer.head.status, body=answer.body)
    for name, value in answer.head.headers:
        response.headers.add(name, value)
    return response


class ReadyServer:
    """Serves the platform's readiness check, the metrics and the state."""

    def __init__(
        self,
        is_ready: Callable[[], bool],
        metrics_text: Callable[[], str],
        dump: Callable[[], bytes],
    ):
        """Prepares the server.

        Args:
            is_ready: returns whether this host may receive requests.
            metrics_text: renders the metrics as Prometheus text.
            dump: renders the state as JSON.
        """
        self._is_ready = is_ready
        self._metrics_text = metrics_text
        self._dump = dump
        self._runner: web.ServerRunner | None = None

    async def start(self, host: str, port: int) -> None:
        """Starts listening."""
        self._runner = web.ServerRunner(
            CallerServer(self._handle, _READY_LIMITS)
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()

    async def stop(self) -> None:
        """Stops listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        response = self._answer(request)
        end_refused(request, response)
        return response

    def _answer(self, request: web.BaseRequest) -> web.Response:
        path = request.path
        if is_refused(request):
            return web.Response(status=_SERVICE_UNAVAILABLE)
        if path == names.READY_PATH:
            ready = self._is_ready()
            return web.Response(status=200 if ready else _SERVICE_UNAVAILABLE)
        if path == '/metrics':
            return web.Response(text=self._metrics_text())
        if path == '/state':
            return web.Response(
                body=self._dump(), content_type='application/json'
            )
        return web.Response(status=404)
