"""TCP connections that are made without a look-up of the address."""

from __future__ import annotations

import asyncio
import os
import socket
from typing import Any


async def open_socket(sock: socket.socket, address: Any) -> None:
    """Connects a socket to a numeric address.

    The sock_connect of uvloop looks up numeric addresses too, in a thread. So
    it waits for as long as other look-ups keep all threads busy.

    Args:
        sock: a socket, which is made non-blocking and closed on errors.
        address: numeric address, as the socket's family requires it.

    Raises:
        OSError: the connection was not made.
    """
    sock.setblocking(False)
    try:
        try:
            sock.connect(address)
        except BlockingIOError:
            await _wait_until_writable(sock)
            _require_connected(sock, address)
    except BaseException:
        sock.close()
        raise


async def _wait_until_writable(sock: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    writable = asyncio.Event()
    loop.add_writer(sock, writable.set)
    try:
        await writable.wait()
    finally:
        loop.remove_writer(sock)


def _require_connected(sock: socket.socket, address: Any) -> None:
    number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if number:
        raise OSError(number, f'{os.strerror(number)}: {address}')
