"""Tests of endpoints that limit the rate of requests from all hosts."""

import asyncio
import random

import pytest

from mustardscale.blackboard import Blackboard, EndpointEntry, HostEntry
from mustardscale.endpoints.endpoint_notices import RateLimit
from mustardscale.exceptions import OutcomeError
from mustardscale.hosts.host_list import ListedKind
from mustardscale.hosts.stated_limits import (
    STATED_AT_ERROR_S,
    TELL_S,
    StatedLimits,
    merge_statement,
)
from mustardscale.outcomes import Outcome
from mustardscale.peers.peer_calls import PeerCalls
from mustardscale.peers.rate_limit_messages import (
    NO_LIMIT,
    PermitReply,
    PermitRequest,
    RateLimitStatement,
)
from mustardscale.rate_limits import owner_calls
from mustardscale.rate_limits.owner_calls import (
    CALL_TIMEOUT_S,
    PERMIT_VALID_S,
)
from mustardscale.rate_limits.permit_owner import (
    HANDOVER_S,
    MIN_RATE_PER_S,
    OwnedLimit,
    PermitOwners,
    compute_burst,
)
from mustardscale.rate_limits.permits import SHARE_WITHOUT_OWNER, Permits
from mustardscale.relay.endpoint_listener import EndpointListener
from mustardscale.relay.stream_attempts import MAX_REFUSALS
from mustardscale.relay.stream_relay import StreamRelay
from mustardscale.reporting.event_log import EventKind
from mustardscale.reporting.metrics import Metrics
from standins.host_fleet import even
from standins.limit_runs import play_seed
from standins.limited_arrivals import STABLE_S
from standins.limited_fleet import LimitedFleet
from tests.relay_fakes import (
    SERVICE,
    STREAM,
    FakeAdmission,
    RecordingEventLog,
    RelayBench,
    event,
    request_of,
    route_of,
)
from tests.virtual_time import virtual_time

LIMIT_PER_S = 1.7
# Requests a second to all hosts, three times what four endpoints allow.
LOAD_PER_S = 20.0
# Time after which a refusal does not count as immediate any more, seconds.
AT_ONCE_S = 0.1


async def start_fleet(hosts, endpoints=4, seed=1):
    fleet = LimitedFleet(hosts, endpoints, seed)
    await fleet.start()
    return fleet


def limit_all(fleet, per_s=LIMIT_PER_S):
    for endpoint in fleet.endpoint_by_id.values():
        endpoint.arrivals.state_limit(per_s)


class TestSumOverTheFleet:
    """What all hosts together send to an endpoint that states a limit."""

    @virtual_time
    async def test_fleet_exceeds_the_limit_of_one_endpoint(self):
        fleet = await start_fleet(6)
        fleet.endpoint_by_id['e1'].arrivals.state_limit(LIMIT_PER_S)
        await fleet.load(LOAD_PER_S, 15.0, even(fleet.router_by_host))
        await fleet.stop()
        assert fleet.violations() == []

    @virtual_time
    @pytest.mark.parametrize('hosts', [6, 195])
    async def test_fleet_exceeds_the_limits_of_all_endpoints(self, hosts):
        fleet = await start_fleet(hosts)
        limit_all(fleet)
        await fleet.load(LOAD_PER_S, 10.0, even(fleet.router_by_host))
        await fleet.stop()
        assert fleet.violations() == []

    @virtual_time
    async def test_hosts_that_were_not_told_exceed_the_limit(self):
        fleet = await start_fleet(40)
        endpoint = fleet.endpoint_by_id['e1']
        endpoint.arrivals.state_limit(LIMIT_PER_S)
        first = next(iter(fleet.router_by_host))
        await fleet.load(LOAD_PER_S, STABLE_S, {first: 1.0})
        hosts = set(fleet.router_by_host)
        told = {
            host
            for host, router in fleet.router_by_host.items()
            if router.blackboard.endpoints_by_id['e1'].notice.is_rate_limited
        }
        others = even(fleet.router_by_host)
        del others[first]
        await fleet.load(4 * LOAD_PER_S, 10.0, others)
        await fleet.stop()
        assert told == hosts
        assert fleet.violations() == []

    @pytest.mark.parametrize('seed', [3, 9, 12])
    def test_fleet_exceeds_a_limit_under_faults(self, seed):
        play_seed(seed, hosts=6)

    def test_fleet_with_hubs_exceeds_a_limit_under_faults(self):
        play_seed(101, hosts=20)


