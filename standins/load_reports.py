"""Load reports that are handed out with a lag."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from collections.abc import Callable

from mustardscale.endpoints.engines import LoadReport

# Reports taken within one lag.
_REPORTS_PER_LAG = 2


class LaggedReports:
    """Takes reports at fixed intervals and hands out an old one.

    The age of the report handed out is from one to one and a half lags, but
    for the time after a start, when the first one is handed out at once.
    """

    def __init__(self, lag_s: float, take: Callable[[], LoadReport]):
        """Takes the first report.

        Args:
            lag_s: least age of a report, seconds.
            take: makes a report of the present state.
        """
        self._lag_s = lag_s
        self._take = take
        self._reports: collections.deque[tuple[float, LoadReport]] = (
            collections.deque(maxlen=_REPORTS_PER_LAG + 2)
        )
        self._timer: asyncio.TimerHandle | None = None
        self._tick()

    def set_lag(self, lag_s: float) -> None:
        """Changes the lag."""
        self._lag_s = lag_s

    def read(self) -> LoadReport:
        """Returns the newest report that is old enough."""
        now = asyncio.get_running_loop().time()
        taken_at, report = self._reports[0]
        for older_at, older in self._reports:
            if now - older_at >= self._lag_s:
                taken_at, report = older_at, older
        return dataclasses.replace(report, age_s=now - taken_at)

    def restart(self) -> None:
        """Forgets the reports of an earlier process and takes a first one."""
        self.close()
        self._reports.clear()
        self._tick()

    def close(self) -> None:
        """Stops to take reports."""
        if self._timer is not None:
            self._timer.cancel()

    def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        self._reports.append((loop.time(), self._take()))
        interval_s = self._lag_s / _REPORTS_PER_LAG
        self._timer = loop.call_later(interval_s, self._tick)
