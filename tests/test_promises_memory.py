"""Promise 1: no engine memory held for work that nobody wants."""

import asyncio
import contextlib

import pytest

from mustardscale.endpoints.engines import StreamStage
from mustardscale.exceptions import OutcomeError
from mustardscale.hosts.rendezvous import owner
from mustardscale.pools.pool_members import divide_pools
from standins.fault_actions import FaultActions
from tests.test_memory_site import answer, language, run

FREE_AFTER_S = 5.0
FREE_AFTER_HOST_LOSS_S = 10.0


def used(site):
    """Returns the memory pieces in use on all engines."""
    return sum(
        engine.memory.total - engine.memory.free
        for engine in site.engines_by_id.values()
    )


def stages(site):
    """Returns the stages of what the engines hold."""
    return {
        info.stage
        for engine in site.engines_by_id.values()
        for info in engine.held_streams()
    }


def owner_of_pool(site):
    """Returns the host that owns the only pool."""
    board = site.routers_by_host['entry-1'].blackboard
    pools = divide_pools(board.endpoints_by_id.values(), board.region)
    return owner(next(iter(pools)), list(site.routers_by_host))


async def start_until(site, host, stage):
    """Starts a request and waits until engines hold it in a stage."""
    for engine in site.engines_by_id.values():
        engine.faults.slow_factor = 20.0
        engine.set_link_rate(2e7)
    router = site.routers_by_host[host]
    task = asyncio.create_task(answer(router, language(1, 4000)))
    async with asyncio.timeout(30):
        # What engines hold has no event that marks its change.
        while stage not in stages(site):  # noqa: ASYNC110
            await asyncio.sleep(0.005)
    assert used(site) > 0
    return task


async def leave(task):
    """Ends a caller's connection."""
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError, OutcomeError):
        await task


class TestCallerLeft:
    """The caller cancels."""

    @pytest.mark.parametrize('lose_answers', [False, True])
    @pytest.mark.parametrize(
        'stage', [StreamStage.PREFILL, StreamStage.TRANSFER, StreamStage.DECODE]
    )
    def test_memory_is_freed(self, stage, lose_answers):
        async def scenario(site):
            task = await start_until(site, 'entry-1', stage)
            for engine in site.engines_by_id.values():
                engine.faults.lose_cancel_answers = lose_answers
            await leave(task)
            await asyncio.sleep(FREE_AFTER_S)
            assert used(site) == 0

        run(scenario)

    def test_host_cut_from_the_engines(self):
        async def scenario(site):
            task = await start_until(site, 'entry-1', StreamStage.DECODE)
            site.cut_pairs |= {('entry-1', name) for name in site.engines_by_id}
            await leave(task)
            await asyncio.sleep(FREE_AFTER_S)
            assert used(site) == 0

        run(scenario)


class TestHostLost:
    """The entry host dies or is paused."""

    @pytest.mark.parametrize('with_owner', [False, True])
    def test_host_killed(self, with_owner):
        async def scenario(site):
            pool_owner = owner_of_pool(site)
            host = 'entry-1' if pool_owner != 'entry-1' else 'entry-2'
            task = await start_until(site, host, StreamStage.DECODE)
            await site.kill_host(host)
            if with_owner:
                await site.kill_host(pool_owner)
            await leave(task)
            await asyncio.sleep(FREE_AFTER_HOST_LOSS_S)
            assert used(site) == 0

        run(scenario)

    def test_host_paused_and_resumed(self):
        async def scenario(site):
            task = await start_until(site, 'entry-1', StreamStage.DECODE)
            end = FaultActions(site).freeze('entry-1')
            await asyncio.sleep(FREE_AFTER_HOST_LOSS_S)
            assert used(site) == 0
            await end()
            await leave(task)
            await asyncio.sleep(FREE_AFTER_S)
            assert used(site) == 0

        run(scenario)
