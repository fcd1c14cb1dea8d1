"""Tests of segments of prompts that crash the engines that write on them."""

import asyncio

import pytest

from mustardscale.outcomes import Outcome
from mustardscale.quarantine.suspicions import TRIAL_DELAY_S
from standins.crash_fleet import (
    CRASHES_ALLOWED,
    FIRST_SEGMENT,
    SERVICE,
    SOUND_SHARE,
    STABLE_S,
    CrashFleet,
)
from standins.crash_runs import play_seed
from tests.virtual_time import virtual_time

# Requests a second to all hosts: sound ones, and ones with a harmful segment.
SOUND_PER_S = 8.0
HARMFUL_PER_S = 2.0
HARMFUL_FOR_S = 25.0
CALM_S = 8.0
HARMFUL = 'harmful1'


def now():
    return asyncio.get_running_loop().time()


async def start_fleet(hosts, **options):
    fleet = CrashFleet(hosts, **options)
    await fleet.start()
    return fleet


async def load_both(fleet, seconds=HARMFUL_FOR_S, harmful=(HARMFUL,)):
    """Sends sound requests, and beside them ones with a harmful segment."""
    for service in fleet.harmful_by_service.values():
        service.update(harmful)
    async with asyncio.TaskGroup() as group:
        group.create_task(fleet.load(SOUND_PER_S, seconds))
        group.create_task(fleet.load(HARMFUL_PER_S, seconds, harmful=harmful))


def check_sound_requests(fleet, calm_from, harmful_from):
    """Requires that sound requests are served as before, once all is known."""
    usual = fleet.sound_share(calm_from, harmful_from)
    crashes = sorted(
        at for times in fleet.log.crashed_at_by_segment.values() for at in times
    )[:CRASHES_ALLOWED]
    known_at = crashes[-1] + 2 * STABLE_S
    share = fleet.sound_share(known_at, now())
    assert usual > 0.9
    assert share >= SOUND_SHARE * usual
    assert fleet.refused_as_harmful(known_at) == 0


class TestFleetOfHosts:
    """Requests with a harmful segment that come to all hosts."""

    @virtual_time
    @pytest.mark.parametrize('hosts', [6, 195])
    async def test_harmful_segment_crashes_one_engine_after_the_other(
        self, hosts
    ):
        fleet = await start_fleet(hosts)
        calm_from = now()
        await fleet.load(SOUND_PER_S, CALM_S)
        harmful_from = now()
        await load_both(fleet)
        await fleet.stop()
        assert fleet.violations() == []
        check_sound_requests(fleet, calm_from, harmful_from)


def owners(fleet):
    """Returns the hosts that own pools."""
    return [
        host
        for host, router in fleet.router_by_host.items()
        if router.pool_owner.owned_by_id
    ]


async def play(fleet, *faults, harmful=(HARMFUL,), seconds=HARMFUL_FOR_S):
    """Plays calm load, then harmful requests beside faults; checks all."""
    calm_from = now()
    await fleet.load(SOUND_PER_S, CALM_S)
    harmful_from = now()
    async with asyncio.TaskGroup() as group:
        group.create_task(load_both(fleet, seconds, harmful))
        for fault in faults:
            group.create_task(fault)
    await fleet.stop()
    assert fleet.violations() == []
    check_sound_requests(fleet, calm_from, harmful_from)


class TestFaultsOfHosts:
    """Hosts that end, join, freeze or are cut off meanwhile."""

    @virtual_time
    @pytest.mark.parametrize('seed', range(3))
    async def test_owners_are_killed_one_after_the_other(self, seed):
        fleet = await start_fleet(6, seed=seed)

        async def kill_owners():
            for _ in range(5):
                await asyncio.sleep(0.4)
                (owner, *_) = owners(fleet)
                fleet.begin_fault(owner)
                await fleet.kill_host(owner)
                await fleet.start_host(owner)
                fleet.end_fault(owner)

        await play(fleet, kill_owners())

    @virtual_time
    @pytest.mark.parametrize('streams_down', [False, True])
    async def test_hosts_that_join_know_what_is_harmful(self, streams_down):
        fleet = await start_fleet(6)
        fleet.streams.available = not streams_down

        async def join():
            await asyncio.sleep(8.0)
            for number in range(6):
                await fleet.start_host(f'h9{number:02}')
            for number in range(1, 7):
                await asyncio.sleep(1.0)
                await fleet.kill_host(f'h{number:03}')

        await play(fleet, join())

    @virtual_time
    async def test_all_hosts_end_at_once_and_it_is_still_known(self):
        fleet = await start_fleet(6)

        async def restart_all():
            await asyncio.sleep(10.0)
            hosts = list(fleet.router_by_host)
            for host in hosts:
                await fleet.kill_host(host)
            for host in hosts:
                fleet.begin_fault(host)
                await fleet.start_host(host)
                fleet.end_fault(host)

        await play(fleet, restart_all())
        assert len(fleet.crashes_of(HARMFUL)) <= CRASHES_ALLOWED

    @virtual_time
    @pytest.mark.parametrize('from_store', [False, True])
    async def test_host_is_cut_off_from_its_peers(self, from_store):
        fleet = await start_fleet(6)
        await asyncio.sleep(1.0)

        async def cut():
            for host in ('h001', 'h004'):
                fleet.cut_host(host)
                fleet.keyed_log_by_host[host].is_cut = from_store
                if from_store:
                    fleet.begin_fault(host)
            await asyncio.sleep(15.0)
            for host in ('h001', 'h004'):
                fleet.restore_host(host)
                fleet.keyed_log_by_host[host].is_cut = False
                if from_store:
                    fleet.end_fault(host)

        await play(fleet, cut())

    @virtual_time
    async def test_host_freezes_with_requests_in_flight(self):
        fleet = await start_fleet(6)

        async def freeze():
            for host in ('h002', 'h005'):
                await asyncio.sleep(0.3)
                fleet.peers.freeze(host)
                fleet.begin_fault(host)
            await asyncio.sleep(5.0)
            for host in ('h002', 'h005'):
                fleet.peers.thaw(host)
                fleet.end_fault(host)

        await play(fleet, freeze())

    @virtual_time
    async def test_no_host_sees_more_than_one_crash(self):
        fleet = await start_fleet(40)
        for service in fleet.harmful_by_service.values():
            service.add(HARMFUL)
        await fleet.load(SOUND_PER_S, CALM_S)
        # Each host gets one request with the segment, and not one more.
        for host in list(fleet.router_by_host):
            await asyncio.sleep(0.5)
            await fleet.ask(host, SERVICE, (FIRST_SEGMENT, HARMFUL, 'topic1'))
        await fleet.stop()
        assert fleet.violations() == []
        assert len(fleet.crashes_of(HARMFUL)) <= CRASHES_ALLOWED


