"""Who waits and who is refused when capacity is short.

Loads are replayed without a network. The burst of two kinds is that of the
first site: prompts of 5,000 tokens, answers of 70 and memory of 73,863 tokens.
"""

import asyncio
import copy
import dataclasses
import json
import pathlib
import random
import statistics

import pytest

from mustardscale.blackboard import Blackboard
from mustardscale.configuration.customers import Customer, CustomerQuota
from mustardscale.configuration.route_index import RouteIndex
from mustardscale.configuration.routes import (
    RequestKind,
    Route,
    RouteTable,
    RouteTarget,
)
from mustardscale.endpoints.engines import NO_PRIORITY, StreamStage
from mustardscale.forwarding.forwarded_calls import pack_request, unpack_call
from mustardscale.peers.forward_messages import ForwardedHandle
from mustardscale.policy.base import Grant, Refusal
from mustardscale.policy.customer_shares import (
    compute_fair_level,
    compute_weights,
)
from mustardscale.policy.queue_passing import (
    QueueClass,
    compute_passing_share,
)
from mustardscale.policy.reserving import ReservingPolicy
from mustardscale.pools.recorded_policy import RecordedPolicy
from mustardscale.relay.relay_endpoint import RelayCall
from mustardscale.relay.relay_messages import RelayRequest
from mustardscale.replay.trace_reader import read_trace
from mustardscale.replay.trace_replay import DecisionReplay
from mustardscale.reporting.event_log import JsonEvents
from mustardscale.traces.trace import FileTrace
from standins.platform_plan import CONFIG
from tests.competing_loads import (
    BATCH,
    CHAT,
    UNSTATED,
    CompetingPool,
    StreamKind,
    decide_without_priorities,
    draw_arrivals,
    draw_burst,
)
from tests.test_customers import KEY, OTHER_KEY, TENANTS, headers_at_worker, run
from tests.test_peer_codec import ADMIT
from tests.test_reserving import PoolScenario

RECORDED = pathlib.Path(__file__).with_name('decisions_without_priorities.json')
SEEDS = range(3)
# A less urgent kind may be served this much more often, as a share.
MAX_INVERSION = 0.05
MAX_TRACE_BYTES = 10_000_000


ARRIVALS_BY_CLASS = {
    QueueClass(0, False): 6.0,
    QueueClass(2, False): 2.0,
    QueueClass(0, True): 4.0,
}


def replay_burst(seed, *kinds, decodes=1, rate_per_s=9.0):
    """Returns the pool after a burst of several kinds and 10 s more."""
    pool = CompetingPool(decodes)
    pool.run(draw_burst(seed, *kinds, rate_per_s=rate_per_s), 18.0)
    return pool


class TestBurstOfTwoKinds:
    """Guards against more urgent streams that lose the memory to others."""

    @pytest.mark.parametrize('seed', SEEDS)
    def test_the_more_urgent_kind_is_served_in_time(self, seed):
        pool = replay_burst(seed, CHAT, BATCH)
        assert pool.in_time(CHAT) >= 0.9
        unstated = replay_burst(seed, *UNSTATED.values())
        assert unstated.in_time(UNSTATED['chat']) < pool.in_time(CHAT) - 0.1

    @pytest.mark.parametrize('seed', SEEDS)
    def test_priority_and_not_the_target_decides(self, seed):
        urgent, patient = StreamKind('batch', 0), StreamKind('chat', 2)
        pool = replay_burst(seed, urgent, patient)
        assert pool.in_time(urgent) >= 0.95

    @pytest.mark.parametrize('seed', SEEDS)
    def test_customers_of_one_route_may_differ(self, seed):
        urgent, patient = StreamKind('chat', 0, 'a'), StreamKind('chat', 1, 'b')
        pool = replay_burst(seed, urgent, patient)
        assert pool.in_time(urgent) >= 0.9

    @pytest.mark.parametrize('seed', SEEDS)
    def test_prefill_engines_serve_the_more_urgent_kind_first(self, seed):
        pool = replay_burst(seed, CHAT, BATCH, decodes=2, rate_per_s=16.0)
        alone = replay_burst(seed, CHAT, decodes=2, rate_per_s=16.0)
        assert pool.in_time(CHAT) >= alone.in_time(CHAT) - 0.1
        assert pool.served(CHAT) >= pool.served(BATCH) - MAX_INVERSION

    def test_the_less_urgent_kind_is_refused_before_it_is_late(self):
        kept_s = []
        for seed in range(6):
            pool = replay_burst(seed, CHAT, BATCH)
            names = set(pool.names_of(BATCH)) & pool.kept_s.keys()
            kept_s += [pool.kept_s[name] for name in names]
        assert statistics.median(kept_s) <= 1.0


