"""Operators' HTTP: health, metrics, status, state dump and drain."""

from __future__ import annotations

import hmac
import json
import logging
from collections.abc import Callable

from aiohttp import web

from mustardscale.callers.caller_connections import (
    CallerLimits,
    CallerServer,
    end_refused,
    is_refused,
)
from mustardscale.callers.problem_details import problem_response
from mustardscale.callers.service_api import RequestService
from mustardscale.exceptions import OutcomeError
from mustardscale.outcomes import Outcome

log = logging.getLogger(__name__)

Page = Callable[[], web.Response]

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
# Probes, scrapers and operators; more than one of each is unusual.
_LIMITS = CallerLimits(connections=128)
_GET, _POST = 'GET', 'POST'
# Methods that are answered like another, without the content.
_ALSO = {_GET: 'HEAD'}
_NOT_FOUND = 404
_METHOD_NOT_ALLOWED = 405
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
        self._runner: web.ServerRunner | None = None
        self._page_by_path: dict[str, tuple[str, Page]] = {
            LIVENESS_PATH: (_GET, self._liveness),
            READINESS_PATH: (_GET, self._readiness),
            METRICS_PATH: (_GET, self._show_metrics),
            STATUS_PATH: (_GET, self._show_status),
            DUMP_PATH: (_GET, self._show_dump),
            DRAIN_PATH: (_POST, self._begin_drain),
        }

    async def start(self, host: str, port: int) -> int:
        """Starts to listen and returns the port."""
        self._runner = web.ServerRunner(
            CallerServer(self._handle, _LIMITS), shutdown_timeout=STOP_GRACE_S
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()
        return self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Stops to listen."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        """Answers a request, and ends a connection that is one too many."""
        if is_refused(request):
            response = problem_response(OutcomeError(Outcome.HOST_OVERLOADED))
        else:
            response = self._answer(request)
        end_refused(request, response)
        return response

    def _answer(self, request: web.BaseRequest) -> web.Response:
        """Checks the token, before it is known whether the path exists."""
        if request.path not in _OPEN_PATHS and not self._is_allowed(request):
            return problem_response(OutcomeError(Outcome.UNAUTHENTICATED))
        method, show = self._page_by_path.get(request.path, ('', None))
        if show is None:
            return web.Response(status=_NOT_FOUND)
        if request.method not in (method, _ALSO.get(method)):
            return web.Response(
                status=_METHOD_NOT_ALLOWED, headers={'Allow': method}
            )
        return show()

    def _is_allowed(self, request: web.BaseRequest) -> bool:
        """Compares the token in constant time."""
        given = request.headers.get('Authorization', '')
        if not given.startswith(_SCHEME):
            return False
        token = given.removeprefix(_SCHEME).encode(errors='surrogateescape')
        return hmac.compare_digest(token, self._token)

    def _liveness(self) -> web.Response:
        """Answers as long as the event loop runs."""
        return web.Response(text='live\n')

    def _readiness(self) -> web.Response:
        """Tells the balancer whether new requests are taken."""
        if self._service.is_ready():
            return web.Response(text='ready\n')
        return web.Response(status=503, text='not ready\n')

    def _show_metrics(self) -> web.Response:
        """Shows the metrics."""
        body = self._metrics().encode()
        headers = {'Content-Type': METRICS_CONTENT_TYPE}
        return web.Response(body=body, headers=headers)

    def _show_status(self) -> web.Response:
        """Shows the summary."""
        return _json_response(self._service.status())

    def _show_dump(self) -> web.Response:
        """Shows the whole state."""
        return _json_response(self._service.dump())

    def _begin_drain(self) -> web.Response:
        """Begins the graceful stop."""
        log.info('drain asked for by an operator')
        self._drain()
        return web.Response(status=202, text='draining\n')


def _json_response(content: dict[str, object]) -> web.Response:
    """Serialises a state; what JSON does not know is shown as text."""
    body = json.dumps(content, default=str, indent=1).encode()
    return web.Response(body=body, content_type='application/json')
