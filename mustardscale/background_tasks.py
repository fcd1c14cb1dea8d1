"""Work that is started and not waited for."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

from mustardscale.outcomes import Outcome

log = logging.getLogger(__name__)


class BackgroundTasks:
    """Keeps tasks alive until they end; a failure is logged."""

    __slots__ = ('_tasks',)

    def __init__(self):
        self._tasks: set[asyncio.Task[object]] = set()

    def __len__(self) -> int:
        """Returns the number of tasks that run."""
        return len(self._tasks)

    def start(
        self, coroutine: Coroutine[Any, Any, object]
    ) -> asyncio.Task[object]:
        """Runs a coroutine as a task of its own and returns the task."""
        task: asyncio.Task[object] = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    async def wait_idle(self) -> None:
        """Waits until no task runs."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def cancel(self) -> None:
        """Cancels all tasks."""
        for task in self._tasks:
            task.cancel()

    def _finish(self, task: asyncio.Task[object]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error(
                'background task failed',
                exc_info=task.exception(),
                extra={'code': Outcome.INTERNAL_ERROR},
            )
