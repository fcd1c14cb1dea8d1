"""Client of a plain service's endpoint over HTTP."""

from __future__ import annotations

import asyncio
import dataclasses
import http
import logging
from collections.abc import Iterable

import aiohttp
import yarl

from mustardscale.endpoints.answer_framing import (
    AnswerFraming,
    find_ended_after,
    find_framing,
    find_reset,
    require_request_read,
)
from mustardscale.endpoints.content_end import find_missing_end
from mustardscale.endpoints.engines import REFUSED_LEAVING
from mustardscale.endpoints.http_sessions import (
    CONNECT_TIMEOUT_S,
    REQUEST_ERRORS,
    AnswerTooLargeError,
    ConnectionLostError,
    SendProgress,
    describe_error,
    make_session,
)
from mustardscale.endpoints.link_watch import LinkWatch
from mustardscale.endpoints.plain_endpoints import (
    PlainAnswer,
    PlainCall,
    PlainEndpoint,
)
from mustardscale.endpoints.process_check import (
    NAMELESS_OUTLIVE_S,
    ProcessReply,
    compute_give_up_at,
    question_process,
    require_running,
)
from mustardscale.exceptions import (
    EndpointFailedError,
    EndpointRefusedError,
    EndpointUnreachableError,
    OutcomeError,
)
from mustardscale.outcomes import Outcome

log = logging.getLogger(__name__)

IDEMPOTENCY_KEY = 'Idempotency-Key'
# Header of a 503 answer in which an endpoint gives the reason of its refusal.
REFUSED_REASON = 'X-Refused-Reason'

# Headers that apply to one connection only, so are not forwarded; lower case.
HOP_BY_HOP_HEADERS = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)
# Headers of a call that the client sets itself, in lower case.
_REPLACED_HEADERS = frozenset(
    {'content-length', 'expect', 'host', IDEMPOTENCY_KEY.lower()}
)
# Headers that aiohttp would add to a call that lacks them.
_AUTOMATIC_HEADERS = ('Accept', 'Accept-Encoding', 'Content-Type', 'User-Agent')

# Time after which a connection that was accepted counts as kept, seconds.
KEPT_S = 0.03

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PlainLimits:
    """Maximum sizes of calls and answers.

    Attributes:
        header_bytes: total size of the names and values of all headers.
        body_bytes: size of the content.
        all_answers_bytes: content of all answers that are being read.
    """

    header_bytes: int = 32 * 1024
    body_bytes: int = 8 * 1024 * 1024
    all_answers_bytes: int = 64 * 1024 * 1024


