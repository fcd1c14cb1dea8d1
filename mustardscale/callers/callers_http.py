"""Callers' HTTP: listens, authenticates, and hands requests on."""

from __future__ import annotations

import logging

from aiohttp import web

from mustardscale.callers import caller_headers
from mustardscale.callers.body_memory import host_overloaded
from mustardscale.callers.caller_bodies import BodyReader
from mustardscale.callers.caller_connections import (
    CallerLimits,
    CallerServer,
    check_header_size,
    end_refused,
    is_refused,
    write_in_time,
)
from mustardscale.callers.caller_refusals import CallerRefusals
from mustardscale.callers.chat_handler import ChatHandler
from mustardscale.callers.held_answers import HeldAnswers, body_size
from mustardscale.callers.plain_handler import PLAIN_PREFIX, PlainHandler
from mustardscale.callers.problem_details import (
    REQUEST_ID_KEY,
    problem_response,
)
from mustardscale.callers.service_api import RequestService
from mustardscale.exceptions import OutcomeError
from mustardscale.outcomes import Outcome

log = logging.getLogger(__name__)

CHAT_PATH = '/v1/chat/completions'
CHAT_METHOD = 'POST'

_LISTEN_BACKLOG = 1024


class CallersServer:
    """Serves callers on one address.

    Attributes:
        refusals: callers that were refused or cut off.
    """

    def __init__(
        self, service: RequestService, limits: CallerLimits, grace_s: float
    ):
        """Prepares the server.

        Args:
            service: serves the requests.
            limits: what one caller may take up.
            grace_s: seconds after which stop() cuts off what is left.
        """
        self._service = service
        self._limits = limits
        self._grace_s = grace_s
        self.refusals = CallerRefusals()
        self._bodies = BodyReader(limits, self.refusals)
        self._answers = HeldAnswers(limits.all_answers_bytes, self.refusals)
        self._chat = ChatHandler(service, limits, self._bodies)
        self._plain = PlainHandler(service, self._bodies)
        self._runner: web.ServerRunner | None = None

    async def start(self, host: str, port: int) -> int:
        """Starts to listen and returns the port."""
        server = CallerServer(self._handle, self._limits, self.refusals)
        self._runner = web.ServerRunner(server, shutdown_timeout=self._grace_s)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port, backlog=_LISTEN_BACKLOG)
        await site.start()
        return self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Stops to listen, and waits for the requests in progress."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers a request and frees the memory of its body."""
        try:
            return await self._answer(request)
        finally:
            self._bodies.release(request)

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers a request, also where it fails."""
        try:
            response = await self._dispatch(request)
        except OutcomeError as error:
            response = problem_response(error, request.get(REQUEST_ID_KEY, ''))
        except ConnectionError:
            raise
        except Exception:
            log.exception('request failed')
            internal = OutcomeError(Outcome.INTERNAL_ERROR)
            response = problem_response(
                internal, request.get(REQUEST_ID_KEY, '')
            )
        if not response.prepared:
            await self._send(request, response)
        return response

    async def _dispatch(self, request: web.BaseRequest) -> web.StreamResponse:
        """Finds out who calls and what is called."""
        if is_refused(request):
            raise host_overloaded('it has too many connections')
        check_header_size(request, self._limits)
        token = caller_headers.bearer_token(request.headers)
        service = self._service.authenticate(token)
        path = request.rel_url.raw_path
        if path == CHAT_PATH and request.method == CHAT_METHOD:
            return await self._chat.handle(request, service)
        if path.startswith(PLAIN_PREFIX):
            return await self._plain.handle(request, service)
        if path == CHAT_PATH:
            detail = f'{CHAT_PATH} takes {CHAT_METHOD} only'
            raise OutcomeError(Outcome.MALFORMED_REQUEST, detail)
        raise OutcomeError(Outcome.UNKNOWN_SERVICE, 'nothing has this path')

    async def _send(
        self, request: web.BaseRequest, response: web.StreamResponse
    ) -> None:
        """Sends a whole answer, unless the caller does not read it."""
        end_refused(request, response)
        if not self._service.is_ready():
            response.force_close()

        async def send() -> None:
            await response.prepare(request)
            await response.write_eof()

        with self._answers.hold(request, body_size(response)):
            await write_in_time(request, send(), self._limits)
