"""Tests of connections between hosts that go silent without a reset."""

import asyncio
import contextlib

import pytest

from mustardscale.exceptions import PeerUnavailableError
from mustardscale.peers import peer_streams
from mustardscale.peers.connection_liveness import (
    ConnectionLiveness,
    Liveness,
    Transfer,
)
from mustardscale.peers.peer_messages import StreamLookup
from mustardscale.peers.peer_streams import PeerLimits
from standins.peer_links import Silence
from tests.linked_pair import NOTICED_S, LinkedPair, forbid_pings
from tests.peer_pair import REPLY, Handler, transport
from tests.virtual_time import virtual_time

ALL_WAYS = [Silence.CALLS, Silence.REPLIES, Silence.BOTH]


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


class TestSilence:
    """Connections that carry nothing any more, while new ones work."""

    @pytest.mark.parametrize('silence', ALL_WAYS)
    @virtual_time
    async def test_busy_connections_are_replaced(self, silence):
        """Guards against calls that go over a dead connection for good."""
        async with LinkedPair() as pair:
            assert await pair.call_for(1.0) == []
            silent_at = asyncio.get_running_loop().time()
            pair.link.silence(silence)
            failed_at = await pair.call_for(3 * NOTICED_S)
            assert failed_at
            assert max(failed_at) < silent_at + NOTICED_S
            assert pair.a.traffic.connections_replaced == 1

    @pytest.mark.parametrize('silence', ALL_WAYS)
    @virtual_time
    async def test_idle_connections_are_replaced(self, silence):
        """Guards against a first call that waits for its whole deadline."""
        async with LinkedPair() as pair:
            assert await pair.call('0') == REPLY
            pair.link.silence(silence)
            await asyncio.sleep(10.0)
            assert pair.a.traffic.pings_sent == 0
            assert pair.a.traffic.connections_replaced == 0
            with pytest.raises(PeerUnavailableError):
                async with asyncio.timeout(NOTICED_S):
                    await pair.call('0', timeout_s=100.0)
            assert await pair.call('0') == REPLY

    @virtual_time
    async def test_short_calls_notice_silence(self):
        """Guards against calls that are all given up before a ping is due."""
        async with LinkedPair() as pair:
            assert await pair.call('0') == REPLY
            pair.link.silence(Silence.BOTH)
            for _ in range(5):
                with contextlib.suppress(PeerUnavailableError):
                    await pair.call('0', timeout_s=0.1)
                await asyncio.sleep(NOTICED_S / 5)
            assert await pair.call('0', timeout_s=0.1) == REPLY

    @virtual_time
    async def test_one_short_call_notices_silence(self):
        """Guards against a second call that is lost long after the first."""
        async with LinkedPair() as pair:
            assert await pair.call('0') == REPLY
            pair.link.silence(Silence.BOTH)
            with pytest.raises(PeerUnavailableError):
                await pair.call('0', timeout_s=0.1)
            await asyncio.sleep(NOTICED_S)
            assert await pair.call('0', timeout_s=0.1) == REPLY

    @virtual_time
    async def test_silence_while_silence_is_noticed(self):
        """Guards against a replacement that is not checked itself."""
        async with LinkedPair() as pair:
            calls = asyncio.create_task(pair.call_for(4 * NOTICED_S))
            loop = asyncio.get_running_loop()
            for _ in range(8):
                await asyncio.sleep(0.7)
                pair.link.silence(Silence.BOTH)
                silent_at = loop.time()
            assert max(await calls) < silent_at + NOTICED_S

    @virtual_time
    async def test_the_serving_side_closes_what_was_replaced(self):
        """Guards against dead connections that keep their places."""
        async with LinkedPair() as pair:
            with pytest.raises(PeerUnavailableError):
                async with asyncio.timeout(2 * NOTICED_S):
                    call = asyncio.create_task(pair.call('hang', 100.0))
                    await asyncio.sleep(0.1)
                    pair.link.silence(Silence.BOTH)
                    await call
            assert await pair.call('0') == REPLY
            await asyncio.sleep(NOTICED_S)
            assert pair.inbound == 1
            assert (pair.handler.running, pair.handler.cancelled) == (0, 1)

    @virtual_time
    async def test_other_connections_of_the_caller_stay(self):
        """Guards against sound connections that the serving side closes."""
        async with LinkedPair() as pair:
            lookup = StreamLookup('0')
            assert await pair.a.call('', '127.0.0.1:7002', lookup, 1) == REPLY
            assert await pair.call('0') == REPLY
            pair.link.silence(Silence.BOTH)
            with pytest.raises(PeerUnavailableError):
                await pair.call('0')
            assert await pair.call('0') == REPLY
            await asyncio.sleep(2 * NOTICED_S)
            assert pair.inbound == 2

    @virtual_time
    async def test_connections_without_nonces_are_not_confused(
        self, monkeypatch
    ):
        """Guards against an empty nonce that names all connections."""
        monkeypatch.setattr(peer_streams, '_NONCE_BYTES', 0)
        async with LinkedPair() as pair:
            second = transport('a', 7003)
            assert await pair.call('0') == REPLY
            lookup = StreamLookup('0')
            reply = await second.call('b', '127.0.0.1:7002', lookup, 1)
            assert reply == REPLY
            await asyncio.sleep(2 * NOTICED_S)
            assert pair.inbound == 2
            await second.close()

    @virtual_time
    async def test_replaced_connections_make_room_at_the_limit(self):
        """Guards against a limit that dead connections fill."""
        callers, limit = 8, 9
        async with LinkedPair(limits=PeerLimits(connections=limit)) as pair:
            hosts = [transport(f'c{n}', 7010 + n) for n in range(callers)]
            for host in hosts:
                await host.start(Handler())

            async def call(host, wish):
                return await host.call(
                    'b', pair.link.address, StreamLookup(wish), 2 * NOTICED_S
                )

            for host in hosts:
                assert await call(host, '0') == REPLY
            pair.link.silence(Silence.BOTH)
            lost = await asyncio.gather(
                *(call(host, '0') for host in hosts), return_exceptions=True
            )
            assert {type(error) for error in lost} == {PeerUnavailableError}
            for host in hosts:
                assert await call(host, '0') == REPLY
                await host.close()