class TestUseOfTheLimit:
    """Capacity that a limit leaves, and what becomes of other requests."""

    @virtual_time
    @pytest.mark.parametrize('hosts', [6, 40])
    @pytest.mark.parametrize('is_skewed', [False, True])
    async def test_capacity_that_the_limit_leaves_is_used(
        self, hosts, is_skewed
    ):
        fleet = await start_fleet(hosts, endpoints=1)
        limit_all(fleet, 5.0)
        shares = even(fleet.router_by_host)
        if is_skewed:
            shares['h002'] = 1e6
        await fleet.load(LOAD_PER_S, 20.0, shares)
        arrivals = fleet.endpoint_by_id['e1'].arrivals
        now = asyncio.get_running_loop().time()
        assert arrivals.count_between(now - 10.0, now) >= 0.85 * 5.0 * 10.0
        await fleet.stop()
        assert fleet.violations() == []

    @virtual_time
    async def test_requests_beyond_a_limit_go_to_other_endpoints(self):
        fleet = await start_fleet(6)
        fleet.endpoint_by_id['e1'].arrivals.state_limit(LIMIT_PER_S)
        await fleet.load(LOAD_PER_S, 10.0, even(fleet.router_by_host))
        await fleet.stop()
        outcomes = {record.outcome for record in fleet.records}
        assert outcomes == {Outcome.COMPLETE}

    @virtual_time
    async def test_what_no_endpoint_takes_is_refused_at_once(self):
        fleet = await start_fleet(6)
        limit_all(fleet)
        begins_at = asyncio.get_running_loop().time()
        await fleet.load(LOAD_PER_S, 12.0, even(fleet.router_by_host))
        await fleet.stop()
        refused = [
            record
            for record in fleet.records
            if record.outcome is not Outcome.COMPLETE
        ]
        assert refused
        assert {r.outcome for r in refused} == {Outcome.POOL_SATURATED}
        assert max(r.ended_at - r.sent_at for r in refused) < AT_ONCE_S
        # Callers that come back when they are told to come at the rate that
        # the endpoints take.
        returns = sorted(r.ended_at + r.retry_after_s for r in refused)
        taken_per_s = LIMIT_PER_S * len(fleet.endpoint_by_id)
        spread_s = returns[-1] - begins_at
        assert len(refused) <= 1.5 * taken_per_s * spread_s

    @virtual_time
    async def test_a_refusal_is_logged_with_the_limits_and_their_ages(self):
        fleet = await start_fleet(6, endpoints=2)
        events = RecordingEventLog()
        fleet.router_by_host['h001'].blackboard.events = events
        limit_all(fleet)
        await fleet.load(LOAD_PER_S, 6.0, even(fleet.router_by_host))
        await fleet.stop()
        refusals = [
            inputs['rate_limits']
            for kind, _, _, inputs in events.recorded
            if kind is EventKind.REQUEST_REFUSED
        ]
        assert refusals
        for limit in refusals[-1].values():
            assert limit['per_s'] == LIMIT_PER_S
            assert 0 <= limit['age_s'] < STABLE_S
        assert set(refusals[-1]) == set(fleet.endpoint_by_id)

    @virtual_time
    async def test_an_ended_limit_limits_nothing(self):
        fleet = await start_fleet(6, endpoints=1)
        limit_all(fleet)
        await fleet.load(LOAD_PER_S, 6.0, even(fleet.router_by_host))
        limit_all(fleet, None)
        await fleet.load(LOAD_PER_S, 2.0, even(fleet.router_by_host))
        ended_at = asyncio.get_running_loop().time()
        await fleet.load(LOAD_PER_S, 4.0, even(fleet.router_by_host))
        await fleet.stop()
        late = [r for r in fleet.records if r.sent_at > ended_at]
        assert {record.outcome for record in late} == {Outcome.COMPLETE}

    @virtual_time
    async def test_a_limit_of_zero_ends_too(self):
        fleet = await start_fleet(6, endpoints=1)
        limit_all(fleet, 0.0)
        await fleet.load(LOAD_PER_S, 20.0, even(fleet.router_by_host))
        limit_all(fleet, None)
        await fleet.load(LOAD_PER_S, 2.0 / MIN_RATE_PER_S, {'h001': 1.0})
        begins_at = asyncio.get_running_loop().time()
        await fleet.load(LOAD_PER_S, 1.0, {'h001': 1.0})
        await fleet.stop()
        late = [r for r in fleet.records if r.sent_at > begins_at]
        assert {record.outcome for record in late} == {Outcome.COMPLETE}
        assert fleet.violations() == []


