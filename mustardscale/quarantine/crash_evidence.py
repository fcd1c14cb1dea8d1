"""What is known of crashes, and of what has survived on endpoints."""

from __future__ import annotations

import dataclasses
import math

# Loop time before all others.
NEVER = -math.inf
# Crashes of one endpoint within this time count as one if its processes cannot
# be told apart, seconds.
CRASH_WINDOW_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ProcessId:
    """One process of an endpoint.

    Attributes:
        endpoint_id: id of the endpoint.
        start: start number of the process, 0 if not known.
    """

    endpoint_id: str
    start: int


@dataclasses.dataclass(slots=True)
class Crash:
    """A process that ended with requests in flight.

    Attributes:
        process: the process.
        at: loop time of the crash.
        sent_at_by_key: loop time at which the last request with a key was sent
            to the process, by key.
        was_alive: whether the process was found to run after all.
        change: number of the change by which this host learnt of it.
        is_own: whether this host observed it itself.
    """

    process: ProcessId
    at: float
    sent_at_by_key: dict[str, float]
    was_alive: bool = False
    change: int = 0
    is_own: bool = False

    def merge(self, other: Crash) -> bool:
        """Adds what another observer knows; returns whether that is new."""
        changed = other.was_alive and not self.was_alive
        self.was_alive |= other.was_alive
        self.at = min(self.at, other.at)
        for key, sent_at in other.sent_at_by_key.items():
            if key not in self.sent_at_by_key:
                self.sent_at_by_key[key] = sent_at
                changed = True
        return changed

    def is_same(self, process: ProcessId, at: float) -> bool:
        """Returns whether a crash that was observed elsewhere is this one."""
        if self.process != process:
            return False
        return process.start > 0 or abs(self.at - at) < CRASH_WINDOW_S


@dataclasses.dataclass(slots=True)
class Survival:
    """The last time at which a request with a key did an endpoint no harm.

    Attributes:
        at: loop time.
        change: number of the change by which this host learnt of it.
        is_own: whether this host observed it itself.
    """

    at: float
    change: int = 0
    is_own: bool = False


@dataclasses.dataclass(slots=True)
class Trial:
    """Trials of requests with a harmful key.

    Attributes:
        at: loop time of the last trial.
        count: number of trials.
        change: number of the change by which this host learnt of it.
        is_own: whether this host allowed it.
    """

    at: float
    count: int
    change: int = 0
    is_own: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HarmfulKeys:
    """Keys of which a request must have all to be kept off endpoints.

    There are several as long as no crash tells them apart.

    Attributes:
        keys: the keys.
        crashes: the crashes that they explain.
        last_at: loop time of the last of these.
    """

    keys: frozenset[str]
    crashes: tuple[ProcessId, ...]
    last_at: float

    def match(self, keys: frozenset[str]) -> bool:
        """Returns whether a request with these keys is harmful."""
        return self.keys <= keys


@dataclasses.dataclass(frozen=True, slots=True)
class Judgement:
    """What the evidence says.

    Attributes:
        harmful: the properties that are kept off endpoints.
        suspected: the keys that may be harmful; requests with one of them run
            apart from each other.
    """

    harmful: tuple[HarmfulKeys, ...] = ()
    suspected: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True)
class CrashEvidence:
    """All that a host knows of crashes.

    Attributes:
        crashes: the crashes.
        survival_by_key: the last survival of keys of these crashes, in the
            order of changes.
        trial_by_key: the trials of harmful keys.
        judgement: what follows from it.
    """

    crashes: list[Crash] = dataclasses.field(default_factory=list)
    survival_by_key: dict[str, Survival] = dataclasses.field(
        default_factory=dict
    )
    trial_by_key: dict[str, Trial] = dataclasses.field(default_factory=dict)
    judgement: Judgement = Judgement()
