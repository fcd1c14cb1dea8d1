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
from mustardscale.hosts.hub_view import (
    EMPTY_VIEW,
    HubView,
    ViewDelta,
    apply_delta,
    compute_delta,
    make_view,
)
from mustardscale.peers.peer_messages import HeardHost, Heartbeat

# Up to this many hosts all pairs exchange heartbeats.
MAX_MESH_HOSTS = 12
# Hubs among more hosts. Less than half of them can be lost at once without a
# pause in which the others find new ones.
HUB_COUNT = 5
# Hubs that read the platform's streams for all.
READER_COUNT = 3

# Own words that a hub keeps, to tell its peers only what has changed since.
KEPT_VIEWS = 16

_HUBS_KEY = 'heartbeats'


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedView:
    """What a hub said last.

    Attributes:
        view: its word.
        reported_at: loop time at which it said so.
    """

    view: HubView
    reported_at: float


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
        '_view',
        '_view_by_digest',
        '_view_by_hub',
        'hub_ids',
        'is_mesh',
        'reader_ids',
    )

    def __init__(self, blackboard: Blackboard, dead_after_s: float):
        self._blackboard = blackboard
        self._dead_after_s = dead_after_s
        # Capacity of the hosts among which the hubs were chosen last.
        self._candidates: dict[str, float] = {}
        self._view_by_hub: dict[str, ReportedView] = {}
        # What this host says as a hub, and what it said before.
        self._view = EMPTY_VIEW
        self._view_by_digest: dict[int, HubView] = {}
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
            if not host.draining and self._may_be_live(host, now)
        }
        if not board.draining:
            capacity_by_id[board.host] = board.capacity
        if capacity_by_id == self._candidates:
            return
        self._candidates = capacity_by_id
        hosts = frozenset(capacity_by_id)
        self.is_mesh = len(hosts) <= MAX_MESH_HOSTS
        ranked = [] if self.is_mesh else rank_hosts(board, _HUBS_KEY, hosts)
        self.hub_ids = hosts if self.is_mesh else frozenset(ranked[:HUB_COUNT])
        self.reader_ids = frozenset(ranked[:READER_COUNT])
        for hub in set(self._view_by_hub) - self.hub_ids:
            del self._view_by_hub[hub]

    def _may_be_live(self, host: HostEntry, now: float) -> bool:
        """Returns whether a host is live, or just listed and may be."""
        if not host.silent:
            return True
        never_heard = host.incarnation == 0
        return never_heard and now - host.silent_since <= self._dead_after_s

    def exchanges_with(self, host: str) -> bool:
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

    def update_view(self) -> None:
        """Works out anew which hosts this one hears itself."""
        if not self.is_hub:
            self._view = EMPTY_VIEW
            self._view_by_digest.clear()
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
        if tuple(heard) != self._view.heard:
            self._set_view(make_view(heard))

    def _set_view(self, view: HubView) -> None:
        self._view = view
        self._view_by_digest.pop(view.digest, None)
        self._view_by_digest[view.digest] = view
        if len(self._view_by_digest) > KEPT_VIEWS:
            del self._view_by_digest[next(iter(self._view_by_digest))]

    @property
    def heard_digest(self) -> int:
        """Digest of the hosts that this one hears as a hub, 0 if it is none."""
        return self._view.digest

    def known_digest(self, hub: str) -> int:
        """Returns the digest of what a hub has said, 0 for nothing."""
        reported = self._view_by_hub.get(hub)
        return reported.view.digest if reported is not None else 0

    def delta_for(self, known_digest: int) -> ViewDelta:
        """Returns this hub's word for a peer that may know another one."""
        if known_digest == self._view.digest:
            return ViewDelta(known_digest)
        known = self._view_by_digest.get(known_digest, EMPTY_VIEW)
        return compute_delta(known, self._view)

    def merge_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Takes a hub's word from its heartbeat."""
        if self.is_mesh or not heartbeat.heard_digest:
            return
        reported = self._view_by_hub.get(heartbeat.host)
        known = reported.view if reported is not None else EMPTY_VIEW
        view = known
        if known.digest != heartbeat.heard_digest:
            if heartbeat.heard_since not in (0, known.digest):
                return
            base = known if heartbeat.heard_since else EMPTY_VIEW
            delta = ViewDelta(
                heartbeat.heard_since, heartbeat.heard, heartbeat.lost
            )
            view = apply_delta(base, delta)
            if view.digest != heartbeat.heard_digest:
                return
        self._view_by_hub[heartbeat.host] = ReportedView(view, now)

    def recent_views(self, now: float) -> list[ReportedView]:
        """Returns what hubs have said lately, the newest first.

        Of hubs that say the same, only the newest one is listed.
        """
        newest_by_digest: dict[int, ReportedView] = {}
        for hub, reported in self._view_by_hub.items():
            if hub not in self.hub_ids:
                continue
            if now - reported.reported_at > self._dead_after_s:
                continue
            known = newest_by_digest.get(reported.view.digest)
            if known is None or known.reported_at < reported.reported_at:
                newest_by_digest[reported.view.digest] = reported
        return sorted(
            newest_by_digest.values(),
            key=lambda reported: -reported.reported_at,
        )


def confirmed_live_at(
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
