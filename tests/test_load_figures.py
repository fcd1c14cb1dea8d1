"""Tests of the inputs of the load measurements."""

import asyncio
import os
import time

import async_solipsism

from bench.load_owner import OwnerBench
from bench.load_usage import Usage, cpu_seconds, mean, memory_mb, rate
from mustardscale.pools.pool_owner import SETTLE_S


class TestUsage:
    """Processor time and memory of processes."""

    def test_counts_the_processor_time_of_a_process(self):
        before, cpu_before = cpu_seconds(os.getpid()), time.process_time()
        sum(range(2_000_000))
        used = time.process_time() - cpu_before
        assert cpu_seconds(os.getpid()) - before >= 0.5 * used > 0

    def test_reads_the_memory_of_a_process(self):
        block = bytes(64 * 1024 * 1024)
        assert memory_mb(os.getpid()) > len(block) / 1024 / 1024

    def test_rate_is_per_second_with_the_last_memory(self):
        used = rate(Usage(1.0, 50.0, 10.0, 2.0), Usage(2.0, 60.0, 30.0, 6.0), 4)
        assert used == Usage(0.25, 60.0, 5.0, 1.0)
        assert mean([used, Usage(0.75, 40.0)]) == Usage(0.5, 50.0, 2.5, 0.5)


class TestOwnerBench:
    """The pool owner whose decisions are timed."""

    def test_a_request_is_granted_and_released(self):
        async def run():
            bench = OwnerBench(engines=4)
            await asyncio.sleep(2 * SETTLE_S)
            await bench.run_one(1)
            return bench.pool

        loop_factory = async_solipsism.EventLoop
        with asyncio.Runner(loop_factory=loop_factory) as runner:
            pool = runner.run(run())
        assert not pool.state.reservations_by_request_id
        assert not pool.waiting_by_request_id
