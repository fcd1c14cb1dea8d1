"""Tests of what shows a version, and of what goes on meanwhile."""

import asyncio
import gc
import json
import types

import pytest

from mustardscale.blackboard import Blackboard
from mustardscale.endpoints.engines import EngineRole
from mustardscale.exceptions import (
    EndpointUnreachableError,
    LogUnavailableError,
)
from mustardscale.log.keyed_log import KeyedPage, KeyedRecord
from mustardscale.log.keyed_tail import WITHHELD_S
from mustardscale.log.stream_eras import position_of
from mustardscale.orders.order_state import PlacedEngine
from mustardscale.relay.answer_end import AnswerEnds, AnsweringProcess
from mustardscale.relay.process_witness import ProcessWitnesses
from mustardscale.reporting.metrics import Metrics
from mustardscale.shared_call import SharedCall
from mustardscale.versions.version_filter import find_listed_versions
from mustardscale.versions.version_log import (
    CONFIRM_TIMEOUT_S,
    MAX_CONFIRMATIONS_PER_S,
)
from mustardscale.versions.version_witness import VersionEvidence
from standins import crash_engines, memory_keyed_log
from standins.crash_engines import EVENTS
from standins.version_fleet import GOES_ON_SHARE, VersionFleet
from tests.test_keyed_tail import Scene as TailScene
from tests.test_passed_versions import SERVICE as SERVICE_OF_SCENE
from tests.test_passed_versions import Scene as VersionScene
from tests.test_passed_versions import entry_of
from tests.virtual_time import virtual_time


async def fleet_of(versions=('v1',), hosts=6, decode_engines=4):
    fleet = VersionFleet(hosts, decode_engines, versions=versions)
    await fleet.start()
    return fleet


async def find_running(fleet):
    """Returns a decode engine that runs a stream, as soon as one does."""
    while True:
        for engine in fleet.decode_engines():
            if engine.running:
                return engine
        await asyncio.sleep(0.01)


def describe(fleet):
    return [
        (
            sorted(r.versions),
            r.numbers,
            [(t.host, t.outcome.name) for t in r.takes],
        )
        for r in fleet.streams_played
    ]


class TestSoleVersion:
    """What shows that only one version has run."""

    @pytest.mark.parametrize('lag_s', [0.2, 1.0])
    @virtual_time
    async def test_unlisted_restart_under_its_id_is_missed_by_a_taking_up(
        self, lag_s
    ):
        fleet = await fleet_of()
        for engine in fleet.decode_engines()[:3]:
            fleet.restart_in_place(engine, 'v2', list_lag_s=lag_s)
        async with asyncio.TaskGroup() as group:
            for number in range(12):
                hosts = [f'h00{2 + number % 2}', f'h00{4 + number % 2}']
                group.create_task(fleet.play_stream(hosts, [1]))
                await asyncio.sleep(0.01)
        await fleet.stop()
        assert any('v2' in r.versions for r in fleet.streams_played)
        assert not fleet.mixed(), describe(fleet)

    @virtual_time
    async def test_unlisted_restart_is_missed_by_a_resumption_in_the_answer(
        self,
    ):
        fleet = await fleet_of()
        *restarted, unchanged = fleet.decode_engines()
        unchanged.refuse_host('h002')
        for engine in restarted:
            fleet.restart_in_place(engine, 'v2', list_lag_s=1.0)

        async def crash_new():
            await asyncio.sleep(0.3)
            unchanged.unreachable_hosts.clear()
            for engine in fleet.decode_engines():
                if engine.version == 'v2':
                    engine.crash()

        async with asyncio.TaskGroup() as group:
            group.create_task(crash_new())
            for _ in range(6):
                group.create_task(fleet.play_stream(['h002'], ()))
                await asyncio.sleep(0.01)
        await fleet.stop()
        assert any('v2' in r.versions for r in fleet.streams_played)
        assert not fleet.mixed(), describe(fleet)

    @virtual_time
    async def test_started_host_takes_a_platform_of_an_older_copy_as_whole(
        self,
    ):
        """Records lost with the store's last second are not waited for."""
        scene = VersionScene()
        for log in (scene.workers, scene.versions):
            raise_era(log)
        async with scene:
            with pytest.raises(LogUnavailableError):
                await scene.find_sole()
            await asyncio.sleep(WITHHELD_S)
            assert await scene.find_sole() == 'v1'

    @virtual_time
    async def test_record_that_an_older_copy_lost_is_not_written_again(self):
        async with VersionScene() as scene:
            writer = asyncio.create_task(scene.log.run())
            scene.workers.put_now('e2', entry_of('v2'))
            await asyncio.sleep(2.0)
            assert any(b'v2' in r.value for r in scene.versions.records)
            scene.workers.put_now('e2', b'')
            await asyncio.sleep(2.0)
            # The platform returns without the record of v2.
            raise_era(scene.versions, drop=1)
            scene.versions.wake()
            await asyncio.sleep(10.0)
            writer.cancel()
            values = {r.value for r in scene.versions.records}
            assert any(b'v2' in value for value in values), values


