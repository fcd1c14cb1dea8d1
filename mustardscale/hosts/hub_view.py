"""The hosts that a hub hears (its view), and changes between two views."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

import xxhash

from mustardscale.peers.peer_messages import HeardHost


@dataclasses.dataclass(frozen=True, slots=True)
class HubView:
    """The hosts that a hub hears.

    Attributes:
        digest: digest of the hosts, 0 for the empty view.
        heard: the hosts, ordered by their ids.
        names: ids of the hosts.
    """

    digest: int
    heard: tuple[HeardHost, ...]
    names: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class ViewDelta:
    """Changes to a hub's view since an earlier one that a peer knows.

    Attributes:
        since: digest of the earlier view, 0 if `heard` has all hosts.
        heard: the hosts that are new or changed since.
        lost: ids of the hosts that are no longer heard.
    """

    since: int = 0
    heard: tuple[HeardHost, ...] = ()
    lost: tuple[str, ...] = ()


EMPTY_VIEW = HubView(0, (), frozenset())


def make_view(heard: Iterable[HeardHost]) -> HubView:
    """Returns the view of the given hosts, which may be in any order."""
    ordered = tuple(sorted(heard, key=lambda host: host.host))
    names = frozenset(host.host for host in ordered)
    return HubView(compute_digest(ordered), ordered, names)


def compute_digest(heard: Iterable[HeardHost]) -> int:
    """Returns the digest of heard hosts, which is never 0."""
    digest = xxhash.xxh3_64()
    for host in heard:
        text = f'{host.host}/{host.incarnation}/{host.draining};'
        digest.update(text.encode())
    return digest.intdigest() | 1


def compute_delta(known: HubView, present: HubView) -> ViewDelta:
    """Returns the changes between two views of a hub.

    Args:
        known: the earlier view, EMPTY_VIEW for none.
        present: the later view.
    """
    before = set(known.heard)
    return ViewDelta(
        known.digest,
        tuple(host for host in present.heard if host not in before),
        tuple(sorted(known.names - present.names)),
    )


def apply_delta(known: HubView, delta: ViewDelta) -> HubView:
    """Returns the view that results from applying changes to a view."""
    by_id = {host.host: host for host in known.heard}
    for name in delta.lost:
        by_id.pop(name, None)
    by_id.update((host.host, host) for host in delta.heard)
    return make_view(by_id.values())
