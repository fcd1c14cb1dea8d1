"""Connections that callers keep between two requests, and watch meanwhile."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

WATCHED_BYTES = 65_536
# Connections that callers keep to one host at most.
MOST_KEPT = 6


class CallerConnection:
    """A connection of callers to a host.

    Attributes:
        reader: reads from it.
        writer: writes to it.
        has_ended: whether the host has closed it, or sent unasked bytes.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        self.reader = reader
        self.writer = writer
        self.has_ended = False
        self._watching: asyncio.Task[None] | None = None

    def watch(self, on_bytes: Callable[[bytes], None]) -> None:
        """Begins to watch for bytes while no request waits.

        Args:
            on_bytes: called with bytes that come.
        """
        self._watching = asyncio.create_task(self._watch(on_bytes))

    async def take(self) -> None:
        """Ends the watch, since a request is to be sent."""
        if self._watching is not None:
            self._watching.cancel()
            await asyncio.wait([self._watching])
            self._watching = None

    async def close(self) -> None:
        """Ends the watch and closes."""
        await self.take()
        self.writer.close()

    async def _watch(self, on_bytes: Callable[[bytes], None]) -> None:
        try:
            while data := await self.reader.read(WATCHED_BYTES):
                self.has_ended = True
                on_bytes(data)
        except OSError:
            pass
        self.has_ended = True


class KeptConnections:
    """The connections on which no request waits."""

    def __init__(self) -> None:
        self._kept_by_host: dict[str, list[CallerConnection]] = {}

    async def take(self, host: str) -> CallerConnection | None:
        """Returns an open connection to a host, None if there is none."""
        kept = self._kept_by_host.get(host, [])
        while kept:
            connection = kept.pop(0)
            await connection.take()
            if not connection.has_ended:
                return connection
            connection.writer.close()
        return None

    async def keep(
        self,
        host: str,
        connection: CallerConnection,
        on_bytes: Callable[[bytes], None],
    ) -> None:
        """Keeps a connection whose answer is complete.

        Args:
            host: the host that it leads to.
            connection: the connection.
            on_bytes: called with bytes that come unasked.
        """
        connection.watch(on_bytes)
        kept = self._kept_by_host.setdefault(host, [])
        kept.append(connection)
        if len(kept) > MOST_KEPT:
            await kept.pop(0).close()

    async def close(self) -> None:
        """Closes all connections."""
        for kept in self._kept_by_host.values():
            while kept:
                await kept.pop().close()
