"""Creates the clients of endpoints and keeps them by address."""

from __future__ import annotations

import abc

from mustardscale.blackboard import Blackboard, EndpointEntry
from mustardscale.endpoints.engines import Engine, EngineControl
from mustardscale.endpoints.plain_endpoints import PlainEndpoint


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


class ControlClients:
    """The control clients of the engines on the blackboard."""

    __slots__ = ('_blackboard', '_connector', '_control_by_address')

    def __init__(self, blackboard: Blackboard, connector: ControlConnector):
        self._blackboard = blackboard
        self._connector = connector
        self._control_by_address: dict[str, EngineControl] = {}

    def control(self, endpoint_id: str) -> EngineControl | None:
        """Returns the client of an engine, None if it is not listed."""
        endpoint = self._blackboard.endpoints_by_id.get(endpoint_id)
        if endpoint is None:
            return None
        client = self._control_by_address.get(endpoint.address)
        if client is None:
            client = self._connector.control(endpoint)
            self._control_by_address[endpoint.address] = client
        return client

    async def close(self) -> None:
        """Closes all clients."""
        for client in self._control_by_address.values():
            await client.close()
        await self._connector.close()


class EndpointClients(ControlClients):
    """The clients of the endpoints on the blackboard."""

    __slots__ = (
        '_endpoint_connector',
        '_engine_by_address',
        '_plain_by_address',
    )

    def __init__(self, blackboard: Blackboard, connector: EndpointConnector):
        super().__init__(blackboard, connector)
        self._endpoint_connector = connector
        self._engine_by_address: dict[str, Engine] = {}
        self._plain_by_address: dict[str, PlainEndpoint] = {}

    def engine(self, endpoint_id: str) -> Engine | None:
        """Returns the client of an engine, None if it is not listed."""
        endpoint = self._blackboard.endpoints_by_id.get(endpoint_id)
        if endpoint is None:
            return None
        client = self._engine_by_address.get(endpoint.address)
        if client is None:
            client = self._endpoint_connector.engine(endpoint)
            self._engine_by_address[endpoint.address] = client
        return client

    def control(self, endpoint_id: str) -> EngineControl | None:
        """See the base class; returns the same client as engine()."""
        return self.engine(endpoint_id)

    def plain(self, endpoint_id: str) -> PlainEndpoint | None:
        """Returns the client of a plain endpoint, None if not listed."""
        endpoint = self._blackboard.endpoints_by_id.get(endpoint_id)
        if endpoint is None:
            return None
        client = self._plain_by_address.get(endpoint.address)
        if client is None:
            client = self._endpoint_connector.plain(endpoint)
            self._plain_by_address[endpoint.address] = client
        return client

    def engine_url(self, endpoint_id: str) -> str:
        """Returns the URL of an engine for other engines, '' if not listed."""
        endpoint = self._blackboard.endpoints_by_id.get(endpoint_id)
        return self._endpoint_connector.engine_url(endpoint) if endpoint else ''

    async def close(self) -> None:
        """Closes all clients."""
        for engine in self._engine_by_address.values():
            await engine.close()
        for plain in self._plain_by_address.values():
            await plain.close()
        await super().close()
