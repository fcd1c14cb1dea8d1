"""An engine's memory, allotted in pieces."""

from __future__ import annotations

import asyncio
import heapq
import itertools


class PieceMemory:
    """Counts pieces; who waits is served by rank, then by arrival."""

    __slots__ = ('_arrivals', '_waiting', 'free', 'total')

    def __init__(self, total: int):
        self.total = total
        self.free = total
        self._arrivals = itertools.count()
        self._waiting: list[tuple[int, int, int, asyncio.Future[None]]] = []

    def try_acquire(self, pieces: int) -> bool:
        """Takes pieces if they are free."""
        if pieces > self.free:
            return False
        self.free -= pieces
        return True

    async def acquire(self, pieces: int, rank: int) -> None:
        """Waits until pieces are free and takes them; a lower rank is first."""
        future = asyncio.get_running_loop().create_future()
        entry = (rank, next(self._arrivals), pieces, future)
        heapq.heappush(self._waiting, entry)
        self.serve_waiting()
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.release(pieces)
            else:
                self._withdraw(entry)
            raise

    def release(self, pieces: int) -> None:
        """Gives pieces back and serves those that wait."""
        self.free += pieces
        self.serve_waiting()

    def serve_waiting(self) -> None:
        """Hands free pieces to those that wait, in order."""
        while self._waiting:
            _, _, pieces, future = self._waiting[0]
            if not future.done():
                if pieces > self.free:
                    return
                self.free -= pieces
                future.set_result(None)
            heapq.heappop(self._waiting)

    def _withdraw(
        self, entry: tuple[int, int, int, asyncio.Future[None]]
    ) -> None:
        if entry in self._waiting:
            self._waiting.remove(entry)
            heapq.heapify(self._waiting)
        self.serve_waiting()
