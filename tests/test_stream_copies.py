"""Tests of hosts that copy the platform's streams from a few readers."""

import asyncio
import contextlib
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mustardscale.blackboard import Blackboard
from mustardscale.exceptions import PeerUnavailableError
from mustardscale.hosts.copy_fetcher import FETCH_TIMEOUT_S
from mustardscale.hosts.stream_copies import (
    CALM_READER_POLL_S,
    MAX_READ_AGE_S,
    READER_POLL_S,
    StreamCopies,
)
from mustardscale.log.keyed_log import KeyedCopy, KeyedRecord
from mustardscale.log.keyed_tail import COPY_BYTES, LONG_POLL_S, KeyedTail
from mustardscale.peers.stream_messages import StreamFetch, StreamStatus
from tests.test_keyed_tail import FakeLog
from tests.virtual_time import virtual_time

STREAM = 'stream'
HEARTBEAT_S = 0.4
# Time within which a change must take effect, seconds.
CHANGE_BOUND_S = 2.0
# Time after which an unconfirmed configuration denies nothing, seconds.
CONFIRMED_WITHIN_S = 3.0
LATENCY_S = 0.1
# Time for a heartbeat and a copy that fails once, seconds.
SOON_S = HEARTBEAT_S + FETCH_TIMEOUT_S + 0.1


class CountingLog(FakeLog):
    """A stream that counts the reads."""

    def __init__(self):
        super().__init__()
        self.reads = 0

    async def newest(self, stream):
        self.reads += 1
        return await super().newest(stream)

    async def read(self, stream, after, wait_s):
        self.reads += 1
        return await super().read(stream, after, wait_s)


class FakeHubs:
    """A fixed choice of hubs."""

    def __init__(self, host, hub_ids, is_mesh=False):
        self.reader_ids = frozenset(hub_ids)
        self.is_mesh = is_mesh
        self.is_reader = host in self.reader_ids


class Host:
    """One host with its tail, and its calls to other hosts."""

    def __init__(self, fleet, name, log):
        self.log = log
        self.mute = False
        board = Blackboard(name, 1, 'dc', 'region')
        rng = random.Random(name)
        self.tail = KeyedTail(board, log, STREAM, rng)
        self.tail.is_urgent = True
        hubs = FakeHubs(name, fleet.hub_ids, fleet.is_mesh)
        self.copies = StreamCopies(board, self, hubs, [self.tail], rng)
        self._fleet = fleet

    def handle(self, request_type, handler):
        assert request_type is StreamFetch
        self.on_fetch = handler

    async def call(self, host, request, reply_type, timeout_s):
        peer = self._fleet.host_by_id[host]
        if peer.mute:
            raise PeerUnavailableError('no reply')
        return await peer.on_fetch('me', request)


class Fleet:
    """Hubs and followers of one stream, with heartbeats between them."""

    def __init__(self, hubs=2, followers=10, is_mesh=False):
        self.is_mesh = is_mesh
        self.hub_ids = [f'hub{number}' for number in range(hubs)]
        self.log = CountingLog()
        names = self.hub_ids + [f'f{number}' for number in range(followers)]
        self.host_by_id = {name: Host(self, name, self.log) for name in names}
        self.hubs = [self.host_by_id[name] for name in self.hub_ids]
        self.followers = [self.host_by_id[name] for name in names[hubs:]]

    @contextlib.asynccontextmanager
    async def running(self):
        tasks = [asyncio.create_task(self._send_heartbeats())]
        for host in self.host_by_id.values():
            tasks.append(asyncio.create_task(host.tail.run()))
            tasks.append(asyncio.create_task(host.copies.run()))
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _send_heartbeats(self):
        while True:
            now = asyncio.get_running_loop().time()
            for name, host in self.host_by_id.items():
                if host.mute or not (self.is_mesh or host in self.hubs):
                    continue
                statuses = host.copies.statuses(now)
                for peer in self.host_by_id.values():
                    if peer not in (self.hubs if not self.is_mesh else [host]):
                        peer.copies.merge_statuses(name, statuses, now)
            await asyncio.sleep(HEARTBEAT_S)

    def cut_readers_from_the_store(self):
        for reader in self.hubs:
            reader.tail._client = CountingLog()
            reader.tail._client.down = True
            reader.tail.read_anew()

    async def check_ages(self, hosts):
        """Checks that hosts have a confirmed stream all the time."""
        loop = asyncio.get_running_loop()
        for _ in range(300):
            await asyncio.sleep(0.1)
            for host in hosts:
                assert loop.time() - host.tail.proved_at <= CONFIRMED_WITHIN_S

    def values(self):
        return [host.tail.value_by_key for host in self.followers]


