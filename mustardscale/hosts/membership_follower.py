"""Calls the components that depend on membership when it changes."""

from __future__ import annotations

from collections.abc import Callable

from mustardscale.blackboard import Blackboard
from mustardscale.controller import Controller
from mustardscale.reporting.event_log import EventKind

# Interval at which the followers are called without a change, seconds.
FOLLOW_INTERVAL_S = 2.0


class MembershipFollower(Controller):
    """Calls the components that depend on membership when it changes."""

    def __init__(
        self, blackboard: Blackboard, followers: list[Callable[[], None]]
    ):
        self._blackboard = blackboard
        self._followers = followers

    async def run(self) -> None:
        """Calls the followers at each change, and at an interval."""
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
        """Emits the event with the hosts that came and went."""
        board = self._blackboard
        board.events.emit(
            EventKind.MEMBERSHIP_CHANGED,
            live=len(live),
            silent=len(set(board.hosts_by_id) - live),
            came=sorted(live - before),
            went=sorted(before - live),
        )
