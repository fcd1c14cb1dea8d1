"""Tests of forwarded calls over HTTP and TCP."""

import asyncio

import aiohttp
import pytest
import uvloop

from mustardscale.endpoints.bounded_connections import MAX_OVERHEAD_BYTES
from mustardscale.forwarding.forwarding_endpoint import MAX_BODY_BYTES
from mustardscale.relay.answer_memory import AnswerLimits
from standins.endless_worker import ANSWERS, EndlessWorker
from standins.platform_plan import HOST
from standins.raw_worker import Ending, Framing, RawAnswer
from tests.platform_site import until
from tests.test_broken_answers import (
    BETWEEN,
    EVENTS,
    LONG_EVENTS,
    RawSite,
    read_answer,
)
from tests.test_endless_answers import SOCKET_BUFFER_BYTES

BIG_EVENTS = [b'id: %d\ndata: %b\n\n' % (n, b'x' * 120_000) for n in range(30)]


class RefusingConnector(aiohttp.TCPConnector):
    """Refuses each new connection; those that are open live on."""

    async def connect(self, req, traces, timeout):
        error = ConnectionRefusedError(111, 'refused')
        raise aiohttp.ClientConnectorError(req.connection_key, error)


class CutSite(RawSite):
    """A site whose first host has lost its links to the workers."""

    async def __aenter__(self):
        """Starts the stand-ins and three hosts, and cuts the first one off."""
        await super().__aenter__()
        for name in ('h1', 'h2'):
            await self.add_host(name)
        hosts = self.routers[0].blackboard.hosts_by_id
        await until(lambda: len([h for h in hosts.values() if h.forwards]) == 2)
        session = self.routers[0]._edges.connector._session
        self._stack.push_async_callback(session._connector.close)
        session._connector = RefusingConnector()
        for name in self.raw:
            client = self.routers[0]._clients.relay(name)
            assert await client._monitor.start_check(name)
        return self


def ask(answer, path='/once/x', slow_s=0.0):
    """Asks the cut host of a site with one worker of the path's service."""
    name = 'a1' if path.startswith(('/book', '/read')) else 'd1'

    async def main():
        async with CutSite(name) as site:
            site.raw[name].answers = [answer]
            return await read_answer(site, path, slow_s)

    return uvloop.run(main())


class TestAnswers:
    """Whole answers and broken ones that another host reads."""

    @pytest.mark.parametrize('framing', Framing)
    def test_whole_stream_arrives(self, framing):
        answer = RawAnswer(EVENTS, framing)
        assert ask(answer) == (200, b''.join(EVENTS), True)

    @pytest.mark.parametrize('ending', [Ending.RESET, Ending.GONE])
    @pytest.mark.parametrize('framing', Framing)
    def test_broken_stream_reaches_nobody_as_whole(self, framing, ending):
        answer = RawAnswer(EVENTS, framing, ending, BETWEEN)
        status, content, whole = ask(answer)
        assert (status, whole) == (200, False)
        assert b''.join(EVENTS).startswith(content)

    def test_caller_that_reads_slowly_gets_all(self):
        answer = RawAnswer(LONG_EVENTS, Framing.CHUNKED, gap_s=0.0)
        assert ask(answer, slow_s=0.2) == (200, b''.join(LONG_EVENTS), True)

    def test_events_larger_than_a_frame_arrive(self):
        answer = RawAnswer(
            BIG_EVENTS, Framing.CHUNKED, gap_s=0.0, in_one_burst=True
        )
        assert ask(answer) == (200, b''.join(BIG_EVENTS), True)

    @pytest.mark.parametrize('framing', Framing)
    def test_whole_plain_answer_arrives(self, framing):
        answer = RawAnswer([b'whole', b' body'], framing)
        assert ask(answer, '/book/x') == (200, b'whole body', True)

    @pytest.mark.parametrize('ending', [Ending.RESET, Ending.GONE])
    @pytest.mark.parametrize('framing', Framing)
    def test_broken_plain_answer_is_lost(self, framing, ending):
        answer = RawAnswer([b'whole', b' body'], framing, ending, 5)
        assert ask(answer, '/book/x')[0] == 502


class TestHostInBetween:
    """Ends of the host that reads the answer."""

    @pytest.mark.parametrize('framing', Framing)
    def test_its_end_does_not_look_like_the_end_of_the_answer(self, framing):
        async def main():
            async with CutSite('d1') as site:
                worker = site.raw['d1']
                worker.answers = [RawAnswer(EVENTS, framing, gap_s=0.4)]
                asking = asyncio.create_task(read_answer(site))
                await until(lambda: worker.ran)
                await asyncio.sleep(0.6)
                for router in site.routers[1:]:
                    if router.forward_server.open_calls:
                        await router._edges.transport.close()
                return await asking

        status, content, whole = uvloop.run(main())
        assert (status, whole) == (200, False)
        assert b''.join(EVENTS).startswith(content)


class TestBodies:
    """Requests' bodies."""

    @pytest.mark.parametrize(
        'size, status', [(MAX_BODY_BYTES, 200), (MAX_BODY_BYTES + 1, 503)]
    )
    def test_body_is_forwarded_or_truly_refused(self, size, status):
        async def main():
            async with CutSite('a1') as site:
                worker = site.raw['a1']
                worker.answers = [RawAnswer([b'ok'], Framing.LENGTH)]
                headers = {'Host': HOST, 'X-Request-Id': 'r1'}
                async with site.session.post(
                    site.url('/book/x'), headers=headers, data=b'x' * size
                ) as response:
                    return response.status, [
                        h['x-request-id'] for h in worker.ran
                    ]

        answered, ran = uvloop.run(main())
        assert answered == status
        assert ran == (['r1'] if status == 200 else [])


class EndlessCutSite(CutSite):
    """A cut site with one worker that sends without an end."""

    def __init__(self, kind):
        super().__init__('a1')
        self.endless = EndlessWorker(ANSWERS[kind])

    async def __aenter__(self):
        """Starts the site, and the endless worker in a sound one's place."""
        await super().__aenter__()
        self._stack.callback(self.endless.end)
        address = await self.endless.start()
        self.address_by_worker['a1'] = address
        self.list_worker('a1')
        for router in self.routers:
            endpoints = router.blackboard.endpoints_by_id
            await until(lambda e=endpoints: e['a1'].address == address)
        return self


class TestEndlessAnswers:
    """Endless answers that go through another host."""

    @pytest.mark.parametrize(
        'kind', ['fields', 'no length', 'chunk extension', 'trailer']
    )
    def test_they_are_closed_within_the_limits_of_both_hosts(self, kind):
        async def main():
            async with EndlessCutSite(kind) as site:
                statuses = await asyncio.gather(
                    *(
                        read_answer(site, '/book/x', request_id=f'r{number}')
                        for number in range(10)
                    )
                )
                async with asyncio.timeout(5.0):
                    while site.endless.open:  # noqa: ASYNC110
                        await asyncio.sleep(0.01)
                opened = [
                    router.forward_server.open_calls for router in site.routers
                ]
                return statuses, opened, site.endless.sent_by_connection

        statuses, opened, sent = uvloop.run(main())
        assert all(status >= 500 for status, _, _ in statuses)
        assert not any(opened)
        assert sent
        limits = AnswerLimits().per_answer_bytes + MAX_OVERHEAD_BYTES
        assert max(sent) <= limits + SOCKET_BUFFER_BYTES
