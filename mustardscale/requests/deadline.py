"""A deadline for the steps of an asynchronous generator."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator
from typing import TypeVar

T = TypeVar('T')


class StepDeadline:
    """Limits the waits of one task until a point in time, with one timer.

    asyncio.timeout_at() would need a timer for each wait: it must not span a
    yield of a generator, since the timer would then cancel whatever the
    consumer of the generator is doing.
    """

    __slots__ = ('_cancelled', '_expired', '_timer', '_waiting')

    def __init__(self, deadline_at: float):
        """Starts the timer.

        Args:
            deadline_at: loop time of the deadline.
        """
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(deadline_at, self._expire)
        self._expired = loop.time() >= deadline_at
        self._cancelled = False
        self._waiting: asyncio.Task[object] | None = None

    async def next_item(self, items: AsyncIterator[T]) -> T:
        """Returns the next item.

        Raises:
            TimeoutError: the deadline has come; what waited is cancelled.
            StopAsyncIteration: there are no more items.
        """
        if self._expired:
            raise TimeoutError
        task = asyncio.current_task()
        assert task is not None
        cancelling = task.cancelling()
        self._waiting = task
        try:
            return await anext(items)
        except asyncio.CancelledError as error:
            if self._cancelled and task.uncancel() <= cancelling:
                raise TimeoutError from error
            raise
        finally:
            self._waiting = None

    def close(self) -> None:
        """Stops the timer."""
        self._timer.cancel()

    def _expire(self) -> None:
        self._expired = True
        if self._waiting is not None:
            self._cancelled = True
            self._waiting.cancel()


async def yield_until(
    events: AsyncGenerator[T, None], deadline_at: float
) -> AsyncGenerator[T, None]:
    """Yields events until a deadline, which raises TimeoutError."""
    deadline = StepDeadline(deadline_at)
    try:
        while True:
            try:
                event = await deadline.next_item(events)
            except StopAsyncIteration:
                return
            yield event
    finally:
        deadline.close()
