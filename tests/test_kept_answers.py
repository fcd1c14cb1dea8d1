"""Answers that were delivered to a connection that broke at their end."""

import asyncio
import contextlib

import pytest

from mustardscale.blackboard import Blackboard, ServedRequest
from mustardscale.hosts.quorum import QUORUM_LEASE_S
from mustardscale.outcomes import Outcome
from mustardscale.peers.peer_messages import StreamReleaseReply
from mustardscale.requests.kept_answers import (
    LONGEST_TAIL_TOKENS,
    KeptAnswer,
    KeptAnswerLimits,
    KeptAnswers,
)
from mustardscale.requests.resumption import Resumption
from standins.fault_actions import FaultActions
from tests.test_memory_site import answer, language, run, whole
from tests.test_promises_answers import outcome_of
from tests.virtual_time import virtual_time

REQUEST = 5
RECEIVED = 10
KEEP_S = 30
# Time from the end of an answer to the arrival of a resumption at least.
CALLER_DELAY_S = 0.006


async def deliver(site, host):
    """Delivers a whole answer to a host's connection; returns its request."""
    request = language(REQUEST)
    assert await answer(site.routers_by_host[host], request) == whole(request)
    await asyncio.sleep(CALLER_DELAY_S)
    return request


async def rest(site, host, received=RECEIVED):
    """Resumes after some tokens and returns the others."""
    again = language(REQUEST, resume_after=received - 1)
    texts = []
    router = site.routers_by_host[host]
    async with contextlib.aclosing(router.serve_language(again)) as events:
        async for event in events:
            assert event.index == received + len(texts)
            texts.extend(event.texts)
    return texts


def prefills(site):
    """Returns how many prefills the engines began."""
    return sum(
        sum(engine.counters.prefills_by_request.values())
        for engine in site.engines_by_id.values()
    )


def kept_answer(texts, first_index=0):
    """Returns an answer that is delivered now."""
    now = asyncio.get_running_loop().time()
    return KeptAnswer(first_index, tuple(texts), 'stop', now)


class TestResumption:
    """The caller asks for the rest."""

    @pytest.mark.parametrize('host', ['entry-1', 'entry-2'])
    @pytest.mark.parametrize('after_s', [0.0, 1.0, KEEP_S - 5])
    def test_rest_is_served_at_any_host(self, host, after_s):
        async def scenario(site):
            request = await deliver(site, 'entry-1')
            await asyncio.sleep(after_s)
            assert await rest(site, host) == whole(request)[RECEIVED:]
            assert prefills(site) == 1
            # The rest may be lost too, and the host that passed it on.
            await asyncio.sleep(1)
            if host != 'entry-1':
                await site.kill_host(host)
            assert await rest(site, 'entry-3') == whole(request)[RECEIVED:]
            assert prefills(site) == 1

        run(scenario)

    def test_the_id_stays_answered(self):
        async def scenario(site):
            request = await deliver(site, 'entry-1')
            router = site.routers_by_host['entry-2']
            again = language(REQUEST, resume_after=RECEIVED - 1)
            events = router.serve_language(again)
            await anext(events)
            await events.aclose()
            await asyncio.sleep(1)
            for router in site.routers_by_host.values():
                refused = await outcome_of(answer(router, language(REQUEST)))
                assert refused is Outcome.ALREADY_COMPLETED
            assert prefills(site) == 1
            other = language(REQUEST + 1, resume_after=RECEIVED - 1)
            other.id = request.id
            refused = await outcome_of(answer(router, other))
            assert refused is Outcome.REQUEST_ID_REUSED

        run(scenario)

    def test_two_resumptions_at_once(self):
        async def scenario(site):
            request = await deliver(site, 'entry-1')
            await asyncio.sleep(1)
            results = await asyncio.gather(
                rest(site, 'entry-2'),
                rest(site, 'entry-3'),
                return_exceptions=True,
            )
            wholes = [r for r in results if isinstance(r, list)]
            assert wholes == [whole(request)[RECEIVED:]]

        run(scenario)

    def test_a_resumption_that_waited_at_a_paused_host(self):
        async def scenario(site):
            end = FaultActions(site).freeze('entry-2')
            await asyncio.sleep(4)
            request = await deliver(site, 'entry-1')
            await end()
            # It was asked for before the first stream had ended, perhaps.
            refused = await outcome_of(rest(site, 'entry-2'))
            assert refused is Outcome.ALREADY_COMPLETED
            await asyncio.sleep(QUORUM_LEASE_S + 2)
            assert await rest(site, 'entry-2') == whole(request)[RECEIVED:]

        run(scenario)

    def test_nothing_is_left(self):
        async def scenario(site):
            request = await deliver(site, 'entry-1')
            received = len(whole(request))
            refused = await outcome_of(rest(site, 'entry-2', received))
            assert refused is Outcome.ALREADY_COMPLETED

        run(scenario)

    def test_it_is_no_longer_kept(self):
        async def scenario(site):
            await deliver(site, 'entry-1')
            await asyncio.sleep(KEEP_S + 1)
            for host in site.routers_by_host:
                refused = await outcome_of(rest(site, host))
                assert refused is Outcome.ALREADY_COMPLETED
            refused = await outcome_of(
                answer(site.routers_by_host['entry-3'], language(REQUEST))
            )
            assert refused is Outcome.ALREADY_COMPLETED
            assert prefills(site) == 1

        run(scenario)


