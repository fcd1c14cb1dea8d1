"""Records what an entry host does with each request, as JSON lines.

Prompts and answers are recorded by length and hash only. Beside the events of
requests stand the inputs of decisions, so that a replay can decide again.
"""

from __future__ import annotations

import abc
import dataclasses
import enum
import logging
import pathlib
from typing import Any

import msgspec

from mustardscale.outcomes import Outcome

log = logging.getLogger(__name__)

# Version of the lines; readers skip lines of a kind that they do not know.
SCHEMA = 2


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


class DecisionKind(enum.StrEnum):
    """What was decided, or told to a policy that learns from it."""

    POLICY_BEGUN = 'policy_begun'
    POLICY_DECIDED = 'policy_decided'
    POLICY_GRANT = 'policy_grant'
    POLICY_STAGE = 'policy_stage'
    POLICY_RELEASE = 'policy_release'
    POLICY_REPORT = 'policy_report'
    POLICY_CACHE = 'policy_cache'
    CLAIMS_FOLDED = 'claims_folded'
    DIRECTORY_DECIDED = 'directory_decided'
    ORPHAN_JUDGED = 'orphan_judged'


@dataclasses.dataclass(frozen=True, slots=True)
class TraceLine:
    """One line of a trace.

    Attributes:
        at: loop time at the host, seconds.
        host: the entry host.
        incarnation: start number of its process.
        kind: what the line says.
    """

    at: float
    host: str
    incarnation: int
    kind: str


@dataclasses.dataclass(frozen=True, slots=True)
class TraceEvent(TraceLine):
    """What happened to a request.

    Attributes:
        kind: what happened.
        request_id: the request's id.
        service: service that the request is for, in ARRIVED.
        fingerprint: hash of the content, in ARRIVED.
        size: prompt tokens or body bytes, in ARRIVED.
        once: whether it must not run twice, in ARRIVED.
        repeatable: whether it may run and be answered often, in ARRIVED.
        resumed: whether the caller resumes a stream, in ARRIVED.
        attempt: number of the attempt.
        endpoint: id of the endpoint.
        code: outcome code, in ENDED.
    """

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
    repeatable: bool = False


class TraceSink(abc.ABC):
    """Where the lines of a trace go.

    Attributes:
        takes_lines: whether it is worth while to make lines.
    """

    takes_lines = True

    @abc.abstractmethod
    def record(self, line: TraceLine) -> None:
        """Takes a line."""

    def close(self) -> None:
        """Writes what is left."""
        return None


class NoTrace(TraceSink):
    """Drops all lines."""

    takes_lines = False

    def record(self, line: TraceLine) -> None:
        """Drops a line."""


class FileTrace(TraceSink):
    """Writes lines to a file, up to a size."""

    def __init__(self, path: pathlib.Path, limit_bytes: int):
        """Opens the file and begins with the schema's version.

        Args:
            path: the file; what it holds is kept.
            limit_bytes: size at which recording stops.

        Raises:
            OSError: the file cannot be written.
        """
        self._file = path.open('ab')
        self._limit_bytes = limit_bytes
        self._size = self._file.tell()
        self._write(msgspec.json.encode({'kind': 'schema', 'schema': SCHEMA}))

    def record(self, line: TraceLine) -> None:
        """Appends a line, unless the file has reached its size."""
        if self.takes_lines:
            self._write(encode_line(line))

    def _write(self, line: bytes) -> None:
        if self._size + len(line) + 1 > self._limit_bytes:
            # A trace that lacks a line in the middle could not be replayed.
            self.takes_lines = False
            log.warning(
                'the trace has reached %d bytes; recording stops',
                self._size,
                extra={'code': Outcome.TRACE_FULL},
            )
            return
        self._size += len(line) + 1
        self._file.write(line + b'\n')

    def close(self) -> None:
        """Writes what is left and closes the file."""
        self._file.close()


def encode_line(line: TraceLine) -> bytes:
    """Encodes a line without the fields that have their default value."""
    fields: dict[str, Any] = msgspec.to_builtins(line)
    change = fields.get('change')
    if change:
        fields['change'] = {
            name: value
            for name, value in change.items()
            if value is not None and value != []
        }
    optional = _optional_names(type(line))
    return msgspec.json.encode(
        {
            name: value
            for name, value in fields.items()
            if value or name not in optional
        }
    )


def _optional_names(line_type: type[TraceLine]) -> frozenset[str]:
    """Returns the fields whose default is empty, zero or false."""
    names = _OPTIONAL_BY_TYPE.get(line_type)
    if names is None:
        names = _OPTIONAL_BY_TYPE[line_type] = frozenset(
            field.name
            for field in dataclasses.fields(line_type)
            if field.default is not dataclasses.MISSING and not field.default
        )
    return names


_OPTIONAL_BY_TYPE: dict[type[TraceLine], frozenset[str]] = {}
