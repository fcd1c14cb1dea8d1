"""Callers of a soak, and what they and the workers saw."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random
from collections.abc import Collection, Iterable, Mapping

import aiohttp

from standins.platform_plan import HOST
from standins.platform_worker import EVENTS, PlatformWorker
from standins.promise_checks import Promise, Violation

DEADLINE_MS = 4_000
# Time after which a caller gives up, beyond its deadline, seconds.
MARGIN_S = 2.0
PAUSE_S = 0.05
# Statuses that promise that a request has not run and never will.
NOT_RUN = (408, 421, 429, 503)
MOST_ATTEMPTS = 2
WHOLE_STREAM = b''.join(
    b'id: %d\ndata: %d\n\n' % (number, number)
    for number in range(1, EVENTS + 1)
)
ROUTES = ('book', 'read', 'chat', 'once')


@dataclasses.dataclass(slots=True)
class SoakRecord:
    """What a caller saw of one request.

    Attributes:
        id: its id.
        route: name of its route.
        at: loop time at which it was sent.
        status: status of the answer, 0 for none.
        answered_id: id that the answer bears.
        body: what came of the answer.
        whole: whether the answer ended as a whole one.
    """

    id: str
    route: str
    at: float
    status: int = 0
    answered_id: str = ''
    body: bytes = b''
    whole: bool = False

    @property
    def served(self) -> bool:
        """Whether it was answered with success."""
        return self.whole and self.status == 200


class SoakCallers:
    """Callers that send one request after the other.

    Attributes:
        records: the requests in the order in which they were sent.
    """

    def __init__(
        self, address_by_host: Mapping[str, str], rng: random.Random, tag: str
    ):
        self.records: list[SoakRecord] = []
        self._addresses = list(address_by_host.values())
        self._rng = rng
        self._tag = tag

    def leave(self, address: str) -> None:
        """Sends nothing more to a host."""
        self._addresses.remove(address)

    async def run(self, callers: int, until: float) -> None:
        """Sends requests until a loop time."""
        async with asyncio.TaskGroup() as group:
            for _ in range(callers):
                group.create_task(self._call_on(until))

    async def _call_on(self, until: float) -> None:
        loop = asyncio.get_running_loop()
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(DEADLINE_MS / 1000 + MARGIN_S)
        ) as session:
            while loop.time() < until:
                await self.ask(session)
                await asyncio.sleep(self._rng.expovariate(1 / PAUSE_S))

    async def ask(self, session: aiohttp.ClientSession) -> SoakRecord:
        """Sends one request and notes its end."""
        route = self._rng.choice(ROUTES)
        record = SoakRecord(
            f'{self._tag}-{len(self.records)}',
            route,
            asyncio.get_running_loop().time(),
        )
        self.records.append(record)
        headers = {
            'Host': HOST,
            'X-Request-Id': record.id,
            'X-Request-Deadline': str(DEADLINE_MS),
        }
        if route in ('chat', 'once'):
            headers |= {'X-Token-Usage': '1000,500', 'X-Length-Hint': '300'}
        url = f'http://{self._rng.choice(self._addresses)}/{route}/x'
        try:
            async with session.post(
                url, headers=headers, data=b'body'
            ) as response:
                record.status = response.status
                record.answered_id = response.headers.get('X-Request-Id', '')
                async for chunk in response.content.iter_any():
                    record.body += chunk
                record.whole = True
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass
        return record


def judge(
    records: Iterable[SoakRecord], workers: Collection[PlatformWorker]
) -> list[Violation]:
    """Compares what callers were told with what workers ran and allowed."""
    runs = collections.Counter(
        request_id for worker in workers for request_id in worker.ran
    )
    violations: list[Violation] = []
    for record in records:
        count = runs[record.id]
        texts: dict[Promise, bool] = {
            Promise.AT_MOST_ONCE: count > 1
            and record.route in ('book', 'once'),
            Promise.ANSWERED_ONCE: count > MOST_ATTEMPTS,
            Promise.NOT_RUN_IS_TRUE: record.status in NOT_RUN and count > 0,
            Promise.WHOLE_ANSWER: record.served and not _is_right(record),
        }
        violations += [
            Violation(promise, record.at, f'{record}, run {count} times')
            for promise, broken in texts.items()
            if broken
        ]
    violations += [
        Violation(Promise.LIMIT_KEPT, worker.arrivals.phases[0].began_at, text)
        for worker in workers
        for text in worker.arrivals.violations()
    ]
    return violations


def _is_right(record: SoakRecord) -> bool:
    wanted = b'whole body'
    if record.route in ('chat', 'once'):
        wanted = WHOLE_STREAM
    return record.body == wanted and record.answered_id == record.id
