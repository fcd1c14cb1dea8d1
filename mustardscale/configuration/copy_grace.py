"""Time for which a host waits for the log before it copies from peers."""

from __future__ import annotations

import asyncio
import math


class CopyGrace:
    """Counts from when a host learns of an offset that it has not reached.

    It starts anew once the host has reached that offset; later offsets of peers
    do not start it anew.
    """

    __slots__ = ('_awaited_offset', '_awaited_since', '_grace_s')

    def __init__(self, grace_s: float):
        """Prepares to count.

        Args:
            grace_s: the time, seconds.
        """
        self._grace_s = grace_s
        self._awaited_offset = 0
        self._awaited_since = math.inf

    def left_s(self) -> float:
        """Returns the seconds that are left, infinity if nothing is awaited."""
        now = asyncio.get_running_loop().time()
        return self._awaited_since + self._grace_s - now

    def end(self) -> None:
        """Notes that no peer is ahead."""
        self._awaited_since = math.inf

    def update(self, own_offset: int, peers_offset: int) -> None:
        """Notes how far this host and its peers are.

        Args:
            own_offset: offset that this host has reached.
            peers_offset: the highest one that a peer has reached.
        """
        is_awaiting = math.isfinite(self._awaited_since)
        if not is_awaiting or own_offset >= self._awaited_offset:
            self._awaited_since = asyncio.get_running_loop().time()
            self._awaited_offset = peers_offset
