"""Takes in what an endpoint's answers say of the endpoint itself."""

from __future__ import annotations

import asyncio

from mustardscale.blackboard import Blackboard, EndpointEntry
from mustardscale.endpoints.endpoint_notices import EndpointNotice
from mustardscale.reporting.event_log import EventKind

# Longest time for which an endpoint is left alone at its own word, seconds.
MAX_BUSY_S = 3600.0


class EndpointListener:
    """Notes what one process of an endpoint says of itself.

    It outlives the endpoint's entry: an answer that comes late counts for the
    process that gave it, not for the next one with that id or address.
    """

    __slots__ = ('_blackboard', '_endpoint_id', '_notice', '_service')

    def __init__(self, blackboard: Blackboard, endpoint: EndpointEntry):
        self._blackboard = blackboard
        self._endpoint_id = endpoint.id
        self._service = endpoint.service
        self._notice: EndpointNotice = endpoint.notice

    def matches_process(self, endpoint: EndpointEntry) -> bool:
        """Returns whether an entry is of the process that is listened to."""
        return endpoint.notice is self._notice

    def record_leaving(self) -> None:
        """Notes that the endpoint takes no new work from anyone."""
        if self._notice.leaving:
            return
        self._notice.leaving = True
        self._emit_change('says leaving')
        self._blackboard.membership_changed.notify()

    def record_busy(self, seconds: float) -> None:
        """Notes that the endpoint takes no work from this host for a time.

        Args:
            seconds: how long; a shorter time does not end a longer one.
        """
        now = asyncio.get_running_loop().time()
        if self._notice.busy_until <= now:
            self._emit_change('says busy', round(seconds, 3))
        until = now + min(seconds, MAX_BUSY_S)
        self._notice.busy_until = max(self._notice.busy_until, until)

    def _emit_change(self, change: str, busy_s: float = 0.0) -> None:
        self._blackboard.events.emit(
            EventKind.ENDPOINT_CHANGED,
            endpoint=self._endpoint_id,
            change=change,
            service=self._service,
            busy_s=busy_s,
        )
