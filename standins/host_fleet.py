"""Hosts in one process that relay requests to a model of endpoints."""

from __future__ import annotations

import abc
import asyncio
import itertools
import random
from collections.abc import Mapping

from mustardscale.blackboard import Blackboard, Signal
from mustardscale.configuration.route_source import RouteSource
from mustardscale.configuration.routes import RouteTable
from mustardscale.exceptions import LogUnavailableError, PeerUnavailableError
from mustardscale.hosts.host_list import HostList, ListedHost
from mustardscale.log.keyed_tail import KeyedTail
from mustardscale.relay.relay_endpoint import RelayConnector
from mustardscale.relay_options import (
    KeyedStream,
    RelayEdges,
    RelayOptions,
)
from mustardscale.relay_router import RelayRouter
from standins.log_model import LogModel
from standins.memory_keyed_log import (
    KeyedStreams,
    MemoryKeyedLog,
    StoreLink,
)
from standins.memory_log import MemoryLogClient
from standins.memory_peers import MemoryPeerNetwork

REGION = 'region'
DATA_CENTRES = ('dc1', 'dc2', 'dc3')
QUARANTINE_STREAM = 'quarantine'
VERSIONS_STREAM = 'versions'
# Waits that are shorter than its resolution don't advance the virtual clock.
LEAST_WAIT_S = 1e-3
# Time in which started hosts have met one another, seconds.
MEET_S = 4.0
# Time in which the last messages between stopped hosts have arrived, seconds.
LAST_TRAVEL_S = 0.1


class FleetList(HostList):
    """The host list, which hosts write themselves.

    Attributes:
        entry_by_id: the entries.
        changed: notified when an endpoint came or went.
        link: the host's link to the list.
    """

    def __init__(
        self,
        entry_by_id: dict[str, ListedHost],
        changed: Signal,
        link: StoreLink,
    ):
        self.entry_by_id = entry_by_id
        self.changed = changed
        self.link = link

    async def fetch(self) -> list[ListedHost]:
        """See the base class."""
        try:
            if not self.link.is_sound:
                await self.link.travel()
            entries = list(self.entry_by_id.values())
            await self.link.travel_back()
        except LogUnavailableError as error:
            raise PeerUnavailableError(str(error)) from error
        return entries

    async def wait_changed(self, timeout_s: float) -> None:
        """See the base class."""
        await self.changed.wait(max(timeout_s, LEAST_WAIT_S))

    async def announce(self, host: ListedHost) -> None:
        """See the base class."""
        self.entry_by_id[host.id] = host

    async def retire(self, host: str) -> None:
        """See the base class."""
        self.entry_by_id.pop(host, None)


class FixedRoutes(RouteSource):
    """A table that never changes."""

    def __init__(self, table: RouteTable) -> None:
        self._table = table
        self._sent = False

    async def next_table(self) -> RouteTable:
        """See the base class."""
        if self._sent:
            await asyncio.Event().wait()
        self._sent = True
        return self._table


