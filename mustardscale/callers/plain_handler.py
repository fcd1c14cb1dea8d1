"""Passes callers' requests on to plain services."""

from __future__ import annotations

from urllib.parse import unquote

from aiohttp import web
from multidict import CIMultiDict

from mustardscale.callers import caller_headers
from mustardscale.callers.caller_bodies import BodyReader
from mustardscale.callers.problem_details import (
    REQUEST_ID_HEADER,
    REQUEST_ID_KEY,
)
from mustardscale.callers.service_api import RequestService
from mustardscale.configuration.config_records import ServiceKind
from mustardscale.endpoints.caller_requests import PlainRequest
from mustardscale.endpoints.plain_endpoints import PlainAnswer
from mustardscale.exceptions import OutcomeError
from mustardscale.outcomes import Outcome

PLAIN_PREFIX = '/services/'

_MIN_STATUS = 200
_MAX_STATUS = 599


class PlainHandler:
    """Serves the requests below the prefix of plain services."""

    def __init__(
        self,
        service: RequestService,
        bodies: BodyReader,
    ):
        self._service = service
        self._bodies = bodies

    async def handle(
        self, request: web.BaseRequest, caller: str
    ) -> web.Response:
        """Serves a request.

        Args:
            request: the HTTP request.
            caller: the service that the caller's token belongs to.

        Raises:
            OutcomeError: there is no answer of the service.
        """
        url = request.rel_url
        name, _, path = url.raw_path.removeprefix(PLAIN_PREFIX).partition('/')
        self._check_access(unquote(name), caller)
        idempotent = self._is_idempotent(caller, request.method)
        request_id = _request_id(request, idempotent)
        request[REQUEST_ID_KEY] = request_id
        path = f'/{path}'
        if url.raw_query_string:
            path = f'{path}?{url.raw_query_string}'
        if not path.isascii():
            raise OutcomeError(
                Outcome.MALFORMED_REQUEST, 'the path is not percent-encoded'
            )
        plain_request = PlainRequest(
            id=request_id,
            service=caller,
            method=request.method,
            path=path,
            headers=caller_headers.end_to_end_headers(request.headers.items()),
            body=await self._bodies.read(request),
            idempotent=idempotent,
            timeout_s=caller_headers.timeout_s(request.headers),
        )
        answer = await self._service.serve_plain(plain_request)
        return _response(answer, request_id)

    def _check_access(self, name: str, caller: str) -> None:
        """Checks that a caller may reach a service.

        Raises:
            OutcomeError: UNKNOWN_SERVICE, FORBIDDEN_BY_PROFILE.
        """
        kind = self._service.service_kind(name)
        if name != caller:
            raise OutcomeError(
                Outcome.FORBIDDEN_BY_PROFILE,
                f'the token is not that of {name}',
            )
        if kind is not ServiceKind.PLAIN:
            raise OutcomeError(
                Outcome.FORBIDDEN_BY_PROFILE, f'{name} is not a plain service'
            )

    def _is_idempotent(self, service: str, method: str) -> bool:
        """Returns whether a method may be run more than once."""
        choice = self._service.service_choice(service)
        return method in choice.idempotent_methods


def _request_id(request: web.BaseRequest, idempotent: bool) -> str:
    """Returns the caller's id; only an idempotent request gets a new one.

    Raises:
        OutcomeError: INVALID_REQUEST_ID.
    """
    key = caller_headers.request_id(request.headers)
    if not idempotent:
        return caller_headers.timestamped_id(key)
    return key or caller_headers.new_request_id()


def _response(answer: PlainAnswer, request_id: str) -> web.Response:
    """Builds the HTTP answer from that of a plain service.

    Raises:
        OutcomeError: PLAIN_SERVICE_FAILED.
    """
    if not _MIN_STATUS <= answer.status <= _MAX_STATUS:
        raise OutcomeError(
            Outcome.PLAIN_SERVICE_FAILED,
            f'the service answered with status {answer.status}',
        )
    headers = CIMultiDict(caller_headers.end_to_end_headers(answer.headers))
    headers[REQUEST_ID_HEADER] = request_id
    return web.Response(status=answer.status, headers=headers, body=answer.body)
