"""Records what an entry host does with each request, as JSON lines.

Prompts and answers are recorded by length and hash only.
"""

from __future__ import annotations

import abc
import dataclasses
import enum
import pathlib

import msgspec


class TraceKind(enum.StrEnum):
    """What happened to a request.

    ARRIVED and ENDED enclose one send of an id. SENT stands before the first
    byte may leave; UNSENT follows when the endpoint did not take the work.
    CANCELLED stands when an endpoint has confirmed a cancel.
    """

    ARRIVED = 'arrived'
    GRANTED = 'granted'
    SENT = 'sent'
    UNSENT = 'unsent'
    CANCELLED = 'cancelled'
    ENDED = 'ended'


@dataclasses.dataclass(frozen=True, slots=True)
class TraceEvent:
    """One line of a trace.

    Attributes:
        at: loop time at the host, seconds.
        host: the entry host.
        incarnation: start number of its process.
        kind: what happened.
        request_id: the request's id.
        service: service that the request is for, in ARRIVED.
        fingerprint: hash of the content, in ARRIVED.
        size: prompt tokens or body bytes, in ARRIVED.
        once: whether it must not run twice, in ARRIVED.
        resumed: whether the caller resumes a stream, in ARRIVED.
        attempt: number of the attempt.
        endpoint: id of the endpoint.
        code: outcome code, in ENDED.
    """

    at: float
    host: str
    incarnation: int
    kind: TraceKind
    request_id: str
    service: str = ''
    fingerprint: int = 0
    size: int = 0
    once: bool = False
    resumed: bool = False
    attempt: int = 0
    endpoint: str = ''
    code: int = 0


class TraceSink(abc.ABC):
    """Where trace events go."""

    @abc.abstractmethod
    def record(self, event: TraceEvent) -> None:
        """Takes an event."""

    def close(self) -> None:
        """Writes what is left."""
        return None


class NoTrace(TraceSink):
    """Drops all events."""

    def record(self, event: TraceEvent) -> None:
        """Drops an event."""


class FileTrace(TraceSink):
    """Writes events to a file."""

    def __init__(self, path: pathlib.Path):
        """Opens the file.

        Raises:
            OSError: the file cannot be written.
        """
        self._file = path.open('ab')

    def record(self, event: TraceEvent) -> None:
        """Appends an event."""
        self._file.write(msgspec.json.encode(event) + b'\n')

    def close(self) -> None:
        """Writes what is left and closes the file."""
        self._file.close()


def read_trace(path: pathlib.Path) -> list[TraceEvent]:
    """Reads the events of a file.

    Raises:
        OSError: the file cannot be read.
        msgspec.DecodeError: a line is not an event.
    """
    lines = path.read_bytes().splitlines()
    return [msgspec.json.decode(line, type=TraceEvent) for line in lines]
