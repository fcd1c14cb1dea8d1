"""Tests of resuming an answer that was delivered to a broken connection."""

import asyncio
import contextlib

import pytest

from mustardscale.blackboard import Blackboard, ServedRequest
from mustardscale.hosts.quorum import QUORUM_LEASE_S
from mustardscale.outcomes import Outcome
from mustardscale.peers.peer_messages import StreamReleaseReply
from mustardscale.requests.kept_answers import (
    MAX_TAIL_TOKENS,
    KeptAnswer,
    KeptAnswerLimits,
    KeptAnswers,
)
from mustardscale.requests.resumption import Resumption
from standins.fault_actions import FaultActions
from tests.test_memory_site import answer, language, run, whole
from tests.test_promises_answers import outcome_of
from tests.virtual_time import virtual_time

REQUEST_NUMBER = 5
RECEIVED_TOKENS = 10
KEEP_S = 30
# Minimum time from the end of an answer until a resumption arrives, seconds.
CALLER_DELAY_S = 0.006


async def deliver(site, host):
    """Reads a whole answer at a host and returns the request."""
    request = language(REQUEST_NUMBER)
    assert await answer(site.routers_by_host[host], request) == whole(request)
    await asyncio.sleep(CALLER_DELAY_S)
    return request


async def read_rest(site, host, received=RECEIVED_TOKENS):
    """Resumes after the received tokens and returns the remaining ones."""
    again = language(REQUEST_NUMBER, resume_after=received - 1)
    texts = []
    router = site.routers_by_host[host]
    async with contextlib.aclosing(router.serve_language(again)) as events:
        async for event in events:
            assert event.index == received + len(texts)
            texts.extend(event.texts)
    return texts


def count_prefills(site):
    """Returns the number of prefills that the engines began."""
    return sum(
        sum(engine.counters.prefills_by_request.values())
        for engine in site.engines_by_id.values()
    )


def make_kept_answer(texts, first_index=0):
    """Makes an answer whose delivery time is now."""
    now = asyncio.get_running_loop().time()
    return KeptAnswer(first_index, tuple(texts), 'stop', now)


class TestResumption:
    """The caller resumes a request whose answer was delivered."""

    @pytest.mark.parametrize('host', ['entry-1', 'entry-2'])
    @pytest.mark.parametrize('after_s', [0.0, 1.0, KEEP_S - 5])
    def test_rest_is_served_at_any_host(self, host, after_s):
        async def scenario(site):
            request = await deliver(site, 'entry-1')
            await asyncio.sleep(after_s)
            assert (
                await read_rest(site, host) == whole(request)[RECEIVED_TOKENS:]
            )
            assert count_prefills(site) == 1
            # The resumed answer may be lost too, with the host that sent it.
            await asyncio.sleep(1)
            if host != 'entry-1':
                await site.kill_host(host)
            assert (
                await read_rest(site, 'entry-3')
                == whole(request)[RECEIVED_TOKENS:]
            )
            assert count_prefills(site) == 1

        run(scenario)

    def test_id_stays_answered_after_a_partial_resumption(self):
        async def scenario(site):
            request = await deliver(site, 'entry-1')
            router = site.routers_by_host['entry-2']
            again = language(REQUEST_NUMBER, resume_after=RECEIVED_TOKENS - 1)
            events = router.serve_language(again)
            await anext(events)
            await events.aclose()
            await asyncio.sleep(1)
            for router in site.routers_by_host.values():
                refused = await outcome_of(
                    answer(router, language(REQUEST_NUMBER))
                )
                assert refused is Outcome.ALREADY_COMPLETED
            assert count_prefills(site) == 1
            other = language(
                REQUEST_NUMBER + 1, resume_after=RECEIVED_TOKENS - 1
            )
            other.id = request.id
            refused = await outcome_of(answer(router, other))
            assert refused is Outcome.REQUEST_ID_REUSED

        run(scenario)

    def test_only_one_of_two_resumptions_is_served(self):
        async def scenario(site):
            request = await deliver(site, 'entry-1')
            await asyncio.sleep(1)
            results = await asyncio.gather(
                read_rest(site, 'entry-2'),
                read_rest(site, 'entry-3'),
                return_exceptions=True,
            )
            wholes = [r for r in results if isinstance(r, list)]
            assert wholes == [whole(request)[RECEIVED_TOKENS:]]

        run(scenario)

    def test_resumption_that_waited_at_a_paused_host_is_refused(self):
        async def scenario(site):
            end = FaultActions(site).freeze('entry-2')
            await asyncio.sleep(4)
            request = await deliver(site, 'entry-1')
            await end()
            # The resumption may have been sent before the first stream ended.
            refused = await outcome_of(read_rest(site, 'entry-2'))
            assert refused is Outcome.ALREADY_COMPLETED
            await asyncio.sleep(QUORUM_LEASE_S + 2)
            assert (
                await read_rest(site, 'entry-2')
                == whole(request)[RECEIVED_TOKENS:]
            )

        run(scenario)

    def test_resumption_after_the_last_token_is_refused(self):
        async def scenario(site):
            request = await deliver(site, 'entry-1')
            received = len(whole(request))
            refused = await outcome_of(read_rest(site, 'entry-2', received))
            assert refused is Outcome.ALREADY_COMPLETED

        run(scenario)

    def test_resumption_of_an_expired_answer_is_refused(self):
        async def scenario(site):
            await deliver(site, 'entry-1')
            await asyncio.sleep(KEEP_S + 1)
            for host in site.routers_by_host:
                refused = await outcome_of(read_rest(site, host))
                assert refused is Outcome.ALREADY_COMPLETED
            refused = await outcome_of(
                answer(
                    site.routers_by_host['entry-3'], language(REQUEST_NUMBER)
                )
            )
            assert refused is Outcome.ALREADY_COMPLETED
            assert count_prefills(site) == 1

        run(scenario)


