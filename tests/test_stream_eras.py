"""Tests of streams whose service comes back from an older copy."""

import asyncio
import os
import random

import pytest
import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st

from mustardscale.blackboard import Blackboard
from mustardscale.configuration.wanted_state import EngineTarget
from mustardscale.endpoints.engines import EngineRole
from mustardscale.exceptions import LogUnavailableError, LogUncertainError
from mustardscale.hosts.host_list import ListedHost, ListedKind
from mustardscale.hosts.host_list_controller import HostListController
from mustardscale.hosts.host_registration import HostRegistration
from mustardscale.hosts.membership import MembershipTimes
from mustardscale.log.keyed_log import KeyedPage, KeyedRecord, RecordsGoneError
from mustardscale.log.keyed_tail import WITHHELD_S, KeyedTail
from mustardscale.log.log_client import LogPage, LogRecord
from mustardscale.log.stream_eras import (
    StreamEras,
    era_of,
    offset_of,
    position_of,
)
from mustardscale.orders.order_state import (
    EngineChange,
    OrderRecord,
    OrderState,
    encode_order_record,
)
from mustardscale.platform.store_client import (
    StoreClient,
    StoreLog,
    parse_era,
)
from mustardscale.reporting.event_log import EventKind
from standins.platform_plan import CONFIG
from standins.platform_store import PlatformStore
from tests.platform_site import PlatformSite, listen, until
from tests.test_keyed_tail import FakeLog, Scene
from tests.test_stream_copies import Fleet
from tests.virtual_time import virtual_time

# Seeds of the random returns; more by hand.
SEEDS = int(os.environ.get('RETURN_SEEDS', '20'))
# Long enough for reads that are tried again, seconds.
SOON_S = 1.0


class ReturningLog(FakeLog):
    """A stream that can come back from an older copy."""

    def __init__(self):
        super().__init__()
        self.eras = StreamEras()

    def come_back(self, count):
        """Keeps the first records only, and begins an era."""
        del self.records[count:]
        self.eras.note(self.eras.newest + 1)

    def _placed(self, page):
        era = self.eras.newest
        return KeyedPage(
            tuple(
                KeyedRecord(r.key, r.value, position_of(era, r.offset))
                for r in page.records
            ),
            position_of(era, page.end_offset),
        )

    async def newest(self, stream):
        return self._placed(await super().newest(stream))

    async def read(self, stream, after, wait_s):
        self.eras.check(after)
        return await self.eras.while_current(
            self._read(stream, offset_of(after), wait_s)
        )

    async def _read(self, stream, offset, wait_s):
        page = await super().read(stream, offset, wait_s)
        return self._placed(page)


class ReturningScene(Scene):
    """A tail of such a stream."""

    def __init__(self):
        super().__init__()
        self.log = ReturningLog()
        self.tail = KeyedTail(self.board, self.log, 's', random.Random(1))

    async def write(self, *values):
        for key, value in values:
            self.log.put_now(key, value)
        await asyncio.sleep(0.01)


class TestPositions:
    """Era and offset in one number."""

    @given(
        st.tuples(st.integers(0, 8191), st.integers(0, 2**40 - 1)),
        st.tuples(st.integers(0, 8191), st.integers(0, 2**40 - 1)),
    )
    @settings(derandomize=True, deadline=None)
    def test_they_are_ordered_by_era_then_offset(self, one, other):
        first, second = position_of(*one), position_of(*other)
        assert (first < second) == (one < other)
        assert (era_of(first), offset_of(first)) == one
        assert first < 2**53


class TestEras:
    """What a service tells of its era."""

    @virtual_time
    async def test_a_read_that_waits_ends_with_the_era(self):
        eras = StreamEras()
        reading = asyncio.create_task(eras.while_current(asyncio.sleep(60.0)))
        await asyncio.sleep(0.1)
        eras.note(1)
        with pytest.raises(RecordsGoneError):
            await reading

    @virtual_time
    async def test_a_read_that_is_given_up_is_cancelled(self):
        eras = StreamEras()
        ended = asyncio.Event()

        async def read():
            try:
                await asyncio.sleep(60.0)
            finally:
                ended.set()

        reading = asyncio.create_task(eras.while_current(read()))
        await asyncio.sleep(0.1)
        reading.cancel()
        await asyncio.sleep(0.1)
        assert ended.is_set()

    def test_an_answer_of_an_earlier_era_is_dropped(self):
        eras = StreamEras()
        eras.note(2)
        with pytest.raises(LogUnavailableError):
            eras.note(1)
        assert eras.newest == 2


