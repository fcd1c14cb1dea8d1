"""Makes and keeps the clients of endpoints."""

from __future__ import annotations

import abc

from mustardscale.blackboard import Blackboard, EndpointEntry
from mustardscale.endpoints.engines import Engine
from mustardscale.endpoints.plain_endpoints import PlainEndpoint


class EndpointConnector(abc.ABC):
    """Makes clients; the daemon's speak HTTP, tests use models in-process."""

    @abc.abstractmethod
    def engine(self, endpoint: EndpointEntry) -> Engine:
        """Makes the client of an engine."""

    @abc.abstractmethod
    def plain(self, endpoint: EndpointEntry) -> PlainEndpoint:
        """Makes the client of a plain service's endpoint."""

    @abc.abstractmethod
    def engine_url(self, endpoint: EndpointEntry) -> str:
        """Returns the address by which other engines reach an engine."""

    async def close(self) -> None:
        """Releases connections."""
        return None


class EndpointClients:
    """The clients of the endpoints on the blackboard."""

    __slots__ = (
        '_blackboard',
        '_connector',
        '_engine_by_address',
        '_plain_by_address',
    )

    def __init__(self, blackboard: Blackboard, connector: EndpointConnector):
        self._blackboard = blackboard
        self._connector = connector
        self._engine_by_address: dict[str, Engine] = {}
        self._plain_by_address: dict[str, PlainEndpoint] = {}

    def engine(self, endpoint_id: str) -> Engine | None:
        """Returns the client of an engine, None if it is not listed."""
        endpoint = self._blackboard.endpoints_by_id.get(endpoint_id)
        if endpoint is None:
            return None
        client = self._engine_by_address.get(endpoint.address)
        if client is None:
            client = self._connector.engine(endpoint)
            self._engine_by_address[endpoint.address] = client
        return client

    def plain(self, endpoint_id: str) -> PlainEndpoint | None:
        """Returns the client of a plain endpoint, None if not listed."""
        endpoint = self._blackboard.endpoints_by_id.get(endpoint_id)
        if endpoint is None:
            return None
        client = self._plain_by_address.get(endpoint.address)
        if client is None:
            client = self._connector.plain(endpoint)
            self._plain_by_address[endpoint.address] = client
        return client

    def engine_url(self, endpoint_id: str) -> str:
        """Returns the address of an engine for other engines, '' if none."""
        endpoint = self._blackboard.endpoints_by_id.get(endpoint_id)
        return self._connector.engine_url(endpoint) if endpoint else ''

    async def close(self) -> None:
        """Closes all clients."""
        for engine in self._engine_by_address.values():
            await engine.close()
        for plain in self._plain_by_address.values():
            await plain.close()
        await self._connector.close()
