"""What a hub says of the hosts that it hears, whole or as a difference."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

import xxhash

from mustardscale.peers.peer_messages import HeardHost


@dataclasses.dataclass(frozen=True, slots=True)
class HubView:
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
class ViewDelta:
    """What a hub tells a peer that may know an earlier word.

    Attributes:
        since: digest of that word, 0 if `heard` has all hosts.
        heard: the hosts that are new or changed since.
        lost: ids of the hosts that are not heard any more.
    """

    since: int = 0
    heard: tuple[HeardHost, ...] = ()
    lost: tuple[str, ...] = ()


EMPTY_VIEW = HubView(0, (), frozenset())


def make_view(heard: Iterable[HeardHost]) -> HubView:
    """Returns the word that names some hosts, in any order."""
    ordered = tuple(sorted(heard, key=lambda host: host.host))
    names = frozenset(host.host for host in ordered)
    return HubView(compute_digest(ordered), ordered, names)


def compute_digest(heard: Iterable[HeardHost]) -> int:
    """Returns a digest of hosts that are heard, never 0."""
    digest = xxhash.xxh3_64()
    for host in heard:
        text = f'{host.host}/{host.incarnation}/{host.draining};'
        digest.update(text.encode())
    return digest.intdigest() | 1


def compute_delta(known: HubView, present: HubView) -> ViewDelta:
    """Returns what has changed between two words of a hub.

    Args:
        known: the earlier one, EMPTY_VIEW for none.
        present: the later one.
    """
    before = set(known.heard)
    return ViewDelta(
        known.digest,
        tuple(host for host in present.heard if host not in before),
        tuple(sorted(known.names - present.names)),
    )


def apply_delta(known: HubView, delta: ViewDelta) -> HubView:
    """Returns the word that a difference leads to."""
    by_id = {host.host: host for host in known.heard}
    for name in delta.lost:
        by_id.pop(name, None)
    by_id.update((host.host, host) for host in delta.heard)
    return make_view(by_id.values())
