"""Reads bodies within their size, their time and the memory of all."""

from __future__ import annotations

import asyncio
import io

from aiohttp import http_exceptions, web

from mustardscale.callers.body_memory import ArrivingBody, BodyMemory
from mustardscale.callers.caller_connections import CallerLimits
from mustardscale.callers.caller_refusals import CallerRefusals
from mustardscale.exceptions import OutcomeError
from mustardscale.outcomes import Outcome


class BodyReader:
    """Reads the bodies of callers' requests."""

    __slots__ = ('_limits', '_memory', '_refusals')

    def __init__(self, limits: CallerLimits, refusals: CallerRefusals):
        self._limits = limits
        self._refusals = refusals
        self._memory = BodyMemory(limits.all_bodies_bytes, refusals)

    def set_limits(self, limits: CallerLimits) -> None:
        """Sets the limits of bodies that come from now on."""
        self._limits = limits
        self._memory.set_max(limits.all_bodies_bytes)

    async def read(self, request: web.BaseRequest) -> bytes:
        """Reads a body; it is counted until release() is called.

        Raises:
            OutcomeError: REQUEST_TOO_LARGE, REQUEST_TOO_SLOW,
                MALFORMED_REQUEST, HOST_OVERLOADED.
        """
        if (request.content_length or 0) > self._limits.body_bytes:
            raise self._too_large()
        try:
            async with asyncio.timeout(self._limits.body_timeout_s) as timeout:
                now = asyncio.get_running_loop().time()
                body = ArrivingBody(request, timeout, now)
                return await self._read_in_time(request, body)
        except TimeoutError as error:
            if not body.is_refused:
                self._refusals.bodies_too_slow += 1
            raise self._too_slow() from error
        except (
            web.RequestPayloadError,
            http_exceptions.HttpProcessingError,
        ) as error:
            raise OutcomeError(Outcome.MALFORMED_REQUEST, str(error)) from error

    def release(self, request: web.BaseRequest) -> None:
        """Ends the count of a request's body."""
        self._memory.release(request)

    async def _read_in_time(
        self, request: web.BaseRequest, body: ArrivingBody
    ) -> bytes:
        now = asyncio.get_running_loop().time
        declared = request.content_length
        # Returns its buffer without a copy, unlike a bytearray.
        content = io.BytesIO()
        try:
            self._memory.begin(body, declared or 0)
            async for chunk in request.content.iter_any():
                if declared is None:
                    self._memory.reserve(request, len(chunk))
                size = content.tell() + len(chunk)
                if size > self._limits.body_bytes:
                    raise self._too_large()
                content.write(chunk)
                body.note_arrived(size, now())
        finally:
            self._memory.end(body)
        if body.is_refused:
            raise self._too_slow()
        return content.getvalue()

    def _too_large(self) -> OutcomeError:
        return OutcomeError(
            Outcome.REQUEST_TOO_LARGE,
            f'the body exceeds {self._limits.body_bytes} bytes',
        )

    def _too_slow(self) -> OutcomeError:
        return OutcomeError(
            Outcome.REQUEST_TOO_SLOW,
            f'the body did not arrive within {self._limits.body_timeout_s} s,'
            ' or made no progress while others waited for its memory',
        )
