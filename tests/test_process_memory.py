"""Promise 1 with real processes: no memory is held for what is gone."""

import asyncio
import signal

import pytest

from tests.process_site import on_site

STREAMS = 4
CALLER_GONE_S = 5.0
HOST_GONE_S = 10.0
# Makes prompts so long that the prefill engine takes one at a time.
QUEUED_REPEATS = 3000
# Makes answers outlast the bounds: 300 tokens take about 20 seconds.
SLOW_FACTOR = 5.0

FAULTS_BY_STAGE = {
    'queued': {'slow_factor': 50.0},
    'prefill': {'slow_factor': 50.0},
    'transfer': {'transfers_stalled': True},
    'decode': {},
}


async def begin(site, hosts):
    """Sends streams to hosts and returns their tasks once they decode."""
    await site.engine_faults(slow_factor=SLOW_FACTOR)
    callers = [site.caller(number) for number in range(STREAMS)]
    tasks = [
        asyncio.create_task(caller.call([site.url(hosts[number % len(hosts)])]))
        for number, caller in enumerate(callers)
    ]
    for caller in callers:
        await caller.wait_events(3)
    assert not [task.result() for task in tasks if task.done()]
    assert not await site.memory_is_free()
    return tasks


async def leave(tasks):
    """Closes the callers' connections."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


class TestMemoryOfLostWork:
    """Engines let go of what nobody waits for."""

    @pytest.mark.parametrize('stage', FAULTS_BY_STAGE)
    @on_site
    async def test_callers_leave(self, site, stage):
        await site.engine_faults(**FAULTS_BY_STAGE[stage])
        repeats = QUEUED_REPEATS if stage == 'queued' else 40
        tasks = [
            asyncio.create_task(
                site.caller(number, repeats=repeats).call([site.url(host)])
            )
            for number, host in enumerate(site.hosts[:STREAMS])
        ]

        async def is_there():
            if stage == 'queued':
                dump = [await site.operators(h, '/dump') for h in site.hosts]
                served = [r for d in dump for r in d['served_by_id'].values()]
                stages = [r['stage'] for r in served]
                return stage in stages and not await site.memory_is_free()
            return stage in await site.stages()

        await site.until(is_there, 10.0)
        await leave(tasks)
        await site.until(site.memory_is_free, CALLER_GONE_S)
        for host in site.hosts:
            assert not (await site.operators(host, '/status'))['requests']

    @on_site
    async def test_cancels_whose_answer_is_lost(self, site):
        tasks = await begin(site, site.hosts)
        await site.engine_faults(lose_cancel_answers=True)
        await leave(tasks)
        await site.until(site.memory_is_free, CALLER_GONE_S)

    @on_site
    async def test_entry_host_and_pool_owner_are_killed(self, site):
        owner = await site.pool_owner()
        entry = next(host for host in site.hosts if host != owner)
        tasks = await begin(site, [entry])
        site.kill(entry)
        site.kill(owner)
        await asyncio.gather(*tasks)
        await site.until(site.memory_is_free, HOST_GONE_S)

    @on_site
    async def test_entry_hosts_are_killed_and_frozen(self, site):
        owner = await site.pool_owner()
        killed, frozen = [host for host in site.hosts if host != owner][:2]
        tasks = await begin(site, [killed, frozen])
        site.local.signal_entry(frozen, signal.SIGSTOP)
        site.kill(killed)
        await leave(tasks)
        await site.until(site.memory_is_free, HOST_GONE_S)
        site.local.signal_entry(frozen, signal.SIGCONT)
        await site.heal()
        await site.until(site.memory_is_free, CALLER_GONE_S)
