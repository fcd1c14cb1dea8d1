"""What endpoints have told this host of themselves in their answers."""

from __future__ import annotations

import dataclasses
import math

# Processes that are not listed any more whose notices are kept, at most.
MAX_UNLISTED = 1_000


@dataclasses.dataclass(slots=True)
class EndpointNotice:
    """What one process of an endpoint has told this host.

    Attributes:
        start: start number of the process, 0 if it is not known.
        leaving: whether it takes no new work until it ends.
        busy_until: loop time until which it takes no work from this host.
    """

    start: int = 0
    leaving: bool = False
    busy_until: float = -math.inf

    def is_in_force(self, now: float) -> bool:
        """Returns whether it says anything."""
        return self.leaving or now < self.busy_until


class EndpointNotices:
    """The notices by endpoint id, also of endpoints that are not listed.

    An entry of the host list may lapse and come back while the process goes
    on; what the process has said holds until another one has its id.
    """

    __slots__ = ('_by_id', '_unlisted_ids')

    def __init__(self):
        self._by_id: dict[str, EndpointNotice] = {}
        # Endpoints that are not listed any more, in the order of their going.
        self._unlisted_ids: dict[str, None] = {}

    def get_or_create(self, endpoint_id: str, start: int) -> EndpointNotice:
        """Returns the notice of a process, an empty one if it is new."""
        self._unlisted_ids.pop(endpoint_id, None)
        known = self._by_id.get(endpoint_id)
        if known is None or known.start != start:
            known = self._by_id[endpoint_id] = EndpointNotice(start)
        return known

    def mark_unlisted(self, endpoint_id: str, now: float) -> None:
        """Notes that an endpoint is not listed any more."""
        known = self._by_id.get(endpoint_id)
        if known is None or not known.is_in_force(now):
            self._by_id.pop(endpoint_id, None)
            return
        self._unlisted_ids[endpoint_id] = None
        if len(self._unlisted_ids) > MAX_UNLISTED:
            oldest = next(iter(self._unlisted_ids))
            del self._unlisted_ids[oldest]
            del self._by_id[oldest]