class TestOwnedLimit:
    """The permits of one limit at its owner."""

    def limit(self, per_s=2.0, learnt_at=0.0):
        return RateLimit(per_s, learnt_at, learnt_at)

    def test_permits_come_at_the_rate_of_the_limit(self):
        limit = self.limit()
        owned = OwnedLimit(1, limit, 0.0)
        granted = sum(
            owned.grant(limit, 3, step / 10).granted for step in range(101)
        )
        assert granted == 20

    def test_no_more_than_the_burst_is_granted_after_a_pause(self):
        limit = self.limit()
        owned = OwnedLimit(1, limit, 0.0)
        reply = owned.grant(limit, 100, 60.0)
        assert reply.granted == compute_burst(2.0)
        assert reply.wait_s == pytest.approx(0.5)

    def test_a_new_owner_grants_nothing_while_others_may_ask_the_last(self):
        limit = self.limit(learnt_at=-10.0)
        owned = OwnedLimit(1, limit, 0.0)
        reply = owned.grant(limit, 1, 0.9 * HANDOVER_S)
        assert (reply.granted, reply.available) == (0, True)
        assert reply.wait_s == pytest.approx(0.1 * HANDOVER_S)
        assert owned.grant(limit, 1, HANDOVER_S).granted == 1

    def test_a_changed_limit_holds_at_once(self):
        owned = OwnedLimit(1, self.limit(20.0), 0.0)
        lower = self.limit(1.0)
        granted = sum(
            owned.grant(lower, 9, 1.0 + step / 10).granted
            for step in range(101)
        )
        assert granted <= compute_burst(1.0) + 10

    def test_backlog_of_refused_requests_drains_at_the_limit(self):
        limit = self.limit()
        owned = OwnedLimit(1, limit, 0.0)
        owned.add_refused(10, 0.0)
        assert owned.grant(limit, 0, 0.0).backlog_s == pytest.approx(5.0)
        assert owned.grant(limit, 0, 4.0).backlog_s == pytest.approx(1.0)
        assert owned.grant(limit, 0, 9.0).backlog_s == 0.0


