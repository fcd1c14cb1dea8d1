"""What shows which software version wrote the first event of a stream."""

from __future__ import annotations

import abc
import enum


class VersionEvidence(enum.StrEnum):
    """What is known of the version that the host list stated for a stream.

    Attributes:
        OPEN: nothing, it may be known later.
        SHOWN: it is right.
        REFUTED: another process than the listed one may have begun the stream.
        LOST: nothing, and the engine has left.
    """

    OPEN = 'open'
    SHOWN = 'shown'
    REFUTED = 'refuted'
    LOST = 'lost'


class VersionWitness(abc.ABC):
    """Shows whether an engine ran the version that the host list states.

    The list tells of a process that started again under the id of another one
    only later, or not at all to a host that is cut off from the platform.

    Attributes:
        evidence: what was found last.
    """

    evidence: VersionEvidence = VersionEvidence.OPEN

    @abc.abstractmethod
    async def ask(self) -> VersionEvidence:
        """Returns what can be found now; a final finding never changes."""
