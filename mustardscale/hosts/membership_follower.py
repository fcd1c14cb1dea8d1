"""Tells the parts that depend on it when membership changes."""

from __future__ import annotations

from collections.abc import Callable

from mustardscale.blackboard import Blackboard
from mustardscale.controller import Controller
from mustardscale.reporting.event_log import EventKind

# Interval at which membership is looked at without a change, seconds.
FOLLOW_INTERVAL_S = 2.0


class MembershipFollower(Controller):
    """Tells the parts that depend on it when membership changes."""

    def __init__(
        self, blackboard: Blackboard, followers: list[Callable[[], None]]
    ):
        self._blackboard = blackboard
        self._followers = followers

    async def run(self) -> None:
        """Runs the followers at each change, and now and then without one."""
        reported: list[str] = []
        while True:
            for follow in self._followers:
                follow()
            live = self._blackboard.live_hosts()
            if live != reported:
                self._emit_change(set(reported), set(live))
                reported = live
            await self._blackboard.membership_changed.wait(FOLLOW_INTERVAL_S)

    def _emit_change(self, before: set[str], live: set[str]) -> None:
        """Logs which hosts came and went."""
        board = self._blackboard
        board.events.emit(
            EventKind.MEMBERSHIP_CHANGED,
            live=len(live),
            silent=len(set(board.hosts_by_id) - live),
            came=sorted(live - before),
            went=sorted(before - live),
        )
