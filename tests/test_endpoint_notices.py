"""Tests of the leaving and busy notices of endpoints."""

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
from mustardscale.platform.worker_relay import (
    announces_leaving,
    parse_busy_s,
    parse_rate_limit,
)
from mustardscale.relay.endpoint_listener import (
    MAX_BUSY_S,
    EndpointListener,
)
from mustardscale.relay.plain_relay import PlainRelay
from mustardscale.relay.stream_relay import StreamRelay
from mustardscale.reporting.event_log import EventKind
from tests.platform_site import PlatformSite
from tests.relay_fakes import (
    SERVICE,
    STREAM,
    FakeAdmission,
    RelayBench,
    event,
    request_of,
    route_of,
)
from tests.virtual_time import virtual_time

ONCE = RequestKind.ONCE
# Time in which a limit of 50 requests a second leaves a permit, seconds.
PERMIT_WAIT_S = 0.1
USAGE = {'X-Token-Usage': '1000,500', 'X-Length-Hint': '300'}


class _Refusing:
    """A run method of a fake endpoint that refuses with a busy time."""

    def __init__(self, endpoint, seconds):
        self._endpoint = endpoint
        self._seconds = seconds

    async def __call__(self, call):
        self._endpoint.runs.append(call)
        self._endpoint.listener.record_busy(self._seconds)
        raise EndpointRefusedError('full')


def refuse(endpoint, seconds):
    endpoint.run = _Refusing(endpoint, seconds)


def leave(bench, name):
    EndpointListener(
        bench.board, bench.board.endpoints_by_id[name]
    ).record_leaving()


async def serve_plain(bench, name='r'):
    relay = PlainRelay(bench.context)
    return await relay.serve(request_of(name), route_of(ONCE), 'service')


class TestBusyPlain:
    """Plain endpoints that announce that they are busy."""

    @virtual_time
    async def test_nothing_is_sent_until_the_busy_time_is_over(self):
        bench = RelayBench(plain=('a', 'b'))
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
        bench = RelayBench(plain=('a', 'b'))
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
        bench = RelayBench(plain=('a',))
        entry = bench.board.endpoints_by_id['a']
        listener = EndpointListener(bench.board, entry)
        listener.record_busy(5.0)
        listener.record_busy(1.0)
        await asyncio.sleep(4.0)
        assert entry.busy(bench.context.now())

    @virtual_time
    async def test_busy_time_is_limited_to_the_maximum(self):
        bench = RelayBench(plain=('a',))
        entry = bench.board.endpoints_by_id['a']
        EndpointListener(bench.board, entry).record_busy(1e9)
        assert entry.busy(bench.context.now() + MAX_BUSY_S - 1)
        assert not entry.busy(bench.context.now() + MAX_BUSY_S + 1)


class TestBusyEngines:
    """Engines that announce that they are busy or leaving."""

    @virtual_time
    async def test_busy_engine_is_excluded_at_admission(self):
        bench = RelayBench(engines=('p', 'd', 'e'))
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
        assert [excluded for _, excluded, _ in admission.admit_calls] == [
            (),
            ('d', 'd'),
            ('d',),
        ]

    @virtual_time
    @pytest.mark.parametrize('notice', ['busy', 'leaving'])
    async def test_grant_of_an_engine_with_a_newer_notice_is_not_used(
        self, notice
    ):
        bench = RelayBench(engines=('p', 'd', 'e'))
        listener = EndpointListener(
            bench.board, bench.board.endpoints_by_id['d']
        )

        class NoticeDuringAdmission(FakeAdmission):
            async def admit(self, *args):
                if not self.admit_calls:
                    if notice == 'busy':
                        listener.record_busy(2.0)
                    else:
                        listener.record_leaving()
                return await super().admit(*args)

        admission = NoticeDuringAdmission([('p', 'd'), ('p', 'e')])
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
        assert (
            bench.context.budgets.compute_remaining('service', 1, now) >= 35.0
        )

    @virtual_time
    async def test_a_request_is_refused_at_once_when_all_are_busy(self):
        bench = RelayBench(engines=('d', 'e'))
        for name, seconds in (('d', 4.0), ('e', 2.5)):
            entry = bench.board.endpoints_by_id[name]
            EndpointListener(bench.board, entry).record_busy(seconds)
        relay = StreamRelay(bench.context, FakeAdmission([]))
        with pytest.raises(OutcomeError) as info:
            async with relay.serve(request_of(), route_of(STREAM), SERVICE):
                pass
        assert info.value.outcome is Outcome.POOL_SATURATED
        assert info.value.retry_after_s == pytest.approx(2.5, abs=0.01)


class TestStatedRateLimit:
    """What a host knows of the rate limit that an endpoint states."""

    @virtual_time
    async def test_limit_and_its_end_are_recorded_and_logged(self):
        bench = RelayBench(plain=('a',))
        entry = bench.board.endpoints_by_id['a']
        listener = EndpointListener(bench.board, entry)
        listener.record_rate_limit(None)
        assert entry.notice.rate_limit is None
        listener.record_rate_limit(1.7)
        await asyncio.sleep(2.0)
        listener.record_rate_limit(1.7)
        assert entry.notice.rate_limit.per_s == 1.7
        assert entry.notice.rate_limit.stated_at == bench.context.now()
        listener.record_rate_limit(None)
        assert not entry.notice.is_rate_limited
        changes = [
            (kind, inputs['limit_per_s'])
            for kind, _, _, inputs in bench.events.recorded
        ]
        assert changes == [
            (EventKind.RATE_LIMIT_CHANGED, 1.7),
            (EventKind.RATE_LIMIT_CHANGED, None),
        ]


