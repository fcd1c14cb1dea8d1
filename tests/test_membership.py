"""Tests of heartbeats and of what they report on other hosts."""

import asyncio
import collections

import pytest

from mustardscale.controller import JITTER_SHARE
from mustardscale.hosts.membership import MembershipTimes
from mustardscale.hosts.quorum import QUORUM_LEASE_S
from mustardscale.peers.peer_codec import Frame, FrameKind, encode_frame
from mustardscale.peers.peer_messages import Heartbeat
from standins.memory_site import MemorySite, SiteLayout
from tests.virtual_time import virtual_time

CUT_S = 20
# Interval of the checks, shorter than a heartbeat interval, seconds.
POLL_S = 0.1


def heartbeat_bytes(site):
    """Returns the size of a heartbeat from the first host to the second."""
    router = site.routers_by_host['entry-1']
    heartbeat = router.heartbeats.heartbeat('entry-2')
    return len(encode_frame(Frame(FrameKind.REQUEST, 1, heartbeat)))


def lose_replies(site, loss):
    names = list(site.routers_by_host)
    for source in names:
        for target in names:
            site.peers.lose_replies(source, target, loss)


async def start_site(hosts):
    site = MemorySite(SiteLayout(entry_hosts=hosts), seed=1)
    await site.start()
    await asyncio.sleep(5)
    return site


def count_requests(site):
    """Counts the heartbeats that are sent, except those sent in reply."""
    counts = collections.Counter()
    for name, router in site.routers_by_host.items():
        site.peers.attach(
            name, counting_dispatch(router._calls.dispatch, counts)
        )
    return counts


def counting_dispatch(dispatch, counts):
    async def counted(sender, request):
        if isinstance(request, Heartbeat):
            counts[sender] += 1
        return await dispatch(sender, request)

    return counted


class TestHeartbeats:
    """The cost of heartbeats, the quorum and the reports on live hosts."""

    @virtual_time
    async def test_heartbeat_size_does_not_grow_with_heard_hosts(self):
        sizes = []
        for hosts in (2, 6, 12):
            site = await start_site(hosts)
            sizes.append(heartbeat_bytes(site))
            await site.stop()
        assert len(set(sizes)) == 1

    @virtual_time
    async def test_one_host_of_a_pair_begins_each_exchange(self):
        site = await start_site(6)
        pairs = 6 * 5 / 2
        counts = count_requests(site)
        await asyncio.sleep(CUT_S)
        exchanges = pairs * CUT_S / MembershipTimes().heartbeat_s
        assert sum(counts.values()) <= exchanges * (1 + JITTER_SHARE)
        await site.stop()

    @pytest.mark.parametrize('loss', [0.0, 0.1])
    @virtual_time
    async def test_all_hosts_keep_their_quorum(self, loss):
        site = await start_site(5)
        lose_replies(site, loss)
        boards = [router.blackboard for router in site.routers_by_host.values()]
        loop = asyncio.get_running_loop()
        end = loop.time() + CUT_S
        while loop.time() < end:
            await asyncio.sleep(POLL_S)
            for board in boards:
                assert loop.time() - board.quorum_at < QUORUM_LEASE_S
                assert board.quorum_at <= loop.time()
                others = board.hosts_by_id.values()
                assert not any(host.silent for host in others)
        await site.stop()

    @pytest.mark.parametrize('cut', [('entry-1', 'entry-2'), ()])
    @virtual_time
    async def test_an_unanswered_host_has_no_quorum(self, cut):
        site = await start_site(2)
        board = site.routers_by_host['entry-2'].blackboard
        cut_at = asyncio.get_running_loop().time()
        if cut:
            # Messages from entry-1 still arrive, so entry-1 is heard.
            site.peers.cut('entry-2', 'entry-1', one_way=True)
        await asyncio.sleep(CUT_S)
        assert (board.quorum_at <= cut_at) == bool(cut)
        await site.stop()

    @virtual_time
    async def test_an_echo_to_an_earlier_process_is_ignored(self):
        site = await start_site(2)
        await site.kill_host('entry-2')
        router = await site.start_host('entry-2')
        # The peer echoes the last heartbeat of the killed process.
        peer = site.routers_by_host['entry-1'].heartbeats
        heartbeat = peer.heartbeat('entry-2')
        assert 0 < heartbeat.echo_incarnation < router.blackboard.incarnation
        await router.heartbeats._on_heartbeat('entry-1', heartbeat)
        assert not router.heartbeats._quorum._answered_sent_at_by_host
        await site.stop()

    @pytest.mark.parametrize('loss', [0.0, 0.1])
    @virtual_time
    async def test_hosts_cut_from_each_other_stay_live_by_peer_reports(
        self, loss
    ):
        site = await start_site(4)
        lose_replies(site, loss)
        site.peers.cut('entry-1', 'entry-2')
        boards = {
            name: router.blackboard
            for name, router in site.routers_by_host.items()
        }
        end = asyncio.get_running_loop().time() + CUT_S
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(POLL_S)
            assert not boards['entry-1'].hosts_by_id['entry-2'].silent
            assert not boards['entry-2'].hosts_by_id['entry-1'].silent
        await site.kill_host('entry-2')
        await asyncio.sleep(6)
        assert boards['entry-1'].hosts_by_id['entry-2'].silent
        await site.stop()
