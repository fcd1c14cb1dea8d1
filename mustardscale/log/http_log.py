"""Client of the platform's log over HTTP."""

from __future__ import annotations

import dataclasses
import http
from urllib.parse import quote

import aiohttp
import msgspec

from mustardscale.endpoints.http_sessions import (
    CONNECT_TIMEOUT_S,
    REQUEST_ERRORS,
    SendProgress,
    describe_error,
    make_session,
    read_content,
)
from mustardscale.exceptions import LogUnavailableError, LogUncertainError
from mustardscale.json_content import decode_json
from mustardscale.log.log_client import LogClient, LogPage

# Seconds until a call is given up, beyond the time for which a read waits.
CALL_TIMEOUT_S = 2.0

# Bytes of an answer that are read at most.
MAX_ANSWER_BYTES = 64 * 1024 * 1024

# Answers that say that the log did not take a call.
_REFUSALS = frozenset(
    {
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class AppendBody:
    """The content of an append.

    Attributes:
        records: payloads; base64 in JSON.
    """

    records: list[bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class AppendAnswer:
    """The answer to an append.

    Attributes:
        offsets: offsets of the records, in their order.
    """

    offsets: list[int]


class HttpLogClient(LogClient):
    """The log service at one address."""

    __slots__ = ('_base_url', '_call_timeout_s', '_session')

    def __init__(
        self,
        address: str,
        host: str = '',
        call_timeout_s: float = CALL_TIMEOUT_S,
    ):
        """Opens a session; a loop must be running.

        Args:
            address: 'ip:port' of the log service.
            host: id of this host, by which the service knows its callers.
            call_timeout_s: seconds until a call is given up.
        """
        self._base_url = f'http://{address}'
        self._call_timeout_s = call_timeout_s
        self._session = make_session(host)

    async def append(
        self, stream: str, payloads: list[bytes], after: int | None = None
    ) -> list[int]:
        """See the base class; this log knows no conditions."""
        progress = SendProgress()
        try:
            status, content = await self._exchange(
                'POST',
                self._url(stream),
                msgspec.json.encode(AppendBody(payloads)),
                self._call_timeout_s,
                progress,
            )
        except REQUEST_ERRORS as error:
            if progress.connected:
                raise LogUncertainError(describe_error(error)) from error
            raise LogUnavailableError(describe_error(error)) from error
        if status in _REFUSALS or 400 <= status < 500:
            raise LogUnavailableError(f'the log refused: status {status}')
        return _offsets(status, content, len(payloads))

    async def read(
        self, stream: str, after: int, limit: int = 1000, wait_s: float = 0.0
    ) -> LogPage:
        """See the base class."""
        query = f'?after={after}&limit={limit}&wait_s={wait_s}'
        try:
            status, content = await self._exchange(
                'GET',
                self._url(stream) + query,
                None,
                self._call_timeout_s + wait_s,
                SendProgress(),
            )
        except REQUEST_ERRORS as error:
            raise LogUnavailableError(describe_error(error)) from error
        if status != http.HTTPStatus.OK:
            raise LogUnavailableError(f'the log refused: status {status}')
        try:
            return decode_json(content, LogPage)
        except msgspec.DecodeError as error:
            raise LogUnavailableError(f'unreadable page: {error}') from error

    async def close(self) -> None:
        """Closes the session."""
        await self._session.close()

    def _url(self, stream: str) -> str:
        return f'{self._base_url}/streams/{quote(stream, safe="")}/records'

    async def _exchange(
        self,
        method: str,
        url: str,
        body: bytes | None,
        timeout_s: float,
        progress: SendProgress,
    ) -> tuple[int, bytes]:
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=CONNECT_TIMEOUT_S
        )
        async with self._session.request(
            method,
            url,
            data=body,
            timeout=timeout,
            allow_redirects=False,
            trace_request_ctx=progress,
        ) as response:
            content = await read_content(response, MAX_ANSWER_BYTES)
            return response.status, content


def _offsets(status: int, content: bytes, expected: int) -> list[int]:
    if status != http.HTTPStatus.OK:
        raise LogUncertainError(f'the log failed: status {status}')
    try:
        offsets = decode_json(content, AppendAnswer).offsets
    except msgspec.DecodeError as error:
        raise LogUncertainError(f'unreadable answer: {error}') from error
    if len(offsets) != expected:
        raise LogUncertainError(f'{len(offsets)} offsets for {expected}')
    return offsets
