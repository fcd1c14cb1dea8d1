"""Tests of copying the configuration from peers."""

import asyncio
import random

import pytest

from mustardscale.blackboard import Blackboard, HostEntry
from mustardscale.configuration.config_records import (
    ConfigChange,
    ConfigKey,
    Profile,
    ServiceChoice,
    encode_record,
)
from mustardscale.configuration.config_sync import ConfigPeerController
from mustardscale.log.log_client import CONFIG_STREAM
from mustardscale.peers.peer_calls import PeerCalls
from standins.memory_peers import MemoryPeerNetwork
from standins.memory_site import MemorySite, SiteLayout
from tests.virtual_time import virtual_time

# Number of customers that the system is designed for. Each has one service
# choice; all share one profile.
CUSTOMERS = 20_000
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
