"""The callers of a replay: they send recorded requests and note the answers."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import Callable, Coroutine
from typing import Any

from bench.deployments import CALLER_DELAY_S
from bench.workloads import Arrival
from mustardscale.configuration.config_records import ServiceKind
from mustardscale.endpoints.caller_requests import LanguageRequest, PlainRequest
from mustardscale.exceptions import OutcomeError
from mustardscale.outcomes import Outcome
from mustardscale.router import Router
from standins.memory_site import MemorySite

# Sends of one request at most, when entry hosts die.
MAX_SENDS = 4
# Seconds until a caller notices that its entry host died.
NOTICE_S = 0.2


@dataclasses.dataclass(slots=True)
class CallRecord:
    """What became of one recorded request.

    Attributes:
        arrival: the request.
        sent_at: loop time at which it was sent.
        texts: tokens received.
        first_at: loop time of the first token, or None.
        last_at: loop time of the last token, or None.
        complete: whether the answer was declared complete.
        cancelled: whether the caller cancelled.
        disordered: whether tokens came twice or with a gap.
        outcome: the last error code, or None.
    """

    arrival: Arrival
    sent_at: float
    texts: list[str] = dataclasses.field(default_factory=list)
    first_at: float | None = None
    last_at: float | None = None
    complete: bool = False
    cancelled: bool = False
    disordered: bool = False
    outcome: Outcome | None = None

    @property
    def first_token_s(self) -> float | None:
        """Seconds from sending to the first token at the caller."""
        if self.first_at is None:
            return None
        return self.first_at - self.sent_at

    @property
    def per_token_s(self) -> float:
        """Mean seconds between tokens, 0 for fewer than two."""
        if self.first_at is None or self.last_at is None:
            return 0.0
        return (self.last_at - self.first_at) / max(1, len(self.texts) - 1)


Send = Callable[[Router, CallRecord, int], Coroutine[Any, Any, None]]


class HostLostError(Exception):
    """The entry host died during a call."""


class Callers:
    """Sends requests through the entry hosts that are up.

    Attributes:
        records: one for each request sent.
    """

    def __init__(self, site: MemorySite, rng: random.Random):
        self._site = site
        self._rng = rng
        self._lost_by_host: dict[str, asyncio.Event] = {
            host: asyncio.Event() for host in site.routers_by_host
        }
        self.records: list[CallRecord] = []

    async def kill_host(self, host: str) -> None:
        """Kills an entry host; its callers notice a little later."""
        await self._site.kill_host(host)
        self._lost_by_host[host].set()

    async def call(self, arrival: Arrival) -> CallRecord:
        """Sends one request and follows it to its end."""
        loop = asyncio.get_running_loop()
        record = CallRecord(arrival, loop.time())
        self.records.append(record)
        plain = arrival.kind is ServiceKind.PLAIN
        send = self._send_plain if plain else self._send_language
        try:
            async with asyncio.timeout(arrival.cancel_after_s):
                await self._send_until_answered(record, send)
        except TimeoutError:
            record.cancelled = True
        return record

    async def _send_until_answered(
        self, record: CallRecord, send: Send
    ) -> None:
        await asyncio.sleep(CALLER_DELAY_S)
        for number in range(MAX_SENDS):
            host = self._rng.choice(sorted(self._site.routers_by_host))
            router = self._site.routers_by_host[host]
            try:
                await self._with_host(host, send(router, record, number))
            except HostLostError:
                await asyncio.sleep(NOTICE_S)
            except OutcomeError as error:
                record.outcome = error.outcome
                if not number or not error.retry_after_s:
                    return
                # Who lost an answer under way asks again.
                await asyncio.sleep(error.retry_after_s)
            else:
                record.outcome = None
                return

    async def _with_host(
        self, host: str, operation: Coroutine[Any, Any, None]
    ) -> None:
        """Runs an operation, which is cut off if the host dies."""
        lost = asyncio.create_task(self._lost_by_host[host].wait())
        work = asyncio.create_task(operation)
        try:
            await asyncio.wait(
                (lost, work), return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                raise HostLostError
            await work
        finally:
            lost.cancel()
            work.cancel()
            await asyncio.gather(lost, work, return_exceptions=True)

    async def _send_language(
        self, router: Router, record: CallRecord, number: int
    ) -> None:
        arrival = record.arrival
        request = LanguageRequest(
            arrival.request_id,
            arrival.service,
            arrival.prompt,
            arrival.max_tokens,
            resume_after=len(record.texts) - 1 if number else None,
        )
        loop = asyncio.get_running_loop()
        events = router.serve_language(request)
        async with contextlib.aclosing(events):
            async for event in events:
                if event.index != len(record.texts):
                    record.disordered = True
                record.texts.extend(event.texts)
                record.last_at = loop.time() + CALLER_DELAY_S
                if record.first_at is None:
                    record.first_at = record.last_at
                record.complete = bool(event.finish_reason)

    async def _send_plain(
        self, router: Router, record: CallRecord, number: int
    ) -> None:
        arrival = record.arrival
        request = PlainRequest(
            arrival.request_id,
            arrival.service,
            'GET' if arrival.idempotent else 'POST',
            '/',
            (),
            b'',
            arrival.idempotent,
        )
        answer = await router.serve_plain(request)
        loop = asyncio.get_running_loop()
        record.first_at = record.last_at = loop.time() + CALLER_DELAY_S
        record.complete = answer.status == 200
