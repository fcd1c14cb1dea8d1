"""Reads the lines of a trace."""

from __future__ import annotations

import dataclasses
import pathlib
from typing import Any

import msgspec

from mustardscale.claims.claim_lines import ClaimsLine
from mustardscale.directory.directory_lines import DirectoryLine
from mustardscale.pools.pool_lines import OrphanLine, PolicyLine
from mustardscale.traces.trace import (
    DecisionKind,
    TraceEvent,
    TraceKind,
    TraceLine,
)

_TYPE_BY_KIND: dict[str, type[TraceLine]] = {
    **dict.fromkeys(TraceKind, TraceEvent),
    **dict.fromkeys(DecisionKind, PolicyLine),
    DecisionKind.CLAIMS_FOLDED: ClaimsLine,
    DecisionKind.DIRECTORY_DECIDED: DirectoryLine,
    DecisionKind.ORPHAN_JUDGED: OrphanLine,
}


@dataclasses.dataclass(slots=True)
class Trace:
    """What a file holds.

    Attributes:
        lines: its lines, in order.
        unreadable: numbers of the lines that were skipped, from 1.
    """

    lines: list[TraceLine] = dataclasses.field(default_factory=list)
    unreadable: list[int] = dataclasses.field(default_factory=list)

    def events(self) -> list[TraceEvent]:
        """Returns what happened to requests."""
        return [line for line in self.lines if isinstance(line, TraceEvent)]


def read_trace(path: pathlib.Path) -> Trace:
    """Reads a file; a line that cannot be read is skipped.

    Raises:
        OSError: the file cannot be read.
    """
    trace = Trace()
    with path.open('rb') as file:
        for number, text in enumerate(file, 1):
            try:
                content: dict[str, Any] = msgspec.json.decode(text, type=dict)
                if content.get('kind') == 'schema':
                    continue
                trace.lines.append(_line(content))
            except (msgspec.MsgspecError, ValueError):
                trace.unreadable.append(number)
    return trace


def _line(content: dict[str, Any]) -> TraceLine:
    """Makes a line of its fields.

    Raises:
        ValueError: the kind is not known.
        msgspec.ValidationError: the fields do not fit.
    """
    line_type = _TYPE_BY_KIND.get(content.get('kind', ''))
    if line_type is None:
        raise ValueError('unknown kind of line')
    return msgspec.convert(content, line_type)
