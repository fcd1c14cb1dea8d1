"""Remembers which attempts at a request are cancelled or replaced."""

from __future__ import annotations

import collections

from mustardscale.endpoints.engines import REFUSED_STALE_ATTEMPT, StreamTag
from mustardscale.exceptions import EndpointRefusedError


class AttemptFence:
    """Refuses attempts that came too late; its memory is bounded."""

    __slots__ = ('_limit', '_lowest_by_request')

    def __init__(self, limit: int):
        """Creates an empty fence.

        Args:
            limit: requests remembered at most; the oldest are forgotten.
        """
        self._limit = limit
        self._lowest_by_request: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def check(self, tag: StreamTag) -> None:
        """Lets an attempt pass and closes the door to lower ones.

        Raises:
            EndpointRefusedError: it was cancelled or replaced.
        """
        if tag.attempt < self._lowest_by_request.get(tag.request_id, 0):
            raise EndpointRefusedError(REFUSED_STALE_ATTEMPT)
        self._raise_to(tag.request_id, tag.attempt)

    def cancel(self, request_id: str, attempt: int) -> None:
        """Refuses attempts up to this one from now on."""
        self._raise_to(request_id, attempt + 1)

    def clear(self) -> None:
        """Forgets everything, as in a crash."""
        self._lowest_by_request.clear()

    def _raise_to(self, request_id: str, lowest: int) -> None:
        earlier = self._lowest_by_request.pop(request_id, 0)
        self._lowest_by_request[request_id] = max(earlier, lowest)
        while len(self._lowest_by_request) > self._limit:
            self._lowest_by_request.popitem(last=False)