class TestTail:
    """A keyed stream that came back from an older copy."""

    @virtual_time
    async def test_what_is_written_again_below_the_old_end_is_seen(self):
        async with ReturningScene() as scene:
            await scene.write(*((f'k{n}', b'1') for n in range(10)))
            scene.log.come_back(6)
            await scene.write(('k0', b'2'))
            await asyncio.sleep(SOON_S)
            kept = {f'k{n}': b'1' for n in range(1, 6)}
            assert scene.tail.value_by_key == kept | {'k0': b'2'}
            reads = scene.log.newest_reads
            await asyncio.sleep(10.0)
            assert scene.log.newest_reads == reads

    @virtual_time
    async def test_twice_in_quick_succession(self):
        async with ReturningScene() as scene:
            await scene.write(('a', b'1'), ('b', b'1'), ('c', b'1'))
            scene.log.come_back(2)
            await scene.write(('d', b'1'))
            scene.log.come_back(1)
            await scene.write(('e', b'1'))
            await asyncio.sleep(SOON_S)
            assert scene.tail.value_by_key == {'a': b'1', 'e': b'1'}

    @virtual_time
    async def test_a_key_that_was_dropped_stays_so_until_written_again(self):
        async with ReturningScene() as scene:
            await scene.write(('a', b'1'), ('b', b'1'))
            await scene.write(('a', b''))
            scene.log.come_back(2)
            await asyncio.sleep(SOON_S)
            assert scene.tail.present_values() == {'b': b'1'}
            await scene.write(('a', b'1'))
            await asyncio.sleep(0.01)
            assert scene.tail.present_values() == {'a': b'1', 'b': b'1'}

    @virtual_time
    async def test_a_key_that_is_not_dropped_again_is_there(self):
        async with ReturningScene() as scene:
            await scene.write(('a', b'1'), ('b', b'1'))
            await scene.write(('a', b''))
            scene.log.come_back(2)
            await asyncio.sleep(WITHHELD_S + SOON_S)
            assert scene.tail.present_values() == {'a': b'1', 'b': b'1'}

    @virtual_time
    async def test_the_return_is_told_and_starts_the_grace(self):
        async with ReturningScene() as scene:
            await scene.write(('a', b'1'), ('b', b'1'))
            await asyncio.sleep(5.0)
            returned_at = asyncio.get_running_loop().time()
            scene.log.come_back(1)
            await asyncio.sleep(SOON_S)
            assert scene.tail.regained_at >= returned_at
        kinds = [recorded[0] for recorded in scene.events.recorded]
        assert kinds.count(EventKind.STREAM_SET_BACK) == 1


class TestCopies:
    """Hosts that copy the stream from hubs."""

    @virtual_time
    async def test_all_have_what_the_stream_has(self):
        fleet = Fleet()
        log = ReturningLog()
        for host in (*fleet.hubs, *fleet.followers):
            host.tail._client = log
        for number in range(6):
            log.put_now(f'k{number}', b'1')
        async with fleet.running():
            await asyncio.sleep(30.0)
            log.come_back(3)
            log.put_now('new', b'1')
            await asyncio.sleep(5.0)
            kept = {f'k{number}': b'1' for number in range(3)}
            assert all(
                value == kept | {'new': b'1'} for value in fleet.values()
            )

    @virtual_time
    async def test_a_new_reader_drops_what_it_never_knew(self):
        fleet = Fleet(hubs=1, followers=1)
        fleet.log.put_now('a', b'1')
        fleet.log.put_now('b', b'1')
        async with fleet.running():
            await asyncio.sleep(30.0)
            hub, follower = fleet.hubs[0], fleet.followers[0]
            fleet.log.put_now('a', b'')
            # The hub has just started: it reads all anew.
            hub.tail.value_by_key.clear()
            hub.tail._offset_by_key.clear()
            hub.tail.end_offset = 0
            await hub.tail._read_all()
            await asyncio.sleep(5.0)
            assert follower.tail.value_by_key == {'b': b'1'}


