"""Orders to engines when holders, the log or engines fail."""

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
    all_have,
    changes,
    holder,
    loading,
    long_request,
    run_orders,
    until,
    versions,
    want,
)
from tests.test_memory_site import answer, whole


class TestHolders:
    """The host that gives orders pauses, dies or is not the only one."""

    def test_killed_in_the_middle(self):
        async def scenario(site):
            await want(site)
            # A third one would leave no majority of the listed hosts.
            for _ in range(2):
                await until(
                    lambda: (
                        loading(site) and holder(site) in site.routers_by_host
                    )
                )
                await site.kill_host(holder(site))
            await until(lambda: all_have(site, '2'))
            assert site.weight_store.counters.refused == 0

        run_orders(scenario)

    @pytest.mark.parametrize('at_s', [0.0, 0.7, 1.4, 2.1, 4.0])
    def test_paused_and_resumed(self, at_s):
        async def scenario(site):
            actions = FaultActions(site)
            await want(site)
            await until(lambda: changes(site))
            await asyncio.sleep(at_s)
            paused = holder(site)
            end = actions.freeze(paused)
            await until(lambda: holder(site) != paused)
            await want(site, version='3')
            await asyncio.sleep(8)
            await end()
            await until(lambda: all_have(site, '3'))
            await asyncio.sleep(20)
            assert all_have(site, '3')

        run_orders(scenario)

    @pytest.mark.parametrize('engine', [ENGINES[0], ENGINES[4]])
    def test_an_order_held_back_by_a_pause_arrives_late(self, engine):
        async def scenario(site):
            await want(site)
            await until(lambda: engine in changes(site))
            change = changes(site)[engine]
            await until(lambda: all_have(site, '2'))
            await want(site, version='3')
            await until(lambda: all_have(site, '3'))
            model = site.engines_by_id[engine]
            late = EngineOrder(change.number, change.target.role, MODEL, '2')
            if model.parameters.checks_fencing:
                with pytest.raises(EndpointRefusedError, match='fenced'):
                    await model.order(late)
                assert all_have(site, '3')
            else:
                await model.order(late)
                await until(lambda: '2' in versions(site))
                await until(lambda: all_have(site, '3'))

        run_orders(scenario)

    def test_a_record_that_a_pause_held_back_changes_nothing(self):
        async def scenario(site):
            await want(site)
            await until(lambda: loading(site))
            stream = orders_stream(site.layout.region)
            first = next(iter(changes(site).values()))
            other = dataclasses.replace(first, engine=ENGINES[2], number=1)
            late = encode_order_record(
                OrderRecord(0, 'entry-1', 1, changes=(other,))
            )
            await site.log.append(stream, [late])
            for _ in range(20):
                await asyncio.sleep(0.5)
                assert len(loading(site)) <= 1
            assert site.weight_store.counters.refused == 0
            await until(lambda: all_have(site, '2'))

        run_orders(scenario)

    def test_an_earlier_holder_s_order_is_refused_after_a_takeover(self):
        async def scenario(site):
            await want(site)
            await until(lambda: ENGINES[0] in changes(site))
            first = changes(site)[ENGINES[0]]
            FaultActions(site).freeze(first.host)
            await until(lambda: set(versions(site)) == {'2'})
            target = first.target
            late = EngineOrder(first.number, target.role, MODEL, '2')
            with pytest.raises(EndpointRefusedError, match='fenced'):
                await site.engines_by_id[ENGINES[0]].order(late)

        run_orders(scenario)

    def test_every_host_takes_itself_for_the_holder(self, monkeypatch):
        async def scenario(site):
            # They reach different engines, and so choose different ones.
            for number, engine in enumerate(ENGINES, 1):
                site.cut_pairs.add((f'entry-{number}', engine))
                site.cut_pairs.add((f'entry-{number % 5 + 1}', engine))
            await want(site)
            with monkeypatch.context() as patch:
                chosen = orders.OrderController._knows_the_configuration
                patch.setattr(orders.OrderController, '_is_chosen', chosen)
                for _ in range(80):
                    await asyncio.sleep(0.25)
                    assert len(changes(site)) <= 1
                    assert len(loading(site)) <= 1
            assert site.weight_store.counters.refused == 0
            site.cut_pairs.clear()
            await until(lambda: all_have(site, '2'))

        run_orders(scenario)

    def test_nothing_is_ordered_without_a_majority(self):
        async def scenario(site):
            for one in site.routers_by_host:
                for other in site.routers_by_host:
                    if one < other:
                        site.peers.cut(one, other)
            await asyncio.sleep(5)
            await want(site)
            await asyncio.sleep(30)
            assert versions(site) == ['1'] * 5

        run_orders(scenario)


