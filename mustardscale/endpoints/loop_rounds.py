"""Bounds how long something can have waited before the event loop read it.

A process that was stopped, or whose callbacks took long, reads late what came
meanwhile. Nothing tells when that was, but all that had come before a round of
the loop was read in that round or the next.
"""

from __future__ import annotations

import asyncio
import collections
import math

# Time between two recorded rounds, seconds.
ROUND_INTERVAL_S = 0.02
# Recorded rounds after which all that had come before the first one was read:
# the content of a connection, then its end.
ROUNDS_TO_READ = 3


class LoopRounds:
    """Times of the event loop's last rounds, recorded while it is watched."""

    __slots__ = ('_loop', '_timer', '_times', '_watchers')

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self._loop = loop
        self._times: collections.deque[float] = collections.deque(
            maxlen=ROUNDS_TO_READ
        )
        self._timer: asyncio.TimerHandle | None = None
        self._watchers = 0

    def start_watch(self) -> None:
        """Records the rounds until stop_watch is called as often."""
        self._watchers += 1
        if self._timer is None:
            self._times.clear()
            self._set_timer()

    def stop_watch(self) -> None:
        """Ends the watch of one caller of start_watch."""
        self._watchers -= 1

    def find_earliest_arrival(self) -> float:
        """Returns the loop time before which what is read now was not there.

        Returns:
            Negative infinity if too few rounds were recorded.
        """
        if len(self._times) < ROUNDS_TO_READ:
            return -math.inf
        return self._times[0]

    def _set_timer(self) -> None:
        # The timer may run before the connections of its round are read, or
        # after them. What it calls runs before those of the next round.
        self._timer = self._loop.call_later(
            ROUND_INTERVAL_S, self._loop.call_soon, self._record
        )

    def _record(self) -> None:
        if not self._watchers:
            self._timer = None
            return
        self._times.append(self._loop.time())
        self._set_timer()