class TestCopying:
    """Hosts that are kept up to date by hubs."""

    @virtual_time
    async def test_all_hosts_get_a_change_and_only_hubs_read_the_store(self):
        fleet = Fleet()
        fleet.log.put_now('a', b'1')
        async with fleet.running():
            # Hosts that know no hub yet read the store; these reads end here.
            await asyncio.sleep(30.0)
            before = fleet.log.reads
            for number in range(10):
                fleet.log.put_now('a', b'%d' % number)
                fleet.log.put_now('b', b'' if number % 2 else b'x')
                await asyncio.sleep(SOON_S)
                values = [
                    {'a': b'%d' % number},
                    {'a': b'%d' % number} | {'b': b'x'},
                ]
                assert all(
                    v == values[(number + 1) % 2] for v in fleet.values()
                )
            polls = 10 * SOON_S / READER_POLL_S + 20
            assert fleet.log.reads - before <= len(fleet.hubs) * polls

    @virtual_time
    async def test_hosts_that_read_first_then_rely_on_hubs(self):
        fleet = Fleet()
        async with fleet.running():
            # Each host starts with its own read, which ends at a change.
            for number in range(30):
                fleet.log.put_now('a', b'%d' % number)
                await asyncio.sleep(1.0)
            polls = len(fleet.hubs) * (30 / READER_POLL_S + 30)
            own = fleet.log.reads - polls
            assert own <= 4 * len(fleet.followers)

    @virtual_time
    async def test_a_host_without_the_store_starts_from_a_hub(self):
        fleet = Fleet()
        fleet.log.put_now('a', b'1')
        cut = fleet.followers[0]
        cut.tail._client = CountingLog()
        cut.tail._client.down = True
        async with fleet.running():
            await asyncio.sleep(2 * SOON_S)
            assert cut.tail.value_by_key == {'a': b'1'}
            assert cut.tail.current

    @virtual_time
    async def test_a_drop_without_a_record_is_copied(self):
        fleet = Fleet(hubs=1, followers=1)
        fleet.log.put_now('a', b'1')
        fleet.log.put_now('b', b'1')
        async with fleet.running():
            await asyncio.sleep(30.0)
            hub, follower = fleet.hubs[0].tail, fleet.followers[0].tail
            hub.end_offset += 1
            hub._drop_all_but({'a'})
            await asyncio.sleep(2 * SOON_S)
            assert follower.value_by_key == {'a': b'1'}


class TestLoss:
    """Hubs that fail."""

    @virtual_time
    async def test_all_read_for_themselves_when_the_hubs_are_silent(self):
        fleet = Fleet()
        fleet.log.put_now('a', b'1')
        async with fleet.running():
            await asyncio.sleep(30.0)
            for hub in fleet.hubs:
                hub.mute = True
            fleet.log.put_now('a', b'2')
            await asyncio.sleep(MAX_READ_AGE_S + 0.1)
            assert all(value == {'a': b'2'} for value in fleet.values())

    @virtual_time
    async def test_followers_read_when_the_hubs_lose_the_store(self):
        fleet = Fleet()
        fleet.log.put_now('a', b'1')
        async with fleet.running():
            await asyncio.sleep(30.0)
            for hub in fleet.hubs:
                hub.tail._client = CountingLog()
                hub.tail._client.down = True
            fleet.log.put_now('a', b'2')
            await asyncio.sleep(READER_POLL_S + MAX_READ_AGE_S + HEARTBEAT_S)
            assert all(value == {'a': b'2'} for value in fleet.values())

    @virtual_time
    async def test_a_hub_that_reports_but_does_not_answer_is_bypassed(self):
        fleet = Fleet(hubs=1)
        fleet.log.put_now('a', b'1')
        async with fleet.running():
            await asyncio.sleep(30.0)

            async def refuse(sender, request):
                raise PeerUnavailableError('no reply')

            fleet.hubs[0].on_fetch = refuse
            for number in range(10):
                fleet.log.put_now('a', b'%d' % number)
                await asyncio.sleep(MAX_READ_AGE_S + SOON_S + 0.1 * number)
                known = {'a': b'%d' % number}
                assert all(value == known for value in fleet.values())

    @virtual_time
    async def test_a_resumed_hub_with_old_records_sets_nothing_back(self):
        fleet = Fleet(hubs=1)
        fleet.log.put_now('a', b'1')
        async with fleet.running():
            await asyncio.sleep(30.0)
            hub = fleet.hubs[0]
            hub.mute = True
            old = hub.copies.statuses(asyncio.get_running_loop().time())
            fleet.log.put_now('a', b'0')
            await asyncio.sleep(MAX_READ_AGE_S + 0.1)
            follower = fleet.followers[0]
            for number in range(1, 10):
                fleet.log.put_now('a', b'%d' % number)
                for _ in range(4):
                    # The age that the hub reports excludes its suspension.
                    now = asyncio.get_running_loop().time()
                    follower.copies.merge_statuses('hub0', old, now)
                    await asyncio.sleep(HEARTBEAT_S)
                assert follower.tail.value_by_key == {'a': b'%d' % number}


