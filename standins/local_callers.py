"""Callers of a site of processes, who check what they are answered."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import enum
import time
from collections.abc import Awaitable, Callable

import aiohttp
import msgspec
import uuid_utils

from mustardscale.configuration.config_records import Profile
from mustardscale.endpoints.caller_requests import prompt_from_text
from standins.expected_answers import expected_tokens, output_length
from standins.memory_site import token_of

DONE_MARK = b'[DONE]'
TIMEOUT_S = 60.0


class AnswerFate(enum.StrEnum):
    """What became of a request, as its caller saw it."""

    WHOLE = 'whole'
    REFUSED = 'refused'
    BROKEN = 'broken'
    WRONG = 'wrong'


@dataclasses.dataclass(slots=True)
class CallResult:
    """One request's result.

    Attributes:
        fate: what became of it.
        code: outcome code, 0 for a whole answer.
        first_token_s: seconds to the first token or to the answer.
        per_token_s: mean seconds between tokens.
        tokens: tokens received.
        prompt_tokens: prompt length.
        resumed: whether the caller had to resume at another host.
    """

    fate: AnswerFate
    code: int = 0
    first_token_s: float = 0.0
    per_token_s: float = 0.0
    tokens: int = 0
    prompt_tokens: int = 0
    resumed: bool = False

    def is_good(self, profile: Profile) -> bool:
        """Returns whether a whole answer met its profile's targets."""
        return (
            self.fate is AnswerFate.WHOLE
            and self.first_token_s <= profile.first_token_s
            and self.per_token_s <= profile.per_token_s
        )


@dataclasses.dataclass(slots=True)
class _StreamRead:
    """What has been read of a streamed answer."""

    text: str = ''
    last_event_id: str = ''
    done: bool = False
    code: int = 0
    times: list[float] = dataclasses.field(default_factory=list)


class LanguageCaller:
    """Sends one streamed request and resumes it when its host dies."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        service: str,
        text: str,
        max_tokens: int,
    ):
        self._session = session
        self._service = service
        self._text = text
        self._max_tokens = max_tokens
        self.request_id = str(uuid_utils.uuid7())
        self._read = _StreamRead()
        self._progressed = asyncio.Condition()
        self._ended = False

    def resume_from(self, other: LanguageCaller) -> None:
        """Goes on from what another caller of the request has read so far."""
        self.request_id = other.request_id
        self._read.text = other._read.text
        self._read.last_event_id = other._read.last_event_id

    async def wait_events(self, count: int) -> None:
        """Waits until a number of events was read or the call has ended."""
        async with self._progressed:
            await self._progressed.wait_for(
                lambda: self._ended or len(self._read.times) >= count
            )

    async def call(self, urls: list[str]) -> CallResult:
        """Sends the request to the first host, and goes on at the next.

        Args:
            urls: callers' addresses of entry hosts.
        """
        started = time.monotonic()
        try:
            resumed = await self._call_in_turn(urls)
        finally:
            self._ended = True
            async with self._progressed:
                self._progressed.notify_all()
        return self._result(started, resumed)

    async def _call_in_turn(self, urls: list[str]) -> bool:
        """Returns whether the answer was resumed at another host."""
        resumed = False
        for number, url in enumerate(urls):
            try:
                await self._stream(url)
            except (aiohttp.ClientError, TimeoutError):
                resumed = True
            if self._read.done or self._read.code or number == len(urls) - 1:
                break
        return resumed

    async def drop_rest(
        self, url: str, count: int, delivered: Callable[[], Awaitable[None]]
    ) -> None:
        """Reads some events and loses the rest of a delivered answer.

        Args:
            url: callers' address of an entry host.
            count: events that are read.
            delivered: returns when the host has sent the whole answer.
        """
        async with self._open(url) as response:
            while len(self._read.times) < count:
                self._take_line((await response.content.readline()).strip())
            await delivered()
            response.close()

    async def _stream(self, url: str) -> None:
        async with self._open(url) as response:
            if response.status != 200:
                problem = msgspec.json.decode(await response.read())
                self._read.code = problem['code']
                return
            async for line in response.content:
                self._take_line(line.strip())
                async with self._progressed:
                    self._progressed.notify_all()

    def _open(
        self, url: str
    ) -> contextlib.AbstractAsyncContextManager[aiohttp.ClientResponse]:
        headers = {
            'Authorization': f'Bearer {token_of(self._service)}',
            'Idempotency-Key': self.request_id,
        }
        if self._read.last_event_id:
            headers['Last-Event-ID'] = self._read.last_event_id
        body = {
            'model': self._service,
            'messages': [{'role': 'user', 'content': self._text}],
            'max_tokens': self._max_tokens,
            'stream': True,
        }
        return self._session.post(
            f'{url}/v1/chat/completions',
            json=body,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
        )

    def _take_line(self, line: bytes) -> None:
        name, _, value = line.partition(b': ')
        if name == b'id':
            self._read.last_event_id = value.decode()
        if name != b'data':
            return
        if value == DONE_MARK:
            self._read.done = True
            return
        chunk = msgspec.json.decode(value)
        if 'code' in chunk:
            self._read.code = chunk['code']
            return
        for choice in chunk['choices']:
            self._read.text += choice['delta'].get('content', '')
        self._read.times.append(time.monotonic())

    def _result(self, started: float, resumed: bool) -> CallResult:
        read = self._read
        prompt = prompt_from_text(f'user: {self._text}\n')
        length = output_length(prompt.fingerprint, self._max_tokens)
        tokens = expected_tokens(prompt.fingerprint, 0, length)
        result = CallResult(
            AnswerFate.BROKEN,
            read.code,
            tokens=len(read.times),
            prompt_tokens=prompt.tokens,
            resumed=resumed,
        )
        if read.done:
            whole = read.text == ''.join(tokens)
            result.fate = AnswerFate.WHOLE if whole else AnswerFate.WRONG
        elif read.code:
            result.fate = AnswerFate.REFUSED
        if read.times:
            result.first_token_s = read.times[0] - started
        if length > 1 and read.times:
            span_s = read.times[-1] - read.times[0]
            result.per_token_s = span_s / (length - 1)
        return result


async def call_plain(
    session: aiohttp.ClientSession,
    url: str,
    service: str,
    method: str,
    path: str,
    request_id: str = '',
    body: bytes = b'',
) -> CallResult:
    """Calls a plain service and checks that the answer is the call's own."""
    request_id = request_id or str(uuid_utils.uuid7())
    headers = {
        'Authorization': f'Bearer {token_of(service)}',
        'Idempotency-Key': request_id,
    }
    started = time.monotonic()
    try:
        async with session.request(
            method,
            f'{url}/services/{service}{path}',
            data=body,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
        ) as response:
            content = await response.read()
            status = response.status
    except (aiohttp.ClientError, TimeoutError):
        return CallResult(AnswerFate.BROKEN)
    elapsed_s = time.monotonic() - started
    if status == 200:
        own = request_id.encode() in content
        fate = AnswerFate.WHOLE if own else AnswerFate.WRONG
        return CallResult(fate, 0, elapsed_s)
    code = msgspec.json.decode(content).get('code', status)
    return CallResult(AnswerFate.REFUSED, code, elapsed_s)
