"""What a hub says of the hosts that it hears, whole or as a difference."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

import xxhash

from mustardscale.peers.peer_messages import HeardHost


@dataclasses.dataclass(frozen=True, slots=True)
class HubWord:
    """The hosts that a hub hears.

    Attributes:
        digest: of the hosts.
        heard: the hosts, in the order of their ids.
        names: their ids.
    """

    digest: int
    heard: tuple[HeardHost, ...]
    names: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class HubNews:
    """What a hub tells a peer that may know an earlier word.

    Attributes:
        since: digest of that word, 0 if `heard` has all hosts.
        heard: the hosts that are new or changed since.
        lost: ids of the hosts that are not heard any more.
    """

    since: int = 0
    heard: tuple[HeardHost, ...] = ()
    lost: tuple[str, ...] = ()


NO_WORD = HubWord(0, (), frozenset())


def word_of(heard: Iterable[HeardHost]) -> HubWord:
    """Returns the word that names some hosts, in any order."""
    ordered = tuple(sorted(heard, key=lambda host: host.host))
    names = frozenset(host.host for host in ordered)
    return HubWord(digest_of(ordered), ordered, names)


def digest_of(heard: Iterable[HeardHost]) -> int:
    """Returns a digest of hosts that are heard, never 0."""
    digest = xxhash.xxh3_64()
    for host in heard:
        text = f'{host.host}/{host.incarnation}/{host.draining};'
        digest.update(text.encode())
    return digest.intdigest() | 1


def news_between(known: HubWord, present: HubWord) -> HubNews:
    """Returns what has changed between two words of a hub.

    Args:
        known: the earlier one, NO_WORD for none.
        present: the later one.
    """
    before = set(known.heard)
    return HubNews(
        known.digest,
        tuple(host for host in present.heard if host not in before),
        tuple(sorted(known.names - present.names)),
    )


def apply_news(known: HubWord, news: HubNews) -> HubWord:
    """Returns the word that a difference leads to."""
    by_id = {host.host: host for host in known.heard}
    for name in news.lost:
        by_id.pop(name, None)
    by_id.update((host.host, host) for host in news.heard)
    return word_of(by_id.values())
