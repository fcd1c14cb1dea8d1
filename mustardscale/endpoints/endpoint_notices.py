"""State that endpoints report to this host in their answers."""

from __future__ import annotations

import dataclasses
import math

# Maximum number of endpoints that have left the host list and whose notices
# are kept.
MAX_UNLISTED = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """Rate of requests that an endpoint accepts from all hosts together.

    Attributes:
        per_s: requests a second, None if the endpoint states no limit any more.
        stated_at: loop time at which the endpoint stated this last.
        learnt_at: loop time at which this host learnt of the value.
        first_hand: whether the endpoint stated it to this host itself.
    """

    per_s: float | None
    stated_at: float
    learnt_at: float
    first_hand: bool = True

    @property
    def in_force(self) -> bool:
        """Whether the endpoint limits the rate of its requests."""
        return self.per_s is not None


@dataclasses.dataclass(slots=True)
class EndpointNotice:
    """State that one process of an endpoint has reported to this host.

    Attributes:
        start: start number of the process, 0 if unknown.
        leaving: whether it refuses new work until it ends.
        busy_until: loop time until which it takes no work from this host.
        rate_limit: the rate limit that it stated last, None if it never did.
        no_permit_until: loop time until which this host gets no permit to send
            to it, because of its rate limit.
    """

    start: int = 0
    leaving: bool = False
    busy_until: float = -math.inf
    rate_limit: RateLimit | None = None
    no_permit_until: float = -math.inf

    @property
    def closed_until(self) -> float:
        """Loop time until which this host must send it nothing."""
        if not self.is_rate_limited:
            return self.busy_until
        return max(self.busy_until, self.no_permit_until)

    @property
    def is_rate_limited(self) -> bool:
        """Whether the process limits the rate of its requests."""
        return self.rate_limit is not None and self.rate_limit.in_force

    def update_rate_limit(
        self,
        per_s: float | None,
        stated_at: float,
        now: float,
        first_hand: bool,
    ) -> bool:
        """Records a rate limit.

        Args:
            per_s: requests a second, None for no limit.
            stated_at: loop time at which the endpoint stated it.
            now: loop time.
            first_hand: whether the endpoint stated it to this host itself.

        Returns:
            Whether the value differs from the one known before.
        """
        known = self.rate_limit
        known_per_s = known.per_s if known is not None else None
        changed = per_s != known_per_s
        learnt_at = now
        if known is not None and not changed:
            learnt_at = known.learnt_at
        self.rate_limit = RateLimit(per_s, stated_at, learnt_at, first_hand)
        return changed

    def is_in_force(self, now: float) -> bool:
        """Returns whether the process refuses or limits work at a loop time."""
        return self.leaving or now < self.busy_until or self.is_rate_limited


class EndpointNotices:
    """The notices by endpoint id, also of endpoints that are not listed.

    An entry of the host list may expire and come back while the process keeps
    running. So a notice stays valid until a new process has the same id.

    Attributes:
        changed_limit_ids: endpoints that stated another rate limit to this
            host, which their limits' owners have not been told yet.
    """

    __slots__ = ('_by_id', '_unlisted_ids', 'changed_limit_ids')

    def __init__(self):
        self.changed_limit_ids: set[str] = set()
        self._by_id: dict[str, EndpointNotice] = {}
        # Endpoints that are no longer listed, in the order in which they left.
        self._unlisted_ids: dict[str, None] = {}

    def get_or_create(self, endpoint_id: str, start: int) -> EndpointNotice:
        """Returns the notice of a process; creates one for a new process."""
        self._unlisted_ids.pop(endpoint_id, None)
        known = self._by_id.get(endpoint_id)
        if known is None or known.start != start:
            known = self._by_id[endpoint_id] = EndpointNotice(start)
        return known

    def mark_unlisted(self, endpoint_id: str, now: float) -> None:
        """Records that an endpoint is no longer listed."""
        known = self._by_id.get(endpoint_id)
        if known is None or not known.is_in_force(now):
            self._by_id.pop(endpoint_id, None)
            return
        self._unlisted_ids[endpoint_id] = None
        if len(self._unlisted_ids) > MAX_UNLISTED:
            oldest = next(iter(self._unlisted_ids))
            del self._unlisted_ids[oldest]
            del self._by_id[oldest]
