"""Tells for how long the machine was suspended.

The event loop's clock does not count that time, so permissions that it measures
seem to hold longer than they do.
"""

from __future__ import annotations

import time

# Time between readings of two clocks that count as simultaneous, seconds, and
# how often they are read until they are.
SIMULTANEOUS_S = 0.01
MOST_READINGS = 5


def suspended_s() -> float:
    """Returns the seconds of suspension since the machine has booted."""
    for _ in range(MOST_READINGS):
        before = time.monotonic()
        with_suspensions = time.clock_gettime(time.CLOCK_BOOTTIME)
        after = time.monotonic()
        if after - before <= SIMULTANEOUS_S:
            break
    return with_suspensions - after
