"""Seeded callers that cancel, send twice, send again and resume."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import enum
import random
import uuid
from collections.abc import Callable

from mustardscale.background_tasks import BackgroundTasks
from mustardscale.endpoints.caller_requests import (
    LanguageRequest,
    PlainRequest,
    prompt_from_text,
)
from mustardscale.exceptions import OutcomeError
from mustardscale.outcomes import Outcome, OutcomeClass, outcome_class
from standins.caller_records import CallerRecord, Send
from standins.expected_answers import expected_tokens, output_length
from standins.fault_actions import FaultActions
from standins.memory_site import MemorySite

# Mean time between two requests of each kind, seconds.
LANGUAGE_INTERVAL_S = 0.25
BOOKING_INTERVAL_S = 0.3
READ_INTERVAL_S = 1.0
TIMEOUT_S = 20.0
PLAIN_TIMEOUT_S = 5.0
# A caller that heard nothing from its host for this long goes elsewhere.
SILENCE_S = 4.0
MOST_SENDS = 4
MAX_TOKENS = 250
FROZEN_POLL_S = 0.05

Request = LanguageRequest | PlainRequest


class Behaviour(enum.Enum):
    """What a caller does besides waiting for its answer."""

    WAITS = 'waits'
    LEAVES = 'leaves'
    SENDS_TWICE = 'sends twice'


class FaultCallers:
    """The callers of one run.

    Attributes:
        records: what they sent and saw.
    """

    def __init__(
        self, site: MemorySite, actions: FaultActions, rng: random.Random
    ):
        self._site = site
        self._actions = actions
        self._rng = rng
        self._number = 0
        self._background = BackgroundTasks()
        self._open: set[asyncio.Task[float]] = set()
        self.records: list[CallerRecord] = []

    async def run(self, until: float) -> None:
        """Sends requests until a loop time, and waits for their ends."""
        async with asyncio.TaskGroup() as group:
            for make, interval_s in (
                (self.language, LANGUAGE_INTERVAL_S),
                (self.booking, BOOKING_INTERVAL_S),
                (self.read, READ_INTERVAL_S),
            ):
                group.create_task(self._arrive(make, interval_s, until))
        await self._background.wait_idle()

    async def _arrive(
        self, make: Callable[[], Request], interval_s: float, until: float
    ) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await asyncio.sleep(self._rng.expovariate(1 / interval_s))
            behaviour = self._rng.choices(list(Behaviour), (6, 3, 2))[0]
            self._background.start(self.serve(make(), behaviour))

    def language(self) -> LanguageRequest:
        """Makes a request to the language service."""
        self._number += 1
        words = self._rng.choice((100, 1000, 4000))
        prompt = prompt_from_text(f'request {self._number} ' * words)
        return LanguageRequest(
            f'language-{self._number}',
            self._site.layout.language_service,
            prompt,
            MAX_TOKENS,
            timeout_s=TIMEOUT_S,
        )

    def booking(self) -> PlainRequest:
        """Makes a request that must not run twice."""
        return self._plain('POST', idempotent=False)

    def read(self) -> PlainRequest:
        """Makes a request that may be repeated."""
        return self._plain('GET', idempotent=True)

    def _plain(self, method: str, idempotent: bool) -> PlainRequest:
        return PlainRequest(
            _uuid7(self._site.wall_clock(), self._rng),
            self._site.layout.plain_service,
            method,
            '/lots',
            (),
            b'{}',
            idempotent,
            timeout_s=PLAIN_TIMEOUT_S,
        )

    async def serve(
        self, request: Request, behaviour: Behaviour
    ) -> CallerRecord:
        """Sends a request until it is answered or the caller gives up."""
        record = CallerRecord(request)
        self.records.append(record)
        if behaviour is Behaviour.SENDS_TWICE:
            await self._send_twice(record)
        elif behaviour is Behaviour.LEAVES:
            leave_s = self._rng.choice((0.05, 0.3, 1.0, 3.0)) * (
                self._rng.random()
            )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(leave_s):
                    await self._insist(record)
        else:
            await self._insist(record)
        record.unwanted_at = asyncio.get_running_loop().time()
        return record

    async def probe(self, host: str, request: Request) -> Send | None:
        """Sends once to a host; returns the send if it was not answered."""
        record = CallerRecord(request)
        self.records.append(record)
        send, _ = await self._send(record, host=host)
        record.unwanted_at = asyncio.get_running_loop().time()
        return None if send.finished else send

    async def _send_twice(self, record: CallerRecord) -> None:
        """Sends to two hosts at once, or nearly so."""
        delay_s = self._rng.choice((0.0, 0.0, 0.2, 1.5)) * self._rng.random()
        await asyncio.gather(
            self._send(record), self._send(record, delay_s=delay_s)
        )
        if not record.answers and self._rng.random() < 0.7:
            await asyncio.sleep(self._rng.uniform(0.1, 2.0))
            await self._insist(record)

    async def _insist(self, record: CallerRecord) -> None:
        """Sends again, or resumes, as long as that makes sense."""
        while len(record.sends) < MOST_SENDS:
            send, retry_after_s = await self._send(record)
            if send.finished or record.answers:
                return
            if send.outcome is not None and not self._tries_again(send):
                return
            await asyncio.sleep(max(retry_after_s, self._rng.uniform(0.1, 1.0)))

    def _tries_again(self, send: Send) -> bool:
        assert send.outcome is not None
        if send.outcome in (
            Outcome.ALREADY_IN_PROGRESS,
            Outcome.NOTHING_TO_RESUME,
        ):
            return True
        kind = outcome_class(send.outcome)
        return kind in (
            OutcomeClass.NOT_RUN,
            OutcomeClass.RAN_AND_FAILED,
            OutcomeClass.UNKNOWN,
        )

    def _pick_host(self) -> str | None:
        hosts = sorted(self._site.routers_by_host)
        ready = [
            host
            for host in hosts
            if self._site.routers_by_host[host].is_ready()
        ]
        return self._rng.choice(ready or hosts) if hosts else None

    async def _send(
        self,
        record: CallerRecord,
        delay_s: float = 0.0,
        host: str | None = None,
    ) -> tuple[Send, float]:
        """Sends once; returns the send and the Retry-After, seconds."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(delay_s)
        host = host or self._pick_host()
        send = Send(host or '', loop.time(), first_index=len(record.texts))
        record.sends.append(send)
        if host is None:
            send.ended_at = loop.time()
            send.lost = True
            return send, 0.5
        answer = asyncio.create_task(self._answer(record, send))
        self._open.add(answer)
        answer.add_done_callback(self._open.discard)
        try:
            await self._wait(record, send, answer)
        finally:
            send.ended_at = loop.time()
            if not answer.done():
                send.left = True
                self._background.start(self._close(record, send.host, answer))
        if not answer.done() or answer.cancelled():
            return send, 0.0
        return send, answer.result()

    async def _wait(
        self, record: CallerRecord, send: Send, answer: asyncio.Task[float]
    ) -> None:
        """Waits for the answer's end, its host's death or a long silence."""
        process = self._actions.process(send.host)
        lost = asyncio.create_task(self._actions.lost(process).wait())
        tokens = -1
        try:
            while not answer.done():
                await asyncio.wait(
                    [answer, lost],
                    timeout=SILENCE_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if lost.done() and not answer.done():
                    answer.cancel()
                    send.lost = True
                    record.host_lost = True
                    return
                frozen = send.host in self._actions.frozen_hosts
                if frozen and send.tokens == tokens:
                    record.host_lost = True
                    return
                tokens = send.tokens
        finally:
            lost.cancel()

    async def _close(
        self, record: CallerRecord, host: str, answer: asyncio.Task[float]
    ) -> None:
        """Closes a connection; a paused host notices when it goes on."""
        record.lingering += 1
        linger_s = self._rng.choice((0.0, 0.0, 3.0))
        was_frozen = host in self._actions.frozen_hosts
        await self._thawed(host)
        if was_frozen:
            await asyncio.wait([answer], timeout=linger_s)
        answer.cancel()
        record.lingering -= 1
        if record.unwanted_at is not None:
            record.unwanted_at = asyncio.get_running_loop().time()

    async def _thawed(self, host: str) -> None:
        # The set of paused hosts has no event that marks its change.
        while host in self._actions.frozen_hosts:  # noqa: ASYNC110
            await asyncio.sleep(FROZEN_POLL_S)

    async def _answer(self, record: CallerRecord, send: Send) -> float:
        """Reads the answer of one send; returns the Retry-After, seconds."""
        router = self._site.routers_by_host[send.host]
        await self._thawed(send.host)
        try:
            if isinstance(record.request, PlainRequest):
                await router.serve_plain(record.request)
                await self._thawed(send.host)
                send.finished = True
                record.answers += 1
            else:
                await self._read(record, send)
        except OutcomeError as error:
            await self._thawed(send.host)
            send.outcome = error.outcome
            self._check_refusal(record, send)
            return error.retry_after_s or 0.0
        return 0.0

    def _check_refusal(self, record: CallerRecord, send: Send) -> None:
        """Notes a refusal as not run of a booking that has run."""
        request_id = record.request.id
        if getattr(record.request, 'idempotent', True):
            return
        runs = sum(
            plain.counters.executions_by_id.get(request_id, 0)
            for plain in self._site.plains_by_id.values()
        )
        if runs and send.not_run:
            record.false_refusals.append(f'refused after it ran: {send}')

    async def _read(self, record: CallerRecord, send: Send) -> None:
        """Reads a stream and checks every token against the expected one."""
        request = record.request
        assert isinstance(request, LanguageRequest)
        if send.first_index:
            request = dataclasses.replace(
                request, resume_after=send.first_index - 1
            )
        fingerprint = request.prompt.fingerprint
        length = output_length(fingerprint, request.max_tokens)
        router = self._site.routers_by_host[send.host]
        index = send.first_index
        events = router.serve_language(request)
        async with contextlib.aclosing(events):
            async for event in events:
                await self._thawed(send.host)
                stop = index + len(event.texts)
                expected = expected_tokens(fingerprint, index, stop)
                if event.index != index or event.texts != expected:
                    record.problems.append(f'wrong tokens at {index}')
                index = stop
                send.tokens += len(event.texts)
                if len(record.texts) < index:
                    missing = index - len(record.texts)
                    record.texts.extend(event.texts[-missing:])
                if event.finish_reason:
                    send.finished = True
                    record.answers += 1
                    if index != length:
                        record.problems.append(f'{index} of {length} tokens')


def _uuid7(now_s: float, rng: random.Random) -> str:
    """Returns a UUIDv7 whose random bits come from a seed."""
    time_bits = int(now_s * 1000) << 80
    version_bits = 7 << 76 | rng.getrandbits(12) << 64
    variant_bits = 2 << 62 | rng.getrandbits(62)
    return str(uuid.UUID(int=time_bits | version_bits | variant_bits))
