"""Promise 8 with real processes: an accepted change is in force everywhere."""

import asyncio
import signal

from mustardscale.commands.exit_codes import ExitCode
from tests.process_site import on_site

OPERATORS = 12
IN_FORCE_S = 6.0


async def publish(site, value, *more):
    """Publishes a change of the profile of language requests."""
    name = site.language
    arguments = ('profile', 'publish', name, '--set', f'burst={value}')
    return await site.tool(*arguments, *more)


async def versions(site):
    """Returns the profile's version on each host."""
    key = f'profile/{site.language}'
    states = [await site.operators(host, '/status') for host in site.hosts]
    return [state['config_versions'].get(key) for state in states]


async def in_force(site, version):
    """Waits until a version is in force on all hosts."""

    async def everywhere():
        return set(await versions(site)) == {version}

    await site.until(everywhere, IN_FORCE_S)


class TestPublishing:
    """A change is accepted once, and then holds on every host."""

    @on_site
    async def test_operators_race(self, site):
        base = (await versions(site))[0]
        results = await asyncio.gather(
            *(
                publish(site, 30 + number, '--base', str(base))
                for number in range(OPERATORS)
            )
        )
        codes = [code for code, _ in results]
        assert codes.count(ExitCode.DONE) == 1, results
        assert codes.count(ExitCode.LOST) == OPERATORS - 1, results
        shown = {answer['version'] for _, answer in results}
        assert len(shown) == 1
        assert set(await versions(site)) == shown

    @on_site
    async def test_the_answer_of_the_log_is_lost(self, site):
        await site.set_faults(site.local.log_address, lose_next_answers=1)
        code, answer = await publish(site, 60)
        assert code == ExitCode.DONE, answer
        await in_force(site, answer['version'])

    @on_site
    async def test_a_host_is_cut_from_the_log(self, site):
        await site.set_faults(site.local.log_address, cut_hosts=['entry-1'])
        code, answer = await publish(site, 61)
        assert code == ExitCode.DONE, answer
        await in_force(site, answer['version'])

    @on_site
    async def test_hosts_start_in_an_outage_of_the_log(self, site):
        code, answer = await publish(site, 62)
        assert code == ExitCode.DONE, answer
        await site.set_faults(site.local.log_address, outage='hang')
        for host in ('entry-1', 'entry-2'):
            site.kill(host)
            site.local.start_entry(host)
        hosts = ['entry-1', 'entry-2']
        await site.local.wait_ready(site.session, '/livez', hosts)
        await in_force(site, answer['version'])

    @on_site
    async def test_a_frozen_host_does_not_go_back(self, site):
        site.local.signal_entry('entry-1', signal.SIGSTOP)
        first, _ = await publish(site, 63, '--timeout', '0.5')
        second, answer = await publish(site, 64, '--timeout', '0.5')
        assert {first, second} == {ExitCode.NOT_EVERYWHERE}
        site.local.signal_entry('entry-1', signal.SIGCONT)
        await in_force(site, answer['version'])
