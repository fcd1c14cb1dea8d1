"""Counts the requests in progress, so that a host can drain."""

from __future__ import annotations

import asyncio

from mustardscale.exceptions import OutcomeError
from mustardscale.outcomes import Outcome

DRAINING_RETRY_AFTER_S = 1.0


class ActiveRequests:
    """The requests in progress at this host.

    Attributes:
        accepting: whether new requests are taken.
        count: number of requests in progress.
    """

    __slots__ = ('_idle', 'accepting', 'count')

    def __init__(self):
        self.accepting = True
        self.count = 0
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

    async def wait_idle(self) -> None:
        """Waits until no request is in progress."""
        await self._idle.wait()
