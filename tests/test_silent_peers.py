"""Tests of connections between hosts that go silent without a reset."""

import asyncio

import pytest

from mustardscale.exceptions import PeerUnavailableError
from mustardscale.peers.peer_messages import StreamLookup
from standins.peer_links import PeerLink, Silence
from tests.peer_pair import REPLY, Pair
from tests.virtual_time import virtual_time


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


class TestUnheardCalls:
    """What the metrics tell of calls without a reply."""

    @virtual_time
    async def test_calls_over_a_silent_connection_are_counted(self, caplog):
        """Guards against silence that no metric tells from a slow peer."""
        caplog.set_level('INFO')
        async with LinkedPair() as pair:
            assert await pair.call('0') == REPLY
            pair.link.silence(Silence.BOTH)
            for _ in range(2):
                with pytest.raises(PeerUnavailableError):
                    await pair.call('0', timeout_s=0.3)
            assert pair.a.traffic.calls_unheard == 2
            assert caplog.text.count('brought nothing') == 1

    @virtual_time
    async def test_calls_that_a_peer_is_slow_to_answer_are_not_counted(self):
        async with LinkedPair() as pair:
            call = asyncio.create_task(pair.call('hang', timeout_s=0.3))
            await asyncio.sleep(0.1)
            assert await pair.call('0') == REPLY
            with pytest.raises(PeerUnavailableError):
                await call
            assert pair.a.traffic.calls_unheard == 0
