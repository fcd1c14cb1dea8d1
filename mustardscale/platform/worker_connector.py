"""Makes the clients of the platform's workers."""

from __future__ import annotations

from mustardscale.blackboard import Blackboard, EndpointEntry
from mustardscale.configuration.routes import EngineSpec
from mustardscale.endpoints.engines import EngineControl
from mustardscale.platform.http_client import make_client
from mustardscale.platform.worker_control import WorkerControl
from mustardscale.platform.worker_relay import WorkerRelay
from mustardscale.relay.endpoint_listener import EndpointListener
from mustardscale.relay.relay_endpoint import RelayConnector, RelayEndpoint

# Used for engines whose service is missing from the configuration.
DEFAULT_ENGINE_SPEC = EngineSpec(1, 0, 1, 1e9)


class WorkerConnector(RelayConnector):
    """Makes clients that share a session and use a connection for each call."""

    def __init__(self, host: str):
        """Opens a session; a loop must be running.

        Args:
            host: id of this host, which is named as the holder in its orders.
        """
        self._host = host
        self._session = make_client(connection_per_call=True)
        self._board: Blackboard | None = None

    def follow(self, board: Blackboard) -> None:
        """Sets the blackboard from which the specs of services are read."""
        self._board = board

    def control(self, endpoint: EndpointEntry) -> EngineControl:
        """See the base class."""
        return WorkerControl(
            self._session,
            endpoint.address,
            endpoint.id,
            endpoint.service,
            self._find_spec(endpoint),
            self._host,
        )

    def relay(
        self, endpoint: EndpointEntry, listener: EndpointListener
    ) -> RelayEndpoint:
        """See the base class."""
        return WorkerRelay(
            self._session,
            endpoint.address,
            endpoint.id,
            self._find_spec(endpoint).result_keep_s,
            listener,
        )

    async def close(self) -> None:
        """Closes the session."""
        await self._session.close()

    def _find_spec(self, endpoint: EndpointEntry) -> EngineSpec:
        if self._board is None:
            return DEFAULT_ENGINE_SPEC
        routes = self._board.config.routes
        service = routes.service_by_name.get(endpoint.service)
        if service is None or service.engine is None:
            return DEFAULT_ENGINE_SPEC
        return service.engine
