"""Operators' HTTP: health, metrics, status, state dump and drain."""

from __future__ import annotations

import hmac
import json
import logging
from collections.abc import Callable

from aiohttp import web
from aiohttp.typedefs import Handler

from mustardscale.callers.problem_details import problem_response
from mustardscale.callers.service_api import RequestService
from mustardscale.exceptions import OutcomeError
from mustardscale.outcomes import Outcome

log = logging.getLogger(__name__)

LIVENESS_PATH = '/livez'
READINESS_PATH = '/readyz'
METRICS_PATH = '/metrics'
STATUS_PATH = '/status'
DUMP_PATH = '/dump'
DRAIN_PATH = '/drain'

METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'

# Seconds for which stop() waits for answers in progress.
STOP_GRACE_S = 1.0

_OPEN_PATHS = frozenset({LIVENESS_PATH, READINESS_PATH})
_MAX_BODY_BYTES = 4_096
_SCHEME = 'Bearer '


class OperatorsServer:
    """Serves operators on one address."""

    def __init__(
        self,
        service: RequestService,
        token: str,
        metrics: Callable[[], str],
        drain: Callable[[], None],
    ):
        """Prepares the server.

        Args:
            service: the state to show.
            token: bearer token of the operators.
            metrics: returns the metrics in the Prometheus text format.
            drain: begins the graceful stop.
        """
        if not token:
            raise ValueError('the operators token must not be empty')
        self._service = service
        self._token = token.encode()
        self._metrics = metrics
        self._drain = drain
        self._runner: web.AppRunner | None = None

    async def start(self, host: str, port: int) -> int:
        """Starts to listen and returns the port."""
        application = web.Application(
            middlewares=[self._guard], client_max_size=_MAX_BODY_BYTES
        )
        application.add_routes(
            [
                web.get(LIVENESS_PATH, self._liveness),
                web.get(READINESS_PATH, self._readiness),
                web.get(METRICS_PATH, self._show_metrics),
                web.get(STATUS_PATH, self._show_status),
                web.get(DUMP_PATH, self._show_dump),
                web.post(DRAIN_PATH, self._begin_drain),
            ]
        )
        self._runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=STOP_GRACE_S
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()
        return self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Stops to listen."""
        if self._runner is not None:
            await self._runner.cleanup()

    @web.middleware
    async def _guard(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Checks the token, before it is known whether the path exists."""
        if request.path not in _OPEN_PATHS and not self._is_allowed(request):
            return problem_response(OutcomeError(Outcome.UNAUTHENTICATED))
        return await handler(request)

    def _is_allowed(self, request: web.Request) -> bool:
        """Compares the token in constant time."""
        given = request.headers.get('Authorization', '')
        if not given.startswith(_SCHEME):
            return False
        token = given.removeprefix(_SCHEME).encode(errors='surrogateescape')
        return hmac.compare_digest(token, self._token)

    async def _liveness(self, request: web.Request) -> web.Response:
        """Answers as long as the event loop runs."""
        return web.Response(text='live\n')

    async def _readiness(self, request: web.Request) -> web.Response:
        """Tells the balancer whether new requests are taken."""
        if self._service.is_ready():
            return web.Response(text='ready\n')
        return web.Response(status=503, text='not ready\n')

    async def _show_metrics(self, request: web.Request) -> web.Response:
        """Shows the metrics."""
        body = self._metrics().encode()
        headers = {'Content-Type': METRICS_CONTENT_TYPE}
        return web.Response(body=body, headers=headers)

    async def _show_status(self, request: web.Request) -> web.Response:
        """Shows the summary."""
        return _json_response(self._service.status())

    async def _show_dump(self, request: web.Request) -> web.Response:
        """Shows the whole state."""
        return _json_response(self._service.dump())

    async def _begin_drain(self, request: web.Request) -> web.Response:
        """Begins the graceful stop."""
        log.info('drain asked for by an operator')
        self._drain()
        return web.Response(status=202, text='draining\n')


def _json_response(content: dict[str, object]) -> web.Response:
    """Serialises a state; what JSON does not know is shown as text."""
    body = json.dumps(content, default=str, indent=1).encode()
    return web.Response(body=body, content_type='application/json')
