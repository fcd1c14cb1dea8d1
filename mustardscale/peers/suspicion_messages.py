"""Messages with which hosts tell one another what crashes endpoints."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantine:
    """A request that endpoints crashed on, for hosts of earlier versions.

    Attributes:
        key: request id, or prompt fingerprint in hexadecimal.
        crashes: endpoints that crashed with it in flight.
        age_s: seconds since the last crash.
        alone: crashes at which no other request was in flight.
    """

    key: str
    crashes: int
    age_s: float
    alone: int


@dataclasses.dataclass(frozen=True, slots=True)
class CrashKey:
    """A key of a request that was in flight at a crash.

    Attributes:
        key: the key.
        sent_age_s: seconds since a request with it was last sent to the
            process.
    """

    key: str
    sent_age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """A process that ended with requests in flight.

    Attributes:
        endpoint: id of the endpoint.
        start: start number of the process, 0 if not known.
        age_s: seconds since the crash.
        was_alive: whether the process was found to run after all.
        keys: keys of the requests in flight.
    """

    endpoint: str
    start: int
    age_s: float
    was_alive: bool
    keys: tuple[CrashKey, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SurvivalReport:
    """A key with which a request did its endpoint no harm.

    Attributes:
        key: the key.
        age_s: seconds since that was seen last.
    """

    key: str
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TrialReport:
    """A harmful key with which a request was tried.

    Attributes:
        key: the key.
        age_s: seconds since the last trial.
        count: number of trials.
    """

    key: str
    age_s: float
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class SuspicionNotice:
    """Tells a peer what crashes endpoints, and what does not.

    Attributes:
        items: what hosts of earlier versions know; empty.
        crashes: crashes.
        survivals: survivals of keys that were in flight at crashes.
        trials: trials of harmful keys.
    """

    items: tuple[Quarantine, ...] = ()
    crashes: tuple[CrashReport, ...] = ()
    survivals: tuple[SurvivalReport, ...] = ()
    trials: tuple[TrialReport, ...] = ()
