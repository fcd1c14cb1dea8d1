"""Promises on leaving endpoints, drains and profiles, under failure."""

import asyncio

import pytest

from mustardscale.configuration.config_records import ConfigKey, Profile
from mustardscale.hosts.membership import LEAVING_MEMORY_S
from standins.fault_actions import FaultActions
from standins.fault_callers import FaultCallers
from standins.fault_operators import KEY, FaultOperators
from standins.faults import Outage
from standins.host_list_model import HostChange
from tests.test_memory_site import LEDGER, answer, language, run
from tests.test_promises_answers import outcome_of

KNOWN_AFTER_S = 3.0
IN_FORCE_S = 6.0


class TestLeaving:
    """An endpoint that is leaving gets no new work after 3 s."""

    async def work_after(self, site, endpoint, seconds):
        """Marks an endpoint and returns the work it gets after a time."""
        engine = site.engines_by_id[endpoint]
        site.host_list.change(HostChange(leaving=[endpoint]))
        await asyncio.sleep(seconds)
        before = sum(engine.counters.executions_by_request.values())
        hosts = list(site.routers_by_host.values())
        await asyncio.gather(
            *(
                outcome_of(answer(hosts[number % 6], language(number, 50)))
                for number in range(30)
            )
        )
        after = sum(engine.counters.executions_by_request.values())
        return after - before

    def test_listed_as_leaving(self):
        async def scenario(site):
            work = await self.work_after(site, 'katode-lm-3', KNOWN_AFTER_S)
            assert work == 0

        run(scenario)

    def test_list_lags(self):
        async def scenario(site):
            site.host_list.conditions.lag_s = 2.0
            seconds = 2.0 + KNOWN_AFTER_S
            work = await self.work_after(site, 'katode-lm-3', seconds)
            assert work == 0

        run(scenario)

    @pytest.mark.parametrize('host', [f'entry-{n}' for n in range(1, 7)])
    def test_one_host_is_cut_from_the_list(self, host):
        async def scenario(site):
            site.cut_pairs.add((host, 'list'))
            work = await self.work_after(site, 'katode-lm-3', KNOWN_AFTER_S)
            assert work == 0

        run(scenario)

    def test_an_endpoint_that_stays_after_all_gets_work_again(self):
        async def scenario(site):
            endpoint = 'katode-lm-3'
            site.host_list.change(HostChange(leaving=[endpoint]))
            await asyncio.sleep(KNOWN_AFTER_S)
            listed = site.listed_by_id()[endpoint]
            site.host_list.change(HostChange(put=[listed]))
            await asyncio.sleep(LEAVING_MEMORY_S + KNOWN_AFTER_S)
            now = asyncio.get_running_loop().time()
            for router in site.routers_by_host.values():
                entry = router.blackboard.endpoints_by_id[endpoint]
                assert not entry.leaving(now)

        run(scenario)

    def test_list_is_out_but_the_endpoint_refuses(self):
        async def scenario(site):
            site.host_list.conditions.outage = Outage.REFUSE
            site.engines_by_id['katode-lm-3'].faults.leaving = True
            work = await self.work_after(site, 'katode-lm-3', KNOWN_AFTER_S)
            assert work == 0

        run(scenario)


class TestDrain:
    """A graceful stop cuts off nothing."""

    def test_all_hosts_in_turn_under_load(self):
        async def scenario(site):
            actions = FaultActions(site)
            callers = FaultCallers(site, actions, site.rng)
            load = asyncio.create_task(callers.run(60.0))
            for host in sorted(site.routers_by_host):
                await actions.drain(host)
                await asyncio.sleep(2)
            await load
            sends = [send for r in callers.records for send in r.sends]
            refused = [send for send in sends if send.not_run]
            assert not actions.cut_short
            assert not any(send.lost for send in sends)
            assert len(refused) < 0.005 * len(sends)
            assert not any(record.problems for record in callers.records)

        run(scenario)


class TestProfiles:
    """An accepted change is in force everywhere and never reverts."""

    def versions(self, site, key):
        """Returns the versions of a key over the hosts."""
        return {
            router.blackboard.config.version(key)
            for router in site.routers_by_host.values()
        }

    def test_forty_operators_race(self):
        async def scenario(site):
            operators = FaultOperators(site, site.rng)
            for _ in range(5):
                racers = (operators.publish() for _ in range(40))
                await asyncio.gather(*racers)
            fates = [result.status for result in operators.results.values()]
            assert operators.judge() == []
            assert fates.count('accepted') >= 5
            await asyncio.sleep(IN_FORCE_S)
            assert len(self.versions(site, KEY)) == 1

        run(scenario)

    def test_publish_answer_is_lost(self):
        async def scenario(site):
            operators = FaultOperators(site, site.rng)
            site.log.conditions.lose_next_answers = 1
            await operators.publish()
            fates = [result.status for result in operators.results.values()]
            assert fates == ['accepted']
            assert operators.judge() == []

        run(scenario)

    def test_host_cut_from_the_log(self):
        async def scenario(site):
            site.cut_pairs.add(('entry-4', 'log'))
            operators = FaultOperators(site, site.rng)
            await operators.publish()
            await asyncio.sleep(IN_FORCE_S)
            versions = self.versions(site, KEY)
            assert len(versions) == 1
            assert versions != {0}

        run(scenario)

    def test_host_started_during_an_outage(self):
        async def scenario(site):
            await site.kill_host('entry-4')
            site.log.conditions.outage = Outage.REFUSE
            router = await site.start_host('entry-4')
            await asyncio.sleep(IN_FORCE_S)
            assert router.is_ready()
            assert len(self.versions(site, ConfigKey('profile', LEDGER))) == 1

        run(scenario)

    def test_retention_passes_the_record(self):
        async def scenario(site):
            site.log.conditions.retention_s = 400
            await site.kill_host('entry-4')
            await asyncio.sleep(700)
            router = await site.start_host('entry-4')
            key = ConfigKey('profile', LEDGER)
            site.cut_pairs |= {('entry-4', 'list')}
            await asyncio.sleep(IN_FORCE_S)
            # Without the list it knows no peers: the log's snapshot is left.
            assert router.blackboard.config.version(key) > 0
            assert len(self.versions(site, key)) == 1

        run(scenario)

    def test_an_old_snapshot_is_read_late(self):
        async def scenario(site):
            board = site.routers_by_host['entry-1'].blackboard
            old = board.config.snapshot()
            key = ConfigKey('profile', LEDGER)
            base = board.config.version(key)
            newest = await site.publish(key, Profile(weight=2.0), base)
            await site.append_snapshot(old)
            await asyncio.sleep(IN_FORCE_S)
            assert self.versions(site, key) == {newest}

        run(scenario)

    def test_slow_log(self):
        async def scenario(site):
            site.log.conditions.delay_s = 1.5
            operators = FaultOperators(site, site.rng)
            await operators.publish()
            await asyncio.sleep(IN_FORCE_S)
            assert len(self.versions(site, KEY)) == 1
            assert self.versions(site, KEY) != {0}

        run(scenario)