class SlowFirstReply:
    """A holder whose first reply takes longer than later ones."""

    def __init__(self, delivered_at, first_delay_s, later_delay_s):
        self._delivered_at = delivered_at
        self._delay_s = first_delay_s
        self._later_delay_s = later_delay_s

    def handle(self, request_type, handler):
        return None

    async def call(self, host, request, reply_type, timeout_s):
        age_s = asyncio.get_running_loop().time() - self._delivered_at
        delay_s, self._delay_s = self._delay_s, self._later_delay_s
        await asyncio.sleep(delay_s)
        return StreamReleaseReply(
            False,
            ('a', 'b'),
            done=True,
            first_index=0,
            finish_reason='stop',
            age_s=age_s,
        )


class TestDeliveryTime:
    """Whether the answer's end was sent before the resumption was."""

    async def locate_answer(
        self, delivered_before_s, first_delay_s, later_delay_s=0.001
    ):
        now = asyncio.get_running_loop().time()
        board = Blackboard('me', 1, 'dc', 'r')
        board.quorum_at = now
        calls = SlowFirstReply(
            now - delivered_before_s, first_delay_s, later_delay_s
        )
        kept = KeptAnswers(KeptAnswerLimits(KEEP_S, 10_000))
        resumption = Resumption(board, calls, None, kept)
        served = ServedRequest('r', 's', 1, now, previous_holder='other')
        return await resumption.locate(served, 'm')

    @virtual_time
    async def test_slow_first_reply_is_read_again(self):
        answer = await self.locate_answer(0.01, first_delay_s=0.05)
        assert answer.texts == ('a', 'b')

    @virtual_time
    async def test_answer_delivered_after_the_resumption_is_refused(self):
        refused = await outcome_of(
            self.locate_answer(-0.002, first_delay_s=0.05)
        )
        assert refused is Outcome.ALREADY_COMPLETED

    @virtual_time
    async def test_refused_if_all_replies_are_slow(self):
        refused = await outcome_of(
            self.locate_answer(0.01, 0.05, later_delay_s=0.05)
        )
        assert refused is Outcome.ALREADY_COMPLETED


class TestBounds:
    """The limits on the time and size of kept answers."""

    @virtual_time
    async def test_oldest_answers_are_removed_first(self):
        kept = KeptAnswers(KeptAnswerLimits(KEEP_S, 10_000))
        for number in range(20):
            kept.add(str(number), make_kept_answer(['token'] * 20))
            assert kept.size <= 10_000
        assert kept.find('0') is None
        assert len(kept.find('19').texts) == 20
        await asyncio.sleep(KEEP_S + 1)
        assert kept.find('19') is None
        assert kept.size == 0

    @virtual_time
    async def test_last_tokens_of_a_long_answer_are_kept(self):
        kept = KeptAnswers(KeptAnswerLimits(KEEP_S, 10_000_000))
        texts = [str(n) for n in range(MAX_TAIL_TOKENS + 7)]
        kept.add('long', make_kept_answer(texts, first_index=3))
        found = kept.find('long')
        assert found.rest_from(9) == ()
        assert found.rest_from(10) == tuple(texts[7:])
