"""Which hosts exchange heartbeats, and what some say of the others.

All pairs of hosts exchange them while hosts are few. Among many hosts each one
exchanges them with a few hubs, which tell whom they hear, so that the work of a
host does not grow with the square of their number.
"""

from __future__ import annotations

import asyncio
import dataclasses
import math
from collections.abc import Iterable, Iterator

import xxhash

from mustardscale.blackboard import Blackboard, HostEntry
from mustardscale.hosts.rendezvous import rank
from mustardscale.peers.peer_messages import HeardHost, Heartbeat

# Up to this many hosts all pairs exchange heartbeats.
MOST_IN_MESH = 12
# Hubs among more hosts. Less than half of them can be lost at once without a
# pause in which the others find new ones.
HUBS = 5

_HUBS_KEY = 'heartbeats'


@dataclasses.dataclass(frozen=True, slots=True)
class HubWord:
    """What a hub said last of the hosts that it hears.

    Attributes:
        digest: of the hosts.
        heard: the hosts.
        told_at: loop time at which it said so.
    """

    digest: int
    heard: tuple[HeardHost, ...]
    told_at: float


class HeartbeatHubs:
    """Chooses the hubs, and keeps their word and this host's own.

    Attributes:
        hub_ids: the hubs at present; all hosts while these are few.
        is_mesh: whether all pairs exchange heartbeats.
    """

    __slots__ = (
        '_blackboard',
        '_dead_after_s',
        '_heard',
        '_heard_digest',
        '_word_by_hub',
        'hub_ids',
        'is_mesh',
    )

    def __init__(self, blackboard: Blackboard, dead_after_s: float):
        self._blackboard = blackboard
        self._dead_after_s = dead_after_s
        self._word_by_hub: dict[str, HubWord] = {}
        self._heard: tuple[HeardHost, ...] = ()
        self._heard_digest = 0
        self.hub_ids: frozenset[str] = frozenset()
        self.is_mesh = True

    def choose(self) -> None:
        """Chooses the hubs anew among the hosts that may be live."""
        now = asyncio.get_running_loop().time()
        board = self._blackboard
        hosts = {
            host.id
            for host in board.hosts_by_id.values()
            if not host.draining and self._may_live(host, now)
        }
        if not board.draining:
            hosts.add(board.host)
        self.is_mesh = len(hosts) <= MOST_IN_MESH
        if self.is_mesh:
            self.hub_ids = frozenset(hosts)
        else:
            self.hub_ids = frozenset(rank(_HUBS_KEY, hosts)[:HUBS])
        for hub in set(self._word_by_hub) - self.hub_ids:
            del self._word_by_hub[hub]

    def _may_live(self, host: HostEntry, now: float) -> bool:
        """Returns whether a host is live, or just listed and may be."""
        if not host.silent:
            return True
        never_heard = host.incarnation == 0
        return never_heard and now - host.silent_since <= self._dead_after_s

    def pairs_with(self, host: str) -> bool:
        """Returns whether this host exchanges heartbeats with another one."""
        if self.is_mesh:
            return True
        return host in self.hub_ids or self._blackboard.host in self.hub_ids

    def note_heard(self) -> None:
        """Works out anew which hosts this one hears itself."""
        if self.is_mesh or self._blackboard.host not in self.hub_ids:
            self._heard, self._heard_digest = (), 0
            return
        now = asyncio.get_running_loop().time()
        self._heard = tuple(
            HeardHost(host.id, host.incarnation, host.draining, 0.0)
            for host in sorted(
                self._blackboard.hosts_by_id.values(), key=lambda host: host.id
            )
            if now - host.heard_at <= self._dead_after_s
        )
        self._heard_digest = digest_of(self._heard)

    @property
    def heard_digest(self) -> int:
        """Digest of the hosts that this one hears as a hub, 0 if it is none."""
        return self._heard_digest

    def known_digest(self, hub: str) -> int:
        """Returns the digest of what a hub has said, 0 for nothing."""
        word = self._word_by_hub.get(hub)
        return word.digest if word is not None else 0

    def news_for(self, known_digest: int) -> tuple[HeardHost, ...]:
        """Returns this hub's word for a peer that knows another one."""
        return () if known_digest == self._heard_digest else self._heard

    def take(self, beat: Heartbeat, now: float) -> None:
        """Takes a hub's word from its heartbeat."""
        if self.is_mesh or not beat.heard_digest:
            return
        heard = beat.heard
        known = self._word_by_hub.get(beat.host)
        if known is not None and known.digest == beat.heard_digest:
            heard = known.heard
        elif digest_of(heard) != beat.heard_digest:
            return
        self._word_by_hub[beat.host] = HubWord(beat.heard_digest, heard, now)

    def words(self, now: float) -> Iterator[HubWord]:
        """Yields what hubs have said lately."""
        for hub, word in self._word_by_hub.items():
            if hub in self.hub_ids and now - word.told_at <= self._dead_after_s:
                yield word


def digest_of(heard: Iterable[HeardHost]) -> int:
    """Returns a digest of hosts that are heard, never 0."""
    digest = xxhash.xxh3_64()
    for host in heard:
        text = f'{host.host}/{host.incarnation}/{host.draining};'
        digest.update(text.encode())
    return digest.intdigest() | 1


def vouched_at(
    answered_at: float, quorum_age_s: float, heard_at: float
) -> float:
    """Returns until when a hub is known not to take this host for dead.

    Args:
        answered_at: when this host sent the last heartbeat that it answered.
        quorum_age_s: age of the hub's own quorum by its last heartbeat,
            negative for none.
        heard_at: when that one came.
    """
    if quorum_age_s < 0:
        return -math.inf
    return min(answered_at, heard_at - quorum_age_s)
