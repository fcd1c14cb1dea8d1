"""Tests of streams at a host that has missed what the others know."""

import asyncio

import pytest

from mustardscale.outcomes import Outcome, OutcomeClass, outcome_class
from mustardscale.versions.version_log import VersionRecord, name_of
from standins.crash_fleet import SERVICE
from standins.host_fleet import VERSIONS_STREAM
from standins.version_fleet import GOES_ON_SHARE, VersionFleet
from tests.virtual_time import virtual_time

AWAY = 'h001'
STREAMS = 24
# Time between the starts of two streams, seconds.
GAP_S = 0.05
# The same before a host's reports tell that an engine has started again.
BURST_GAP_S = 0.002
# Time from the moment at which a host is set aside until a version comes, and
# until streams of it begin, seconds.
JOIN_AFTER_S = 0.3
BEGIN_AFTER_S = 0.3
# Time within which the platform knows a version that has begun a stream,
# seconds.
RECORDED_WITHIN_S = 0.05
# Confirmations that a host makes at most where many ask at once.
MOST_SHARED_CALLS = 3
# Time after which a host that is away works alone, seconds.
ALONE_AFTER_S = 4.0
# Time after its return in which a host has told the others of its streams,
# seconds.
TOLD_AFTER_S = 1.5
# Time within which a host that knows nothing must refuse, seconds.
REFUSED_WITHIN_S = 1.0


async def fleet_of(hosts, versions=('v1',), decode_engines=3):
    fleet = VersionFleet(hosts, decode_engines, versions=versions)
    await fleet.start()
    return fleet


async def join(fleet, version='v2', count=4):
    """Starts engines of another version; returns them."""
    await asyncio.sleep(JOIN_AFTER_S)
    engines = [
        fleet.add_engine(f'lm-{version}-{number}', version)
        for number in range(count)
    ]
    await asyncio.sleep(BEGIN_AFTER_S)
    return engines


async def play_at(
    fleet, hosts_of, reads=(2, 7), between=None, count=STREAMS, gap_s=GAP_S
):
    """Plays streams that are taken up at another host each."""
    async with asyncio.TaskGroup() as group:
        for number in range(count):
            stream = fleet.play_stream(hosts_of(number), reads, between)
            group.create_task(stream)
            await asyncio.sleep(gap_s)


def other_hosts(fleet):
    return [host for host in sorted(fleet.router_by_host) if host != AWAY]


def takes_of(fleet, version):
    return [
        take
        for record in fleet.streams_played
        if version in record.versions
        for take in record.takes
    ]


def check_order(fleet):
    assert not fleet.mixed()
    assert all(record.is_in_order for record in fleet.streams_played)


