"""Tests of the even spread of calls over plain endpoints."""

import asyncio
import collections
import dataclasses
import random

import msgspec
import pytest

from mustardscale.configuration.routes import RequestKind
from mustardscale.exceptions import EndpointRefusedError, OutcomeError
from mustardscale.hosts.endpoint_loads import (
    MAX_STATEMENT_AGE_S,
    EndpointLoads,
    compute_key,
)
from mustardscale.peers.load_messages import EndpointLoad
from mustardscale.peers.peer_codec import Frame, FrameKind, encode_frame
from mustardscale.peers.peer_messages import Heartbeat
from mustardscale.relay.endpoint_choice import choose_endpoint
from mustardscale.relay.endpoint_health import HealthTable
from mustardscale.relay.even_choice import choose_evenly, compute_unevenness
from mustardscale.relay.plain_relay import PlainRelay
from standins.choice_model import (
    ChoiceLoad,
    ChoiceModel,
    HealthChooser,
    LoadChooser,
)
from standins.quota_fleet import Demand, QuotaFleet, make_customer
from tests.relay_fakes import RelayBench, request_of, route_of
from tests.test_heartbeat_hubs import HOSTS, TIMES
from tests.test_membership import start_site
from tests.virtual_time import virtual_time

NAMES = ['a', 'b', 'c', 'd']


def load(name, open_calls):
    return EndpointLoad(compute_key(name), open_calls)


class TestManyHosts:
    """Hosts with old knowledge in front of uneven endpoints."""

    SEEDS = range(3)

    def run(self, chooser, decide, **fields):
        """Returns the sums over the seeds."""
        totals = collections.Counter()
        for seed in self.SEEDS:
            load = ChoiceLoad(duration_s=20.0, **fields)
            rng = random.Random(seed)
            choosers = [chooser(decide, rng) for _ in range(load.hosts)]
            result = ChoiceModel(load, choosers, seed).run()
            totals.update(
                {
                    'avoidable': result.avoidable,
                    'refusals': result.refusals,
                    'lost': result.lost,
                    'waited_s': result.waited_s,
                    'share': result.largest_share,
                }
            )
        return totals

    @pytest.mark.parametrize('calls_per_s', [2.5, 3.7])
    def test_fewer_refusals_and_shorter_waits_than_by_own_knowledge(
        self, calls_per_s
    ):
        own = self.run(HealthChooser, choose_endpoint, calls_per_s=calls_per_s)
        even = self.run(LoadChooser, choose_evenly, calls_per_s=calls_per_s)
        assert even['avoidable'] < own['avoidable'] / 2
        assert even['refusals'] < own['refusals']
        assert even['lost'] < own['lost']
        assert even['waited_s'] < own['waited_s']

    def test_all_hosts_do_not_choose_the_least_loaded_endpoint(self):
        # Would flood one endpoint between two heartbeats.
        def least_open(health, open_by_id, names, excluded, now, rng):
            left = [name for name in names if name not in excluded]
            return min(left, key=open_by_id.__getitem__)

        least = self.run(LoadChooser, least_open)
        even = self.run(LoadChooser, choose_evenly)
        assert even['avoidable'] < least['avoidable'] / 10


