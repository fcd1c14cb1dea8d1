"""HTTP calls that send each request at most once and tell how they ended."""

from __future__ import annotations

import socket
from typing import Any

import aiohttp
import yarl

from mustardscale.endpoints.http_sessions import (
    ConnectionLostError,
    SendProgress,
    describe_error,
    make_session,
)
from mustardscale.exceptions import (
    EndpointFailedError,
    EndpointUnreachableError,
)

# Keep-alive probes of the transport, which show a connection that has gone
# silent: seconds before the first, between two, and their number.
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2
# Unread bytes of a connection, which an endpoint may fill at any time.
RECEIVE_BUFFER_BYTES = 32_768
# Characters that are kept of an error's text, which may quote what came.
MAX_DETAIL_CHARS = 200
# Seconds until a connection attempt is given up.
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
    """Makes a session.

    Args:
        connection_per_call: whether each call has a connection of its own, so
            that no answer can be taken for that of another call.
    """
    connector = aiohttp.TCPConnector(
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
    """Returns the URL of a target as it came."""
    return yarl.URL(f'http://{address}{target}', encoded=True)


def make_timeout(seconds: float) -> aiohttp.ClientTimeout:
    """Returns the limits on a call's time."""
    return aiohttp.ClientTimeout(
        total=max(0.001, seconds), sock_connect=CONNECT_TIMEOUT_S
    )


def make_endpoint_error(
    error: BaseException, progress: SendProgress
) -> EndpointUnreachableError | EndpointFailedError:
    """Returns what a failed call to an endpoint means for the request."""
    detail = describe_error(error)[:MAX_DETAIL_CHARS]
    if not progress.connected:
        return EndpointUnreachableError(detail)
    lost = isinstance(
        error, (ConnectionLostError, aiohttp.ClientPayloadError, OSError)
    )
    return EndpointFailedError(
        detail, lost and not isinstance(error, TimeoutError)
    )