class SlowFirstReply:
    """A holder whose first reply is long on its way."""

    def __init__(self, delivered_at, first_s, later_s):
        self._delivered_at = delivered_at
        self._way_s = first_s
        self._later_s = later_s

    def handle(self, request_type, handler):
        return None

    async def call(self, host, request, reply_type, timeout_s):
        age_s = asyncio.get_running_loop().time() - self._delivered_at
        way_s, self._way_s = self._way_s, self._later_s
        await asyncio.sleep(way_s)
        return StreamReleaseReply(
            False,
            ('a', 'b'),
            done=True,
            first_index=0,
            finish_reason='stop',
            age_s=age_s,
        )


class TestTimeOfTheEnd:
    """Whether the end was handed out before the rest was asked for."""

    async def located(self, delivered_before_s, first_s, later_s=0.001):
        now = asyncio.get_running_loop().time()
        board = Blackboard('me', 1, 'dc', 'r')
        board.quorum_at = now
        calls = SlowFirstReply(now - delivered_before_s, first_s, later_s)
        kept = KeptAnswers(KeptAnswerLimits(KEEP_S, 10_000))
        resumption = Resumption(board, calls, None, kept)
        served = ServedRequest('r', 's', 1, now, previous_holder='other')
        return await resumption.locate(served, 'm')

    @virtual_time
    async def test_a_reply_that_was_long_on_its_way(self):
        answer = await self.located(0.01, first_s=0.05)
        assert answer.texts == ('a', 'b')

    @virtual_time
    async def test_an_end_that_may_have_come_later(self):
        refused = await outcome_of(self.located(-0.002, first_s=0.05))
        assert refused is Outcome.ALREADY_COMPLETED

    @virtual_time
    async def test_all_replies_are_long_on_their_way(self):
        refused = await outcome_of(self.located(0.01, 0.05, later_s=0.05))
        assert refused is Outcome.ALREADY_COMPLETED


class TestBounds:
    """Time and size."""

    @virtual_time
    async def test_the_oldest_go_first(self):
        kept = KeptAnswers(KeptAnswerLimits(KEEP_S, 10_000))
        for number in range(20):
            kept.add(str(number), kept_answer(['token'] * 20))
            assert kept.size <= 10_000
        assert kept.find('0') is None
        assert len(kept.find('19').texts) == 20
        await asyncio.sleep(KEEP_S + 1)
        assert kept.find('19') is None
        assert kept.size == 0

    @virtual_time
    async def test_of_a_long_answer_the_end_is_kept(self):
        kept = KeptAnswers(KeptAnswerLimits(KEEP_S, 10_000_000))
        texts = [str(n) for n in range(LONGEST_TAIL_TOKENS + 7)]
        kept.add('long', kept_answer(texts, first_index=3))
        found = kept.find('long')
        assert found.rest_from(9) == ()
        assert found.rest_from(10) == tuple(texts[7:])