class TestVersionThatJoins:
    """A version joins while a host is cut off from platform and peers."""

    @pytest.mark.parametrize('hosts', [6, 195])
    @virtual_time
    async def test_stream_of_the_new_version_taken_up_there_is_mixed(
        self, hosts
    ):
        fleet = await fleet_of(hosts)
        others = other_hosts(fleet)
        fleet.set_aside(AWAY)
        await join(fleet)
        await play_at(fleet, lambda n: [others[n % len(others)], AWAY])
        takes = takes_of(fleet, 'v2')
        await fleet.stop()
        assert len(takes) >= STREAMS // 4
        check_order(fleet)

    @virtual_time
    async def test_host_that_is_away_keeps_callers_waiting(self):
        fleet = await fleet_of(6)
        fleet.set_aside(AWAY)
        await join(fleet)
        spans = []
        loop = asyncio.get_running_loop()

        async def note(record):
            spans.append(loop.time())

        await play_at(fleet, lambda _: ['h002', AWAY], between=note, count=1)
        ended_at = loop.time()
        (take,) = fleet.streams_played[0].takes
        await fleet.stop()
        if not take.went_on:
            assert outcome_class(take.outcome) is OutcomeClass.NOT_RUN
            assert ended_at - spans[0] < REFUSED_WITHIN_S

    @virtual_time
    async def test_host_that_returns_in_the_taking_up_mixes_versions(self):
        fleet = await fleet_of(6)
        fleet.set_aside(AWAY)
        await join(fleet)

        async def bring_back(record):
            fleet.bring_back(AWAY)

        for _ in range(8):
            await fleet.play_stream(['h002', AWAY], [2], bring_back)
            fleet.set_aside(AWAY)
            await asyncio.sleep(0.5)
        fleet.bring_back(AWAY)
        await fleet.stop()
        check_order(fleet)

    @virtual_time
    async def test_two_hosts_cut_off_together_confirm_each_other(self):
        fleet = await fleet_of(6)
        fleet.set_aside(AWAY)
        fleet.set_aside('h002')
        fleet.peers.restore(AWAY, 'h002')
        await join(fleet)
        await play_at(
            fleet, lambda n: [f'h00{3 + n % 4}', (AWAY, 'h002')[n % 2]]
        )
        await fleet.stop()
        check_order(fleet)

    @virtual_time
    async def test_first_host_dies_before_it_has_told_anybody(self):
        fleet = await fleet_of(6)
        fleet.set_aside(AWAY)
        await join(fleet)

        async def kill_first(record):
            if 'h002' in fleet.router_by_host:
                await fleet.kill_host('h002')

        await fleet.play_stream(['h002', AWAY, 'h003'], [1, 2], kill_first)
        await fleet.stop()
        check_order(fleet)

    @virtual_time
    async def test_streams_in_touch_do_not_go_on(self):
        fleet = await fleet_of(6)
        fleet.set_aside(AWAY)
        await join(fleet)
        others = other_hosts(fleet)
        await play_at(fleet, lambda n: [others[n % 5], others[(n + 1) % 5]])
        await fleet.stop()
        check_order(fleet)
        assert fleet.goes_on_share() >= GOES_ON_SHARE

    @virtual_time
    async def test_streams_of_the_only_version_do_not_go_on(self):
        fleet = await fleet_of(6)
        others = other_hosts(fleet)
        await play_at(fleet, lambda n: [others[n % 5], others[(n + 1) % 5]])
        await fleet.stop()
        check_order(fleet)
        assert fleet.goes_on_share() >= GOES_ON_SHARE


class TestVersionThatComesAndGoes:
    """A version runs for less than a second."""

    @virtual_time
    async def test_stream_goes_on_at_the_version_that_is_left(self):
        fleet = await fleet_of(6)
        fleet.set_aside(AWAY)
        engines = await join(fleet, count=6)
        for engine in fleet.decode_engines():
            if engine.version == 'v1':
                fleet.remove_engine(engine)
        await asyncio.sleep(BEGIN_AFTER_S)

        async def replace(record):
            await asyncio.sleep(0.02)
            await fleet.kill_host('h002')
            for engine in engines:
                fleet.remove_engine(engine)
            fleet.add_engine('lm-d9', 'v1')
            fleet.bring_back(AWAY)

        record = await fleet.play_stream(['h002', AWAY], [1], replace)
        await fleet.stop()
        assert record.takes and 'v2' in record.versions
        check_order(fleet)

    @pytest.mark.parametrize('offset_s', [0.0, 0.2, 0.4, 0.6, 0.8])
    @virtual_time
    async def test_first_stream_of_a_version_leaves_no_record_for_a_second(
        self, offset_s
    ):
        fleet = await fleet_of(6)
        await asyncio.sleep(2.0 + offset_s)
        fleet.add_engine('lm-v2-0', 'v2')
        for engine in fleet.decode_engines():
            if engine.version == 'v1':
                fleet.remove_engine(engine)
        name = name_of(VersionRecord(SERVICE, 'v2'))
        found = []

        async def look(record):
            await asyncio.sleep(RECORDED_WITHIN_S)
            records = fleet.streams.records_by_stream[VERSIONS_STREAM]
            found.append(name in {record.key for record in records})

        await fleet.play_stream(['h002', 'h003'], [1], look)
        await fleet.stop()
        assert found == [True]


