"""Model of the platform's append-only log, on the event loop's clock."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random

from mustardscale.log.log_client import LogPage, LogRecord
from standins.faults import (
    Count,
    NonNegative,
    Outage,
    Positive,
    Probability,
    StandinRefusedError,
    lose_answer,
    outage_gate,
    pass_disruption,
)


@dataclasses.dataclass(slots=True)
class LogConditions:
    """Limits and faults of the log; each may be changed at any time.

    Attributes:
        appends_per_s: append calls taken in a second, over all streams.
        burst_s: seconds of that rate that may be used at once.
        retention_s: seconds for which a record is kept.
        retention_records: records kept in each stream.
        outage: whether calls are refused or hang.
        delay_s: seconds that each call takes in addition.
        lose_next_answers: how many of the next appends lose their answer.
        lose_answer_probability: share of the other appends that lose it.
        cut_hosts: ids of hosts whose calls are refused by the server.
    """

    appends_per_s: Positive = 400.0
    burst_s: NonNegative = 0.25
    retention_s: NonNegative = 3600.0
    retention_records: Count = 1_000_000
    outage: Outage = Outage.NONE
    delay_s: NonNegative = 0.0
    lose_next_answers: Count = 0
    lose_answer_probability: Probability = 0.0
    cut_hosts: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class LogCounters:
    """What the log has done since its start.

    Attributes:
        appends: append calls that took effect.
        appends_refused: append calls over the rate.
        answers_lost: appends whose answer was lost.
        records: records appended.
        bytes_appended: bytes of those records.
        reads: read calls answered.
        bytes_read: bytes of the records read.
    """

    appends: int = 0
    appends_refused: int = 0
    answers_lost: int = 0
    records: int = 0
    bytes_appended: int = 0
    reads: int = 0
    bytes_read: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _KeptRecord:
    record: LogRecord
    appended_at: float


class _Stream:
    """The records of one stream that are still kept."""

    __slots__ = ('end_offset', 'kept', 'waiters')

    def __init__(self) -> None:
        self.kept: collections.deque[_KeptRecord] = collections.deque()
        self.end_offset = 0
        self.waiters: set[asyncio.Future[None]] = set()

    def append(self, payload: bytes, now: float) -> int:
        self.end_offset += 1
        record = LogRecord(self.end_offset, payload)
        self.kept.append(_KeptRecord(record, now))
        return self.end_offset

    def drop_expired(self, conditions: LogConditions, now: float) -> None:
        oldest_time = now - conditions.retention_s
        while self.kept and (
            len(self.kept) > conditions.retention_records
            or self.kept[0].appended_at < oldest_time
        ):
            self.kept.popleft()

    def page(self, after: int, limit: int) -> LogPage:
        first_offset = self.end_offset - len(self.kept) + 1
        start = max(0, after + 1 - first_offset)
        stop = min(len(self.kept), start + limit)
        records = tuple(self.kept[i].record for i in range(start, stop))
        return LogPage(records, first_offset, self.end_offset)

    def wake(self) -> None:
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self, timeout_s: float) -> None:
        loop = asyncio.get_running_loop()
        waiter = loop.create_future()
        self.waiters.add(waiter)
        try:
            await asyncio.wait([waiter], timeout=timeout_s)
        finally:
            self.waiters.discard(waiter)


class LogModel:
    """The log service.

    Attributes:
        conditions: limits and faults.
        counters: what it has done.
    """

    __slots__ = (
        '_calls_allowed',
        '_gate',
        '_refilled_at',
        '_rng',
        '_stream_by_name',
        'conditions',
        'counters',
    )

    def __init__(
        self, rng: random.Random, conditions: LogConditions | None = None
    ):
        self.conditions = conditions or LogConditions()
        self.counters = LogCounters()
        self._gate = outage_gate(self.conditions)
        self._rng = rng
        self._stream_by_name: collections.defaultdict[str, _Stream] = (
            collections.defaultdict(_Stream)
        )
        self._calls_allowed = 0.0
        self._refilled_at: float | None = None

    async def append(
        self, stream: str, payloads: list[bytes], after: int | None = None
    ) -> list[int]:
        """Appends records as one call and returns their offsets.

        Raises:
            StandinRefusedError: over the rate or out; nothing was appended.
            AnswerLostError: the records were appended.
        """
        await pass_disruption(self.conditions, self._gate)
        now = asyncio.get_running_loop().time()
        self._take_call(now)
        kept = self._stream_by_name[stream]
        offsets = [kept.append(payload, now) for payload in payloads]
        kept.drop_expired(self.conditions, now)
        kept.wake()
        self.counters.appends += 1
        self.counters.records += len(payloads)
        self.counters.bytes_appended += sum(map(len, payloads))
        self._lose_answer()
        return offsets

    async def read(
        self, stream: str, after: int, limit: int, wait_s: float
    ) -> LogPage:
        """Reads records, waiting for a first one if there is none.

        Raises:
            StandinRefusedError: the log is out.
        """
        await pass_disruption(self.conditions, self._gate)
        page = self._page(stream, after, limit)
        if not page.records and wait_s > 0:
            await self._stream_by_name[stream].wait(wait_s)
            await pass_disruption(self.conditions, self._gate)
            page = self._page(stream, after, limit)
        self.counters.reads += 1
        self.counters.bytes_read += sum(len(r.payload) for r in page.records)
        return page

    def peek(self, stream: str, after: int) -> LogPage:
        """Returns the records after an offset, for judging, without faults."""
        kept = self._stream_by_name[stream]
        return kept.page(after, len(kept.kept))

    def _page(self, stream: str, after: int, limit: int) -> LogPage:
        kept = self._stream_by_name[stream]
        kept.drop_expired(self.conditions, asyncio.get_running_loop().time())
        return kept.page(after, limit)

    def _take_call(self, now: float) -> None:
        rate = self.conditions.appends_per_s
        burst = max(1.0, rate * self.conditions.burst_s)
        if self._refilled_at is None:
            self._calls_allowed = burst
        else:
            refill = (now - self._refilled_at) * rate
            self._calls_allowed = min(burst, self._calls_allowed + refill)
        self._refilled_at = now
        if self._calls_allowed < 1.0:
            self.counters.appends_refused += 1
            missing = 1.0 - self._calls_allowed
            raise StandinRefusedError('append rate', missing / rate)
        self._calls_allowed -= 1.0

    def _lose_answer(self) -> None:
        try:
            lose_answer(self.conditions, self._rng)
        except Exception:
            self.counters.answers_lost += 1
            raise
