"""Makes the clients that go through another host where links are lost."""

from __future__ import annotations

from mustardscale.blackboard import EndpointEntry
from mustardscale.endpoints.engines import EngineControl
from mustardscale.forwarding.forwarding_endpoint import (
    ForwardingControl,
    ForwardingEndpoint,
)
from mustardscale.forwarding.link_monitor import LinkMonitor
from mustardscale.relay.endpoint_listener import EndpointListener
from mustardscale.relay.relay_endpoint import RelayConnector, RelayEndpoint


class ForwardingConnector(RelayConnector):
    """Makes clients on top of those of another connector."""

    def __init__(self, inner: RelayConnector, monitor: LinkMonitor):
        self._inner = inner
        self._monitor = monitor

    def control(self, endpoint: EndpointEntry) -> EngineControl:
        """See the base class."""
        return ForwardingControl(
            endpoint, self._inner.control(endpoint), self._monitor
        )

    def relay(
        self, endpoint: EndpointEntry, listener: EndpointListener
    ) -> RelayEndpoint:
        """See the base class."""
        return ForwardingEndpoint(
            endpoint,
            self._inner.relay(endpoint, listener),
            listener,
            self._monitor,
        )

    async def close(self) -> None:
        """See the base class."""
        await self._inner.close()