class _Site:
    """One host with one limited endpoint, and an owner by a script."""

    def __init__(self, reply, reply_after_s=0.0):
        self.board = Blackboard('host', 1, 'dc', 'region')
        self.board.events = self.events = RecordingEventLog()
        self.board.quorum_at = float('inf')
        self.entry = EndpointEntry(
            'a', ListedKind.PLAIN, 'a:1', 'dc', 'region', 'service'
        )
        self.board.endpoints_by_id['a'] = self.entry
        self.requests = []
        self._reply = reply
        self._reply_after_s = reply_after_s
        calls = PeerCalls(self.board, None)
        calls.handle(PermitRequest, self._on_request)
        self.metrics = Metrics()
        self.owners = PermitOwners(self.board)
        self.permits = Permits(
            self.board,
            calls,
            self.owners,
            self.metrics,
            random.Random(1),
        )

    async def _on_request(self, sender, request):
        self.requests.append(request)
        await asyncio.sleep(self._reply_after_s)
        return self._reply

    def state_limit(self, per_s):
        EndpointListener(self.board, self.entry).record_rate_limit(per_s)


class TestPermits:
    """How a host asks for permits and uses them."""

    @virtual_time
    async def test_an_endpoint_without_a_limit_needs_none(self):
        site = _Site(PermitReply(False))
        assert await site.permits.acquire('a', 'r')
        assert site.requests == []

    @virtual_time
    async def test_requests_that_wait_are_asked_for_together(self):
        site = _Site(PermitReply(True, 2, 5.0, 0.0, 0.2), 0.01)
        site.state_limit(5.0)
        results = await asyncio.gather(
            *(site.permits.acquire('a', f'r{n}') for n in range(4))
        )
        assert [request.permits for request in site.requests] == [4]
        assert sum(results) == 2

    @virtual_time
    async def test_without_a_permit_the_endpoint_is_closed_for_a_time(self):
        site = _Site(PermitReply(True, 0, 5.0, 0.0, wait_s=0.2))
        site.state_limit(5.0)
        loop = asyncio.get_running_loop()
        assert not await site.permits.acquire('a', 'r')
        assert not await site.permits.acquire('a', 'r2')
        assert len(site.requests) == 1
        assert site.entry.busy(loop.time() + 0.19)
        assert not site.entry.busy(loop.time() + 0.21)

    @virtual_time
    async def test_a_permit_that_came_late_is_used_after_a_pause(
        self, monkeypatch
    ):
        monkeypatch.setattr(owner_calls, 'CALL_TIMEOUT_S', 60.0)
        site = _Site(PermitReply(True, 1, 5.0), PERMIT_VALID_S + 0.01)
        site.state_limit(5.0)
        assert not await site.permits.acquire('a', 'r')

    @virtual_time
    async def test_a_permit_is_used_after_the_machine_was_suspended(
        self, monkeypatch
    ):
        suspensions = iter([0.0, 4.0])
        monkeypatch.setattr(
            owner_calls, 'suspended_s', lambda: next(suspensions)
        )
        site = _Site(PermitReply(True, 1, 5.0))
        site.state_limit(5.0)
        assert not await site.permits.acquire('a', 'r')

    @virtual_time
    @pytest.mark.parametrize('hosts', [1, 6, 195])
    async def test_without_an_owner_a_host_uses_its_share(self, hosts):
        site = _Site(PermitReply(False))
        for number in range(1, hosts):
            name = f'h{number}'
            site.board.hosts_by_id[name] = HostEntry(name, f'{name}:1', 'dc')
        site.state_limit(6.0)
        granted, seconds = 0, 1_000
        for _ in range(20 * seconds):
            granted += await site.permits.acquire('a', 'r')
            await asyncio.sleep(0.05)
        share = SHARE_WITHOUT_OWNER * 6.0 * seconds / hosts
        assert 0.9 * share - 1 <= granted <= share + 1

    @virtual_time
    async def test_an_owner_that_does_not_answer_delays_few_requests(self):
        site = _Site(PermitReply(True, 1, 5.0), reply_after_s=60.0)
        site.state_limit(5.0)
        loop = asyncio.get_running_loop()
        begins_at = loop.time()
        await site.permits.acquire('a', 'r')
        assert loop.time() - begins_at == pytest.approx(CALL_TIMEOUT_S)
        begins_at = loop.time()
        await site.permits.acquire('a', 'r2')
        assert loop.time() == begins_at
        assert site.metrics.counter_by_name['permit_calls_failed'] == 1

    @virtual_time
    async def test_a_host_of_an_earlier_version_is_asked_for_permits(self):
        site = _Site(PermitReply(True, 1, 5.0))
        site.state_limit(5.0)
        for number in range(20):
            site.board.hosts_by_id[f'h{number}'] = HostEntry(
                f'h{number}', 'x:1', 'dc', silent=False, grants_permits=False
            )
        owner = site.owners.find(site.entry)
        assert owner != 'host'
        assert not await site.permits.acquire('a', 'r')
        assert site.requests == []
        assert 'permit_calls_failed' not in site.metrics.counter_by_name

    @virtual_time
    async def test_a_failure_refuses_and_ends_no_request(self):
        site = _Site(None)
        site.state_limit(5.0)
        assert not await site.permits.acquire('a', 'r')

    @virtual_time
    async def test_the_owner_tells_that_the_limit_has_ended(self):
        site = _Site(PermitReply(True, 1, NO_LIMIT, 0.0))
        site.state_limit(5.0)
        await asyncio.sleep(1.0)
        assert await site.permits.acquire('a', 'r')
        assert not site.entry.notice.is_rate_limited

    @virtual_time
    async def test_each_decision_is_logged_with_the_limit_and_its_age(self):
        site = _Site(PermitReply(True, 0, 5.0, 2.0, wait_s=0.2))
        site.state_limit(5.0)
        await asyncio.sleep(2.0)
        await site.permits.acquire('a', 'r')
        kind, request_id, _, inputs = site.events.recorded[-1]
        assert (kind, request_id) == (EventKind.PERMIT_DECIDED, 'r')
        assert inputs == {
            'endpoint': 'a',
            'granted': False,
            'source': 'owner',
            'owner': 'host',
            'limit_per_s': 5.0,
            'limit_age_s': pytest.approx(2.0),
            'first_hand': True,
            'share_per_s': 2.5,
            'wait_s': pytest.approx(0.2),
        }

    @virtual_time
    async def test_a_changed_limit_is_reported_to_its_owner_at_once(self):
        site = _Site(PermitReply(True, 0, 5.0))
        running = asyncio.create_task(site.permits.run())
        await asyncio.sleep(1.0)
        site.state_limit(5.0)
        await asyncio.sleep(0.01)
        running.cancel()
        [request] = site.requests
        assert (request.permits, request.statement.per_s) == (0, 5.0)
        assert request.statement.first_hand


