"""Relays requests to the platform's workers over HTTP."""

from __future__ import annotations

import asyncio
import logging
import math
import re
from collections.abc import AsyncGenerator
from typing import Any

import aiohttp
import msgspec

from mustardscale.endpoints.answer_framing import (
    AnswerFraming,
    find_ended_after,
    find_framing,
    find_reset,
    require_request_read,
)
from mustardscale.endpoints.engines import NO_PRIORITY
from mustardscale.endpoints.http_plain import end_to_end_headers
from mustardscale.endpoints.http_sessions import (
    REQUEST_ERRORS,
    SendProgress,
    read_content,
)
from mustardscale.endpoints.link_watch import LinkWatch
from mustardscale.exceptions import (
    EndpointFailedError,
    EndpointRefusedError,
)
from mustardscale.json_content import decode_json
from mustardscale.platform import names
from mustardscale.platform.http_client import (
    make_endpoint_error,
    make_timeout,
    make_url,
)
from mustardscale.relay.endpoint_listener import EndpointListener
from mustardscale.relay.relay_endpoint import (
    REFUSED_FULL,
    REFUSED_MOVED,
    EndpointAnswer,
    PrefillHandle,
    RelayCall,
    RelayEndpoint,
)
from mustardscale.relay.relay_messages import AnswerHead, Headers

log = logging.getLogger(__name__)

MAX_HANDLE_BYTES = 65_536
MAX_REPORT_BYTES = 1_048_576
CALL_TIMEOUT_S = 1.0
# Time after a request's deadline in which the worker may still answer that the
# deadline has passed, seconds.
DEADLINE_MARGIN_S = 0.1
# The least urgent priority that workers accept; a less urgent one is sent as
# this one.
MAX_PRIORITY = 9
_SWITCHING_PROTOCOLS = 101
_OK = 200
_MISDIRECTED = 421
_BUSY = 503
# Statuses of a gateway that got no answer of the worker behind it.
_GATEWAY_STATUSES = frozenset({502, 503, 504})
_RETRYABLE_STATUSES = frozenset({408, 429, 503})
_DROPPED_HEADERS = frozenset({'content-length', 'date', 'server'})
# Headers without which an answer is not the worker's.
_NEEDED_HEADERS = frozenset({names.SIGNATURE.lower(), 'content-type'})
# Seconds, with an optional fraction. Dates are not accepted, because the clocks
# of hosts differ.
_RETRY_AFTER_PATTERN = re.compile(r'[0-9]{1,9}(\.[0-9]{1,9})?')
# Requests a second, with an optional fraction.
_RATE_LIMIT_PATTERN = _RETRY_AFTER_PATTERN


class _PrefillAnswer(msgspec.Struct):
    """The answer to a prefill, with the handle of the kept result."""

    kv_handle: str


class _ProcessReport(msgspec.Struct):
    """What a worker's report says of its process.

    Attributes:
        born: start of the process, Unix milliseconds.
        state: whether it takes new work; text, or whatever else is stated.
    """

    born: int = 0
    state: Any = ''


class WorkerAnswer(EndpointAnswer):
    """The answer of a worker, whose body is read as it arrives."""

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        head: AnswerHead,
        progress: SendProgress,
    ):
        self.head = head
        self.framing = find_framing(response)
        self._response = response
        self._progress = progress
        self._watch: LinkWatch | None = None
        self._last_data_at = -math.inf

    def watch_link(self, watch: LinkWatch) -> None:
        """Watches the path to the worker until the answer is closed."""
        self._watch = watch
        self._last_data_at = asyncio.get_running_loop().time()
        watch.begin()

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """See the base class."""
        response = self._response
        try:
            async for data in response.content.iter_any():
                self._last_data_at = asyncio.get_running_loop().time()
                yield data
        except REQUEST_ERRORS as error:
            raise make_endpoint_error(error, self._progress) from error
        if self.framing is AnswerFraming.CONNECTION:
            reset = find_reset(response)
            if reset:
                raise EndpointFailedError(reset, crashed=True)
            require_request_read(response)
            self.ended_after = find_ended_after(response)

    def close(self) -> None:
        """See the base class."""
        self._response.close()
        if self._watch is not None:
            self._watch.end()
            self._watch = None

    def was_link_closed(self, ended_at: float) -> bool:
        """See the base class."""
        watch = self._watch
        return watch is not None and watch.was_closed_with(
            self._last_data_at, ended_at
        )