def raise_era(log, drop=0):
    """Makes a log tell that it came back from an older copy."""
    if drop:
        del log.records[-drop:]
    plain_newest, plain_read = log.newest, log.read

    def shift(page):
        return KeyedPage(
            tuple(
                KeyedRecord(r.key, r.value, position_of(1, r.offset))
                for r in page.records
            ),
            position_of(1, page.end_offset),
        )

    async def newest(stream):
        return shift(await plain_newest(stream))

    async def read(stream, after, wait_s):
        from mustardscale.log.keyed_log import RecordsGoneError
        from mustardscale.log.stream_eras import era_of, offset_of

        if after and era_of(after) < 1:
            raise RecordsGoneError(stream)
        return shift(await plain_read(stream, offset_of(after), wait_s))

    log.newest, log.read = newest, read


class TestConfirmation:
    """Readings that begin when they are asked for."""

    @virtual_time
    async def test_reading_fails_because_another_read_was_faster(self):
        async with TailScene() as scene:
            scene.log.put_now('a', b'1')
            await asyncio.sleep(0.01)
            plain_read = scene.log.read

            async def read(stream, after, wait_s):
                page = await plain_read(stream, after, wait_s)
                if not wait_s:
                    await asyncio.sleep(0.02)
                return page

            scene.log.read = read
            confirming = asyncio.create_task(scene.tail.confirm())
            await asyncio.sleep(0.01)
            scene.log.put_now('b', b'1')
            await confirming


class TestPeers:
    """What peers tell of a stream."""

    @virtual_time
    async def test_two_peers_that_answer_different_versions_are_believed(self):
        fleet = await fleet_of(('v1', 'v2'))
        now = asyncio.get_running_loop().time()
        for host, version in (('h002', 'v1'), ('h003', 'v2')):
            records = fleet.router_by_host[host].versions.records
            records.add('x1', version, 30.0, now)
        version, source, _ = await fleet.router_by_host[
            'h001'
        ].versions._look_up('lm', 'x1')
        await fleet.stop()
        assert (version, source) == ('', 'unknown')

    @virtual_time
    async def test_peer_that_knows_of_the_contest_is_not_heard(self):
        fleet = await fleet_of(('v1', 'v2'))
        now = asyncio.get_running_loop().time()
        for host, version in (('h002', 'v1'), ('h003', 'v1'), ('h003', 'v2')):
            records = fleet.router_by_host[host].versions.records
            records.add('x1', version, 30.0, now)
        version, _, _ = await fleet.router_by_host['h001'].versions._look_up(
            'lm', 'x1'
        )
        await fleet.stop()
        assert version == ''


