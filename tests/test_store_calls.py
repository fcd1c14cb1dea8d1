"""Tests of how many calls a fleet of hosts makes to the platform's store."""

import asyncio
import contextlib
import random

import msgspec
import pytest

from mustardscale.blackboard import Blackboard
from mustardscale.hosts.heartbeat_hubs import MAX_MESH_HOSTS
from mustardscale.hosts.host_list import ListedHost, ListedKind
from mustardscale.hosts.stream_copies import (
    CALM_READ_AGE_S,
    CALM_READER_POLL_S,
    READER_PAUSE_S,
    START_S,
)
from mustardscale.log.keyed_tail import LONG_POLL_S, KeyedTail, StreamReading
from mustardscale.orders.order_log import (
    COORDINATOR_POLL_S,
    COPY_CHECK_S,
    OrderLog,
)
from mustardscale.orders.order_state import OrderRecord, encode_order_record
from mustardscale.platform import names
from mustardscale.platform.store_client import StoreLog
from standins.host_fleet import DATA_CENTRES, REGION
from standins.store_fleet import ORDERS_TOPIC, StoreFleet
from standins.store_fleet import START_S as FLEET_START_S
from tests.test_stream_eras import ReturningLog
from tests.virtual_time import virtual_time

HOSTS = 65
# Enough hosts for readers to read for the others.
FEW_HOSTS = 20
# Bound of the time until a change is in force on all hosts, seconds.
CHANGE_BOUND_S = 2.0
# Time after which all hosts of a fleet rely on readers, seconds.
CALM_S = 8.0
# Time of a heartbeat and a copy, seconds.
SOON_S = 1.2


@contextlib.asynccontextmanager
async def running(hosts=HOSTS, listed=False, seed=1):
    """Runs a fleet, of which an earlier run may have left the entries."""
    fleet = StoreFleet(hosts, seed)
    if listed:
        put_entries(fleet, range(1, hosts + 1))
    await fleet.start()
    try:
        yield fleet
    finally:
        await fleet.stop()


def put_entries(fleet, numbers):
    """Writes the entries that hosts write when they start."""
    for number in numbers:
        host = f'h{number:03}'
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        entry = ListedHost(
            host, ListedKind.ENTRY, fleet.address(host), data_centre, REGION
        )
        fleet.store.append(names.HOSTS_TOPIC, host, msgspec.json.encode(entry))


def is_ready(fleet):
    return all(r.is_ready() for r in fleet.router_by_host.values())


