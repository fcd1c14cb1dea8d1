"""Counts the open calls of all hosts at plain endpoints, from heartbeats.

Each host sees few of the calls to an endpoint. So hosts tell each other in
their heartbeats how many calls they have open there. In a mesh every host tells
every other one; with more hosts, the hubs sum up what hosts tell them and tell
each host the sum over the others.
"""

from __future__ import annotations

import collections
import dataclasses

import xxhash

from mustardscale.peers.load_messages import EndpointLoad

# Age from which a peer's statement is ignored, seconds; several heartbeats have
# been lost by then.
MAX_STATEMENT_AGE_S = 1.6
# Largest number of open calls that a heartbeat can hold.
MAX_OPEN_CALLS = (1 << 31) - 1

_OpenByKey = collections.Counter[int]


def compute_key(endpoint_id: str) -> int:
    """Returns the digest that names an endpoint in heartbeats, 31 bits."""
    return xxhash.xxh32_intdigest(endpoint_id.encode()) >> 1


@dataclasses.dataclass(frozen=True, slots=True)
class _Statement:
    """What a peer told last, and when by this host's loop time."""

    open_by_key: _OpenByKey
    told_at: float


class EndpointLoads:
    """Open calls at the plain endpoints over all hosts."""

    __slots__ = ('_own', '_peers_total', '_statement_by_peer', '_sum_by_hub')

    def __init__(self):
        self._own: _OpenByKey = collections.Counter()
        self._statement_by_peer: dict[str, _Statement] = {}
        # Sum of the statements, kept so that a hub need not sum them up for
        # each of its heartbeats.
        self._peers_total: _OpenByKey = collections.Counter()
        self._sum_by_hub: dict[str, _Statement] = {}

    def begin(self, endpoint_id: str) -> None:
        """Records that this host sends a call."""
        self._own[compute_key(endpoint_id)] += 1

    def end(self, endpoint_id: str) -> None:
        """Records that a call of this host has ended, in whatever way."""
        key = compute_key(endpoint_id)
        self._own[key] -= 1
        if self._own[key] <= 0:
            del self._own[key]

    def list_own(self) -> tuple[EndpointLoad, ...]:
        """Returns the open calls of this host."""
        return _list_loads(self._own)

    def list_sum(self, peer: str, now: float) -> tuple[EndpointLoad, ...]:
        """Returns the open calls of all hosts except a peer."""
        self._expire(now)
        total = self._peers_total + self._own
        known = self._statement_by_peer.get(peer)
        if known is not None:
            total.subtract(known.open_by_key)
        return _list_loads(total)

    def merge(
        self,
        peer: str,
        own: tuple[EndpointLoad, ...],
        summed: tuple[EndpointLoad, ...],
        now: float,
    ) -> None:
        """Records what a peer's heartbeat tells.

        Args:
            peer: id of the peer.
            own: its own open calls.
            summed: open calls of the others, if it is a hub.
            now: loop time.
        """
        self._forget(peer)
        if own:
            statement = _Statement(_count(own), now)
            self._statement_by_peer[peer] = statement
            self._peers_total.update(statement.open_by_key)
        self._sum_by_hub.pop(peer, None)
        if summed:
            self._sum_by_hub[peer] = _Statement(_count(summed), now)

    def count_open(self, endpoint_ids: list[str], now: float) -> dict[str, int]:
        """Returns the open calls of all hosts at endpoints, by their ids.

        The newest sum of a hub is used; where no hub tells one, what the peers
        told of their own calls is summed up.
        """
        self._expire(now)
        total = self._peers_total
        if self._sum_by_hub:
            newest = max(self._sum_by_hub.values(), key=lambda s: s.told_at)
            total = newest.open_by_key
        open_by_id = {}
        for endpoint_id in endpoint_ids:
            key = compute_key(endpoint_id)
            open_by_id[endpoint_id] = max(0, total[key] + self._own[key])
        return open_by_id

    def _expire(self, now: float) -> None:
        oldest_at = now - MAX_STATEMENT_AGE_S
        for peer, statement in list(self._statement_by_peer.items()):
            if statement.told_at < oldest_at:
                self._forget(peer)
        for hub, statement in list(self._sum_by_hub.items()):
            if statement.told_at < oldest_at:
                del self._sum_by_hub[hub]

    def _forget(self, peer: str) -> None:
        known = self._statement_by_peer.pop(peer, None)
        if known is not None:
            # The subtraction drops the endpoints without open calls.
            self._peers_total -= known.open_by_key


def _count(loads: tuple[EndpointLoad, ...]) -> _OpenByKey:
    counts: _OpenByKey = collections.Counter()
    for load in loads:
        counts[load.endpoint_key] += max(0, load.open_calls)
    return counts


def _list_loads(open_by_key: _OpenByKey) -> tuple[EndpointLoad, ...]:
    return tuple(
        EndpointLoad(key, min(count, MAX_OPEN_CALLS))
        for key, count in sorted(open_by_key.items())
        if count > 0
    )
