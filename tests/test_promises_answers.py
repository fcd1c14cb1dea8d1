"""Tests of the promises on answers and refusals when hosts or links fail."""

import asyncio
import contextlib

import pytest

from mustardscale.exceptions import OutcomeError
from mustardscale.hosts.rendezvous import owner, rank
from mustardscale.outcomes import Outcome, OutcomeClass, outcome_class
from standins.faults import Outage
from tests.test_memory_site import (
    answer,
    booking,
    language,
    run,
    whole,
)

# Seconds after which the directory homes have been in charge for longer than
# clocks may differ (CLOCK_SKEW_S). They then know that a new id is unused.
DIRECTORY_SETTLE_S = 15


def request_with_homes(site, *wanted):
    """Returns a request whose directory home is the first wanted host.

    The hosts that would become its home next are the other wanted ones.
    """
    hosts = list(site.routers_by_host)
    return next(
        language(number)
        for number in range(2000)
        if tuple(rank(f'request-{number}', hosts)[: len(wanted)]) == wanted
    )


def executions(site, request_id):
    """Returns how many times the plain endpoints ran a request id."""
    return sum(
        plain.counters.executions_by_id.get(request_id, 0)
        for plain in site.plains_by_id.values()
    )


async def outcome_of(coroutine):
    """Returns the outcome of a call."""
    try:
        await coroutine
    except OutcomeError as error:
        return error.outcome
    return Outcome.COMPLETE


async def assert_refused_again(site, request, host):
    """Asserts that an answered request is refused when it is sent again."""
    assert await outcome_of(answer(site.routers_by_host[host], request)) in (
        Outcome.ALREADY_COMPLETED,
        Outcome.DIRECTORY_UNAVAILABLE,
    )


class TestAnsweredOnce:
    """No request is answered twice."""

    @pytest.mark.parametrize('down_s', [0.2, 6.0])
    def test_home_lost_after_the_answer(self, down_s):
        async def scenario(site):
            request = request_with_homes(site, 'entry-3')
            await answer(site.routers_by_host['entry-1'], request)
            await asyncio.sleep(0.2)
            await site.kill_host('entry-3')
            await asyncio.sleep(down_s)
            await site.start_host('entry-3')
            await assert_refused_again(site, request, 'entry-2')

        run(scenario)

    def test_home_and_holder_lost_after_the_answer(self):
        async def scenario(site):
            request = request_with_homes(site, 'entry-3', 'entry-5')
            await answer(site.routers_by_host['entry-1'], request)
            await asyncio.sleep(0.2)
            await site.kill_host('entry-3')
            await site.kill_host('entry-1')
            await asyncio.sleep(5)
            await assert_refused_again(site, request, 'entry-2')

        run(scenario)

    def test_home_drained_after_the_answer(self):
        async def scenario(site):
            request = request_with_homes(site, 'entry-3', 'entry-1')
            await answer(site.routers_by_host['entry-1'], request)
            await site.routers_by_host['entry-3'].drain(1.0, 10.0)
            await site.kill_host('entry-3')
            await assert_refused_again(site, request, 'entry-2')

        run(scenario)

    def test_registration_with_the_new_home_is_lost(self):
        async def scenario(site):
            request = request_with_homes(site, 'entry-3', 'entry-5')
            request.max_tokens = 4000
            for engine in site.engines_by_id.values():
                engine.faults.slow_factor = 100.0
            host = site.routers_by_host['entry-1']
            first = asyncio.create_task(answer(host, request))
            await asyncio.sleep(1)
            await site.kill_host('entry-3')
            await asyncio.sleep(2)
            site.peers.cut('entry-1', 'entry-5')
            await asyncio.sleep(1.5)
            site.peers.restore('entry-1', 'entry-5')
            other = site.routers_by_host['entry-2']
            second = asyncio.create_task(outcome_of(answer(other, request)))
            done, _ = await asyncio.wait([second], timeout=10)
            assert done
            assert second.result() is Outcome.ALREADY_IN_PROGRESS
            first.cancel()

        run(scenario)

    def test_late_first_send_is_refused(self):
        async def scenario(site):
            request = language(4)
            first = answer(site.routers_by_host['entry-1'], request)
            again = await answer(site.routers_by_host['entry-2'], request)
            assert again == whole(request)
            await asyncio.sleep(0.1)
            assert await outcome_of(first) is Outcome.ALREADY_COMPLETED

        run(scenario)


