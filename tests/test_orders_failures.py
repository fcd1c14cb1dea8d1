"""Tests of orders to engines when coordinators, the log or engines fail."""

import asyncio
import dataclasses

import pytest

from mustardscale.endpoints.engines import EngineOrder
from mustardscale.exceptions import EndpointRefusedError
from mustardscale.orders import order_controller as orders
from mustardscale.orders.order_state import (
    OrderRecord,
    encode_order_record,
    orders_stream,
)
from standins.fault_actions import FaultActions
from standins.faults import Outage
from tests.order_site import (
    ENGINES,
    LAYOUT,
    MODEL,
    all_serve,
    current_changes,
    find_coordinator,
    loading_engines,
    long_request,
    publish_wanted,
    run_orders,
    served_versions,
    wait_until,
)
from tests.test_memory_site import answer, whole


class TestCoordinators:
    """The coordinator pauses, fails or is not the only one."""

    def test_coordinators_killed_during_changes(self):
        async def scenario(site):
            await publish_wanted(site)
            # Killing a third host would leave no majority of the listed hosts.
            for _ in range(2):
                await wait_until(
                    lambda: (
                        loading_engines(site)
                        and find_coordinator(site) in site.routers_by_host
                    )
                )
                await site.kill_host(find_coordinator(site))
            await wait_until(lambda: all_serve(site, '2'))
            assert site.weight_store.counters.refused == 0

        run_orders(scenario)

    @pytest.mark.parametrize('at_s', [0.0, 0.7, 1.4, 2.1, 4.0])
    def test_coordinator_paused_and_resumed(self, at_s):
        async def scenario(site):
            actions = FaultActions(site)
            await publish_wanted(site)
            await wait_until(lambda: current_changes(site))
            await asyncio.sleep(at_s)
            paused = find_coordinator(site)
            end = actions.freeze(paused)
            await wait_until(lambda: find_coordinator(site) != paused)
            await publish_wanted(site, version='3')
            await asyncio.sleep(8)
            await end()
            await wait_until(lambda: all_serve(site, '3'))
            await asyncio.sleep(20)
            assert all_serve(site, '3')

        run_orders(scenario)

    @pytest.mark.parametrize('engine', [ENGINES[0], ENGINES[4]])
    def test_an_order_that_arrives_after_a_later_one(self, engine):
        async def scenario(site):
            await publish_wanted(site)
            await wait_until(lambda: engine in current_changes(site))
            change = current_changes(site)[engine]
            await wait_until(lambda: all_serve(site, '2'))
            await publish_wanted(site, version='3')
            await wait_until(lambda: all_serve(site, '3'))
            model = site.engines_by_id[engine]
            late = EngineOrder(change.number, change.target.role, MODEL, '2')
            if model.parameters.checks_fencing:
                with pytest.raises(EndpointRefusedError, match='fenced'):
                    await model.order(late)
                assert all_serve(site, '3')
            else:
                await model.order(late)
                await wait_until(lambda: '2' in served_versions(site))
                await wait_until(lambda: all_serve(site, '3'))

        run_orders(scenario)

    def test_a_record_written_from_an_old_version_changes_nothing(self):
        async def scenario(site):
            await publish_wanted(site)
            await wait_until(lambda: loading_engines(site))
            stream = orders_stream(site.layout.region)
            first = next(iter(current_changes(site).values()))
            other = dataclasses.replace(first, engine=ENGINES[2], number=1)
            late = encode_order_record(
                OrderRecord(0, 'entry-1', 1, changes=(other,))
            )
            await site.log.append(stream, [late])
            for _ in range(20):
                await asyncio.sleep(0.5)
                assert len(loading_engines(site)) <= 1
            assert site.weight_store.counters.refused == 0
            await wait_until(lambda: all_serve(site, '2'))

        run_orders(scenario)

    def test_a_previous_coordinator_s_order_is_refused_after_a_takeover(self):
        async def scenario(site):
            await publish_wanted(site)
            await wait_until(lambda: ENGINES[0] in current_changes(site))
            first = current_changes(site)[ENGINES[0]]
            FaultActions(site).freeze(first.host)
            await wait_until(lambda: set(served_versions(site)) == {'2'})
            target = first.target
            late = EngineOrder(first.number, target.role, MODEL, '2')
            with pytest.raises(EndpointRefusedError, match='fenced'):
                await site.engines_by_id[ENGINES[0]].order(late)

        run_orders(scenario)

    def test_every_host_takes_itself_for_the_coordinator(self, monkeypatch):
        async def scenario(site):
            # The hosts reach different engines and so choose different ones.
            for number, engine in enumerate(ENGINES, 1):
                site.cut_pairs.add((f'entry-{number}', engine))
                site.cut_pairs.add((f'entry-{number % 5 + 1}', engine))
            await publish_wanted(site)
            with monkeypatch.context() as patch:
                chosen = orders.OrderController._is_config_current
                patch.setattr(orders.OrderController, '_is_chosen', chosen)
                for _ in range(80):
                    await asyncio.sleep(0.25)
                    assert len(current_changes(site)) <= 1
                    assert len(loading_engines(site)) <= 1
            assert site.weight_store.counters.refused == 0
            site.cut_pairs.clear()
            await wait_until(lambda: all_serve(site, '2'))

        run_orders(scenario)

    def test_nothing_is_ordered_without_a_majority(self):
        async def scenario(site):
            for one in site.routers_by_host:
                for other in site.routers_by_host:
                    if one < other:
                        site.peers.cut(one, other)
            await asyncio.sleep(5)
            await publish_wanted(site)
            await asyncio.sleep(30)
            assert served_versions(site) == ['1'] * 5

        run_orders(scenario)