class FakeClient:
    """A process that states start numbers in turn; None does not answer."""

    def __init__(self, *starts):
        self.starts = list(starts)

    async def read_start(self):
        start = self.starts.pop(0) if len(self.starts) > 1 else self.starts[0]
        if start is None:
            raise EndpointUnreachableError('lost')
        return start


def witnesses_of():
    board = Blackboard('me', 1, 'dc', 'r')
    board.endpoints_by_id['e'] = types.SimpleNamespace(
        listed=True,
        leaving=lambda _: False,
        notice=types.SimpleNamespace(start=7),
    )
    return ProcessWitnesses(board, AnswerEnds(board, Metrics()))


class TestWitnesses:
    """Questions to the process that began a stream."""

    @virtual_time
    async def test_process_without_a_start_number_is_believed_much_later(self):
        """Any process at the address replies, also one that came since."""
        witnesses = witnesses_of()
        process = AnsweringProcess('s', 'e', FakeClient(7), 0, 'v1', 0.0, 0.0)
        witness = witnesses.make(process)
        await asyncio.sleep(60.0)
        assert await witness.ask() is not VersionEvidence.SHOWN

    @virtual_time
    async def test_engine_that_does_not_reply_for_a_moment_refutes_for_good(
        self,
    ):
        witnesses = witnesses_of()
        client = FakeClient(None)
        process = AnsweringProcess('s', 'e', client, 7, 'v1', 0.0, 0.0)
        witness = witnesses.make(process)
        assert await witness.ask() is not VersionEvidence.SHOWN
        client.starts = [7]
        assert await witness.ask() is VersionEvidence.SHOWN


class TestGoesOn:
    """Streams in touch that went on before the fix."""

    @virtual_time
    async def test_crash_as_a_version_joins_ends_streams_of_the_other(self):
        """The stream began while one version ran, so nobody asked."""
        fleet = await fleet_of()

        async def crash(record):
            fleet.engine.crash()
            await asyncio.sleep(0.1)
            fleet.add_engine('lm-v2', 'v2')
            await asyncio.sleep(0.3)

        playing = asyncio.create_task(
            fleet.play_stream(['h002', 'h003'], [3], crash)
        )
        fleet.engine = await find_running(fleet)
        await playing
        await fleet.stop()
        (take,) = fleet.streams_played[0].takes
        assert take.went_on, describe(fleet)

    @pytest.mark.parametrize('lasts_s', [0.0, 2.0, 6.0])
    @pytest.mark.parametrize('fault', ['none', 'cut', 'kept back'])
    @virtual_time
    async def test_crash_while_the_store_is_away_ends_streams_of_one_version(
        self, fault, lasts_s
    ):
        """All hosts lose the platform, not one another; one version runs."""
        fleet = await fleet_of()
        for log in fleet.keyed_log_by_host.values():
            if fault == 'cut':
                log.link.is_cut = True
            elif fault == 'kept back':
                log.link.keep_back()
        await asyncio.sleep(lasts_s)
        playing = asyncio.create_task(fleet.play_stream(['h002'], ()))
        engine = await find_running(fleet)
        await asyncio.sleep(0.25)
        assert fleet.streams_played[0].numbers
        engine.crash()
        await playing
        await fleet.stop()
        assert len(fleet.streams_played[0].numbers) == EVENTS

    @virtual_time
    async def test_crash_as_a_version_joins_breaks_the_answer_off(self):
        fleet = await fleet_of()
        playing = asyncio.create_task(fleet.play_stream(['h002'], ()))
        engine = await find_running(fleet)
        await asyncio.sleep(0.2)
        assert fleet.streams_played[0].numbers
        fleet.add_engine('lm-v2', 'v2')
        await asyncio.sleep(0.02)
        engine.crash()
        await playing
        await fleet.stop()
        assert len(fleet.streams_played[0].numbers) == EVENTS, describe(fleet)

    @virtual_time
    async def test_engine_silent_for_a_moment_ends_what_it_began(
        self, monkeypatch
    ):
        """The engine runs on, and answers questions again 2 s later."""
        fleet = await fleet_of(('v1', 'v2'), decode_engines=6)
        loop = asyncio.get_running_loop()
        silent_until = loop.time() + 2.0
        plain_read = crash_engines._EngineClient.read_start

        async def read_start(client):
            if loop.time() < silent_until:
                raise EndpointUnreachableError('reset')
            return await plain_read(client)

        monkeypatch.setattr(
            crash_engines._EngineClient, 'read_start', read_start
        )

        async def wait(record):
            await asyncio.sleep(3.0)

        async with asyncio.TaskGroup() as group:
            for _ in range(8):
                played = fleet.play_stream(['h002', 'h003'], [2], wait)
                group.create_task(played)
        await fleet.stop()
        assert fleet.goes_on_share() >= GOES_ON_SHARE, describe(fleet)

    @pytest.mark.parametrize('answer_s', [0.1, 0.5])
    @virtual_time
    async def test_crash_while_the_store_is_slow_ends_streams_of_one_version(
        self, answer_s, monkeypatch
    ):
        """All hosts read all in time, but no reading takes less than 0.3 s."""
        fleet = await fleet_of()
        monkeypatch.setattr(memory_keyed_log, 'CALL_S', answer_s / 2)
        await asyncio.sleep(6.0)
        playing = asyncio.create_task(fleet.play_stream(['h002'], ()))
        engine = await find_running(fleet)
        await asyncio.sleep(0.25)
        engine.crash()
        await playing
        await fleet.stop()
        assert len(fleet.streams_played[0].numbers) == EVENTS


