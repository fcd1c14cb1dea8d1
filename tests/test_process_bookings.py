"""Promises 4 to 6 with real processes: bookings and leaving endpoints."""

import asyncio
import signal

import pytest

from mustardscale.outcomes import Outcome, OutcomeClass, outcome_class
from standins.local_callers import AnswerFate
from tests.process_site import new_id, on_site

BOOKINGS = 6
# Guard against waiting for ever, seconds.
SETTLED_S = 15.0
LEAVING_S = 3.0
LIST_LAG_S = 1.0
# Longer than a claim may wait for the log.
FREEZE_S = 3.5


async def book_everywhere(site, request_ids):
    """Sends each booking to all hosts at once; returns results by id."""
    sends = [
        asyncio.gather(*(site.book(host, id_) for host in site.hosts))
        for id_ in request_ids
    ]
    results = await asyncio.gather(*sends)
    return dict(zip(request_ids, results, strict=True))


def may_have_run(result):
    """Returns whether a result leaves it open whether the booking ran."""
    if result.fate is AnswerFate.BROKEN:
        return True
    kind = outcome_class(Outcome(result.code))
    return kind in (OutcomeClass.RAN_AND_FAILED, OutcomeClass.UNKNOWN)


async def judge(site, results_by_id):
    """Checks that each id ran at most once and that its results say so."""
    for request_id, results in results_by_id.items():
        executions = await site.executions(request_id)
        whole = [r for r in results if r.fate is AnswerFate.WHOLE]
        assert executions <= 1, (request_id, results)
        assert len(whole) <= executions, (request_id, results)
        if executions and not whole:
            assert any(may_have_run(r) for r in results), results


class TestBookings:
    """A booking runs at most once, and 'not run' is true."""

    @on_site
    async def test_sent_to_all_hosts_at_once(self, site):
        results_by_id = await book_everywhere(
            site, [new_id() for _ in range(BOOKINGS)]
        )
        await judge(site, results_by_id)
        for results in results_by_id.values():
            assert sum(r.fate is AnswerFate.WHOLE for r in results) == 1

    @on_site
    async def test_the_same_id_with_another_content(self, site):
        request_id = new_id()
        first = await site.book('entry-1', request_id)
        other = await site.book('entry-2', request_id, '/items/2')
        assert (first.fate, other.code) == (
            AnswerFate.WHOLE,
            Outcome.REQUEST_ID_REUSED,
        )
        assert await site.executions(request_id) == 1

    @on_site
    async def test_sent_again_after_its_host_is_lost(self, site):
        # The endpoints are slow, so that the hosts are lost while they wait.
        for name in site.local.plain_names():
            address = site.local.endpoint_address_by_id[name]
            await site.set_faults(address, latency_s=1.0)
        frozen, killed, *rest = site.hosts
        ids = [new_id() for _ in range(BOOKINGS)]
        first = [
            asyncio.create_task(site.book(host, id_))
            for id_, host in zip(ids, [frozen, killed] * BOOKINGS, strict=False)
        ]

        async def all_begun():
            return all([await site.executions(id_) for id_ in ids])

        await site.until(all_begun, SETTLED_S)
        # Two more are lost at any point on their way.
        ids += [new_id(), new_id()]
        first.append(asyncio.create_task(site.book(frozen, ids[-2])))
        first.append(asyncio.create_task(site.book(killed, ids[-1])))
        await asyncio.sleep(0.005)
        site.local.signal_entry(frozen, signal.SIGSTOP)
        site.kill(killed)
        again = {id_: [await site.book(rest[0], id_)] for id_ in ids}
        await asyncio.sleep(FREEZE_S)
        for id_ in ids:
            again[id_].append(await site.book(rest[1], id_))
        site.local.signal_entry(frozen, signal.SIGCONT)
        for id_, task in zip(ids, first, strict=True):
            again[id_].append(await task)
        for id_ in ids:
            again[id_].append(await site.book(rest[2], id_))
        await judge(site, again)

    @pytest.mark.parametrize('outage', ['refuse', 'hang'])
    @on_site
    async def test_in_an_outage_of_the_log(self, site, outage):
        ids = [new_id() for _ in range(BOOKINGS)]
        await site.set_faults(site.local.log_address, outage=outage)
        results_by_id = await book_everywhere(site, ids)
        for id_, results in results_by_id.items():
            assert await site.executions(id_) == 0
            assert all(r.fate is AnswerFate.REFUSED for r in results)
        await site.set_faults(site.local.log_address, outage='none')

        async def all_answered():
            after = await book_everywhere(site, ids)
            for id_, results in after.items():
                results_by_id[id_] += results
            return all(
                any(r.fate is AnswerFate.WHOLE for r in results)
                for results in results_by_id.values()
            )

        await site.until(all_answered, SETTLED_S)
        await judge(site, results_by_id)

    @on_site
    async def test_appends_that_lose_their_answer(self, site):
        await site.set_faults(site.local.log_address, lose_next_answers=6)
        ids = [new_id() for _ in range(BOOKINGS)]
        results_by_id = await book_everywhere(site, ids)
        for id_, results in (await book_everywhere(site, ids)).items():
            results_by_id[id_] += results
        await judge(site, results_by_id)

    @pytest.mark.parametrize('point', ['before_execution', 'after_execution'])
    @on_site
    async def test_the_endpoint_crashes(self, site, point):
        for name in site.local.plain_names():
            address = site.local.endpoint_address_by_id[name]
            await site.set_faults(address, crash_point=point)
        request_id = new_id()
        body = b'CRASH-ENDPOINT'
        first = await site.book('entry-1', request_id, body=body)
        assert first.code == Outcome.ANSWER_LOST
        await site.heal()

        async def all_know():
            again = [
                await site.book(host, request_id, body=body)
                for host in site.hosts
            ]
            # Hosts that have not read the log yet say 'in progress'.
            codes = {result.code for result in again}
            assert codes <= {Outcome.ANSWER_LOST, Outcome.ALREADY_IN_PROGRESS}
            return codes == {Outcome.ANSWER_LOST}

        await site.until(all_know, SETTLED_S)
        executions = await site.executions(request_id)
        assert executions == (point == 'after_execution')


