"""What a host knows of its own links to the endpoints.

A failed connection may be the fault of the endpoint or of this host's links.
Another host that reaches the endpoint tells which.
"""

from __future__ import annotations

import dataclasses
import math

# Lost endpoints after which a host that has reached none since takes all its
# links as lost.
LOST_BEFORE_CUT_OFF = 2
# Time for which it counts that no host reached an endpoint, seconds. Until then
# a host that is cut off sends it nothing and tries it in the background.
UNREACHED_S = 2.0
# Interval between tries to reach a lost endpoint directly, seconds.
DIRECT_TRY_INTERVAL_S = 0.4


@dataclasses.dataclass(slots=True)
class LostLink:
    """A link to an endpoint on which the last direct try failed.

    Attributes:
        lost_at: loop time of the first failed try.
        tried_at: loop time of the last one.
        is_forwarded: whether another host reaches the endpoint.
        unreached_at: loop time at which no host was found to reach it.
    """

    lost_at: float
    tried_at: float
    is_forwarded: bool = False
    unreached_at: float = -math.inf


class EndpointLinks:
    """The links of this host to all endpoints.

    Attributes:
        lost_by_id: the lost links, by endpoint.
        reached_at: loop time at which an endpoint was last reached directly.
    """

    __slots__ = ('lost_by_id', 'reached_at')

    def __init__(self) -> None:
        self.lost_by_id: dict[str, LostLink] = {}
        self.reached_at = -math.inf

    @property
    def is_cut_off(self) -> bool:
        """Whether this host has probably lost its links to all endpoints."""
        lost_since = [
            link
            for link in self.lost_by_id.values()
            if link.tried_at > self.reached_at
        ]
        return len(lost_since) >= LOST_BEFORE_CUT_OFF

    def record_reached(self, endpoint_id: str, now: float) -> bool:
        """Records a direct answer; returns whether the link had been lost."""
        self.reached_at = now
        return self.lost_by_id.pop(endpoint_id, None) is not None

    def record_lost(self, endpoint_id: str, now: float) -> LostLink:
        """Records a failed direct try and returns the link."""
        link = self.lost_by_id.get(endpoint_id)
        if link is None:
            link = self.lost_by_id[endpoint_id] = LostLink(now, now)
        link.tried_at = now
        return link

    def is_forwarded(self, endpoint_id: str) -> bool:
        """Returns whether calls go through another host."""
        link = self.lost_by_id.get(endpoint_id)
        if link is not None and link.is_forwarded:
            return True
        return link is None and self.is_cut_off and self._any_forwarded()

    def _any_forwarded(self) -> bool:
        return any(link.is_forwarded for link in self.lost_by_id.values())

    def is_out_of_reach(self, endpoint_id: str, now: float) -> bool:
        """Returns whether neither this host nor another reaches an endpoint.

        This is known for UNREACHED_S, and only where this host is cut off:
        otherwise the endpoint may have just started.
        """
        if not self.is_cut_off:
            return False
        link = self.lost_by_id.get(endpoint_id)
        return link is not None and now - link.unreached_at < UNREACHED_S

    def needs_direct_try(self, endpoint_id: str, now: float) -> bool:
        """Returns whether the link should be tried again in the background."""
        link = self.lost_by_id.get(endpoint_id)
        return link is None or now - link.tried_at >= DIRECT_TRY_INTERVAL_S

    def retain_only(self, endpoint_ids: set[str]) -> None:
        """Drops the endpoints that are gone."""
        for endpoint_id in list(self.lost_by_id):
            if endpoint_id not in endpoint_ids:
                del self.lost_by_id[endpoint_id]
