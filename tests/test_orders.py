"""Tests of orders to engines at a whole site under virtual time."""

import asyncio
import dataclasses

import pytest

from mustardscale.configuration.config_records import ConfigKey, ServiceChoice
from mustardscale.endpoints.engines import EngineRole
from standins.memory_site import SiteLayout
from tests.order_site import (
    ENGINES,
    MODEL,
    all_serve,
    count_cut_streams,
    current_changes,
    long_request,
    publish_wanted,
    publish_weight_limits,
    run_orders,
    served_versions,
    wait_until,
)
from tests.test_memory_site import answer, language, whole


class TestWantedState:
    """Engines reach the wanted state one by one while requests are served."""

    @pytest.mark.parametrize('loads', [1, 2])
    def test_all_engines_get_a_new_version_under_load(self, loads):
        async def scenario(site):
            site.weight_store.conditions.loads_at_once = loads
            await publish_weight_limits(site, loads_at_once=loads)
            await publish_wanted(site, adapters=('a',))
            number = 0
            while not all_serve(site, '2'):
                hosts = list(site.routers_by_host.values())
                requests = [language(number + n) for n in range(6)]
                answers = await asyncio.gather(*map(answer, hosts, requests))
                assert answers == [whole(request) for request in requests]
                number += len(requests)
                assert number < 1000
            counters = site.weight_store.counters
            assert (counters.refused, counters.loads) == (0, len(ENGINES))
            assert counters.most_loading <= loads
            assert count_cut_streams(site) == 0
            adapters = {
                engine.current_report().adapters
                for engine in site.engines_by_id.values()
            }
            assert adapters == {('a',)}

        run_orders(scenario)

    def test_a_role_changes_and_changes_back(self):
        async def scenario(site):
            router = site.routers_by_host['entry-1']
            board = router.blackboard
            await publish_wanted(site, ENGINES[4], '1', role=EngineRole.PREFILL)
            await wait_until(
                lambda: ENGINES[4] in board.orders.placed_by_engine
            )
            entry = board.endpoints_by_id[ENGINES[4]]
            assert entry.role is EngineRole.PREFILL
            requests = [language(number) for number in range(6)]
            for request in requests:
                assert await answer(router, request) == whole(request)
            await publish_wanted(site, ENGINES[4], '1', role=EngineRole.DECODE)
            await wait_until(
                lambda: ENGINES[4] not in board.orders.placed_by_engine
            )
            assert entry.role is EngineRole.DECODE
            assert site.weight_store.counters.loads == 0

        run_orders(scenario)

    def test_an_engine_joins_the_pool_of_its_new_model(self):
        async def scenario(site):
            boards = [r.blackboard for r in site.routers_by_host.values()]
            await publish_wanted(site, ENGINES[4], '7', model='other')

            def placed():
                models = [b.endpoints_by_id[ENGINES[4]].model for b in boards]
                return set(models) == {'other'}

            await wait_until(placed)
            assert served_versions(site) == ['1'] * 4 + ['7']
            owned = {
                pool_id: pool
                for router in site.routers_by_host.values()
                for pool_id, pool in router.pool_owner.owned_by_id.items()
            }
            assert sorted(owned) == ['katode-lm@dk-east#0', 'other@dk-east#0']
            assert (
                ENGINES[4]
                not in owned['katode-lm@dk-east#0'].members.engine_ids
            )
            await asyncio.sleep(1)
            others = owned['other@dk-east#0'].state.engines_by_id
            assert [e.usable for e in others.values()] == [True]

        run_orders(scenario)

    def test_an_owner_cut_from_the_log_does_not_use_a_moved_engine(self):
        async def scenario(site):
            routers = site.routers_by_host
            pool = 'katode-lm@dk-east#0'
            stale = next(
                host
                for host, router in routers.items()
                if pool in router.pool_owner.owned_by_id
            )
            site.cut_pairs.add((stale, 'log'))
            service = ServiceChoice(MODEL, model='other')
            await site.publish(ConfigKey('service', 'others'), service)
            for engine in (ENGINES[0], ENGINES[2]):
                await publish_wanted(site, engine, '7', model='other')
            host = next(r for h, r in routers.items() if h != stale)
            folded = host.blackboard.orders
            await wait_until(lambda: len(folded.placed_by_engine) == 2, 900)
            # The owner of the new pool first reads the reports of its engines.
            await asyncio.sleep(3)
            request = dataclasses.replace(long_request(), service='others')
            assert await answer(host, request) == whole(request)
            begun = site.engines_by_id[ENGINES[2]].counters
            assert begun.executions_by_request == {request.id: 1}

        run_orders(scenario)

    @pytest.mark.parametrize('allowed', [False, True])
    def test_the_last_engine_of_a_role_changes_only_if_an_outage_is_allowed(
        self, allowed
    ):
        async def scenario(site):
            await publish_wanted(site, ENGINES[0], allow_outage=allowed)
            await asyncio.sleep(30)
            assert served_versions(site)[0] == ('2' if allowed else '1')

        layout = SiteLayout(prefill_engines=1)
        if allowed:
            with pytest.raises(AssertionError, match='prefill'):
                run_orders(scenario, layout)
        else:
            run_orders(scenario, layout)

    def test_a_withdrawn_engine_gets_no_new_work(self):
        async def scenario(site):
            host = site.routers_by_host['entry-1']
            reading = asyncio.create_task(answer(host, long_request()))
            await asyncio.sleep(1)
            engines = site.engines_by_id
            busy = next(n for n in ENGINES[2:] if engines[n].held_streams())
            await publish_wanted(site, busy)
            await wait_until(lambda: busy in current_changes(site))
            await asyncio.sleep(0.5)
            begun = dict(engines[busy].counters.executions_by_request)
            for number in range(30):
                await answer(host, language(number, 50))
            assert not reading.done()
            assert engines[busy].counters.executions_by_request == begun
            await reading

        run_orders(scenario)

    def test_a_change_waits_for_a_long_stream(self):
        async def scenario(site):
            request = long_request()
            host = site.routers_by_host['entry-1']
            reading = asyncio.create_task(answer(host, request))
            await asyncio.sleep(1)
            await publish_weight_limits(site, loads_at_once=9)
            await publish_wanted(site)
            assert await reading == whole(request)
            await wait_until(lambda: all_serve(site, '2'))
            assert count_cut_streams(site) == 0
            begun = [
                engine.counters.executions_by_request.get(request.id, 0)
                for engine in site.engines_by_id.values()
            ]
            assert sum(begun) == 1

        run_orders(scenario)
