"""Credit of a quota, as a token bucket that requests of any size may use.

A request is permitted as soon as there is credit for one unit, and takes the
credit below zero if it counts as more. Large requests therefore pass as often
as small ones when the quota is used up, and in any time at most one request
more is permitted than rate and capacity allow.
"""

from __future__ import annotations

# Credit that a request needs, units.
MIN_CREDIT = 1.0


class QuotaBucket:
    """Credit that fills at a rate.

    Attributes:
        rate_per_s: units a second.
        capacity: units up to which it fills.
    """

    __slots__ = ('_level', '_updated_at', 'capacity', 'rate_per_s')

    def __init__(
        self, rate_per_s: float, capacity: float, level: float, now: float
    ):
        """Creates a bucket.

        Args:
            rate_per_s: units a second.
            capacity: units up to which it fills; at least MIN_CREDIT.
            level: units that it holds now; may be negative.
            now: loop time.
        """
        self.rate_per_s = rate_per_s
        self.capacity = max(MIN_CREDIT, capacity)
        self._level = min(level, self.capacity)
        self._updated_at = now

    def level(self, now: float) -> float:
        """Returns the credit, which is negative after a large request."""
        self._refill(now)
        return self._level

    def take(self, amount: int, now: float) -> bool:
        """Takes the units of a request if there is credit for it."""
        if self.level(now) < MIN_CREDIT:
            return False
        self._level -= amount
        return True

    def put_back(self, amount: int, now: float) -> None:
        """Returns units that were taken and not used."""
        self._level = min(self.capacity, self.level(now) + max(0, amount))

    def wait_s(self, now: float) -> float:
        """Returns the seconds until there is credit, 0 if there is."""
        missing = MIN_CREDIT - self.level(now)
        return max(0.0, missing / self.rate_per_s)

    def change(self, rate_per_s: float, capacity: float, now: float) -> None:
        """Applies changed terms; units that were taken stay taken."""
        self._refill(now)
        self.rate_per_s = rate_per_s
        self.capacity = max(MIN_CREDIT, capacity)
        self._level = min(self._level, self.capacity)

    def skip_until(self, now: float) -> None:
        """Adds no credit for the time until now."""
        self._updated_at = max(now, self._updated_at)

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        self._level = min(
            self.capacity, self._level + elapsed_s * self.rate_per_s
        )