class WorkerRelay(RelayEndpoint):
    """Relay client of one worker."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        instance: str,
        result_keep_s: float,
        listener: EndpointListener,
    ):
        """Prepares the relay.

        Args:
            session: makes a connection for each call.
            address: 'ip:port' of the worker.
            instance: id of the worker.
            result_keep_s: seconds for which the worker keeps the result of a
                prefill.
            listener: is notified when an answer says that the worker leaves
                or is busy.
        """
        self._watch = LinkWatch(address)
        self._session = session
        self._address = address
        self._instance = instance
        self._result_keep_s = result_keep_s
        self._listener = listener

    async def run(self, call: RelayCall) -> EndpointAnswer:
        """See the base class."""
        headers: list[tuple[str, str]] = []
        if call.prefill is not None:
            source = f'{call.prefill.source}/{call.prefill.key}'
            headers.append((names.KV_SOURCE, source))
        if call.backup:
            headers.append((names.KV_BACKUP, call.backup))
        response, progress = await self._send(call, headers)
        try:
            self._record_rate_limit(response, call, _is_signed(response))
            head = _check_head(response, call)
            answer = WorkerAnswer(response, head, progress)
        except BaseException:
            response.close()
            raise
        if answer.framing is AnswerFraming.CONNECTION:
            answer.watch_link(self._watch)
        return answer

    async def prefill(self, call: RelayCall) -> PrefillHandle:
        """See the base class."""
        response, progress = await self._send(
            call, [(names.SERVING_PHASE, 'prefill')]
        )
        try:
            self._record_rate_limit(response, call, response.status == _OK)
            _check_owner(response, call)
            _check_executed(response)
            content = await read_content(response, MAX_HANDLE_BYTES)
        except REQUEST_ERRORS as error:
            raise make_endpoint_error(error, progress) from error
        finally:
            response.close()
        if response.status != _OK:
            raise EndpointFailedError(f'prefill: status {response.status}')
        try:
            key = decode_json(content, _PrefillAnswer).kv_handle
        except msgspec.MsgspecError as error:
            raise EndpointFailedError(f'prefill: {error}') from error
        kept_until = asyncio.get_running_loop().time() + self._result_keep_s
        return PrefillHandle(self._instance, self._address, key, kept_until)

    async def free(self, handle: PrefillHandle) -> None:
        """See the base class."""
        await self._control('DELETE', names.HANDLE_PATH + handle.key)

    async def read_start(self) -> int:
        """See the base class."""
        status, content = await self._control('GET', names.REPORT_PATH)
        if status != _OK:
            # A refusal, or an error: the process answers all the same.
            return 0
        try:
            report = decode_json(content, _ProcessReport)
        except msgspec.MsgspecError as error:
            # It may have broken off, with the process that it tells of.
            raise EndpointFailedError(f'report: {error}') from error
        # Without its start, a process cannot be told from a later one.
        if report.born and report.state == names.DRAINING_STATE:
            self._listener.record_leaving()
        return report.born

    async def _control(self, method: str, path: str) -> tuple[int, bytes]:
        """Makes a control call; returns the answer's status and content."""
        progress = SendProgress()
        try:
            async with self._session.request(
                method,
                make_url(self._address, path),
                headers={names.EXPECT_INSTANCE: self._instance},
                timeout=make_timeout(CALL_TIMEOUT_S),
                trace_request_ctx=progress,
            ) as response:
                self._notify_listener(response)
                if response.status == _MISDIRECTED:
                    raise EndpointRefusedError(REFUSED_MOVED)
                if (
                    response.status in _GATEWAY_STATUSES
                    and names.NOT_EXECUTED not in response.headers
                ):
                    raise EndpointFailedError(f'status {response.status}')
                content = await read_content(response, MAX_REPORT_BYTES)
                return response.status, content
        except REQUEST_ERRORS as error:
            raise make_endpoint_error(error, progress) from error

    async def _send(
        self, call: RelayCall, headers: list[tuple[str, str]]
    ) -> tuple[aiohttp.ClientResponse, SendProgress]:
        """Sends a request and waits for the head of the answer."""
        request = call.request
        left_s = call.deadline_at - asyncio.get_running_loop().time()
        all_headers = [
            *request.headers,
            ('Host', request.host),
            (names.REQUEST_ID, request.id),
            (names.REQUEST_DEADLINE, str(max(1, int(left_s * 1000)))),
            (names.EXPECT_INSTANCE, self._instance),
            *headers,
        ]
        if call.resume_after:
            all_headers.append((names.LAST_EVENT_ID, call.resume_after))
        if call.priority != NO_PRIORITY:
            priority = min(max(call.priority, 0), MAX_PRIORITY)
            all_headers.append((names.REQUEST_PRIORITY, str(priority)))
        progress = SendProgress()
        try:
            response = await self._session.request(
                request.method,
                make_url(self._address, request.target),
                data=request.body or None,
                headers=all_headers,
                timeout=make_timeout(left_s + DEADLINE_MARGIN_S),
                allow_redirects=False,
                trace_request_ctx=progress,
            )
        except REQUEST_ERRORS as error:
            raise make_endpoint_error(error, progress) from error
        self._notify_listener(response)
        return response, progress

    def _record_rate_limit(
        self, response: aiohttp.ClientResponse, call: RelayCall, ran: bool
    ) -> None:
        """Records the rate limit that the answer to a request states.

        Args:
            response: the answer.
            call: the request.
            ran: whether the worker ran the request. Only then does the answer
                show that a limit has ended: a refusal or a failure may come
                from a part of the worker that does not know of it.
        """
        echoed = response.headers.get(names.REQUEST_ID)
        is_other = echoed is not None and echoed != call.request.id
        if is_other or response.status == _MISDIRECTED:
            return
        if names.SERVER_LIMIT not in response.headers:
            if ran:
                self._listener.record_rate_limit(None)
            return
        per_s = parse_rate_limit(response)
        if per_s is None:
            log.warning(
                'worker %s: %s is not a decimal number; its last limit holds',
                self._instance,
                names.SERVER_LIMIT,
            )
            return
        self._listener.record_rate_limit(per_s)

    def _notify_listener(self, response: aiohttp.ClientResponse) -> None:
        """Notifies the listener if the worker leaves or is busy."""
        if response.status == _MISDIRECTED:
            # Another worker may use the address now.
            return
        if announces_leaving(response):
            self._listener.record_leaving()
        busy_s = parse_busy_s(response)
        if busy_s:
            self._listener.record_busy(busy_s)


