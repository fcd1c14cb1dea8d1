"""Tests that streams go on only at engines of the version that began them."""

import asyncio
import contextlib
import dataclasses

import pytest

from mustardscale.endpoints.engines import EngineRole
from mustardscale.exceptions import OutcomeError
from mustardscale.hosts.host_list import ListedKind
from mustardscale.outcomes import Outcome, OutcomeClass, outcome_class
from standins.faults import Outage
from standins.host_list_model import HostChange
from standins.memory_site import SiteLayout
from standins.version_fleet import GOES_ON_SHARE, VersionFleet
from tests.test_memory_site import language, run, whole
from tests.virtual_time import virtual_time

STREAMS = 64
# Time between the starts of two streams, seconds.
GAP_S = 0.05


async def play_streams(fleet, count=STREAMS, between=None, **options):
    """Plays streams that are taken up twice, at other hosts each time."""
    async with asyncio.TaskGroup() as group:
        for _ in range(count):
            up = sorted(fleet.router_by_host)
            hosts = fleet.rng.sample(up, min(3, len(up)))
            reads = [fleet.rng.randint(1, 3), fleet.rng.randint(1, 2)]
            stream = fleet.play_stream(hosts, reads, between, **options)
            group.create_task(stream)
            await asyncio.sleep(GAP_S)


def check(fleet):
    """Requires whole streams of one version, of which enough went on."""
    assert not fleet.mixed()
    assert all(record.is_in_order for record in fleet.streams_played)
    assert fleet.goes_on_share() >= GOES_ON_SHARE


class TestTakenUpStreams:
    """Streams that callers take up at other hosts."""

    @pytest.mark.parametrize('hosts', [6, 195])
    @virtual_time
    async def test_stream_taken_up_elsewhere_mixes_two_versions(self, hosts):
        fleet = VersionFleet(hosts)
        await fleet.start()
        await play_streams(fleet)
        await fleet.stop()
        assert sum(len(r.takes) for r in fleet.streams_played) >= STREAMS
        check(fleet)

    @virtual_time
    async def test_stream_is_refused_where_its_version_is_gone(self):
        fleet = VersionFleet(6, decode_engines=4)
        await fleet.start()

        async def end_version(record):
            for engine in list(fleet.decode_engines()):
                if engine.version in record.versions:
                    fleet.version_by_address[engine.address] = 'v3'
                    engine.crash()
            await asyncio.sleep(5.0)

        record = await fleet.play_stream(['h001', 'h002'], [2], end_version)
        await fleet.stop()
        assert not record.is_mixed
        (take,) = record.takes
        assert not take.went_on
        assert outcome_class(take.outcome) is OutcomeClass.NOT_RUN


class TestOneAnswer:
    """Streams that a host resumes within one answer."""

    @virtual_time
    async def test_stream_resumed_by_its_host_mixes_two_versions(self):
        fleet = VersionFleet(6)
        await fleet.start()

        async def crash_engines():
            for _ in range(12):
                await asyncio.sleep(0.4)
                fleet.rng.choice(fleet.decode_engines()).crash()

        async with asyncio.TaskGroup() as group:
            group.create_task(crash_engines())
            for _ in range(100):
                host = fleet.rng.choice(sorted(fleet.router_by_host))
                group.create_task(fleet.play_stream([host], []))
                await asyncio.sleep(GAP_S)
        await fleet.stop()
        assert not fleet.mixed()
        assert all(record.is_in_order for record in fleet.streams_played)


def list_decode_engines(site):
    """Returns the host list's entries of the engines that decode."""
    return [
        listed
        for listed in site.listed_by_id().values()
        if listed.role is EngineRole.DECODE
    ]


def begin_anew(site, engines):
    """Lets engines start again at once under their ids."""
    for listed in engines:
        site.engines_by_id[listed.id].kill(0.0)


