"""Checks that the requests of all hosts keep to an endpoint's rate limit."""

from __future__ import annotations

import asyncio
import dataclasses
import math

# What the platform's rule allows an endpoint to get while it states a limit:
# this multiple of the limit in any window of this length, and some requests
# more. It binds some seconds after the limit was stated first.
ALLOWED_FACTOR = 1.5
ALLOWED_MORE = 5.0
WINDOW_S = 4.0
STABLE_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached an endpoint.

    Attributes:
        at: loop time.
        host: the host that sent it.
    """

    at: float
    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class LimitPhase:
    """A time in which an endpoint states one limit.

    Attributes:
        began_at: loop time at which it was stated first.
        per_s: requests a second, None for no limit.
    """

    began_at: float
    per_s: float | None


class LimitedArrivals:
    """What reaches an endpoint that may limit the rate of its requests.

    Attributes:
        name: its id.
        all: the requests, in order.
        phases: the limits that it has stated, in order.
    """

    def __init__(self, name: str):
        self.name = name
        self.all: list[Arrival] = []
        self.phases: list[LimitPhase] = []

    @property
    def limit_per_s(self) -> float | None:
        """The limit that its answers state, None for none."""
        return self.phases[-1].per_s if self.phases else None

    def add(self, host: str = '') -> None:
        """Records a request that a host sent."""
        now = asyncio.get_running_loop().time()
        self.all.append(Arrival(now, host))

    def state_limit(self, per_s: float | None) -> None:
        """States another limit from now on, None for none."""
        now = asyncio.get_running_loop().time()
        self.phases.append(LimitPhase(now, per_s))

    def violations(self) -> list[str]:
        """Returns the first window of each limit with too many requests.

        Requests of all hosts count, whether or not a host was told.
        """
        found = []
        ends_at = math.inf
        for phase in reversed(self.phases):
            if phase.per_s is not None:
                found += self._violations_of(phase, ends_at)
            ends_at = phase.began_at
        return found

    def _violations_of(self, phase: LimitPhase, ends_at: float) -> list[str]:
        assert phase.per_s is not None
        begins_at = phase.began_at + STABLE_S
        times = [a.at for a in self.all if begins_at <= a.at < ends_at]
        allowed = ALLOWED_FACTOR * phase.per_s * WINDOW_S + ALLOWED_MORE
        first = 0
        for index, at in enumerate(times):
            while times[first] <= at - WINDOW_S:
                first += 1
            count = index - first + 1
            if count > allowed:
                return [
                    f'{self.name}: {count} requests in {WINDOW_S} s until '
                    f'{at:.3f}; {phase.per_s} a second allow {allowed:.1f}'
                ]
        return []

    def count_between(self, begins_at: float, ends_at: float) -> int:
        """Returns how many requests arrived in a time."""
        return sum(begins_at <= a.at < ends_at for a in self.all)