def fill_decode_engines(decodes):
    """Returns a scenario at 28 s whose decode engines have 8 pieces free."""
    scenario = PoolScenario(decodes=decodes)
    for number in range(decodes):
        name, now = f'large-{number}', 14.0 * number
        scenario.ask(name, tokens=110_000, now=now)
        scenario.decide(now)
        scenario.advance(name, StreamStage.TRANSFER, now + 7.0)
        scenario.advance(name, StreamStage.DECODE, now + 13.0)
    return scenario


class TestOrder:
    """Guards against an order of single decisions that burst replays hide."""

    def test_a_late_urgent_request_does_not_displace_one_in_time(self):
        scenario = PoolScenario(prefills=1)
        scenario.ask('late', tokens=400, first_token_s=-1.0, priority=0)
        scenario.ask('in-time', tokens=400, priority=3)
        assert list(scenario.decide()) == ['in-time']

    def test_a_late_request_is_served_where_nobody_else_waits(self):
        scenario = PoolScenario(prefills=1)
        scenario.ask('late', tokens=400, first_token_s=-1.0, priority=3)
        assert isinstance(scenario.decide()['late'], Grant)

    @pytest.mark.parametrize(
        ('stated', 'granted'), [(True, []), (False, ['small'])]
    )
    def test_memory_is_kept_for_an_urgent_request_that_lacks_it(
        self, stated, granted
    ):
        scenario = fill_decode_engines(1)
        priorities = (0, 1) if stated else (NO_PRIORITY, NO_PRIORITY)
        for name, tokens, first_token_s, priority in (
            ('urgent', 20_000, 6.0, priorities[0]),
            ('small', 400, 7.0, priorities[1]),
        ):
            scenario.ask(
                name,
                tokens=tokens,
                max_tokens=100,
                now=28.0,
                first_token_s=first_token_s,
                priority=priority,
            )
        decisions = scenario.decide(28.0)
        grants = [n for n, d in decisions.items() if isinstance(d, Grant)]
        assert grants == granted

    def test_the_other_engines_serve_less_urgent_ones_meanwhile(self):
        scenario = fill_decode_engines(2)
        urgent = {'tokens': 20_000, 'first_token_s': 6.0, 'priority': 0}
        scenario.ask('urgent', max_tokens=100, now=28.0, **urgent)
        scenario.ask('small', tokens=400, max_tokens=100, now=28.0, priority=1)
        assert isinstance(scenario.decide(28.0).get('small'), Grant)

    def test_no_memory_is_kept_for_less_urgent_hurried_requests(self):
        scenario = PoolScenario(decodes=1)
        scenario.ask('large', tokens=122_000, priority=0)
        scenario.decide()
        scenario.advance('large', StreamStage.TRANSFER, 7.6)
        scenario.advance('large', StreamStage.DECODE, 13.8)
        # Two KV blocks are free, and the first two requests need one each.
        for name, service, priority in (
            ('patient', 'patient', 0),
            ('hurried', 'hurried', 1),
        ):
            fields = {'tokens': 1_000, 'max_tokens': 100, 'now': 14.0}
            scenario.ask(name, service, priority=priority, **fields)
        assert 'patient' in scenario.decide(14.0)

    def test_the_retry_time_counts_only_more_urgent_requests(self):
        scenario = PoolScenario(prefills=1)
        scenario.ask('busy', tokens=30_000)
        scenario.decide()
        for number in range(8):
            scenario.ask(f'b{number}', tokens=8_000, now=0.1, priority=3)
        for name, priority in (('urgent', 0), ('last', 9)):
            scenario.ask(name, 'hurried', now=0.1, priority=priority)
        decisions = scenario.decide(0.1)
        assert isinstance(decisions['urgent'], Refusal)
        urgent_s = decisions['urgent'].retry_after_s
        assert urgent_s < decisions['last'].retry_after_s - 3.0


def replay_overload(seed, factor, priority=NO_PRIORITY, weights=None):
    """Returns a pool after 8 s in which one of four customers sends more."""
    rng = random.Random(seed)
    kinds = {name: StreamKind('chat', priority, name) for name in 'abcd'}
    requests = []
    for name, kind in kinds.items():
        rate_per_s = 2.0 * (factor if name == 'a' else 1.0)
        requests += draw_arrivals(rng, kind, rate_per_s, 0.0, 8.0)
    pool = CompetingPool()
    pool.pool.weight_by_customer = weights or {}
    pool.run(requests, 14.0)
    return pool, kinds


