"""HTTP client sessions that record whether a request may have been sent."""

from __future__ import annotations

import math
import types
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import aiohttp

from mustardscale.endpoints.bounded_connections import BoundedConnector

# Seconds for which an idle connection is kept. Servers commonly keep it longer,
# so a request is rarely sent on a connection that the server is closing.
KEEPALIVE_S = 5.0
# Maximum size of a line of an answer's head, in bytes.
DEFAULT_HEADER_BYTES = 8190
# Seconds after which a connection attempt fails.
CONNECT_TIMEOUT_S = 1.0
# Headers one of which marks the end of an answer's content.
_FRAMING_HEADERS = ('Content-Length', 'Transfer-Encoding')

# Header that names the calling host to the platform's services.
HOST_ID_HEADER = 'X-Host-Id'

_SendRequest = Callable[
    [aiohttp.ClientRequest], Awaitable[aiohttp.ClientResponse]
]


class ConnectionLostError(Exception):
    """A connection broke before its answer began."""


class AnswerTooLargeError(Exception):
    """An answer's content is longer than allowed."""


class RequestUnreadError(aiohttp.ClientError):
    """An answer that its connection ends came before its request arrived."""


# Errors that a request may raise when it gets no complete answer.
REQUEST_ERRORS = (
    aiohttp.ClientError,
    TimeoutError,
    OSError,
    ConnectionLostError,
    AnswerTooLargeError,
)


class ObservedResponse(aiohttp.ClientResponse):
    """An answer that tells how its connection ended."""

    # Kept here since the answer gives its connection back once it has ended,
    # which may be before its content is read.
    _read_protocol: Any = None

    def find_connection_error(self) -> BaseException | None:
        """Returns the error that ended the connection, if one did so far."""
        if self._read_protocol is None:
            return None
        return self._read_protocol.exception()

    def find_connection_ended_after(self) -> float:
        """Returns the loop time before which its connection had not ended.

        Returns:
            Negative infinity if that is not known.
        """
        if self._read_protocol is None:
            return -math.inf
        return self._read_protocol.ended_after

    def count_unsent_bytes(self) -> int:
        """Returns the bytes of its request that had not arrived at its end."""
        if self._read_protocol is None:
            return 0
        unsent: int = self._read_protocol.unsent_bytes
        return unsent

    async def start(
        self, connection: aiohttp.connector.Connection
    ) -> aiohttp.ClientResponse:
        """Reads the head of the answer."""
        self._read_protocol = connection.protocol
        return await super().start(connection)


class SendProgress:
    """Records whether bytes of a request may have left this host.

    Attributes:
        connected: whether the request was given a connection, so that bytes
            of it may have been sent.
    """

    __slots__ = ('connected',)

    def __init__(self) -> None:
        self.connected = False


async def _mark_connected(
    session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    params: Any,
) -> None:
    progress = context.trace_request_ctx
    if progress is not None:
        progress.connected = True


async def _forbid_resending(
    request: aiohttp.ClientRequest, send: _SendRequest
) -> aiohttp.ClientResponse:
    """Prevents aiohttp from sending a request again.

    When a connection breaks, aiohttp resends requests with an idempotent
    method, but only after its own errors. So those are raised as
    ConnectionLostError.
    """
    try:
        return await send(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLostError(str(error)) from error


def make_session(
    host: str = '',
    max_header_bytes: int = DEFAULT_HEADER_BYTES,
    skip_auto_headers: Iterable[str] = (),
    connector: BoundedConnector | None = None,
) -> aiohttp.ClientSession:
    """Creates a session that sends each request at most once.

    Requests are made with trace_request_ctx=SendProgress() and fail with one
    of REQUEST_ERRORS. Cookies, proxies from the environment and decompression
    are off. Redirects are followed unless a request is made with
    allow_redirects=False.

    Args:
        host: id of this host, sent with each request unless empty.
        max_header_bytes: maximum size of a line of an answer's head.
        skip_auto_headers: names of headers that aiohttp must not add.
        connector: makes the connections; if None, a connector that keeps
            idle connections for KEEPALIVE_S.
    """
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_mark_connected)
    trace.on_connection_reuseconn.append(_mark_connected)
    if connector is None:
        connector = BoundedConnector(limit=0, keepalive_timeout=KEEPALIVE_S)
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        response_class=ObservedResponse,
        trace_configs=[trace],
        middlewares=(_forbid_resending,),
        auto_decompress=False,
        max_line_size=max_header_bytes,
        max_field_size=max_header_bytes,
        skip_auto_headers=skip_auto_headers,
        headers={HOST_ID_HEADER: host} if host else None,
    )


async def read_content(
    response: aiohttp.ClientResponse,
    max_bytes: int,
    on_chunk: Callable[[], None] | None = None,
) -> bytes:
    """Reads the whole content of an answer.

    Args:
        response: the answer.
        max_bytes: size of the content at most.
        on_chunk: called when a part of the content has come.

    Raises:
        AnswerTooLargeError: the content is longer than max_bytes.
        RequestUnreadError: only the end of its connection delimits it, and
            part of its request had not arrived by then.
    """
    content = bytearray()
    async for chunk in response.content.iter_any():
        if on_chunk is not None:
            on_chunk()
        content += chunk
        if len(content) > max_bytes:
            raise AnswerTooLargeError(f'answer above {max_bytes} bytes')
    if not any(name in response.headers for name in _FRAMING_HEADERS):
        assert isinstance(response, ObservedResponse)
        unsent = response.count_unsent_bytes()
        if unsent:
            raise RequestUnreadError(f'{unsent} bytes of the request are left')
    return bytes(content)


def describe_error(error: BaseException) -> str:
    """Returns an error's message, or its type's name if it has none."""
    return str(error) or type(error).__name__
