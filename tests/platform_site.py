"""A small platform site of stand-ins and hosts in the test process."""

import asyncio
import contextlib
import json

import aiohttp
from aiohttp import web

from mustardscale.callers.caller_connections import CallerLimits
from mustardscale.peers.peer_connections import split_address
from mustardscale.platform.entry import make_router
from mustardscale.platform.front_http import FrontServer
from mustardscale.reporting.event_log import NoEvents
from mustardscale.settings.relay_settings import RelaySettings
from standins.platform_plan import CONFIG, HOST, worker_entry
from standins.platform_store import (
    OPERATOR_TOPIC,
    WORKERS_TOPIC,
    PlatformStore,
)
from standins.platform_worker import PlatformWorker
from standins.reserved_ports import reserved_addresses

WAIT_S = 20.0


async def until(condition):
    """Waits until a condition holds; the test fails if it never does."""
    async with asyncio.timeout(WAIT_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


async def listen(server):
    """Serves on a free port of loopback; returns runner and address."""
    if isinstance(server, web.Application):
        runner = web.AppRunner(server, shutdown_timeout=0.1)
    else:
        runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    ip, port = runner.addresses[0][:2]
    return runner, f'{ip}:{port}'


class PlatformSite:
    """A store, two plain workers, three engines and some hosts."""

    def __init__(self):
        self.store = PlatformStore()
        self.workers = {
            name: PlatformWorker(name, phase)
            for name, phase in (
                ('a1', ''),
                ('a2', ''),
                ('p1', 'prefill'),
                ('d1', 'decode'),
                ('d2', 'decode'),
            )
        }
        self.routers = []
        self.fronts = []
        self._stack = contextlib.AsyncExitStack()

    @property
    def ran_ids(self):
        """Ids of the requests that its workers ran."""
        return [run for worker in self.workers.values() for run in worker.ran]

    async def __aenter__(self):
        """Starts the stand-ins."""
        await self._stack.__aenter__()
        self.session = await self._stack.enter_async_context(
            aiohttp.ClientSession()
        )
        self.store_address = await self._serve(self.store.application())
        self.address_by_worker = {
            name: await self._serve(worker.server())
            for name, worker in self.workers.items()
        }
        for name, worker in self.workers.items():
            worker.address = self.address_by_worker[name]
            worker.workers_by_address = {
                self.address_by_worker[other]: self.workers[other]
                for other in self.workers
            }
        for name in self.workers:
            self.list_worker(name)
        self.configure(CONFIG)
        return self

    async def __aexit__(self, *error):
        """Stops everything."""
        await self._stack.__aexit__(*error)

    async def _serve(self, server):
        runner, address = await listen(server)
        self._stack.push_async_callback(runner.cleanup)
        return address

    def list_worker(self, name, state='ready'):
        worker = self.workers[name]
        entry = worker_entry(self.address_by_worker[name], worker.phase, state)
        self.store.put(WORKERS_TOPIC, name, json.dumps(entry).encode())

    def unlist_worker(self, name):
        self.store.put(WORKERS_TOPIC, name, b'')

    def restart_worker(self, name, new_name):
        """Lists a worker that has ended under another id at its address."""
        worker = self.workers.pop(name)
        worker.instance = new_name
        self.workers[new_name] = worker
        self.address_by_worker[new_name] = self.address_by_worker.pop(name)
        self.unlist_worker(name)
        self.list_worker(new_name)

    def configure(self, config):
        self.store.put(OPERATOR_TOPIC, 'config', json.dumps(config).encode())

    async def add_host(self, name, seeds=(), **fields):
        """Starts a host and waits until it is ready."""
        (peers,) = self._stack.enter_context(reserved_addresses(1))
        settings = RelaySettings(
            host_id=name,
            data_centre='z',
            region='r',
            callers_listen='127.0.0.1:0',
            ready_listen='127.0.0.1:0',
            peers_listen=peers,
            seed_addresses=tuple(seeds),
            store_address=self.store_address,
            heartbeat_s=0.1,
            dead_after_s=0.5,
            prefill_share=0.34,
            **fields,
        )
        router = make_router(settings, NoEvents())
        await router.start()
        self._stack.push_async_callback(router.stop)
        front = FrontServer(router, CallerLimits(), 0.1)
        await front.start('127.0.0.1', 0)
        self._stack.push_async_callback(front.stop)
        self.routers.append(router)
        self.fronts.append(front)
        await until(router.is_ready)
        return router

    def url(self, path, host=0):
        ip, port = split_address(self.fronts[host].address)
        return f'http://{ip}:{port}{path}'

    async def ask(self, path, request_id, host=0, **fields):
        """Sends a request; returns status, headers and body."""
        headers = {
            'Host': HOST,
            'X-Request-Id': request_id,
            'X-Request-Deadline': '5000',
        } | fields.pop('headers', {})
        async with self.session.post(
            self.url(path, host), headers=headers, data=b'body', **fields
        ) as response:
            return response.status, response.headers, await response.read()
