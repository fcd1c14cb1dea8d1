"""Rendezvous hashing: which node is responsible for a key."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def _score(key: str, node_id: str) -> tuple[int, str]:
    # A length prefix keeps ('ab', 'c') and ('a', 'bc') apart.
    data = f'{len(key)}:{key}{node_id}'.encode()
    return xxhash.xxh3_64_intdigest(data), node_id


def rank(key: str, node_ids: Iterable[str]) -> list[str]:
    """Returns the nodes by falling preference for a key.

    The order does not depend on the order of node_ids, and removing a node
    leaves the order of the others as it was.

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
