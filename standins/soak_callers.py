"""Callers of a soak, and what they and the workers saw."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random
import re
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
# Times that a caller takes a broken stream up.
MOST_TAKES = 2
_EVENT = re.compile(rb'id: [^\n]*\ndata: [^\n]*\n\n')
_VERSION = re.compile(rb' (v[0-9]+)\n')
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
        first_id: id of the send that brought the first event of its stream, if
            it takes one up.
        before: the whole events that came in earlier sends.
    """

    id: str
    route: str
    at: float
    status: int = 0
    answered_id: str = ''
    body: bytes = b''
    whole: bool = False
    first_id: str = ''
    before: bytes = b''

    @property
    def events(self) -> bytes:
        """The whole events of the stream so far."""
        return self.before + b''.join(_EVENT.findall(self.body))

    @property
    def versions(self) -> set[bytes]:
        """The software versions that wrote events of the stream."""
        return set(_VERSION.findall(self.events))

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
        """Sends one request, takes its stream up, and notes the end."""
        record = await self._send(session, self._rng.choice(ROUTES))
        for _ in range(MOST_TAKES):
            breaks_off = record.route == 'chat' and not record.whole
            if not breaks_off or not record.events:
                break
            record = await self._send(session, 'chat', record)
        return record

    async def _send(
        self,
        session: aiohttp.ClientSession,
        route: str,
        earlier: SoakRecord | None = None,
    ) -> SoakRecord:
        """Sends one request.

        Args:
            session: makes connections.
            route: the route.
            earlier: the send whose stream it takes up.
        """
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
        if earlier is not None:
            record.first_id = earlier.first_id or earlier.id
            record.before = earlier.events
            headers |= {
                'Resumes': record.first_id,
                'Last-Event-Id': str(record.before.count(b'id:')),
            }
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
            Promise.ONE_VERSION: len(record.versions) > 1,
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
        events = record.before + record.body
        return (
            _VERSION.sub(b'\\n', events) == WHOLE_STREAM
            and record.answered_id == record.id
        )
    return record.body == wanted and record.answered_id == record.id