class TestPlatform:
    """The log or engines fail, or their answers are lost."""

    @pytest.mark.parametrize('outage', [Outage.REFUSE, Outage.HANG])
    def test_log_outage(self, outage):
        async def scenario(site):
            await publish_wanted(site)
            await wait_until(lambda: loading_engines(site))
            engine = loading_engines(site)[0]
            site.log.conditions.outage = outage
            await asyncio.sleep(30)
            # The engine with an order completes its change and serves. No other
            # change begins.
            assert sorted(served_versions(site)) == ['1'] * 4 + ['2']
            pool = next(
                pool
                for router in site.routers_by_host.values()
                for pool in router.pool_owner.owned_by_id.values()
            )
            assert pool.state.engines_by_id[engine].usable
            site.log.conditions.outage = Outage.NONE
            await wait_until(lambda: all_serve(site, '2'))

        run_orders(scenario)

    def test_a_stated_order_is_not_sent_in_an_outage(self):
        async def scenario(site):
            host = site.routers_by_host['entry-1']
            request = long_request()
            reading = asyncio.create_task(answer(host, request))
            await asyncio.sleep(1)
            engines = site.engines_by_id
            busy = next(n for n in ENGINES[2:] if engines[n].held_streams())
            await publish_wanted(site, busy)
            await wait_until(lambda: busy in current_changes(site))
            site.log.conditions.outage = Outage.REFUSE
            await asyncio.sleep(5)
            assert not reading.done()
            assert await reading == whole(request)
            await asyncio.sleep(30)
            assert served_versions(site) == ['1'] * 5
            site.log.conditions.outage = Outage.NONE
            await wait_until(lambda: '2' in served_versions(site))

        run_orders(scenario)

    def test_lost_answers_of_the_log(self):
        async def scenario(site):
            site.log.conditions.lose_answer_probability = 0.5
            await publish_wanted(site)
            await wait_until(lambda: all_serve(site, '2'))
            assert site.weight_store.counters.refused == 0

        run_orders(scenario)

    def test_lost_answers_to_orders(self):
        async def scenario(site):
            for engine in site.engines_by_id.values():
                engine.faults.lose_order_answers = True
            await publish_wanted(site)
            await wait_until(lambda: all_serve(site, '2'))
            assert site.weight_store.counters.refused == 0

        run_orders(scenario)

    @pytest.mark.parametrize('engine', [ENGINES[0], ENGINES[4]])
    @pytest.mark.parametrize('at_s', [0.0, 1.0, 2.0, 3.0, 5.0])
    def test_an_engine_crashes_during_its_change(self, engine, at_s):
        async def scenario(site):
            await publish_wanted(site)
            await wait_until(lambda: engine in current_changes(site))
            await asyncio.sleep(at_s)
            site.engines_by_id[engine].kill()
            await wait_until(lambda: all_serve(site, '2'))
            # It restarts with its deployed version and is updated again.
            site.engines_by_id[engine].kill()
            await wait_until(lambda: served_versions(site).count('1') == 1)
            await wait_until(lambda: all_serve(site, '2'))

        run_orders(scenario)

    def test_a_lost_engine_does_not_delay_the_others(self):
        async def scenario(site):
            await publish_wanted(site)
            await wait_until(lambda: ENGINES[2] in current_changes(site))
            site.engines_by_id[ENGINES[2]].kill(1e6)
            rest = [0, 1, 3, 4]
            await wait_until(
                lambda: [served_versions(site)[n] for n in rest] == ['2'] * 4,
                200,
            )

        run_orders(scenario)

    def test_the_state_outlives_the_retention(self):
        async def scenario(site):
            site.log.conditions.retention_s = 100
            await publish_wanted(site, ENGINES[4], '7', model='other')
            await wait_until(
                lambda: (
                    not current_changes(site)
                    and served_versions(site)[4] == '7'
                )
            )
            await asyncio.sleep(250)
            router = await site.start_host('entry-7')
            await asyncio.sleep(10)
            assert router.blackboard.orders.settled
            entry = router.blackboard.endpoints_by_id[ENGINES[4]]
            assert entry.model == 'other'

        run_orders(scenario, LAYOUT)
