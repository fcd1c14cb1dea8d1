"""Quarantines requests that crash the endpoints that run them.

After a first crash, all requests in flight on the endpoint are suspects. A pool
owner runs at most one suspect on an engine at a time, so that a second crash
identifies its cause. A suspect that gets past the point of its crash is
cleared.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable, Sequence

from mustardscale.blackboard import Blackboard, Signal, Suspicion
from mustardscale.controller import Controller
from mustardscale.outcomes import Outcome
from mustardscale.peers.peer_messages import Quarantine
from mustardscale.reporting.event_log import EventKind

log = logging.getLogger(__name__)

# Number of endpoint crashes after which a request is quarantined.
QUARANTINE_CRASHES = 2
# Suspicions and quarantines are forgotten after this time, seconds.
SUSPICION_MEMORY_S = 600.0
EXPIRY_INTERVAL_S = 30.0
# Error that the delivery of a notice may add to the time of a change, seconds.
# If two changes are closer together than this, the one with more crashes wins.
NOTICE_DELAY_S = 1.0
# Requests in one line of the log at most.
MAX_LOGGED = 64
# Maximum number of remembered keys.
MAX_KEYS = 10_000


def suspicion_keys(request_id: str, fingerprint: int) -> tuple[str, ...]:
    """Returns the keys under which a request is remembered.

    >>> suspicion_keys('a', 255)
    ('a', '00000000000000ff')
    >>> suspicion_keys('a', 0)
    ('a',)
    """
    if not fingerprint:
        return (request_id,)
    return (request_id, f'{fingerprint:016x}')


class Suspicions:
    """Reads and updates the suspicions on the blackboard.

    Attributes:
        changes: number of changes so far.
        changed: signal that is notified at each change.
    """

    def __init__(self, blackboard: Blackboard):
        self._blackboard = blackboard
        self._by_key = blackboard.suspicions_by_key
        self.changes = 0
        self.changed = Signal()

    def crashes(self, request_id: str, fingerprint: int) -> int:
        """Returns how many crashes count against a request."""
        return max(
            (
                self._by_key[key].crashes
                for key in suspicion_keys(request_id, fingerprint)
                if key in self._by_key
            ),
            default=0,
        )

    def is_suspect(self, request_id: str, fingerprint: int) -> bool:
        """Returns whether a crash counts against a request."""
        return self.crashes(request_id, fingerprint) > 0

    def is_quarantined(self, request_id: str, fingerprint: int) -> bool:
        """Returns whether a request is quarantined and must not run."""
        return any(
            self._by_key[key].quarantined
            for key in suspicion_keys(request_id, fingerprint)
            if key in self._by_key
        )

    def record_crash(
        self, endpoint_id: str, in_flight: Iterable[tuple[str, int]]
    ) -> None:
        """Counts an endpoint's crash against the requests in flight there.

        Args:
            endpoint_id: the endpoint that crashed.
            in_flight: (request id, fingerprint) of each request.
        """
        requests = list(in_flight)
        known = [item for item in requests if self.crashes(*item) > 0]
        named = known if len(known) == 1 else []
        log.warning(
            'endpoint %s crashed with %d requests in flight, %d suspected',
            endpoint_id,
            len(requests),
            len(known),
            extra={'code': Outcome.ENDPOINT_CRASH_SUSPECTED},
        )
        self._blackboard.events.emit(
            EventKind.ENDPOINT_CRASHED,
            code=Outcome.ENDPOINT_CRASH_SUSPECTED,
            endpoint=endpoint_id,
            requests=[request_id for request_id, _ in requests][:MAX_LOGGED],
        )
        for item in requests:
            crashes = self.crashes(*item)
            if item in named or crashes == 0:
                self._count(item, crashes + 1)

    def clear(self, request_id: str, fingerprint: int) -> None:
        """Clears a request that is suspected but not quarantined."""
        for key in suspicion_keys(request_id, fingerprint):
            suspicion = self._by_key.get(key)
            if (
                suspicion is not None
                and suspicion.crashes
                and not suspicion.quarantined
            ):
                # The entry stays with 0 crashes, so that peers clear it too.
                self._set(key, 0, asyncio.get_running_loop().time())

    def expire(self) -> None:
        """Removes old suspicions and those beyond MAX_KEYS."""
        horizon = asyncio.get_running_loop().time() - SUSPICION_MEMORY_S
        oldest_first = sorted(
            self._by_key, key=lambda key: self._by_key[key].last_at
        )
        surplus = len(oldest_first) - MAX_KEYS
        for number, key in enumerate(oldest_first):
            if number < surplus or self._by_key[key].last_at < horizon:
                del self._by_key[key]

    def _count(self, item: tuple[str, int], crashes: int) -> None:
        now = asyncio.get_running_loop().time()
        for key in suspicion_keys(*item):
            self._set(key, crashes, now)
        if crashes >= QUARANTINE_CRASHES:
            log.error(
                'request %s is quarantined after %d crashes',
                item[0],
                crashes,
                extra={'code': Outcome.QUARANTINED},
            )

    def _set(self, key: str, crashes: int, last_at: float) -> None:
        self.changes += 1
        self._by_key[key] = Suspicion(
            crashes, last_at, crashes >= QUARANTINE_CRASHES, self.changes
        )
        self.changed.notify()

    def changed_after(
        self, change: int, limit: int
    ) -> tuple[tuple[Quarantine, ...], int]:
        """Returns the suspicions that changed after a change, oldest first.

        Args:
            change: number of a change, 0 for all.
            limit: maximum number of suspicions returned.

        Returns:
            The suspicions, and the number of the last change among them, or
            of the newest change if these are all.
        """
        now = asyncio.get_running_loop().time()
        newer = [
            (suspicion.change, key)
            for key, suspicion in self._by_key.items()
            if suspicion.change > change
        ]
        newer.sort()
        last_change = self.changes
        if len(newer) > limit:
            last_change = newer[limit - 1][0]
        items = []
        for _, key in newer[:limit]:
            suspicion = self._by_key[key]
            age_s = now - suspicion.last_at
            items.append(Quarantine(key, suspicion.crashes, age_s, 1))
        return tuple(items), last_change

    def merge(self, items: Sequence[Quarantine]) -> None:
        """Merges the suspicions of a peer."""
        now = asyncio.get_running_loop().time()
        for item in items:
            changed_at = now - item.age_s
            known = self._by_key.get(item.key)
            if known is None:
                is_newer = item.crashes > 0
            elif known.quarantined:
                is_newer = False
            else:
                is_later = changed_at > known.last_at + NOTICE_DELAY_S
                is_worse = item.crashes > known.crashes
                is_older = changed_at < known.last_at - NOTICE_DELAY_S
                is_newer = is_later or (is_worse and not is_older)
            if item.crashes >= QUARANTINE_CRASHES:
                is_newer = known is None or not known.quarantined
            if is_newer:
                self._set(item.key, item.crashes, changed_at)


class SuspicionExpiry(Controller):
    """Removes old suspicions at a fixed interval."""

    def __init__(self, suspicions: Suspicions):
        self._suspicions = suspicions

    async def run(self) -> None:
        """Removes old suspicions every EXPIRY_INTERVAL_S."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self._suspicions.expire()