class TestOverloadOfACustomer:
    """Guards against a customer whose overload costs the others."""

    @pytest.mark.parametrize('seed', SEEDS)
    @pytest.mark.parametrize('priority', [NO_PRIORITY, 1])
    def test_the_others_are_served_in_time(self, seed, priority):
        pool, kinds = replay_overload(seed, 7.0, priority)
        others = [pool.in_time(kinds[name]) for name in 'bcd']
        assert min(others) >= 0.85
        assert sum(others) / 3 >= 0.9
        assert pool.in_time(kinds['a']) < 0.6

    @pytest.mark.parametrize('seed', SEEDS)
    def test_a_customer_with_a_larger_quota_has_a_larger_share(self, seed):
        weights = {'a': 2.5, 'b': 0.5, 'c': 0.5, 'd': 0.5}
        pool, kinds = replay_overload(seed, 7.0, weights=weights)
        equal, _ = replay_overload(seed, 7.0)
        assert pool.in_time(kinds['a']) > equal.in_time(kinds['a'])

    @pytest.mark.parametrize('seed', SEEDS)
    def test_a_load_that_fits_is_served_whoever_sends_it(self, seed):
        pool, kinds = replay_overload(seed, 1.0)
        assert min(pool.in_time(kind) for kind in kinds.values()) >= 0.9

    def test_what_others_leave_is_shared_by_weight(self):
        demand = {'a': 100.0, 'b': 100.0, 'c': 10.0}
        level = compute_fair_level(demand, {'a': 2.0}, 70.0)
        assert level == pytest.approx(20.0)

    def test_weights_are_the_rates_of_quotas(self):
        customers = [
            Customer('a', quota=CustomerQuota(30.0)),
            Customer('b', quota=CustomerQuota(10.0)),
            Customer('c'),
        ]
        assert compute_weights(customers) == {'a': 1.5, 'b': 0.5}


class TestPassing:
    """Guards against forecasts that let less urgent requests pass."""

    @pytest.mark.parametrize(
        ('queue_class', 'share'),
        [
            (QueueClass(0, False), 3 / 12),
            (QueueClass(0, True), 8 / 12),
            (QueueClass(2, False), 11 / 12),
            (QueueClass(9, False), 1.0),
        ],
    )
    def test_only_more_urgent_ones_pass(self, queue_class, share):
        found = compute_passing_share(ARRIVALS_BY_CLASS, queue_class, 0.5)
        assert found == pytest.approx(share)

    @pytest.mark.parametrize('place', [0.0, 1 / 3, 0.7])
    def test_with_one_class_the_place_decides(self, place):
        one = {QueueClass(NO_PRIORITY, False): 3.7}
        found = compute_passing_share(
            one, QueueClass(NO_PRIORITY, False), place
        )
        assert found == place


class TestUnstated:
    """Guards against other decisions where nobody states a priority."""

    @pytest.mark.parametrize('seed', ['5', '6'])
    def test_decisions_are_those_of_the_release_before(self, seed):
        recorded = json.loads(RECORDED.read_text())[seed]
        assert decide_without_priorities(int(seed)) == recorded


def make_route(name, service, priority, **fields):
    return Route(
        name,
        'h',
        f'/{name}/',
        RequestKind.STREAM,
        (RouteTarget(service),),
        8.0,
        0.9,
        priority,
        **fields,
    )


class TestPriorityOfARequest:
    """Guards against a wrong priority, and against one where all are equal."""

    def priority(self, routes, customers=(), customer=None):
        table = RouteTable(1, tuple(routes), customers=tuple(customers))
        return RouteIndex(table).priorities.find(
            routes[0], customer, routes[0].targets[0].service
        )

    def test_routes_of_a_service_that_differ(self):
        first = make_route('a', 's', 0)
        assert self.priority([first, make_route('b', 's', 2)]) == 0
        assert self.priority([first, make_route('b', 's', 0)]) == NO_PRIORITY
        assert self.priority([first, make_route('b', 't', 2)]) == NO_PRIORITY

    def test_the_customer_goes_before_the_route(self):
        first = make_route('a', 's', 1)
        customers = (Customer('x', priority=3), Customer('y'))
        assert self.priority([first], customers, customers[0]) == 3
        assert self.priority([first], customers, customers[1]) == 1

    def test_equal_priorities_of_customers(self):
        customers = (Customer('x', priority=3), Customer('y', priority=3))
        route = make_route('a', 's', 1)
        assert self.priority([route], customers, customers[0]) == NO_PRIORITY

    def test_callers_without_a_key_have_that_of_the_route(self):
        customers = (Customer('x', priority=3),)
        route = make_route('a', 's', 1, is_public=True)
        assert self.priority([route], customers) == 1
        assert self.priority([route], customers, customers[0]) == 3


