"""Orders to engines at a whole site under virtual time."""

import asyncio
import dataclasses

import pytest

from mustardscale.configuration.config_records import ConfigKey, ServiceChoice
from mustardscale.endpoints.engines import EngineRole
from standins.memory_site import SiteLayout
from tests.order_site import (
    ENGINES,
    MODEL,
    all_have,
    changes,
    cut,
    limit,
    long_request,
    run_orders,
    until,
    versions,
    want,
)
from tests.test_memory_site import answer, language, whole


class TestWantedState:
    """Engines reach what is wanted, one after another, and serve on."""

    @pytest.mark.parametrize('loads', [1, 2])
    def test_a_new_version_everywhere_under_load(self, loads):
        async def scenario(site):
            site.weight_store.conditions.loads_at_once = loads
            await limit(site, loads_at_once=loads)
            await want(site, adapters=('a',))
            number = 0
            while not all_have(site, '2'):
                hosts = list(site.routers_by_host.values())
                requests = [language(number + n) for n in range(6)]
                answers = await asyncio.gather(*map(answer, hosts, requests))
                assert answers == [whole(request) for request in requests]
                number += len(requests)
                assert number < 1000
            counters = site.weight_store.counters
            assert (counters.refused, counters.loads) == (0, len(ENGINES))
            assert counters.most_loading <= loads
            assert cut(site) == 0
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
            await want(site, ENGINES[4], '1', role=EngineRole.PREFILL)
            await until(lambda: ENGINES[4] in board.orders.placed_by_engine)
            entry = board.endpoints_by_id[ENGINES[4]]
            assert entry.role is EngineRole.PREFILL
            requests = [language(number) for number in range(6)]
            for request in requests:
                assert await answer(router, request) == whole(request)
            await want(site, ENGINES[4], '1', role=EngineRole.DECODE)
            await until(lambda: ENGINES[4] not in board.orders.placed_by_engine)
            assert entry.role is EngineRole.DECODE
            assert site.weight_store.counters.loads == 0

        run_orders(scenario)

    def test_an_engine_goes_to_the_pool_of_its_new_model(self):
        async def scenario(site):
            boards = [r.blackboard for r in site.routers_by_host.values()]
            await want(site, ENGINES[4], '7', model='other')

            def placed():
                models = [b.endpoints_by_id[ENGINES[4]].model for b in boards]
                return set(models) == {'other'}

            await until(placed)
            assert versions(site) == ['1'] * 4 + ['7']
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

    def test_an_owner_without_the_log_leaves_a_moved_engine_alone(self):
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
                await want(site, engine, '7', model='other')
            host = next(r for h, r in routers.items() if h != stale)
            folded = host.blackboard.orders
            await until(lambda: len(folded.placed_by_engine) == 2, 900)
            # The new pool's owner reads the engines first.
            await asyncio.sleep(3)
            request = dataclasses.replace(long_request(), service='others')
            assert await answer(host, request) == whole(request)
            begun = site.engines_by_id[ENGINES[2]].counters
            assert begun.executions_by_request == {request.id: 1}

        run_orders(scenario)

    @pytest.mark.parametrize('allowed', [False, True])
    def test_the_last_engine_of_a_role_is_left_alone(self, allowed):
        async def scenario(site):
            await want(site, ENGINES[0], allow_outage=allowed)
            await asyncio.sleep(30)
            assert versions(site)[0] == ('2' if allowed else '1')

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
            await want(site, busy)
            await until(lambda: busy in changes(site))
            await asyncio.sleep(0.5)
            begun = dict(engines[busy].counters.executions_by_request)
            for number in range(30):
                await answer(host, language(number, 50))
            assert not reading.done()
            assert engines[busy].counters.executions_by_request == begun
            await reading

        run_orders(scenario)

    def test_a_long_stream_is_waited_for(self):
        async def scenario(site):
            request = long_request()
            host = site.routers_by_host['entry-1']
            reading = asyncio.create_task(answer(host, request))
            await asyncio.sleep(1)
            await limit(site, loads_at_once=9)
            await want(site)
            assert await reading == whole(request)
            await until(lambda: all_have(site, '2'))
            assert cut(site) == 0
            begun = [
                engine.counters.executions_by_request.get(request.id, 0)
                for engine in site.engines_by_id.values()
            ]
            assert sum(begun) == 1

        run_orders(scenario)
