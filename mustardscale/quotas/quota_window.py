"""Units that were granted within a sliding window."""

from __future__ import annotations

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class _Granted:
    """Units that were granted at once.

    Attributes:
        at: loop time.
        units: the units.
    """

    at: float
    units: int


class QuotaWindow:
    """Sums what was granted within the last seconds.

    Attributes:
        length_s: length of the window, seconds.
    """

    __slots__ = ('_granted', '_total', 'length_s')

    def __init__(self, length_s: float):
        self.length_s = length_s
        self._granted: collections.deque[_Granted] = collections.deque()
        self._total = 0

    def total(self, now: float) -> int:
        """Returns the units granted within the window that ends now."""
        while self._granted and self._granted[0].at <= now - self.length_s:
            self._total -= self._granted.popleft().units
        return self._total

    def add(self, units: int, now: float) -> None:
        """Adds units that are granted now, or returned if negative."""
        self._granted.append(_Granted(now, units))
        self._total += units

    def wait_s(self, limit: float, now: float) -> float:
        """Returns the seconds until less than a limit is in the window."""
        excess = self.total(now) - limit
        for granted in self._granted:
            if excess < 0:
                break
            excess -= granted.units
            wait_s = granted.at + self.length_s - now
            if excess < 0:
                return max(0.0, wait_s)
        return 0.0
