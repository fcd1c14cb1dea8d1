"""Tests of what endpoints say of themselves: that they leave, or are busy."""

import asyncio
import random
import types

import pytest
import uvloop

from mustardscale.blackboard import Blackboard
from mustardscale.configuration.routes import RequestKind
from mustardscale.endpoints.endpoint_notices import (
    MAX_UNLISTED,
    EndpointNotices,
)
from mustardscale.exceptions import EndpointRefusedError, OutcomeError
from mustardscale.hosts.host_list import ListedHost, ListedKind
from mustardscale.hosts.host_list_controller import HostListController
from mustardscale.hosts.membership import MembershipTimes
from mustardscale.outcomes import Outcome
from mustardscale.platform.worker_relay import busy_time_s, is_leaving
from mustardscale.relay.endpoint_listener import (
    LONGEST_BUSY_S,
    EndpointListener,
)
from mustardscale.relay.plain_relay import PlainRelay
from mustardscale.relay.stream_relay import StreamRelay
from tests.platform_site import PlatformSite
from tests.relay_fakes import (
    SERVICE,
    STREAM,
    Bench,
    FakeAdmission,
    event,
    request_of,
    route_of,
)
from tests.virtual_time import virtual_time

ONCE = RequestKind.ONCE
USAGE = {'X-Token-Usage': '1000,500', 'X-Length-Hint': '300'}


class _Refusing:
    """Makes every run of a fake refuse with a time."""

    def __init__(self, endpoint, seconds):
        self._endpoint = endpoint
        self._seconds = seconds

    async def __call__(self, call):
        self._endpoint.runs.append(call)
        self._endpoint.listener.busy(self._seconds)
        raise EndpointRefusedError('full')


def refuse(endpoint, seconds):
    endpoint.run = _Refusing(endpoint, seconds)


def leave(bench, name):
    EndpointListener(bench.board, bench.board.endpoints_by_id[name]).leaving()


async def serve_plain(bench, name='r'):
    relay = PlainRelay(bench.context)
    return await relay.serve(request_of(name), route_of(ONCE), 'service')


class TestBusyPlain:
    """Plain endpoints that ask to be left alone."""

    @virtual_time
    async def test_nothing_is_sent_until_the_time_is_over(self):
        bench = Bench(plain=('a', 'b'))
        refuse(bench.endpoint('a'), 3.0)
        for number in range(40):
            await serve_plain(bench, f'r{number}')
        assert len(bench.endpoint('a').runs) == 1
        assert len(bench.endpoint('b').runs) == 40
        await asyncio.sleep(3.1)
        for number in range(40):
            await serve_plain(bench, f's{number}')
        assert len(bench.endpoint('a').runs) == 2

    @virtual_time
    async def test_a_request_is_refused_at_once_when_all_are_busy(self):
        bench = Bench(plain=('a', 'b'))
        refuse(bench.endpoint('a'), 5.0)
        refuse(bench.endpoint('b'), 2.0)
        with pytest.raises(OutcomeError) as first:
            await serve_plain(bench)
        await asyncio.sleep(0.5)
        with pytest.raises(OutcomeError) as second:
            await serve_plain(bench, 'r2')
        assert first.value.outcome is Outcome.POOL_SATURATED
        assert first.value.retry_after_s == pytest.approx(2.0, abs=0.01)
        assert second.value.retry_after_s == pytest.approx(1.5, abs=0.01)
        assert len(bench.endpoint('a').runs) == 1
        assert len(bench.endpoint('b').runs) == 1

    @virtual_time
    async def test_a_shorter_time_does_not_end_a_longer_one(self):
        bench = Bench(plain=('a',))
        entry = bench.board.endpoints_by_id['a']
        listener = EndpointListener(bench.board, entry)
        listener.busy(5.0)
        listener.busy(1.0)
        await asyncio.sleep(4.0)
        assert entry.busy(bench.context.now())

    @virtual_time
    async def test_a_huge_time_is_bounded(self):
        bench = Bench(plain=('a',))
        entry = bench.board.endpoints_by_id['a']
        EndpointListener(bench.board, entry).busy(1e9)
        assert entry.busy(bench.context.now() + LONGEST_BUSY_S - 1)
        assert not entry.busy(bench.context.now() + LONGEST_BUSY_S + 1)