class HostFleet(abc.ABC):
    """Hosts that can be started, killed and cut from one another.

    Attributes:
        rng: the generator of random choices.
        router_by_host: the hosts that are up.
        peers: the network between hosts.
        listed: the entries of the host list, by id.
        list_changed: notified when an endpoint came or went.
        streams: the platform's keyed streams.
        keyed_log_by_host: each host's access to them.
    """

    def __init__(self, hosts: int, table: RouteTable, seed: int):
        self.rng = random.Random(seed)
        self.peers = MemoryPeerNetwork(random.Random(self.rng.random()))
        self.router_by_host: dict[str, RelayRouter] = {}
        self.listed: dict[str, ListedHost] = {}
        self.list_changed = Signal()
        self.streams = KeyedStreams()
        self.keyed_log_by_host: dict[str, MemoryKeyedLog] = {}
        self._first_hosts = hosts
        self._table = table
        self._incarnations = itertools.count(1)
        self._request_ids = itertools.count(1)
        self._calls: set[asyncio.Task[None]] = set()
        self._log = LogModel(random.Random(self.rng.random()))

    @abc.abstractmethod
    def connector(self, host: str) -> RelayConnector:
        """Returns a host's connector to the endpoints."""

    def edges(self, host: str, board: Blackboard) -> RelayEdges:
        """Returns the outside systems of a host."""
        client = MemoryKeyedLog(self.streams)
        self.keyed_log_by_host[host] = client
        tail = KeyedTail(
            board, client, QUARANTINE_STREAM, random.Random(self.rng.random())
        )
        versions = KeyedTail(
            board, client, VERSIONS_STREAM, random.Random(self.rng.random())
        )
        return RelayEdges(
            MemoryLogClient(self._log),
            FleetList(self.listed, self.list_changed, client.link),
            FixedRoutes(self._table),
            self.peers.transport(host),
            self.connector(host),
            (tail, versions),
            KeyedStream(client, tail, asyncio.get_running_loop().time),
            KeyedStream(client, versions, asyncio.get_running_loop().time),
        )

    def address(self, host: str) -> str:
        """Returns the address at which peers reach a host."""
        return f'{host}:1'

    def options(self) -> RelayOptions:
        """Returns how the hosts work."""
        return RelayOptions()

    async def start(self) -> None:
        """Starts the hosts, and waits until they know one another."""
        for number in range(1, self._first_hosts + 1):
            await self.start_host(f'h{number:03}')
        await asyncio.sleep(MEET_S)

    async def start_host(self, host: str) -> None:
        """Starts a host, also one that was killed."""
        board = Blackboard(
            host,
            next(self._incarnations),
            DATA_CENTRES[hash_of(host) % len(DATA_CENTRES)],
            REGION,
        )
        board.address = self.address(host)
        board.engines_read_prompts = True
        edges = self.edges(host, board)
        rng = random.Random(self.rng.random())
        router = RelayRouter(board, self.options(), edges, rng)
        await router.start()
        self.router_by_host[host] = router

    async def kill_host(self, host: str) -> None:
        """Ends a host without a word; its entry stays on the list."""
        await self.router_by_host.pop(host).stop()

    def cut_host(self, host: str) -> None:
        """Cuts a host from its peers, not from endpoints and callers."""
        for other in self.router_by_host:
            if other != host:
                self.peers.cut(host, other)

    def restore_host(self, host: str) -> None:
        """Ends a cut."""
        for other in list(self.router_by_host):
            self.peers.restore(host, other)

    def set_aside(
        self, host: str, sends: bool = False, receives: bool = False
    ) -> None:
        """Keeps back all between a host and the platform and its peers.

        Engines and callers reach it.

        Args:
            host: id of the host.
            sends: bytes from the host pass.
            receives: bytes to it pass.
        """
        link = self.keyed_log_by_host[host].link
        link.keep_back(calls=not sends, answers=not receives)
        for other in self.router_by_host:
            if other != host and not sends:
                self.peers.cut(host, other, one_way=True)
            if other != host and not receives:
                self.peers.cut(other, host, one_way=True)

    def bring_back(self, host: str) -> None:
        """Ends that a host is set aside."""
        link = self.keyed_log_by_host[host].link
        link.refuses = False
        link.release()
        self.restore_host(host)
        self.list_changed.notify()

    async def harm(self, host: str, kind: str, for_s: float) -> None:
        """Harms a host for a time.

        Args:
            host: id of the host.
            kind: 'restart', 'freeze', or anything else for a cut from its
                peers.
            for_s: how long, seconds.
        """
        if kind == 'restart':
            await self.kill_host(host)
            await asyncio.sleep(for_s)
            await self.start_host(host)
        elif kind == 'freeze':
            self.peers.freeze(host)
            await asyncio.sleep(for_s)
            self.peers.thaw(host)
        else:
            self.cut_host(host)
            await asyncio.sleep(for_s)
            self.restore_host(host)

    def is_up(self, host: str) -> bool:
        """Returns whether a host runs."""
        return host in self.router_by_host

    async def stop(self) -> None:
        """Stops all hosts."""
        for call in list(self._calls):
            call.cancel()
        for host in list(self.router_by_host):
            await self.kill_host(host)
        await asyncio.sleep(LAST_TRAVEL_S)


def even(hosts: Mapping[str, RelayRouter]) -> dict[str, float]:
    """Returns equal shares of the hosts that are up."""
    return dict.fromkeys(hosts, 1.0)


def hash_of(host: str) -> int:
    """Returns a number that spreads hosts over data centres."""
    return int(host.lstrip('h') or 0)
