"""The interface to the platform's host list."""

from __future__ import annotations

import abc
import asyncio
import dataclasses
import enum
import math

from mustardscale.endpoints.engines import EngineRole


class ListedKind(enum.StrEnum):
    """What a listed machine runs."""

    ENTRY = 'entry'
    ENGINE = 'engine'
    PLAIN = 'plain'


@dataclasses.dataclass(frozen=True, slots=True)
class ListedHost:
    """One line of the host list.

    Attributes:
        id: name of the host or endpoint.
        kind: what it runs.
        address: 'ip:port'; the peers' address for entry hosts.
        data_centre: name of its data centre.
        region: name of its region.
        leaving: whether it is being taken out of service.
        service: service that an endpoint serves.
        model: model that an engine is expected to serve.
        role: role that an engine is expected to have, or None.
        fencing: whether an engine refuses orders with an old term.
        operators_address: 'ip:port' for operators, of entry hosts.
        start: start number of an endpoint's process, 0 if not reported.
        capacity: processor capacity of an entry host, in usual cores.
        version: version of the software that an endpoint runs, '' where the
            list states none.
    """

    id: str
    kind: ListedKind
    address: str
    data_centre: str
    region: str
    leaving: bool = False
    service: str = ''
    model: str = ''
    role: EngineRole | None = None
    fencing: bool = True
    operators_address: str = ''
    start: int = 0
    capacity: float = 1.0
    version: str = ''


class HostList(abc.ABC):
    """Access to the host list, which may lag behind the present state.

    Attributes:
        version: rises with each change, 0 for lists without versions.
        regained_at: loop time since when the list can be read again, minus
            infinity if it always could.
        unusable_count: entries of the last reading that can't be used.
    """

    version: int = 0
    unusable_count: int = 0
    regained_at: float = -math.inf

    @abc.abstractmethod
    async def fetch(self) -> list[ListedHost]:
        """Reads the list.

        An unchanged list may be returned as the same object, so the caller must
        not change it.

        Raises:
            PeerUnavailableError: the list could not be read.
        """

    def entry_hosts(self) -> list[ListedHost]:
        """Returns the entry hosts that are known before the list was read."""
        return []

    def is_current(self) -> bool:
        """Returns whether the list can be read at present."""
        return True

    async def confirm(self) -> None:
        """Makes sure that fetch() returns what a call finds that begins now.

        Raises:
            PeerUnavailableError: nothing shows what is listed now.
        """
        return None

    def take_passed(self) -> list[ListedHost]:
        """Returns the entries that came and went between two readings."""
        return []

    def age_s(self) -> float:
        """Returns the seconds since nothing newer was known to be there."""
        return 0.0

    async def wait_changed(self, timeout_s: float) -> None:
        """Waits for a change, or for timeout_s if changes are not reported."""
        await asyncio.sleep(timeout_s)

    async def announce(self, host: ListedHost) -> None:
        """Adds an entry host to the list, if hosts write the list themselves.

        Raises:
            PeerUnavailableError: the host may not have been added.
        """
        return None

    async def retire(self, host: str) -> None:
        """Removes an entry host from the list, if hosts write it themselves.

        Raises:
            PeerUnavailableError: the host may still be listed.
        """
        return None

    async def close(self) -> None:
        """Releases connections."""
        return None