class TestRestartUnderTheSameId:
    """An engine starts again under its id with another version."""

    @pytest.mark.parametrize('hosts', [6, 195])
    @virtual_time
    async def test_stream_begun_at_a_host_that_missed_it_is_mixed(self, hosts):
        fleet = await fleet_of(hosts)
        others = other_hosts(fleet)
        fleet.set_aside(AWAY)
        await asyncio.sleep(ALONE_AFTER_S)
        for engine in fleet.decode_engines():
            fleet.restart_in_place(engine, 'v2')
        for number in range(3):
            fleet.add_engine(f'lm-d9{number}', 'v1')

        returned = asyncio.Event()

        async def await_return(record):
            await returned.wait()
            await asyncio.sleep(TOLD_AFTER_S)

        async with asyncio.TaskGroup() as group:
            hosts_of = lambda n: [AWAY, others[n % len(others)]]  # noqa: E731
            played = play_at(
                fleet, hosts_of, between=await_return, gap_s=BURST_GAP_S
            )
            group.create_task(played)
            await asyncio.sleep(STREAMS * GAP_S)
            fleet.bring_back(AWAY)
            returned.set()
        await fleet.stop()
        assert takes_of(fleet, 'v2')
        check_order(fleet)

    @virtual_time
    async def test_stream_begun_before_the_list_tells_of_it_is_mixed(self):
        fleet = await fleet_of(6, ('v1', 'v2'), 4)
        others = other_hosts(fleet)
        for engine in fleet.decode_engines()[:2]:
            other = 'v2' if engine.version == 'v1' else 'v1'
            fleet.restart_in_place(engine, other, list_lag_s=0.2)
        await play_at(fleet, lambda n: [AWAY, others[n % 5]], count=12)
        await fleet.stop()
        check_order(fleet)

    @virtual_time
    async def test_host_resumes_such_a_stream_at_the_version_of_the_list(self):
        fleet = await fleet_of(6)
        fleet.set_aside(AWAY)
        await asyncio.sleep(ALONE_AFTER_S)
        *restarted, unchanged = fleet.decode_engines()
        unchanged.refuse_host(AWAY)
        for engine in restarted:
            fleet.restart_in_place(engine, 'v2')

        async def crash_new():
            await asyncio.sleep(0.3)
            unchanged.unreachable_hosts.clear()
            for engine in fleet.decode_engines():
                if engine.version == 'v2':
                    engine.crash()

        async with asyncio.TaskGroup() as group:
            group.create_task(crash_new())
            played = play_at(fleet, lambda _: [AWAY], (), gap_s=BURST_GAP_S)
            group.create_task(played)
        await fleet.stop()
        check_order(fleet)

    @virtual_time
    async def test_streams_begun_in_touch_do_not_go_on(self):
        fleet = await fleet_of(6, ('v1', 'v2'), 6)
        others = other_hosts(fleet)
        engine = fleet.decode_engines()[0]
        fleet.restart_in_place(engine, 'v2')
        await asyncio.sleep(1.0)
        await play_at(fleet, lambda n: [others[n % 5], others[(n + 1) % 5]])
        await fleet.stop()
        check_order(fleet)
        assert fleet.goes_on_share() >= GOES_ON_SHARE


class TestCalls:
    """What takings up cost the platform."""

    @pytest.mark.parametrize('hosts', [6, 195])
    @virtual_time
    async def test_reads_grow_with_the_streams_taken_up_at_once(self, hosts):
        fleet = await fleet_of(hosts, decode_engines=8)
        others = other_hosts(fleet)
        start = asyncio.Event()

        async def wait(record):
            await start.wait()

        streams = 60
        async with asyncio.TaskGroup() as group:
            for number in range(streams):
                first = others[number % len(others)]
                played = fleet.play_stream([first, AWAY], [1], wait)
                group.create_task(played)
            await asyncio.sleep(2.0)
            version_log = fleet.router_by_host[AWAY].versions.version_log
            before = version_log.confirmation.count
            start.set()
        made = version_log.confirmation.count - before
        await fleet.stop()
        assert fleet.goes_on_share() >= GOES_ON_SHARE
        assert 1 <= made <= MOST_SHARED_CALLS


class TestRefusals:
    """What callers are told who take a stream up at such a host."""

    @virtual_time
    async def test_refusal_is_true_and_names_the_reason(self):
        fleet = await fleet_of(6)
        fleet.set_aside(AWAY)
        await join(fleet)
        await play_at(fleet, lambda _: ['h002', AWAY], count=6)
        refused = [
            take
            for record in fleet.streams_played
            for take in record.takes
            if not take.went_on
        ]
        await fleet.stop()
        assert all(t.outcome is Outcome.VERSION_UNKNOWN for t in refused)
