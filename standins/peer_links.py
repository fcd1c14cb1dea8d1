"""Links between entry hosts, which lose what one side sends, or both."""

from __future__ import annotations

import abc
import asyncio
import contextlib
import enum
from collections.abc import Mapping

_CHUNK_BYTES = 65_536


class Silence(enum.Flag):
    """Which bytes no longer arrive on an open connection."""

    NONE = 0
    CALLS = enum.auto()
    REPLIES = enum.auto()
    BOTH = CALLS | REPLIES


class _Relay:
    """What passes on one connection.

    Attributes:
        silence: what no longer arrives, for good.
        passes: set while bytes pass; the others wait.
        chunk_pause_s: seconds before each chunk is passed on.
    """

    __slots__ = ('chunk_pause_s', 'passes', 'silence')

    def __init__(self, chunk_pause_s: float):
        self.chunk_pause_s = chunk_pause_s
        self.silence = Silence.NONE
        self.passes = asyncio.Event()
        self.passes.set()


class PeerLink:
    """Passes the connections that one host makes on to another one.

    Attributes:
        address: 'ip:port' at which the calling host reaches the other one.
        calls_pass: set while the bytes of the calling host pass; the others
            wait, as those of a connection that is not given up.
        replies_pass: set while the bytes of the called host pass.
        chunk_pause_s: seconds before each 64 KiB or less are passed on over
            a new connection, as over a narrow link.
    """

    def __init__(self, target: str):
        """Prepares the link.

        Args:
            target: 'ip:port' of the called host.
        """
        self.address = ''
        self.chunk_pause_s = 0.0
        self.calls_pass = asyncio.Event()
        self.replies_pass = asyncio.Event()
        self.calls_pass.set()
        self.replies_pass.set()
        self._target = target
        self._server: asyncio.Server | None = None
        self._serving: set[asyncio.Task[None]] = set()
        self._open: set[_Relay] = set()

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        ip, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{ip}:{port}'

    def silence(self, silence: Silence) -> None:
        """Silences the open connections for good; new ones work.

        Their bytes are still taken, as by a middlebox that has lost the
        connection to the other side.
        """
        for relay in self._open:
            relay.silence |= silence

    def hold(self) -> None:
        """Holds back the bytes of the open connections; new ones work."""
        for relay in self._open:
            relay.passes.clear()

    def release(self) -> None:
        """Passes on what was held back."""
        for relay in self._open:
            relay.passes.set()

    async def close(self) -> None:
        """Ends all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._serving):
            task.cancel()
        await asyncio.gather(*self._serving, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._serving.add(task)
        try:
            await self._connect(reader, writer)
        except asyncio.CancelledError:
            # The link is closed, which its server reports as an error.
            pass
        finally:
            self._serving.discard(task)
            writer.close()

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # A connection is made only where bytes pass both ways.
        await self.calls_pass.wait()
        await self.replies_pass.wait()
        ip, _, port = self._target.rpartition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(
                ip, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        relay = _Relay(self.chunk_pause_s)
        self._open.add(relay)
        ways = [
            asyncio.create_task(
                _pass(reader, far_writer, self.calls_pass, relay, Silence.CALLS)
            ),
            asyncio.create_task(
                _pass(
                    far_reader,
                    writer,
                    self.replies_pass,
                    relay,
                    Silence.REPLIES,
                )
            ),
        ]
        try:
            await asyncio.wait(ways)
        finally:
            self._open.discard(relay)
            for way in ways:
                way.cancel()
            far_writer.close()


class LinkMap(abc.ABC):
    """Leads the connections of hosts to their peers elsewhere."""

    @abc.abstractmethod
    def map_addresses(self, host: str) -> dict[str, str]:
        """Returns where a host is led to, by the address of the peer."""


class PeerLinks(LinkMap):
    """The links between all entry hosts.

    Attributes:
        are_listening: whether hosts may be led through them.
    """

    def __init__(self, address_by_host: Mapping[str, str]):
        """Prepares the links.

        Args:
            address_by_host: 'ip:port' at which each host serves its peers.
        """
        self._address_by_host = dict(address_by_host)
        self.are_listening = False
        self._links = {
            (caller, called): PeerLink(address)
            for called, address in address_by_host.items()
            for caller in address_by_host
            if caller != called
        }

    async def start(self) -> None:
        """Listens on free ports."""
        for link in self._links.values():
            await link.start()
        self.are_listening = True

    async def close(self) -> None:
        """Ends all connections."""
        for link in self._links.values():
            await link.close()

    def map_addresses(self, host: str) -> dict[str, str]:
        """See the base class."""
        return {
            self._address_by_host[called]: link.address
            for (caller, called), link in self._links.items()
            if caller == host
        }

    def silence(
        self, caller: str, called: str, silence: Silence = Silence.BOTH
    ) -> None:
        """Silences a host's open connections to another one for good."""
        self._links[caller, called].silence(silence)

    def lose(self, sender: str, receiver: str) -> None:
        """Lets nothing pass that one host sends to another one."""
        self._links[sender, receiver].calls_pass.clear()
        self._links[receiver, sender].replies_pass.clear()

    def restore(self, sender: str, receiver: str) -> None:
        """Lets everything pass that one host sends to another one."""
        self._links[sender, receiver].calls_pass.set()
        self._links[receiver, sender].replies_pass.set()


async def _pass(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    may_pass: asyncio.Event,
    relay: _Relay,
    direction: Silence,
) -> None:
    """Passes bytes on while they may pass, and then the end."""
    with contextlib.suppress(OSError):
        while data := await reader.read(_CHUNK_BYTES):
            await may_pass.wait()
            await relay.passes.wait()
            await asyncio.sleep(relay.chunk_pause_s)
            if direction in relay.silence:
                continue
            if writer.is_closing():
                return
            writer.write(data)
            await writer.drain()
    await may_pass.wait()
    if direction in relay.silence:
        # The other side does not learn of the end either.
        await asyncio.Event().wait()
    with contextlib.suppress(OSError, RuntimeError):
        if writer.can_write_eof():
            writer.write_eof()
