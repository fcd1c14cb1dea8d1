"""Model of one endpoint of a plain service, on the event loop's clock."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import random
from collections.abc import Callable

from standins.faults import (
    Count,
    Gate,
    NonNegative,
    Probability,
    lose_answer,
)

# A call whose body contains this crashes the endpoint that runs it.
CRASH_MARK = b'CRASH-ENDPOINT'


class CrashPoint(enum.StrEnum):
    """When a marked call crashes the endpoint."""

    BEFORE_EXECUTION = 'before_execution'
    AFTER_EXECUTION = 'after_execution'


class NotListeningError(Exception):
    """The endpoint is down and takes no connection."""


class LeavingError(Exception):
    """The endpoint is leaving and did not take the call."""


class CrashedError(Exception):
    """The endpoint crashed with the call in flight."""


@dataclasses.dataclass(slots=True)
class PlainConditions:
    """Behaviour and faults of the endpoint; each may be changed at any time.

    Attributes:
        latency_s: seconds that an execution takes.
        leaving: whether calls are refused because the endpoint is leaving.
        frozen: whether calls are taken but not worked on.
        crash_point: when a marked call crashes the endpoint.
        restart_s: seconds for which the endpoint is down after a crash.
        lose_next_answers: how many of the next answers are lost.
        lose_answer_probability: share of the other answers that is lost.
    """

    latency_s: NonNegative = 0.01
    leaving: bool = False
    frozen: bool = False
    crash_point: CrashPoint = CrashPoint.BEFORE_EXECUTION
    restart_s: NonNegative = 1.0
    lose_next_answers: Count = 0
    lose_answer_probability: Probability = 0.0


@dataclasses.dataclass(slots=True)
class PlainCounters:
    """What the endpoint has done since its start.

    Attributes:
        executions_by_id: executions begun, by the call's id.
        refused_leaving: calls refused because the endpoint is leaving.
        crashes: crashes.
        answers_lost: executions whose answer was lost without a crash.
        running: executions under way.
    """

    executions_by_id: dict[str, int] = dataclasses.field(default_factory=dict)
    refused_leaving: int = 0
    crashes: int = 0
    answers_lost: int = 0
    running: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PlainResult:
    """The content of an answer.

    Attributes:
        id: the id of the call that is answered.
        execution: how many times the endpoint has executed this id.
        method: the call's method.
        path: the call's path.
        body_bytes: length of the call's body.
    """

    id: str
    execution: int
    method: str
    path: str
    body_bytes: int


class PlainModel:
    """One endpoint, which counts each execution by id.

    Attributes:
        conditions: behaviour and faults.
        counters: what it has done.
        down: whether it is restarting after a crash.
        on_crash: called at each crash.
    """

    __slots__ = (
        '_crash',
        '_gate',
        '_rng',
        '_slots',
        'conditions',
        'counters',
        'down',
        'on_crash',
    )

    def __init__(
        self,
        rng: random.Random,
        conditions: PlainConditions | None = None,
        capacity: int = 64,
    ):
        """Makes an endpoint.

        Args:
            rng: source of random choices.
            conditions: behaviour and faults.
            capacity: executions at the same time; further calls wait.
        """
        self.conditions = conditions or PlainConditions()
        self.counters = PlainCounters()
        self.down = False
        self.on_crash: Callable[[], None] | None = None
        self._gate = Gate(lambda: self.conditions.frozen)
        self._rng = rng
        self._slots = asyncio.Semaphore(capacity)
        self._crash = asyncio.Event()

    async def run(
        self, request_id: str, method: str, path: str, body: bytes
    ) -> PlainResult:
        """Runs a call.

        Raises:
            NotListeningError: the endpoint is down.
            LeavingError: the call was refused; it is not executed.
            CrashedError: the endpoint crashed before the answer was ready.
            AnswerLostError: executed, but the answer is not delivered.
        """
        if self.down:
            raise NotListeningError()
        crash = self._crash
        await self._gate.wait()
        if self.conditions.leaving and not crash.is_set():
            self.counters.refused_leaving += 1
            raise LeavingError()
        async with self._slots:
            if crash.is_set():
                raise CrashedError()
            self._crash_if(body, CrashPoint.BEFORE_EXECUTION)
            execution = self._count(request_id)
            await self._execute(crash)
        await self._gate.wait()
        if crash.is_set():
            raise CrashedError()
        self._crash_if(body, CrashPoint.AFTER_EXECUTION)
        self._lose_answer()
        return PlainResult(request_id, execution, method, path, len(body))

    def crash(self) -> None:
        """Crashes the endpoint; it restarts after its restart time."""
        self.counters.crashes += 1
        self.down = True
        self._crash.set()
        if self.on_crash is not None:
            self.on_crash()
        loop = asyncio.get_running_loop()
        loop.call_later(self.conditions.restart_s, self._restart)

    def _restart(self) -> None:
        self.down = False
        self._crash = asyncio.Event()

    def _crash_if(self, body: bytes, point: CrashPoint) -> None:
        if CRASH_MARK in body and self.conditions.crash_point is point:
            self.crash()
            raise CrashedError()

    def _count(self, request_id: str) -> int:
        count_by_id = self.counters.executions_by_id
        count_by_id[request_id] = count_by_id.get(request_id, 0) + 1
        return count_by_id[request_id]

    async def _execute(self, crash: asyncio.Event) -> None:
        self.counters.running += 1
        try:
            async with asyncio.timeout(self.conditions.latency_s):
                await crash.wait()
        except TimeoutError:
            return
        finally:
            self.counters.running -= 1
        raise CrashedError()

    def _lose_answer(self) -> None:
        try:
            lose_answer(self.conditions, self._rng)
        except Exception:
            self.counters.answers_lost += 1
            raise