class TestBusyEngines:
    """Engines that ask to be left alone."""

    @virtual_time
    async def test_the_owner_is_asked_for_others(self):
        bench = Bench(engines=('p', 'd', 'e'))
        admission = FakeAdmission([('p', 'd'), ('p', 'e'), ('p', 'e')])
        relay = StreamRelay(bench.context, admission)
        refuse(bench.endpoint('d'), 3.0)
        bench.endpoint('e').run_script = [[event(1)], [event(1)]]
        for name in ('r1', 'r2'):
            request = request_of(name)
            async with relay.serve(
                request, route_of(STREAM), SERVICE
            ) as stream:
                async for _ in stream.events():
                    pass
        assert len(bench.endpoint('d').runs) == 1
        assert [excluded for _, excluded, _ in admission.asked] == [
            (),
            ('d', 'd'),
            ('d',),
        ]

    @virtual_time
    @pytest.mark.parametrize('word', ['busy', 'leaving'])
    async def test_a_grant_made_before_is_given_back(self, word):
        bench = Bench(engines=('p', 'd', 'e'))
        listener = EndpointListener(
            bench.board, bench.board.endpoints_by_id['d']
        )

        class Late(FakeAdmission):
            async def admit(self, *args):
                if not self.asked:
                    if word == 'busy':
                        listener.busy(2.0)
                    else:
                        listener.leaving()
                return await super().admit(*args)

        admission = Late([('p', 'd'), ('p', 'e')])
        relay = StreamRelay(bench.context, admission)
        bench.endpoint('e').run_script = [[event(1)]]
        async with relay.serve(
            request_of(), route_of(STREAM), SERVICE
        ) as stream:
            async for _ in stream.events():
                pass
        assert bench.endpoint('d').runs == []
        assert len(bench.endpoint('p').prefills) == 1
        now = bench.context.now()
        assert bench.context.budgets.left('service', 1, now) >= 35.0

    @virtual_time
    async def test_a_request_is_refused_at_once_when_all_are_busy(self):
        bench = Bench(engines=('d', 'e'))
        for name, seconds in (('d', 4.0), ('e', 2.5)):
            entry = bench.board.endpoints_by_id[name]
            EndpointListener(bench.board, entry).busy(seconds)
        relay = StreamRelay(bench.context, FakeAdmission([]))
        with pytest.raises(OutcomeError) as info:
            async with relay.serve(request_of(), route_of(STREAM), SERVICE):
                pass
        assert info.value.outcome is Outcome.POOL_SATURATED
        assert info.value.retry_after_s == pytest.approx(2.5, abs=0.01)


class TestLeaving:
    """Endpoints that say in an answer that they leave."""

    @virtual_time
    async def test_nothing_new_is_sent(self):
        bench = Bench(plain=('a', 'b'))
        leave(bench, 'a')
        for number in range(20):
            await serve_plain(bench, f'r{number}')
        assert bench.endpoint('a').runs == []

    @virtual_time
    async def test_it_is_told_to_the_peers(self):
        bench = Bench(plain=('a',))
        leave(bench, 'a')
        entry = bench.board.endpoints_by_id['a']
        assert entry.known_leaving(bench.context.now())


def listed(start=1, address='10.0.0.1:1', leaving=False):
    return ListedHost(
        'a',
        ListedKind.PLAIN,
        address,
        'dc',
        'region',
        leaving,
        'service',
        start=start,
    )


class TestProcess:
    """A notice is of one process, not of an id or an address."""

    def controller(self):
        board = Blackboard('host', 1, 'dc', 'region')
        source = types.SimpleNamespace(regained_at=float('-inf'), version=1)
        return board, HostListController(
            board, source, MembershipTimes(), random.Random(1)
        )

    @virtual_time
    async def test_it_holds_when_an_entry_lapses_and_comes_back(self):
        board, controller = self.controller()
        controller.apply([listed()])
        listener = EndpointListener(board, board.endpoints_by_id['a'])
        listener.leaving()
        controller.apply([])
        assert not board.endpoints_by_id
        controller.apply([listed()])
        now = asyncio.get_running_loop().time()
        assert board.endpoints_by_id['a'].leaving(now)

    @virtual_time
    async def test_the_next_process_with_the_id_starts_without_one(self):
        board, controller = self.controller()
        controller.apply([listed(start=1)])
        listener = EndpointListener(board, board.endpoints_by_id['a'])
        controller.apply([listed(start=2)])
        listener.leaving()
        listener.busy(5.0)
        now = asyncio.get_running_loop().time()
        entry = board.endpoints_by_id['a']
        assert not entry.leaving(now)
        assert not entry.busy(now)
        assert not listener.hears(entry)

    def test_those_of_processes_that_are_gone_are_bounded(self):
        notices = EndpointNotices()
        for number in range(MAX_UNLISTED + 1):
            notices.get_or_create(f'e{number}', 1).leaving = True
            notices.mark_unlisted(f'e{number}', 0.0)
        assert not notices.get_or_create('e0', 1).leaving
        assert notices.get_or_create('e1', 1).leaving


