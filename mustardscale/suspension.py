"""Tells for how long the machine was suspended.

The event loop's clock does not count that time, so permissions that it measures
seem to hold longer than they do.
"""

from __future__ import annotations

import time


def suspended_s() -> float:
    """Returns the seconds of suspension since the machine has booted."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
