"""Finds out whether a connection was lost because the endpoint crashed."""

from __future__ import annotations

import asyncio
import collections

from mustardscale.background_tasks import BackgroundTasks
from mustardscale.exceptions import MustardscaleError
from mustardscale.pools.quarantine import Suspicions
from mustardscale.relay.relay_endpoint import RelayClients

# Time to wait after the first lost connection, seconds. The other calls that
# the same crash cuts off are lost within this time.
CRASH_GATHER_WINDOW_S = 0.05
ALIVE_CHECK_TIMEOUT_S = 0.5


class CrashWatch:
    """Records the requests that were in flight when a plain endpoint crashed.

    An endpoint that answers or accepts a connection has not crashed.
    """

    __slots__ = (
        '_background',
        '_clients',
        '_open_calls',
        '_suspected_calls',
        '_suspicions',
    )

    def __init__(self, clients: RelayClients, suspicions: Suspicions):
        self._clients = clients
        self._suspicions = suspicions
        self._background = BackgroundTasks()
        # Fingerprints of the open calls, by endpoint and request id.
        self._open_calls: dict[str, dict[str, int]] = collections.defaultdict(
            dict
        )
        # Calls in flight at a lost connection whose crash check is running, by
        # endpoint.
        self._suspected_calls: dict[str, dict[str, int]] = {}

    def begin(
        self, endpoint_id: str, request_id: str, fingerprint: int
    ) -> None:
        """Records the start of a call."""
        self._open_calls[endpoint_id][request_id] = fingerprint

    def end(self, endpoint_id: str, request_id: str) -> None:
        """Records the end of a call."""
        self._open_calls[endpoint_id].pop(request_id, None)
        if not self._open_calls[endpoint_id]:
            del self._open_calls[endpoint_id]

    def check_for_crash(self, endpoint_id: str) -> None:
        """Starts a crash check after a call lost its connection.

        The call must not have been ended yet, so that it is among the suspects.
        """
        in_flight = self._open_calls.get(endpoint_id, {})
        suspected = self._suspected_calls.get(endpoint_id)
        if suspected is not None:
            suspected.update(in_flight)
            return
        self._suspected_calls[endpoint_id] = dict(in_flight)
        self._background.start(self._run_crash_check(endpoint_id))

    def is_quarantined(self, request_id: str, fingerprint: int) -> bool:
        """Returns whether a request must not be sent to any endpoint."""
        return self._suspicions.is_quarantined(request_id, fingerprint)

    async def is_alive(self, endpoint_id: str) -> bool:
        """Returns whether an endpoint's process is still running."""
        client = self._clients.relay(endpoint_id)
        if client is None:
            return False
        try:
            async with asyncio.timeout(ALIVE_CHECK_TIMEOUT_S):
                return await client.is_alive()
        except (MustardscaleError, TimeoutError):
            return False

    async def _run_crash_check(self, endpoint_id: str) -> None:
        await asyncio.sleep(CRASH_GATHER_WINDOW_S)
        alive = await self.is_alive(endpoint_id)
        suspected = self._suspected_calls.pop(endpoint_id)
        if not alive and suspected:
            self._suspicions.record_crash(endpoint_id, suspected.items())
