"""Creates the HTTP clients by which the daemon calls endpoints."""

from __future__ import annotations

import aiohttp

from mustardscale.blackboard import EndpointEntry
from mustardscale.endpoints.bounded_connections import BoundedConnector
from mustardscale.endpoints.endpoint_clients import EndpointConnector
from mustardscale.endpoints.engines import Engine
from mustardscale.endpoints.http_engine import HttpEngine
from mustardscale.endpoints.http_plain import (
    AnswersInMemory,
    HttpPlainEndpoint,
)
from mustardscale.endpoints.plain_endpoints import PlainEndpoint

# Limit of connections; 0 means unlimited. The limits on requests in progress
# already bound the connections.
_UNLIMITED = 0


class HttpConnector(EndpointConnector):
    """Creates HTTP clients; those of all engines share one session."""

    def __init__(self):
        connector = BoundedConnector(
            limit=_UNLIMITED, limit_per_host=_UNLIMITED
        )
        self._session = aiohttp.ClientSession(connector=connector)
        self._plain_answers = AnswersInMemory()

    def engine(self, endpoint: EndpointEntry) -> Engine:
        """Creates the client of an engine."""
        return HttpEngine(self._session, self.engine_url(endpoint))

    def plain(self, endpoint: EndpointEntry) -> PlainEndpoint:
        """Creates the client of a plain service's endpoint."""
        return HttpPlainEndpoint(
            endpoint.address, in_memory=self._plain_answers
        )

    def engine_url(self, endpoint: EndpointEntry) -> str:
        """Returns the URL at which other engines reach an engine."""
        return f'http://{endpoint.address}'

    async def close(self) -> None:
        """Closes the session."""
        await self._session.close()
