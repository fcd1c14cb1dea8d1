"""One call whose result serves all who ask for it at the same time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

ResultT = TypeVar('ResultT')


class SharedCall(Generic[ResultT]):
    """Shares the results of a call among those who need a fresh one.

    Whoever asks gets the result of a call that begins afterwards. One call is
    in progress at a time, and the next one serves all who have come meanwhile.

    Attributes:
        count: number of calls made.
    """

    __slots__ = ('_begun_at', '_call', '_next', '_pause_s', '_running', 'count')

    def __init__(
        self,
        call: Callable[[], Awaitable[ResultT]],
        pause_s: Callable[[], float],
    ):
        """Prepares the calls.

        Args:
            call: makes one call. It must end by itself.
            pause_s: returns the seconds from the beginning of a call to that
                of the next one at least.
        """
        self._call = call
        self._pause_s = pause_s
        self._running: asyncio.Task[ResultT] | None = None
        self._next: asyncio.Task[ResultT] | None = None
        self._begun_at: float | None = None
        self.count = 0

    async def run(self) -> ResultT:
        """Returns the result of a call that begins now or later.

        Raises:
            Exception: what the call raised.
        """
        if self._next is None:
            self._next = asyncio.create_task(self._run_next(self._running))
            self._next.add_done_callback(_retrieve_error)
        return await asyncio.shield(self._next)

    async def _run_next(
        self, previous: asyncio.Task[ResultT] | None
    ) -> ResultT:
        loop = asyncio.get_running_loop()
        if previous is not None and not previous.done():
            await asyncio.wait([previous])
        if self._begun_at is not None:
            begins_at = self._begun_at + self._pause_s()
            await asyncio.sleep(max(0.0, begins_at - loop.time()))
        self._running, self._next = self._next, None
        self._begun_at = loop.time()
        self.count += 1
        return await self._call()


def _retrieve_error(call: asyncio.Task[ResultT]) -> None:
    """Takes the error of a call for which nobody may wait any more."""
    if not call.cancelled():
        call.exception()
