"""Reservations whose host no longer names them, until their memory is free.

A host that died leaves streams on engines. They hold memory until they are
resumed elsewhere or cancelled; so long their reservations count.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Collection

from mustardscale.endpoints.engines import StreamTag
from mustardscale.policy.base import Reservation, tag_key

# A reservation that its host does not name for this long has lapsed, seconds.
RESERVATION_LEASE_S = 2.0
# Time after which memory left by a host is free at the latest, seconds.
HOST_LOSS_LIMIT_S = 10.0


@dataclasses.dataclass(slots=True)
class _Lapse:
    """A lapsed reservation.

    Attributes:
        tag: the attempt.
        since: loop time at which it was found to have lapsed.
        holders: engines that may still hold its stream.
    """

    tag: StreamTag
    since: float
    holders: set[str]


class LapsedReservations:
    """The lapsed reservations of one pool."""

    __slots__ = ('_lapse_by_request_id',)

    def __init__(self):
        self._lapse_by_request_id: dict[str, _Lapse] = {}

    def __contains__(self, request_id: str) -> bool:
        """Returns whether the reservation of a request has lapsed."""
        return request_id in self._lapse_by_request_id

    def take_free(
        self, reservations: Collection[Reservation], now: float
    ) -> list[Reservation]:
        """Notes what has lapsed and returns what holds no memory any more.

        Args:
            reservations: all reservations of the pool.
            now: loop time.
        """
        lapse_by_request_id: dict[str, _Lapse] = {}
        free = []
        for held in reservations:
            named_at = max(held.renewed_at, held.named_at)
            if now - named_at <= RESERVATION_LEASE_S:
                continue
            lapse = self._lapse_by_request_id.get(held.request_id)
            if lapse is None or lapse.tag != held.stream.tag:
                engines = {held.stream.prefill, held.stream.decode}
                lapse = _Lapse(held.stream.tag, now, engines)
            overdue = now - named_at > HOST_LOSS_LIMIT_S
            if overdue or not lapse.holders:
                free.append(held)
            else:
                lapse_by_request_id[held.request_id] = lapse
        self._lapse_by_request_id = lapse_by_request_id
        return free

    def note_streams(
        self, engine_id: str, present: Collection[tuple[str, int]], at: float
    ) -> None:
        """Compares with the streams that an engine holds.

        Args:
            engine_id: the engine.
            present: keys of the attempts that it holds.
            at: loop time at which it was asked.
        """
        for lapse in self._lapse_by_request_id.values():
            if at < lapse.since:
                continue
            if tag_key(lapse.tag) in present:
                lapse.holders.add(engine_id)
            else:
                lapse.holders.discard(engine_id)
