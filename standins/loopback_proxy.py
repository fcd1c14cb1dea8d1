"""A proxy on loopback that harms the connections that go through it."""

from __future__ import annotations

import asyncio
import contextlib
import enum

_CHUNK_BYTES = 65_536
# Interval at which a silent direction looks whether it may go on, seconds.
_SILENT_LOOK_S = 0.05


class LinkState(enum.Enum):
    """What a proxy does to bytes."""

    WHOLE = 'whole'
    DELAYED = 'delayed'
    SILENT = 'silent'
    ONE_WAY = 'one_way'
    CALLS_KEPT = 'calls_kept'
    REFUSED = 'refused'


class LoopbackProxy:
    """Passes connections on to one address.

    Attributes:
        state: what it does at present; ONE_WAY silences the answers,
            CALLS_KEPT the calls.
        delay_s: delay of each chunk while DELAYED, seconds.
        address: 'ip:port' listened on, once started.
        has_ended: whether it listens no more since an end.
    """

    def __init__(self, target: str, delay_s: float = 0.15):
        self.state = LinkState.WHOLE
        self.delay_s = delay_s
        self.address = ''
        self.has_ended = False
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        ip, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{ip}:{port}'

    async def close(self) -> None:
        """Stops and resets all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def end(self) -> None:
        """Closes all connections without a reset, and refuses new ones."""
        if self._server is not None:
            self._server.close()
        self.has_ended = True
        for writer in self._writers:
            writer.close()
        self._writers.clear()

    async def listen_again(self) -> None:
        """Listens at the same address after an end."""
        ip, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(self._serve, ip, int(port))
        self.has_ended = False

    def reset(self) -> None:
        """Resets all connections."""
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.state is LinkState.REFUSED:
            writer.transport.abort()
            return
        ip, port = self._target.split(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(ip, port)
        except OSError:
            writer.transport.abort()
            return
        both = {writer, far_writer}
        self._writers |= both
        ways = [
            asyncio.create_task(self._pass(reader, far_writer, answers=False)),
            asyncio.create_task(self._pass(far_reader, writer, answers=True)),
        ]
        try:
            await asyncio.gather(*ways)
        finally:
            for way in ways:
                way.cancel()
            self._writers -= both
            for end in both:
                end.close()

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        answers: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_CHUNK_BYTES):
                while self._is_silent(answers):  # noqa: ASYNC110
                    await asyncio.sleep(_SILENT_LOOK_S)
                if self.state is LinkState.DELAYED:
                    await asyncio.sleep(self.delay_s)
                if writer.is_closing():
                    return
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError, RuntimeError):
            if writer.can_write_eof():
                writer.write_eof()

    def _is_silent(self, answers: bool) -> bool:
        if self.state is LinkState.SILENT:
            return True
        kept = LinkState.ONE_WAY if answers else LinkState.CALLS_KEPT
        return self.state is kept
