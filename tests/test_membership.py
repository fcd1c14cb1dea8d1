"""Tests of what hosts tell each other of other hosts."""

import asyncio

import pytest

from mustardscale.peer_codec import Frame, FrameKind, encode_frame
from standins.memory_site import MemorySite, SiteLayout
from tests.virtual_time import virtual_time

CUT_S = 20
# Several heartbeats, less than the silence after which a host is dead.
LOOK_S = 0.1


def heartbeat_bytes(site):
    """Returns the size of a heartbeat from the first host to the second."""
    router = site.routers_by_host['entry-1']
    beat = router.heartbeats.heartbeat('entry-2')
    return len(encode_frame(Frame(FrameKind.REQUEST, 1, beat)))


async def started_site(hosts):
    site = MemorySite(SiteLayout(entry_hosts=hosts), seed=1)
    await site.start()
    await asyncio.sleep(5)
    return site


class TestHeartbeats:
    """What heartbeats cost, and what they are for."""

    @virtual_time
    async def test_their_size_does_not_grow_with_the_hosts_that_are_heard(self):
        sizes = []
        for hosts in (2, 6, 12):
            site = await started_site(hosts)
            sizes.append(heartbeat_bytes(site))
            await site.stop()
        assert len(set(sizes)) == 1

    @pytest.mark.parametrize('loss', [0.0, 0.1])
    @virtual_time
    async def test_hosts_cut_from_each_other_stay_live_by_word(self, loss):
        site = await started_site(4)
        names = list(site.routers_by_host)
        for source in names:
            for target in names:
                site.peers.lose_replies(source, target, loss)
        site.peers.cut('entry-1', 'entry-2')
        boards = {
            name: router.blackboard
            for name, router in site.routers_by_host.items()
        }
        end = asyncio.get_running_loop().time() + CUT_S
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(LOOK_S)
            assert not boards['entry-1'].hosts_by_id['entry-2'].silent
            assert not boards['entry-2'].hosts_by_id['entry-1'].silent
        await site.kill_host('entry-2')
        await asyncio.sleep(6)
        assert boards['entry-1'].hosts_by_id['entry-2'].silent
        await site.stop()
