"""Deadline for reading from an asynchronous generator."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator
from typing import TypeVar

T = TypeVar('T')


class StepDeadline:
    """Ends the waits of one task at a deadline, with a single timer.

    asyncio.timeout_at() must not span a yield of a generator, because its timer
    would then cancel whatever the consumer of the generator is doing. It would
    need a new timer for each wait.
    """

    __slots__ = ('_cancelled', '_expired', '_timer', '_waiting')

    def __init__(self, deadline_at: float):
        """Starts the timer.

        Args:
            deadline_at: loop time of the deadline, seconds.
        """
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(deadline_at, self._expire)
        self._expired = loop.time() >= deadline_at
        self._cancelled = False
        self._waiting: asyncio.Task[object] | None = None

    async def next_item(self, items: AsyncIterator[T]) -> T:
        """Returns the next item.

        Raises:
            TimeoutError: the deadline has passed; a pending read of the next
                item was cancelled.
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
    """Yields events until a deadline.

    Raises:
        TimeoutError: the deadline has passed before the events ended.
    """
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