class TestLeaving:
    """Endpoints that announce in an answer that they are leaving."""

    @virtual_time
    async def test_leaving_endpoint_gets_no_new_request(self):
        bench = RelayBench(plain=('a', 'b'))
        leave(bench, 'a')
        for number in range(20):
            await serve_plain(bench, f'r{number}')
        assert bench.endpoint('a').runs == []

    @virtual_time
    async def test_leaving_notice_sets_known_leaving(self):
        bench = RelayBench(plain=('a',))
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
    """A notice belongs to one process, not to an id or an address."""

    def controller(self):
        board = Blackboard('host', 1, 'dc', 'region')
        source = types.SimpleNamespace(
            regained_at=float('-inf'), version=1, take_passed=list
        )
        return board, HostListController(
            board, source, MembershipTimes(), random.Random(1)
        )

    @virtual_time
    async def test_notice_is_kept_when_an_entry_disappears_and_returns(self):
        board, controller = self.controller()
        controller.apply([listed()])
        listener = EndpointListener(board, board.endpoints_by_id['a'])
        listener.record_leaving()
        controller.apply([])
        assert not board.endpoints_by_id
        controller.apply([listed()])
        now = asyncio.get_running_loop().time()
        assert board.endpoints_by_id['a'].leaving(now)

    @virtual_time
    async def test_next_process_with_the_id_has_no_notice(self):
        board, controller = self.controller()
        controller.apply([listed(start=1)])
        listener = EndpointListener(board, board.endpoints_by_id['a'])
        controller.apply([listed(start=2)])
        listener.record_leaving()
        listener.record_busy(5.0)
        now = asyncio.get_running_loop().time()
        entry = board.endpoints_by_id['a']
        assert not entry.leaving(now)
        assert not entry.busy(now)
        assert not listener.matches_process(entry)

    def test_notices_of_past_processes_are_limited(self):
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
    """Notices read from the headers of answers."""

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
    def test_busy_time_of_a_header(self, text, seconds):
        assert parse_busy_s(answer_with(503, Retry_After=text)) == seconds

    @pytest.mark.parametrize('status', [200, 429, 500])
    def test_busy_time_is_ignored_without_a_503(self, status):
        assert parse_busy_s(answer_with(status, Retry_After='3')) == 0.0

    @pytest.mark.parametrize(
        ('text', 'leaving'), [('1', True), ('0', False), ('', False)]
    )
    def test_leaving_header(self, text, leaving):
        assert (
            announces_leaving(answer_with(200, Server_Leaving=text)) is leaving
        )

    @pytest.mark.parametrize(
        ('text', 'per_s'),
        [
            ('1.7', 1.7),
            (' 20 ', 20.0),
            ('0', 0.0),
            ('-1', None),
            ('1e3', None),
            ('nan', None),
            ('9' * 400, None),
            ('1,7', None),
            ('', None),
        ],
    )
    def test_rate_limit_of_a_header(self, text, per_s):
        answer = answer_with(200, Server_Limit=text)
        assert parse_rate_limit(answer) == per_s


def run(scenario):
    """Runs a scenario with a site of one host."""

    async def main():
        async with PlatformSite() as site:
            await site.add_host('h0')
            await scenario(site)

    uvloop.run(main())


class TestWholePath:
    """Leaving and busy over real connections, with the platform stand-ins."""

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

    def test_busy_worker_gets_no_request(self):
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

    def test_busy_time_of_workers_is_passed_on(self):
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

    def test_notice_of_another_worker_at_the_address_is_ignored(self):
        async def scenario(site):
            site.workers['a1'].instance = 'other'
            site.workers['a1'].faults.leaving = True
            status, _, _ = await site.ask('/book/x', 'r0')
            assert status == 200
            entry = site.routers[0].blackboard.endpoints_by_id['a1']
            assert not entry.notice.leaving

        run(scenario)

    def test_a_stated_limit_is_known_until_an_answer_lacks_it(self):
        async def scenario(site):
            worker = site.workers['a1']
            site.workers['a2'].faults.full = True
            notice = site.routers[0].blackboard.endpoints_by_id['a1'].notice
            worker.faults.limit = '50'
            status, headers, _ = await site.ask('/book/x', 'r0')
            assert (status, headers['Server-Limit']) == (200, '50')
            assert notice.rate_limit.per_s == 50.0
            worker.faults.limit = 'many'
            await asyncio.sleep(PERMIT_WAIT_S)
            await site.ask('/book/x', 'r1')
            assert notice.rate_limit.per_s == 50.0
            worker.faults.limit = ''
            await asyncio.sleep(PERMIT_WAIT_S)
            await site.ask('/book/x', 'r2')
            assert not notice.is_rate_limited

        run(scenario)

    def test_an_engine_states_its_limit_in_answers_of_both_stages(self):
        async def scenario(site):
            for name in ('p1', 'd1', 'd2'):
                site.workers[name].faults.limit = '50'
            # The prompt is too long for a local prefill on a decode engine.
            usage = USAGE | {'X-Token-Usage': '8000,500'}
            status, _, _ = await site.ask('/once/x', 's0', headers=usage)
            assert status == 200
            entries = site.routers[0].blackboard.endpoints_by_id
            limited = {k for k, e in entries.items() if e.notice.rate_limit}
            assert 'p1' in limited
            assert limited & {'d1', 'd2'}

        run(scenario)
