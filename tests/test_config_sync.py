"""Tests of copying the configuration from peers."""

import asyncio
import contextlib
import random

import pytest

from mustardscale.blackboard import Blackboard, HostEntry
from mustardscale.configuration.config_copy import ConfigCopy, build_part
from mustardscale.configuration.config_records import (
    ConfigChange,
    ConfigKey,
    Profile,
    ServiceChoice,
    encode_record,
)
from mustardscale.configuration.config_state import ConfigState
from mustardscale.configuration.config_sync import (
    RETRY_S,
    ConfigPeerController,
)
from mustardscale.configuration.route_source import merge_table
from mustardscale.configuration.routes import RouteTable
from mustardscale.log.log_client import CONFIG_STREAM
from mustardscale.peers.config_messages import (
    ConfigFetch,
    ConfigFetchReply,
    ConfigRecord,
)
from mustardscale.peers.peer_calls import PeerCalls
from standins.memory_peers import MemoryPeerNetwork
from standins.memory_site import MemorySite, SiteLayout
from tests.virtual_time import virtual_time

# Number of customers that the system is designed for. Each has one service
# choice; all share one profile.
CUSTOMERS = 20_000
GRACE_S = 0.75
PROFILE_KEY = ConfigKey('profile', 'wide')


def service_change(number, base=0):
    choice = ServiceChoice('wide', model='model', token_sha256=('0' * 64,))
    key = ConfigKey('service', f'customer-{number}')
    return ConfigChange(key, base, f'change-{number}', 'op', service=choice)


def profile_change(base=0):
    return ConfigChange(PROFILE_KEY, base, 'profile', 'op', profile=Profile())


class TestHostsAhead:
    """Selection of the peers to copy from."""

    @virtual_time
    async def test_only_live_hosts_with_later_offset_are_asked(self):
        board = Blackboard('own', 1, 'dc', 'region')
        rng = random.Random(1)
        calls = PeerCalls(board, MemoryPeerNetwork(rng).transport('own'))
        controller = ConfigPeerController(board, calls, rng)
        board.config.folded_offset = 7
        for name, offset, silent in (
            ('behind', 6, False),
            ('level', 7, False),
            ('ahead', 8, False),
            ('dead', 9, True),
        ):
            board.hosts_by_id[name] = HostEntry(
                name, name, 'dc', config_offset=offset, silent=silent
            )
        assert controller.hosts_ahead() == ['ahead']


class Peers:
    """Two hosts, one of which copies the configuration of the other."""

    def __init__(self, grace_s):
        network = MemoryPeerNetwork(random.Random(1))
        rng = random.Random(1)
        self.boards = [Blackboard(n, 1, 'dc', 'region') for n in 'ab']
        self.transports = [network.transport(n) for n in 'ab']
        self.calls = calls = [
            PeerCalls(board, transport)
            for board, transport in zip(
                self.boards, self.transports, strict=True
            )
        ]
        ConfigPeerController(self.boards[0], calls[0], rng)
        self.controller = ConfigPeerController(
            self.boards[1], calls[1], rng, grace_s
        )

    @contextlib.asynccontextmanager
    async def running(self):
        for transport, calls in zip(self.transports, self.calls, strict=True):
            await transport.start(calls.dispatch)
        self.boards[1].hosts_by_id['a'] = HostEntry(
            'a', 'a', 'dc', silent=False
        )
        task = asyncio.create_task(self.controller.run())
        try:
            yield
        finally:
            task.cancel()

    def write(self, version):
        """Puts a version into force at the first host, which tells that."""
        merge_table(self.boards[0], RouteTable(version, (), ()))
        self.boards[1].hosts_by_id['a'].config_offset = version

    def read(self, version):
        """Puts a version into force at the second host, without the first."""
        merge_table(self.boards[1], RouteTable(version, (), ()))

    @property
    def copied_version(self):
        return self.boards[1].config.routes.table.version


class TestGrace:
    """Peers that are ahead for a moment."""

    @virtual_time
    async def test_nothing_is_copied_that_the_log_brings_in_time(self):
        peers = Peers(GRACE_S)
        copies = []
        peers.controller._fetch = copies.append
        async with peers.running():
            for version in range(1, 20):
                peers.write(version)
                await asyncio.sleep(0.9 * GRACE_S)
                peers.read(version)
        assert not copies

    @virtual_time
    async def test_copy_comes_soon_after_the_grace(self):
        peers = Peers(GRACE_S)
        async with peers.running():
            await asyncio.sleep(5.1)
            peers.write(3)
            await asyncio.sleep(RETRY_S + GRACE_S + 0.1)
            assert peers.copied_version == 3

    @virtual_time
    async def test_versions_that_go_on_do_not_put_off_the_copy(self):
        peers = Peers(GRACE_S)
        async with peers.running():
            for version in range(1, 20):
                peers.write(version)
                await asyncio.sleep(0.3 * GRACE_S)
            assert peers.copied_version > 10


class TestCompression:
    """Parts that the asking host may get compressed."""

    def test_part_is_small_and_the_same(self):
        state = ConfigState()
        for number in range(100):
            state.apply(number + 1, encode_record(service_change(number)))
        plain = build_part(state, ConfigFetch(0))
        small = build_part(state, ConfigFetch(0, takes_compressed=True))
        assert not plain.is_compressed
        assert small.is_compressed
        sizes = [len(reply.records[0].payload) for reply in (plain, small)]
        assert sizes[1] < sizes[0] / 3
        copies = [ConfigCopy(0), ConfigCopy(0)]
        assert copies[0].add_part(plain)
        assert copies[1].add_part(small)
        assert copies[0].snapshot() == copies[1].snapshot()

    def test_damaged_part_is_refused(self):
        record = ConfigRecord(1, b'damaged')
        reply = ConfigFetchReply((record,), is_compressed=True)
        assert not ConfigCopy(0).add_part(reply)


class TestStartDuringLogOutage:
    """A host that starts without access to the log copies from a peer."""

    @pytest.mark.parametrize('loss', [0.0, 0.2])
    @virtual_time
    async def test_copies_maximum_supported_entry_count(self, loss):
        site = MemorySite(SiteLayout(entry_hosts=2))
        changes = [profile_change(), *map(service_change, range(CUSTOMERS))]
        records = [encode_record(change) for change in changes]
        await site.log.append(CONFIG_STREAM, records)
        old = await site.start_host('entry-1')
        await asyncio.sleep(10)
        assert len(old.blackboard.config.by_key) == len(records)
        site.cut_pairs.add(('entry-2', 'log'))
        site.peers.lose_replies('entry-1', 'entry-2', loss)
        new = await site.start_host('entry-2')
        await asyncio.sleep(10)
        known, copied = old.blackboard.config, new.blackboard.config
        assert copied.folded_offset == known.folded_offset
        assert copied.digest() == known.digest() != 0
        await site.stop()
