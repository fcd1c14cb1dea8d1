"""In-process network between a router under test and the stand-ins."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

T = TypeVar('T')


class NotConnectedError(Exception):
    """No connection was made; nothing was sent."""


class ConnectionCutError(Exception):
    """The call was sent and its answer did not arrive."""


def _always() -> bool:
    return True


@dataclasses.dataclass(slots=True)
class MemoryNetwork:
    """The way from one host to one stand-in.

    Attributes:
        delay_s: seconds that a message takes one way.
        timeout_s: seconds after which a call is given up.
        connect_timeout_s: seconds until a cut is noticed.
        reachable: whether messages between the two arrive now.
    """

    delay_s: float = 0.0015
    timeout_s: float = 2.0
    connect_timeout_s: float = 1.0
    reachable: Callable[[], bool] = _always

    async def connect(self) -> None:
        """Makes a connection.

        Raises:
            NotConnectedError: the stand-in cannot be reached.
        """
        if not self.reachable():
            await asyncio.sleep(self.connect_timeout_s)
            raise NotConnectedError('no connection')

    async def call(
        self,
        operation: Callable[[], Coroutine[Any, Any, T]],
        timeout_s: float | None = None,
    ) -> T:
        """Sends a call and returns its answer.

        The operation goes on at the stand-in when the caller gives up.

        Args:
            operation: begins what the stand-in does, once the call arrives.
            timeout_s: seconds until the call is given up, None for the
                network's own.

        Raises:
            ConnectionCutError: the answer did not arrive.
        """
        task = asyncio.ensure_future(self._deliver(operation))
        task.add_done_callback(_retrieve_exception)
        timeout_s = self.timeout_s if timeout_s is None else timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(task)
        except TimeoutError as error:
            raise ConnectionCutError('timeout') from error

    async def _deliver(
        self, operation: Callable[[], Coroutine[Any, Any, T]]
    ) -> T:
        await asyncio.sleep(self.delay_s)
        if not self.reachable():
            await self._break()
        try:
            result = await operation()
        except Exception:
            await self._return_answer()
            raise
        await self._return_answer()
        return result

    async def _return_answer(self) -> None:
        await asyncio.sleep(self.delay_s)
        if not self.reachable():
            await self._break()

    async def _break(self) -> None:
        await asyncio.sleep(self.connect_timeout_s)
        raise ConnectionCutError('connection cut')


def _retrieve_exception(task: asyncio.Future[Any]) -> None:
    if not task.cancelled():
        task.exception()
