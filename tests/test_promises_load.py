"""Poison requests, retries and recovery, under failure."""

import asyncio

import pytest

from mustardscale.endpoints.caller_requests import (
    PlainRequest,
    prompt_from_text,
)
from mustardscale.exceptions import OutcomeError
from mustardscale.outcomes import Outcome
from mustardscale.quarantine.suspicion_keys import make_keys
from mustardscale.requests.limits import INITIAL_RETRIES
from standins.crash_fleet import CRASHES_ALLOWED
from standins.engine_model import CRASH_MARK
from standins.faults import Outage
from standins.log_model import LogModel
from standins.memory_site import SiteLayout
from tests.test_memory_site import LEDGER, answer, booking, language, run, whole
from tests.test_promises_answers import outcome_of
from tests.test_promises_memory import owner_of_pool

# Reads of the log within this time count as a burst, seconds.
WINDOW_S = 0.02
# Requests by which a host has earned the retries of a crash.
EARLIER_REQUESTS = 100
# Enough prefill engines that some are left after two crashes.
LAYOUT = SiteLayout(prefill_engines=4)
HOSTS = [f'entry-{number}' for number in range(1, 7)]
# More than one message takes, less than two take, seconds: the owner has told
# its peers, and the next engine has not got the request yet.
KILL_AFTER_COUNT_S = 0.0018
POLL_S = 0.0005


def crashes(site):
    """Returns how often engines have crashed."""
    return sum(e.counters.crashes for e in site.engines_by_id.values())


def counted(site, host, request):
    """Returns the crashes that a host counts against a request."""
    suspicions = site.routers_by_host[host].suspicions
    keys = make_keys(
        SiteLayout().language_service, request.id, request.prompt.fingerprint
    )
    return suspicions.crashes(keys)


async def result_of(coroutine):
    """Returns an answer, or the outcome of a refusal."""
    try:
        return await coroutine
    except OutcomeError as error:
        return error.outcome


class TestPoison:
    """A request that crashes each endpoint that runs it."""

    async def poison_among_others(self, site, host):
        """Sends a poison request among innocent ones; returns the ends."""
        earlier = (
            answer(site.routers_by_host[host], language(number, 1))
            for number in range(1000, 1000 + EARLIER_REQUESTS)
        )
        for request in earlier:
            await request
        poison = language(99)
        router = site.routers_by_host[host]
        innocents = [
            asyncio.create_task(result_of(answer(router, language(number))))
            for number in range(12)
        ]
        await asyncio.sleep(0.3)
        for engine in site.engines_by_id.values():
            engine.faults.crash_fingerprints.add(poison.prompt.fingerprint)
        end = await outcome_of(answer(router, poison))
        return end, await asyncio.gather(*innocents)

    def test_innocents_are_served(self):
        async def scenario(site):
            end, answers = await self.poison_among_others(site, 'entry-1')
            assert end is not Outcome.COMPLETE
            assert answers == [whole(language(n)) for n in range(12)]

        run(scenario, layout=LAYOUT)

    def test_it_stops_at_two_crashed_endpoints(self):
        async def scenario(site):
            await self.poison_among_others(site, 'entry-1')
            await asyncio.sleep(3)
            for number, router in enumerate(site.routers_by_host.values()):
                again = language(99)
                if number % 2:
                    again.id = f'fresh-{number}'
                await outcome_of(answer(router, again))
                await asyncio.sleep(3)
            last = site.routers_by_host['entry-6']
            end = await outcome_of(answer(last, language(99)))
            assert end is Outcome.QUARANTINED
            assert crashes(site) == 2

        run(scenario)

    @pytest.mark.parametrize('sender', ['request-99', 'fresh-1'])
    def test_the_owner_is_killed_between_the_crashes(self, sender):
        """The second send comes under the same or a fresh id."""

        async def scenario(site):
            pool_owner = owner_of_pool(site)
            host, other = (h for h in HOSTS[:3] if h != pool_owner)
            router = site.routers_by_host[host]
            poison = language(99, timeout_s=20)
            first = asyncio.create_task(outcome_of(answer(router, poison)))
            innocents = [
                asyncio.create_task(result_of(answer(router, language(number))))
                for number in range(6)
            ]
            for engine in site.engines_by_id.values():
                engine.faults.crash_fingerprints.add(poison.prompt.fingerprint)
            async with asyncio.timeout(10):
                # What the owner counts has no event that marks its change.
                while not counted(site, pool_owner, poison):  # noqa: ASYNC110
                    await asyncio.sleep(POLL_S)
            await asyncio.sleep(KILL_AFTER_COUNT_S)
            assert crashes(site) == 1
            await site.kill_host(pool_owner)
            assert await first is not Outcome.COMPLETE
            again = language(99)
            again.id = sender
            await outcome_of(answer(site.routers_by_host[other], again))
            assert crashes(site) == 2
            assert await asyncio.gather(*innocents) == [
                whole(language(n)) for n in range(6)
            ]

        run(scenario, layout=LAYOUT)


class TestPoisonSegment:
    """A message of prompts that crashes each engine that runs it."""

    def test_engines_stop_crashing_though_no_two_prompts_are_alike(self):
        async def scenario(site):
            routers = list(site.routers_by_host.values())
            ends = []
            for number in range(30):
                poison = language(number)
                poison.prompt = prompt_from_text(f'{CRASH_MARK} {number}')
                poison.segments = ('first', 'poison')
                sound = language(500 + number)
                sound.segments = ('first',)
                router = routers[number % len(routers)]
                ends.append(await outcome_of(answer(router, poison)))
                assert await answer(router, sound) == whole(sound)
                await asyncio.sleep(1)
            assert crashes(site) <= CRASHES_ALLOWED
            assert set(ends[-20:]) == {Outcome.QUARANTINED}

        run(scenario, layout=LAYOUT)


class TestRetries:
    """All endpoints fail at once."""

    def test_amplification_is_bounded(self):
        async def scenario(site):
            for plain in site.plains_by_id.values():
                plain.conditions.lose_answer_probability = 1.0
            requests = [
                PlainRequest(f'r{n}', LEDGER, 'GET', '/', (), b'', True)
                for n in range(1200)
            ]
            hosts = list(site.routers_by_host.values())
            for number, request in enumerate(requests):
                await outcome_of(hosts[number % 6].serve_plain(request))
            attempts = sum(
                sum(plain.counters.executions_by_id.values())
                for plain in site.plains_by_id.values()
            )
            assert attempts <= 1.1 * len(requests) + 6 * INITIAL_RETRIES

        run(scenario)


class TestRecovery:
    """The system comes back by itself, without a burst of calls."""

    def test_reads_of_the_log_are_spread(self, monkeypatch):
        async def scenario(site):
            site.log.conditions.outage = Outage.REFUSE
            await asyncio.sleep(20)
            arrivals = []
            read = LogModel.read

            async def noted_read(model, *arguments):
                arrivals.append(asyncio.get_running_loop().time())
                return await read(model, *arguments)

            monkeypatch.setattr(LogModel, 'read', noted_read)
            site.log.conditions.outage = Outage.NONE
            await asyncio.sleep(1)
            # Six hosts read two streams each.
            assert len(arrivals) >= 12
            busiest = max(
                sum(at <= other < at + WINDOW_S for other in arrivals)
                for at in arrivals
            )
            assert busiest <= len(arrivals) / 2
            host = site.routers_by_host['entry-1']
            assert (await host.serve_plain(booking())).status == 200

        run(scenario)
