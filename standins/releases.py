"""Draws releases of engines that come while hosts are out of step."""

from __future__ import annotations

import dataclasses
import enum
import random


class OutOfStep(enum.Enum):
    """What keeps a host out of step; engines and callers reach it."""

    AWAY = 'away'
    DEAF = 'deaf'
    MUTE = 'mute'
    STORE_SILENT = 'store silent'
    STORE_REFUSES = 'store refuses'
    STOPPED = 'stopped'
    TWO_TOGETHER = 'two together'
    RETURNING = 'returning'


# What keeps back all that a host tells the platform and its peers, so that no
# other host can know which version began a stream there.
TELLS_NOBODY = (
    OutOfStep.AWAY,
    OutOfStep.MUTE,
    OutOfStep.STOPPED,
    OutOfStep.TWO_TOGETHER,
    OutOfStep.RETURNING,
)


class EngineChange(enum.Enum):
    """What engines do meanwhile."""

    JOIN = 'join'
    REPLACE = 'replace'
    BRIEF = 'brief'
    RESTART = 'restart'


# Engines that join, and bounds of the time after which the old ones leave, or
# the new ones again, seconds.
JOINING = 4
LEAVE_AFTER_S = (0.2, 0.9)
MAX_LIST_LAG_S = 0.3
FOR_S = (1.5, 6.0)
# Bounds of the times between the returns of a host that returns repeatedly.
RETURN_EACH_S = (0.1, 0.7)
VERSIONS = ('v2', 'v4', 'v5')


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """A release while a host is out of step.

    Attributes:
        kind: what keeps the host out of step.
        change: what engines do.
        version: the version that comes.
        at: seconds from the start of the load to the fault.
        for_s: seconds that the fault lasts.
        change_after_s: seconds from the fault to the change.
        leave_after_s: seconds from there until engines leave.
        list_lag_s: seconds after which the list tells of a restart.
    """

    kind: OutOfStep
    change: EngineChange
    version: str
    at: float
    for_s: float
    change_after_s: float
    leave_after_s: float
    list_lag_s: float

    def describe(self) -> str:
        """Returns its parts that tell one kind from another."""
        return f'{self.kind.value}, {self.change.value} {self.version}'


def draw_release(rng: random.Random, run_s: float) -> Release:
    """Draws a release that begins and ends within a run.

    Args:
        rng: the generator.
        run_s: length of the run, seconds.
    """
    for_s = rng.uniform(*FOR_S)
    return Release(
        rng.choice(list(OutOfStep)),
        rng.choice(list(EngineChange)),
        rng.choice(VERSIONS),
        rng.uniform(1.0, run_s - for_s - 1.0),
        for_s,
        rng.uniform(0.0, 0.5),
        rng.uniform(*LEAVE_AFTER_S),
        rng.choice((0.0, rng.uniform(0.0, MAX_LIST_LAG_S))),
    )
