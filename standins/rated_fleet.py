"""Hosts in one process behind links with rates, and a large configuration."""

from __future__ import annotations

import asyncio
import random

from mustardscale.blackboard import Blackboard
from mustardscale.exceptions import LogUnavailableError
from mustardscale.log.keyed_log import KeyedPage
from mustardscale.platform import names
from mustardscale.platform.store_client import MAX_ANSWER_S
from mustardscale.relay_options import RelayEdges
from standins.host_fleet import hash_of
from standins.large_config import FEW_ROUTES, LargeConfig
from standins.rated_link import BYTES_PER_S_PER_MBIT, carry_over
from standins.rated_peers import HostLinks, RatedPeerNetwork
from standins.store_fleet import CountingLog, CountingStore, StoreFleet

# One host in LARGE_EACH is large, as at a site of 65 with 8 of them.
LARGE_EACH = 8
LARGE_LINK_BYTES_PER_S = 100 * BYTES_PER_S_PER_MBIT
SMALL_LINK_BYTES_PER_S = 5 * BYTES_PER_S_PER_MBIT
LARGE_CAPACITY = 2.15
SMALL_CAPACITY = 0.516
# Bytes around the value of a record: in JSON, and raw.
_ITEM_BYTES = 80
_RECORD_BYTES = 16


class RatedLog(CountingLog):
    """One host's access to the store, over its link."""

    def __init__(self, store: CountingStore, links: HostLinks):
        super().__init__(store)
        self._links = links

    async def newest(self, stream: str) -> KeyedPage:
        """See the base class."""
        try:
            async with asyncio.timeout(MAX_ANSWER_S):
                page = await super().newest(stream)
                # Values are encoded in base64.
                size = sum(
                    len(record.value) * 4 // 3 + _ITEM_BYTES
                    for record in page.records
                )
                await carry_over((self._links.inbound,), size)
                return page
        except TimeoutError as error:
            raise LogUnavailableError('no answer in time') from error

    async def read(self, stream: str, after: int, wait_s: float) -> KeyedPage:
        """See the base class."""
        try:
            async with asyncio.timeout(MAX_ANSWER_S + wait_s):
                page = await super().read(stream, after, wait_s)
                size = sum(
                    len(record.value) + _RECORD_BYTES for record in page.records
                )
                await carry_over((self._links.inbound,), size)
                return page
        except TimeoutError as error:
            raise LogUnavailableError('no answer in time') from error


class RatedFleet(StoreFleet):
    """Hosts of two sizes, whose links carry so many bytes a second.

    Attributes:
        config: the operator's configuration.
        network: the links between the hosts.
    """

    def __init__(
        self,
        hosts: int,
        routes: int = FEW_ROUTES,
        seed: int = 1,
        small_bytes_per_s: float = SMALL_LINK_BYTES_PER_S,
    ):
        """Prepares the hosts.

        Args:
            hosts: number of hosts.
            routes: number of routes from the start.
            seed: seed of all random choices.
            small_bytes_per_s: rate of the links of small hosts.
        """
        self.config = LargeConfig(routes, random.Random(seed))
        self._small_bytes_per_s = small_bytes_per_s
        super().__init__(hosts, seed)
        self.peers = self.network = RatedPeerNetwork(
            random.Random(self.rng.random())
        )

    def is_large(self, host: str) -> bool:
        """Returns whether a host is one of the large ones."""
        return hash_of(host) % LARGE_EACH == 1

    def edges(self, host: str, board: Blackboard) -> RelayEdges:
        """See the base class."""
        is_large = self.is_large(host)
        board.capacity = LARGE_CAPACITY if is_large else SMALL_CAPACITY
        rate = LARGE_LINK_BYTES_PER_S if is_large else self._small_bytes_per_s
        self.network.links_by_host.setdefault(host, HostLinks(rate))
        return super().edges(host, board)

    def make_log(self, host: str) -> CountingLog:
        """See the base class."""
        return RatedLog(self.store, self.network.links_by_host[host])

    def set_routes(self) -> int:
        """Writes a version in which one route has come and one has gone."""
        version = self.config.change()
        self.store.append(
            names.OPERATOR_TOPIC, names.CONFIG_KEY, self.config.encode()
        )
        return version

    def link_bytes(self) -> dict[str, tuple[int, int]]:
        """Returns what the links have carried out and in, by host."""
        return {
            host: (links.outbound.carried_bytes, links.inbound.carried_bytes)
            for host, links in self.network.links_by_host.items()
        }
