"""Hosts and workers as processes, with links that can be cut host by host."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import copy
import dataclasses
import json
import math
import pathlib
import random
import signal
import sys
import time
from collections.abc import Mapping
from typing import Any

import msgspec
from aiohttp import web

from standins.handle_judge import Prefill
from standins.host_processes import HostProcesses
from standins.platform_plan import CONFIG, worker_entry
from standins.platform_store import (
    OPERATOR_TOPIC,
    WORKERS_TOPIC,
    PlatformStore,
    StoreCopy,
)
from standins.route_changes import (
    OTHER_SERVICES,
    RouteChange,
    RouteChanges,
)
from standins.store_troubles import StoreTrouble, StoreView
from standins.stream_judge import WorkerRun
from standins.stream_plan import EntryChange, StopNotice
from standins.stream_worker_plan import WorkerPlan
from standins.worker_ids import WorkerIds
from standins.worker_links import EndedWorker, LinkCut, WorkerLink

# The workers of vbf-signage's kind, by id, with the stage of an engine.
WORKER_PHASES = {
    **{f'a{number}': '' for number in range(1, 4)},
    **{f'p{number}': 'prefill' for number in range(1, 3)},
    **{f'd{number}': 'decode' for number in range(1, 9)},
}
# The workers of the services to which routes move, and no others.
OTHER_WORKERS = {'a9': '', 'p9': 'prefill', 'd9': 'decode'}
HEARTBEAT_S = 1.2
LOOK_S = 0.1
# Time after which a worker that has ended starts again, seconds. One that does
# not state its start comes back late enough to be told from the one before.
FIRST_RESTART_S, LAST_RESTART_S = 0.02, 3.0
NAMELESS_RESTART_S = 0.7
START_TIMEOUT_S = 30.0


class WorkerProcess:
    """One worker's process.

    Attributes:
        plan: what it is; each start has another plan.
        address: 'ip:port' at which it listens.
        runs: the runs that it began.
        done_at: Unix time at which it ended a run whole, by name of the run.
        ends: Unix times at which its processes ended.
        refusals: requests that it did not run, by reply.
        arrivals: id and hash of each request that it read.
        prefills: the prefills that it did; their worker is its name.
        sequence: number of its last entry in the list.
        beat_at: loop time of that entry.
    """

    def __init__(self, plan: WorkerPlan):
        self.plan = plan
        self._name = plan.name
        self.address = ''
        self.runs: list[WorkerRun] = []
        self.done_at: dict[str, float] = {}
        self.ends: list[float] = []
        self.arrivals: list[tuple[str, str]] = []
        self.prefills: list[Prefill] = []
        self.refusals: collections.Counter[str] = collections.Counter()
        self.sequence = 0
        self.beat_at = 0.0
        self._process: asyncio.subprocess.Process | None = None
        self._listening = asyncio.Event()
        self._reading: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts the process and waits until it listens."""
        born = int(time.time() * 1000)
        self.plan = msgspec.structs.replace(self.plan, born=born)
        self._listening.clear()
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'standins.stream_worker',
            msgspec.json.encode(self.plan).decode(),
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
        )
        self._reading = asyncio.create_task(self._read(self._process))
        async with asyncio.timeout(START_TIMEOUT_S):
            await self._listening.wait()

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        async for line in process.stdout:
            said = json.loads(line)
            if 'listening' in said:
                self.address = said['listening']
                self._listening.set()
            elif 'done' in said:
                self.done_at[said['done']] = said['at']
            elif 'read' in said:
                self.arrivals.append((said['read'], said['hash']))
            elif 'prefilled' in said:
                self.prefills.append(
                    Prefill(
                        self._name,
                        said['prefilled'],
                        said['handle'],
                        said['at'],
                    )
                )
            elif 'refused' in said:
                self.refusals[said['reply']] += 1
            elif 'stopped' in said:
                self._record(said['stopped'], stop=said['why'])
            elif 'run' not in said:
                self._record(said['cut'], is_cut=True)
            else:
                said['name'] = said.pop('run')
                self.runs.append(WorkerRun(**said))

    def _record(self, name: str, **fields: Any) -> None:
        """Records how the worker ended a run's answer early."""
        for index, run in enumerate(self.runs):
            if run.name == name:
                self.runs[index] = dataclasses.replace(run, **fields)

    @property
    def has_ended(self) -> bool:
        """Whether the process was started and has ended."""
        return (
            self._process is not None and self._process.returncode is not None
        )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def end(self) -> None:
        """Ends the process and reads what it has written."""
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()
        if self._reading is not None:
            await self._reading