class TestEngines:
    """Streams to engines that state a limit."""

    @virtual_time
    async def test_a_stream_is_sent_without_a_permit(self):
        bench = RelayBench(engines=('p', 'd', 'e'))
        bench.board.quorum_at = float('inf')
        entry = bench.board.endpoints_by_id['d']
        EndpointListener(bench.board, entry).record_rate_limit(MIN_RATE_PER_S)
        admission = FakeAdmission([('p', 'd'), ('p', 'e')])
        relay = StreamRelay(bench.context, admission)
        bench.endpoint('e').run_script = [[event(1)]]
        async with relay.serve(
            request_of(), route_of(STREAM), SERVICE
        ) as stream:
            async for _ in stream.events():
                pass
        assert bench.endpoint('d').runs == []
        assert len(bench.endpoint('p').prefills) == 1
        assert admission.admit_calls[1][1] == ('d',)

    @virtual_time
    async def test_engines_without_permits_refuse_at_once(self):
        bench = RelayBench(engines=('d', 'e'))
        bench.board.quorum_at = float('inf')
        for name in ('d', 'e'):
            entry = bench.board.endpoints_by_id[name]
            EndpointListener(bench.board, entry).record_rate_limit(0.5)
        relay = StreamRelay(
            bench.context, FakeAdmission([('d', 'd'), ('e', 'e')])
        )
        with pytest.raises(OutcomeError) as info:
            async with relay.serve(request_of(), route_of(STREAM), SERVICE):
                pass
        assert info.value.outcome is Outcome.POOL_SATURATED
        assert info.value.retry_after_s == pytest.approx(2.0, abs=0.05)
        assert bench.endpoint('d').runs == bench.endpoint('e').runs == []

    @virtual_time
    async def test_engines_that_close_after_each_grant_refuse_truthfully(self):
        bench = RelayBench(engines=('d', 'e'))

        class ClosingAdmission(FakeAdmission):
            async def admit(self, *args):
                entry = bench.board.endpoints_by_id['d']
                listener = EndpointListener(bench.board, entry)
                listener.record_busy(0.1)
                return await super().admit(*args)

        relay = StreamRelay(
            bench.context, ClosingAdmission([('d', 'd')] * MAX_REFUSALS)
        )
        with pytest.raises(OutcomeError) as info:
            async with relay.serve(request_of(), route_of(STREAM), SERVICE):
                pass
        assert info.value.outcome is Outcome.POOL_SATURATED
        assert info.value.retry_after_s > 0
        assert bench.endpoint('d').runs == []


