"""Conditions, errors and counters that the stand-ins share."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import random
from collections.abc import Callable
from typing import Annotated, Any, Protocol

import msgspec

Positive = Annotated[float, msgspec.Meta(gt=0)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]
Probability = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=0)]

# Seconds after which a call refused in an outage may be sent again.
OUTAGE_RETRY_AFTER_S = 1.0
# Seconds between two looks at whether a suspended stand-in goes on.
SUSPENDED_POLL_S = 0.05


class Outage(enum.StrEnum):
    """How a stand-in that is out behaves."""

    NONE = 'none'
    REFUSE = 'refuse'
    HANG = 'hang'


class StandinRefusedError(Exception):
    """The stand-in refused a call; nothing took effect.

    Attributes:
        retry_after_s: seconds after which a new call may succeed.
    """

    def __init__(self, reason: str, retry_after_s: float):
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class AnswerLostError(Exception):
    """The call took effect, but its answer is not delivered."""


class Disruption(Protocol):
    """The conditions that disturb calls to a stand-in.

    Attributes:
        outage: whether calls are refused or hang.
        delay_s: seconds that each call takes in addition.
    """

    outage: Outage
    delay_s: float


class AnswerLoss(Protocol):
    """The conditions under which answers are lost.

    Attributes:
        lose_next_answers: how many of the next answers are lost.
        lose_answer_probability: share of the other answers that is lost.
    """

    lose_next_answers: int
    lose_answer_probability: float


class Gate:
    """Holds calls back while a condition lasts.

    Conditions are plain fields, so no event marks their change; one timer
    looks at them for all calls that wait.
    """

    __slots__ = ('_closed', '_opened')

    def __init__(self, closed: Callable[[], bool]):
        self._closed = closed
        self._opened: asyncio.Event | None = None

    async def wait(self) -> None:
        """Waits until the gate is open."""
        while self._closed():
            if self._opened is None:
                self._opened = asyncio.Event()
                self._look_later()
            await self._opened.wait()

    def _look_later(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(SUSPENDED_POLL_S, self._look)

    def _look(self) -> None:
        if self._closed():
            self._look_later()
        elif self._opened is not None:
            self._opened.set()
            self._opened = None


async def pass_disruption(conditions: Disruption, gate: Gate) -> None:
    """Waits while calls hang or are slow.

    A call that hung goes on after the outage, also when its caller has left.

    Args:
        conditions: what disturbs the call.
        gate: closed while calls hang.

    Raises:
        StandinRefusedError: an outage in which calls are refused.
    """
    if conditions.delay_s > 0:
        await asyncio.sleep(conditions.delay_s)
    await gate.wait()
    if conditions.outage is Outage.REFUSE:
        raise StandinRefusedError('outage', OUTAGE_RETRY_AFTER_S)


def outage_gate(conditions: Disruption) -> Gate:
    """Makes a gate that is closed during an outage in which calls hang."""
    return Gate(lambda: conditions.outage is Outage.HANG)


def lose_answer(conditions: AnswerLoss, rng: random.Random) -> None:
    """Decides whether the answer of a call is lost.

    Raises:
        AnswerLostError: it is lost.
    """
    if conditions.lose_next_answers > 0:
        conditions.lose_next_answers -= 1
        raise AnswerLostError()
    probability = conditions.lose_answer_probability
    if probability > 0 and rng.random() < probability:
        raise AnswerLostError()


def update_fields(target: Any, changes: dict[str, Any]) -> None:
    """Sets fields of a dataclass from JSON values; all of them or none.

    Args:
        target: the dataclass instance.
        changes: new values by field name.

    Raises:
        ValueError: a field is unknown or a value is not allowed.
    """
    values = dataclasses.asdict(target)
    unknown = changes.keys() - values.keys()
    if unknown:
        raise ValueError(f'unknown fields: {sorted(unknown)}')
    updated = msgspec.convert(values | changes, type(target), strict=False)
    for name in changes:
        setattr(target, name, getattr(updated, name))