CHANGE = EngineChange(
    'e', EngineTarget(EngineRole.DECODE, 'm', '2'), 'a', 1, False
)


def order_page(era, payloads, first=1, compacted=False):
    records = tuple(
        LogRecord(position_of(era, offset), payload)
        for offset, payload in enumerate(payloads, first)
    )
    end = position_of(era, first + len(payloads) - 1)
    return LogPage(records, 1, end, compacted)


def order_record(base, host='a', changes=()):
    return encode_order_record(OrderRecord(base, host, 1, tuple(changes)))


class TestOrders:
    """Orders under way on a stream that came back."""

    def known(self):
        """Returns a state, and the records that made it, in era 1."""
        state = OrderState()
        records = [
            order_record(0),
            order_record(position_of(1, 1), changes=(CHANGE,)),
        ]
        state.apply_page(order_page(1, records))
        assert state.change_by_engine['e'].number == position_of(1, 2)
        return state, records

    def test_a_lost_change_stays_known_until_it_is_written_again(self):
        state, records = self.known()
        state.apply_page(order_page(2, records[:1], compacted=True))
        assert state.lost
        assert state.version == position_of(2, 1)
        assert state.change_by_engine['e'].number == position_of(1, 2)
        again = order_record(
            state.version, 'b', state.change_by_engine.values()
        )
        state.apply_page(order_page(2, [again], first=2))
        assert not state.lost
        assert state.change_by_engine['e'].number == position_of(1, 2)
        assert state.version == position_of(2, 2)

    def test_a_stream_that_is_empty_now(self):
        state, _ = self.known()
        empty = LogPage((), 1, position_of(2, 0), True)
        state.apply_page(empty)
        assert state.lost
        assert offset_of(state.version) == 0
        assert 'e' in state.change_by_engine

    def test_nothing_is_lost_where_the_copy_has_the_newest(self):
        state, records = self.known()
        state.apply_page(order_page(2, records[1:], first=2, compacted=True))
        assert not state.lost
        assert state.version == position_of(2, 2)
        assert state.change_by_engine['e'].number == position_of(1, 2)

    def test_what_was_written_since_the_return_counts(self):
        state, _ = self.known()
        later = order_record(position_of(2, 1), 'b')
        state.apply_page(order_page(2, [later], first=2, compacted=True))
        assert (state.host, state.lost) == ('b', False)
        assert state.change_by_engine == {}

    def test_numbers_rise_across_the_return(self):
        state, records = self.known()
        state.apply_page(order_page(2, records[:1], compacted=True))
        other = EngineChange('f', CHANGE.target, 'b', 1, False)
        state.apply_page(
            order_page(2, [order_record(state.version, 'b', [other])], first=2)
        )
        number = state.change_by_engine['f'].number
        assert number > position_of(1, 2)


class TestLeaving:
    """Endpoints that were seen leaving, on a list from an older copy."""

    def controller(self):
        board = Blackboard('me', 1, 'dc', 'r')

        class Source:
            regained_at = float('-inf')
            version = 1
            take_passed = list

        return board, HostListController(
            board, Source(), MembershipTimes(), random.Random(1)
        )

    def listed(self, leaving, start):
        return ListedHost(
            'a', ListedKind.PLAIN, 'a:1', 'dc', 'r', leaving, 's', start=start
        )

    @virtual_time
    async def test_a_process_does_not_come_back_from_leaving(self):
        board, controller = self.controller()
        now = asyncio.get_running_loop().time()
        for leaving in (False, True, False):
            controller.apply([self.listed(leaving, 7)])
        assert board.endpoints_by_id['a'].leaving(now)
        controller.apply([])
        controller.apply([self.listed(False, 7)])
        assert board.endpoints_by_id['a'].leaving(now)

    @virtual_time
    async def test_the_next_process_does(self):
        board, controller = self.controller()
        now = asyncio.get_running_loop().time()
        controller.apply([self.listed(True, 7)])
        controller.apply([self.listed(False, 8)])
        assert not board.endpoints_by_id['a'].leaving(now)