class TestUnendedReads:
    """Records that end no read that waits, while no hub is heard."""

    @virtual_time
    async def test_record_is_known_late_while_the_hubs_are_silent(self):
        fleet = Fleet()
        fleet.log.put_now('a', b'1')
        async with fleet.running():
            await asyncio.sleep(30.0)
            for hub in fleet.hubs:
                hub.mute = True
            await asyncio.sleep(MAX_READ_AGE_S)
            for number in range(20):
                await asyncio.sleep(0.13 * number)
                fleet.log.records.append(
                    KeyedRecord('a', b'%d' % number, number + 2)
                )
                await asyncio.sleep(CHANGE_BOUND_S)
                known = {'a': b'%d' % number}
                assert all(value == known for value in fleet.values())

    @virtual_time
    async def test_record_of_a_calm_stream_is_known_within_its_age(self):
        fleet = Fleet()
        for host in fleet.host_by_id.values():
            host.tail.is_urgent = False
        fleet.log.put_now('a', b'1')
        async with fleet.running():
            await asyncio.sleep(30.0)
            before = fleet.log.reads
            fleet.log.records.append(KeyedRecord('a', b'2', 2))
            await asyncio.sleep(CALM_READER_POLL_S + SOON_S)
            assert all(value == {'a': b'2'} for value in fleet.values())
            assert fleet.log.reads - before <= 3 * len(fleet.hubs)


class DeafLog(CountingLog):
    """A stream whose new records end no read that waits."""

    def __init__(self, records):
        super().__init__()
        self.records = records


class LatentLog(CountingLog):
    """A stream whose answers take a while."""

    async def read(self, stream, after, wait_s):
        await asyncio.sleep(LATENCY_S)
        return await super().read(stream, after, wait_s)


class TestLostReaders:
    """Readers that can no longer read."""

    @virtual_time
    async def test_stream_looks_old_after_the_readers_lost_the_store(self):
        fleet = Fleet()
        latent = LatentLog()
        latent.records = fleet.log.records
        fleet.log.put_now('a', b'1')
        for follower in fleet.followers:
            follower.tail._client = latent
        async with fleet.running():
            await asyncio.sleep(5.0)
            fleet.cut_readers_from_the_store()
            await fleet.check_ages(fleet.followers)


class TestReadersBehind:
    """Readers that have read an older copy of the store."""

    @pytest.mark.parametrize('is_mesh', [False, True])
    @virtual_time
    async def test_reader_that_is_behind_confirms_the_stream(self, is_mesh):
        fleet = Fleet(is_mesh=is_mesh)
        host = fleet.followers[0]
        records = (KeyedRecord('a', b'1', 9),)
        host.tail.copy(KeyedCopy(records, 9, True))
        now = asyncio.get_running_loop().time()
        status = StreamStatus(STREAM, 5, 0.0, -1.0)
        host.copies.merge_statuses('hub0', [status], now)
        assert host.tail.proved_at < now


