"""A fleet of hosts in one process before endpoints that state rate limits."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import random
from collections.abc import Mapping

from mustardscale.blackboard import Blackboard
from mustardscale.configuration.route_source import RouteSource
from mustardscale.configuration.routes import (
    RequestKind,
    Route,
    RouteTable,
    RouteTarget,
    ServiceSpec,
)
from mustardscale.exceptions import OutcomeError
from mustardscale.hosts.host_list import HostList, ListedHost, ListedKind
from mustardscale.outcomes import Outcome
from mustardscale.relay.relay_messages import RelayRequest
from mustardscale.relay_options import RelayEdges, RelayOptions
from mustardscale.relay_router import RelayRouter
from standins.limited_endpoints import LimitedConnector, LimitedEndpoint
from standins.log_model import LogModel
from standins.memory_log import MemoryLogClient
from standins.memory_peers import MemoryPeerNetwork

SERVICE = 'ledger'
REGION = 'region'
DATA_CENTRES = ('dc1', 'dc2', 'dc3')
TIMEOUT_S = 3.0
ROUTE = Route(
    'read',
    'host',
    '/read/',
    RequestKind.REPEATABLE,
    (RouteTarget(SERVICE),),
    TIMEOUT_S,
    0.4,
    max_attempts=2,
)


@dataclasses.dataclass(frozen=True, slots=True)
class FleetRecord:
    """A request and how it ended.

    Attributes:
        sent_at: loop time at which the caller sent it.
        ended_at: loop time of its end.
        host: the host that took it.
        outcome: how it ended.
        retry_after_s: time after which the caller may return, None for none.
    """

    sent_at: float
    ended_at: float
    host: str
    outcome: Outcome
    retry_after_s: float | None = None


class _FleetList(HostList):
    """The host list, which hosts write themselves."""

    def __init__(self, entries: dict[str, ListedHost]):
        self._entries = entries

    async def fetch(self) -> list[ListedHost]:
        """See the base class."""
        return list(self._entries.values())

    async def announce(self, host: ListedHost) -> None:
        """See the base class."""
        self._entries[host.id] = host

    async def retire(self, host: str) -> None:
        """See the base class."""
        self._entries.pop(host, None)


class _FixedRoutes(RouteSource):
    """A table that never changes."""

    def __init__(self) -> None:
        self._sent = False

    async def next_table(self) -> RouteTable:
        """See the base class."""
        if self._sent:
            await asyncio.Event().wait()
        self._sent = True
        return RouteTable(1, (ROUTE,), (ServiceSpec(SERVICE),))


class LimitedFleet:
    """Hosts before the endpoints of one plain service.

    Attributes:
        endpoint_by_id: the endpoints.
        router_by_host: the hosts that are up.
        peers: the network between hosts.
        records: the requests that have ended.
    """

    def __init__(self, hosts: int, endpoints: int, seed: int = 0):
        self.rng = random.Random(seed)
        self.peers = MemoryPeerNetwork(random.Random(self.rng.random()))
        self.endpoint_by_id = {
            f'e{number}': LimitedEndpoint(f'e{number}')
            for number in range(1, endpoints + 1)
        }
        self.router_by_host: dict[str, RelayRouter] = {}
        self.records: list[FleetRecord] = []
        self._first_hosts = hosts
        self._cut_hosts: set[str] = set()
        self._incarnations = itertools.count(1)
        self._request_ids = itertools.count(1)
        self._calls: set[asyncio.Task[None]] = set()
        self._log = LogModel(random.Random(self.rng.random()))
        self._listed: dict[str, ListedHost] = {
            name: ListedHost(
                name,
                ListedKind.PLAIN,
                f'{name}:1',
                DATA_CENTRES[0],
                REGION,
                service=SERVICE,
                start=1,
            )
            for name in self.endpoint_by_id
        }

    async def start(self) -> None:
        """Starts the hosts, and waits until they know one another."""
        for number in range(1, self._first_hosts + 1):
            await self.start_host(f'h{number:03}')
        await asyncio.sleep(4.0)

    async def start_host(self, host: str) -> None:
        """Starts a host, also one that was killed."""
        board = Blackboard(
            host,
            next(self._incarnations),
            DATA_CENTRES[hash_of(host) % len(DATA_CENTRES)],
            REGION,
        )
        board.address = f'{host}:1'
        edges = RelayEdges(
            MemoryLogClient(self._log),
            _FleetList(self._listed),
            _FixedRoutes(),
            self.peers.transport(host),
            LimitedConnector(host, self.endpoint_by_id, self._reaches),
        )
        rng = random.Random(self.rng.random())
        router = RelayRouter(board, RelayOptions(), edges, rng)
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

    def _reaches(self, host: str, endpoint: str) -> bool:
        return host in self.router_by_host

    async def stop(self) -> None:
        """Stops all hosts."""
        for call in list(self._calls):
            call.cancel()
        for host in list(self.router_by_host):
            await self.kill_host(host)

    async def load(
        self, rate_per_s: float, seconds: float, hosts: Mapping[str, float]
    ) -> None:
        """Sends requests at random times and to random hosts.

        Args:
            rate_per_s: requests a second to all hosts.
            seconds: how long.
            hosts: share of each host; none is sent to hosts that are down.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while True:
            await asyncio.sleep(self.rng.expovariate(rate_per_s))
            if loop.time() >= ends_at:
                return
            [host] = self.rng.choices(list(hosts), list(hosts.values()))
            if host in self.router_by_host:
                call = loop.create_task(self._ask(host))
                self._calls.add(call)
                call.add_done_callback(self._calls.discard)

    async def _ask(self, host: str) -> None:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        request = RelayRequest(
            f'r{next(self._request_ids)}',
            'host',
            'GET',
            '/read/x',
            (),
            b'',
            sent_at,
            TIMEOUT_S,
        )
        outcome, retry_after_s = Outcome.COMPLETE, None
        try:
            async with self.router_by_host[host].serve(request):
                pass
        except OutcomeError as error:
            outcome, retry_after_s = error.outcome, error.retry_after_s
        self.records.append(
            FleetRecord(sent_at, loop.time(), host, outcome, retry_after_s)
        )

    def violations(self) -> list[str]:
        """Returns the limits that were broken, and how."""
        return [
            violation
            for endpoint in self.endpoint_by_id.values()
            for violation in endpoint.arrivals.violations()
        ]


def even(hosts: Mapping[str, RelayRouter]) -> dict[str, float]:
    """Returns equal shares of the hosts that are up."""
    return dict.fromkeys(hosts, 1.0)


def hash_of(host: str) -> int:
    """Returns a number that spreads hosts over data centres."""
    return int(host.lstrip('h') or 0)
