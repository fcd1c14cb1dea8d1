"""Bounds the memory that the bodies of all callers' requests take."""

from __future__ import annotations

from aiohttp import web

from mustardscale.exceptions import OutcomeError
from mustardscale.outcomes import Outcome

_RESERVED_KEY = web.RequestKey('reserved_bytes', int)
# Seconds after which a refused caller may come back.
RETRY_AFTER_S = 1.0


class BodyMemory:
    """Counts the bytes of bodies from their arrival to the request's end.

    Attributes:
        used: bytes reserved now.
    """

    __slots__ = ('_max_bytes', 'used')

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self.used = 0

    def reserve(self, request: web.BaseRequest, size: int) -> None:
        """Reserves memory for a request, besides what it has.

        Args:
            request: the HTTP request.
            size: bytes.

        Raises:
            OutcomeError: HOST_OVERLOADED.
        """
        if self.used + size > self._max_bytes:
            raise host_overloaded('the bodies of all callers take its memory')
        self.used += size
        request[_RESERVED_KEY] = request.get(_RESERVED_KEY, 0) + size

    def release(self, request: web.BaseRequest) -> None:
        """Frees all that was reserved for a request."""
        self.used -= request.get(_RESERVED_KEY, 0)
        request[_RESERVED_KEY] = 0


def host_overloaded(detail: str) -> OutcomeError:
    """Returns the refusal of a caller that this host has no room for."""
    return OutcomeError(Outcome.HOST_OVERLOADED, detail, RETRY_AFTER_S)
