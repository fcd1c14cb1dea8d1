"""Bounds what one read takes from a socket."""

from __future__ import annotations

import asyncio

# Size of one read, in bytes. The event loops read up to 256 KiB by themselves,
# which a connection may have to keep until its parser can go on.
READ_BYTES = 16_384


class BoundedReads(asyncio.BufferedProtocol):
    """Passes what arrives to another protocol, a bounded piece at a time.

    uvloop reads into a protocol's buffer only if the protocol is not an
    asyncio.Protocol, so that the HTTP library's can't do it itself.
    """

    __slots__ = ('_buffer', '_protocol')

    def __init__(self, protocol: asyncio.Protocol, buffer: memoryview):
        """Prepares the protocol.

        Args:
            protocol: receives the data.
            buffer: takes one read. Connections may share it, since each read
                is passed on before the next begins.
        """
        self._protocol = protocol
        self._buffer = buffer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Passes the transport on."""
        self._protocol.connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Passes the end on."""
        self._protocol.connection_lost(exc)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns where the next read goes."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Passes a read on."""
        self._protocol.data_received(bytes(self._buffer[:nbytes]))

    def eof_received(self) -> bool | None:
        """Passes the caller's end of sending on."""
        return self._protocol.eof_received()

    def pause_writing(self) -> None:
        """Passes on that the caller does not read."""
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        """Passes on that the caller reads again."""
        self._protocol.resume_writing()