class StreamSite:
    """A store, workers and hosts.

    Attributes:
        workers: the workers, by id.
        hosts: the entry hosts.
    """

    def __init__(
        self,
        names: list[str],
        directory: pathlib.Path,
        plans: Mapping[str, WorkerPlan],
        rng: random.Random,
        code_by_host: Mapping[str, pathlib.Path] | None = None,
        ids_rng: random.Random | None = None,
    ):
        """Prepares the processes.

        Args:
            names: ids of the hosts.
            directory: where logs are kept.
            plans: the workers, by id.
            rng: draws how workers that have ended come back.
            code_by_host: folders of other builds that hosts run.
            ids_rng: draws which workers start again under a new id, None for
                none.
        """
        directory.mkdir(parents=True, exist_ok=True)
        self.workers = {
            name: WorkerProcess(plan) for name, plan in plans.items()
        }
        self.hosts = HostProcesses(names, directory)
        self._store = PlatformStore()
        self._names = names
        self._rng = rng
        self._ids = WorkerIds(plans, ids_rng)
        self._code_by_host = dict(code_by_host or {})
        # Infinite for hosts that were not replaced.
        self._replaced_at_by_host = dict.fromkeys(self._code_by_host, math.inf)
        self._links = {
            host: {name: WorkerLink() for name in plans} for host in names
        }
        self._store_address_by_host: dict[str, str] = {}
        self._view_by_host = {name: StoreView() for name in names}
        self._change_by_worker: dict[str, EntryChange] = {}
        self._stack = contextlib.AsyncExitStack()
        self._restarting: set[str] = set()
        self._leaving: set[str] = set()
        self._routes = RouteChanges(_make_config())
        self._copies: list[StoreCopy] = []
        # Ids whose entries were removed when their processes had ended.
        self._former_ids: list[str] = []

    async def __aenter__(self) -> StreamSite:
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
        for worker in self.workers.values():
            await worker.end()
        for links in self._links.values():
            for link in links.values():
                await link.close()

    async def _start(self) -> None:
        self._configure()
        async with asyncio.TaskGroup() as group:
            for name in self.workers:
                group.create_task(self._start_worker(name))
        await self.hosts.links.start()
        self._stack.push_async_callback(self.hosts.links.close)
        for name in self._names:
            self._store_address_by_host[name] = await self._serve_store(name)
            self.start_host(name)
        beating = asyncio.create_task(self._beat())
        self._stack.callback(beating.cancel)
        await self.hosts.wait_ready(self._names)

    def _configure(self) -> None:
        """Writes the operator's configuration."""
        config = json.dumps(self._routes.make()).encode()
        self._store.put(OPERATOR_TOPIC, 'config', config)

    def change_route(self, route: str, change: RouteChange | None) -> None:
        """Changes a route, or sets it back (None)."""
        self._routes.change(route, change)
        self._configure()

    def copy_store(self) -> None:
        """Keeps a copy of the store, to be set back to."""
        self._copies.append(self._store.take_copy())

    def set_store_back(self) -> None:
        """Lets the store come back from the oldest copy that is kept.

        Workers and the operator write anew what it has lost.
        """
        self._store.come_back_from(self._copies.pop(0))
        self._configure()
        for former_id in self._former_ids:
            self._store.put(WORKERS_TOPIC, former_id, b'')

    def map_addresses(self) -> dict[str, str]:
        """Returns the workers by each address at which a host reaches them."""
        return {
            link.address: name
            for links in self._links.values()
            for name, link in links.items()
        }

    def find_closed_requests(self) -> set[str]:
        """Returns the requests whose connection `close_links` has closed."""
        return {
            request
            for links in self._links.values()
            for link in links.values()
            for request in link.closed_requests
        }

    async def _serve_store(self, host: str) -> str:
        """Serves the store to a host, whose links stand in the list."""

        def view(topic: str, record: bytes) -> bytes:
            return self._show(host, topic, record)

        application = self._store.application(view)
        self._view_by_host[host].install(application)
        runner = web.AppRunner(application, shutdown_timeout=0.1)
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        ip, port = runner.addresses[0][:2]
        return f'{ip}:{port}'

    def _show(self, host: str, topic: str, record: bytes) -> bytes:
        """Returns a record as a host reads it."""
        end = 1 + record[0]
        if topic != WORKERS_TOPIC or len(record) == end:
            return record
        name = self._ids.name_of(record[1:end].decode())
        try:
            entry = json.loads(record[end:])
        except ValueError:
            return record
        if not isinstance(entry.get('address'), str):
            return record
        entry['address'] = self._links[host][name].address
        return record[:end] + json.dumps(entry).encode()

    async def _start_worker(self, name: str) -> None:
        worker = self.workers[name]
        await worker.start()
        for links in self._links.values():
            await links[name].lead_to(worker.address)
        self._leaving.discard(name)
        self._list(name)

    def announce_stop(self, name: str, notice: StopNotice) -> None:
        """Lets a worker announce that it leaves."""
        worker = self.workers[name]
        if worker.has_ended:
            return
        self._leaving.add(name)
        if notice is StopNotice.LISTED:
            self._list(name, 'draining')
        elif notice is StopNotice.REMOVED:
            self._store.put(WORKERS_TOPIC, self._ids.id_of(name), b'')
        if notice is not StopNotice.NONE:
            worker.send_signal(signal.SIGUSR1)

    def _list(self, name: str, state: str = 'ready') -> None:
        """Writes a worker's entry."""
        worker = self.workers[name]
        worker.beat_at = asyncio.get_running_loop().time()
        worker.sequence += 1
        entry = worker_entry(worker.address, worker.plan.phase, state)
        entry |= {'sequence': worker.sequence, 'born': worker.plan.born}
        if name in OTHER_WORKERS:
            entry['service'] = OTHER_SERVICES[entry['service']]
        written = encode_entry(entry, self._change_by_worker.get(name))
        self._store.put(WORKERS_TOPIC, worker.plan.name, written)

    def change_entry(self, name: str, change: EntryChange | None) -> None:
        """Changes a worker's entry, or lets it be written soundly again."""
        if change is None:
            self._change_by_worker.pop(name, None)
        else:
            self._change_by_worker[name] = change
        if name not in self._leaving and not self.workers[name].has_ended:
            self._list(name)

    def trouble_store(self, host: str, trouble: StoreTrouble | None) -> None:
        """Lets the store treat a host's calls wrongly, None for soundly."""
        self._view_by_host[host].trouble = trouble

    def count_store_troubles(self) -> int:
        """Returns how many calls to the store met a trouble."""
        return sum(view.calls for view in self._view_by_host.values())

    def count_refusals(self) -> collections.Counter[str]:
        """Returns the requests that workers did not run, by reply."""
        counts: collections.Counter[str] = collections.Counter()
        for worker in self.workers.values():
            counts += worker.refusals
        return counts

    async def _beat(self) -> None:
        """Writes the workers' entries anew, and starts those that ended."""
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(LOOK_S / 5)
                now = asyncio.get_running_loop().time()
                for name, worker in self.workers.items():
                    if worker.has_ended and name not in self._restarting:
                        self._restarting.add(name)
                        worker.ends.append(time.time())
                        group.create_task(self._restart(name))
                    elif (
                        not worker.has_ended
                        and name not in self._leaving
                        and now - worker.beat_at > HEARTBEAT_S
                    ):
                        self._list(name)

    async def _restart(self, name: str) -> None:
        ended = self._rng.choice(list(EndedWorker))
        after_s = self._rng.uniform(FIRST_RESTART_S, LAST_RESTART_S)
        if not self.workers[name].plan.states_start:
            after_s = max(after_s, NAMELESS_RESTART_S)
        for links in self._links.values():
            await links[name].end(ended)
        await asyncio.sleep(after_s)
        former = self._ids.draw_former(name)
        worker = self.workers[name]
        worker.plan = msgspec.structs.replace(
            worker.plan, name=self._ids.id_of(name)
        )
        await self._start_worker(name)
        self._restarting.discard(name)
        if former is not None:
            # The entry of a process that ended in silence stays for a time.
            await asyncio.sleep(former.listed_s)
            self._store.put(WORKERS_TOPIC, former.id, b'')
            self._former_ids.append(former.id)

    def start_host(self, name: str) -> None:
        """Starts a host's process."""
        self.hosts.start(
            name,
            self._store_address_by_host[name],
            self._code_by_host.get(name),
        )

    def replace_build(self, name: str) -> None:
        """Lets a host's next processes run this build."""
        if self._code_by_host.pop(name, None) is not None:
            now = asyncio.get_running_loop().time()
            self._replaced_at_by_host[name] = now

    @property
    def has_other_builds(self) -> bool:
        """Whether hosts run another build, or did at first."""
        return bool(self._replaced_at_by_host)

    def ran_other_build(self, name: str, at: float) -> bool:
        """Returns whether a host ran another build than this one.

        Args:
            name: id of the host.
            at: loop time.
        """
        return at < self._replaced_at_by_host.get(name, -math.inf)

    async def cut_host(self, name: str, cut: LinkCut) -> None:
        """Cuts a host off from all workers."""
        for link in self._links[name].values():
            await link.cut(cut)

    def close_links(self, name: str, most: int | None = None) -> int:
        """Closes a host's open connections to a worker without a reset.

        Args:
            name: id of the host.
            most: how many are closed at most, None for all.

        Returns:
            How many were closed.
        """
        links = [link for link in self._links[name].values() if link.is_used]
        return self._rng.choice(links).close_open(most) if links else 0

    async def restore_host(self, name: str) -> None:
        """Ends the cut of a host."""
        for link in self._links[name].values():
            await link.restore()


def _make_config() -> dict[str, Any]:
    """Returns the operator's first configuration."""
    config: dict[str, Any] = copy.deepcopy(CONFIG)
    for route in config['routes']:
        # A stream that may not be resumed has one attempt.
        if route['name'] == 'once':
            route['max_attempts'] = 1
    return config


def encode_entry(entry: dict[str, Any], change: EntryChange | None) -> bytes:
    """Returns a worker's entry as bytes, changed in one way or sound.

    >>> encode_entry({'address': 'a'}, EntryChange.NO_ADDRESS)
    b'{}'
    """
    if change is EntryChange.EXPIRED:
        return b''
    if change is EntryChange.UNREADABLE:
        return b'\xff{'
    changed = dict(entry)
    if change is EntryChange.NO_ADDRESS:
        del changed['address']
    elif change is EntryChange.WRONG_TYPES:
        changed |= {'address': 7, 'slot_count': 'many', 'born': 'today'}
    elif change is EntryChange.UNKNOWN_STATE:
        changed['state'] = 'resting'
    elif change is EntryChange.UNKNOWN_SERVICE:
        changed['service'] = 'nobody'
    return json.dumps(changed).encode()