def announces_leaving(response: aiohttp.ClientResponse) -> bool:
    """Returns whether an answer says that the worker is leaving."""
    return response.headers.get(names.SERVER_LEAVING) == '1'


def parse_busy_s(response: aiohttp.ClientResponse) -> float:
    """Returns the seconds for which a busy worker asks for no requests.

    Returns:
        0 if the answer states no time or the time cannot be parsed.
    """
    text = response.headers.get(names.RETRY_AFTER, '').strip()
    if response.status != _BUSY or not _RETRY_AFTER_PATTERN.fullmatch(text):
        return 0.0
    return float(text)


def parse_rate_limit(response: aiohttp.ClientResponse) -> float | None:
    """Returns the requests a second that a worker takes from all hosts.

    Returns:
        None if the answer states no limit or one that cannot be parsed.
    """
    text = response.headers.get(names.SERVER_LIMIT, '').strip()
    if not _RATE_LIMIT_PATTERN.fullmatch(text):
        return None
    return float(text)


def _is_signed(response: aiohttp.ClientResponse) -> bool:
    """Returns whether an answer is the success of a request that ran."""
    return 200 <= response.status < 300 and names.SIGNATURE in response.headers


def _check_owner(response: aiohttp.ClientResponse, call: RelayCall) -> None:
    """Raises EndpointFailedError if an answer names another request."""
    echoed = response.headers.get(names.REQUEST_ID)
    if echoed is not None and echoed != call.request.id:
        raise EndpointFailedError('the answer belongs to another request')


def _check_executed(response: aiohttp.ClientResponse) -> None:
    """Raises EndpointRefusedError if the worker did not run a request."""
    if response.status == _MISDIRECTED:
        raise EndpointRefusedError(REFUSED_MOVED)
    if names.NOT_EXECUTED in response.headers:
        raise EndpointRefusedError(f'{REFUSED_FULL}: {response.status}')


def _check_head(
    response: aiohttp.ClientResponse, call: RelayCall
) -> AnswerHead:
    """Checks that an answer belongs to the request; returns its head.

    Raises:
        EndpointRefusedError: the worker did not run the request.
        EndpointFailedError: the answer is to another request, is encoded, is
            not signed, switches to another protocol, or has a status that only
            a worker that did not run the request may give.
    """
    is_success = 200 <= response.status < 300
    if response.status == _SWITCHING_PROTOCOLS:
        raise EndpointFailedError('the answer switches to another protocol')
    _check_owner(response, call)
    if is_success and names.REQUEST_ID not in response.headers:
        raise EndpointFailedError('the answer names no request')
    _check_executed(response)
    if 'Content-Encoding' in response.headers:
        raise EndpointFailedError('the answer is encoded')
    if is_success and names.SIGNATURE not in response.headers:
        raise EndpointFailedError('the answer has no signature')
    if response.status in _RETRYABLE_STATUSES:
        # Such a status tells the caller that the request was not run, which
        # the worker has not confirmed with the header.
        raise EndpointFailedError(f'status {response.status}')
    head = AnswerHead(response.status, _select_answer_headers(response))
    if is_success:
        _check_proof(head)
    return head


def _check_proof(head: AnswerHead) -> None:
    """Checks that a success still proves whose it is.

    Raises:
        EndpointFailedError: its Connection header lists what proves it.
    """
    names_left = {name.lower() for name, _ in head.headers}
    for name in (names.SIGNATURE, names.REQUEST_ID):
        if name.lower() not in names_left:
            raise EndpointFailedError(f'{name} is for one connection only')


def _select_answer_headers(response: aiohttp.ClientResponse) -> Headers:
    """Returns the headers for the caller, without those that are not UTF-8.

    Raises:
        EndpointFailedError: one is not, without which the answer is another; or
            a name has a space before its colon, so that others may read it as
            the name without it.
    """
    pairs = []
    for octets, value in response.raw_headers:
        name = octets.decode('latin-1')
        if name != name.strip():
            raise EndpointFailedError(f'a space in header name {name!r}')
        try:
            pairs.append((name, value.decode()))
        except UnicodeDecodeError as error:
            if name.lower() in _NEEDED_HEADERS:
                raise EndpointFailedError(
                    f'header {name} of the answer is not UTF-8'
                ) from error
    return tuple(
        pair
        for pair in end_to_end_headers(pairs)
        if pair[0].lower() not in _DROPPED_HEADERS
    )
