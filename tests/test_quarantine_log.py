"""Tests of the records of what crashes endpoints."""

import asyncio
import random

from mustardscale.blackboard import Blackboard
from mustardscale.log.keyed_tail import KeyedTail
from mustardscale.quarantine.crash_evidence import ProcessId
from mustardscale.quarantine.quarantine_log import QuarantineLog
from mustardscale.quarantine.suspicion_keys import make_keys
from mustardscale.quarantine.suspicions import Suspicions
from standins.memory_keyed_log import KeyedStreams, MemoryKeyedLog
from tests.virtual_time import virtual_time

STREAM = 'quarantine'
BAD = make_keys('m', 'r', 1, ['bad'])
# Time in which a host has read and written what it should, seconds.
SETTLED_S = 3.0


class LogBench:
    """One host with its records; leaving it ends the host."""

    def __init__(self, streams, name='h1'):
        rng = random.Random(1)
        board = Blackboard(name, 1, 'dc', 'region')
        client = MemoryKeyedLog(streams)
        self.suspicions = Suspicions(board)
        tail = KeyedTail(board, client, STREAM, rng)
        clock = asyncio.get_running_loop().time
        log = QuarantineLog(board, client, tail, self.suspicions, clock)
        self._controllers = (tail, log)
        self._tasks = []

    async def __aenter__(self):
        """Starts the host."""
        self._tasks = [
            asyncio.create_task(controller.run())
            for controller in self._controllers
        ]
        await asyncio.sleep(SETTLED_S)
        return self

    async def __aexit__(self, *_):
        """Ends the host."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def crash_twice(self):
        for number in range(2):
            await asyncio.sleep(0.1)
            sent_at = asyncio.get_running_loop().time()
            await asyncio.sleep(0.1)
            keys = make_keys('m', 'r', 10 + number, ['bad'])
            process = ProcessId(f'd{number}', number + 1)
            self.suspicions.record_crash(process, [(keys, sent_at)])
        await asyncio.sleep(SETTLED_S)


class TestRecords:
    """What is written, read and dropped."""

    @virtual_time
    async def test_next_process_knows_what_is_harmful(self):
        streams = KeyedStreams()
        async with LogBench(streams) as host:
            await host.crash_twice()
        async with LogBench(streams) as host:
            assert host.suspicions.is_quarantined(BAD)
            await asyncio.sleep(60.0)
        assert streams.writes == 1

    @virtual_time
    async def test_record_is_dropped_once_cleared(self):
        streams = KeyedStreams()
        async with LogBench(streams) as host:
            await host.crash_twice()
            host.suspicions.record_survival(BAD)
            await asyncio.sleep(SETTLED_S)
        assert [bool(r.value) for r in streams.records_by_stream[STREAM]] == [
            True,
            False,
        ]
        async with LogBench(streams) as host:
            assert not host.suspicions.is_quarantined(BAD)

    @virtual_time
    async def test_record_is_written_when_the_log_is_back(self):
        streams = KeyedStreams()
        async with LogBench(streams) as host:
            streams.available = False
            await host.crash_twice()
            assert streams.writes == 0
            assert host.suspicions.is_quarantined(BAD)
            streams.available = True
            await asyncio.sleep(SETTLED_S)
        assert streams.writes == 1

    @virtual_time
    async def test_unreadable_records_are_passed_over(self, caplog):
        streams = KeyedStreams()
        for number, value in enumerate((b'{', b'\xff', b'[]', b'{"keys": 3}')):
            streams.append(STREAM, f'other{number}', value)
        async with LogBench(streams) as host:
            await host.crash_twice()
        codes = [getattr(record, 'code', 0) for record in caplog.records]
        assert codes.count(5101) == 4
        async with LogBench(streams) as host:
            assert host.suspicions.is_quarantined(BAD)
