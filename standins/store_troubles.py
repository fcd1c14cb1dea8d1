"""Troubles of the store, as one host sees it."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Awaitable, Callable

from aiohttp import web

SLOW_S = 0.8
# Time after which a call that nobody answers is given up, seconds.
SILENT_S = 60.0
_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class StoreTrouble(enum.StrEnum):
    """How the store treats the calls of a host.

    Attributes:
        SLOW: they are carried out late.
        SILENT: they get no reply, and are not carried out.
        REFUSED: they get 503.
        LIMITED: they get 429.
        RESET: their connections are reset.
        ANSWERS_LOST: they are carried out, and their connections close.
        LATE: they get no reply, and are carried out seconds later.
    """

    SLOW = 'slow'
    SILENT = 'silent'
    REFUSED = 'refused'
    LIMITED = 'limited'
    RESET = 'reset'
    ANSWERS_LOST = 'answers lost'
    LATE = 'late'


LATE_S = 2.0
_STATUS_BY_TROUBLE = {StoreTrouble.REFUSED: 503, StoreTrouble.LIMITED: 429}


class StoreView:
    """What lies between a host and the store.

    Attributes:
        trouble: the trouble of the moment, None for none.
        calls: how many calls met a trouble.
    """

    def __init__(self) -> None:
        self.trouble: StoreTrouble | None = None
        self.calls = 0

    def install(self, application: web.Application) -> web.Application:
        """Lets all calls to an application pass here first."""

        @web.middleware
        async def pass_on(
            request: web.Request, handler: _Handler
        ) -> web.StreamResponse:
            return await self._handle(request, handler)

        application.middlewares.append(pass_on)
        return application

    async def _handle(
        self, request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        trouble = self.trouble
        if trouble is None:
            return await handler(request)
        self.calls += 1
        if trouble in _STATUS_BY_TROUBLE:
            return web.Response(status=_STATUS_BY_TROUBLE[trouble])
        if trouble is StoreTrouble.SLOW:
            await request.read()
            await asyncio.sleep(SLOW_S)
            return await handler(request)
        if trouble is StoreTrouble.ANSWERS_LOST:
            await handler(request)
        elif trouble is StoreTrouble.LATE:
            await request.read()
            await asyncio.sleep(LATE_S)
            await handler(request)
        elif trouble is StoreTrouble.SILENT:
            await asyncio.sleep(SILENT_S)
        if request.transport is not None:
            request.transport.abort()
        raise ConnectionResetError