class TestNotRun:
    """A request refused as not run did not run."""

    @pytest.mark.parametrize('outage', [Outage.REFUSE, Outage.HANG])
    def test_log_outage_before_the_claim(self, outage):
        async def scenario(site):
            await asyncio.sleep(DIRECTORY_SETTLE_S)
            site.log.conditions.outage = outage
            request = booking()
            host = site.routers_by_host['entry-1']
            refused = await outcome_of(host.serve_plain(request))
            assert refused is Outcome.LOG_UNAVAILABLE
            site.log.conditions.outage = Outage.NONE
            await asyncio.sleep(8)
            assert executions(site, request.id) == 0
            other = site.routers_by_host['entry-2']
            assert (await other.serve_plain(request)).status == 200
            assert executions(site, request.id) == 1

        run(scenario)

    def test_append_succeeds_but_its_answer_is_lost(self):
        async def scenario(site):
            await asyncio.sleep(DIRECTORY_SETTLE_S)
            site.log.conditions.lose_next_answers = 1
            request = booking()
            host = site.routers_by_host['entry-1']
            outcome = await outcome_of(host.serve_plain(request))
            runs = executions(site, request.id)
            kind = outcome_class(outcome)
            assert runs == (1 if outcome is Outcome.COMPLETE else 0)
            assert kind in (OutcomeClass.COMPLETE, OutcomeClass.NOT_RUN)
            await asyncio.sleep(3)
            if not runs:
                other = site.routers_by_host['entry-2']
                assert (await other.serve_plain(request)).status == 200
            assert executions(site, request.id) == 1

        run(scenario)

    def test_two_hosts_one_cut_from_the_log_one_from_the_home(self):
        async def scenario(site):
            await asyncio.sleep(DIRECTORY_SETTLE_S)
            request = booking()
            home = owner(request.id, list(site.routers_by_host))
            first, second = [
                host for host in site.routers_by_host if host != home
            ][:2]
            site.peers.cut(first, home, one_way=True)
            site.cut_pairs.add((second, 'log'))
            outcomes = await asyncio.gather(
                *(
                    outcome_of(site.routers_by_host[host].serve_plain(request))
                    for host in (first, second)
                )
            )
            if executions(site, request.id):
                kinds = {outcome_class(outcome) for outcome in outcomes}
                assert OutcomeClass.NOT_RUN not in kinds
                return
            await asyncio.sleep(2)
            again = await site.routers_by_host[home].serve_plain(request)
            assert again.status == 200

        run(scenario)

    def test_host_cut_off_between_claim_and_dispatch(self):
        async def scenario(site):
            request = booking()
            host = site.routers_by_host['entry-1']
            cut = {('entry-1', name) for name in site.plains_by_id}
            site.cut_pairs |= cut
            refused = await outcome_of(host.serve_plain(request))
            assert outcome_class(refused) is OutcomeClass.NOT_RUN
            assert executions(site, request.id) == 0
            site.cut_pairs -= cut
            await asyncio.sleep(2)
            other = site.routers_by_host['entry-2']
            assert (await other.serve_plain(request)).status == 200

        run(scenario)


class TestAtMostOnce:
    """A request that is not idempotent runs at most once."""

    async def send_everywhere(self, site, request):
        """Sends a request to every host at once."""
        return await asyncio.gather(
            *(
                outcome_of(router.serve_plain(request))
                for router in site.routers_by_host.values()
            )
        )

    def test_sent_to_all_hosts_at_once(self):
        async def scenario(site):
            request = booking()
            outcomes = await self.send_everywhere(site, request)
            assert outcomes.count(Outcome.COMPLETE) == 1
            assert executions(site, request.id) == 1

        run(scenario)

    def test_network_split_with_two_owners(self):
        async def scenario(site):
            for one in ('entry-1', 'entry-2', 'entry-3'):
                for other in ('entry-4', 'entry-5', 'entry-6'):
                    site.peers.cut(one, other)
            await asyncio.sleep(6)
            request = booking()
            await self.send_everywhere(site, request)
            assert executions(site, request.id) <= 1

        run(scenario)

    def test_sent_again_after_an_endpoint_crash(self):
        async def scenario(site):
            for plain in site.plains_by_id.values():
                plain.conditions.latency_s = 1.0
            request = booking()
            host = site.routers_by_host['entry-1']
            task = asyncio.create_task(outcome_of(host.serve_plain(request)))
            await asyncio.sleep(0.5)
            for plain in site.plains_by_id.values():
                plain.crash()
            assert await task is Outcome.ANSWER_LOST
            await asyncio.sleep(3)
            again = await self.send_everywhere(site, request)
            assert set(again) == {Outcome.ANSWER_LOST}
            assert executions(site, request.id) == 1

        run(scenario)

    def test_claim_dropped_by_the_log(self):
        async def scenario(site):
            site.log.conditions.retention_s = 30
            request = booking()
            host = site.routers_by_host['entry-1']
            assert (await host.serve_plain(request)).status == 200
            await site.kill_host('entry-2')
            await asyncio.sleep(60)
            started = await site.start_host('entry-2')
            await asyncio.sleep(5)
            again = await outcome_of(started.serve_plain(request))
            assert again in (Outcome.CLAIM_EXPIRED, Outcome.ALREADY_COMPLETED)
            assert executions(site, request.id) == 1

        run(scenario)

    def test_holder_killed_after_dispatch(self):
        async def scenario(site):
            for plain in site.plains_by_id.values():
                plain.conditions.latency_s = 2.0
            request = booking()
            host = site.routers_by_host['entry-1']
            task = asyncio.create_task(host.serve_plain(request))
            await asyncio.sleep(0.5)
            await site.kill_host('entry-1')
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
            await asyncio.sleep(4)
            again = await self.send_everywhere(site, request)
            assert set(again) == {Outcome.CLAIM_HOLDER_GONE}
            assert executions(site, request.id) == 1

        run(scenario)
