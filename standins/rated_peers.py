"""A network of hosts in one process whose links have rates."""

from __future__ import annotations

import asyncio
import collections
import random

from mustardscale.peers.config_messages import ConfigFetchReply
from mustardscale.peers.peer_codec import Frame, FrameKind, encode_frame
from mustardscale.peers.peer_messages import (
    HostListFetchReply,
    PeerReply,
    PeerRequest,
)
from mustardscale.peers.stream_messages import StreamFetchReply
from standins.memory_peers import MemoryPeerNetwork, PeerCall
from standins.rated_link import RatedLink, carry_over

# Replies whose size counts; to encode all messages would be slow.
_LARGE_REPLIES = (ConfigFetchReply, HostListFetchReply, StreamFetchReply)
# Size of any other message, bytes.
SMALL_MESSAGE_BYTES = 400


class HostLinks:
    """Both directions of a host's link.

    Attributes:
        outbound: what the host sends.
        inbound: what it receives.
    """

    __slots__ = ('inbound', 'outbound')

    def __init__(self, bytes_per_s: float):
        self.outbound = RatedLink(bytes_per_s)
        self.inbound = RatedLink(bytes_per_s)


class RatedPeerNetwork(MemoryPeerNetwork):
    """Carries messages over the links of both hosts.

    The messages of one connection go one after another. What was sent arrives
    also where nobody waits for it any more.

    Attributes:
        links_by_host: the links of hosts; those of other hosts have no limit.
    """

    def __init__(self, rng: random.Random):
        super().__init__(rng)
        self.links_by_host: dict[str, HostLinks] = {}
        self._turn_by_connection: collections.defaultdict[
            tuple[str, str, str], asyncio.Lock
        ] = collections.defaultdict(asyncio.Lock)

    async def _carry(
        self,
        source: str,
        target: str,
        call: PeerCall,
        message: PeerRequest | PeerReply | None,
    ) -> None:
        turn = self._turn_by_connection[source, target, call.source]
        size = _size_of(message)
        await asyncio.shield(
            self._spawn(self._pass(turn, source, target, size))
        )

    async def _pass(
        self, turn: asyncio.Lock, source: str, target: str, size: int
    ) -> None:
        links = []
        if source in self.links_by_host:
            links.append(self.links_by_host[source].outbound)
        if target in self.links_by_host:
            links.append(self.links_by_host[target].inbound)
        async with turn:
            await carry_over(tuple(links), size)


def _size_of(message: PeerRequest | PeerReply | None) -> int:
    """Returns the bytes of a message on the wire."""
    if isinstance(message, _LARGE_REPLIES):
        return len(encode_frame(Frame(FrameKind.REPLY, 1, message)))
    return SMALL_MESSAGE_BYTES