def end_to_end_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Returns the headers that are forwarded.

    >>> end_to_end_headers(
    ...     [('Connection', 'X-Hop'), ('X-Hop', '1'), ('Accept', '*/*')]
    ... )
    (('Accept', '*/*'),)
    """
    pairs = tuple(headers)
    dropped = set(HOP_BY_HOP_HEADERS)
    for name, value in pairs:
        if name.lower() == 'connection':
            dropped.update(token.strip().lower() for token in value.split(','))
    return tuple(pair for pair in pairs if pair[0].lower() not in dropped)


class AnswersInMemory:
    """The content of the answers that are being read, of all endpoints.

    Attributes:
        used_bytes: its size.
    """

    __slots__ = ('used_bytes',)

    def __init__(self) -> None:
        self.used_bytes = 0


class HttpPlainEndpoint(PlainEndpoint):
    """Client of the endpoint of a plain service at one address."""

    __slots__ = ('_address', '_in_memory', '_limits', '_session')

    def __init__(
        self,
        address: str,
        limits: PlainLimits | None = None,
        in_memory: AnswersInMemory | None = None,
    ):
        """Opens a session; an event loop must be running.

        Args:
            address: 'ip:port' of the endpoint.
            limits: maximum sizes of calls and answers.
            in_memory: the answers that count together, None for those of this
                endpoint alone.
        """
        self._address = address
        self._limits = limits or PlainLimits()
        self._in_memory = in_memory or AnswersInMemory()
        self._session = make_session(
            max_header_bytes=self._limits.header_bytes,
            skip_auto_headers=_AUTOMATIC_HEADERS,
        )

    async def call(self, call: PlainCall) -> PlainAnswer:
        """See the base class.

        Raises:
            OutcomeError: the call itself is malformed or too large; nothing
                was sent.
        """
        headers = self._request_headers(call)
        _check_target(call)
        progress = SendProgress()
        try:
            answer = await self._exchange(call, headers, progress)
        except REQUEST_ERRORS as error:
            detail = describe_error(error)
            if not progress.connected:
                raise EndpointUnreachableError(detail) from error
            raise EndpointFailedError(detail, _is_closed(error)) from error
        if _is_leaving(answer):
            raise EndpointRefusedError(REFUSED_LEAVING)
        return answer

    async def close(self) -> None:
        """Closes the session."""
        await self._session.close()

    def _request_headers(self, call: PlainCall) -> Headers:
        headers = tuple(
            pair
            for pair in end_to_end_headers(call.headers)
            if pair[0].lower() not in _REPLACED_HEADERS
        )
        headers += ((IDEMPOTENCY_KEY, call.request_id),)
        for name, value in headers:
            if not _is_sendable(name) or not _is_sendable(value):
                raise OutcomeError(
                    Outcome.MALFORMED_REQUEST, 'A header cannot be passed on.'
                )
        if (
            _header_bytes(headers) > self._limits.header_bytes
            or len(call.body) > self._limits.body_bytes
        ):
            raise OutcomeError(Outcome.REQUEST_TOO_LARGE)
        return headers

    async def _exchange(
        self, call: PlainCall, headers: Headers, progress: SendProgress
    ) -> PlainAnswer:
        timeout = aiohttp.ClientTimeout(
            total=call.timeout_s, sock_connect=CONNECT_TIMEOUT_S
        )
        deadline_at = asyncio.get_running_loop().time() + call.timeout_s
        async with self._session.request(
            call.method,
            yarl.URL(f'http://{self._address}{call.path}', encoded=True),
            headers=headers,
            data=call.body or None,
            timeout=timeout,
            allow_redirects=False,
            trace_request_ctx=progress,
        ) as response:
            if find_framing(response) is not AnswerFraming.CONNECTION:
                return await self._read_answer(response)
            watch = LinkWatch(self._address)
            watch.begin()
            began_at = asyncio.get_running_loop().time()
            try:
                answer = await self._read_answer(response)
                ended_at = asyncio.get_running_loop().time()
                await self._check_end(call, response, deadline_at)
                _check_content(answer, response)
                if watch.was_closed_with(began_at, ended_at):
                    raise EndpointFailedError(
                        'its link was closed with the answer'
                    )
            finally:
                watch.end()
            return answer

    async def _check_end(
        self,
        call: PlainCall,
        response: aiohttp.ClientResponse,
        deadline_at: float,
    ) -> None:
        """Requires that an answer which its connection ends is whole.

        Raises:
            EndpointFailedError: it was reset, or came before its request had
                arrived, or nothing shows that a process still serves the
                endpoint's address, a while later if the endpoint is leaving.
        """
        reset = find_reset(response)
        if reset:
            raise EndpointFailedError(reset, crashed=True)
        require_request_read(response)

        def compute_outlive_s() -> float:
            return NAMELESS_OUTLIVE_S if call.is_leaving() else 0.0

        finding = await question_process(
            self._connect,
            compute_give_up_at(deadline_at),
            compute_outlive_s,
            find_ended_after(response),
        )
        log.info(
            'answer without a length ended; its process: %s, replies %s,'
            ' unanswered %d',
            finding.state,
            finding.count_by_reply,
            finding.unanswered,
            extra={'request_id': call.request_id, 'endpoint': self._address},
        )
        require_running(finding, call.is_leaving())

    async def _connect(self) -> ProcessReply:
        """Finds out whether the endpoint accepts a connection and keeps it.

        What stands before a process that has ended, such as a proxy, accepts
        it and closes it.
        """
        ip, _, port = self._address.rpartition(':')
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(ip, int(port))
        except ConnectionRefusedError:
            return ProcessReply.REFUSED
        except (OSError, TimeoutError):
            return ProcessReply.NONE
        try:
            async with asyncio.timeout(KEPT_S):
                await reader.read(1)
        except TimeoutError:
            return ProcessReply.NAMELESS
        except OSError:
            return ProcessReply.NONE
        finally:
            writer.close()
        return ProcessReply.NONE

    async def _read_answer(
        self, response: aiohttp.ClientResponse
    ) -> PlainAnswer:
        headers = _answer_headers(response)
        if _header_bytes(headers) > self._limits.header_bytes:
            raise EndpointFailedError("the answer's headers are too large")
        body = await self._read_body(response)
        return PlainAnswer(response.status, headers, body)

    async def _read_body(self, response: aiohttp.ClientResponse) -> bytes:
        """Reads an answer's content.

        Raises:
            AnswerTooLargeError: it, or that of all answers together, is longer
                than allowed.
        """
        limits = self._limits
        content = bytearray()
        try:
            async for chunk in response.content.iter_any():
                content += chunk
                self._in_memory.used_bytes += len(chunk)
                if len(content) > limits.body_bytes:
                    raise AnswerTooLargeError(
                        f'answer above {limits.body_bytes} bytes'
                    )
                if self._in_memory.used_bytes > limits.all_answers_bytes:
                    raise AnswerTooLargeError(
                        f'answers above {limits.all_answers_bytes} bytes'
                        ' together'
                    )
            return bytes(content)
        finally:
            self._in_memory.used_bytes -= len(content)


def _check_content(
    answer: PlainAnswer, response: aiohttp.ClientResponse
) -> None:
    """Requires that the content does not show that a success broke off.

    Raises:
        EndpointFailedError: it does.
    """
    content_type = response.headers.get('Content-Type', '')
    missing = find_missing_end(answer.status, content_type, answer.body)
    if missing and 200 <= answer.status < 300:
        raise EndpointFailedError(missing)


def _answer_headers(response: aiohttp.ClientResponse) -> Headers:
    headers = end_to_end_headers(response.headers.items())
    if response.method == 'HEAD':
        return headers
    # The content is passed on whole, so its length is computed from it.
    return tuple(
        pair for pair in headers if pair[0].lower() != 'content-length'
    )


def _check_target(call: PlainCall) -> None:
    method_ok = call.method.isascii() and call.method.isalpha()
    path_ok = call.path.startswith('/') and call.path.isascii()
    if not method_ok or not path_ok or not _is_visible(call.path):
        raise OutcomeError(
            Outcome.MALFORMED_REQUEST, 'The method or path cannot be passed on.'
        )


def _is_visible(text: str) -> bool:
    return text.isprintable() and ' ' not in text


def _is_sendable(text: str) -> bool:
    """Returns whether a header's name or value can be sent."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return not any(character in text for character in '\r\n\0')


def _header_bytes(headers: Headers) -> int:
    return sum(len(name) + len(value) for name, value in headers)


def _is_leaving(answer: PlainAnswer) -> bool:
    if answer.status != http.HTTPStatus.SERVICE_UNAVAILABLE:
        return False
    return any(
        name.lower() == REFUSED_REASON.lower() and value == REFUSED_LEAVING
        for name, value in answer.headers
    )


def _is_closed(error: BaseException) -> bool:
    """Returns whether the connection closed before the answer was complete."""
    return isinstance(error, ConnectionLostError | aiohttp.ClientPayloadError)
