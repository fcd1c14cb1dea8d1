"""Creates the clients of endpoints and keeps one for each process."""

from __future__ import annotations

import abc
import asyncio
import dataclasses
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from mustardscale.blackboard import Blackboard, EndpointEntry
from mustardscale.endpoints.endpoint_notices import EndpointNotice
from mustardscale.endpoints.engines import Engine, EngineControl
from mustardscale.endpoints.plain_endpoints import PlainEndpoint

# Time for which the client of a process that is gone stays open, seconds.
# Answers that have begun are read meanwhile.
RETIRED_S = 600.0


class ControlConnector(abc.ABC):
    """Creates the clients that read engines' load and send them orders."""

    @abc.abstractmethod
    def control(self, endpoint: EndpointEntry) -> EngineControl:
        """Creates the control client of an engine."""

    async def close(self) -> None:
        """Releases connections."""
        return None


class EndpointConnector(ControlConnector):
    """Creates clients: over HTTP in the daemon, in-process models in tests."""

    @abc.abstractmethod
    def engine(self, endpoint: EndpointEntry) -> Engine:
        """Creates the client of an engine."""

    def control(self, endpoint: EndpointEntry) -> EngineControl:
        """See the base class."""
        return self.engine(endpoint)

    @abc.abstractmethod
    def plain(self, endpoint: EndpointEntry) -> PlainEndpoint:
        """Creates the client of a plain service's endpoint."""

    @abc.abstractmethod
    def engine_url(self, endpoint: EndpointEntry) -> str:
        """Returns the URL at which other engines reach an engine."""


class ClosableClient(Protocol):
    """A client that may hold connections."""

    async def close(self) -> None:
        """Releases connections."""


ClientT = TypeVar('ClientT', bound=ClosableClient)


@dataclasses.dataclass(slots=True)
class _KnownClient(Generic[ClientT]):
    """A client, and the process of the endpoint that it was created for.

    Attributes:
        client: the client.
        address: 'ip:port' of the process.
        notice: what the process has told this host; another process has
            another one.
    """

    client: ClientT
    address: str
    notice: EndpointNotice


class ProcessClients(Generic[ClientT]):
    """Clients of endpoints, one for each process.

    A process that starts at the address of another one gets a client of its
    own, whether its id is another one too or not.
    """

    __slots__ = ('_blackboard', '_create', '_known_by_id', '_retired')

    def __init__(
        self,
        blackboard: Blackboard,
        create: Callable[[EndpointEntry], ClientT],
    ):
        self._blackboard = blackboard
        self._create = create
        self._known_by_id: dict[str, _KnownClient[ClientT]] = {}
        # Clients of processes that are gone, with the loop time at which they
        # were found to be gone. Their last answers may still be read.
        self._retired: list[tuple[float, ClientT]] = []

    def __len__(self) -> int:
        """Returns the number of clients that are not closed."""
        return len(self._known_by_id) + len(self._retired)

    def get(self, endpoint_id: str) -> ClientT | None:
        """Returns the client of an endpoint, None if it is not listed."""
        endpoint = self._blackboard.endpoints_by_id.get(endpoint_id)
        if endpoint is None:
            return None
        known = self._known_by_id.get(endpoint_id)
        if (
            known is not None
            and known.address == endpoint.address
            and known.notice is endpoint.notice
        ):
            return known.client
        if known is not None:
            self._retire(endpoint_id)
        self._retire_gone()
        client = self._create(endpoint)
        self._known_by_id[endpoint_id] = _KnownClient(
            client, endpoint.address, endpoint.notice
        )
        return client

    def _retire_gone(self) -> None:
        listed = self._blackboard.endpoints_by_id
        for endpoint_id in list(self._known_by_id):
            if endpoint_id not in listed:
                self._retire(endpoint_id)

    def _retire(self, endpoint_id: str) -> None:
        now = asyncio.get_running_loop().time()
        client = self._known_by_id.pop(endpoint_id).client
        self._retired.append((now, client))

    async def close_retired(self) -> None:
        """Closes the clients of processes that have been gone for long."""
        horizon = asyncio.get_running_loop().time() - RETIRED_S
        old = [client for gone_at, client in self._retired if gone_at < horizon]
        self._retired = [
            (gone_at, client)
            for gone_at, client in self._retired
            if gone_at >= horizon
        ]
        for client in old:
            await client.close()

    async def close(self) -> None:
        """Closes all clients."""
        for known in self._known_by_id.values():
            await known.client.close()
        for _, client in self._retired:
            await client.close()
        self._known_by_id.clear()
        self._retired.clear()


class ControlClients:
    """The control clients of the engines on the blackboard."""

    __slots__ = ('_blackboard', '_connector', '_controls')

    def __init__(self, blackboard: Blackboard, connector: ControlConnector):
        self._blackboard = blackboard
        self._connector = connector
        self._controls: ProcessClients[EngineControl] = ProcessClients(
            blackboard, connector.control
        )

    def control(self, endpoint_id: str) -> EngineControl | None:
        """Returns the client of an engine, None if it is not listed."""
        return self._controls.get(endpoint_id)

    async def close_retired(self) -> None:
        """Closes the clients of processes that have been gone for long."""
        await self._controls.close_retired()

    async def close(self) -> None:
        """Closes all clients."""
        await self._controls.close()
        await self._connector.close()


class EndpointClients(ControlClients):
    """The clients of the endpoints on the blackboard."""

    __slots__ = ('_endpoint_connector', '_engines', '_plains')

    def __init__(self, blackboard: Blackboard, connector: EndpointConnector):
        super().__init__(blackboard, connector)
        self._endpoint_connector = connector
        self._engines: ProcessClients[Engine] = ProcessClients(
            blackboard, connector.engine
        )
        self._plains: ProcessClients[PlainEndpoint] = ProcessClients(
            blackboard, connector.plain
        )

    def engine(self, endpoint_id: str) -> Engine | None:
        """Returns the client of an engine, None if it is not listed."""
        return self._engines.get(endpoint_id)

    def control(self, endpoint_id: str) -> EngineControl | None:
        """See the base class; returns the same client as engine()."""
        return self.engine(endpoint_id)

    def plain(self, endpoint_id: str) -> PlainEndpoint | None:
        """Returns the client of a plain endpoint, None if not listed."""
        return self._plains.get(endpoint_id)

    def engine_url(self, endpoint_id: str) -> str:
        """Returns the URL of an engine for other engines, '' if not listed."""
        endpoint = self._blackboard.endpoints_by_id.get(endpoint_id)
        return self._endpoint_connector.engine_url(endpoint) if endpoint else ''

    async def close_retired(self) -> None:
        """See the base class."""
        await self._engines.close_retired()
        await self._plains.close_retired()
        await super().close_retired()

    async def close(self) -> None:
        """Closes all clients."""
        await self._engines.close()
        await self._plains.close()
        await super().close()
