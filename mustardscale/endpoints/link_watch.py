"""Watches whether the connections to an endpoint are closed."""

from __future__ import annotations

import asyncio
import math
import socket

from mustardscale.background_tasks import BackgroundTasks
from mustardscale.endpoints.tcp_connect import open_socket

# Timeout of a connection attempt, seconds.
CONNECT_TIMEOUT_S = 0.3
# Time after it was made in which a reset says only that the endpoint takes no
# further connections, seconds.
REFUSED_AFTER_S = 0.02
# Time between the closing of two connections that were closed together,
# seconds.
CLOSED_TOGETHER_S = 0.1


class LinkWatch:
    """Knows when an endpoint's connections were last closed by the other end.

    While answers arrive, one connection to their endpoint is open on which
    nothing is sent. A path that is closed, such as that of a proxy which ends,
    closes it together with that of an answer. An endpoint that has ended its
    answer leaves it open, or closes it at another moment.
    """

    __slots__ = ('_address', '_background', '_closed_at', '_silent', '_users')

    def __init__(self, address: str):
        """Prepares a watch.

        Args:
            address: 'ip:port' of the endpoint.
        """
        self._address = address
        self._users = 0
        self._silent: _SilentConnection | None = None
        self._background = BackgroundTasks()
        self._closed_at = -math.inf

    def begin(self) -> None:
        """Watches, until `end` was called as often."""
        self._users += 1
        if self._silent is None:
            self._connect()

    def end(self) -> None:
        """Stops watching if no answer arrives any more."""
        self._users -= 1
        if not self._users and self._silent is not None:
            self._silent.close()
            self._silent = None

    def was_closed_with(self, last_data_at: float, ended_at: float) -> bool:
        """Returns whether the path was closed together with an answer.

        Args:
            last_data_at: loop time at which its last content came. What is
                closed before that left the path open.
            ended_at: loop time at which it ended.
        """
        return (
            last_data_at
            <= self._closed_at
            <= max(ended_at, last_data_at) + CLOSED_TOGETHER_S
        )

    def _connect(self) -> None:
        self._silent = _SilentConnection(self)
        self._background.start(self._silent.open(self._address))

    def record_closed(self, silent: _SilentConnection) -> None:
        """Records that the other end has closed a connection."""
        self._closed_at = asyncio.get_running_loop().time()
        if silent is self._silent:
            self._silent = None
            if self._users:
                self._connect()


class _SilentConnection:
    """A connection on which nothing is sent, and nothing should come."""

    __slots__ = ('_is_closed', '_made_at', '_sock', '_watch')

    def __init__(self, watch: LinkWatch):
        self._watch = watch
        self._sock: socket.socket | None = None
        self._made_at = math.inf
        self._is_closed = False

    async def open(self, address: str) -> None:
        """Connects to 'ip:port'; shows nothing where that fails."""
        ip, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await open_socket(sock, (ip, int(port)))
        except (OSError, TimeoutError):
            return
        if self._is_closed:
            sock.close()
            return
        self._sock = sock
        self._made_at = loop.time()
        loop.add_reader(sock, self._read)

    def _read(self) -> None:
        """Reads what the other end did."""
        assert self._sock is not None
        is_reset = False
        try:
            if self._sock.recv(1):
                # Bytes that nobody asked for show nothing, and may not end.
                self.close()
                return
        except BlockingIOError:
            return
        except OSError:
            is_reset = True
        lived_s = asyncio.get_running_loop().time() - self._made_at
        self.close()
        if not is_reset or lived_s > REFUSED_AFTER_S:
            self._watch.record_closed(self)

    def close(self) -> None:
        """Closes the connection, which shows nothing."""
        self._is_closed = True
        sock, self._sock = self._sock, None
        if sock is not None:
            asyncio.get_running_loop().remove_reader(sock)
            sock.close()
