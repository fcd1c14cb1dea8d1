"""Chooses the pairs of hosts that exchange heartbeats, and keeps hubs' views.

All pairs of hosts exchange heartbeats while there are few hosts (a mesh). With
more hosts, each one exchanges heartbeats with a few hubs only. The hubs report
which hosts they hear, so that the number of heartbeats does not grow with the
square of the number of hosts.
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

# With up to this many hosts, all pairs exchange heartbeats.
MAX_MESH_HOSTS = 12
# Number of hubs with more hosts. If less than half of them are lost at once,
# there is no pause while the other hosts choose new ones.
HUB_COUNT = 5
# Number of hubs that read the platform's streams for all hosts.
READER_COUNT = 3
# Number of hosts of a mesh that read urgent streams with short waits.
MESH_READER_COUNT = 2

# Number of its own views that a hub keeps, so that it can send a peer only the
# changes since the view that the peer knows.
KEPT_VIEWS = 16

_HUBS_KEY = 'heartbeats'


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedView:
    """The last view that a hub reported.

    Attributes:
        view: the view.
        reported_at: loop time at which it was reported.
    """

    view: HubView
    reported_at: float


class HeartbeatHubs:
    """Chooses the hubs, and keeps their views and the view of this host.

    Attributes:
        hub_ids: the present hubs; all hosts in a mesh.
        reader_ids: the hubs that read the platform's streams for all hosts; in
            a mesh the hosts that read urgent streams with short waits.
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
        # Capacity by id of the hosts from which the hubs were last chosen.
        self._candidates: dict[str, float] = {}
        self._view_by_hub: dict[str, ReportedView] = {}
        # The view that this host reports as a hub, and its earlier views.
        self._view = EMPTY_VIEW
        self._view_by_digest: dict[int, HubView] = {}
        self.hub_ids: frozenset[str] = frozenset()
        self.reader_ids: frozenset[str] = frozenset()
        self.is_mesh = True

    def choose(self) -> None:
        """Chooses the hubs again from the hosts that may be live."""
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
        ranked = rank_hosts(board, _HUBS_KEY, hosts)
        self.hub_ids = hosts if self.is_mesh else frozenset(ranked[:HUB_COUNT])
        readers = MESH_READER_COUNT if self.is_mesh else READER_COUNT
        self.reader_ids = frozenset(ranked[:readers])
        for hub in set(self._view_by_hub) - self.hub_ids:
            del self._view_by_hub[hub]

    def _may_be_live(self, host: HostEntry, now: float) -> bool:
        """Returns whether a host is live, or was listed only recently."""
        if not host.silent:
            return True
        never_heard = host.incarnation == 0
        return never_heard and now - host.silent_since <= self._dead_after_s

    def exchanges_with(self, host: str) -> bool:
        """Returns whether this host exchanges heartbeats with the given one."""
        if self.is_mesh:
            return True
        return host in self.hub_ids or self._blackboard.host in self.hub_ids

    @property
    def is_hub(self) -> bool:
        """Whether this host is a hub, which no host is in a mesh."""
        return not self.is_mesh and self._blackboard.host in self.hub_ids

    @property
    def is_reader(self) -> bool:
        """Whether this host is one of the readers."""
        return self._blackboard.host in self.reader_ids

    def update_view(self) -> None:
        """Updates the view that this host reports if it is a hub."""
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
        # Includes this host, so that hubs that hear the same hosts have equal
        # views.
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
        """Digest of this host's view, 0 if it is not a hub."""
        return self._view.digest

    def known_digest(self, hub: str) -> int:
        """Returns the digest of the view a hub last reported, 0 for none."""
        reported = self._view_by_hub.get(hub)
        return reported.view.digest if reported is not None else 0

    def delta_for(self, known_digest: int) -> ViewDelta:
        """Returns the changes to this hub's view since one that a peer knows.

        The whole view is returned if the one that the peer knows is not kept.
        """
        if known_digest == self._view.digest:
            return ViewDelta(known_digest)
        known = self._view_by_digest.get(known_digest, EMPTY_VIEW)
        return compute_delta(known, self._view)

    def merge_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Updates the view of a hub from its heartbeat.

        Changes to a view that is not known here are ignored, and so is a result
        with another digest than the hub's.
        """
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
        """Returns the views that hubs reported recently, the newest first.

        Of equal views, only the one that was reported last is returned.
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
    """Returns the latest time at which a hub with a quorum heard this host.

    Args:
        answered_at: loop time at which this host sent the last heartbeat that
            the hub answered.
        quorum_age_s: age of the hub's own quorum as its last heartbeat reported
            it, negative for none.
        heard_at: loop time at which that heartbeat of the hub arrived.

    Returns:
        A loop time, minus infinity if the hub has no quorum.
    """
    if quorum_age_s < 0:
        return -math.inf
    return min(answered_at, heard_at - quorum_age_s)