class TestLive:
    """Connections that are quiet or slow, and carry calls."""

    @virtual_time
    async def test_a_call_may_take_long(self):
        """Guards against slow handlers that are taken for silence."""
        async with LinkedPair() as pair:
            assert await pair.call('60', timeout_s=100.0) == REPLY
            assert pair.a.traffic.pings_sent > 0
            assert pair.a.traffic.connections_replaced == 0

    @virtual_time
    async def test_a_frozen_peer_keeps_its_connection(self):
        """Guards against calls that fail since their peer stood still."""
        async with LinkedPair() as pair:
            call = asyncio.create_task(pair.call('4'))
            await asyncio.sleep(1.0)
            pair.link.calls_pass.clear()
            pair.link.replies_pass.clear()
            await asyncio.sleep(2.5)
            pair.link.calls_pass.set()
            pair.link.replies_pass.set()
            assert await call == REPLY
            await asyncio.sleep(5.0)
            assert pair.inbound == 1

    @virtual_time
    async def test_a_peer_of_an_earlier_release_gets_no_pings(
        self, monkeypatch
    ):
        """Guards against frames that earlier releases take for damage."""
        forbid_pings(monkeypatch)
        async with LinkedPair() as pair:
            assert await pair.call('30', timeout_s=100.0) == REPLY
            assert pair.a.traffic.connections_replaced == 0
            silent_at = asyncio.get_running_loop().time()
            pair.link.silence(Silence.BOTH)
            failed_at = await pair.call_for(3 * NOTICED_S)
            assert max(failed_at) < silent_at + NOTICED_S
            assert pair.a.traffic.pings_sent == 0
            assert pair.a.traffic.connections_replaced == 1


class TestLiveness:
    """Decisions without a connection."""

    def judge(self, liveness, now, received_at=0.0, sent=100, unsent=0):
        transfer = Transfer(received_at, sent, unsent)
        return liveness.judge(now, 0.0, lambda: transfer)

    def test_a_ping_is_due_once_and_then_unanswered(self):
        liveness = ConnectionLiveness(0.4, 0.4)
        assert self.judge(liveness, 0.3) is Liveness.LIVE
        assert self.judge(liveness, 0.5) is Liveness.PING_DUE
        assert self.judge(liveness, 0.8) is Liveness.LIVE
        assert self.judge(liveness, 0.9) is Liveness.SILENT
        assert self.judge(liveness, 1.0, received_at=0.95) is Liveness.LIVE

    def test_no_calls_in_flight_show_nothing(self):
        liveness = ConnectionLiveness(0.4, 0.4)
        assert self.judge(liveness, 0.5) is Liveness.PING_DUE
        idle = liveness.judge(9.0, None, lambda: Transfer(0.0, 0, 0))
        assert idle is Liveness.LIVE
        assert self.judge(liveness, 9.1) is Liveness.PING_DUE

    def test_a_ping_that_waits_behind_other_bytes_is_not_unanswered(self):
        """Guards against large requests on a narrow link taken for silence."""
        liveness = ConnectionLiveness(0.4, 0.4)
        assert self.judge(liveness, 0.5, unsent=100) is Liveness.PING_DUE
        for number in range(1, 10):
            now, unsent = 0.5 + 0.3 * number, 100 - 10 * number
            judged = self.judge(liveness, now, sent=120, unsent=unsent + 20)
            assert judged is Liveness.LIVE
        # Bytes behind the ping say nothing of it.
        for sent in (140, 160, 180):
            now += 0.2
            judged = self.judge(liveness, now, sent=sent)
        assert judged is Liveness.SILENT
