"""Tests of how configuration reaches a host from its peers."""

import random

from mustardscale.blackboard import Blackboard, HostEntry
from mustardscale.config_sync import ConfigPeerController
from mustardscale.peer_calls import PeerCalls
from standins.memory_peers import MemoryPeerNetwork
from tests.virtual_time import virtual_time


class TestHostsAhead:
    """Which peers are asked."""

    @virtual_time
    async def test_only_live_hosts_that_are_further_on_are_asked(self):
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
