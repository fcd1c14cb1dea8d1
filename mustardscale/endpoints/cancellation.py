"""Cancels attempts on endpoints and retries until the endpoint confirms."""

from __future__ import annotations

import asyncio
import logging

from mustardscale.background_tasks import BackgroundTasks
from mustardscale.blackboard import Blackboard
from mustardscale.endpoints.endpoint_clients import EndpointClients
from mustardscale.exceptions import MustardscaleError
from mustardscale.traces.trace import TraceKind

log = logging.getLogger(__name__)

CANCEL_TIMEOUT_S = 1.0
FIRST_RETRY_S = 0.2
MAX_RETRY_S = 2.0
# Seconds after which a cancel is no longer retried. The pool owner then frees
# what is left, when it compares the streams of the engines with its own.
GIVE_UP_AFTER_S = 30.0


class Canceller:
    """Sends cancels in the background and retries until they are confirmed."""

    def __init__(self, blackboard: Blackboard, clients: EndpointClients):
        self._blackboard = blackboard
        self._clients = clients
        self._background = BackgroundTasks()

    def cancel(self, endpoint_id: str, request_id: str, attempt: int) -> None:
        """Frees what this attempt and earlier ones hold on an endpoint."""
        if not endpoint_id:
            return
        self._background.start(self._cancel(endpoint_id, request_id, attempt))

    @property
    def pending(self) -> int:
        """Returns the number of cancels not confirmed yet."""
        return len(self._background)

    async def wait_idle(self) -> None:
        """Waits until every cancel is confirmed or abandoned."""
        await self._background.wait_idle()

    def stop(self) -> None:
        """Abandons all pending cancels."""
        self._background.cancel()

    async def _cancel(
        self, endpoint_id: str, request_id: str, attempt: int
    ) -> None:
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + GIVE_UP_AFTER_S
        retry_s = FIRST_RETRY_S
        while loop.time() < give_up_at:
            engine = self._clients.engine(endpoint_id)
            if engine is None:
                return
            try:
                async with asyncio.timeout(CANCEL_TIMEOUT_S):
                    await engine.cancel(request_id, attempt)
            except (MustardscaleError, TimeoutError) as error:
                log.debug(
                    'cancel of %s at %s not confirmed: %s',
                    request_id,
                    endpoint_id,
                    error,
                )
                await asyncio.sleep(retry_s)
                retry_s = min(MAX_RETRY_S, 2 * retry_s)
            else:
                self._blackboard.record(
                    TraceKind.CANCELLED,
                    request_id,
                    endpoint=endpoint_id,
                    attempt=attempt,
                )
                return
