"""Requests for load runs: through a daemon, and straight to the stand-ins."""

from __future__ import annotations

import contextlib
import dataclasses
import random
import time
from collections.abc import AsyncIterator

import aiohttp
import msgspec
import uuid_utils

from mustardscale.endpoints.caller_requests import prompt_from_text
from mustardscale.endpoints.engines import DecodeCall, PrefillCall, StreamTag
from mustardscale.endpoints.http_engine import HttpEngine
from standins.expected_answers import output_length
from standins.local_site import LocalSite
from standins.memory_site import token_of

STREAM_END = b'data: [DONE]'
# Bytes at the end of a stream that are kept to see how it ended.
TAIL_BYTES = 400
_EVENT = b'"choices":'
_TIMEOUT = aiohttp.ClientTimeout(total=120.0)
_DIRECT_HOST = 'load'


class LoadError(Exception):
    """A request was not answered as it must be; the figures are void."""


@dataclasses.dataclass(frozen=True, slots=True)
class Times:
    """When one request was answered.

    Attributes:
        first_s: seconds to the first token or to the whole answer.
        total_s: seconds to the end.
        tokens: tokens received.
    """

    first_s: float
    total_s: float
    tokens: int = 0


def long_prompts(count: int, min_tokens: int, rng: random.Random) -> list[str]:
    """Returns prompts whose answers have at least min_tokens tokens."""
    prompts: list[str] = []
    while len(prompts) < count:
        text = f'load {rng.getrandbits(64):x}'
        fingerprint = prompt_from_text(f'user: {text}\n').fingerprint
        if output_length(fingerprint, min_tokens) == min_tokens:
            prompts.append(text)
    return prompts


class DaemonCalls:
    """Sends requests through one entry host."""

    def __init__(
        self, site: LocalSite, session: aiohttp.ClientSession, host: str
    ):
        self._layout = site.layout
        self._session = session
        self._url = site.entries_by_id[host].callers_url

    async def plain(self, method: str) -> Times:
        """Calls the plain service once."""
        service = self._layout.plain_service
        started = time.perf_counter()
        async with self._session.request(
            method,
            f'{self._url}/services/{service}/items/1',
            headers=_headers(service),
            timeout=_TIMEOUT,
        ) as response:
            content = await response.read()
            _check(response.status, content)
        elapsed_s = time.perf_counter() - started
        return Times(elapsed_s, elapsed_s)

    async def language(self, text: str, max_tokens: int) -> Times:
        """Sends one streamed language request and reads its answer."""
        started = time.perf_counter()
        first_s = 0.0
        tail = b''
        tokens = 0
        async with self.stream(text, max_tokens) as response:
            async for chunk in response.content.iter_any():
                if not first_s:
                    first_s = time.perf_counter() - started
                tokens += chunk.count(_EVENT)
                tail = (tail + chunk)[-TAIL_BYTES:]
        check_end(tail)
        return Times(first_s, time.perf_counter() - started, tokens)

    @contextlib.asynccontextmanager
    async def stream(
        self, text: str, max_tokens: int
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Opens a streamed answer."""
        service = self._layout.language_service
        body = {
            'model': service,
            'messages': [{'role': 'user', 'content': text}],
            'max_tokens': max_tokens,
            'stream': True,
        }
        async with self._session.post(
            f'{self._url}/v1/chat/completions',
            data=msgspec.json.encode(body),
            headers=_headers(service),
            timeout=_TIMEOUT,
        ) as response:
            if response.status != 200:
                _check(response.status, await response.read())
            yield response


class DirectCalls:
    """Sends the same requests straight to the stand-ins."""

    def __init__(self, site: LocalSite, session: aiohttp.ClientSession):
        self._layout = site.layout
        self._session = session
        engines = site.engine_names()
        prefills = site.layout.prefill_engines
        address_of = site.endpoint_address_by_id
        self._source = f'http://{address_of[engines[0]]}'
        self._prefill = HttpEngine(session, self._source)
        self._decode = HttpEngine(
            session, f'http://{address_of[engines[prefills]]}'
        )
        self._plain_url = f'http://{address_of[site.plain_names()[0]]}'

    async def plain(self, method: str) -> Times:
        """Calls the plain endpoint once."""
        started = time.perf_counter()
        async with self._session.request(
            method,
            f'{self._plain_url}/items/1',
            headers=_headers(self._layout.plain_service),
            timeout=_TIMEOUT,
        ) as response:
            content = await response.read()
            _check(response.status, content)
        elapsed_s = time.perf_counter() - started
        return Times(elapsed_s, elapsed_s)

    async def language(self, text: str, max_tokens: int) -> Times:
        """Prefills and decodes one request."""
        model = self._layout.language_service
        prompt = prompt_from_text(f'user: {text}\n')
        tag = StreamTag(str(uuid_utils.uuid7()), 1, _DIRECT_HOST, 1)
        started = time.perf_counter()
        first_s = 0.0
        tokens = 0
        result = await self._prefill.prefill(PrefillCall(tag, model, prompt))
        call = DecodeCall(
            tag, model, result.kv_id, self._source, prompt, 0, max_tokens
        )
        async with contextlib.aclosing(self._decode.decode(call)) as events:
            async for event in events:
                if not first_s:
                    first_s = time.perf_counter() - started
                tokens += len(event.texts)
        return Times(first_s, time.perf_counter() - started, tokens)


def count_tokens(chunk: bytes) -> int:
    """Returns the number of token events that begin in a piece."""
    return chunk.count(_EVENT)


def check_end(tail: bytes) -> None:
    """Checks that a stream ended with its end mark.

    Raises:
        LoadError: it did not.
    """
    if STREAM_END not in tail:
        raise LoadError(f'the stream ended with {tail!r}')


def _headers(service: str) -> dict[str, str]:
    return {
        'Authorization': f'Bearer {token_of(service)}',
        'Idempotency-Key': str(uuid_utils.uuid7()),
        'Content-Type': 'application/json',
    }


def _check(status: int, content: bytes) -> None:
    if status != 200:
        raise LoadError(f'status {status}: {content[:200]!r}')
