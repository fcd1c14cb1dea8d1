"""Tests of rendezvous hashing."""

import collections

import pytest

from mustardscale.hosts.rendezvous import owner, rank

NODES = [f'host-{number}' for number in range(7)]


class TestRendezvous:
    """The nodes that are responsible for keys."""

    def test_removal_moves_only_the_removed_nodes_keys(self):
        fewer = NODES[:3] + NODES[4:]
        for number in range(500):
            key = f'key-{number}'
            without = [node for node in rank(key, NODES) if node != NODES[3]]
            assert rank(key, fewer) == without

    def test_keys_are_spread(self):
        count_by_node = collections.Counter(
            owner(f'key-{number}', NODES) for number in range(7000)
        )
        assert set(count_by_node) == set(NODES)
        assert max(count_by_node.values()) < 1200

    def test_owner_is_first_of_rank(self):
        for number in range(50):
            assert owner(str(number), NODES) == rank(str(number), NODES)[0]
        with pytest.raises(ValueError):
            owner('key', [])
