"""Connections over which this host calls its peers."""

from __future__ import annotations

import asyncio
import logging
import random

from mustardscale.exceptions import (
    PeerFrameError,
    PeerGoneError,
    PeerNotReachedError,
)
from mustardscale.peers.call_connection import CallConnection
from mustardscale.peers.connection_liveness import Liveness
from mustardscale.peers.peer_streams import (
    CONNECTION_LOST,
    FrameStream,
    GreetingError,
    PeerIdentity,
    PeerLimits,
    PeerTraffic,
    greet_server,
)

log = logging.getLogger(__name__)

# Raised by an attempt to connect.
_NOT_CONNECTED = (PeerFrameError, GreetingError, *CONNECTION_LOST)


def split_address(address: str) -> tuple[str, int]:
    """Splits 'ip:port'.

    >>> split_address('[::1]:80')
    ('::1', 80)
    """
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)


class OutboundPeer:
    """One peer: its connection and when to try to connect again.

    A connection that goes silent is replaced, so that new calls do not go over
    it. Its calls in flight fail only if the peer, which answers on the new
    connection, then does not answer a ping on it: a peer that was slow or
    frozen does.
    """

    def __init__(
        self,
        host: str,
        identity: PeerIdentity,
        limits: PeerLimits,
        rng: random.Random,
        traffic: PeerTraffic,
    ):
        self._traffic = traffic
        self.used_at = 0.0
        self._host = host
        self._identity = identity
        self._limits = limits
        self._rng = rng
        self._address = ''
        self._connection: CallConnection | None = None
        self._replacing: asyncio.Task[None] | None = None
        # Connections that were replaced while calls were in flight.
        self._replaced: list[CallConnection] = []
        self._connecting = asyncio.Lock()
        self._failures = 0
        self._retry_at = 0.0
        self._closing = False

    @property
    def connected(self) -> bool:
        """Whether a connection is open."""
        return self._connection is not None and not self._connection.closed

    async def connect(self, address: str) -> CallConnection:
        """Returns the open connection, connecting if there is none.

        Raises:
            PeerNotReachedError: the attempt failed, or the last one failed
                a short time ago.
            PeerGoneError: this attempt was refused. An earlier refusal says
                nothing of a process that may have started since.
        """
        now = asyncio.get_running_loop().time()
        self.used_at = now
        async with self._connecting:
            if address != self._address:
                await self._move(address)
            if self._connection is not None and not self._connection.closed:
                return self._connection
            wait_s = self._retry_at - asyncio.get_running_loop().time()
            if wait_s > 0:
                raise PeerNotReachedError(
                    f'{self._host} failed; next attempt in {wait_s:.3f} s'
                )
            connection = await self._attempt()
            if self._closing:
                await connection.close()
                raise PeerNotReachedError('this host is shutting down')
            self._connection = connection
            return connection

    def check(self) -> bool:
        """Replaces the connection if it is silent, and ends replaced ones.

        Returns:
            Whether there is anything to check before the next call.
        """
        for replaced in list(self._replaced):
            self._check_replaced(replaced)
        connection = self._connection
        if connection is None or connection.closed:
            return bool(self._replaced)
        is_silent = connection.check() is Liveness.SILENT
        if is_silent and self._may_replace(connection):
            self._replacing = asyncio.create_task(self._replace(connection))
        is_replacing = bool(self._replaced) or self._replacing is not None
        return is_replacing or connection.awaits_bytes

    def _may_replace(self, connection: CallConnection) -> bool:
        if self._replacing is not None or self._closing:
            return False
        # Silence is uncertain without pings, and each one costs a connection.
        return connection.answers_pings or not self._replaced

    def _check_replaced(self, replaced: CallConnection) -> None:
        is_silent = replaced.check_replaced() is Liveness.SILENT
        if is_silent and replaced.answers_pings:
            replaced.abort('silent')
        elif replaced.is_unused:
            replaced.abort('replaced')
        if replaced.closed:
            self._replaced.remove(replaced)

    async def _replace(self, silent: CallConnection) -> None:
        """Opens a connection in place of a silent one."""
        try:
            async with asyncio.timeout(self._limits.connect_s):
                connection = await self._open(replaces=silent.nonce)
        except _NOT_CONNECTED as error:
            log.info('%s is silent and not reached: %r', self._host, error)
            await asyncio.sleep(self._limits.backoff_s)
        else:
            self._take_over(silent, connection)
        finally:
            self._replacing = None

    def _take_over(
        self, silent: CallConnection, connection: CallConnection
    ) -> None:
        """Lets new calls go over a connection in place of a silent one."""
        if self._connection is not silent or silent.closed:
            connection.abort('not needed')
            return
        log.warning(
            'the connection to %s was silent and is replaced', self._host
        )
        self._traffic.connections_replaced += 1
        self._connection = connection
        self._replaced.append(silent)
        # Its last ping was sent before the peer answered on the new one.
        silent.restart_ping()

    async def close(self) -> None:
        """Closes the connection; no other is opened."""
        self._closing = True
        await self._disconnect()

    async def _disconnect(self) -> None:
        if self._replacing is not None:
            self._replacing.cancel()
            await asyncio.gather(self._replacing, return_exceptions=True)
        for replaced in self._replaced:
            await replaced.close()
        self._replaced.clear()
        if self._connection is not None:
            await self._connection.close()
            self._connection = None

    async def _move(self, address: str) -> None:
        await self._disconnect()
        self._address = address
        self._failures = 0
        self._retry_at = 0.0

    async def _attempt(self) -> CallConnection:
        try:
            async with asyncio.timeout(self._limits.connect_s):
                connection = await self._open()
        except _NOT_CONNECTED as error:
            self._back_off()
            log.info('no connection to %s: %r', self._host, error)
            detail = f'no connection to {self._host}: {error!r}'
            if isinstance(error, ConnectionRefusedError):
                raise PeerGoneError(detail) from error
            raise PeerNotReachedError(detail) from error
        self._failures = 0
        return connection

    async def _open(self, replaces: bytes = b'') -> CallConnection:
        ip, port = split_address(self._address)
        reader, writer = await asyncio.open_connection(ip, port)
        stream = FrameStream(reader, writer, self._limits, self._traffic)
        try:
            greeting = await greet_server(
                stream,
                self._identity,
                self._host,
                self._limits.connect_s,
                replaces,
            )
        except BaseException:
            stream.close()
            raise
        return CallConnection(greeting, stream, self._limits, self._traffic)

    def _back_off(self) -> None:
        delay_s = min(
            self._limits.backoff_limit_s,
            self._limits.backoff_s * 2**self._failures,
        )
        self._failures += 1
        now = asyncio.get_running_loop().time()
        self._retry_at = now + delay_s * self._rng.uniform(0.5, 1.0)
