"""Hosts as processes, one of them out of step, before engines of versions."""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import signal
from collections.abc import Mapping, Sequence

from aiohttp import web

from standins.host_processes import HostProcesses
from standins.loopback_proxy import LinkState, LoopbackProxy
from standins.platform_plan import CONFIG, worker_entry
from standins.platform_store import (
    OPERATOR_TOPIC,
    WORKERS_TOPIC,
    PlatformStore,
)
from standins.platform_worker import PlatformWorker
from standins.releases import OutOfStep

EVENTS = 14
EVENT_GAP_S = 0.02
HEARTBEAT_S = 1.0
# What a host's link to the store does.
STORE_LINK_BY_KIND = {
    OutOfStep.AWAY: LinkState.SILENT,
    OutOfStep.DEAF: LinkState.ONE_WAY,
    OutOfStep.MUTE: LinkState.CALLS_KEPT,
    OutOfStep.STORE_SILENT: LinkState.SILENT,
    OutOfStep.STORE_REFUSES: LinkState.REFUSED,
}


class SkewSite:
    """A store, engines in this process, and hosts as processes.

    Attributes:
        hosts: the hosts.
        worker_by_name: the engines.
    """

    def __init__(
        self,
        names: Sequence[str],
        directory: pathlib.Path,
        code_by_host: Mapping[str, pathlib.Path],
    ):
        """Prepares the processes.

        Args:
            names: ids of the hosts.
            directory: where logs are kept.
            code_by_host: folders of other builds that hosts run.
        """
        directory.mkdir(parents=True, exist_ok=True)
        self.hosts = HostProcesses(names, directory)
        self.hosts.links_all = True
        self.worker_by_name: dict[str, PlatformWorker] = {}
        self._names = list(names)
        self._code_by_host = code_by_host
        self._store = PlatformStore()
        self._store_link_by_host: dict[str, LoopbackProxy] = {}
        self._link_by_worker: dict[str, LoopbackProxy] = {}
        self._sequence = 0
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> SkewSite:
        """Starts everything and waits until each host is ready."""
        await self._stack.__aenter__()
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *error: object) -> None:
        """Ends the processes."""
        self.hosts.close()
        await self._stack.aclose()

    async def _start(self) -> None:
        config = json.dumps(CONFIG).encode()
        self._store.put(OPERATOR_TOPIC, 'config', config)
        await self.add_worker('p1', 'v1', 'prefill')
        for number in range(1, 4):
            await self.add_worker(f'd{number}', 'v1')
        store = web.AppRunner(self._store.application(), shutdown_timeout=0.1)
        store_address = await self._listen(store)
        await self.hosts.links.start()
        self._stack.push_async_callback(self.hosts.links.close)
        for name in self._names:
            link = await self._proxy(store_address)
            self._store_link_by_host[name] = link
            self.hosts.start(name, link.address, self._code_by_host.get(name))
        beating = asyncio.create_task(self._beat())
        self._stack.callback(beating.cancel)
        await self.hosts.wait_ready(self._names)

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

    async def _beat(self) -> None:
        """Writes the entries of the engines anew."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for name in list(self.worker_by_name):
                self._list(name)

    async def add_worker(
        self, name: str, version: str, phase: str = 'decode'
    ) -> None:
        """Starts an engine."""
        worker = PlatformWorker(name, phase, EVENT_GAP_S)
        worker.version, worker.events = version, EVENTS
        runner = web.ServerRunner(worker.server(), shutdown_timeout=0.1)
        address = await self._listen(runner)
        self._link_by_worker[name] = await self._proxy(address)
        self.worker_by_name[name] = worker
        self._list(name)

    def _list(self, name: str) -> None:
        worker = self.worker_by_name[name]
        entry = worker_entry(
            self._link_by_worker[name].address,
            worker.phase,
            version=worker.version,
        )
        self._sequence += 1
        entry |= {'born': worker.born, 'sequence': self._sequence}
        self._store.put(WORKERS_TOPIC, name, json.dumps(entry).encode())

    async def restart_worker(self, name: str, version: str) -> None:
        """Starts an engine again under its id and address."""
        link = self._link_by_worker[name]
        link.end()
        worker = self.worker_by_name[name]
        worker.version = version
        worker.born += 1
        await link.listen_again()
        self._list(name)

    def set_out_of_step(self, host: str, kind: OutOfStep) -> None:
        """Keeps a host out of step from now on."""
        if kind is OutOfStep.STOPPED:
            self.hosts.send_signal(host, signal.SIGSTOP)
            return
        self._store_link_by_host[host].state = STORE_LINK_BY_KIND[kind]
        if kind is OutOfStep.STORE_REFUSES:
            self._store_link_by_host[host].reset()
        links = self.hosts.links
        for other in self._names:
            if other != host and kind in (OutOfStep.AWAY, OutOfStep.MUTE):
                links.lose(host, other)
            if other != host and kind in (OutOfStep.AWAY, OutOfStep.DEAF):
                links.lose(other, host)

    def bring_back(self, host: str) -> None:
        """Ends that a host is out of step."""
        self.hosts.send_signal(host, signal.SIGCONT)
        self._store_link_by_host[host].state = LinkState.WHOLE
        for other in self._names:
            if other != host:
                self.hosts.links.restore(host, other)
                self.hosts.links.restore(other, host)