def answer_with(status, **headers):
    named = {name.replace('_', '-'): value for name, value in headers.items()}
    return types.SimpleNamespace(status=status, headers=named)


class TestHeaders:
    """What is read from the heads of answers."""

    @pytest.mark.parametrize(
        ('text', 'seconds'),
        [
            ('3', 3.0),
            ('0.25', 0.25),
            (' 7.1 ', 7.1),
            ('0', 0.0),
            ('-1', 0.0),
            ('1e3', 0.0),
            ('nan', 0.0),
            ('inf', 0.0),
            ('9' * 400, 0.0),
            ('\u0663', 0.0),
            ('Fri, 04 Dec 2026 09:00:00 GMT', 0.0),
            ('', 0.0),
        ],
    )
    def test_times(self, text, seconds):
        assert busy_time_s(answer_with(503, Retry_After=text)) == seconds

    @pytest.mark.parametrize('status', [200, 429, 500])
    def test_a_time_counts_with_a_refusal_only(self, status):
        assert busy_time_s(answer_with(status, Retry_After='3')) == 0.0

    @pytest.mark.parametrize(
        ('text', 'leaving'), [('1', True), ('0', False), ('', False)]
    )
    def test_leaving(self, text, leaving):
        assert is_leaving(answer_with(200, Server_Leaving=text)) is leaving


def run(scenario):
    """Runs a scenario with a site of one host."""

    async def main():
        async with PlatformSite() as site:
            await site.add_host('h0')
            await scenario(site)

    uvloop.run(main())


class TestWholePath:
    """Both over real connections, with the stand-ins of the platform."""

    def test_a_leaving_worker_gets_nothing_after_its_first_answer(self):
        async def scenario(site):
            leaving, other = site.workers['a1'], site.workers['a2']
            leaving.faults.leaving = True
            other.faults.full = True
            status, _, _ = await site.ask('/book/x', 'r0')
            assert (status, leaving.ran) == (200, ['r0'])
            status, headers, _ = await site.ask('/book/x', 'r1')
            assert status in (429, 503)
            assert float(headers['Retry-After']) > 0
            assert leaving.ran == ['r0']

        run(scenario)

    def test_a_leaving_engine_gets_no_new_stream(self):
        async def scenario(site):
            site.workers['d1'].faults.leaving = True
            for number in range(12):
                status, _, _ = await site.ask(
                    '/once/x', f's{number}', headers=USAGE
                )
                assert status == 200
            assert len(site.workers['d1'].ran) <= 1

        run(scenario)

    def test_a_busy_worker_is_left_alone(self):
        async def scenario(site):
            busy, other = site.workers['a1'], site.workers['a2']
            busy.faults.full = other.faults.full = True
            busy.faults.busy_s = '30'
            status, _, _ = await site.ask('/book/x', 'r0')
            assert status in (429, 503)
            for number in range(1, 10):
                await site.ask('/book/x', f'r{number}')
            assert list(busy.headers) == ['r0']
            assert len(other.headers) == 10

        run(scenario)

    def test_the_time_of_busy_workers_is_passed_on(self):
        async def scenario(site):
            for name in ('a1', 'a2'):
                site.workers[name].faults.full = True
                site.workers[name].faults.busy_s = '7.5'
            _, headers, _ = await site.ask('/book/x', 'r0')
            assert 7 < float(headers['Retry-After']) <= 7.5
            status, headers, _ = await site.ask('/book/x', 'r1')
            assert status in (429, 503)
            assert 7 < float(headers['Retry-After']) <= 7.5
            assert 'r1' not in site.workers['a1'].headers
            assert 'r1' not in site.workers['a2'].headers

        run(scenario)

    def test_the_word_of_another_worker_at_the_address_is_not_taken(self):
        async def scenario(site):
            site.workers['a1'].instance = 'other'
            site.workers['a1'].faults.leaving = True
            status, _, _ = await site.ask('/book/x', 'r0')
            assert status == 200
            entry = site.routers[0].blackboard.endpoints_by_id['a1']
            assert not entry.notice.leaving

        run(scenario)
