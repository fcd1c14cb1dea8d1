"""Spreads the calls of all hosts over plain endpoints, with its metrics."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Collection

from mustardscale.hosts.endpoint_loads import EndpointLoads
from mustardscale.hosts.host_list import ListedKind
from mustardscale.relay.endpoint_health import HealthTable
from mustardscale.relay.even_choice import (
    choose_evenly,
    compute_unevenness,
    had_room,
)
from mustardscale.relay.relay_context import RelayContext


@dataclasses.dataclass(frozen=True, slots=True)
class PlainLoad:
    """The load of one plain endpoint.

    Attributes:
        open_calls: calls that all hosts have open there.
        sent: calls that this host has sent.
        refused: those of them that the endpoint refused because it was full.
        mean_answer_s: mean answer time that this host has seen, seconds.
    """

    open_calls: int
    sent: int
    refused: int
    mean_answer_s: float


class EvenLoad:
    """The choice by what hosts tell each other, and its metrics."""

    def __init__(
        self, context: RelayContext, loads: EndpointLoads, health: HealthTable
    ):
        self._context = context
        self._loads = loads
        self._health = health
        self._sent_by_id: collections.Counter[str] = collections.Counter()
        self._refused_by_id: collections.Counter[str] = collections.Counter()
        context.metrics.add_gauge(
            'plain_load_largest_over_mean', self._largest_over_mean
        )

    def choose(
        self,
        candidates: list[str],
        excluded: Collection[str],
        now: float,
    ) -> str | None:
        """Returns the endpoint that a call goes to, None if none is left."""
        return choose_evenly(
            self._health.by_id,
            self._loads.count_open(candidates, now),
            candidates,
            excluded,
            now,
            self._context.rng,
        )

    def begin(self, endpoint_id: str) -> None:
        """Records that this host sends a call."""
        self._loads.begin(endpoint_id)
        self._sent_by_id[endpoint_id] += 1
        self._context.metrics.count('plain_calls_sent')

    def end(self, endpoint_id: str) -> None:
        """Records that a call of this host has ended, in whatever way."""
        self._loads.end(endpoint_id)

    def record_refusal(
        self, endpoint_id: str, excluded: Collection[str], now: float
    ) -> bool:
        """Counts a refusal and returns whether another endpoint had room.

        Args:
            endpoint_id: the endpoint that refused.
            excluded: endpoints that the request had already tried.
            now: loop time.
        """
        metrics = self._context.metrics
        metrics.count('plain_calls_refused')
        self._refused_by_id[endpoint_id] += 1
        entry = self._context.board.endpoints_by_id.get(endpoint_id)
        if entry is None:
            return False
        open_by_id = self._count_open(entry.service, now)
        has_room = had_room(open_by_id, endpoint_id, excluded)
        if has_room:
            metrics.count('plain_calls_refused_with_room')
        return has_room

    def describe(self) -> dict[str, PlainLoad]:
        """Returns the load of the listed endpoints by id."""
        listed = sorted(
            endpoint.id
            for endpoint in self._context.board.endpoints_by_id.values()
            if endpoint.kind is ListedKind.PLAIN
        )
        for counts in (self._sent_by_id, self._refused_by_id):
            for endpoint_id in set(counts).difference(listed):
                del counts[endpoint_id]
        open_by_id = self._loads.count_open(listed, self._context.now())
        health_by_id = self._health.by_id
        return {
            name: PlainLoad(
                open_by_id[name],
                self._sent_by_id[name],
                self._refused_by_id[name],
                health_by_id[name].mean_s if name in health_by_id else 0.0,
            )
            for name in listed
        }

    def _count_open(self, service: str, now: float) -> dict[str, int]:
        endpoints = self._context.endpoints(service, ListedKind.PLAIN)
        return self._loads.count_open([e.id for e in endpoints], now)

    def _largest_over_mean(self) -> float:
        """Returns the unevenness of the service where it is largest."""
        now = self._context.now()
        services = {
            endpoint.service
            for endpoint in self._context.board.endpoints_by_id.values()
            if endpoint.kind is ListedKind.PLAIN
        }
        counts = [self._count_open(service, now) for service in services]
        return max((compute_unevenness(c) for c in counts if c), default=1.0)
