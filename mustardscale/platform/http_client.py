"""HTTP client parts: sessions, sockets, timeouts and errors of calls."""

from __future__ import annotations

import socket
from typing import Any

import aiohttp
import yarl

from mustardscale.endpoints.bounded_connections import BoundedConnector
from mustardscale.endpoints.http_sessions import (
    ConnectionLostError,
    SendProgress,
    describe_error,
    make_session,
)
from mustardscale.exceptions import (
    EndpointFailedError,
    EndpointGoneError,
    EndpointUnreachableError,
)

# TCP keep-alive probes, which detect a peer that no longer responds: idle
# seconds before the first probe, seconds between two, number of probes.
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2
# Receive buffer of a connection. An endpoint may fill it at any time, so it is
# kept small.
RECEIVE_BUFFER_BYTES = 32_768
# Maximum length of an error's text, which may quote received data.
MAX_DETAIL_CHARS = 200
# Timeout of a connection attempt, seconds.
CONNECT_TIMEOUT_S = 0.3
MAX_HEADER_BYTES = 65_536
_AUTOMATIC_HEADERS = ('Accept', 'Accept-Encoding', 'Content-Type', 'User-Agent')


def make_probing_socket(address: Any) -> socket.socket:
    """Makes a socket with keep-alive probes and a small receive buffer."""
    family, kind, protocol, _, _ = address
    made = socket.socket(family, kind, protocol)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)
    return made


def make_client(connection_per_call: bool) -> aiohttp.ClientSession:
    """Makes an HTTP session.

    Args:
        connection_per_call: whether each call gets a new connection, so that
            the answer to one call cannot be mistaken for that to another.
    """
    connector = BoundedConnector(
        limit=0,
        force_close=connection_per_call,
        socket_factory=make_probing_socket,
    )
    return make_session(
        max_header_bytes=MAX_HEADER_BYTES,
        skip_auto_headers=_AUTOMATIC_HEADERS,
        connector=connector,
    )


def make_url(address: str, target: str) -> yarl.URL:
    """Returns the URL of a target, which is kept as the caller encoded it."""
    return yarl.URL(f'http://{address}{target}', encoded=True)


def make_timeout(seconds: float) -> aiohttp.ClientTimeout:
    """Returns the time limits of a call, at least a millisecond in total."""
    return aiohttp.ClientTimeout(
        total=max(0.001, seconds), sock_connect=CONNECT_TIMEOUT_S
    )


def make_endpoint_error(
    error: BaseException, progress: SendProgress
) -> EndpointUnreachableError | EndpointFailedError:
    """Converts the error of a call to an endpoint.

    Returns:
        EndpointUnreachableError if no connection was made, so that the
        endpoint got nothing of the request, EndpointGoneError if it was
        refused; otherwise EndpointFailedError,
        marked as a crash if the connection was lost.
    """
    detail = describe_error(error)[:MAX_DETAIL_CHARS]
    if not progress.connected:
        if isinstance(error, aiohttp.ClientConnectorError) and isinstance(
            error.os_error, ConnectionRefusedError
        ):
            return EndpointGoneError(detail)
        return EndpointUnreachableError(detail)
    lost = isinstance(
        error, (ConnectionLostError, aiohttp.ClientPayloadError, OSError)
    )
    return EndpointFailedError(
        detail, lost and not isinstance(error, TimeoutError)
    )