class TestPlacedEngines:
    """Engines that orders have given another service than their entry."""

    @virtual_time
    async def test_version_of_a_placed_engine_is_not_counted(self):
        async with VersionScene() as scene:
            board = scene.log._blackboard
            entry = json.loads(entry_of('v2')) | {'service': 'other'}
            scene.workers.put_now('e2', json.dumps(entry).encode())
            board.orders.placed_by_engine['e2'] = PlacedEngine(
                'e2', SERVICE_OF_SCENE, EngineRole.DECODE
            )
            await asyncio.sleep(0.1)
            board.place(board.endpoints_by_id['e2'])
            listed = find_listed_versions(board, SERVICE_OF_SCENE)
            assert listed == {'v1', 'v2'}
            assert await scene.find_sole() == ''


class TestReadingsThatHang:
    """What callers wait for while the platform answers nothing."""

    @pytest.mark.parametrize('hosts', [6, 195])
    @virtual_time
    async def test_reading_that_hangs_is_waited_for_twice(self, hosts):
        fleet = await fleet_of(hosts=hosts)
        fleet.set_aside('h001')
        version_log = fleet.router_by_host['h001'].versions.version_log
        loop = asyncio.get_running_loop()
        waits = []

        async def confirm():
            asked_at = loop.time()
            with pytest.raises(LogUnavailableError):
                await version_log.confirm()
            waits.append(loop.time() - asked_at)

        async with asyncio.TaskGroup() as group:
            for _ in range(5):
                group.create_task(confirm())
                await asyncio.sleep(0.01)
        await fleet.stop()
        pause_s = hosts / MAX_CONFIRMATIONS_PER_S
        assert max(waits) <= CONFIRM_TIMEOUT_S + pause_s + 0.01

    @virtual_time
    async def test_failed_call_that_nobody_awaits_is_reported_unseen(self):
        loop = asyncio.get_running_loop()
        unseen = []
        loop.set_exception_handler(lambda _, context: unseen.append(context))

        async def fail():
            await asyncio.sleep(0.1)
            raise ConnectionError('lost')

        shared = SharedCall(fail, lambda: 0.0)
        leaving = asyncio.create_task(shared.run())
        await asyncio.sleep(0.05)
        leaving.cancel()
        await asyncio.sleep(0.2)
        shared._running = shared._next = None
        gc.collect()
        await asyncio.sleep(0)
        assert not unseen
