"""Whether a majority of the hosts takes this one for live."""

from __future__ import annotations

import asyncio
import logging
import math

from mustardscale.blackboard import Blackboard
from mustardscale.hosts.heartbeat_hubs import HeartbeatHubs, confirmed_live_at
from mustardscale.peers.peer_messages import Heartbeat
from mustardscale.suspension import suspended_s

log = logging.getLogger(__name__)

# A host answers for others' sake, as a home or as the holder of a stream, only
# if a majority of the listed hosts answered a heartbeat that it sent within
# this time, seconds. Less than the silence after which it counts as dead.
QUORUM_LEASE_S = 2.0
# Suspension of the machine that is told from an error of the clocks, seconds.
MIN_SUSPENSION_S = 0.2


def has_quorum(board: Blackboard, now: float) -> bool:
    """Returns whether a majority takes this host for live at this moment.

    To be asked when something is done by that right: the machine may have been
    suspended since it was found.
    """
    return now - board.quorum_at <= QUORUM_LEASE_S and not _was_suspended(board)


def _was_suspended(board: Blackboard) -> bool:
    return suspended_s() - board.quorum_suspended_s > MIN_SUSPENSION_S


class Quorum:
    """Keeps the blackboard's quorum from the answers to heartbeats."""

    __slots__ = (
        '_answered_sent_at_by_host',
        '_blackboard',
        '_hub_quorum_by_host',
        '_hubs',
        '_valid_from',
    )

    def __init__(self, blackboard: Blackboard, hubs: HeartbeatHubs):
        self._blackboard = blackboard
        self._hubs = hubs
        self._answered_sent_at_by_host: dict[str, float] = {}
        # Answers to what was sent before do not count.
        self._valid_from = -math.inf
        # Age of each hub's own quorum, and when it said so.
        self._hub_quorum_by_host: dict[str, tuple[float, float]] = {}

    def note_answer(self, host: str, sent_at: float) -> None:
        """Notes that a host has answered a heartbeat sent then."""
        if sent_at < self._valid_from:
            return
        answered_at = self._answered_sent_at_by_host.get(host, sent_at)
        self._answered_sent_at_by_host[host] = max(answered_at, sent_at)

    def note_echo(self, heartbeat: Heartbeat, now: float) -> None:
        """Takes note of what a peer's heartbeat says of this process's own.

        An echo is just as good as an answer: the peer does not take this host
        for dead before the usual silence after it.
        """
        self._hub_quorum_by_host[heartbeat.host] = (heartbeat.quorum_age_s, now)
        if heartbeat.echo_incarnation != self._blackboard.incarnation:
            return
        if heartbeat.echo_at <= now:
            self.note_answer(heartbeat.host, heartbeat.echo_at)

    def hub_quorum_age_s(self, now: float) -> float:
        """Returns the age of the quorum that this host has as a hub.

        Returns:
            Seconds, negative where it has none or is no hub.
        """
        board = self._blackboard
        if not self._hubs.is_hub:
            return -1.0
        return now - board.quorum_at if math.isfinite(board.quorum_at) else -1.0

    def update(self) -> None:
        """Finds the newest send time that a majority has answered.

        A host that has not read the list yet does not know its peers, and so
        has no majority, also when it hears nobody.
        """
        board = self._blackboard
        if not board.host_list_read:
            return
        now = asyncio.get_running_loop().time()
        if _was_suspended(board):
            self._reset_after_suspension(now)
        if self._hubs.is_mesh or self._hubs.is_hub:
            quorum_at = self._compute_from_answers(now)
        else:
            quorum_at = self._compute_from_hubs()
        had_quorum = math.isfinite(board.quorum_at)
        if had_quorum and quorum_at - board.quorum_at > QUORUM_LEASE_S:
            board.quorum_gap_at = now
        board.quorum_at = max(board.quorum_at, quorum_at)

    def _reset_after_suspension(self, now: float) -> None:
        """Forgets all that was heard before the machine was suspended."""
        board = self._blackboard
        log.warning('the machine was suspended: its quorum has to be renewed')
        self._valid_from = now
        self._answered_sent_at_by_host.clear()
        self._hub_quorum_by_host.clear()
        board.quorum_suspended_s = suspended_s()
        board.quorum_at = -math.inf
        board.quorum_gap_at = now

    def _compute_from_answers(self, now: float) -> float:
        """Returns when a majority of the listed hosts was known to hear it."""
        answered = [
            self._answered_sent_at_by_host.get(host.id, -math.inf)
            for host in self._blackboard.hosts_by_id.values()
            if host.listed and not host.draining
        ]
        needed = (len(answered) + 1) // 2
        return sorted(answered, reverse=True)[needed - 1] if needed else now

    def _compute_from_hubs(self) -> float:
        """Returns when a majority of the hubs vouched for this host.

        Each has to have a majority of the listed hosts itself, so that no two
        parts of a divided network both have a quorum.
        """
        confirmed = sorted(map(self._confirmed_live_at, self._hubs.hub_ids))
        return confirmed[len(confirmed) // 2]

    def _confirmed_live_at(self, hub: str) -> float:
        age_s, heard_at = self._hub_quorum_by_host.get(hub, (-1.0, 0.0))
        answered_at = self._answered_sent_at_by_host.get(hub, -math.inf)
        return confirmed_live_at(answered_at, age_s, heard_at)
