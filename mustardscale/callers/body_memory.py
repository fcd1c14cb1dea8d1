"""The memory that the bodies of all callers may take."""

from __future__ import annotations

import asyncio

from aiohttp import web

from mustardscale.callers.caller_refusals import CallerRefusals
from mustardscale.exceptions import OutcomeError
from mustardscale.outcomes import Outcome

_RESERVED_KEY = web.RequestKey('reserved_bytes', int)
# Seconds after which a refused caller may come back.
RETRY_AFTER_S = 1.0
# A body has made progress when another part of this size has arrived, bytes.
# 40 bodies share a link of 5 Mbit/s with 4 times this a second for each.
_PROGRESS_BYTES = 4_096
# Seconds without progress after which a body's memory goes to others.
STALLED_S = 1.0


class ArrivingBody:
    """A body that has not arrived whole.

    Attributes:
        request: the HTTP request.
        timeout: the time that it has; expires at once when it is refused.
        is_refused: whether its memory went to another body.
    """

    __slots__ = (
        '_progress_at',
        '_progress_bytes',
        'is_refused',
        'request',
        'timeout',
    )

    def __init__(
        self, request: web.BaseRequest, timeout: asyncio.Timeout, now: float
    ):
        self.request = request
        self.timeout = timeout
        self.is_refused = False
        self._progress_at = now
        self._progress_bytes = 0

    def note_arrived(self, size: int, now: float) -> None:
        """Notes how many bytes have arrived in all."""
        if size - self._progress_bytes >= _PROGRESS_BYTES:
            self._progress_bytes = size
            self._progress_at = now

    def is_stalled(self, now: float) -> bool:
        """Returns whether it has made no progress for some time."""
        return now - self._progress_at >= STALLED_S


class BodyMemory:
    """Counts the bytes of bodies from their arrival to the request's end.

    A single body is always admitted; BodyReader limits its size.

    Attributes:
        used: bytes reserved now.
    """

    __slots__ = ('_arriving', '_max_bytes', '_refusals', 'used')

    def __init__(self, max_bytes: int, refusals: CallerRefusals):
        self._max_bytes = max_bytes
        self._refusals = refusals
        self._arriving: set[ArrivingBody] = set()
        self.used = 0

    def set_max(self, max_bytes: int) -> None:
        """Sets the limit for what is reserved from now on."""
        self._max_bytes = max_bytes

    def begin(self, body: ArrivingBody, size: int) -> None:
        """Reserves what a body has declared, before any of it is kept.

        Args:
            body: the body.
            size: bytes, 0 if unknown.

        Raises:
            OutcomeError: HOST_OVERLOADED.
        """
        self.reserve(body.request, size)
        self._arriving.add(body)

    def end(self, body: ArrivingBody) -> None:
        """Ends the arrival of a body; what it has reserved stays."""
        self._arriving.discard(body)

    def reserve(self, request: web.BaseRequest, size: int) -> None:
        """Reserves memory for a request, besides what it has.

        Args:
            request: the HTTP request.
            size: bytes.

        Raises:
            OutcomeError: HOST_OVERLOADED.
        """
        own = request.get(_RESERVED_KEY, 0)
        while self.used > own and self.used + size > self._max_bytes:
            if not self._refuse_stalled(request):
                self._refusals.bodies_without_room += 1
                raise host_overloaded(
                    'the bodies of all callers take its memory'
                )
        self.used += size
        request[_RESERVED_KEY] = own + size

    def release(self, request: web.BaseRequest) -> None:
        """Frees all that was reserved for a request."""
        self.used -= request.get(_RESERVED_KEY, 0)
        request[_RESERVED_KEY] = 0

    def _refuse_stalled(self, besides: web.BaseRequest) -> bool:
        """Refuses a body without progress; returns whether there was one."""
        now = asyncio.get_running_loop().time()
        for body in self._arriving:
            if body.request is not besides and body.is_stalled(now):
                break
        else:
            return False
        self._refusals.bodies_stalled += 1
        body.is_refused = True
        body.timeout.reschedule(now)
        self._arriving.discard(body)
        self.release(body.request)
        return True


def host_overloaded(detail: str) -> OutcomeError:
    """Returns the refusal of a caller that this host has no room for."""
    return OutcomeError(Outcome.HOST_OVERLOADED, detail, RETRY_AFTER_S)
