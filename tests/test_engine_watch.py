"""Tests of polls of engines in idle pools."""

import asyncio
import collections

import pytest

from mustardscale.endpoints.caller_requests import prompt_from_text
from mustardscale.endpoints.engines import PrefillCall, StreamTag
from mustardscale.pools.owned_pool import IDLE_AFTER_S
from tests.test_memory_site import answer, language, run, whole
from tests.test_promises_memory import FREE_AFTER_S, owner_of_pool, used

WINDOW_S = 20
# The report, the cache events and the streams are read once a second. The
# capacity page assumes this rate.
MAX_READS_PER_S = 3
LEAVING_KNOWN_AFTER_S = 3.0


def count_reads(site):
    """Returns a counter that is updated with each read of an engine."""
    reads = collections.Counter()

    def counted(engine_id, method):
        async def call(*args):
            reads[engine_id] += 1
            return await method(*args)

        return call

    for engine_id, engine in site.engines_by_id.items():
        for name in ('report', 'streams', 'cache_events'):
            method = getattr(engine, name)
            setattr(engine, name, counted(engine_id, method))
    return reads


def owner_router(site):
    return site.routers_by_host[owner_of_pool(site)]


class TestIdlePool:
    """A pool in which nothing has run for IDLE_AFTER_S."""

    def test_its_engines_are_read_rarely(self):
        async def scenario(site):
            await asyncio.sleep(IDLE_AFTER_S)
            reads = count_reads(site)
            await asyncio.sleep(WINDOW_S)
            assert set(reads) == set(site.engines_by_id)
            assert max(reads.values()) <= MAX_READS_PER_S * WINDOW_S

        run(scenario)

    def test_a_request_is_served_at_once(self):
        async def scenario(site):
            loop = asyncio.get_running_loop()
            request = language(1, 20)
            times = []
            for pause_s in (0, IDLE_AFTER_S + 5):
                await asyncio.sleep(pause_s)
                started = loop.time()
                host = site.routers_by_host['entry-1']
                assert await answer(host, request) == whole(request)
                times.append(loop.time() - started)
                request = language(2, 20)
            assert times[1] <= times[0] * 1.5

        run(scenario)

    @pytest.mark.parametrize('lag_s', [0.1, 2.0])
    def test_work_without_a_holder_is_cancelled(self, lag_s):
        async def scenario(site):
            for engine in site.engines_by_id.values():
                engine.set_report_lag(lag_s)
            await asyncio.sleep(IDLE_AFTER_S + 5)
            name, engine = next(iter(site.engines_by_id.items()))
            engine.faults.slow_factor = 20.0
            board = site.routers_by_host['entry-1'].blackboard
            call = PrefillCall(
                StreamTag('stray', 1, board.host, board.incarnation),
                'katode-lm',
                prompt_from_text('stray ' * 4000),
            )
            task = asyncio.create_task(engine.prefill(call))
            await asyncio.sleep(0.1)
            assert used(site) > 0
            await asyncio.sleep(FREE_AFTER_S)
            assert used(site) == 0, name
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        run(scenario)

    def test_an_engine_that_says_that_it_leaves_gets_no_work(self):
        async def scenario(site):
            await asyncio.sleep(IDLE_AFTER_S + 5)
            name, engine = next(iter(site.engines_by_id.items()))
            engine.faults.leaving = True
            await asyncio.sleep(LEAVING_KNOWN_AFTER_S)
            (pool,) = owner_router(site).pool_owner.owned_by_id.values()
            assert not pool.state.engines_by_id[name].usable

        run(scenario)
