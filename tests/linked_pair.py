"""Two connected peers, one of which reaches the other over a link."""

import asyncio
import dataclasses

from mustardscale.exceptions import PeerUnavailableError
from mustardscale.peers import peer_streams
from mustardscale.peers.peer_messages import StreamLookup
from standins.peer_links import PeerLink
from tests.peer_pair import Pair

# Time within which all calls go over sound connections again, as the users'
# stable_ms, seconds.
NOTICED_S = 3.0
# Interval of calls, so that some are always in flight, seconds.
CALL_INTERVAL_S = 0.05


class LinkedPair(Pair):
    """Two hosts, of which a reaches b over a link."""

    def __init__(self, limits=None):
        super().__init__(limits=limits)
        self.link = PeerLink('127.0.0.1:7002')

    async def __aenter__(self):
        """Starts the hosts and the link."""
        await super().__aenter__()
        await self.link.start()
        return self

    async def __aexit__(self, *error):
        """Closes the hosts and the link."""
        await super().__aexit__(*error)
        await self.link.close()

    async def call(self, wish, timeout_s=10.0, host='b'):
        return await self.a.call(
            host, self.link.address, StreamLookup(wish), timeout_s
        )

    async def call_for(self, seconds):
        """Calls at an interval; returns when each failed call began."""
        loop = asyncio.get_running_loop()
        failed_at = []

        async def call():
            began_at = loop.time()
            try:
                await self.call('0.2', timeout_s=1.0)
            except PeerUnavailableError:
                failed_at.append(began_at)

        until = loop.time() + seconds
        async with asyncio.TaskGroup() as group:
            while loop.time() < until:
                group.create_task(call())
                await asyncio.sleep(CALL_INTERVAL_S)
        return failed_at

    @property
    def inbound(self):
        """Number of connections that b serves."""
        return len(self.b._server._connection_by_task)


def forbid_pings(monkeypatch):
    """Lets hosts greet as those of releases that know no pings."""
    make_hello = peer_streams._make_hello

    def make_old_hello(*arguments):
        hello = make_hello(*arguments)
        return dataclasses.replace(hello, answers_pings=False, replaces=b'')

    monkeypatch.setattr(peer_streams, '_make_hello', make_old_hello)