class TestKindsOfLoad:
    """Several segments and services, bursts, and a segment that is mended."""

    @virtual_time
    @pytest.mark.parametrize('seed', range(3))
    async def test_two_harmful_segments_at_once(self, seed):
        fleet = await start_fleet(6, seed=seed)
        await play(fleet, harmful=('harmful1', 'harmful2'))
        assert len(fleet.log.crashed_at_by_segment) == 2

    @virtual_time
    async def test_burst_of_harmful_requests(self):
        fleet = await start_fleet(6)
        await play(fleet, fleet.load(20.0, 10.0, harmful=(HARMFUL,)))

    @virtual_time
    async def test_segment_that_is_mended_is_served_again(self):
        fleet = await start_fleet(6)
        await fleet.load(SOUND_PER_S, CALM_S)
        await load_both(fleet, 10.0)
        fleet.harmful_by_service[SERVICE].clear()
        mended_at = now()
        await fleet.load(HARMFUL_PER_S, 2 * TRIAL_DELAY_S, harmful=(HARMFUL,))
        await fleet.load(HARMFUL_PER_S, 10.0, harmful=(HARMFUL,))
        served = [
            record
            for record in fleet.records
            if HARMFUL in record.segments
            and record.sent_at > mended_at + 2 * TRIAL_DELAY_S
        ]
        await fleet.stop()
        assert len(served) > 10
        assert all(record.outcome is Outcome.COMPLETE for record in served)
        assert fleet.violations() == []

    @virtual_time
    async def test_segment_stays_harmful_and_trials_are_few(self):
        fleet = await start_fleet(6)
        await fleet.load(SOUND_PER_S, CALM_S)
        await load_both(fleet, 150.0)
        await fleet.stop()
        assert fleet.violations() == []

    @virtual_time
    async def test_segment_that_ends_the_engines_of_one_service_only(self):
        fleet = await start_fleet(6, services=('lm', 'other'))
        fleet.harmful_by_service['lm'].add(HARMFUL)
        await fleet.load(SOUND_PER_S, CALM_S)
        async with asyncio.TaskGroup() as group:
            for service in ('lm', 'other'):
                load = fleet.load(
                    HARMFUL_PER_S, 20.0, harmful=(HARMFUL,), service=service
                )
                group.create_task(load)
            group.create_task(fleet.load(SOUND_PER_S, 20.0))
        await fleet.stop()
        others = [record for record in fleet.records if record.service != 'lm']
        assert len(others) > 20
        assert all(record.outcome is Outcome.COMPLETE for record in others)
        assert fleet.violations() == []

    @virtual_time
    async def test_segment_that_ends_the_engines_of_both_services(self):
        fleet = await start_fleet(6, services=('lm', 'other'))
        for harmful in fleet.harmful_by_service.values():
            harmful.add(HARMFUL)
        await fleet.load(SOUND_PER_S, CALM_S)
        async with asyncio.TaskGroup() as group:
            for service in ('lm', 'other'):
                load = fleet.load(
                    HARMFUL_PER_S, 20.0, harmful=(HARMFUL,), service=service
                )
                group.create_task(load)
        await fleet.stop()
        assert fleet.violations() == []


class TestOtherCausesOfCrashes:
    """Crashes and lost connections that no request causes."""

    @virtual_time
    async def test_engines_that_end_by_themselves_quarantine_nothing(self):
        fleet = await start_fleet(6)

        async def end_engines():
            for _ in range(12):
                await asyncio.sleep(1.0)
                fleet.rng.choice(fleet.decode_engines()).crash()

        async with asyncio.TaskGroup() as group:
            group.create_task(fleet.load(SOUND_PER_S, 20.0))
            group.create_task(end_engines())
        await fleet.stop()
        assert fleet.refused_as_harmful(0.0) == 0

    @virtual_time
    async def test_refused_links_quarantine_nothing(self):
        fleet = await start_fleet(6)

        async def refuse_links():
            for _ in range(10):
                await asyncio.sleep(1.0)
                for engine in list(fleet.engine_by_address.values()):
                    engine.refuse_host('h003')
                await asyncio.sleep(0.5)
                for engine in fleet.engine_by_address.values():
                    engine.unreachable_hosts.clear()

        async with asyncio.TaskGroup() as group:
            group.create_task(fleet.load(SOUND_PER_S, 20.0))
            group.create_task(refuse_links())
        await fleet.stop()
        assert fleet.refused_as_harmful(0.0) == 0


class TestDrawnFaults:
    """Faults that are drawn from a seed."""

    @pytest.mark.parametrize('seed', [1, 2, 3])
    def test_harmful_segment_ends_engines_under_faults(self, seed):
        play_seed(seed, hosts=6)
