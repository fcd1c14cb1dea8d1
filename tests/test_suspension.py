"""Tests of a suspended machine, whose loop clock does not count that time."""

import asyncio

import pytest

from mustardscale import blackboard
from mustardscale.blackboard import Blackboard
from mustardscale.hosts import quorum
from mustardscale.hosts.quorum import Quorum, has_quorum
from mustardscale.peers.peer_messages import Heartbeat
from tests.test_membership import start_site
from tests.virtual_time import virtual_time


class Suspension:
    """A fake clock of the total time of suspension."""

    def __init__(self):
        self.total_s = 100.0

    def __call__(self):
        return self.total_s


class Mesh:
    """A few hosts that all exchange heartbeats."""

    is_mesh = True
    is_hub = False


@pytest.fixture
def suspension(monkeypatch):
    clock = Suspension()
    for module in (blackboard, quorum):
        monkeypatch.setattr(module, 'suspended_s', clock)
    return clock


def peer(board, name):
    board.hosts_by_id[name] = blackboard.HostEntry(name, 'a:1', 'dc')


class TestQuorum:
    """The quorum of one host."""

    def scene(self):
        board = Blackboard('a', 1, 'dc', 'region')
        board.host_list_read = True
        for name in 'bc':
            peer(board, name)
        return board, Quorum(board, Mesh())

    @virtual_time
    async def test_a_quorum_is_void_at_once_after_a_suspension(
        self, suspension
    ):
        board, held = self.scene()
        now = asyncio.get_running_loop().time()
        held.note_answer('b', now)
        held.update()
        assert has_quorum(board, now)
        suspension.total_s += 5.0
        # No controller has run since the suspension.
        assert not has_quorum(board, now)

    @virtual_time
    async def test_answers_from_before_a_suspension_do_not_count(
        self, suspension
    ):
        board, held = self.scene()
        sent_at = asyncio.get_running_loop().time()
        await asyncio.sleep(0.1)
        suspension.total_s += 5.0
        held.update()
        held.note_answer('b', sent_at)
        echo = Heartbeat(
            'c', 1, 'dc', False, 0, 0, echo_at=sent_at, echo_incarnation=1
        )
        held.note_echo(echo, asyncio.get_running_loop().time())
        held.update()
        now = asyncio.get_running_loop().time()
        assert not has_quorum(board, now)
        held.note_answer('b', now)
        held.update()
        assert has_quorum(board, now)

    @virtual_time
    async def test_a_small_clock_error_keeps_the_quorum(self, suspension):
        board, held = self.scene()
        now = asyncio.get_running_loop().time()
        held.note_answer('b', now)
        held.update()
        suspension.total_s += 0.05
        assert has_quorum(board, now)


class TestSite:
    """Hosts that are suspended and resume."""

    @virtual_time
    async def test_heartbeats_renew_the_quorum(self, suspension):
        site = await start_site(3)
        boards = [r.blackboard for r in site.routers_by_host.values()]
        now = asyncio.get_running_loop().time()
        assert all(has_quorum(board, now) for board in boards)
        suspension.total_s += 5.0
        assert not any(has_quorum(board, now) for board in boards)
        await asyncio.sleep(3.0)
        now = asyncio.get_running_loop().time()
        assert all(has_quorum(board, now) for board in boards)
        await site.stop()
