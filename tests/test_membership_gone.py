"""Tests of hosts whose process has ended."""

import asyncio
import random

import pytest

from mustardscale.blackboard import Blackboard, HostEntry
from mustardscale.exceptions import PeerGoneError, PeerUnavailableError
from mustardscale.hosts.membership import HeartbeatController, MembershipTimes
from mustardscale.peers.peer_messages import Heartbeat
from tests.virtual_time import virtual_time

TIMES = MembershipTimes(heartbeat_s=0.4, dead_after_s=1.6)


class Calls:
    """Calls to one peer, which answers, is gone or does not answer."""

    def __init__(self):
        self.error = None

    def handle(self, request_type, handler):
        pass

    def handles(self, request_type):
        return False

    async def call(self, host, request, reply_type, timeout_s):
        if self.error is not None:
            raise self.error
        return Heartbeat(host, 1, 'dc', False, 0, 0)


async def silent_after(error):
    """Returns the seconds until a peer whose calls fail is silent."""
    loop = asyncio.get_running_loop()
    board = Blackboard('a', 1, 'dc', 'r')
    board.hosts_by_id['b'] = HostEntry('b', 'b:1', 'dc')
    calls = Calls()
    controller = HeartbeatController(board, calls, TIMES, random.Random(1))
    running = asyncio.create_task(controller.run())
    try:
        await asyncio.sleep(1.0)
        assert board.live_hosts() == ['a', 'b']
        calls.error = error
        began = loop.time()
        while board.live_hosts() == ['a', 'b']:
            await board.membership_changed.wait(5.0)
        return loop.time() - began
    finally:
        running.cancel()


class TestGone:
    """A peer at whose address no process listens any more."""

    @virtual_time
    async def test_a_gone_host_is_silent_at_the_next_heartbeat(self):
        gone_s = await silent_after(PeerGoneError('refused'))
        assert gone_s <= 1.2 * TIMES.heartbeat_s

    @virtual_time
    async def test_an_unanswering_host_is_silent_only_after_the_timeout(self):
        silent_s = await silent_after(PeerUnavailableError('no answer'))
        assert silent_s >= TIMES.dead_after_s - TIMES.heartbeat_s

    @pytest.mark.parametrize('heard_since', [True, False])
    def test_a_restarted_process_stays_live(self, heard_since):
        async def scenario():
            board = Blackboard('a', 1, 'dc', 'r')
            now = asyncio.get_running_loop().time()
            host = HostEntry('b', 'b:1', 'dc', heard_at=now, silent=False)
            board.hosts_by_id['b'] = host
            controller = HeartbeatController(
                board, Calls(), TIMES, random.Random(1)
            )
            controller._note_gone('b', now - 1 if heard_since else now + 1)
            assert host.silent is not heard_since

        asyncio.run(scenario())
