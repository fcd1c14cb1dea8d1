"""Finds whether a majority of the hosts considers this one live."""

from __future__ import annotations

import asyncio
import logging
import math

from mustardscale.blackboard import Blackboard, HostEntry
from mustardscale.hosts.heartbeat_hubs import HeartbeatHubs, confirmed_live_at
from mustardscale.peers.peer_messages import Heartbeat
from mustardscale.suspension import suspended_s

log = logging.getLogger(__name__)

# A host acts as a directory home or as the holder of a stream only if a
# majority of the listed hosts answered a heartbeat that it sent within this
# time, seconds. This is less than the silence after which it counts as dead.
QUORUM_LEASE_S = 2.0
# Time within which a host that runs is back on the list after a peer has taken
# it off, seconds. Until then its absence does not show that it has ended: a
# host that is cut off from its peers, but not from the list, takes them off.
BACK_ON_LIST_S = 5.0
# A shorter suspension of the machine can not be distinguished from an error of
# the clocks, seconds.
MIN_SUSPENSION_S = 0.2


def counts_as_listed(host: HostEntry, now: float) -> bool:
    """Returns whether a host is listed, or may soon be back on the list."""
    return host.listed or now - host.listed_at <= BACK_ON_LIST_S


def has_quorum(board: Blackboard, now: float) -> bool:
    """Returns whether a majority of the hosts considers this one live now.

    Call this right before each action that needs the quorum: the machine may
    have been suspended since the quorum was last updated.
    """
    return now - board.quorum_at <= QUORUM_LEASE_S and not _was_suspended(board)


def _was_suspended(board: Blackboard) -> bool:
    return suspended_s() - board.quorum_suspended_s > MIN_SUSPENSION_S


class Quorum:
    """Updates the blackboard's quorum from the answers to heartbeats."""

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
        # Answers to heartbeats that were sent before this time do not count.
        self._valid_from = -math.inf
        # Age of each hub's own quorum, and loop time at which it reported it.
        self._hub_quorum_by_host: dict[str, tuple[float, float]] = {}

    def note_answer(self, host: str, sent_at: float) -> None:
        """Notes that a host has answered a heartbeat sent at this loop time."""
        if sent_at < self._valid_from:
            return
        answered_at = self._answered_sent_at_by_host.get(host, sent_at)
        self._answered_sent_at_by_host[host] = max(answered_at, sent_at)

    def note_echo(self, heartbeat: Heartbeat, now: float) -> None:
        """Notes the quorum age and the echo in a peer's heartbeat.

        The echo is the send time of the last heartbeat that the peer received
        from this host. It counts as an answer if this process sent that one:
        the peer considers this host live until the usual silence after it.
        """
        self._hub_quorum_by_host[heartbeat.host] = (heartbeat.quorum_age_s, now)
        if heartbeat.echo_incarnation != self._blackboard.incarnation:
            return
        if heartbeat.echo_at <= now:
            self.note_answer(heartbeat.host, heartbeat.echo_at)

    def hub_quorum_age_s(self, now: float) -> float:
        """Returns the age of this host's quorum if it is a hub.

        Returns:
            Seconds, negative if it has no quorum or is not a hub.
        """
        board = self._blackboard
        if not self._hubs.is_hub:
            return -1.0
        return now - board.quorum_at if math.isfinite(board.quorum_at) else -1.0

    def update(self) -> None:
        """Finds the latest send time that a majority has answered.

        A host that has not read the host list yet does not know its peers.
        Therefore it has no quorum, even if it knows no other host.
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
        """Discards all answers from before the machine was suspended."""
        board = self._blackboard
        log.warning('the machine was suspended: the quorum must be renewed')
        self._valid_from = now
        self._answered_sent_at_by_host.clear()
        self._hub_quorum_by_host.clear()
        board.quorum_suspended_s = suspended_s()
        board.quorum_at = -math.inf
        board.quorum_gap_at = now

    def _compute_from_answers(self, now: float) -> float:
        """Returns the latest send time answered by a majority of the hosts.

        Only hosts that are listed, or were lately, and are not draining count.
        """
        answered = [
            self._answered_sent_at_by_host.get(host.id, -math.inf)
            for host in self._blackboard.hosts_by_id.values()
            if counts_as_listed(host, now) and not host.draining
        ]
        needed = (len(answered) + 1) // 2
        return sorted(answered, reverse=True)[needed - 1] if needed else now

    def _compute_from_hubs(self) -> float:
        """Returns the latest time at which a majority of the hubs heard it.

        Each of these hubs must have a quorum of the listed hosts itself, so
        that two partitions of the network never both have a quorum.
        """
        confirmed = sorted(map(self._confirmed_live_at, self._hubs.hub_ids))
        return confirmed[len(confirmed) // 2]

    def _confirmed_live_at(self, hub: str) -> float:
        age_s, heard_at = self._hub_quorum_by_host.get(hub, (-1.0, 0.0))
        answered_at = self._answered_sent_at_by_host.get(hub, -math.inf)
        return confirmed_live_at(answered_at, age_s, heard_at)