class TestOwnInterface:
    """Streams of the own interface, whose host list may state versions."""

    def test_stream_goes_on_at_an_engine_of_its_version(self):
        seen = []

        async def scenario(site):
            layout_versions = {
                name: listed.version
                for name, listed in site.listed_by_id().items()
                if listed.kind is ListedKind.ENGINE
            }
            # Each host has a budget of few retries.
            for number in range(4):
                router = site.routers_by_host[f'entry-{number + 1}']
                engines = await self.crash_in_stream(site, router, number)
                seen.append([layout_versions[name] for name in engines])

        layout = SiteLayout(decode_engines=6, versions=('v1', 'v2'))
        run(scenario, layout=layout)
        assert any(len(versions) > 1 for versions in seen)
        assert all(len(set(versions)) == 1 for versions in seen)

    def test_stream_ends_where_no_engine_of_its_version_is_left(self):
        async def scenario(site):
            router = site.routers_by_host['entry-1']
            with pytest.raises(OutcomeError) as info:
                await self.crash_in_stream(site, router, 1)
            assert info.value.outcome is Outcome.ATTEMPTS_EXHAUSTED

        layout = SiteLayout(
            prefill_engines=1, decode_engines=2, versions=('p', 'v1', 'v2')
        )
        run(scenario, layout=layout)

    def test_stream_of_an_engine_that_began_anew_unseen_mixes_versions(self):
        async def scenario(site):
            router = site.routers_by_host['entry-1']
            site.host_list.conditions.outage = Outage.HANG
            version_by_id = {}
            # The engines of v1 but one start again under their ids with v2.
            decode = [
                listed
                for listed in site.listed_by_id().values()
                if listed.role is EngineRole.DECODE
            ]
            for listed in decode:
                version_by_id[listed.id] = 'v1'
            for listed in decode[1:]:
                version_by_id[listed.id] = 'v2'
                site.engines_by_id[listed.id].kill(0.0)
            await asyncio.sleep(3.0)
            seen = []
            for number in range(4):
                with contextlib.suppress(OutcomeError):
                    engines = await self.crash_in_stream(site, router, number)
                    seen.append({version_by_id[name] for name in engines})
            assert all(len(versions) == 1 for versions in seen)

        layout = SiteLayout(decode_engines=4, versions=('v1',))
        run(scenario, layout=layout)

    def test_stream_goes_on_at_engines_that_the_list_has_told_of_since(self):
        seen = []

        async def scenario(site):
            site.host_list.conditions.outage = Outage.HANG
            begin_anew(site, list_decode_engines(site))
            await asyncio.sleep(3.0)
            site.host_list.conditions.outage = Outage.NONE
            await asyncio.sleep(5.0)
            for number in range(4):
                router = site.routers_by_host[f'entry-{number + 1}']
                seen.append(await self.crash_in_stream(site, router, number))

        run(scenario, layout=SiteLayout(decode_engines=4, versions=('v1',)))
        assert all(len(engines) > 1 for engines in seen)

    def test_stream_of_a_host_with_an_older_list_than_the_owner_is_mixed(self):
        seen = []

        async def scenario(site):
            # The pool's owner has read the new list, this host has not.
            site.cut_pairs.add(('entry-1', 'list'))
            changed = list_decode_engines(site)[1:]
            put = [dataclasses.replace(e, version='v2') for e in changed]
            version_by_id = {e.id: 'v1' for e in list_decode_engines(site)}
            version_by_id |= {e.id: 'v2' for e in put}
            begin_anew(site, changed)
            site.host_list.change(HostChange(put=put))
            await asyncio.sleep(5.0)
            router = site.routers_by_host['entry-1']
            for number in range(4):
                with contextlib.suppress(OutcomeError):
                    engines = await self.crash_in_stream(site, router, number)
                    seen.append({version_by_id[name] for name in engines})

        run(scenario, layout=SiteLayout(decode_engines=4, versions=('v1',)))
        assert all(len(versions) == 1 for versions in seen)

    async def crash_in_stream(self, site, router, number):
        """Ends the engine of a stream; returns the engines that wrote it."""
        request = language(number, 300)
        engines = []
        texts = []
        async for event in router.serve_language(request):
            served = router.blackboard.served_by_id[request.id]
            texts.extend(event.texts)
            if not engines or engines[-1] != served.decode:
                engines.append(served.decode)
                if len(engines) == 1:
                    site.engines_by_id[served.decode].kill(2.0)
        assert texts == whole(request)
        await asyncio.sleep(5.0)
        return engines
