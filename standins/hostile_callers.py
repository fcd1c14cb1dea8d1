"""A fixed number of callers that try to use up a process's memory."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import socket
from collections.abc import Iterator

# Receive buffer of a caller, in bytes; answers beyond it wait in the process.
RECEIVE_BYTES = 4_096
# What a caller sends in one write, in bytes.
PIECE_BYTES = 65_536
# Times that a caller connects again after it was cut off.
RECONNECTIONS = 20
# Time without progress after which a caller stops to send, seconds.
BLOCKED_S = 1.5
# Time for which a caller that has sent all leaves its connection open, seconds.
HELD_S = 1.0

MAX_BODY_BYTES = 4_194_304
# What is missing of each body.
MISSING_BYTES = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Attack:
    """What one caller sends on each of its connections.

    Attributes:
        first: what is sent first.
        unit: what is repeated after it.
        size: bytes on a connection, after the first.
        piece: bytes in one write.
        numbered: whether the repeated part has a number, as request ids do.
    """

    first: bytes
    unit: bytes
    size: int
    piece: int = PIECE_BYTES
    numbered: bool = False

    def pieces(self, serial: Iterator[int]) -> Iterator[bytes]:
        """Returns what is sent, write by write."""
        yield self.first
        if self.numbered:
            sent = 0
            while sent < self.size:
                data = b''.join(
                    self.unit % next(serial)
                    for _ in range(max(1, self.piece // len(self.unit)))
                )
                sent += len(data)
                yield data
            return
        block = self.unit * (self.piece // len(self.unit))
        for left in range(self.size, 0, -len(block)):
            yield block[:left]


def make_attacks(target: bytes) -> dict[str, Attack]:
    """Returns the attacks by name.

    Args:
        target: path of a route whose requests may be repeated.
    """
    start = b'GET ' + target + b' HTTP/1.1\r\nHost: shop.example\r\n'
    post = b'POST ' + target + b' HTTP/1.1\r\nHost: shop.example\r\n'
    request = start + b'X-Request-Id: hostile-%d\r\n'
    body = MAX_BODY_BYTES - MISSING_BYTES
    sized = (
        post
        + b'X-Request-Id: body\r\nContent-Length: %d\r\n\r\n' % MAX_BODY_BYTES
    )
    return {
        'headers without end': Attack(
            start, b'X-Filler: ' + b'a' * 7_988 + b'\r\n', 8_388_608
        ),
        'request line without end': Attack(b'GET /', b'a', 8_388_608),
        'empty lines without end': Attack(b'', b'\r\n', 8_388_608),
        'bodies at once': Attack(sized, b'a', body, piece=body),
        'bodies in pieces': Attack(sized, b'a', body),
        'chunks of one byte': Attack(
            post
            + b'X-Request-Id: chunks\r\nTransfer-Encoding: chunked\r\n\r\n',
            b'1\r\nx\r\n',
            4_194_304,
        ),
        'requests of 2,000 bytes ahead': Attack(
            b'',
            request + b'X-Filler: ' + b'a' * 1_900 + b'\r\n\r\n',
            8_388_608,
            numbered=True,
        ),
        'small requests ahead': Attack(
            b'', request + b'\r\n', 4_194_304, numbered=True
        ),
    }


async def attack(address: str, what: Attack, callers: int) -> int:
    """Runs callers that send at the same time and read nothing.

    Returns:
        The number of callers that sent all without being cut off.
    """
    serial = itertools.count()
    calls = (_call(address, what, serial) for _ in range(callers))
    return sum(await asyncio.gather(*calls))


async def _call(address: str, what: Attack, serial: Iterator[int]) -> bool:
    """Connects until one connection stays open; returns whether one did."""
    for _ in range(1 + RECONNECTIONS):
        with contextlib.suppress(ConnectionError):
            if await _send(address, what, serial):
                return True
    return False


async def _send(address: str, what: Attack, serial: Iterator[int]) -> bool:
    """Sends on one connection; returns whether it stayed open.

    Raises:
        ConnectionError: the process closed the connection.
    """
    ip, _, port = address.rpartition(':')
    connected = socket.socket()
    connected.setblocking(False)
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    await asyncio.get_running_loop().sock_connect(connected, (ip, int(port)))
    reader, writer = await asyncio.open_connection(
        sock=connected, limit=RECEIVE_BYTES
    )
    try:
        for data in what.pieces(serial):
            writer.write(data)
            try:
                async with asyncio.timeout(BLOCKED_S):
                    await writer.drain()
            except TimeoutError:
                break
            if reader.at_eof():
                return False
        await asyncio.sleep(HELD_S)
        return not (reader.at_eof() or writer.is_closing())
    finally:
        writer.transport.abort()
