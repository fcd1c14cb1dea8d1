"""Hosts in one process that follow the platform's streams by counted calls."""

from __future__ import annotations

import asyncio
import collections
import json
import random

from mustardscale.blackboard import Blackboard
from mustardscale.configuration.routes import RouteTable
from mustardscale.hosts.membership import MembershipTimes
from mustardscale.log.keyed_log import KeyedPage
from mustardscale.platform import names
from mustardscale.platform.entry import make_tails
from mustardscale.platform.store_client import StoreLog
from mustardscale.platform.store_hosts import StoreHostList
from mustardscale.platform.store_routes import StoreRoutes
from mustardscale.relay.relay_endpoint import RelayConnector
from mustardscale.relay_options import KeyedStream, RelayEdges, RelayOptions
from standins.host_fleet import REGION, HostFleet, hash_of
from standins.limited_endpoints import LimitedConnector, LimitedEndpoint
from standins.memory_keyed_log import KeyedStreams, MemoryKeyedLog

ORDERS_TOPIC = f'{names.STREAM_TOPIC_PREFIX}orders-{REGION}'
# Time within which all hosts start, seconds.
START_S = 0.3


class CountingStore(KeyedStreams):
    """The streams, with the calls that hosts make.

    Attributes:
        calls: number of calls by kind, stream and wait in seconds.
        delay_s: seconds before each call is answered, besides those of a link.
    """

    def __init__(self) -> None:
        super().__init__()
        self.delay_s = 0.0
        self.calls: collections.Counter[tuple[str, str, float]] = (
            collections.Counter()
        )

    def count(self, stream: str = '') -> int:
        """Returns the number of calls, for one stream or for all."""
        return sum(
            number
            for (_, called, _), number in self.calls.items()
            if stream in ('', called)
        )


class CountingLog(MemoryKeyedLog):
    """One host's access; only records of its stream end a read that waits."""

    def __init__(self, store: CountingStore):
        super().__init__(store)
        self._store = store

    async def newest(self, stream: str) -> KeyedPage:
        """See the base class."""
        self._store.calls['newest', stream, 0.0] += 1
        await asyncio.sleep(self._store.delay_s)
        return await super().newest(stream)

    async def read(self, stream: str, after: int, wait_s: float) -> KeyedPage:
        """See the base class."""
        self._store.calls['read', stream, round(wait_s, 1)] += 1
        await asyncio.sleep(self._store.delay_s)
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + wait_s
        while True:
            left_s = max(0.0, ends_at - loop.time())
            page = await super().read(stream, after, left_s)
            if page.records or loop.time() >= ends_at:
                return page

    async def put(
        self, stream: str, key: str, value: bytes, after: int | None = None
    ) -> int:
        """See the base class."""
        self._store.calls['append', stream, 0.0] += 1
        return await super().put(stream, key, value, after)


class StoreFleet(HostFleet):
    """Hosts that keep all that lasts on the platform's streams.

    Attributes:
        store: the streams, with the calls made.
    """

    def __init__(self, hosts: int, seed: int = 1):
        super().__init__(hosts, RouteTable(0), seed)
        self.streams = self.store = CountingStore()
        self._version = 0
        self.set_routes()
        self.put_worker('w1')

    def connector(self, host: str) -> RelayConnector:
        """See the base class."""
        endpoint_by_id = {'w1': LimitedEndpoint('w1')}
        return LimitedConnector(
            host, endpoint_by_id, lambda host, _: self.is_up(host)
        )

    def address(self, host: str) -> str:
        """See the base class; entries need an IP address."""
        return f'10.0.0.{hash_of(host)}:1'

    def options(self) -> RelayOptions:
        """See the base class."""
        return RelayOptions(times=MembershipTimes(heartbeat_s=0.4))

    def edges(self, host: str, board: Blackboard) -> RelayEdges:
        """See the base class."""
        client = self.make_log(host)
        self.keyed_log_by_host[host] = client
        rng = random.Random(self.rng.random())
        tails = make_tails(board, client, rng)
        clock = asyncio.get_running_loop().time
        return RelayEdges(
            StoreLog(client),
            StoreHostList(
                client,
                tails[names.WORKERS_TOPIC],
                tails[names.HOSTS_TOPIC],
                REGION,
            ),
            StoreRoutes(tails[names.OPERATOR_TOPIC]),
            self.peers.transport(host),
            self.connector(host),
            tuple(tails.values()),
            KeyedStream(client, tails[names.QUARANTINE_TOPIC], clock),
            KeyedStream(client, tails[names.VERSIONS_TOPIC], clock),
            tails[ORDERS_TOPIC],
        )

    def make_log(self, host: str) -> CountingLog:
        """Returns a host's access to the store."""
        return CountingLog(self.store)

    async def start(self) -> None:
        """Starts the hosts within START_S."""
        for number in range(1, self._first_hosts + 1):
            await self.start_host(f'h{number:03}')
            await asyncio.sleep(START_S / self._first_hosts)

    def set_routes(self) -> int:
        """Writes the next version of the configuration; returns it."""
        self._version += 1
        content = json.dumps({'version': self._version}).encode()
        self.store.append(names.OPERATOR_TOPIC, names.CONFIG_KEY, content)
        return self._version

    def put_worker(self, worker: str, leaving: bool = False) -> None:
        """Writes a plain worker's entry."""
        entry = {
            'address': '127.0.0.1:1',
            'zone': 'dc1',
            'service': 'plain',
            'state': names.DRAINING_STATE if leaving else names.READY_STATE,
        }
        self.store.append(
            names.WORKERS_TOPIC, worker, json.dumps(entry).encode()
        )

    def versions(self) -> set[int]:
        """Returns the versions of the configuration in force."""
        return {
            router.blackboard.config.routes.table.version
            for router in self.router_by_host.values()
        }