class TestChoice:
    """The draw of one host."""

    def draw(self, open_by_id, table=None, excluded=()):
        rng = random.Random(1)
        table = table or HealthTable()
        return collections.Counter(
            choose_evenly(table.by_id, open_by_id, NAMES, excluded, 10.0, rng)
            for _ in range(4_000)
        )

    def test_less_goes_to_endpoints_with_more_open_calls(self):
        drawn = self.draw({'a': 30, 'b': 2, 'c': 2, 'd': 2})
        assert 0 < drawn['a'] < drawn['b'] / 2

    def test_few_open_calls_change_little(self):
        drawn = self.draw({'a': 1, 'b': 0, 'c': 0, 'd': 0})
        assert drawn['a'] > drawn['b'] / 3

    def test_slower_endpoint_gets_less(self):
        table = HealthTable()
        for name in NAMES:
            for _ in range(20):
                seconds = 0.12 if name == 'a' else 0.06
                table.get_or_create(name).record_answer(seconds, 10.0)
        drawn = self.draw(dict.fromkeys(NAMES, 3), table)
        assert 0.4 < drawn['a'] / drawn['b'] < 0.6

    def test_excluded_endpoints_and_those_in_backoff_get_nothing(self):
        table = HealthTable()
        table.get_or_create('b').record_unreachable(10.0)
        drawn = self.draw(dict.fromkeys(NAMES, 0), table, ('a',))
        assert set(drawn) == {'c', 'd'}
        assert set(self.draw(dict.fromkeys(NAMES, 0), None, NAMES)) == {None}

    def test_unevenness_is_the_largest_over_the_mean(self):
        assert compute_unevenness({'a': 6, 'b': 2}) == 1.5
        assert compute_unevenness({'a': 0, 'b': 0}) == 1.0


class TestLoads:
    """What heartbeats tell, and the sums."""

    def test_a_mesh_sums_what_peers_tell(self):
        loads = EndpointLoads()
        loads.begin('a')
        loads.merge('h2', (load('a', 2), load('b', 1)), (), 10.0)
        loads.merge('h3', (load('a', 4),), (), 10.0)
        assert loads.count_open(['a', 'b', 'c'], 10.0) == {
            'a': 7,
            'b': 1,
            'c': 0,
        }

    def test_a_newer_statement_replaces_the_older_one(self):
        loads = EndpointLoads()
        loads.merge('h2', (load('a', 2),), (), 10.0)
        loads.merge('h2', (), (), 10.4)
        assert loads.count_open(['a'], 10.4) == {'a': 0}

    def test_a_silent_peer_does_not_count_for_ever(self):
        loads = EndpointLoads()
        loads.merge('h2', (load('a', 2),), (load('a', 9),), 10.0)
        late = 10.1 + MAX_STATEMENT_AGE_S
        assert loads.count_open(['a'], late) == {'a': 0}
        assert loads.list_sum('h3', late) == ()

    def test_a_hub_leaves_out_what_the_receiver_told(self):
        hub = EndpointLoads()
        hub.begin('a')
        hub.merge('h2', (load('a', 2),), (), 10.0)
        hub.merge('h3', (load('a', 4),), (), 10.0)
        assert hub.list_sum('h2', 10.0) == (load('a', 5),)

    def test_the_newest_sum_of_a_hub_counts(self):
        loads = EndpointLoads()
        loads.begin('a')
        loads.merge('hub1', (load('a', 1),), (load('a', 5),), 10.0)
        loads.merge('hub2', (), (load('a', 7),), 10.2)
        assert loads.count_open(['a'], 10.3) == {'a': 8}

    def test_ended_calls_are_not_told(self):
        loads = EndpointLoads()
        loads.begin('a')
        loads.end('a')
        assert loads.list_own() == ()

    def test_heartbeats_grow_by_few_bytes(self):
        def size(**fields):
            beat = Heartbeat('h1', 1, 'dc', False, 0, 0, **fields)
            return len(encode_frame(Frame(FrameKind.REQUEST, 1, beat)))

        loads = tuple(load(name, 5) for name in NAMES)
        assert size(loads=loads, summed_loads=loads) - size() <= 80


class TestHeartbeats:
    """How the open calls of one host reach the others."""

    @pytest.mark.parametrize('hosts', [4, HOSTS])
    @virtual_time
    async def test_each_call_is_counted_once_by_every_host(self, hosts):
        site = await start_site(hosts)
        loads_by_host = {}
        for name, router in site.routers_by_host.items():
            loads_by_host[name] = EndpointLoads()
            router.heartbeats.report_loads(loads_by_host[name])
            loads_by_host[name].begin('a')
        await asyncio.sleep(4 * TIMES.heartbeat_s)
        now = asyncio.get_running_loop().time()
        counts = [x.count_open(['a'], now) for x in loads_by_host.values()]
        assert counts == [{'a': hosts}] * hosts
        await site.stop()

    @virtual_time
    async def test_nothing_is_told_unless_enabled(self):
        site = await start_site(HOSTS)
        for router in site.routers_by_host.values():
            for peer in site.routers_by_host:
                beat = router.heartbeats.heartbeat(peer)
                assert (beat.loads, beat.summed_loads) == ((), ())
        await site.stop()


