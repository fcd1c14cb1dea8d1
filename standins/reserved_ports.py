"""Ports of loopback that stay reserved while nobody listens at them."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterator


def reserve_port() -> socket.socket:
    """Returns a bound socket that keeps a free port until it is closed.

    Whoever sets SO_REUSEADDR can listen at the port, as servers of asyncio do;
    other processes are not given it.
    """
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind(('127.0.0.1', 0))
    return bound


def address_of(bound: socket.socket) -> str:
    """Returns the 'ip:port' of a bound socket."""
    ip, port = bound.getsockname()
    return f'{ip}:{port}'


@contextlib.contextmanager
def reserved_addresses(count: int) -> Iterator[list[str]]:
    """Keeps free ports reserved; yields the addresses."""
    with contextlib.ExitStack() as stack:
        yield [
            address_of(stack.enter_context(reserve_port()))
            for _ in range(count)
        ]