class Announcements:
    """A list that notes who announces itself."""

    def __init__(self):
        self.announced = []

    async def announce(self, host):
        self.announced.append(host)


class TestRegistration:
    """A host's own entry."""

    def scene(self, listed):
        board = Blackboard('me', 1, 'dc', 'r')
        board.address = 'me:2'
        controller = type('Controller', (), {'listed': listed})()
        source = Announcements()
        registration = HostRegistration(
            board, source, controller, random.Random(1)
        )
        return board, source, registration

    @virtual_time
    async def test_an_older_entry_of_it_is_replaced(self):
        old = ListedHost('me', ListedKind.ENTRY, 'me:1', 'dc', 'r')
        _, source, registration = self.scene([old])
        task = asyncio.create_task(registration.run())
        await asyncio.sleep(5.0)
        task.cancel()
        assert len(source.announced) > 1

    @virtual_time
    async def test_a_host_that_drains_stays_off_the_list(self):
        board, source, registration = self.scene([])
        task = asyncio.create_task(registration.run())
        await asyncio.sleep(0.1)
        board.draining = True
        before = len(source.announced)
        await asyncio.sleep(10.0)
        task.cancel()
        assert len(source.announced) == before


class TestStoreClient:
    """Positions made of what the store tells."""

    def run(self, scenario):
        async def main():
            store = PlatformStore()
            runner, address = await listen(store.application())
            client = StoreClient(address)
            try:
                await scenario(store, client)
            finally:
                await client.close()
                await runner.cleanup()

        uvloop.run(main())

    def test_positions_rise_when_the_store_comes_back(self):
        async def scenario(store, client):
            first = await client.put('keyed.t', 'k', b'1')
            copy = store.take_copy()
            second = await client.put('keyed.t', 'k', b'2', after=first)
            store.come_back_from(copy)
            page = await client.newest('keyed.t')
            assert page.records[0].value == b'1'
            assert first < second < page.end_offset
            with pytest.raises(RecordsGoneError):
                await client.read('keyed.t', second, 0.0)
            more = await client.put('keyed.t', 'k', b'3', page.end_offset)
            page = await client.read('keyed.t', page.end_offset, 0.0)
            assert [r.offset for r in page.records] == [more]

        self.run(scenario)

    def test_a_condition_on_an_earlier_era_fails(self):
        async def scenario(store, client):
            first = await client.put('keyed.t', 'k', b'1')
            store.come_back_from(store.take_copy())
            await client.newest('keyed.t')
            with pytest.raises(LogUnavailableError):
                await client.put('keyed.t', 'k', b'2', after=first)
            assert store.calls['/mustardscale/log-append'] == 1

        self.run(scenario)

    def test_an_append_told_late_is_uncertain(self):
        async def scenario(store, client):
            store.come_back_from({})
            await client.newest('keyed.t')
            store.era = 1
            with pytest.raises(LogUncertainError):
                await client.put('keyed.t', 'k', b'1')

        self.run(scenario)

    @pytest.mark.parametrize('text', ['', 'x', '-1', '1.5', '9' * 5_000, '٣'])
    def test_a_header_that_is_no_era_is_none(self, text):
        assert parse_era(text) == 0

    def test_an_answer_without_an_era_is_dropped_once_one_was_told(self):
        async def scenario(store, client):
            await client.newest('keyed.t')
            store.era = 'none'
            with pytest.raises(LogUnavailableError):
                await client.newest('keyed.t')

        self.run(scenario)

    def test_a_silent_read_of_the_earlier_era_ends(self):
        async def scenario(store, client):
            store.faults.keeps_reads = True
            position = await client.put('keyed.t', 'k', b'1')
            reading = asyncio.create_task(
                client.read('keyed.t', position, 30.0)
            )
            await until(lambda: store.calls['/mustardscale/log-read'])
            store.come_back_from({})
            await client.newest('keyed.t')
            with pytest.raises(RecordsGoneError):
                await reading

        self.run(scenario)

    def test_orders_are_read_whole_again(self):
        async def scenario(store, client):
            log = StoreLog(client)
            (first,) = await log.append('orders', [b'1'], 0)
            copy = store.take_copy()
            (second,) = await log.append('orders', [b'2'], first)
            store.come_back_from(copy)
            page = await log.read('orders', second)
            assert page.compacted
            assert [r.payload for r in page.records] == [b'1']
            assert page.end_offset > second

        self.run(scenario)


