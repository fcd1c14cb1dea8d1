"""A site on the platform whose hosts are processes of their own."""

from __future__ import annotations

import contextlib
import copy
import json
import pathlib

from aiohttp import web

from standins.host_processes import HostProcesses
from standins.loopback_proxy import LoopbackProxy
from standins.platform_plan import CONFIG, worker_entry
from standins.platform_store import (
    OPERATOR_TOPIC,
    WORKERS_TOPIC,
    PlatformStore,
    StoreCopy,
)
from standins.platform_worker import PlatformWorker

EVENT_GAP_S = 0.02
WORKER_PHASES = {
    'a1': '',
    'a2': '',
    'a3': '',
    'p1': 'prefill',
    'd1': 'decode',
    'd2': 'decode',
    'd3': 'decode',
}
# Software versions of the engines, which they write into their events.
VERSION_BY_WORKER = {'p1': 'v1', 'd1': 'v1', 'd2': 'v1', 'd3': 'v2'}


class PlatformProcesses:
    """The store, workers behind proxies, and hosts as processes.

    Attributes:
        store: the store.
        worker_by_name: the workers.
        link_by_worker: the proxy before each worker.
        store_link_by_host: the proxy between each host and the store.
        callers_by_host: 'ip:port' for callers of each host.
        ready_by_host: 'ip:port' for readiness of each host.
        peers_by_host: 'ip:port' for peers of each host.
        process_by_host: the processes started last.
    """

    def __init__(self, hosts: int, directory: pathlib.Path):
        self.store = PlatformStore()
        self._state_by_worker: dict[str, str] = {}
        self.worker_by_name = {
            name: PlatformWorker(name, phase, EVENT_GAP_S)
            for name, phase in WORKER_PHASES.items()
        }
        self.link_by_worker: dict[str, LoopbackProxy] = {}
        self.store_link_by_host: dict[str, LoopbackProxy] = {}
        self._names = [f'h{number}' for number in range(hosts)]
        self._hosts = HostProcesses(self._names, directory)
        self.callers_by_host = self._hosts.callers_by_host
        self.ready_by_host = self._hosts.ready_by_host
        self.peers_by_host = self._hosts.peers_by_host
        self.process_by_host = self._hosts.process_by_host
        self._directory = directory
        self._config = copy.deepcopy(CONFIG)
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> PlatformProcesses:
        """Starts everything and waits until each host is ready."""
        await self._stack.__aenter__()
        self._directory.mkdir(parents=True, exist_ok=True)
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *error: object) -> None:
        """Ends the processes and the stand-ins."""
        self._hosts.close()
        await self._stack.aclose()

    async def _start(self) -> None:
        runner = web.AppRunner(self.store.application(), shutdown_timeout=0.1)
        store_address = await self._listen(runner)
        for name, worker in self.worker_by_name.items():
            address = await self._listen(
                web.ServerRunner(worker.server(), shutdown_timeout=0.1)
            )
            link = await self._proxy(address)
            self.link_by_worker[name] = link
            worker.on_end = link.end
            worker.version = VERSION_BY_WORKER.get(name, '')
            self.list_worker(name)
        self.store.put(
            OPERATOR_TOPIC, 'config', json.dumps(self._config).encode()
        )
        for name in self._names:
            self.store_link_by_host[name] = await self._proxy(store_address)
        for name in self._names:
            self.start_host(name)
        await self.wait_ready(self._names)

    async def _listen(self, runner: web.BaseRunner) -> str:
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        ip, port = runner.addresses[0][:2]
        return f'{ip}:{port}'

    async def _proxy(self, target: str) -> LoopbackProxy:
        proxy = LoopbackProxy(target)
        await proxy.start()
        self._stack.push_async_callback(proxy.close)
        return proxy

    def list_worker(self, name: str, state: str = 'ready') -> None:
        """Writes a worker's entry."""
        self._state_by_worker[name] = state
        entry = worker_entry(
            self.link_by_worker[name].address,
            WORKER_PHASES[name],
            state,
            VERSION_BY_WORKER.get(name, 'v1'),
        )
        entry['born'] = self.worker_by_name[name].born
        self.store.put(WORKERS_TOPIC, name, json.dumps(entry).encode())

    async def restart_worker(self, name: str) -> None:
        """Starts a worker whose process has ended, if it has."""
        link = self.link_by_worker[name]
        if link.has_ended:
            self.worker_by_name[name].born += 1
            self.list_worker(name, self._state_by_worker[name])
            await link.listen_again()

    def set_store_back(self, copy: StoreCopy) -> None:
        """Lets the store come back from a copy.

        What the operator and the workers wrote is written again.
        """
        self.store.come_back_from(copy)
        for name, state in self._state_by_worker.items():
            self.list_worker(name, state)
        self.store.put(
            OPERATOR_TOPIC, 'config', json.dumps(self._config).encode()
        )

    def change_config(self) -> None:
        """Writes a new version of the configuration."""
        self._config['version'] += 1
        self.store.put(
            OPERATOR_TOPIC, 'config', json.dumps(self._config).encode()
        )

    def start_host(self, name: str) -> None:
        """Starts a host's process; its output goes to NAME.log."""
        self._hosts.start(name, self.store_link_by_host[name].address)

    async def wait_ready(self, hosts: list[str]) -> None:
        """Waits until hosts say that they are ready.

        Raises:
            TimeoutError: one of them is not in time.
        """
        await self._hosts.wait_ready(hosts)
