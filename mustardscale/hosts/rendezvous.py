"""Rendezvous hashing, which finds the node responsible for a key."""

from __future__ import annotations

import functools
import math
from collections.abc import Iterable, Mapping

import xxhash

_HASH_COUNT = 2.0**64
# Number of remembered hashes of a key with a node. The keys that have weights
# are few, and are looked up again at every check of who is responsible.
MAX_REMEMBERED = 1 << 14


def _score(key: str, node_id: str) -> tuple[int, str]:
    # A length prefix keeps ('ab', 'c') and ('a', 'bc') apart.
    data = f'{len(key)}:{key}{node_id}'.encode()
    return xxhash.xxh3_64_intdigest(data), node_id


def rank(key: str, node_ids: Iterable[str]) -> list[str]:
    """Returns the nodes by falling preference for a key.

    The order does not depend on the order of node_ids. Removing a node does not
    change the order of the others.

    >>> rank('k', ['a', 'b']) == rank('k', ['b', 'a'])
    True
    """
    return sorted(node_ids, key=lambda node: _score(key, node), reverse=True)


def owner(key: str, node_ids: Iterable[str]) -> str:
    """Returns the node responsible for a key.

    Raises:
        ValueError: there are no nodes.
    """
    return max(node_ids, key=lambda node: _score(key, node))


def weighted_rank(key: str, weight_by_id: Mapping[str, float]) -> list[str]:
    """Returns the nodes by falling preference for a key.

    The probability that a node is first is proportional to its weight. If all
    weights are equal, the order is that of rank(). Removing a node does not
    change the order of the others.

    Args:
        key: the key.
        weight_by_id: the weight of each node, above 0.

    >>> weighted_rank('k', {'a': 1, 'b': 1}) == rank('k', ['a', 'b'])
    True
    """
    return [node for _, node in sorted(_costs(key, weight_by_id))]


def weighted_owner(key: str, weight_by_id: Mapping[str, float]) -> str:
    """Returns the node responsible for a key, the first of weighted_rank().

    Raises:
        ValueError: there are no nodes.
    """
    return min(_costs(key, weight_by_id))[1]


def _costs(
    key: str, weight_by_id: Mapping[str, float]
) -> list[tuple[float, str]]:
    """Returns the nodes with numbers that are lower for preferred ones."""
    return [
        (_exponential(key, node) / weight, node)
        for node, weight in weight_by_id.items()
    ]


@functools.lru_cache(MAX_REMEMBERED)
def _exponential(key: str, node_id: str) -> float:
    """Returns an exponentially distributed number for a key and a node."""
    score, _ = _score(key, node_id)
    return -math.log((score + 0.5) / _HASH_COUNT)
