"""Links between hosts and a worker, which can be cut host by host."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import re
import socket
import struct

from standins.reserved_ports import address_of, reserve_port

_CHUNK_BYTES = 65_536
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_REQUEST_ID = re.compile(rb'\r\nx-request-id: *([^\r]+)\r\n', re.IGNORECASE)
_PREFILL = re.compile(rb'\r\nx-serving-phase:', re.IGNORECASE)


class LinkCut(enum.StrEnum):
    """What a cut does to connections.

    Attributes:
        HANG: nothing passes, and new connections get no reply.
        REFUSED: new connections are refused, open ones are reset.
        RESET: new connections are reset once made, and open ones at once.
        NEW_ONLY: new connections are refused, open ones live on.
        HANG_THEN_RESET: as HANG, and all are reset when the cut ends.
    """

    HANG = 'hang'
    REFUSED = 'refused'
    RESET = 'reset'
    NEW_ONLY = 'new only'
    HANG_THEN_RESET = 'hang then reset'


class EndedWorker(enum.StrEnum):
    """What new connections meet while a worker's process has ended.

    Attributes:
        REFUSED: they are refused.
        RESET: they are made, and reset.
        HANG: they are made, and lead to its next process.
    """

    REFUSED = 'refused'
    RESET = 'reset'
    HANG = 'hang'


class WorkerLink:
    """Passes the connections of one host on to one worker.

    Attributes:
        address: 'ip:port' at which the host reaches the worker.
        closed_requests: ids of the requests whose connection `close_open` has
            closed, without prefills.
    """

    def __init__(self) -> None:
        self.address = ''
        self.closed_requests: set[str] = set()
        self._target = ''
        self._ended: EndedWorker | None = None
        self._has_worker = asyncio.Event()
        # Keeps the port from other processes while the link does not listen.
        self._reserved: socket.socket | None = None
        self._cut: LinkCut | None = None
        self._whole = asyncio.Event()
        self._whole.set()
        self._listening = asyncio.Lock()
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        # Both ends of each open connection, in the order of their making.
        self._pairs: list[tuple[asyncio.StreamWriter, ...]] = []
        # Id of the last request on each open connection, by its far end.
        self._request_by_end: dict[asyncio.StreamWriter, str] = {}

    async def lead_to(self, target: str) -> None:
        """Leads to a worker's address, and listens unless it is cut."""
        self._target = target
        self._ended = None
        self._has_worker.set()
        await self._listen()

    async def end(self, ended: EndedWorker = EndedWorker.REFUSED) -> None:
        """Leads nowhere, since the worker's process has ended."""
        self._target = ''
        self._ended = ended
        self._has_worker.clear()
        if ended is EndedWorker.REFUSED:
            self._stop_listening()

    async def close(self) -> None:
        """Ends all connections."""
        self._stop_listening()
        self._reset_open()
        if self._reserved is not None:
            self._reserved.close()

    async def cut(self, cut: LinkCut) -> None:
        """Cuts the link."""
        self._cut = cut
        if cut in (LinkCut.HANG, LinkCut.HANG_THEN_RESET):
            self._whole.clear()
        if cut in (LinkCut.REFUSED, LinkCut.NEW_ONLY):
            self._stop_listening()
        if cut in (LinkCut.REFUSED, LinkCut.RESET):
            self._reset_open()

    def close_open(self, most: int | None = None) -> int:
        """Closes open connections both ways, without a reset.

        The worker, the host and the link itself go on.

        Args:
            most: how many are closed at most, the oldest first; None for all.

        Returns:
            How many were closed.
        """
        closed = self._pairs[:most]
        for pair in closed:
            for end in pair:
                if end in self._request_by_end:
                    self.closed_requests.add(self._request_by_end[end])
                end.close()
        return len(closed)

    async def restore(self) -> None:
        """Ends a cut."""
        if self._cut is LinkCut.HANG_THEN_RESET:
            self._reset_open()
        self._cut = None
        self._whole.set()
        await self._listen()

    @property
    def is_used(self) -> bool:
        """Whether connections are open."""
        return bool(self._pairs)

    @property
    def _refuses(self) -> bool:
        """Whether new connections are refused."""
        is_cut = self._cut in (LinkCut.REFUSED, LinkCut.NEW_ONLY)
        refused = not self._target and self._ended in (
            None,
            EndedWorker.REFUSED,
        )
        return is_cut or refused

    async def _listen(self) -> None:
        # A worker's start and the end of a cut may come together.
        async with self._listening:
            if self._server is not None or self._refuses:
                return
            if self._reserved is None:
                self._reserved = reserve_port()
            self.address = address_of(self._reserved)
            ip, port = self._reserved.getsockname()
            self._server = await asyncio.start_server(
                self._serve, ip, port, reuse_address=True
            )
            if self._refuses:
                self._stop_listening()

    def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def _reset_open(self) -> None:
        for writer in list(self._open):
            _reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._cut is LinkCut.RESET:
            _reset(writer)
            return
        await self._whole.wait()
        if self._ended is EndedWorker.HANG:
            await self._has_worker.wait()
        try:
            ip, _, port = self._target.rpartition(':')
            far_reader, far_writer = await asyncio.open_connection(
                ip, int(port)
            )
        except (OSError, ValueError):
            _reset(writer)
            return
        both = (writer, far_writer)
        self._open.update(both)
        self._pairs.append(both)
        ways = [
            asyncio.create_task(
                self._pass(reader, far_writer, has_requests=True)
            ),
            asyncio.create_task(self._pass(far_reader, writer)),
        ]
        try:
            await asyncio.wait(ways)
        finally:
            for way in ways:
                way.cancel()
            self._open.difference_update(both)
            self._pairs.remove(both)
            self._request_by_end.pop(far_writer, None)
            for end in both:
                end.close()

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        has_requests: bool = False,
    ) -> None:
        """Passes bytes on, and the way in which they end."""
        try:
            while data := await reader.read(_CHUNK_BYTES):
                found = _REQUEST_ID.search(data) if has_requests else None
                if found is not None and not _PREFILL.search(data):
                    self._request_by_end[writer] = found[1].decode('latin-1')
                await self._whole.wait()
                writer.write(data)
                await writer.drain()
            await self._whole.wait()
        except OSError:
            await self._whole.wait()
            _reset(writer)
            return
        with contextlib.suppress(OSError, RuntimeError):
            writer.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    if writer.is_closing():
        return
    with contextlib.suppress(OSError):
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
    writer.transport.abort()
