"""Races, lost claims and the return of callers, under failure."""

import asyncio
import collections

import pytest

from mustardscale.configuration.config_records import Profile
from mustardscale.configuration.config_state import RecordStatus
from mustardscale.log.log_client import CONFIG_STREAM
from mustardscale.outcomes import Outcome, OutcomeClass, outcome_class
from mustardscale.policy.reserving import ReservingPolicy
from mustardscale.requests.limits import INITIAL_RETRIES
from mustardscale.traces.trace import TraceEvent, TraceKind, TraceSink
from standins.fault_operators import KEY, FaultOperators
from standins.faults import AnswerLostError, Outage
from standins.log_model import LogModel
from tests.test_memory_site import answer, booking, language, run, whole
from tests.test_promises_answers import executions, outcome_of
from tests.test_promises_memory import FREE_AFTER_S, leave, owner_of_pool, used

OPERATORS = 40
RACE_S = 12.0
# Mean pause of an operator between two changes, seconds.
PAUSE_S = 1.0
# An accepted change is in force everywhere after this time, seconds.
IN_FORCE_S = 6.0
STREAMS = 30
# Retries as a share of requests, by the stated amplification of 1.1.
RETRY_SHARE = 0.1


class ListTrace(TraceSink):
    """Keeps the events of requests."""

    def __init__(self):
        self.events = []

    def record(self, line):
        if isinstance(line, TraceEvent):
            self.events.append(line)


class TestQueuedCaller:
    """The caller leaves while its request waits at the pool's owner."""

    @pytest.mark.parametrize('at_owner', [True, False])
    def test_it_is_forgotten(self, at_owner, monkeypatch):
        async def scenario(site):
            owner = owner_of_pool(site)
            host = next(h for h in site.routers_by_host if h != owner)
            router = site.routers_by_host[owner if at_owner else host]
            task = asyncio.create_task(answer(router, language(1)))
            await asyncio.sleep(0.5)
            pools = site.routers_by_host[owner].pool_owner.owned_by_id
            waiting = next(iter(pools.values())).waiting_by_request_id
            assert list(waiting) == ['request-1']
            await leave(task)
            await asyncio.sleep(FREE_AFTER_S)
            assert list(waiting) == []
            assert used(site) == 0
            assert router.blackboard.served_by_id == {}

        monkeypatch.setattr(ReservingPolicy, 'decide', lambda *_: [])
        run(scenario, Profile(first_token_s=60, patience_s=60))


def accepted(config):
    """Returns the changes of the raced profile that count at a host."""
    return [
        entry
        for entry in config.history
        if entry.change.key == KEY and entry.status is RecordStatus.ACCEPTED
    ]


class TestOperators:
    """Forty operators change one profile at the same time."""

    def test_each_conflict_has_one_winner_everywhere(self):
        async def operate(operators, rng, until):
            while asyncio.get_running_loop().time() < until:
                await operators.publish()
                await asyncio.sleep(rng.uniform(0.0, 2 * PAUSE_S))

        async def scenario(site):
            operators = FaultOperators(site, site.rng)
            site.cut_pairs.add(('entry-2', 'log'))
            until = asyncio.get_running_loop().time() + RACE_S
            races = [
                operate(operators, site.rng, until) for _ in range(OPERATORS)
            ]
            racing = asyncio.gather(*races)
            await asyncio.sleep(RACE_S / 3)
            await site.kill_host('entry-4')
            site.log.conditions.lose_answer_probability = 0.1
            await asyncio.sleep(RACE_S / 3)
            await site.start_host('entry-4')
            await racing
            await asyncio.sleep(IN_FORCE_S)
            assert operators.judge() == []
            configs = [
                r.blackboard.config for r in site.routers_by_host.values()
            ]
            winners = accepted(configs[0])
            # Every version but the last was changed, by one winner each.
            bases = [entry.change.base for entry in winners]
            assert bases[1:] == [entry.offset for entry in winners[:-1]]
            fates = [r.status for r in operators.results.values()]
            assert fates.count('accepted') > OPERATORS
            assert fates.count('lost') > OPERATORS
            assert {config.version(KEY) for config in configs} == {
                winners[-1].offset
            }
            assert len({config.digest() for config in configs}) == 1
            folds = [accepted(config) for config in configs]
            # The host that is cut off copies versions and folds nothing.
            assert sum(map(bool, folds)) == len(configs) - 1
            for fold in folds:
                assert fold == winners[len(winners) - len(fold) :]

        run(scenario)


