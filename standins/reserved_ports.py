"""Ports of loopback that stay reserved while nobody listens at them."""

from __future__ import annotations

import socket


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
