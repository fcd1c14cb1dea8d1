"""Orders to engines with real processes: the holder is paused and resumed."""

import asyncio
import signal

from mustardscale.commands.exit_codes import ExitCode
from tests.process_site import on_site

# Time for the holder to begin, and for another one to end what it began.
BEGUN_S = 10.0
REACHED_S = 60.0
# Time in which an order that the paused holder held back would arrive and be
# corrected, seconds.
AFTERWARDS_S = 1.0
# Time in which the resumed host serves callers again.
SERVES_S = 15.0


async def want(site, version, *more):
    """Publishes the version that the engines shall serve."""
    fields = (f'model={site.language}', f'model_version="{version}"')
    sets = [argument for field in fields for argument in ('--set', field)]
    name = f'model/{site.language}'
    return await site.tool('engine', 'publish', name, *sets, *more)


async def report(site, engine):
    """Returns an engine's load report."""
    address = site.local.endpoint_address_by_id[engine]
    return await site.get(f'http://{address}/v1/load')


async def holder_at(site, host):
    """Returns the host that gives the orders, as another one knows it."""
    status = await site.operators(host, '/status')
    return status['orders']['host']


class TestPausedHolder:
    """Engines that check fencing and others end in the wanted state."""

    @on_site
    async def test_paused_in_the_middle_and_resumed(self, site):
        # The first one is the only prefill engine and so is left alone.
        engines = site.local.engine_names()[1:]
        code, answer = await want(site, '2')
        assert code == ExitCode.DONE, answer

        async def begun():
            status = await site.operators(site.hosts[0], '/status')
            return status['orders']['change_by_engine']

        await site.until(begun, BEGUN_S)
        holder = await holder_at(site, site.hosts[0])
        other = next(host for host in site.hosts if host != holder)
        site.local.signal_entry(holder, signal.SIGSTOP)
        await want(site, '3', '--timeout', '0.5')

        async def reached():
            reports = [await report(site, engine) for engine in engines]
            return {item['model_version'] for item in reports} == {'3'}

        await site.until(reached, REACHED_S)
        assert await holder_at(site, other) != holder
        site.local.signal_entry(holder, signal.SIGCONT)
        await asyncio.sleep(AFTERWARDS_S)
        await site.until(reached, REACHED_S)

        async def serves():
            result = await site.caller(tokens=20).call([site.url(holder)])
            return result.code == 0

        await site.until(serves, SERVES_S)
        alone = await site.counters(site.local.engine_names()[0])
        assert not alone['counters']['orders_done']
