"""A process through which hosts reach each other and the store, at set rates.

Reads a RelayPlan as JSON from a file. Writes one line with the addresses at
which it listens, and then each second one with the bytes that the links have
carried, both as JSON.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import pathlib
import sys

import msgspec
import uvloop

from standins.rated_link import CHUNK_BYTES, RatedLink, carry_over

_REPORT_INTERVAL_S = 1.0
# Time for which bytes still pass whose sender has ended, seconds.
_DRAIN_TIMEOUT_S = 1.0
# Receive buffer of a connection, bytes. A larger one would take what the
# sender's link has not carried yet.
_RECEIVE_BUFFER_BYTES = 16_384


class RelayedPath(msgspec.Struct):
    """A way from a host to a peer, or to the store.

    Attributes:
        name: its name.
        target: 'ip:port' to which it leads.
        caller: the host whose link carries it.
        called: the other host, '' for the store.
    """

    name: str
    target: str
    caller: str
    called: str = ''


class RelayPlan(msgspec.Struct):
    """What the process relays.

    Attributes:
        bytes_per_s: rate of each host's link, in each direction.
        paths: the ways.
    """

    bytes_per_s: dict[str, float]
    paths: list[RelayedPath]


class RatedRelay:
    """Relays connections over the links of both hosts."""

    def __init__(self, plan: RelayPlan):
        self._paths = plan.paths
        self._outbound = {
            host: RatedLink(rate) for host, rate in plan.bytes_per_s.items()
        }
        self._inbound = {
            host: RatedLink(rate) for host, rate in plan.bytes_per_s.items()
        }

    async def start(self) -> dict[str, str]:
        """Listens; returns the address of each way, by its name."""
        address_by_name = {}
        for path in self._paths:
            server = await asyncio.start_server(
                functools.partial(self._serve, path),
                '127.0.0.1',
                0,
                limit=CHUNK_BYTES,
            )
            ip, port = server.sockets[0].getsockname()[:2]
            address_by_name[path.name] = f'{ip}:{port}'
        return address_by_name

    def carried_bytes(self) -> dict[str, tuple[int, int]]:
        """Returns the bytes that hosts have sent and received."""
        return {
            host: (
                self._outbound[host].carried_bytes,
                self._inbound[host].carried_bytes,
            )
            for host in self._outbound
        }

    def _links(self, sender: str, receiver: str) -> tuple[RatedLink, ...]:
        links = []
        if sender:
            links.append(self._outbound[sender])
        if receiver:
            links.append(self._inbound[receiver])
        return tuple(links)

    async def _serve(
        self,
        path: RelayedPath,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        ip, _, port = path.target.rpartition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(
                ip, int(port), limit=CHUNK_BYTES
            )
        except OSError:
            writer.transport.abort()
            return
        calls = self._links(path.caller, path.called)
        replies = self._links(path.called, path.caller)
        ways = [
            asyncio.create_task(_pass(reader, far_writer, calls)),
            asyncio.create_task(_pass(far_reader, writer, replies)),
        ]
        await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        # What one side has sent before it ended still arrives.
        await asyncio.wait(ways, timeout=_DRAIN_TIMEOUT_S)
        for way in ways:
            way.cancel()
        far_writer.close()
        writer.close()


async def _pass(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    links: tuple[RatedLink, ...],
) -> None:
    """Passes bytes on until their sender ends."""
    with contextlib.suppress(OSError):
        while data := await reader.read(CHUNK_BYTES):
            await carry_over(links, len(data))
            if writer.is_closing():
                return
            writer.write(data)
            await writer.drain()


def _tell(content: object) -> None:
    sys.stdout.write(msgspec.json.encode(content).decode() + '\n')
    sys.stdout.flush()


async def _run(plan: RelayPlan) -> None:
    relay = RatedRelay(plan)
    _tell(await relay.start())
    while True:
        await asyncio.sleep(_REPORT_INTERVAL_S)
        _tell(relay.carried_bytes())


def main() -> None:
    """Relays by the plan that the first argument names, until it is ended."""
    content = pathlib.Path(sys.argv[1]).read_bytes()
    plan = msgspec.json.decode(content, type=RelayPlan)
    with contextlib.suppress(KeyboardInterrupt):
        uvloop.run(_run(plan))


if __name__ == '__main__':
    main()
