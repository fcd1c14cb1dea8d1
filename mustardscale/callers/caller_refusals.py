"""Counts the callers that were refused or cut off, by cause."""

from __future__ import annotations

import dataclasses
import functools

from mustardscale.reporting.metrics import Metrics


@dataclasses.dataclass(slots=True)
class CallerRefusals:
    """Refusals since the start of the process.

    Attributes:
        connections: connections beyond the limit.
        heads_too_large: heads of requests that exceed their size.
        heads_too_slow: heads that did not arrive in time.
        framings_too_large: bodies whose chunks are mostly framing.
        bodies_without_room: bodies for which the memory had no room.
        bodies_stalled: bodies without progress, refused to make room.
        bodies_too_slow: bodies that did not arrive in time.
        answers_unread: answers that callers did not read in time.
    """

    connections: int = 0
    heads_too_large: int = 0
    heads_too_slow: int = 0
    framings_too_large: int = 0
    bodies_without_room: int = 0
    bodies_stalled: int = 0
    bodies_too_slow: int = 0
    answers_unread: int = 0

    def take_new(self, seen: CallerRefusals) -> dict[str, int]:
        """Returns what was counted beyond an earlier count, and updates it.

        Args:
            seen: the earlier count.
        """
        new_by_cause = {}
        for field in dataclasses.fields(self):
            count = getattr(self, field.name)
            if count != getattr(seen, field.name):
                new_by_cause[field.name] = count - getattr(seen, field.name)
                setattr(seen, field.name, count)
        return new_by_cause

    def add_gauges(self, metrics: Metrics) -> None:
        """Shows the counts among the metrics."""
        for field in dataclasses.fields(self):
            metrics.add_gauge(
                f'callers_refused_{field.name}',
                functools.partial(getattr, self, field.name),
            )
