"""Tests of heartbeats among many hosts, which are relayed by a few hubs."""

import asyncio

from mustardscale.hosts.heartbeat_hubs import (
    HUB_COUNT,
    MAX_MESH_HOSTS,
    MESH_READER_COUNT,
)
from mustardscale.hosts.membership import MembershipTimes
from mustardscale.hosts.quorum import QUORUM_LEASE_S
from tests.test_membership import count_requests, start_site
from tests.virtual_time import virtual_time

HOSTS = 20
POLL_S = 0.1
TIMES = MembershipTimes()
# Time until a hub finds the silence, reports it, and the next pass of the other
# hosts merges the report, seconds.
DETECTION_S = TIMES.dead_after_s + 3 * TIMES.heartbeat_s


def boards_of(site):
    return {
        name: router.blackboard for name, router in site.routers_by_host.items()
    }


def hubs_of(site):
    """Returns the hubs on which all hosts agree."""
    chosen = {
        router.heartbeats.hubs.hub_ids
        for router in site.routers_by_host.values()
    }
    assert len(chosen) == 1
    return set(chosen.pop())


def views(site):
    return [tuple(board.live_hosts()) for board in boards_of(site).values()]


async def cut_off(site, names):
    """Cuts the given hosts from all others, but not from each other."""
    for name in names:
        for other in set(site.routers_by_host) - set(names):
            site.peers.cut(name, other)


class TestHubs:
    """The pairs that exchange heartbeats, and the hosts that are known."""

    @virtual_time
    async def test_heartbeat_count_grows_with_hosts_not_pairs(self):
        site = await start_site(HOSTS)
        counts = count_requests(site)
        await asyncio.sleep(10)
        rounds = 10 / TIMES.heartbeat_s
        # One heartbeat for each pair of a hub and another host, with a margin
        # for jitter and repetitions.
        assert sum(counts.values()) <= HUB_COUNT * HOSTS * rounds * 1.2
        await site.stop()

    @virtual_time
    async def test_all_hosts_know_all_hosts(self):
        site = await start_site(HOSTS)
        assert len(hubs_of(site)) == HUB_COUNT
        assert set(views(site)) == {tuple(sorted(site.routers_by_host))}
        await site.stop()

    @virtual_time
    async def test_mesh_has_no_hosts_that_read_with_short_waits(self):
        site = await start_site(7)
        chosen = {
            router.heartbeats.hubs.reader_ids
            for router in site.routers_by_host.values()
        }
        assert [len(readers) for readers in chosen] == [MESH_READER_COUNT]
        await site.stop()

    @virtual_time
    async def test_no_host_is_lost_without_a_fault(self):
        site = await start_site(HOSTS)
        boards = boards_of(site).values()
        loop = asyncio.get_running_loop()
        end = loop.time() + 20
        while loop.time() < end:
            await asyncio.sleep(POLL_S)
            for board in boards:
                assert len(board.live_hosts()) == HOSTS
                assert loop.time() - board.quorum_at < QUORUM_LEASE_S
        await site.stop()

    @virtual_time
    async def test_all_hosts_detect_a_dead_host(self):
        site = await start_site(HOSTS)
        dead = next(
            name for name in site.routers_by_host if name not in hubs_of(site)
        )
        await cut_off(site, [dead])
        await asyncio.sleep(DETECTION_S)
        others = {
            name: b for name, b in boards_of(site).items() if name != dead
        }
        assert all(dead not in board.live_hosts() for board in others.values())
        await site.stop()

    @virtual_time
    async def test_hubs_that_die_together_are_replaced(self):
        site = await start_site(HOSTS)
        dead = hubs_of(site)
        for name in dead:
            await site.kill_host(name)
        await asyncio.sleep(2 * DETECTION_S)
        assert not hubs_of(site) & dead
        assert set(views(site)) == {tuple(sorted(site.routers_by_host))}
        await site.stop()

    @virtual_time
    async def test_a_restarted_host_is_live_again(self):
        site = await start_site(HOSTS)
        name = sorted(set(site.routers_by_host) - hubs_of(site))[0]
        await site.kill_host(name)
        await asyncio.sleep(DETECTION_S)
        await site.start_host(name)
        await asyncio.sleep(DETECTION_S)
        assert set(views(site)) == {tuple(sorted(site.routers_by_host))}
        await site.stop()

    @virtual_time
    async def test_a_few_hosts_form_a_mesh(self):
        site = await start_site(MAX_MESH_HOSTS)
        assert len(hubs_of(site)) == MAX_MESH_HOSTS
        await site.stop()


class TestQuorum:
    """The quorum in a partitioned network."""

    @virtual_time
    async def test_only_the_larger_partition_has_a_quorum(self):
        site = await start_site(HOSTS)
        small = set(sorted(site.routers_by_host)[: HOSTS // 2 - 1])
        await cut_off(site, small)
        await asyncio.sleep(QUORUM_LEASE_S + DETECTION_S)
        now = asyncio.get_running_loop().time()
        for name, board in boards_of(site).items():
            fresh = now - board.quorum_at < QUORUM_LEASE_S
            assert fresh == (name not in small), name
        await site.stop()


class TestLeaving:
    """Reports of endpoints that are leaving."""

    @virtual_time
    async def test_a_leaving_endpoint_becomes_known_to_all_hosts(self):
        site = await start_site(HOSTS)
        boards = boards_of(site)
        teller = sorted(set(boards) - hubs_of(site))[0]
        engine = sorted(boards[teller].endpoints_by_id)[0]
        now = asyncio.get_running_loop().time()
        entry = boards[teller].endpoints_by_id[engine]
        entry.leaving_until = now + 5
        await asyncio.sleep(3 * TIMES.heartbeat_s)
        now = asyncio.get_running_loop().time()
        for board in boards.values():
            assert board.endpoints_by_id[engine].leaving(now)
        await site.stop()

    @virtual_time
    async def test_leaving_is_not_relayed_for_ever(self):
        site = await start_site(HOSTS)
        boards = boards_of(site)
        teller = sorted(set(boards) - hubs_of(site))[0]
        engine = sorted(boards[teller].endpoints_by_id)[0]
        now = asyncio.get_running_loop().time()
        boards[teller].endpoints_by_id[engine].leaving_until = now + 1
        await asyncio.sleep(40)
        now = asyncio.get_running_loop().time()
        for board in boards.values():
            assert not board.endpoints_by_id[engine].leaving(now)
        await site.stop()
