"""Calls between entry hosts over TCP."""

from __future__ import annotations

import asyncio
import logging
import random

from mustardscale.exceptions import (
    PeerNotReachedError,
    PeerUnavailableError,
)
from mustardscale.outcomes import Outcome
from mustardscale.peers.peer_connections import OutboundPeer, split_address
from mustardscale.peers.peer_messages import PeerReply, PeerRequest
from mustardscale.peers.peer_server import PeerServer
from mustardscale.peers.peer_streams import (
    PeerIdentity,
    PeerLimits,
    PeerTraffic,
)
from mustardscale.peers.peer_transport import PeerHandler, PeerTransport

log = logging.getLogger(__name__)


class TcpPeerTransport(PeerTransport):
    """One connection to each peer, which carries all calls made to it.

    Attributes:
        address: 'ip:port' listened on, once started.
        traffic: what was exchanged with peers.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        listen: str,
        rng: random.Random,
        limits: PeerLimits | None = None,
    ):
        self.address = listen
        self.traffic = PeerTraffic()
        self._identity = identity
        self._rng = rng
        self._limits = limits or PeerLimits()
        self._server: PeerServer | None = None
        self._peer_by_host: dict[str, OutboundPeer] = {}
        # Those that were called since they were last found idle: most of the
        # many connections of a large fleet are, and need no check.
        self._busy_peers: set[OutboundPeer] = set()
        self._checking: asyncio.Task[None] | None = None
        self._closing = False

    async def start(self, handler: PeerHandler) -> None:
        """Starts to serve; handler gets the peer's id and the request."""
        self._server = PeerServer(
            self._identity, handler, self._limits, self.traffic
        )
        self.address = await self._server.start(*split_address(self.address))
        self._checking = asyncio.create_task(self._check_connections())

    async def call(
        self, host: str, address: str, request: PeerRequest, timeout_s: float
    ) -> PeerReply:
        """Sends a request and returns the reply; see PeerTransport."""
        if self._closing:
            raise PeerNotReachedError('this host is shutting down')
        peer = self._peer(host, address)
        try:
            async with asyncio.timeout(timeout_s):
                connection = await peer.connect(address)
                self._busy_peers.add(peer)
                return await connection.call(request)
        except TimeoutError as error:
            raise PeerUnavailableError(
                f'no reply from {host} within {timeout_s} s'
            ) from error

    async def close(self) -> None:
        """Closes all connections and stops serving."""
        self._closing = True
        if self._checking is not None:
            self._checking.cancel()
        peers = list(self._peer_by_host.values())
        self._peer_by_host.clear()
        self._busy_peers.clear()
        for peer in peers:
            await peer.close()
        if self._server is not None:
            await self._server.close()

    async def _check_connections(self) -> None:
        """Finds connections that have gone silent, in both directions."""
        while True:
            await asyncio.sleep(self._limits.check_s)
            try:
                self._check_once()
            except Exception:
                code = Outcome.INTERNAL_ERROR
                log.exception('check failed', extra={'code': int(code)})

    def _check_once(self) -> None:
        for peer in list(self._busy_peers):
            if not peer.check():
                self._busy_peers.remove(peer)
        if self._server is not None:
            self._server.close_replaced()

    def _peer(self, host: str, address: str) -> OutboundPeer:
        # Host ids have no colon, so that addresses are told from them.
        key = host or address
        peer = self._peer_by_host.get(key)
        if peer is None:
            self._forget_unused()
            peer = OutboundPeer(
                host, self._identity, self._limits, self._rng, self.traffic
            )
            self._peer_by_host[key] = peer
        return peer

    def _forget_unused(self) -> None:
        """Drops hosts that are gone, so that the table stays small."""
        oldest = asyncio.get_running_loop().time() - self._limits.idle_s
        for host, peer in list(self._peer_by_host.items()):
            if not peer.connected and peer.used_at < oldest:
                del self._peer_by_host[host]
