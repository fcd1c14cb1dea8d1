"""What shows which software version wrote the first event of a stream."""

from __future__ import annotations

import abc


class VersionWitness(abc.ABC):
    """Shows whether an engine ran the version that the host list states.

    The list tells of a process that started again under the id of another one
    only later, or not at all to a host that is cut off from the platform.
    """

    @abc.abstractmethod
    async def confirm(self) -> bool:
        """Returns whether the version is shown; it may be called repeatedly."""
