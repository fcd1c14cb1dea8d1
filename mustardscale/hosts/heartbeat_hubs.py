"""Which hosts exchange heartbeats, and what some say of the others.

All pairs of hosts exchange them while hosts are few. Among many hosts each one
exchanges them with a few hubs, which tell whom they hear, so that the work of a
host does not grow with the square of their number.
"""

from __future__ import annotations

import asyncio
import dataclasses
import math

from mustardscale.blackboard import Blackboard, HostEntry
from mustardscale.hosts.duties import rank_hosts
from mustardscale.hosts.hub_word import (
    NO_WORD,
    HubNews,
    HubWord,
    apply_news,
    news_between,
    word_of,
)
from mustardscale.peers.peer_messages import HeardHost, Heartbeat

# Up to this many hosts all pairs exchange heartbeats.
MOST_IN_MESH = 12
# Hubs among more hosts. Less than half of them can be lost at once without a
# pause in which the others find new ones.
HUBS = 5
# Hubs that read the platform's streams for all.
READERS = 3

# Own words that a hub keeps, to tell its peers only what has changed since.
KEPT_WORDS = 16

_HUBS_KEY = 'heartbeats'


@dataclasses.dataclass(frozen=True, slots=True)
class ToldWord:
    """What a hub said last.

    Attributes:
        word: its word.
        told_at: loop time at which it said so.
    """

    word: HubWord
    told_at: float


class HeartbeatHubs:
    """Chooses the hubs, and keeps their word and this host's own.

    Attributes:
        hub_ids: the hubs at present; all hosts while these are few.
        reader_ids: the hubs that read the platform's streams for all.
        is_mesh: whether all pairs exchange heartbeats.
    """

    __slots__ = (
        '_blackboard',
        '_candidates',
        '_dead_after_s',
        '_told_by_hub',
        '_word',
        '_word_by_digest',
        'hub_ids',
        'is_mesh',
        'reader_ids',
    )

    def __init__(self, blackboard: Blackboard, dead_after_s: float):
        self._blackboard = blackboard
        self._dead_after_s = dead_after_s
        # Capacity of the hosts among which the hubs were chosen last.
        self._candidates: dict[str, float] = {}
        self._told_by_hub: dict[str, ToldWord] = {}
        # What this host says as a hub, and what it said before.
        self._word = NO_WORD
        self._word_by_digest: dict[int, HubWord] = {}
        self.hub_ids: frozenset[str] = frozenset()
        self.reader_ids: frozenset[str] = frozenset()
        self.is_mesh = True

    def choose(self) -> None:
        """Chooses the hubs anew among the hosts that may be live."""
        now = asyncio.get_running_loop().time()
        board = self._blackboard
        capacity_by_id = {
            host.id: host.capacity
            for host in board.hosts_by_id.values()
            if not host.draining and self._may_live(host, now)
        }
        if not board.draining:
            capacity_by_id[board.host] = board.capacity
        if capacity_by_id == self._candidates:
            return
        self._candidates = capacity_by_id
        hosts = frozenset(capacity_by_id)
        self.is_mesh = len(hosts) <= MOST_IN_MESH
        ranked = [] if self.is_mesh else rank_hosts(board, _HUBS_KEY, hosts)
        self.hub_ids = hosts if self.is_mesh else frozenset(ranked[:HUBS])
        self.reader_ids = frozenset(ranked[:READERS])
        for hub in set(self._told_by_hub) - self.hub_ids:
            del self._told_by_hub[hub]

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

    @property
    def is_hub(self) -> bool:
        """Whether this host is one of a few hubs."""
        return not self.is_mesh and self._blackboard.host in self.hub_ids

    @property
    def is_reader(self) -> bool:
        """Whether this host reads the platform's streams for all."""
        return self._blackboard.host in self.reader_ids

    def note_heard(self) -> None:
        """Works out anew which hosts this one hears itself."""
        if not self.is_hub:
            self._word = NO_WORD
            self._word_by_digest.clear()
            return
        now = asyncio.get_running_loop().time()
        board = self._blackboard
        heard = [
            HeardHost(host.id, host.incarnation, host.draining, 0.0)
            for host in board.hosts_by_id.values()
            if now - host.heard_at <= self._dead_after_s
        ]
        # With itself, so that hubs that hear the same say the same.
        heard.append(
            HeardHost(board.host, board.incarnation, board.draining, 0.0)
        )
        heard.sort(key=lambda host: host.host)
        if tuple(heard) != self._word.heard:
            self._say(word_of(heard))

    def _say(self, word: HubWord) -> None:
        self._word = word
        self._word_by_digest.pop(word.digest, None)
        self._word_by_digest[word.digest] = word
        if len(self._word_by_digest) > KEPT_WORDS:
            del self._word_by_digest[next(iter(self._word_by_digest))]

    @property
    def heard_digest(self) -> int:
        """Digest of the hosts that this one hears as a hub, 0 if it is none."""
        return self._word.digest

    def known_digest(self, hub: str) -> int:
        """Returns the digest of what a hub has said, 0 for nothing."""
        told = self._told_by_hub.get(hub)
        return told.word.digest if told is not None else 0

    def news_for(self, known_digest: int) -> HubNews:
        """Returns this hub's word for a peer that may know another one."""
        if known_digest == self._word.digest:
            return HubNews(known_digest)
        known = self._word_by_digest.get(known_digest, NO_WORD)
        return news_between(known, self._word)

    def take(self, beat: Heartbeat, now: float) -> None:
        """Takes a hub's word from its heartbeat."""
        if self.is_mesh or not beat.heard_digest:
            return
        told = self._told_by_hub.get(beat.host)
        known = told.word if told is not None else NO_WORD
        word = known
        if known.digest != beat.heard_digest:
            if beat.heard_since not in (0, known.digest):
                return
            base = known if beat.heard_since else NO_WORD
            news = HubNews(beat.heard_since, beat.heard, beat.lost)
            word = apply_news(base, news)
            if word.digest != beat.heard_digest:
                return
        self._told_by_hub[beat.host] = ToldWord(word, now)

    def told_words(self, now: float) -> list[ToldWord]:
        """Returns what hubs have said lately, the newest first.

        Of hubs that say the same, only the newest one is listed.
        """
        told_by_digest: dict[int, ToldWord] = {}
        for hub, told in self._told_by_hub.items():
            if hub not in self.hub_ids:
                continue
            if now - told.told_at > self._dead_after_s:
                continue
            known = told_by_digest.get(told.word.digest)
            if known is None or known.told_at < told.told_at:
                told_by_digest[told.word.digest] = told
        return sorted(told_by_digest.values(), key=lambda told: -told.told_at)


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
