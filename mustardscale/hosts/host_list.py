"""The interface to the platform's host list."""

from __future__ import annotations

import abc
import dataclasses
import enum

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


class HostList(abc.ABC):
    """Access to the host list, which lags behind the truth."""

    @abc.abstractmethod
    async def fetch(self) -> list[ListedHost]:
        """Reads the list; one that has not changed may be the same object.

        The caller must not change it.

        Raises:
            PeerUnavailableError: the list could not be read.
        """

    async def close(self) -> None:
        """Releases connections."""
        return None
