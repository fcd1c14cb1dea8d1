"""Reservations that their hosts do not report any more.

A host that died leaves streams on engines. They hold memory until they are
resumed elsewhere or cancelled. Their reservations are kept until then.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Collection

from mustardscale.endpoints.engines import StreamTag
from mustardscale.policy.base import Reservation, tag_key

# Time without a report of its host after which a reservation expires, seconds.
RESERVATION_LEASE_S = 2.0
# Maximum time until the memory that a lost host occupied is free, seconds.
HOST_LOSS_LIMIT_S = 10.0


@dataclasses.dataclass(slots=True)
class _ExpiredReservation:
    """An expired reservation.

    Attributes:
        tag: tag of its attempt.
        since: loop time at which the expiry was found.
        holders: engines that may still hold its stream.
    """

    tag: StreamTag
    since: float
    holders: set[str]


class ExpiredReservations:
    """The expired reservations of one pool."""

    __slots__ = ('_expired_by_request_id',)

    def __init__(self):
        self._expired_by_request_id: dict[str, _ExpiredReservation] = {}

    def __contains__(self, request_id: str) -> bool:
        """Returns whether the reservation of a request has expired."""
        return request_id in self._expired_by_request_id

    def collect_freed(
        self, reservations: Collection[Reservation], now: float
    ) -> list[Reservation]:
        """Finds expired reservations; returns those that occupy no memory.

        Args:
            reservations: all reservations of the pool.
            now: loop time.
        """
        expired_by_request_id: dict[str, _ExpiredReservation] = {}
        free = []
        for held in reservations:
            named_at = max(held.renewed_at, held.named_at)
            if now - named_at <= RESERVATION_LEASE_S:
                continue
            expired = self._expired_by_request_id.get(held.request_id)
            if expired is None or expired.tag != held.stream.tag:
                engines = {held.stream.prefill, held.stream.decode}
                expired = _ExpiredReservation(held.stream.tag, now, engines)
            overdue = now - named_at > HOST_LOSS_LIMIT_S
            if overdue or not expired.holders:
                free.append(held)
            else:
                expired_by_request_id[held.request_id] = expired
        self._expired_by_request_id = expired_by_request_id
        return free

    def update_holders(
        self, engine_id: str, present: Collection[tuple[str, int]], at: float
    ) -> None:
        """Updates the holders by the streams that an engine holds.

        Args:
            engine_id: the engine.
            present: keys of the attempts that it holds.
            at: loop time at which it was asked.
        """
        for expired in self._expired_by_request_id.values():
            if at < expired.since:
                continue
            if tag_key(expired.tag) in present:
                expired.holders.add(engine_id)
            else:
                expired.holders.discard(engine_id)
