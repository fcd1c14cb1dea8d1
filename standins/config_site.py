"""Hosts of two sizes as processes, behind links with rates, and one worker."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import pathlib
import random
import sys
import time
from collections.abc import Sequence

import msgspec
from aiohttp import web

from standins.builds import ROOT
from standins.host_processes import HostProcesses
from standins.large_config import LargeConfig
from standins.peer_links import LinkMap
from standins.platform_plan import worker_entry
from standins.platform_store import (
    OPERATOR_TOPIC,
    WORKERS_TOPIC,
    PlatformStore,
)
from standins.platform_worker import PlatformWorker
from standins.rated_link import BYTES_PER_S_PER_MBIT
from standins.rated_relay import RelayedPath, RelayPlan

# Settings cpu-share and cpu-speed of the hosts.
LARGE_CPU = (0.717, 3)
SMALL_CPU = (0.516, 1)
WORKER_BEAT_S = 1.2
STORE_DELAY_S = 0.004
# Hosts whose addresses each host is given at its start.
SEED_ADDRESSES = 3


class RelayedLinks(LinkMap):
    """The links between hosts that a relay process has."""

    def __init__(self) -> None:
        self._by_caller: dict[str, dict[str, str]] = {}

    def add(self, caller: str, address: str, link: str) -> None:
        """Leads a host's connections to an address through a link."""
        self._by_caller.setdefault(caller, {})[address] = link

    def map_addresses(self, host: str) -> dict[str, str]:
        """See the base class."""
        return self._by_caller.get(host, {})


class ConfigSite:
    """A store, a worker, a relay and hosts.

    Attributes:
        names: ids of the hosts.
        large: ids of the large ones.
        hosts: the hosts.
        config: the operator's configuration.
        acknowledged_at: Unix time at which the store had each version.
        carried: bytes that each host has sent and received, as the relay told
            last; none without a relay.
    """

    def __init__(
        self,
        hosts: int,
        large: int,
        routes: int,
        directory: pathlib.Path,
        code: pathlib.Path | None,
        rng: random.Random,
    ):
        """Prepares the processes.

        Args:
            hosts: number of hosts.
            large: how many of them are large.
            routes: number of routes from the start.
            directory: where logs are kept.
            code: folder of another build that the hosts run.
            rng: draws the configuration.
        """
        directory.mkdir(parents=True, exist_ok=True)
        self.names = [f'h{number:03}' for number in range(hosts)]
        self.large = self.names[:large]
        self.hosts = HostProcesses(self.names, directory)
        self.config = LargeConfig(routes, rng)
        self.acknowledged_at: dict[int, float] = {}
        self.carried: dict[str, tuple[int, int]] = {}
        self.store_address = ''
        self._directory = directory
        self._code = code
        self._store = PlatformStore()
        self._store_by_host: dict[str, str] = {}
        self._sequence = itertools.count(1)
        self._stack = contextlib.AsyncExitStack()

    async def start(self, rates_mbit: tuple[float, float] | None) -> None:
        """Starts everything but the hosts.

        Args:
            rates_mbit: rates of the links of large and of small hosts, None
                for links without a limit.
        """
        store = web.AppRunner(self._store_application(), shutdown_timeout=0.1)
        self.store_address = await self._listen(store)
        worker = PlatformWorker('a1')
        runner = web.ServerRunner(worker.server(), shutdown_timeout=0.1)
        beating = asyncio.create_task(self._beat(await self._listen(runner)))
        self._stack.callback(beating.cancel)
        self.write_version()
        if rates_mbit is not None:
            await self._start_relay(*rates_mbit)

    async def close(self) -> None:
        """Ends all processes."""
        self.hosts.close()
        await self._stack.aclose()

    def start_host(self, name: str) -> None:
        """Starts a host's process."""
        share, cores = LARGE_CPU if name in self.large else SMALL_CPU
        seeds = [
            self.hosts.peers_by_host[host]
            for host in self.names[:SEED_ADDRESSES]
        ]
        self.hosts.start(
            name,
            self._store_by_host.get(name, self.store_address),
            self._code,
            {
                'cpu-share': share,
                'cpu-speed': cores,
                'seed-addresses': ','.join(seeds),
            },
        )

    def write_version(self) -> int:
        """Writes the next version; returns its number."""
        version = self.config.change()
        self._store.put(OPERATOR_TOPIC, 'config', self.config.encode())
        self.acknowledged_at[version] = time.time()
        return version

    def _store_application(self) -> web.Application:
        application = self._store.application()

        @web.middleware
        async def delay(request: web.Request, handler):  # type: ignore[no-untyped-def]
            await asyncio.sleep(STORE_DELAY_S)
            return await handler(request)

        application.middlewares.append(delay)
        return application

    async def _listen(self, runner: web.BaseRunner) -> str:
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        ip, port = runner.addresses[0][:2]
        return f'{ip}:{port}'

    async def _beat(self, address: str) -> None:
        """Writes the worker's entry anew."""
        while True:
            entry = worker_entry(address) | {'sequence': next(self._sequence)}
            self._store.put(WORKERS_TOPIC, 'a1', json.dumps(entry).encode())
            await asyncio.sleep(WORKER_BEAT_S)

    async def _start_relay(self, large_mbit: float, small_mbit: float) -> None:
        plan = RelayPlan(
            {
                name: BYTES_PER_S_PER_MBIT
                * (large_mbit if name in self.large else small_mbit)
                for name in self.names
            },
            list(self._paths()),
        )
        path = self._directory / 'relay.json'
        path.write_bytes(msgspec.json.encode(plan))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *('-m', 'standins.rated_relay', str(path)),
            stdout=asyncio.subprocess.PIPE,
            cwd=ROOT,
            limit=1 << 22,
        )
        self._stack.push_async_callback(_end, process)
        assert process.stdout is not None
        line = await process.stdout.readline()
        address_by_name = msgspec.json.decode(line, type=dict[str, str])
        links = RelayedLinks()
        for relayed in plan.paths:
            address = address_by_name[relayed.name]
            if relayed.called:
                links.add(relayed.caller, relayed.target, address)
            else:
                self._store_by_host[relayed.caller] = address
        self.hosts.relay_links = links
        following = asyncio.create_task(self._follow(process.stdout))
        self._stack.callback(following.cancel)

    def _paths(self) -> Sequence[RelayedPath]:
        paths = [
            RelayedPath(f'{name} store', self.store_address, name)
            for name in self.names
        ]
        for caller, called in itertools.permutations(self.names, 2):
            address = self.hosts.peers_by_host[called]
            paths.append(
                RelayedPath(f'{caller} {called}', address, caller, called)
            )
        return paths

    async def _follow(self, lines: asyncio.StreamReader) -> None:
        async for line in lines:
            self.carried = msgspec.json.decode(
                line, type=dict[str, tuple[int, int]]
            )


async def _end(process: asyncio.subprocess.Process) -> None:
    process.kill()
    await process.wait()
