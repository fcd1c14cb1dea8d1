"""Tests of suspicions and of how peers hear of them."""

import asyncio

from mustardscale.blackboard import Blackboard
from mustardscale.pools.quarantine import TRANSIT_S, Suspicions
from standins.memory_site import SiteLayout
from tests.test_memory_site import run
from tests.virtual_time import virtual_time

ITEM = ('request', 7)
# A notice takes a few milliseconds.
TOLD_AFTER_S = 0.05


def suspicions():
    """Returns the suspicions of a host that knows none."""
    return Suspicions(Blackboard('a', 1, 'dc1', 'dk-east'))


def tell(sender, receiver):
    """Passes all that one host knows on to another."""
    items, _ = sender.changed_after(0, 100)
    receiver.merge(items)


class TestMerge:
    """Two hosts that tell each other."""

    @virtual_time
    async def test_news_is_passed_on_and_returns_as_none(self):
        one, other = suspicions(), suspicions()
        one.record_crash('engine', [ITEM])
        tell(one, other)
        changes = one.changes
        tell(other, one)
        assert other.crashes('fresh', 7) == 1
        assert one.changes == changes

    @virtual_time
    async def test_a_clearing_reaches_the_other(self):
        one, other = suspicions(), suspicions()
        one.record_crash('engine', [ITEM])
        tell(one, other)
        await asyncio.sleep(2 * TRANSIT_S)
        one.clear(*ITEM)
        tell(other, one)
        tell(one, other)
        assert one.crashes(*ITEM) == other.crashes(*ITEM) == 0

    @virtual_time
    async def test_a_quarantine_is_never_overruled(self):
        one, other = suspicions(), suspicions()
        one.record_crash('engine', [ITEM])
        tell(one, other)
        other.record_crash('engine', [ITEM])
        await asyncio.sleep(2 * TRANSIT_S)
        one.clear(*ITEM)
        tell(one, other)
        tell(other, one)
        assert one.is_quarantined(*ITEM)
        assert other.is_quarantined(*ITEM)

    @virtual_time
    async def test_parts_are_in_order_and_end(self):
        sender, receiver = suspicions(), suspicions()
        sender.record_crash('engine', [(f'r{n}', n) for n in range(1, 6)])
        change = 0
        while change < sender.changes:
            items, change = sender.changed_after(change, 3)
            assert 0 < len(items) <= 3
            receiver.merge(items)
        assert receiver.crashes('r5', 0) == receiver.crashes('r1', 0) == 1


class TestSharing:
    """Hosts of a site."""

    def test_hosts_that_are_there_cut_off_or_start_later(self):
        async def scenario(site):
            site.peers.cut('entry-1', 'entry-2')
            first = site.routers_by_host['entry-1'].suspicions
            first.record_crash('engine', [ITEM])
            await asyncio.sleep(TOLD_AFTER_S)
            third = site.routers_by_host['entry-3'].suspicions
            assert third.crashes(*ITEM) == 1
            second = site.routers_by_host['entry-2'].suspicions
            assert second.crashes(*ITEM) == 1
            await site.kill_host('entry-1')
            started = await site.start_host('entry-1')
            await asyncio.sleep(1)
            assert started.suspicions.crashes(*ITEM) == 1

        run(scenario, layout=SiteLayout(entry_hosts=3))
