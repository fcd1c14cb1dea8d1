"""Records the notices about an endpoint that its own answers carry."""

from __future__ import annotations

import asyncio

from mustardscale.blackboard import Blackboard, EndpointEntry
from mustardscale.endpoints.endpoint_notices import EndpointNotice
from mustardscale.reporting.event_log import EventKind

# Maximum time for which a busy notice of an endpoint is honoured, seconds.
MAX_BUSY_S = 3600.0


class EndpointListener:
    """Records what one process of an endpoint states of itself.

    A listener may outlive the endpoint's entry on the blackboard. A late answer
    then counts for the process that sent it, not for the next process with the
    same id or address.
    """

    __slots__ = ('_blackboard', '_endpoint_id', '_notice', '_service')

    def __init__(self, blackboard: Blackboard, endpoint: EndpointEntry):
        self._blackboard = blackboard
        self._endpoint_id = endpoint.id
        self._service = endpoint.service
        self._notice: EndpointNotice = endpoint.notice

    def matches_process(self, endpoint: EndpointEntry) -> bool:
        """Returns whether an entry belongs to this listener's process."""
        return endpoint.notice is self._notice

    def record_leaving(self) -> None:
        """Records that the endpoint accepts no new work from any host."""
        if self._notice.leaving:
            return
        self._notice.leaving = True
        self._emit_change('says leaving')
        self._blackboard.membership_changed.notify()

    def record_busy(self, seconds: float) -> None:
        """Records that the endpoint accepts no work from this host for a time.

        Args:
            seconds: how long. A shorter time does not end a longer one that
                is still running.
        """
        now = asyncio.get_running_loop().time()
        if self._notice.busy_until <= now:
            self._emit_change('says busy', round(seconds, 3))
        until = now + min(seconds, MAX_BUSY_S)
        self._notice.busy_until = max(self._notice.busy_until, until)

    def record_rate_limit(self, per_s: float | None) -> None:
        """Records the rate limit that an answer of the endpoint states.

        Args:
            per_s: requests a second from all hosts together, None if the
                answer states no limit.
        """
        if self._notice.rate_limit is None and per_s is None:
            return
        now = asyncio.get_running_loop().time()
        if not self._notice.update_rate_limit(per_s, now, now, True):
            return
        self._blackboard.events.emit(
            EventKind.RATE_LIMIT_CHANGED,
            endpoint=self._endpoint_id,
            change='stated by the endpoint',
            service=self._service,
            limit_per_s=per_s,
        )
        self._blackboard.notices.changed_limit_ids.add(self._endpoint_id)
        self._blackboard.rate_limit_changed.notify()

    def _emit_change(self, change: str, busy_s: float = 0.0) -> None:
        self._blackboard.events.emit(
            EventKind.ENDPOINT_CHANGED,
            endpoint=self._endpoint_id,
            change=change,
            service=self._service,
            busy_s=busy_s,
        )
