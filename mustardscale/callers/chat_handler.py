"""Serves chat completions, streamed and whole."""

from __future__ import annotations

import contextlib
import logging

from aiohttp import web

from mustardscale.callers import caller_headers
from mustardscale.callers.caller_bodies import BodyReader
from mustardscale.callers.caller_connections import (
    CallerLimits,
    write_chunk,
    write_in_time,
)
from mustardscale.callers.caller_headers import LastEvent
from mustardscale.callers.chat_completions import (
    ChatRequest,
    ChunkEncoder,
    encode_completion,
    encode_error_event,
    parse_chat_request,
)
from mustardscale.callers.checked_answer import CheckedAnswer
from mustardscale.callers.problem_details import (
    REQUEST_ID_HEADER,
    REQUEST_ID_KEY,
    problem_json,
)
from mustardscale.callers.service_api import RequestService
from mustardscale.configuration.config_records import ServiceChoice, ServiceKind
from mustardscale.endpoints.caller_requests import (
    LanguageRequest,
    prompt_from_text,
)
from mustardscale.exceptions import OutcomeError
from mustardscale.outcomes import Outcome

log = logging.getLogger(__name__)

_STREAM_HEADERS = {
    'Content-Type': 'text/event-stream',
    'Cache-Control': 'no-store',
    'X-Accel-Buffering': 'no',
}


class ChatHandler:
    """Serves the chat completions of language services."""

    def __init__(
        self,
        service: RequestService,
        limits: CallerLimits,
        bodies: BodyReader,
    ):
        self._service = service
        self._limits = limits
        self._bodies = bodies

    async def handle(
        self, request: web.BaseRequest, service: str
    ) -> web.StreamResponse:
        """Serves a request of an authenticated service.

        Raises:
            OutcomeError: nothing of the answer was sent.
        """
        choice = self._service.service_choice(service)
        if choice.kind is not ServiceKind.LANGUAGE:
            raise OutcomeError(
                Outcome.FORBIDDEN_BY_PROFILE,
                'the token is not that of a language service',
            )
        last_event = caller_headers.last_event(request.headers)
        request_id = _request_id(request, last_event)
        request[REQUEST_ID_KEY] = request_id
        timeout_s = caller_headers.timeout_s(request.headers)
        chat = parse_chat_request(await self._bodies.read(request))
        _check(chat, choice, last_event)
        language_request = LanguageRequest(
            id=request_id,
            service=service,
            prompt=prompt_from_text(chat.prompt),
            max_tokens=chat.max_tokens,
            timeout_s=timeout_s,
            resume_after=last_event.index if last_event else None,
            sampling=chat.sampling,
            segments=chat.segments,
        )
        if chat.stream:
            return await self._stream(request, chat, language_request)
        return await self._collect(chat, language_request)

    async def _stream(
        self,
        request: web.BaseRequest,
        chat: ChatRequest,
        language_request: LanguageRequest,
    ) -> web.StreamResponse:
        """Sends tokens as they come; headers are sent with the first."""
        request_id = language_request.id
        answer = CheckedAnswer(self._service, language_request)
        encoder = ChunkEncoder(
            request_id, chat.model, answer.usage, chat.include_usage
        )
        response = web.StreamResponse(headers=_STREAM_HEADERS)
        response.headers[REQUEST_ID_HEADER] = request_id
        if not self._service.is_ready():
            response.force_close()
        async with contextlib.aclosing(answer.events()) as events:
            try:
                async for event in events:
                    if not response.prepared:
                        await response.prepare(request)
                    chunk = encoder.encode(event, answer.last_index)
                    await self._write(request, response, chunk)
                await self._write(request, response, encoder.end())
            except OutcomeError as error:
                if not response.prepared:
                    raise
                await self._break_off(request, response, error)
        await write_in_time(request, response.write_eof(), self._limits)
        return response

    async def _break_off(
        self,
        request: web.BaseRequest,
        response: web.StreamResponse,
        error: OutcomeError,
    ) -> None:
        """Sends an error in place of the rest of a stream."""
        problem = problem_json(error, request[REQUEST_ID_KEY])
        response.force_close()
        await self._write(request, response, encode_error_event(problem))

    async def _write(
        self,
        request: web.BaseRequest,
        response: web.StreamResponse,
        data: bytes,
    ) -> None:
        """Sends a piece of a stream, unless the caller does not read it."""
        await write_chunk(request, response, data, self._limits)

    async def _collect(
        self, chat: ChatRequest, language_request: LanguageRequest
    ) -> web.Response:
        """Gathers a whole answer."""
        answer = CheckedAnswer(self._service, language_request)
        texts: list[str] = []
        async with contextlib.aclosing(answer.events()) as events:
            async for event in events:
                texts.extend(event.texts)
        body = encode_completion(
            language_request.id,
            chat.model,
            ''.join(texts),
            answer.finish_reason,
            answer.usage,
        )
        return web.Response(
            body=body,
            content_type='application/json',
            headers={REQUEST_ID_HEADER: language_request.id},
        )


def _request_id(request: web.BaseRequest, last_event: LastEvent | None) -> str:
    """Returns the caller's id for a language request, or a new one.

    Raises:
        OutcomeError: the headers are wrong or contradict each other.
    """
    key = caller_headers.request_id(request.headers)
    if last_event is None:
        return key or caller_headers.new_request_id()
    if key and key != last_event.request_id:
        raise OutcomeError(
            Outcome.MALFORMED_REQUEST,
            f'{caller_headers.LAST_EVENT_ID_HEADER} is of another request',
        )
    return last_event.request_id


def _check(
    chat: ChatRequest, choice: ServiceChoice, last_event: LastEvent | None
) -> None:
    """Checks a request against its service and headers.

    Raises:
        OutcomeError: UNKNOWN_SERVICE, MALFORMED_REQUEST.
    """
    if chat.model != choice.model:
        raise OutcomeError(
            Outcome.UNKNOWN_SERVICE, 'the service has no model of this name'
        )
    if last_event is not None and not chat.stream:
        raise OutcomeError(
            Outcome.MALFORMED_REQUEST, 'only a streamed answer can be resumed'
        )