class TestWholePath:
    """Hosts on a store that comes back from an older copy."""

    def test_no_version_goes_back_and_new_ones_come(self):
        async def scenario(site):
            routers = [await site.add_host(name) for name in ('h0', 'h1')]
            copy = site.store.take_copy()
            site.configure(CONFIG | {'version': 20})
            await until(lambda: versions(routers) == {20})
            site.store.come_back_from(copy)
            # Its peer tells it of the version that the copy lacks.
            routers.append(await site.add_host('h2'))
            await until(lambda: versions(routers) == {20})
            site.configure(CONFIG | {'version': 30})
            await until(lambda: versions(routers) == {30})

        run_site(scenario)

    def test_each_host_is_listed_again(self):
        async def scenario(site):
            copy = site.store.take_copy()
            names = {'h0', 'h1'}
            for name in sorted(names):
                await site.add_host(name)
            await until(lambda: site.store.keys('keyed.hosts') == names)
            site.store.come_back_from(copy)
            assert site.store.keys('keyed.hosts') == set()
            await until(lambda: site.store.keys('keyed.hosts') == names)

        run_site(scenario)


def versions(routers):
    """Returns the versions in force."""
    return {router.blackboard.config.routes.table.version for router in routers}


def run_site(scenario):
    async def main():
        async with PlatformSite() as site:
            await scenario(site)

    uvloop.run(main())


class TestRandomReturns:
    """Readers through random returns, outages and cuts."""

    ROUNDS = 30
    KEYS = tuple(f'k{number}' for number in range(8))

    @pytest.mark.parametrize('seed', range(SEEDS))
    @virtual_time
    async def test_all_agree_once_it_is_calm(self, seed):
        rng = random.Random(seed)
        fleet = Fleet(hubs=rng.randint(1, 3), followers=rng.randint(1, 4))
        log = ReturningLog()
        hosts = [*fleet.hubs, *fleet.followers]
        cut = ReturningLog()
        cut.down = True
        for host in hosts:
            host.tail._client = log
        async with fleet.running():
            for _ in range(self.ROUNDS):
                self.disturb(rng, log, hosts, cut)
                await asyncio.sleep(rng.choice([0.0, 0.05, 0.4, 2.0]))
            log.down = False
            for host in hosts:
                host.tail._client, host.mute = log, False
            # Whoever still needs an entry writes it again after a return.
            written = dict.fromkeys(self.KEYS[:4], b'%d' % seed)
            for key, value in written.items():
                log.put_now(key, value)
            for key in self.KEYS[4:]:
                log.put_now(key, b'')
            await asyncio.sleep(8.0)
            values = [host.tail.present_values() for host in hosts]
            assert values == [written] * len(hosts)
            assert len({host.tail.end_offset for host in hosts}) == 1

    def disturb(self, rng, log, hosts, cut):
        """Does one thing to the stream or to a host."""
        host = rng.choice(hosts)
        kind = rng.random()
        if kind < 0.5:
            value = rng.choice([b'', b'a', b'b'])
            log.put_now(rng.choice(self.KEYS), value)
        elif kind < 0.65:
            log.come_back(rng.randint(0, len(log.records)))
        elif kind < 0.75:
            log.down = not log.down
            log.wake()
        elif kind < 0.9:
            host.tail._client = rng.choice([cut, log])
            host.tail.read_anew()
        else:
            host.mute = not host.mute