async def measure(condition, limit_s=30.0):
    """Returns the seconds until a condition holds."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    while not condition():
        assert loop.time() - began_at < limit_s
        await asyncio.sleep(0.002)
    return loop.time() - began_at


def put_order(fleet, number):
    """Writes a record of orders, as a coordinator elsewhere would."""
    records = fleet.store.records_by_stream.get(ORDERS_TOPIC, [])
    record = OrderRecord(len(records), f'x{number}', 1)
    return fleet.store.append(
        ORDERS_TOPIC, f'orders-{REGION}', encode_order_record(record)
    )


def order_versions(fleet):
    routers = fleet.router_by_host.values()
    return {router.blackboard.orders.version for router in routers}


def readers_of(fleet):
    router = next(iter(fleet.router_by_host.values()))
    return sorted(router.heartbeats.hubs.reader_ids)


def coordinators_of(fleet):
    """Returns the hosts that read orders as coordinators do."""
    now = asyncio.get_running_loop().time()
    return [
        host
        for host, router in fleet.router_by_host.items()
        if now - order_log_of(router).read_at <= 2 * COORDINATOR_POLL_S
    ]


def order_log_of(router):
    return next(
        controller
        for controller in router._controllers
        if isinstance(controller, OrderLog)
    )


class TestCalls:
    """The number of calls; the bounds guard against more of them."""

    @pytest.mark.parametrize(('listed', 'bound'), [(False, 700), (True, 480)])
    @virtual_time
    async def test_start_of_all_hosts_and_quiet_operation(self, listed, bound):
        async with running(listed=listed) as fleet:
            assert await measure(lambda: is_ready(fleet)) < 0.2
            await asyncio.sleep(16.0 - FLEET_START_S)
            before = fleet.store.count()
            await asyncio.sleep(14.0)
            assert fleet.store.count() <= bound
            assert fleet.store.count() - before <= 140

    @virtual_time
    async def test_changes_that_come_together_are_read_together(self):
        async with running() as fleet:
            await asyncio.sleep(CALM_S)
            before = fleet.store.count(names.WORKERS_TOPIC)
            for number in range(20):
                fleet.put_worker(f'w{number}')
                await asyncio.sleep(0.05)
            await asyncio.sleep(1.0)
            # 3 readers, of which each may read once in 0.18 s for 1 s.
            assert fleet.store.count(names.WORKERS_TOPIC) - before <= 3 * 8

    @virtual_time
    async def test_small_sites_read_as_before(self):
        async with running(MAX_MESH_HOSTS) as fleet:
            await asyncio.sleep(CALM_S)
            before = fleet.store.calls.copy()
            await asyncio.sleep(60.0)
            calls = fleet.store.calls - before
            waits = {wait for (_, _, wait) in calls}
            assert waits == {0.9, COORDINATOR_POLL_S, LONG_POLL_S}
            assert calls['read', ORDERS_TOPIC, LONG_POLL_S] >= 3 * 11
            assert calls['read', names.VERSIONS_TOPIC, LONG_POLL_S] >= 3 * 12


class TestOrders:
    """The stream of orders, which hosts other than the coordinator copy."""

    @virtual_time
    async def test_all_hosts_learn_an_order_and_few_read_it(self):
        async with running() as fleet:
            await asyncio.sleep(CALM_S)
            before = fleet.store.count(ORDERS_TOPIC)
            for number in range(5):
                version = put_order(fleet, number)
                await measure(lambda v=version: order_versions(fleet) == {v})
                await asyncio.sleep(2.0)
            # A read of the coordinator a second, and two for each record by
            # each of the readers and the coordinator.
            assert fleet.store.count(ORDERS_TOPIC) - before <= 15 + 5 * 8

    @virtual_time
    async def test_next_coordinator_reads_by_itself(self):
        async with running() as fleet:
            await asyncio.sleep(CALM_S)
            [first] = coordinators_of(fleet)
            await fleet.kill_host(first)
            await measure(lambda: bool(coordinators_of(fleet)))
            [second] = coordinators_of(fleet)
            version = put_order(fleet, 1)
            await asyncio.sleep(0.02)
            state = fleet.router_by_host[second].blackboard.orders
            assert state.version == version

    @virtual_time
    async def test_copies_do_not_show_the_end_of_the_stream(self):
        async with running() as fleet:
            await asyncio.sleep(CALM_S)
            put_order(fleet, 1)
            await asyncio.sleep(SOON_S)
            # Coordinators give orders only after an own read of the end.
            assert len(coordinators_of(fleet)) == 1

    @virtual_time
    async def test_orders_are_learnt_without_readers(self):
        async with running() as fleet:
            await asyncio.sleep(CALM_S)
            for reader in readers_of(fleet):
                fleet.keyed_log_by_host[reader].is_cut = True
            version = put_order(fleet, 1)
            cut = readers_of(fleet)

            def is_known():
                return all(
                    router.blackboard.orders.version == version
                    for host, router in fleet.router_by_host.items()
                    if host not in cut
                )

            taken_s = await measure(is_known)
            assert taken_s <= CALM_READ_AGE_S + SOON_S


class TestReturnedStream:
    """Orders that are copied, on a stream that returns from an older copy."""

    @pytest.mark.parametrize('seed', range(20))
    @virtual_time
    async def test_copied_orders_equal_those_read(self, seed):
        rng = random.Random(seed)
        log = ReturningLog()
        states = []
        tasks = []
        for is_copied in (False, True):
            board = Blackboard('h', 1, 'dc', REGION)
            tail = KeyedTail(board, log, ORDERS_TOPIC, rng)
            if is_copied:
                tail.reading = SharedReading()
                tasks.append(asyncio.create_task(tail.run()))
            order_log = OrderLog(
                board, StoreLog(log), rng, tail if is_copied else None
            )
            tasks.append(asyncio.create_task(order_log.run()))
            states.append(board.orders)
        read, copied = states
        for number in range(12):
            if rng.random() < 0.3:
                log.come_back(rng.randint(0, len(log.records)))
            else:
                # The platform takes a record only of a writer that has read
                # the one before it.
                record = OrderRecord(read.version, f'x{number}', 1)
                content = encode_order_record(record)
                log.put_now(f'orders-{REGION}', content)
            await asyncio.sleep(SOON_S + COPY_CHECK_S)
            for name in ('version', 'host', 'lost'):
                assert getattr(copied, name) == getattr(read, name), name
            # A read of an empty stream may wait through the return.
            assert not log.records or copied.folded_offset == read.folded_offset
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class SharedReading(StreamReading):
    """A host that is a reader for others."""

    def wait_s(self, stream):
        return CALM_READER_POLL_S

    def pause_s(self, stream):
        return READER_PAUSE_S

    def is_shared(self):
        return True

    async def wait_started(self):
        return None

    def is_covered(self, stream):
        return False

    async def wait_uncovered(self, stream):
        return None


class TestAges:
    """Changes while readers fail; the bounds are those of the design note."""

    @pytest.mark.parametrize('harm', ['none', 'cut', 'frozen', 'killed'])
    @pytest.mark.parametrize('count', [1, 3])
    @virtual_time
    async def test_change_is_in_force_in_time(self, harm, count):
        async with running(FEW_HOSTS) as fleet:
            await asyncio.sleep(CALM_S)
            for number in range(3):
                harmed = readers_of(fleet)[:count] if harm != 'none' else []
                for host in harmed:
                    await self._harm(fleet, host, harm)
                await asyncio.sleep(0.37 * number)
                version = fleet.set_routes()
                fleet.put_worker('w1', leaving=number % 2 == 0)
                await asyncio.sleep(CHANGE_BOUND_S)
                for host, router in fleet.router_by_host.items():
                    if host in harmed:
                        continue
                    board = router.blackboard
                    assert board.config.routes.table.version == version
                    assert board.endpoints_by_id['w1'].listed_leaving is (
                        number % 2 == 0
                    )
                for host in harmed:
                    await self._mend(fleet, host, harm)
                await asyncio.sleep(CALM_S)
                assert fleet.versions() == {version}

    async def _harm(self, fleet, host, harm):
        if harm == 'cut':
            fleet.keyed_log_by_host[host].is_cut = True
        elif harm == 'frozen':
            fleet.peers.freeze(host)
            fleet.keyed_log_by_host[host].link.keep_back()
        else:
            await fleet.kill_host(host)

    async def _mend(self, fleet, host, harm):
        if harm == 'cut':
            fleet.keyed_log_by_host[host].is_cut = False
        elif harm == 'frozen':
            fleet.peers.thaw(host)
            fleet.keyed_log_by_host[host].link.release()
        else:
            await fleet.start_host(host)


class TestStarts:
    """Hosts that start while the others run, or without the store."""

    @virtual_time
    async def test_restarted_host_copies_and_is_ready_at_once(self):
        async with running() as fleet:
            await asyncio.sleep(CALM_S)
            await fleet.kill_host('h007')
            await asyncio.sleep(1.0)
            before = fleet.store.calls.copy()
            await fleet.start_host('h007')
            assert await measure(lambda: is_ready(fleet)) <= 0.05
            await asyncio.sleep(SOON_S)
            newest = [
                stream
                for kind, stream, _ in fleet.store.calls - before
                if kind == 'newest'
            ]
            assert newest == [names.HOSTS_TOPIC]

    @pytest.mark.parametrize(('killed', 'bound_s'), [(1, 0.1), (2, 0.15)])
    @virtual_time
    async def test_lost_readers_delay_a_restart_by_little(
        self, killed, bound_s
    ):
        async with running(FEW_HOSTS) as fleet:
            await asyncio.sleep(CALM_S)
            for reader in readers_of(fleet)[:killed]:
                await fleet.kill_host(reader)
            others = set(fleet.router_by_host) - set(readers_of(fleet))
            restarted = max(others)
            await fleet.kill_host(restarted)
            await fleet.start_host(restarted)
            assert await measure(lambda: is_ready(fleet)) <= bound_s

    @virtual_time
    async def test_host_that_starts_alone_reads_by_itself(self):
        async with running(1) as fleet:
            assert await measure(lambda: is_ready(fleet)) <= 0.05

    @virtual_time
    async def test_listed_hosts_that_are_gone_delay_a_start_by_little(self):
        async with running(1) as fleet:
            await fleet.kill_host('h001')
            put_entries(fleet, range(2, 60))
            await fleet.start_host('h001')
            assert await measure(lambda: is_ready(fleet)) <= 0.6

    @virtual_time
    async def test_host_starts_without_the_store(self):
        async with running() as fleet:
            await asyncio.sleep(CALM_S)
            await fleet.kill_host('h007')
            fleet.store.available = False
            await fleet.start_host('h007')
            board = fleet.router_by_host['h007'].blackboard
            # Without seeds the host meets the others when they call it.
            await measure(lambda: bool(board.live_hosts()))
            await measure(lambda: is_ready(fleet), 3.0)

    @virtual_time
    async def test_slow_store_delays_a_start_by_little(self):
        async with running(1) as fleet:
            await fleet.kill_host('h001')
            fleet.store.delay_s = 0.5
            await fleet.start_host('h001')
            # All streams were read at once before: 0.5 s.
            assert await measure(lambda: is_ready(fleet)) <= 0.55 + START_S
