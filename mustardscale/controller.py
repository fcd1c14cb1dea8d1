"""The base class of controllers and the task group that keeps them running."""

from __future__ import annotations

import abc
import asyncio
import logging
import random
from collections.abc import Iterable

from mustardscale.outcomes import Outcome

log = logging.getLogger(__name__)

RESTART_DELAY_S = 0.5
# Share by which periodic work is spread, so that hosts do not act at once.
JITTER_SHARE = 0.1


class Controller(abc.ABC):
    """One job that reads and writes the blackboard."""

    @abc.abstractmethod
    async def run(self) -> None:
        """Works until cancelled."""


async def keep_running(controller: Controller) -> None:
    """Runs a controller and starts it again after an unexpected error."""
    while True:
        try:
            await controller.run()
            return
        except Exception:
            log.exception(
                'controller %s failed; starting it again',
                type(controller).__name__,
                extra={'code': Outcome.INTERNAL_ERROR},
            )
            await asyncio.sleep(RESTART_DELAY_S)


class RunningControllers:
    """Controllers that work side by side until they are stopped."""

    __slots__ = ('_tasks',)

    def __init__(self):
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, controllers: Iterable[Controller]) -> None:
        """Starts controllers; each is kept running."""
        self._tasks += [
            asyncio.create_task(keep_running(controller))
            for controller in controllers
        ]

    async def stop(self) -> None:
        """Stops all of them and waits for their end."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def pause(interval_s: float, rng: random.Random) -> None:
    """Sleeps for an interval, spread by JITTER_SHARE."""
    await asyncio.sleep(spread(interval_s, rng))


def spread(interval_s: float, rng: random.Random) -> float:
    """Returns an interval that is up to JITTER_SHARE longer or shorter."""
    return interval_s * (1.0 + JITTER_SHARE * (2.0 * rng.random() - 1.0))