def statement(per_s=2.0, age_s=0.0, first_hand=True, start=0):
    return RateLimitStatement('a', start, per_s, age_s, first_hand)


class TestStatements:
    """What hosts tell one another of limits, in heartbeats."""

    def board(self):
        board = Blackboard('host', 1, 'dc', 'region')
        board.endpoints_by_id['a'] = EndpointEntry(
            'a', ListedKind.PLAIN, 'a:1', 'dc', 'region', 'service'
        )
        return board

    def known(self, board):
        limit = board.endpoints_by_id['a'].notice.rate_limit
        return limit and limit.per_s

    def test_the_newer_statement_holds(self):
        board = self.board()
        merge_statement(board, statement(2.0, 1.0), 10.0)
        merge_statement(board, statement(3.0, 2.0), 10.0)
        assert self.known(board) == 2.0
        merge_statement(board, statement(3.0, 0.5), 10.0)
        assert self.known(board) == 3.0

    def test_a_statement_that_is_passed_on_does_not_get_newer(self):
        board = self.board()
        merge_statement(board, statement(2.0, 1.0), 10.0)
        passed_on = statement(3.0, 1.0 - STATED_AT_ERROR_S / 2, False)
        merge_statement(board, passed_on, 10.0)
        assert self.known(board) == 2.0

    @pytest.mark.parametrize(
        'unusable',
        [
            statement(start=7),
            statement(float('nan')),
            statement(float('inf')),
            statement(age_s=float('nan')),
            statement(age_s=-5.0),
            statement(NO_LIMIT),
        ],
    )
    def test_unusable_statements_are_ignored(self, unusable):
        board = self.board()
        merge_statement(board, unusable, 10.0)
        assert self.known(board) is None

    def test_a_new_peer_is_told_all_limits_and_others_the_new_ones(self):
        board = self.board()
        merge_statement(board, statement(), 10.0)
        met = HostEntry('b', 'b:1', 'dc', met_at=0.0)
        new = HostEntry('c', 'c:1', 'dc', met_at=10.0 + TELL_S)
        assert len(StatedLimits(board).list_for(met, 10.5)) == 1
        later = StatedLimits(board)
        assert later.list_for(met, 11.0 + TELL_S) == ()
        assert len(later.list_for(new, 11.0 + TELL_S)) == 1

    def test_owners_of_limits_are_spread_over_hosts(self):
        board = self.board()
        for number in range(20):
            board.hosts_by_id[f'h{number}'] = HostEntry(
                f'h{number}', 'x:1', 'dc', silent=False
            )
        owners = PermitOwners(board)
        found = {
            owners.find(
                EndpointEntry(
                    f'e{number}', ListedKind.PLAIN, 'x:1', 'dc', 'region'
                )
            )
            for number in range(100)
        }
        assert len(found) > 15
