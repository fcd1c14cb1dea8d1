"""Predicts when an engine will have done the prefills granted to it."""

from __future__ import annotations

import dataclasses

# Seconds from a grant until the engine receives the request.
SEND_S = 0.005
# An overdue prefill is expected to take at least this much longer, seconds.
MIN_REMAINING_S = 0.01
# A prefill whose end is not reported this long after it was due is taken for
# lost, so that it does not keep the engine booked, seconds. A reservation that
# its host no longer names counts for the same time.
LOST_AFTER_S = 2.0


@dataclasses.dataclass(slots=True)
class PrefillWork:
    """A granted prefill whose end is not known yet.

    Attributes:
        sent_at: loop time of the grant.
        seconds: expected duration.
        due_at: loop time of the end, predicted at the grant.
    """

    sent_at: float
    seconds: float
    due_at: float


class PrefillTimeline:
    """The prefills of one engine, which computes them one after another."""

    __slots__ = ('_last_done_at', '_work_by_request_id')

    def __init__(self):
        self._last_done_at = float('-inf')
        self._work_by_request_id: dict[str, PrefillWork] = {}

    def __len__(self) -> int:
        """Returns the number of prefills whose end is not known yet."""
        return len(self._work_by_request_id)

    def add(self, request_id: str, seconds: float, now: float) -> None:
        """Adds a prefill at its grant.

        Args:
            request_id: names it until it is done.
            seconds: expected duration.
            now: loop time.
        """
        due_at = max(now + SEND_S, self.free_at(now)) + seconds
        self._work_by_request_id[request_id] = PrefillWork(now, seconds, due_at)

    def done(self, request_id: str, now: float) -> float | None:
        """Removes a prefill that has ended or was given up.

        Returns:
            The seconds that it took, None if it is not known.
        """
        work = self._work_by_request_id.pop(request_id, None)
        if work is None:
            return None
        began = max(work.sent_at + SEND_S, self._last_done_at)
        self._last_done_at = now
        return max(0.0, now - began)

    def free_at(self, now: float) -> float:
        """Predicts the loop time at which all prefills will be done."""
        free_at = self._last_done_at
        for work in self._work_by_request_id.values():
            began = max(work.sent_at + SEND_S, free_at)
            if now > work.due_at + LOST_AFTER_S:
                continue
            free_at = max(began + work.seconds, now + MIN_REMAINING_S)
        return max(free_at, now)
