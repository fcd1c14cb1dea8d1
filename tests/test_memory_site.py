"""A whole site under a paused clock."""

import asyncio
import gc
import warnings

import async_solipsism
import pytest
import uuid_utils

from mustardscale.configuration.config_records import Profile
from mustardscale.endpoints.caller_requests import (
    LanguageRequest,
    PlainRequest,
    prompt_from_text,
)
from mustardscale.exceptions import OutcomeError
from mustardscale.outcomes import Outcome, OutcomeClass, outcome_class
from standins.expected_answers import expected_tokens, output_length
from standins.memory_site import WALL_START_S, MemorySite, SiteLayout

SERVICE = 'katode-lm'
LEDGER = 'katode-ledger'


def run(scenario, profile=None, layout=None):
    """Runs a coroutine function with a started site on a paused clock."""

    async def main():
        site = MemorySite(layout or SiteLayout(), seed=1)
        await site.start()
        await site.publish_defaults(
            profile or Profile(patience_s=5), Profile(timeout_s=5)
        )
        await asyncio.sleep(5)
        try:
            await scenario(site)
        finally:
            await site.stop()

    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        runner.run(main())


def language(number, max_tokens=500, **fields):
    """Returns a request with a prompt of its own."""
    prompt = prompt_from_text(f'request {number} ' * 400)
    return LanguageRequest(
        f'request-{number}', SERVICE, prompt, max_tokens, **fields
    )


def booking():
    """Returns a request that must not run twice."""
    now_s = WALL_START_S + asyncio.get_running_loop().time()
    request_id = str(uuid_utils.uuid7(nanoseconds=int(now_s * 10**9)))
    return PlainRequest(
        request_id, LEDGER, 'POST', '/lots', (), b'{}', idempotent=False
    )


async def answer(router, request):
    """Reads a whole answer."""
    texts = []
    async for event in router.serve_language(request):
        assert event.index == len(texts)
        texts.extend(event.texts)
    return texts


def whole(request):
    """Returns the tokens of a request's whole answer."""
    fingerprint = request.prompt.fingerprint
    length = output_length(fingerprint, request.max_tokens)
    return list(expected_tokens(fingerprint, 0, length))


class TestShutdown:
    """The end of a site."""

    @pytest.mark.parametrize('after_s', [0.0, 0.0005, 0.001, 0.3])
    def test_no_call_is_left_unawaited(self, after_s):
        async def main():
            site = MemorySite(SiteLayout(), seed=1)
            await site.start()
            await asyncio.sleep(after_s)
            await site.stop()

        # What other tests left is not this site's.
        gc.collect()
        with (
            warnings.catch_warnings(record=True) as caught,
            asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner,
        ):
            warnings.simplefilter('always')
            runner.run(main())
            gc.collect()
        assert [str(warning.message) for warning in caught] == []


class TestServing:
    """Requests without faults."""

    def test_answers_are_whole(self):
        async def scenario(site):
            requests = [language(number) for number in range(20)]
            hosts = list(site.routers_by_host.values())
            answers = await asyncio.gather(
                *(
                    answer(hosts[number % 6], request)
                    for number, request in enumerate(requests)
                )
            )
            assert answers == [whole(request) for request in requests]

        run(scenario)

    def test_requests_over_capacity_are_whole_or_not_run(self):
        async def scenario(site):
            requests = [language(number) for number in range(20)]
            host = site.routers_by_host['entry-1']
            answers = await asyncio.gather(
                *(answer(host, request) for request in requests),
                return_exceptions=True,
            )
            ran = set()
            for engine in site.engines_by_id.values():
                ran |= set(engine.counters.prefills_by_request)
            refused = 0
            for request, reply in zip(requests, answers, strict=True):
                if isinstance(reply, OutcomeError):
                    refused += 1
                    assert reply.outcome is Outcome.POOL_SATURATED
                    assert reply.retry_after_s > 0
                    assert request.id not in ran
                else:
                    assert reply == whole(request)
            assert 0 < refused < 10

        run(scenario, Profile(patience_s=0.9))

    def test_bookings_run_once(self):
        async def scenario(site):
            requests = [booking() for _ in range(20)]
            hosts = list(site.routers_by_host.values())
            answers = await asyncio.gather(
                *(
                    hosts[number % 6].serve_plain(request)
                    for number, request in enumerate(requests)
                )
            )
            assert all(reply.status == 200 for reply in answers)
            await asyncio.sleep(1)
            with pytest.raises(OutcomeError) as refused:
                await hosts[3].serve_plain(requests[0])
            assert refused.value.outcome is Outcome.ALREADY_COMPLETED
            runs = [
                count
                for plain in site.plains_by_id.values()
                for count in plain.counters.executions_by_id.values()
            ]
            assert runs == [1] * 20

        run(scenario)

    def test_memory_is_free_after_the_caller_left(self):
        async def scenario(site):
            host = site.routers_by_host['entry-1']
            events = host.serve_language(language(1, 4000))
            await anext(events)
            await events.aclose()
            await asyncio.sleep(5)
            used = [
                engine.memory.total - engine.memory.free
                for engine in site.engines_by_id.values()
            ]
            assert used == [0] * 5

        run(scenario)


class TestHostLoss:
    """The loss of entry hosts."""

    def test_a_stream_is_resumed_at_another_host(self):
        async def scenario(site):
            request = language(2, 4000)
            first = site.routers_by_host['entry-1']
            events = first.serve_language(request)
            texts = []
            async for event in events:
                texts.extend(event.texts)
                if len(texts) >= 10:
                    break
            await site.kill_host('entry-1')
            await asyncio.sleep(1)
            again = language(2, 4000, resume_after=len(texts) - 1)
            second = site.routers_by_host['entry-2']
            async for event in second.serve_language(again):
                assert event.index == len(texts)
                texts.extend(event.texts)
            assert texts == whole(request)
            await asyncio.sleep(10)
            assert not any(
                engine.memory.total - engine.memory.free
                for engine in site.engines_by_id.values()
            )

        run(scenario)

    def test_a_refused_resumption_is_not_said_not_to_have_run(self):
        async def scenario(site):
            request = language(3, 4000)
            first = site.routers_by_host['entry-1']
            events = first.serve_language(request)
            received = await anext(events)
            await site.kill_host('entry-1')
            for number in range(3, 7):
                site.peers.cut('entry-2', f'entry-{number}')
            again = language(3, 4000, resume_after=len(received.texts) - 1)
            second = site.routers_by_host['entry-2']
            with pytest.raises(OutcomeError) as refused:
                await answer(second, again)
            assert outcome_class(refused.value.outcome) is not (
                OutcomeClass.NOT_RUN
            )
            await events.aclose()

        run(scenario)