class TestLeavingEndpoints:
    """A leaving endpoint gets no new work after 3 seconds."""

    @pytest.mark.parametrize('word', ['list', 'cut', 'endpoint'])
    @on_site
    async def test_no_new_work(self, site, word):
        leaving = [site.local.plain_names()[-1], site.local.engine_names()[-1]]
        list_address = site.local.host_list_address
        if word == 'endpoint':
            await site.set_faults(list_address, outage='refuse')
            for name in leaving:
                address = site.local.endpoint_address_by_id[name]
                await site.set_faults(address, leaving=True)
        else:
            cut = ['entry-1'] if word == 'cut' else []
            await site.set_faults(list_address, lag_s=LIST_LAG_S, cut_hosts=cut)
            await site.change_hosts(leaving=leaving)
        load = asyncio.create_task(self._load(site))
        await asyncio.sleep(LEAVING_S)
        before = [await self._work(site, name) for name in leaving]
        results = await load
        assert [await self._work(site, name) for name in leaving] == before
        assert all(r.fate is AnswerFate.WHOLE for r in results), results

    async def _load(self, site):
        """Sends requests to all hosts until well after the bound."""
        end_at = asyncio.get_running_loop().time() + LEAVING_S + 1.0
        results = []
        number = 0
        while asyncio.get_running_loop().time() < end_at:
            sends = [site.book(host, new_id()) for host in site.hosts]
            for host in site.hosts:
                number += 1
                sends.append(site.caller(number, 1).call([site.url(host)]))
            results += await asyncio.gather(*sends)
        return results

    async def _work(self, site, name):
        """Returns how much work an endpoint has begun."""
        counters = await site.counters(name)
        if 'executions_by_id' in counters:
            return sum(counters['executions_by_id'].values())
        return sum(counters['counters']['executions_by_request'].values())
