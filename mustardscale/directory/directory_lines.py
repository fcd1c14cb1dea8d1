"""Trace lines of the decisions on registrations.

A replay repeats the decisions from these lines; see docs/design/traces.md.
"""

from __future__ import annotations

import dataclasses

from mustardscale.directory.directory_rules import Registration
from mustardscale.traces.trace import DecisionKind, TraceLine


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryLine(TraceLine):
    """A home's decision on the registration of an id that it knows.

    Attributes:
        kind: DIRECTORY_DECIDED.
        registration: the registration that was decided on.
        accepted: whether the home accepted it.
    """

    kind: DecisionKind
    registration: Registration
    accepted: bool = False