class TestPlatform:
    """The log, the engines and the answers fail."""

    @pytest.mark.parametrize('outage', [Outage.REFUSE, Outage.HANG])
    def test_log_outage(self, outage):
        async def scenario(site):
            await want(site)
            await until(lambda: loading(site))
            engine = loading(site)[0]
            site.log.conditions.outage = outage
            await asyncio.sleep(30)
            # What was ordered is carried out and serves; nothing else begins.
            assert sorted(versions(site)) == ['1'] * 4 + ['2']
            pool = next(
                pool
                for router in site.routers_by_host.values()
                for pool in router.pool_owner.owned_by_id.values()
            )
            assert pool.state.engines_by_id[engine].usable
            site.log.conditions.outage = Outage.NONE
            await until(lambda: all_have(site, '2'))

        run_orders(scenario)

    def test_a_stated_order_is_not_sent_in_an_outage(self):
        async def scenario(site):
            host = site.routers_by_host['entry-1']
            request = long_request()
            reading = asyncio.create_task(answer(host, request))
            await asyncio.sleep(1)
            engines = site.engines_by_id
            busy = next(n for n in ENGINES[2:] if engines[n].held_streams())
            await want(site, busy)
            await until(lambda: busy in changes(site))
            site.log.conditions.outage = Outage.REFUSE
            await asyncio.sleep(5)
            assert not reading.done()
            assert await reading == whole(request)
            await asyncio.sleep(30)
            assert versions(site) == ['1'] * 5
            site.log.conditions.outage = Outage.NONE
            await until(lambda: '2' in versions(site))

        run_orders(scenario)

    def test_log_answers_are_lost(self):
        async def scenario(site):
            site.log.conditions.lose_answer_probability = 0.5
            await want(site)
            await until(lambda: all_have(site, '2'))
            assert site.weight_store.counters.refused == 0

        run_orders(scenario)

    def test_answers_to_orders_are_lost(self):
        async def scenario(site):
            for engine in site.engines_by_id.values():
                engine.faults.lose_order_answers = True
            await want(site)
            await until(lambda: all_have(site, '2'))
            assert site.weight_store.counters.refused == 0

        run_orders(scenario)

    @pytest.mark.parametrize('engine', [ENGINES[0], ENGINES[4]])
    @pytest.mark.parametrize('at_s', [0.0, 1.0, 2.0, 3.0, 5.0])
    def test_engine_crashes_in_the_middle(self, engine, at_s):
        async def scenario(site):
            await want(site)
            await until(lambda: engine in changes(site))
            await asyncio.sleep(at_s)
            site.engines_by_id[engine].kill()
            await until(lambda: all_have(site, '2'))
            # It starts with what its deployment says and is corrected.
            site.engines_by_id[engine].kill()
            await until(lambda: versions(site).count('1') == 1)
            await until(lambda: all_have(site, '2'))

        run_orders(scenario)

    def test_an_engine_that_is_gone_does_not_hold_the_others_up(self):
        async def scenario(site):
            await want(site)
            await until(lambda: ENGINES[2] in changes(site))
            site.engines_by_id[ENGINES[2]].kill(1e6)
            rest = [0, 1, 3, 4]
            await until(
                lambda: [versions(site)[n] for n in rest] == ['2'] * 4, 200
            )

        run_orders(scenario)

    def test_the_state_outlives_the_retention(self):
        async def scenario(site):
            site.log.conditions.retention_s = 100
            await want(site, ENGINES[4], '7', model='other')
            await until(lambda: not changes(site) and versions(site)[4] == '7')
            await asyncio.sleep(250)
            router = await site.start_host('entry-7')
            await asyncio.sleep(10)
            assert router.blackboard.orders.settled
            entry = router.blackboard.endpoints_by_id[ENGINES[4]]
            assert entry.model == 'other'

        run_orders(scenario, LAYOUT)
