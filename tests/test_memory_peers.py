"""Tests of the peer transport inside one process."""

import asyncio
import random

import pytest

from mustardscale.exceptions import PeerUnavailableError
from mustardscale.peers.peer_messages import StreamLookup, StreamLookupReply
from standins.memory_peers import MemoryPeerNetwork
from tests.virtual_time import virtual_time

REPLY = StreamLookupReply(())


class Hosts:
    """Hosts a and b, 10 ms apart; b answers after a second."""

    def __init__(self):
        self.network = MemoryPeerNetwork(random.Random(1))
        self.network.set_latency('a', 'b', 0.01)
        self.a = self.network.transport('a')
        self.b = self.network.transport('b')
        self.events = []

    async def handle(self, host, request):
        self.events.append('started')
        try:
            await asyncio.sleep(1)
            self.events.append('done')
            return REPLY
        except asyncio.CancelledError:
            self.events.append('cancelled')
            raise

    async def call(self, timeout_s=5.0):
        return await self.a.call('b', '', StreamLookup('id'), timeout_s)


async def started():
    hosts = Hosts()
    await hosts.a.start(hosts.handle)
    await hosts.b.start(hosts.handle)
    return hosts


def now():
    return asyncio.get_running_loop().time()


class TestCalls:
    """Calls without faults, and calls given up."""

    @virtual_time
    async def test_takes_the_latency_both_ways(self):
        hosts = await started()
        assert await hosts.call() == REPLY
        assert now() == pytest.approx(1.02)

    @virtual_time
    async def test_cancelling_the_call_cancels_the_handler_later(self):
        hosts = await started()
        call = asyncio.create_task(hosts.call())
        await asyncio.sleep(0.5)
        call.cancel()
        await asyncio.sleep(0.005)
        assert hosts.events == ['started']
        await asyncio.sleep(0.01)
        assert hosts.events == ['started', 'cancelled']
        assert not hosts.network._calls


class TestFaults:
    """Links and hosts that fail."""

    @virtual_time
    async def test_cut_before_the_request_arrives(self):
        hosts = await started()
        hosts.network.cut('a', 'b')
        with pytest.raises(PeerUnavailableError, match='no reply'):
            await hosts.call(2)
        assert (hosts.events, now()) == ([], 2)
        hosts.network.restore('a', 'b')
        assert await hosts.call() == REPLY

    @virtual_time
    async def test_cut_of_the_way_back_lets_the_handler_act(self):
        hosts = await started()
        hosts.network.cut('b', 'a', one_way=True)
        with pytest.raises(PeerUnavailableError):
            await hosts.call(3)
        assert hosts.events == ['started', 'done']

    @virtual_time
    async def test_lost_replies(self):
        hosts = await started()
        hosts.network.lose_replies('b', 'a', 0.5)
        results = await asyncio.gather(
            *[hosts.call() for _ in range(100)], return_exceptions=True
        )
        assert hosts.events.count('done') == 100
        assert 30 < results.count(REPLY) < 70

    @virtual_time
    async def test_frozen_host_answers_after_the_thaw(self):
        hosts = await started()
        hosts.network.freeze('b')
        call = asyncio.create_task(hosts.call())
        await asyncio.sleep(2)
        assert hosts.events == []
        hosts.network.thaw('b')
        assert await call == REPLY
        assert now() == pytest.approx(3.01)

    @pytest.mark.parametrize('silent', [False, True])
    @virtual_time
    async def test_death_of_the_target(self, silent):
        hosts = await started()
        call = asyncio.create_task(hosts.call(4))
        await asyncio.sleep(0.5)
        hosts.network.kill('b', silent)
        with pytest.raises(PeerUnavailableError):
            await call
        assert now() == pytest.approx(4 if silent else 0.51)
        assert hosts.events == ['started', 'cancelled']
        with pytest.raises(PeerUnavailableError, match='refuses'):
            await hosts.call()

    @pytest.mark.parametrize('silent', [False, True])
    @virtual_time
    async def test_death_of_the_caller(self, silent):
        hosts = await started()
        call = asyncio.create_task(hosts.call())
        await asyncio.sleep(0.5)
        hosts.network.kill('a', silent)
        with pytest.raises(PeerUnavailableError):
            await call
        await asyncio.sleep(2)
        ended = 'done' if silent else 'cancelled'
        assert hosts.events == ['started', ended]
        with pytest.raises(PeerUnavailableError, match='dead'):
            await hosts.call()