class TestLostClaim:
    """The log does not keep what it was given."""

    def test_acknowledged_and_gone(self):
        async def scenario(site):
            await asyncio.sleep(30)
            kept = site.log.conditions.retention_records
            site.log.conditions.retention_records = 0
            request = booking()
            first = site.routers_by_host['entry-1']
            outcome = await outcome_of(first.serve_plain(request))
            assert outcome_class(outcome) is OutcomeClass.UNKNOWN
            assert executions(site, request.id) == 0
            site.log.conditions.retention_records = kept
            second = site.routers_by_host['entry-2']
            await outcome_of(second.serve_plain(request))
            assert executions(site, request.id) <= 1
            await asyncio.sleep(30)
            assert await outcome_of(first.serve_plain(booking())) == 0

        run(scenario)

    def test_no_answer_and_no_effect(self, monkeypatch):
        append = LogModel.append
        lost = []

        async def lose_first(model, stream, payloads):
            if stream != CONFIG_STREAM and not lost:
                lost.append(stream)
                raise AnswerLostError()
            return await append(model, stream, payloads)

        async def scenario(site):
            await asyncio.sleep(30)
            monkeypatch.setattr(LogModel, 'append', lose_first)
            request = booking()
            hosts = list(site.routers_by_host.values())
            outcome = await outcome_of(hosts[0].serve_plain(request))
            assert outcome in (
                Outcome.LOG_UNAVAILABLE,
                Outcome.CLAIM_UNCERTAIN,
            )
            assert executions(site, request.id) == 0
            await asyncio.sleep(1)
            again = await outcome_of(hosts[1].serve_plain(request))
            assert again is Outcome.COMPLETE
            assert executions(site, request.id) == 1

        run(scenario)


class TestReturn:
    """What comes back at once after a general failure."""

    def test_engines_all_crash(self):
        trace = ListTrace()

        async def scenario(site):
            router = site.routers_by_host['entry-1']
            router.blackboard.trace = trace
            calls = []
            for number in range(160):
                call = answer(router, language(number, 100))
                calls.append(asyncio.create_task(outcome_of(call)))
                await asyncio.sleep(0.05)
                if number == 150:
                    for engine in site.engines_by_id.values():
                        engine.kill(0.5)
            await asyncio.gather(*calls)
            grants = [e for e in trace.events if e.kind is TraceKind.GRANTED]
            retries = sum(event.attempt > 1 for event in grants)
            assert 0 < retries <= RETRY_SHARE * len(calls) + INITIAL_RETRIES
            again = language(999)
            assert await answer(router, again) == whole(again)

        run(scenario, Profile(first_token_s=2, patience_s=4, timeout_s=30))

    def test_log_outage(self):
        async def scenario(site):
            site.log.conditions.outage = Outage.REFUSE
            hosts = list(site.routers_by_host.values())
            calls = [
                asyncio.create_task(
                    outcome_of(hosts[number % 6].serve_plain(booking()))
                )
                for number in range(1200)
            ]
            await asyncio.sleep(2)
            site.log.conditions.outage = Outage.NONE
            ends = collections.Counter(await asyncio.gather(*calls))
            assert ends == {Outcome.COMPLETE: len(calls)}
            assert site.log.counters.appends_refused == 0

        run(scenario)

    def test_entry_host_restart(self):
        trace = ListTrace()

        async def serve(site, number, hosts, lost):
            """Reads at one host until it is lost, and resumes at another."""
            request = language(number, 300)
            texts = []
            for host in hosts:
                reading = asyncio.create_task(
                    read(site.routers_by_host[host], request, texts)
                )
                losing = asyncio.create_task(lost.wait())
                await asyncio.wait(
                    [reading, losing], return_when=asyncio.FIRST_COMPLETED
                )
                losing.cancel()
                if reading.done():
                    reading.result()
                    assert texts == whole(language(number, 300))
                    return
                await leave(reading)
                if not texts:
                    return
                request.resume_after = len(texts) - 1

        async def read(router, request, texts):
            async for event in router.serve_language(request):
                texts.extend(event.texts)

        async def scenario(site):
            lost = asyncio.Event()
            owner = owner_of_pool(site)
            killed, *rest = (h for h in site.routers_by_host if h != owner)
            calls = []
            for number in range(STREAMS):
                other = rest[number % len(rest)]
                call = serve(site, number, (killed, other), lost)
                calls.append(asyncio.create_task(call))
                await asyncio.sleep(0.05)
            for router in site.routers_by_host.values():
                router.blackboard.trace = trace
            await site.kill_host(killed)
            lost.set()
            await asyncio.sleep(0.5)
            await site.start_host(killed)
            await asyncio.gather(*calls)
            arrivals = [e for e in trace.events if e.kind is TraceKind.ARRIVED]
            grants = [e for e in trace.events if e.kind is TraceKind.GRANTED]
            assert len(arrivals) > STREAMS / 4
            assert len(grants) <= RETRY_SHARE * STREAMS + INITIAL_RETRIES

        run(scenario, Profile(first_token_s=2, patience_s=4, timeout_s=30))
