"""When a prefill engine will have done the work that was granted to it."""

from __future__ import annotations

import dataclasses

# Seconds from a grant until the engine has the work.
SEND_S = 0.005
# Least time that overdue work is expected to take on, seconds.
MIN_REMAINING_S = 0.01
# Time after which a prefill that is not known to be done is taken for lost, so
# that it does not keep an engine booked; as long as a reservation whose host no
# longer names it counts, seconds.
LOST_AFTER_S = 2.0


@dataclasses.dataclass(slots=True)
class PrefillWork:
    """A prefill that was granted and is not done.

    Attributes:
        sent_at: loop time of the grant.
        seconds: time that it is expected to take.
        due_at: loop time at which it was expected to be done.
    """

    sent_at: float
    seconds: float
    due_at: float


class PrefillTimeline:
    """The prefills of one engine, computed one after the other."""

    __slots__ = ('_last_done_at', '_work_by_request_id')

    def __init__(self):
        self._last_done_at = float('-inf')
        self._work_by_request_id: dict[str, PrefillWork] = {}

    def __len__(self) -> int:
        """Returns the number of prefills not done."""
        return len(self._work_by_request_id)

    def add(self, request_id: str, seconds: float, now: float) -> None:
        """Notes a grant."""
        due_at = max(now + SEND_S, self.free_at(now)) + seconds
        self._work_by_request_id[request_id] = PrefillWork(now, seconds, due_at)

    def done(self, request_id: str, now: float) -> float | None:
        """Notes the end of a prefill and returns the seconds that it took.

        Returns:
            None for a prefill that is not known.
        """
        work = self._work_by_request_id.pop(request_id, None)
        if work is None:
            return None
        began = max(work.sent_at + SEND_S, self._last_done_at)
        self._last_done_at = now
        return max(0.0, now - began)

    def free_at(self, now: float) -> float:
        """Returns the loop time at which all of the work will be done."""
        free_at = self._last_done_at
        for work in self._work_by_request_id.values():
            began = max(work.sent_at + SEND_S, free_at)
            if now > work.due_at + LOST_AFTER_S:
                continue
            free_at = max(began + work.seconds, now + MIN_REMAINING_S)
        return max(free_at, now)
