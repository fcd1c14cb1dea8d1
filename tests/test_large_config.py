"""Tests of a large configuration at hosts with narrow links."""

import asyncio
import contextlib

import pytest

from standins.large_config import FEW_ROUTES
from standins.rated_fleet import RatedFleet
from standins.rated_peers import SMALL_MESSAGE_BYTES
from tests.virtual_time import virtual_time

HOSTS = 65
ROUTES = 1_400
# Time after its acknowledgement in which a version is in force on every host
# in touch, seconds: the users' bound.
IN_FORCE_WITHIN_S = 3.0
# Time in which hosts that started together serve again: the users' bound.
RECOVER_WITHIN_S = 15.0
# Time between two versions, seconds.
VERSION_GAP_S = 2.0
VERSIONS = 7
CALM_S = 12.0
LOOK_S = 0.02


@contextlib.asynccontextmanager
async def running(hosts=HOSTS, routes=FEW_ROUTES):
    """Runs a fleet on which a configuration stands."""
    fleet = RatedFleet(hosts, routes)
    await fleet.start()
    try:
        yield fleet
    finally:
        await fleet.stop()


def version_of(fleet, host):
    router = fleet.router_by_host.get(host)
    return router.blackboard.config.routes.table.version if router else 0


async def until_in_force(fleet, hosts, version, limit_s):
    """Returns the seconds until hosts have a version, limit_s at most."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    while any(version_of(fleet, host) < version for host in hosts):
        if loop.time() - began_at >= limit_s:
            break
        await asyncio.sleep(LOOK_S)
    return loop.time() - began_at


async def write_versions(fleet, hosts, count=VERSIONS):
    """Writes versions; returns the seconds until hosts have each of them."""
    measuring = []
    for _ in range(count):
        version = fleet.set_routes()
        measuring.append(
            asyncio.create_task(until_in_force(fleet, hosts, version, 30.0))
        )
        await asyncio.sleep(VERSION_GAP_S)
    return await asyncio.gather(*measuring)


def readers_of(fleet):
    router = next(iter(fleet.router_by_host.values()))
    return sorted(router.heartbeats.hubs.reader_ids)


class TestVersions:
    """Versions that follow one another while many routes stand."""

    @pytest.mark.parametrize('hosts', [HOSTS, 195])
    @virtual_time
    async def test_version_comes_late_to_hosts_with_narrow_links(self, hosts):
        async with running(hosts) as fleet:
            await asyncio.sleep(CALM_S)
            fleet.config.grow(ROUTES)
            taken = await write_versions(fleet, list(fleet.router_by_host))
            assert max(taken) <= IN_FORCE_WITHIN_S, taken

    @virtual_time
    async def test_version_comes_late_while_a_reader_is_frozen(self):
        async with running() as fleet:
            await asyncio.sleep(CALM_S)
            fleet.config.grow(ROUTES)
            fleet.set_routes()
            await asyncio.sleep(CALM_S)
            frozen = readers_of(fleet)[0]
            fleet.network.freeze(frozen)
            await asyncio.sleep(4.0)
            hosts = [host for host in fleet.router_by_host if host != frozen]
            taken = await write_versions(fleet, hosts)
            fleet.network.thaw(frozen)
            assert max(taken) <= IN_FORCE_WITHIN_S, taken

    @virtual_time
    async def test_version_goes_over_a_link_more_than_once(self):
        async with running() as fleet:
            await asyncio.sleep(CALM_S)
            began = fleet.link_bytes()
            await asyncio.sleep(VERSIONS * VERSION_GAP_S)
            fleet.config.grow(ROUTES)
            calm = fleet.link_bytes()
            await write_versions(fleet, list(fleet.router_by_host))
            # Each version once, and a small message from each host for it.
            messages = HOSTS * SMALL_MESSAGE_BYTES
            allowed = VERSIONS * (len(fleet.config.encode()) + messages)
            for host, links in fleet.link_bytes().items():
                others = zip(began[host], calm[host], strict=True)
                for total, (first, then) in zip(links, others, strict=True):
                    assert (total - then) - (then - first) <= allowed, host


class TestStarts:
    """Hosts that start together while many routes stand."""

    @virtual_time
    async def test_all_hosts_are_late_to_get_a_table(self):
        async with running(routes=ROUTES) as fleet:
            version = fleet.config.version
            hosts = list(fleet.router_by_host)
            taken = await until_in_force(fleet, hosts, version, 60.0)
            assert taken <= RECOVER_WITHIN_S

    @virtual_time
    async def test_hosts_that_start_starve_the_others_of_versions(self):
        async with running() as fleet:
            await asyncio.sleep(CALM_S)
            fleet.config.grow(ROUTES)
            fleet.set_routes()
            await asyncio.sleep(CALM_S)
            hosts = sorted(fleet.router_by_host)
            killed = [host for n, host in enumerate(hosts) if n % 3]
            left = [host for host in hosts if host not in killed]
            for host in killed:
                await fleet.kill_host(host)
            await asyncio.sleep(1.0)
            for host in killed:
                await fleet.start_host(host)
            version = fleet.config.version
            returning = asyncio.create_task(
                until_in_force(fleet, killed, version, 60.0)
            )
            taken = await write_versions(fleet, left)
            assert await returning <= RECOVER_WITHIN_S
            assert max(taken) <= IN_FORCE_WITHIN_S, taken
