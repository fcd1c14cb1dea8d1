"""Counts the requests in progress, so that a host can drain."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator

from mustardscale.exceptions import OutcomeError
from mustardscale.outcomes import Outcome

DRAINING_RETRY_AFTER_S = 1.0


class ActiveRequests:
    """The requests in progress at this host.

    Attributes:
        accepting: whether new requests are taken.
        count: number of requests in progress.
        ending: whether those that have no answer yet must end at once.
    """

    __slots__ = ('_idle', '_timeouts', 'accepting', 'count', 'ending')

    def __init__(self):
        self.accepting = True
        self.count = 0
        self.ending = False
        self._timeouts: set[asyncio.Timeout] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    def enter(self) -> None:
        """Counts a request in.

        Raises:
            OutcomeError: DRAINING, no new requests are taken.
        """
        if not self.accepting:
            raise OutcomeError(
                Outcome.DRAINING, retry_after_s=DRAINING_RETRY_AFTER_S
            )
        self.count += 1
        self._idle.clear()

    def leave(self) -> None:
        """Counts a request out."""
        self.count -= 1
        if not self.count:
            self._idle.set()

    @contextlib.contextmanager
    def watch(self, timeout: asyncio.Timeout) -> Iterator[None]:
        """Lets end_unanswered() end the work under a timeout that is running.

        Args:
            timeout: the timeout of the wait for an answer.
        """
        self._timeouts.add(timeout)
        try:
            yield
        finally:
            self._timeouts.discard(timeout)

    def end_unanswered(self) -> None:
        """Ends the waits for answers, so that callers are told at once."""
        self.ending = True
        now = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            if not timeout.expired():
                timeout.reschedule(now)

    async def wait_idle(self) -> None:
        """Waits until no request is in progress."""
        await self._idle.wait()
