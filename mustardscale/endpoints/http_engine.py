"""Calls a model engine over HTTP with JSON and server-sent events."""

from __future__ import annotations

import contextlib
import dataclasses
import logging
import urllib.parse
from collections.abc import AsyncGenerator, Iterator
from typing import Any, TypeVar

import aiohttp
import msgspec

from mustardscale.endpoints.engines import (
    CacheEvent,
    DecodeCall,
    Engine,
    EngineOrder,
    LoadReport,
    PrefillCall,
    PrefillResult,
    StreamInfo,
    TokenEvent,
)
from mustardscale.endpoints.event_stream import (
    EventStreamDecoder,
    EventStreamError,
)
from mustardscale.exceptions import (
    EndpointFailedError,
    EndpointRefusedError,
    EndpointUnreachableError,
)
from mustardscale.json_content import decode_json
from mustardscale.outcomes import Outcome

log = logging.getLogger(__name__)

# Seconds within which a connection must be made.
CONNECT_TIMEOUT_S = 1.0
# Seconds within which a control call (any but prefill, decode and resume) must
# be answered.
CONTROL_TIMEOUT_S = 2.0
# Seconds without a received byte after which a running call fails.
IDLE_TIMEOUT_S = 30.0
# Maximum size of an answer body, in bytes.
MAX_BODY_BYTES = 4 * 1024 * 1024

_STATUS_OK = 200
_STATUS_REFUSED = 409
_JSON = {'Content-Type': 'application/json'}
# Prefill, decode and resume calls have no total timeout: they are cancelled at
# the caller's deadline.
_WORK_TIMEOUT = aiohttp.ClientTimeout(
    total=None, connect=CONNECT_TIMEOUT_S, sock_read=IDLE_TIMEOUT_S
)
_CONTROL_TIMEOUT = aiohttp.ClientTimeout(
    total=CONTROL_TIMEOUT_S, connect=CONNECT_TIMEOUT_S
)

T = TypeVar('T')


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Body of an answer with status 409.

    Attributes:
        reason: a REFUSED_* constant of mustardscale.endpoints.engines.
    """

    reason: str


class HttpEngine(Engine):
    """One engine, called over a session that many engines share."""

    def __init__(self, session: aiohttp.ClientSession, address: str):
        """Creates the client; connections are made by the calls.

        Args:
            session: the HTTP session; the caller closes it.
            address: URL of the engine, such as 'http://127.0.0.1:9000'.
        """
        self._session = session
        self._address = address.rstrip('/')

    async def prefill(self, call: PrefillCall) -> PrefillResult:
        """Computes a prompt's KV cache."""
        body = msgspec.json.encode(call)
        return await self._fetch(
            'POST', '/v1/prefill', PrefillResult, body, _WORK_TIMEOUT
        )

    def decode(self, call: DecodeCall) -> AsyncGenerator[TokenEvent, None]:
        """Imports a KV cache and yields tokens."""
        prompt = dataclasses.replace(call.prompt, text='')
        body = msgspec.json.encode(dataclasses.replace(call, prompt=prompt))
        return self._events('POST', '/v1/decode', body)

    def resume(
        self, request_id: str, attempt: int, from_index: int
    ) -> AsyncGenerator[TokenEvent, None]:
        """Yields the tokens of a stream from an index on."""
        path = f'{_stream_path(request_id, attempt)}?from={from_index}'
        return self._events('GET', path)

    async def cancel(self, request_id: str, attempt: int) -> None:
        """Frees what this attempt and earlier ones hold."""
        await self._fetch('DELETE', _stream_path(request_id, attempt), object)

    async def streams(self) -> list[StreamInfo]:
        """Lists the streams held."""
        return await self._fetch('GET', '/v1/streams', list[StreamInfo])

    async def report(self) -> LoadReport:
        """Reads the latest published load report."""
        return await self._fetch('GET', '/v1/load', LoadReport)

    async def cache_events(self, after: int) -> list[CacheEvent]:
        """Reads the cache events published after a sequence number."""
        path = f'/v1/cache/events?after={after}'
        return await self._fetch('GET', path, list[CacheEvent])

    async def order(self, order: EngineOrder) -> None:
        """Asks the engine to reach a state."""
        body = msgspec.json.encode(order)
        await self._fetch('POST', '/v1/orders', object, body)

    async def _fetch(
        self,
        method: str,
        path: str,
        answer_type: type[T],
        body: bytes | None = None,
        timeout: aiohttp.ClientTimeout = _CONTROL_TIMEOUT,
    ) -> T:
        with _translate_errors():
            async with self._request(method, path, body, timeout) as response:
                content = await _read_body(response)
                _check_status(response, content)
                return decode_json(content, answer_type)

    async def _events(
        self, method: str, path: str, body: bytes | None = None
    ) -> AsyncGenerator[TokenEvent, None]:
        finished = False
        with _translate_errors():
            request = self._request(method, path, body, _WORK_TIMEOUT)
            async with request as response:
                if response.status != _STATUS_OK:
                    _check_status(response, await _read_body(response))
                decoder = EventStreamDecoder()
                async for chunk in response.content.iter_any():
                    for data in decoder.feed(chunk):
                        event = _decode_event(data)
                        if event is not None:
                            finished = finished or bool(event.finish_reason)
                            yield event
        if not finished:
            raise EndpointFailedError('the stream ended early')

    def _request(
        self,
        method: str,
        path: str,
        body: bytes | None,
        timeout: aiohttp.ClientTimeout,
    ) -> Any:
        return self._session.request(
            method,
            self._address + path,
            data=body,
            headers=_JSON if body is not None else None,
            timeout=timeout,
            allow_redirects=False,
        )


@contextlib.contextmanager
def _translate_errors() -> Iterator[None]:
    """Translates aiohttp's errors into those of the Engine interface."""
    try:
        yield
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as e:
        raise EndpointUnreachableError(f'no connection: {e}') from e
    except (aiohttp.ServerDisconnectedError, aiohttp.ClientPayloadError) as e:
        raise EndpointFailedError(f'closed: {e}', crashed=True) from e
    except (aiohttp.ClientOSError, ConnectionError) as e:
        raise EndpointFailedError(f'connection lost: {e}', crashed=True) from e
    except (aiohttp.ClientError, TimeoutError) as e:
        raise EndpointFailedError(f'no answer: {e!r}') from e
    except (msgspec.MsgspecError, EventStreamError, UnicodeDecodeError) as e:
        raise EndpointFailedError(f'unreadable answer: {e}') from e


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    """Reads a body of at most MAX_BODY_BYTES."""
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            raise EndpointFailedError('the answer is too long')
    return bytes(body)


def _check_status(response: aiohttp.ClientResponse, content: bytes) -> None:
    if response.status == _STATUS_OK:
        return
    if response.status == _STATUS_REFUSED:
        refusal = decode_json(content, Refusal)
        raise EndpointRefusedError(refusal.reason)
    raise EndpointFailedError(f'status {response.status}')


def _stream_path(request_id: str, attempt: int) -> str:
    name = urllib.parse.quote(request_id, safe='')
    return f'/v1/streams/{name}/{attempt}'


_event_decoder = msgspec.json.Decoder(TokenEvent)


def _decode_event(data: bytes) -> TokenEvent | None:
    try:
        return _event_decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        log.warning(
            'malformed token event dropped: %s',
            error,
            extra={'code': int(Outcome.TOKEN_EVENT_DROPPED)},
        )
        return None