class TestHeader:
    """Guards against engines that are told no priority, or a caller's."""

    @pytest.mark.parametrize(('key', 'told'), [(KEY, '0'), (OTHER_KEY, '1')])
    def test_engines_are_told_the_priority_of_the_customer(self, key, told):
        async def scenario(site):
            headers = {'X-Credential': key, 'X-Request-Priority': '7'}
            status, _, _ = await site.ask('/chat/x', 'r1', headers=headers)
            assert status == 200
            seen = headers_at_worker(site, 'r1')
            assert seen.getall('X-Request-Priority') == [told]

        run(scenario, copy.deepcopy(CONFIG) | {'tenants': TENANTS})

    def test_engines_are_told_none_where_all_are_equal(self):
        async def scenario(site):
            headers = {'X-Request-Priority': '0'}
            status, _, _ = await site.ask('/chat/x', 'r1', headers=headers)
            assert status == 200
            assert 'X-Request-Priority' not in headers_at_worker(site, 'r1')

        run(scenario, copy.deepcopy(CONFIG))

    def test_priorities_beyond_the_range_are_sent_as_the_last(self):
        async def scenario(site):
            status, _, _ = await site.ask('/chat/x', 'r1')
            assert status == 200
            seen = headers_at_worker(site, 'r1')
            assert seen['X-Request-Priority'] == '9'

        config = copy.deepcopy(CONFIG)
        config['routes'][0]['priority'] = 12
        run(scenario, config)

    def test_a_forwarded_call_keeps_it(self):
        async def pack():
            now = asyncio.get_running_loop().time()
            request = RelayRequest('r', 'h', 'GET', '/x', (), b'', now)
            call = RelayCall(request, now + 2.0, priority=4)
            return unpack_call(pack_request(call), ForwardedHandle())

        assert asyncio.run(pack()).priority == 4


class TestOwner:
    """Guards against owners that are told nothing, or that show nothing."""

    def test_its_event_and_counter_show_priority_and_customer(self):
        async def scenario(site):
            (router,) = site.routers
            lines = []
            router.blackboard.events = JsonEvents('h0', lines.append)
            headers = {'X-Credential': KEY}
            status, _, _ = await site.ask('/chat/x', 'r1', headers=headers)
            assert status == 200
            events = [json.loads(line) for line in lines]
            (decided,) = [e for e in events if e['event'] == 'pool_decided']
            assert decided['priority'] == 0
            assert decided['customer'] == 'north'
            assert router.metrics.counter_by_name['pool_granted_priority_0']

        run(scenario, copy.deepcopy(CONFIG) | {'tenants': TENANTS})

    @pytest.mark.parametrize(('priority', 'found'), [(NO_PRIORITY, 1), (3, 3)])
    def test_it_adds_the_priority_of_the_route_where_none_is_stated(
        self, priority, found
    ):
        async def scenario(site):
            owner = site.routers[0].pool_owner
            request = dataclasses.replace(
                ADMIT, service='chat', priority=priority
            )
            assert owner._complete_priority(request).priority == found

        run(scenario, copy.deepcopy(CONFIG) | {'tenants': TENANTS})


class TestTraces:
    """Guards against traces that lack what decisions were based on."""

    def test_decisions_with_priorities_and_customers_are_replayed(
        self, tmp_path
    ):
        path = tmp_path / 'trace.jsonl'
        kinds = [StreamKind('chat', 0, 'a'), StreamKind('batch', 2, 'b')]

        async def record():
            board = Blackboard('host', 1, 'dc', 'region')
            board.trace = FileTrace(path, MAX_TRACE_BYTES)
            pool = CompetingPool()
            pool.pool.weight_by_customer = {'a': 0.5, 'b': 1.5}
            pool.policy = RecordedPolicy(ReservingPolicy(None), 'p', board)
            for engine in pool.pool.engines_by_id.values():
                pool.policy.observe_report(
                    pool.pool, engine, engine.report, 0.0
                )
            requests = draw_burst(1, *kinds, StreamKind('chat', 0, 'c'))
            pool.run(requests, 9.0)
            board.trace.close()

        asyncio.run(record())
        replay = DecisionReplay()
        replay.run(read_trace(path).lines)
        assert replay.decisions > 100
        assert replay.differences == []
        assert replay.left_out == 0
