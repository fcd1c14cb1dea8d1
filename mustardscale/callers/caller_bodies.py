"""Reads bodies within their size and time, and bounds the memory of all."""

from __future__ import annotations

import asyncio

from aiohttp import http_exceptions, web

from mustardscale.callers.caller_connections import CallerLimits
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


class BodyReader:
    """Reads the bodies of callers' requests."""

    __slots__ = ('_limits', '_memory')

    def __init__(self, limits: CallerLimits):
        self._limits = limits
        self._memory = BodyMemory(limits.all_bodies_bytes)

    def set_limits(self, limits: CallerLimits) -> None:
        """Sets the limits of bodies that come from now on."""
        self._limits = limits

    async def read(self, request: web.BaseRequest) -> bytes:
        """Reads a body; it is counted until release() is called.

        Raises:
            OutcomeError: REQUEST_TOO_LARGE, REQUEST_TOO_SLOW,
                MALFORMED_REQUEST, HOST_OVERLOADED.
        """
        if (request.content_length or 0) > self._limits.body_bytes:
            raise self._too_large()
        timeout_s = self._limits.body_timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                return await self._read_chunks(request)
        except TimeoutError as error:
            raise OutcomeError(
                Outcome.REQUEST_TOO_SLOW,
                f'the body did not arrive within {timeout_s} s',
            ) from error
        except (
            web.RequestPayloadError,
            http_exceptions.HttpProcessingError,
        ) as error:
            raise OutcomeError(Outcome.MALFORMED_REQUEST, str(error)) from error

    def release(self, request: web.BaseRequest) -> None:
        """Ends the count of a request's body."""
        self._memory.release(request)

    async def _read_chunks(self, request: web.BaseRequest) -> bytes:
        body = bytearray()
        async for chunk in request.content.iter_any():
            self._memory.reserve(request, len(chunk))
            body += chunk
            if len(body) > self._limits.body_bytes:
                raise self._too_large()
        return bytes(body)

    def _too_large(self) -> OutcomeError:
        return OutcomeError(
            Outcome.REQUEST_TOO_LARGE,
            f'the body exceeds {self._limits.body_bytes} bytes',
        )


def host_overloaded(detail: str) -> OutcomeError:
    """Returns the refusal of a caller that this host has no room for."""
    return OutcomeError(Outcome.HOST_OVERLOADED, detail, RETRY_AFTER_S)