class TestMesh:
    """Hosts of which each reads the streams itself."""

    @virtual_time
    async def test_record_that_ends_no_read_is_known_late(self):
        fleet = Fleet(is_mesh=True)
        fleet.log.put_now('a', b'1')
        async with fleet.running():
            for number in range(20):
                await asyncio.sleep(0.13 * number)
                fleet.log.records.append(
                    KeyedRecord('a', b'%d' % number, number + 2)
                )
                await asyncio.sleep(CHANGE_BOUND_S)
                known = {'a': b'%d' % number}
                assert all(value == known for value in fleet.values())

    @virtual_time
    async def test_record_that_a_peer_has_read_is_known_late(self):
        fleet = Fleet(is_mesh=True)
        fleet.log.put_now('a', b'1')
        deaf = DeafLog(fleet.log.records)
        for follower in fleet.followers[1:]:
            follower.tail._client = deaf
        async with fleet.running():
            await asyncio.sleep(3.3)
            for reader in fleet.hubs:
                reader.tail._client = CountingLog()
                reader.tail._client.down = True
                reader.tail.read_anew()
            fleet.log.put_now('a', b'2')
            await asyncio.sleep(SOON_S)
            assert all(value == {'a': b'2'} for value in fleet.values())

    @virtual_time
    async def test_stream_looks_old_while_nothing_changes(self):
        fleet = Fleet(is_mesh=True)
        fleet.log.put_now('a', b'1')
        loop = asyncio.get_running_loop()
        async with fleet.running():
            await asyncio.sleep(5.0)
            for _ in range(100):
                await asyncio.sleep(0.31)
                for follower in fleet.followers:
                    age_s = loop.time() - follower.tail.proved_at
                    assert age_s <= CHANGE_BOUND_S

    @virtual_time
    async def test_stream_looks_old_after_the_readers_lost_the_store(self):
        fleet = Fleet(is_mesh=True)
        fleet.log.put_now('a', b'1')
        async with fleet.running():
            await asyncio.sleep(5.0)
            fleet.cut_readers_from_the_store()
            await fleet.check_ages(fleet.followers)

    @virtual_time
    async def test_stream_looks_confirmed_while_no_reader_reads_it(self):
        fleet = Fleet(is_mesh=True)
        fleet.log.put_now('a', b'1')
        loop = asyncio.get_running_loop()
        async with fleet.running():
            await asyncio.sleep(5.0)
            fleet.log.down = True
            for host in fleet.host_by_id.values():
                host.tail.read_anew()
            await asyncio.sleep(10.0)
            for host in fleet.host_by_id.values():
                assert loop.time() - host.tail.proved_at >= 9.0

    @virtual_time
    async def test_only_readers_ask_often_while_nothing_changes(self):
        fleet = Fleet(is_mesh=True)
        fleet.log.put_now('a', b'1')
        async with fleet.running():
            await asyncio.sleep(5.0)
            before = fleet.log.reads
            await asyncio.sleep(60.0)
            polls = len(fleet.hubs) * 60 / READER_POLL_S
            polls += len(fleet.followers) * 60 / LONG_POLL_S
            assert fleet.log.reads - before <= polls + len(fleet.host_by_id)

    @virtual_time
    async def test_host_without_the_store_knows_that_it_is_without(self):
        fleet = Fleet(is_mesh=True)
        fleet.log.put_now('a', b'1')
        cut = fleet.followers[0]
        async with fleet.running():
            await asyncio.sleep(3.3)
            cut.tail._client = CountingLog()
            cut.tail._client.down = True
            cut.tail.read_anew()
            fleet.log.put_now('a', b'2')
            await asyncio.sleep(SOON_S)
            assert cut.tail.value_by_key == {'a': b'2'}
            assert cut.tail.is_lost


def make_tail(log):
    board = Blackboard('h', 1, 'dc', 'region')
    return KeyedTail(board, log, STREAM, random.Random(1))


class TestParts:
    """The copies that a reader serves."""

    CHANGES = st.lists(
        st.tuples(
            st.sampled_from('abcd'), st.sampled_from([b'', b'1', b'2', None])
        ),
        max_size=30,
    )

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(CHANGES, st.integers(0, 30))
    def test_a_copy_has_the_same_values(self, changes, begun_at):
        giver, taker = make_tail(None), make_tail(None)
        giver._whole = True

        async def play():
            for number, (key, value) in enumerate(changes):
                if number == begun_at:
                    taker.copy(giver.newer_than(taker.end_offset))
                giver.end_offset += 1
                if value is None:
                    # A read of all keys has found this one to be gone.
                    giver._drop_all_but(set(giver.value_by_key) - {key})
                    continue
                record = KeyedRecord(key, value, giver.end_offset)
                giver._offset_by_key[key] = record.offset
                giver.value_by_key.pop(key, None)
                if value:
                    giver.value_by_key[key] = value
            taker.copy(giver.newer_than(taker.end_offset))

        asyncio.run(play())
        assert taker.value_by_key == giver.value_by_key
        assert taker.end_offset == giver.end_offset

    def test_a_large_copy_comes_in_parts(self):
        giver, taker = make_tail(None), make_tail(None)
        giver._whole = True
        size = COPY_BYTES // 3
        for number in range(1, 11):
            giver._offset_by_key[f'k{number}'] = giver.end_offset = number
            giver.value_by_key[f'k{number}'] = bytes(size)

        async def play():
            parts = 0
            while taker.end_offset < giver.end_offset:
                part = giver.newer_than(taker.end_offset)
                assert sum(len(r.value) for r in part.records) <= COPY_BYTES
                taker.copy(part)
                parts += 1
            return parts

        assert asyncio.run(play()) == 4
        assert taker.value_by_key == giver.value_by_key
