"""Trace lines of decisions on registrations.

A replay decides again from them; see docs/design/traces.md.
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
        registration: what it decided on.
        accepted: what was decided.
    """

    kind: DecisionKind
    registration: Registration
    accepted: bool = False
