"""Two connected peers for tests of the TCP transport."""

import asyncio
import random

from mustardscale.exceptions import (
    OutcomeError,
    PeerUnavailableError,
)
from mustardscale.outcomes import Outcome
from mustardscale.peers.config_messages import (
    ConfigFetch,
    ConfigFetchReply,
    ConfigRecord,
)
from mustardscale.peers.peer_messages import (
    Acknowledgement,
    StreamLookup,
    StreamLookupReply,
)
from mustardscale.peers.peer_streams import (
    PeerIdentity,
)
from mustardscale.peers.tcp_peers import TcpPeerTransport

REPLY = StreamLookupReply(())


class Handler:
    """Answers by request id and remembers what happened."""

    def __init__(self):
        self.hosts = []
        self.running = 0
        self.cancelled = 0

    async def __call__(self, host, request):
        self.hosts.append(host)
        if isinstance(request, ConfigFetch):
            payload = bytes(request.after)
            return ConfigFetchReply((ConfigRecord(1, payload),))
        self.running += 1
        try:
            return await self._answer(request.request_id)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.running -= 1

    async def _answer(self, wish):
        if wish == 'hang':
            await asyncio.sleep(1000)
        if wish == 'refuse':
            raise OutcomeError(Outcome.POOL_SATURATED, 'full')
        if wish == 'fail':
            raise KeyError(wish)
        if wish == 'unreached':
            raise PeerUnavailableError('no reply from c')
        if wish == 'mistype':
            return Acknowledgement()
        await asyncio.sleep(float(wish or 0))
        return REPLY


def transport(host, port, key=b'', limits=None, incarnation=1):
    return TcpPeerTransport(
        PeerIdentity(host, incarnation, key),
        f'127.0.0.1:{port}',
        random.Random(1),
        limits,
    )


class Pair:
    """Two started transports, a (the caller) and b."""

    def __init__(self, keys=(b'', b''), limits=None):
        self.a = transport('a', 7001, keys[0], limits)
        self.b = transport('b', 7002, keys[1], limits)
        self.handler = Handler()
        self.streams = []

    async def __aenter__(self):
        """Starts both."""
        await self.a.start(Handler())
        await self.b.start(self.handler)
        return self

    async def __aexit__(self, *_):
        """Closes both, and the connections that the test made itself."""
        for stream in self.streams:
            stream.close()
        await self.a.close()
        await self.b.close()

    async def call(self, wish, timeout_s=10.0, host='b'):
        return await self.a.call(
            host, '127.0.0.1:7002', StreamLookup(wish), timeout_s
        )
