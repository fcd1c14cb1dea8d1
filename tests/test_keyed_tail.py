"""Tests of following a keyed stream, and of routes that come by one."""

import asyncio
import dataclasses
import random

import pytest

from mustardscale.blackboard import Blackboard
from mustardscale.configuration.config_sync import ConfigPeerController
from mustardscale.configuration.route_source import ROUTES_KEY, merge_table
from mustardscale.configuration.routes import (
    RequestKind,
    Route,
    RouteTable,
    RouteTarget,
)
from mustardscale.exceptions import LogUnavailableError
from mustardscale.log.keyed_log import (
    KeyedLogClient,
    KeyedPage,
    KeyedRecord,
    RecordsGoneError,
)
from mustardscale.log.keyed_tail import OLD_ANSWER_PAUSE_S, KeyedTail
from mustardscale.reporting.event_log import EventKind
from tests.relay_fakes import RecordingEventLog
from tests.virtual_time import virtual_time

SLOW_ANSWER_S = 3.0


class FakeLog(KeyedLogClient):
    """A stream in memory that can be down, stale or without history."""

    def __init__(self):
        self.records = []
        self.kept_from = 0
        self.down = False
        self.stale = 0
        self.newest_reads = 0
        self.page_records = 1_000
        self._changed = asyncio.Event()

    def put_now(self, key, value):
        self.records.append(KeyedRecord(key, value, len(self.records) + 1))
        self.wake()

    def wake(self):
        """Lets the reads that wait look again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def put(self, stream, key, value, after=None):
        self.put_now(key, value)
        return len(self.records)

    async def newest(self, stream):
        self.newest_reads += 1
        self._check()
        shown = self.records
        if self.stale:
            self.stale -= 1
            shown = shown[:1]
        by_key = {record.key: record for record in shown}
        live = tuple(record for record in by_key.values() if record.value)
        return KeyedPage(live, len(shown))

    async def read(self, stream, after, wait_s):
        self._check()
        if after < self.kept_from:
            raise RecordsGoneError(stream)
        if len(self.records) <= after:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
            self._check()
            if after < self.kept_from:
                raise RecordsGoneError(stream)
        records = self.records[after:][: self.page_records]
        return KeyedPage(tuple(records), len(self.records))

    def _check(self):
        if self.down:
            raise LogUnavailableError('down')


class Scene:
    """A tail of a stream."""

    def __init__(self):
        self.log = FakeLog()
        self.board = Blackboard('me', 1, 'dc', 'r')
        self.board.events = self.events = RecordingEventLog()
        self.tail = KeyedTail(self.board, self.log, 's', random.Random(1))

    async def __aenter__(self):
        """Starts to follow."""
        self._task = asyncio.create_task(self.tail.run())
        await asyncio.sleep(0.01)
        return self

    async def __aexit__(self, *_):
        """Stops."""
        self._task.cancel()


class TestConfirmation:
    """Readings that begin when they are asked for."""

    @virtual_time
    async def test_record_of_a_read_that_is_kept_back_is_not_seen(self):
        async with Scene() as scene:
            scene.log.put_now('a', b'1')
            await asyncio.sleep(0.01)
            # As if the answer to the waiting read were on its way.
            scene.log.records.append(KeyedRecord('b', b'2', 2))
            assert scene.tail.current and 'b' not in scene.tail.value_by_key
            await scene.tail.confirm()
            assert scene.tail.value_by_key == {'a': b'1', 'b': b'2'}

    @virtual_time
    async def test_old_answer_counts_as_a_confirmation(self):
        async with Scene() as scene:
            scene.log.put_now('a', b'1')
            scene.log.put_now('b', b'1')
            await asyncio.sleep(0.01)
            scene.log.records.pop()
            with pytest.raises(LogUnavailableError):
                await scene.tail.confirm()

    @virtual_time
    async def test_part_of_the_records_counts_as_all(self):
        async with Scene() as scene:
            scene.log.put_now('a', b'1')
            await asyncio.sleep(0.01)
            for number in range(10):
                scene.log.records.append(
                    KeyedRecord(f'k{number}', b'1', number + 2)
                )
            scene.log.page_records = 3
            await scene.tail.confirm()
            assert len(scene.tail.value_by_key) == 11

    @pytest.mark.parametrize('fault', ['down', 'gone', 'unread'])
    @virtual_time
    async def test_stream_that_is_not_read_is_confirmed(self, fault):
        async with Scene() as scene:
            scene.log.put_now('a', b'1')
            await asyncio.sleep(0.01)
            proved_at = scene.tail.proved_at
            scene.log.down = fault == 'down'
            scene.log.kept_from = 5 if fault == 'gone' else 0
            tail = scene.tail
            if fault == 'unread':
                rng = random.Random(1)
                tail = KeyedTail(scene.board, scene.log, 's', rng)
            with pytest.raises(LogUnavailableError):
                await tail.confirm()
            assert scene.tail.proved_at == proved_at


class SlowLog(FakeLog):
    """A stream whose answers take long to come."""

    async def newest(self, stream):
        answered_at = asyncio.get_running_loop().time()
        await asyncio.sleep(SLOW_ANSWER_S)
        page = await super().newest(stream)
        return dataclasses.replace(page, answered_at=answered_at)


class TestSlowAnswers:
    """Answers during which the stream goes on."""

    @virtual_time
    async def test_slow_answer_looks_newer_than_it_is(self):
        board = Blackboard('me', 1, 'dc', 'r')
        tail = KeyedTail(board, SlowLog(), 's', random.Random(1))
        task = asyncio.create_task(tail.run())
        await asyncio.sleep(SLOW_ANSWER_S + 0.1)
        task.cancel()
        assert tail.is_whole
        now = asyncio.get_running_loop().time()
        assert now - tail.proved_at >= SLOW_ANSWER_S


class OldAnswersLog(FakeLog):
    """A stream whose answers may be older than ones before."""

    def __init__(self):
        super().__init__()
        self.is_old = False
        self.old_answers = 0

    async def read(self, stream, after, wait_s):
        if self.is_old:
            self.old_answers += 1
            return KeyedPage((), after - 1)
        return await super().read(stream, after, wait_s)


class TestOldAnswers:
    """Answers that the store gives from a copy that is behind."""

    @virtual_time
    async def test_old_answer_confirms_the_stream(self):
        log = OldAnswersLog()
        log.put_now('a', b'1')
        board = Blackboard('me', 1, 'dc', 'r')
        tail = KeyedTail(board, log, 's', random.Random(1))
        task = asyncio.create_task(tail.run())
        await asyncio.sleep(0.1)
        log.is_old = True
        tail.read_anew()
        await asyncio.sleep(60.0)
        task.cancel()
        assert tail.value_by_key == {'a': b'1'}
        assert log.old_answers <= 2 * 60.0 / OLD_ANSWER_PAUSE_S
        now = asyncio.get_running_loop().time()
        assert now - tail.proved_at >= 60.0


class TestKeyedTail:
    """The newest values, merged by offset."""

    @virtual_time
    async def test_values_come_and_go(self):
        async with Scene() as scene:
            scene.log.put_now('a', b'1')
            scene.log.put_now('b', b'1')
            await asyncio.sleep(0.01)
            scene.log.put_now('a', b'')
            await asyncio.sleep(0.01)
            assert scene.tail.value_by_key == {'b': b'1'}
            assert scene.tail.end_offset == 3

    @virtual_time
    async def test_lost_history_is_read_anew(self):
        async with Scene() as scene:
            scene.log.put_now('a', b'1')
            await asyncio.sleep(0.01)
            scene.log.records += [
                KeyedRecord('a', b'', 2),
                KeyedRecord('c', b'2', 3),
            ]
            scene.log.kept_from = 3
            scene.log.wake()
            await asyncio.sleep(0.5)
            assert scene.tail.value_by_key == {'c': b'2'}

    @virtual_time
    async def test_a_stale_reading_takes_nothing_back(self):
        async with Scene() as scene:
            for key in 'abc':
                scene.log.put_now(key, b'1')
            await asyncio.sleep(0.01)
            scene.log.stale = 2
            scene.log.kept_from = 9
            scene.log.wake()
            await asyncio.sleep(0.05)
            assert set(scene.tail.value_by_key) == set('abc')
            scene.log.kept_from = 0
            await asyncio.sleep(1.0)
            assert set(scene.tail.value_by_key) == set('abc')

    @virtual_time
    async def test_an_outage_is_told_once_and_so_is_its_end(self):
        async with Scene() as scene:
            scene.log.put_now('a', b'1')
            await asyncio.sleep(0.01)
            scene.log.down = True
            scene.log.wake()
            await asyncio.sleep(3.0)
            assert not scene.tail.current
            assert scene.tail.value_by_key == {'a': b'1'}
            scene.log.down = False
            await asyncio.sleep(0.5)
            assert scene.tail.current
            now = asyncio.get_running_loop().time()
            assert now - scene.tail.regained_at < 0.6
        kinds = [recorded[0] for recorded in scene.events.recorded]
        assert kinds == [
            EventKind.DEPENDENCY_LOST,
            EventKind.DEPENDENCY_REGAINED,
        ]


def table(version):
    route = Route(
        'r',
        'h',
        '/a/',
        RequestKind.ONCE,
        (RouteTarget('s'),),
        float(version),
        0.3,
    )
    return RouteTable(version, (route,))


class PeerPair:
    """Calls between two hosts that copy each other's configuration."""

    def __init__(self):
        self.handler = None

    def handle(self, request_type, handler):
        self.handler = handler

    async def call(self, host, request, reply_type, timeout_s):
        return await self.other.handler('me', request)


class TestRouteTables:
    """Tables of routes as part of the configuration."""

    @virtual_time
    async def test_versions_never_go_back(self):
        board = Blackboard('me', 1, 'dc', 'r')
        assert merge_table(board, table(7))
        assert not merge_table(board, table(4))
        assert not merge_table(board, table(7))
        assert merge_table(board, table(12))
        assert board.config.routes.table.version == 12
        assert board.config.settled

    @virtual_time
    async def test_a_host_without_the_source_copies_a_peer(self):
        ahead, behind = (Blackboard(n, 1, 'dc', 'r') for n in 'ab')
        calls, theirs = PeerPair(), PeerPair()
        calls.other = theirs
        rng = random.Random(1)
        ConfigPeerController(ahead, theirs, rng)
        copying = ConfigPeerController(behind, calls, rng)
        for version in (3, 9):
            merge_table(ahead, table(version))
            await copying._fetch('a')
            assert behind.config.routes.table == ahead.config.routes.table
            assert behind.config.version(ROUTES_KEY) == version
