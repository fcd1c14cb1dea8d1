"""The interface that carries messages between entry hosts."""

from __future__ import annotations

import abc
from collections.abc import Awaitable, Callable

from mustardscale.peers.peer_messages import PeerReply, PeerRequest

PeerHandler = Callable[[str, PeerRequest], Awaitable[PeerReply]]


class PeerTransport(abc.ABC):
    """Carries requests between entry hosts."""

    @abc.abstractmethod
    async def start(self, handler: PeerHandler) -> None:
        """Starts to serve; handler gets the peer's id and the request."""

    @abc.abstractmethod
    async def call(
        self, host: str, address: str, request: PeerRequest, timeout_s: float
    ) -> PeerReply:
        """Sends a request and returns the reply.

        Cancelling the call cancels the handler at the peer.

        Args:
            host: id of the peer, '' for whichever is at the address.
            address: 'ip:port' of the peer.
            request: the message.
            timeout_s: seconds until the call is given up.

        Raises:
            PeerUnavailableError: no reply came; the peer may have acted.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections and stops serving."""
