"""Tests that a dead host's reservations last until engines free memory."""

import asyncio
import contextlib

from mustardscale.endpoints.engines import StreamStage
from tests.test_memory_site import answer, language, run
from tests.test_promises_memory import FREE_AFTER_HOST_LOSS_S, owner_of_pool

STREAMS = 4
SAMPLE_S = 0.1


def reserved_requests(site, host):
    """Returns the ids of requests with a reservation at the pool's owner."""
    (pool,) = site.routers_by_host[host].pool_owner.owned_by_id.values()
    return set(pool.state.reservations_by_request_id)


def requests_holding_memory(site):
    """Returns the ids of the requests that hold engine memory."""
    return {
        info.tag.request_id
        for engine in site.engines_by_id.values()
        for info in engine.held_streams()
        if info.stage is not StreamStage.FINISHED and info.pieces
    }


async def start_streams(site, host):
    """Starts long streams and waits until all hold memory."""
    for engine in site.engines_by_id.values():
        engine.faults.slow_factor = 20.0
    router = site.routers_by_host[host]
    tasks = [
        asyncio.create_task(answer(router, language(number, 4000)))
        for number in range(STREAMS)
    ]
    async with asyncio.timeout(30):
        # No event signals a change of what engines hold.
        while len(requests_holding_memory(site)) < STREAMS:  # noqa: ASYNC110
            await asyncio.sleep(SAMPLE_S)
    return tasks


class TestHostKilled:
    """Memory that a dead host's streams hold stays reserved."""

    def test_reserved_until_the_engines_have_freed_it(self):
        async def scenario(site):
            pool_owner = owner_of_pool(site)
            host = 'entry-1' if pool_owner != 'entry-1' else 'entry-2'
            tasks = await start_streams(site, host)
            await site.kill_host(host)
            for task in tasks:
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
            samples = round(FREE_AFTER_HOST_LOSS_S / SAMPLE_S)
            for _ in range(samples):
                await asyncio.sleep(SAMPLE_S)
                assert requests_holding_memory(site) <= reserved_requests(
                    site, pool_owner
                )
            assert (
                reserved_requests(site, pool_owner)
                == requests_holding_memory(site)
                == set()
            )

        run(scenario)

    def test_reserved_no_longer_than_promised_if_an_engine_is_silent(self):
        async def scenario(site):
            pool_owner = owner_of_pool(site)
            host = 'entry-1' if pool_owner != 'entry-1' else 'entry-2'
            tasks = await start_streams(site, host)
            for engine in site.engines_by_id.values():
                engine.freeze()
            await site.kill_host(host)
            for task in tasks:
                task.cancel()
            await asyncio.sleep(FREE_AFTER_HOST_LOSS_S + 1)
            assert reserved_requests(site, pool_owner) == set()

        run(scenario)
