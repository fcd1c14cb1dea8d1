"""Tests of connections between hosts that others have taken the place of."""

import asyncio

import pytest

from mustardscale.exceptions import PeerUnavailableError
from mustardscale.peers.call_connection import CallConnection
from mustardscale.peers.config_messages import ConfigFetch
from mustardscale.peers.peer_connections import OutboundPeer
from mustardscale.peers.peer_messages import StreamLookup
from mustardscale.peers.peer_streams import PeerLimits
from standins.peer_links import Silence
from tests.linked_pair import NOTICED_S, LinkedPair, forbid_pings
from tests.peer_pair import REPLY, transport
from tests.virtual_time import virtual_time

LIMITS = PeerLimits()


async def freeze(link, seconds, later_s):
    """Holds all bytes back, those of open connections longer than others.

    Args:
        link: the link between both hosts.
        seconds: until new connections work.
        later_s: seconds from then until bytes of the open ones pass.
    """
    link.hold()
    link.calls_pass.clear()
    await asyncio.sleep(seconds)
    link.calls_pass.set()
    await asyncio.sleep(later_s)
    link.release()


class TestCaller:
    """The side that calls."""

    @virtual_time
    async def test_calls_survive_a_peer_that_reads_the_new_connection_first(
        self,
    ):
        """Guards against calls that fail since their peer stood still.

        It has not seen the ping on the old connection when it answers on the
        new one, and has read nothing from the old one for long.
        """
        async with LinkedPair() as pair:
            call = asyncio.create_task(pair.call('4'))
            await asyncio.sleep(0.1)
            standstill_s = 1.25 * LIMITS.replaced_idle_s
            await freeze(pair.link, standstill_s, LIMITS.ping_timeout_s / 2)
            assert await call == REPLY
            assert pair.a.traffic.connections_replaced == 1

    @virtual_time
    async def test_calls_survive_while_others_are_answered(self):
        """Guards against a server that hears no ping and closes the rest."""
        async with LinkedPair() as pair:
            interval_s = LIMITS.ping_after_s / 2
            wishes = [f'{number * interval_s}' for number in range(10, 40)]
            calls = [asyncio.create_task(pair.call(wish)) for wish in wishes]
            await asyncio.sleep(0.1)
            await freeze(pair.link, interval_s * 8, 0)
            assert await asyncio.gather(*calls) == [REPLY] * len(calls)
            assert pair.a.traffic.connections_replaced == 1

    @virtual_time
    async def test_calls_survive_the_end_of_the_new_connection(self):
        """Guards against pings that stop with the connection put in place."""
        async with LinkedPair() as pair:
            call = asyncio.create_task(pair.call('8'))
            await asyncio.sleep(0.1)
            await freeze(pair.link, 1.5, 0)
            await asyncio.sleep(2 * LIMITS.check_s)
            assert pair.a.traffic.connections_replaced == 1
            for connection in pair.b._server._connection_by_task.values():
                if connection.replaced_at is None:
                    connection.close()
            assert await call == REPLY

    @virtual_time
    async def test_connections_replaced_after_their_last_call_are_closed(self):
        """Guards against unused connections that nothing looks at."""
        async with LinkedPair() as pair:
            call = asyncio.create_task(pair.call('1'))
            await asyncio.sleep(0.1)
            pair.link.calls_pass.clear()
            pair.link.hold()
            await asyncio.sleep(1.2)
            pair.link.release()
            assert await call == REPLY
            await asyncio.sleep(2 * LIMITS.check_s)
            pair.link.calls_pass.set()
            await asyncio.sleep(3 * LIMITS.check_s)
            assert pair.a.traffic.connections_replaced == 1
            assert pair.inbound == 1

    @virtual_time
    async def test_slow_peers_of_earlier_releases_get_few_connections(
        self, monkeypatch
    ):
        """Guards against one more connection with each call given up."""
        forbid_pings(monkeypatch)
        async with LinkedPair() as pair:
            calls = []
            for _ in range(20):
                calls.append(asyncio.create_task(pair.call('hang', 100.0)))
                with pytest.raises(PeerUnavailableError):
                    await pair.call('hang', timeout_s=0.5)
            assert pair.inbound == 2
            for call in calls:
                call.cancel()
            await asyncio.gather(*calls, return_exceptions=True)

    @virtual_time
    async def test_a_large_reply_on_a_narrow_link_is_waited_for(self):
        """Guards against a frame that is taken for silence until its end."""
        async with LinkedPair() as pair:
            pair.link.chunk_pause_s = LIMITS.ping_after_s / 2
            fetch = ConfigFetch(after=1_000_000)
            address = pair.link.address
            reply = await pair.a.call('b', address, fetch, 10.0)
            assert len(reply.records[0].payload) == fetch.after
            assert pair.a.traffic.connections_replaced == 0


class TestServer:
    """The side that serves."""

    @virtual_time
    async def test_connections_of_an_ended_caller_are_closed(self):
        """Guards against places kept by a process that has started again."""
        async with LinkedPair() as pair:
            call = asyncio.create_task(pair.call('hang', 100.0))
            await asyncio.sleep(0.1)
            pair.link.silence(Silence.BOTH)
            await pair.a.close()
            with pytest.raises(PeerUnavailableError):
                await call
            restarted = transport('a', 7003, incarnation=2)
            lookup = StreamLookup('0')
            reply = await restarted.call('b', '127.0.0.1:7002', lookup, 1.0)
            assert reply == REPLY
            await asyncio.sleep(LIMITS.replaced_idle_s + 2 * LIMITS.check_s)
            assert pair.inbound == 1
            assert pair.handler.cancelled == 1
            await restarted.close()


class TestChecks:
    """How open connections are checked."""

    @virtual_time
    async def test_a_failed_check_does_not_end_later_ones(self, monkeypatch):
        """Guards against silence that is not noticed after one defect."""
        check = OutboundPeer.check
        failures = iter([True])

        def check_or_fail(peer):
            if next(failures, False):
                raise KeyError('defect')
            return check(peer)

        monkeypatch.setattr(OutboundPeer, 'check', check_or_fail)
        async with LinkedPair() as pair:
            assert await pair.call('0.5') == REPLY
            pair.link.silence(Silence.BOTH)
            with pytest.raises(PeerUnavailableError):
                async with asyncio.timeout(NOTICED_S):
                    await pair.call('0', timeout_s=100.0)
            assert await pair.call('0') == REPLY

    @virtual_time
    async def test_connections_that_open_slowly_are_looked_at(self):
        """Guards against silence that only a later call would show."""
        async with LinkedPair() as pair:
            pair.link.calls_pass.clear()
            call = asyncio.create_task(pair.call('hang', 100.0))
            await asyncio.sleep(LIMITS.connect_s / 2)
            pair.link.calls_pass.set()
            await asyncio.sleep(LIMITS.check_s / 2)
            pair.link.silence(Silence.BOTH)
            with pytest.raises(PeerUnavailableError):
                async with asyncio.timeout(NOTICED_S):
                    await call

    @virtual_time
    async def test_idle_connections_are_not_looked_at(self, monkeypatch):
        """Guards against work that grows with the hosts of an idle fleet."""
        checked = []
        check = CallConnection.check

        def check_and_count(connection):
            checked.append(connection)
            return check(connection)

        monkeypatch.setattr(CallConnection, 'check', check_and_count)
        async with LinkedPair() as pair:
            assert await pair.call('0') == REPLY
            await asyncio.sleep(20 * LIMITS.check_s)
            assert len(checked) == 1
