"""Tells how much of what was written to a connection has not arrived."""

from __future__ import annotations

import asyncio
import fcntl
import struct
import termios

_INT = struct.Struct('i')


def count_unsent_bytes(transport: asyncio.WriteTransport) -> int:
    """Returns the bytes that the other side's machine has not acknowledged.

    Args:
        transport: a connection over TCP. Where the system does not tell what
            it holds for it, only what the transport holds counts.
    """
    held = transport.get_write_buffer_size()
    sock = transport.get_extra_info('socket')
    if sock is None:
        return held
    descriptor = sock.fileno()
    if not isinstance(descriptor, int) or descriptor < 0:
        # A simulated or a closed one.
        return held
    try:
        # For a socket, this is what was not acknowledged (tcp(7), SIOCOUTQ).
        answer = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(_INT.size))
    except OSError:
        return held
    unacknowledged: int = _INT.unpack(answer)[0]
    return held + unacknowledged
