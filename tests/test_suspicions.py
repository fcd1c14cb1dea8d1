"""Tests of suspicions and of sharing them with peers."""

import asyncio

from mustardscale.blackboard import Blackboard
from mustardscale.pools.quarantine import NOTICE_DELAY_S, Suspicions
from standins.memory_site import SiteLayout
from tests.test_memory_site import run
from tests.virtual_time import virtual_time

ITEM = ('request', 7)
# Time after which a notice has arrived; it takes a few milliseconds.
NOTICE_ARRIVED_AFTER_S = 0.05


def suspicions():
    """Returns the empty suspicions of a new host."""
    return Suspicions(Blackboard('a', 1, 'dc1', 'dk-east'))


def share(sender, receiver):
    """Sends all suspicions of one host to another."""
    items, _ = sender.changed_after(0, 100)
    receiver.merge(items)


class TestMerge:
    """Two hosts that merge each other's suspicions."""

    @virtual_time
    async def test_a_suspicion_is_shared_and_its_return_changes_nothing(self):
        one, other = suspicions(), suspicions()
        one.record_crash('engine', [ITEM])
        share(one, other)
        changes = one.changes
        share(other, one)
        assert other.crashes('fresh', 7) == 1
        assert one.changes == changes

    @virtual_time
    async def test_a_cleared_suspicion_is_cleared_on_the_peer(self):
        one, other = suspicions(), suspicions()
        one.record_crash('engine', [ITEM])
        share(one, other)
        await asyncio.sleep(2 * NOTICE_DELAY_S)
        one.clear(*ITEM)
        share(other, one)
        share(one, other)
        assert one.crashes(*ITEM) == other.crashes(*ITEM) == 0

    @virtual_time
    async def test_a_quarantine_is_never_overruled(self):
        one, other = suspicions(), suspicions()
        one.record_crash('engine', [ITEM])
        share(one, other)
        other.record_crash('engine', [ITEM])
        await asyncio.sleep(2 * NOTICE_DELAY_S)
        one.clear(*ITEM)
        share(one, other)
        share(other, one)
        assert one.is_quarantined(*ITEM)
        assert other.is_quarantined(*ITEM)

    @virtual_time
    async def test_limited_notices_together_hold_all_changes(self):
        sender, receiver = suspicions(), suspicions()
        sender.record_crash('engine', [(f'r{n}', n) for n in range(1, 6)])
        change = 0
        while change < sender.changes:
            items, change = sender.changed_after(change, 3)
            assert 0 < len(items) <= 3
            receiver.merge(items)
        assert receiver.crashes('r5', 0) == receiver.crashes('r1', 0) == 1


class TestSharing:
    """Hosts of a site that share suspicions."""

    def test_connected_cut_off_and_restarted_hosts_know_a_crash(self):
        async def scenario(site):
            site.peers.cut('entry-1', 'entry-2')
            first = site.routers_by_host['entry-1'].suspicions
            first.record_crash('engine', [ITEM])
            await asyncio.sleep(NOTICE_ARRIVED_AFTER_S)
            third = site.routers_by_host['entry-3'].suspicions
            assert third.crashes(*ITEM) == 1
            second = site.routers_by_host['entry-2'].suspicions
            assert second.crashes(*ITEM) == 1
            await site.kill_host('entry-1')
            started = await site.start_host('entry-1')
            await asyncio.sleep(1)
            assert started.suspicions.crashes(*ITEM) == 1

        run(scenario, layout=SiteLayout(entry_hosts=3))