class EvenFleet(QuotaFleet):
    """Relaying hosts with the setting on."""

    def options(self):
        return dataclasses.replace(super().options(), even_load=True)


class TestHosts:
    """Whole relaying hosts."""

    @virtual_time
    async def test_setting_reaches_heartbeats_policy_and_state_dump(self):
        fleet = EvenFleet(HOSTS, (make_customer('north', 0.0),), 1)
        await fleet.start()
        hosts = dict.fromkeys(fleet.router_by_host, 1.0)
        await fleet.load(Demand('north', 20.0), 5.0, hosts)
        loads = [
            load
            for router in fleet.router_by_host.values()
            for load in router.describe_plain_loads().values()
        ]
        assert sum(load.sent for load in loads) == len(fleet.records) > 50
        msgspec.json.encode(loads)
        router = next(iter(fleet.router_by_host.values()))
        assert 'plain_load_largest_over_mean' in router.metrics.gauge_by_name
        policy = router.pool_owner._new_policy('pool')
        assert policy._tracker.capacities.learns_speeds
        await fleet.stop()


class TestRelay:
    """The relay with the setting off and on."""

    @staticmethod
    async def serve(relay, number=1):
        request = request_of(f'r{number}')
        return await relay.serve(request, route_of(RequestKind.ONCE), 'service')

    @virtual_time
    async def test_off_the_same_endpoints_are_drawn_as_before(self):
        bench = RelayBench(plain=('a', 'b', 'c'))
        relay = PlainRelay(bench.context)
        bench.context.rng.seed(7)
        answers = [await self.serve(relay, n) for n in range(20)]
        rng = random.Random(7)
        table = HealthTable()
        expected = []
        for _ in range(20):
            name = choose_endpoint(table.by_id, ('a', 'b', 'c'), (), 0.0, rng)
            table.get_or_create(name).record_answer(0.0, 0.0)
            expected.append(name)
        assert [answer.endpoint_id for answer in answers] == expected
        assert relay.describe_loads() == {}
        assert not bench.context.metrics.gauge_by_name

    @virtual_time
    async def test_on_calls_are_told_while_they_are_open(self):
        bench = RelayBench(plain=('a',))
        bench.context.loads = EndpointLoads()
        relay = PlainRelay(bench.context)
        bench.endpoint('a').run_script = [1.0, EndpointRefusedError('full')]
        task = asyncio.create_task(self.serve(relay))
        await asyncio.sleep(0.5)
        assert bench.context.loads.list_own() == (load('a', 1),)
        assert relay.describe_loads()['a'].open_calls == 1
        await task
        assert bench.context.loads.list_own() == ()
        assert relay.describe_loads()['a'].sent == 1

    @virtual_time
    async def test_a_refusal_while_another_had_room_is_counted(self):
        bench = RelayBench(plain=('a', 'b'))
        loads = bench.context.loads = EndpointLoads()
        relay = PlainRelay(bench.context)
        now = asyncio.get_running_loop().time()
        loads.merge('h2', (load('a', 9), load('b', 8)), (), now)
        for name in 'ab':
            bench.endpoint(name).run_script = [EndpointRefusedError('full')]
        with pytest.raises(OutcomeError):
            await self.serve(relay)
        counters = bench.context.metrics.counter_by_name
        assert counters['plain_calls_refused'] == 2
        assert 'plain_calls_refused_with_room' not in counters
        loads.merge('h2', (load('a', 9),), (), now)
        while counters['plain_calls_refused'] == 2:
            bench.endpoint('a').run_script = [EndpointRefusedError('full')]
            await self.serve(relay)
        assert counters['plain_calls_refused_with_room'] == 1
        assert bench.events.recorded[-1][3]['had_room']
