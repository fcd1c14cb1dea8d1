"""A small deployment on loopback for the scripts of the cases.

The entry hosts are processes of the deploy file's command. The store runs in
the script's process; each worker is a process of its own (worker.py).
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / 'target' / 'deps')]

import aiohttp  # noqa: E402
from aiohttp import web  # noqa: E402

from standins.platform_store import (  # noqa: E402
    OPERATOR_TOPIC,
    WORKERS_TOPIC,
    PlatformStore,
)

HELD = 0
BROKEN = 1
NOT_RUN = 2

BEAT_S = 1.2
READY_TIMEOUT_S = 30.0
CALLER_HOST = 'desk.example'
ZONES = ('zone-a', 'zone-b', 'zone-c')
_PLACEHOLDER = re.compile(r'\{\{([a-z_.]+)\}\}')


def is_troubled() -> bool:
    """Returns whether the disruption takes place."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, directory: pathlib.Path):
        self._file = (directory / 'record.txt').open('w')
        self._began_at = time.monotonic()

    def add(self, text: str) -> None:
        """Adds a line with the seconds since the start."""
        now = time.monotonic() - self._began_at
        self._file.write(f'{now:8.3f} {text}\n')
        self._file.flush()


class Store(PlatformStore):
    """The project's stand-in of the store, without the header of eras."""

    def application(self) -> web.Application:
        """Returns the application to serve."""
        application = web.Application()
        for method, path, handler in (
            ('GET', '/mustardscale/log-newest', self._on_newest),
            ('GET', '/mustardscale/log-read', self._on_read),
            ('POST', '/mustardscale/log-append', self._on_append),
        ):
            application.router.add_route(method, path, handler)
        return application


class Worker:
    """One worker's process.

    Attributes:
        name: its id.
        address: 'ip:port' at which it listens.
        said: the lines that it has written, as JSON objects.
    """

    def __init__(self, name: str, service: str, zone: str, phase: str = ''):
        self.name = name
        self.service = service
        self.zone = zone
        self.phase = phase
        self.address = ''
        self.born = 0
        self.sequence = 0
        self.state = 'ready'
        self.said: list[dict[str, Any]] = []
        self._lines: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None

    async def start(self, options: dict[str, Any]) -> None:
        """Starts the process and waits until it listens."""
        self.born = int(time.time() * 1000)
        plan = options | {
            'name': self.name,
            'phase': self.phase,
            'service': self.service,
            'born': self.born,
        }
        self._process = await asyncio.create_subprocess_exec(
            'python3',
            str(ROOT / 'review' / 'worker.py'),
            json.dumps(plan),
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            env=process_environment(),
        )
        self._reading = asyncio.create_task(self._read())
        listening = await self.next_line(10.0)
        self.address = listening['listening']

    async def _read(self) -> None:
        assert self._process is not None
        assert self._process.stdout is not None
        async for line in self._process.stdout:
            said = json.loads(line)
            self.said.append(said)
            self._lines.put_nowait(said)

    async def next_line(self, timeout_s: float) -> dict[str, Any]:
        """Waits for the next line of the process."""
        async with asyncio.timeout(timeout_s):
            return await self._lines.get()

    def forget_lines(self) -> None:
        """Drops the lines that nobody has waited for."""
        while not self._lines.empty():
            self._lines.get_nowait()

    def entry(self) -> bytes:
        """Returns its entry in the list of workers."""
        self.sequence += 1
        entry: dict[str, Any] = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slot_count': 6,
            'state': self.state,
            'cold_remaining_ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }
        if self.phase:
            entry |= {'phase': self.phase}
        return json.dumps(entry).encode()

    @property
    def runs(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.returncode is None

    def kill(self) -> None:
        """Ends the process at once."""
        if self.runs:
            assert self._process is not None
            self._process.kill()

    async def end(self) -> None:
        """Ends the process and waits for its end."""
        self.kill()
        if self._process is not None:
            await self._process.wait()
        if self._reading is not None:
            await self._reading


class Host:
    """One entry host's process."""

    def __init__(self, name: str, zone: str):
        self.name = name
        self.zone = zone
        self.callers, self.ready, self.peers = free_addresses(3)
        self._process: asyncio.subprocess.Process | None = None

    async def start(
        self, directory: pathlib.Path, fields: dict[str, str]
    ) -> None:
        """Starts the process of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        role = deploy['roles']['entry']
        values = fields | {
            'node_name': self.name,
            'zone': self.zone,
            'listen_addrs.front': self.callers,
            'listen_addrs.ready': self.ready,
            'listen_addrs.control': self.peers,
        }
        template = (ROOT / role['template']).read_text()
        text = _PLACEHOLDER.sub(lambda match: values[match[1]], template)
        settings = directory / f'{self.name}.conf'
        settings.write_text(text)
        with (directory / f'{self.name}.log').open('ab') as output:
            self._process = await asyncio.create_subprocess_exec(
                *role['run'].split(),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                cwd=ROOT,
                env=process_environment()
                | {'MUSTARDSCALE_BOOT': str(settings)},
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Waits for the end of the process; returns its exit code."""
        assert self._process is not None
        return await self._process.wait()

    async def end(self) -> None:
        """Ends the process and waits for its end."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    async def is_ready(self, session: aiohttp.ClientSession) -> bool:
        """Returns whether it says that it is ready."""
        url = f'http://{self.ready}/mustardscale/ready'
        try:
            async with session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False


class Site:
    """A store, workers and entry hosts.

    Attributes:
        record: what was sent, answered and run.
        store: the store.
        workers: the workers, by name.
        hosts: the entry hosts, in order.
        session: sends calls with a connection each.
    """

    def __init__(self, record: Record, config: dict[str, Any], hosts: int = 3):
        self.record = record
        self.store = Store()
        self.workers: dict[str, Worker] = {}
        self.hosts = [
            Host(f'edge-{number + 1}', ZONES[number % len(ZONES)])
            for number in range(hosts)
        ]
        self._config = config
        self._stack = contextlib.AsyncExitStack()
        self._beat_at: dict[str, float] = {}

    async def __aenter__(self) -> Site:
        """Starts the store."""
        await self._stack.__aenter__()
        self._directory = pathlib.Path(
            self._stack.enter_context(
                tempfile.TemporaryDirectory(ignore_cleanup_errors=True)
            )
        )
        self.session = await self._stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, force_close=True),
                auto_decompress=False,
            )
        )
        runner = web.AppRunner(self.store.application(), shutdown_timeout=0.1)
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        ip, port = runner.addresses[0][:2]
        self._store_address = f'{ip}:{port}'
        beats = asyncio.create_task(self._beat())
        self._stack.callback(beats.cancel)
        self.configure(self._config)
        return self

    async def __aexit__(self, *error: object) -> None:
        """Ends all processes."""
        for host in self.hosts:
            await host.end()
        for worker in self.workers.values():
            await worker.end()
        await self._stack.aclose()

    def configure(self, config: dict[str, Any]) -> None:
        """Writes a configuration as the operator."""
        content = json.dumps(config).encode()
        self.store.put(OPERATOR_TOPIC, 'config', content)

    async def add_worker(self, worker: Worker, options: dict[str, Any]) -> None:
        """Starts a worker and lists it."""
        await worker.start(options)
        self.workers[worker.name] = worker
        self._list(worker)

    def _list(self, worker: Worker) -> None:
        self._beat_at[worker.name] = time.monotonic()
        self.store.put(WORKERS_TOPIC, worker.name, worker.entry())

    async def _beat(self) -> None:
        """Writes the entries anew; removes those of workers that are silent."""
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for name, beat_at in list(self._beat_at.items()):
                worker = self.workers[name]
                if worker.runs and now - beat_at >= BEAT_S:
                    self._list(worker)
                elif now - beat_at >= 3 * BEAT_S:
                    del self._beat_at[name]
                    self.store.put(WORKERS_TOPIC, name, b'')

    def fields(self) -> dict[str, str]:
        """Returns what the platform fills into the settings of all hosts."""
        return {
            'region': 'region-1',
            'limits.cpu_share': '0.537',
            'limits.cpu_cores': '2',
            'seed_nodes': ','.join(host.peers for host in self.hosts[:3]),
            'platform.address': self._store_address,
            'bounds.retry_budget_ratio': '0.2',
            'bounds.retry_slack': '52',
            'bounds.retry_window_s': '10',
        }

    async def start_host(self, host: Host) -> None:
        """Starts the process of an entry host."""
        await host.start(self._directory, self.fields())

    async def start_hosts(self) -> None:
        """Starts the entry hosts and waits until all are ready."""
        for host in self.hosts:
            await self.start_host(host)
        async with asyncio.timeout(READY_TIMEOUT_S):
            for host in self.hosts:
                while not await host.is_ready(self.session):  # noqa: ASYNC110
                    await asyncio.sleep(0.1)

    def host_log(self, host: Host) -> str:
        """Returns what a host's process has written."""
        return (self._directory / f'{host.name}.log').read_text()

    async def ask(
        self,
        host: Host,
        method: str,
        path: str,
        request_id: str,
        deadline_ms: int,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> tuple[int, dict[str, str], bytes, str]:
        """Sends a request as a client.

        Returns:
            Status, headers, body, and what cut the answer short, '' for
            nothing. The status is 0 if there was no answer.
        """
        sent = {
            'Host': CALLER_HOST,
            'X-Request-Id': request_id,
            'X-Request-Deadline': str(deadline_ms),
        } | (headers or {})
        status = 0
        fields: dict[str, str] = {}
        content = b''
        self.record.add(f'client sends {method} {path} {request_id}')
        try:
            async with (
                asyncio.timeout(deadline_ms / 1000 + 1.0),
                self.session.request(
                    method,
                    f'http://{host.callers}{path}',
                    headers=sent,
                    data=body or None,
                ) as response,
            ):
                status, fields = response.status, dict(response.headers)
                async for chunk in response.content.iter_any():
                    content += chunk
            cut = ''
        except (aiohttp.ClientError, TimeoutError) as error:
            cut = f'{type(error).__name__}: {error}'
        self.record.add(
            f'client gets {request_id} status {status} bytes {len(content)}'
            f' signature {fields.get("X-Response-Signature", "none")}'
            f' cut {cut or "no"}'
        )
        return status, fields, content, cut


def route(name: str, service: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Returns a route of the operator's configuration."""
    return {
        'name': name,
        'host': CALLER_HOST,
        'path_prefix': f'/{name}/',
        'type': kind,
        'timeout_ms': 14_000,
        'target_latency_ms': 900,
        'priority': 1,
        'service': service,
        'max_attempts': 2,
    } | fields


LIMITS = {
    'max_header_bytes': 16_384,
    'max_body_bytes': 4_194_304,
    'header_timeout_ms': 3_000,
    'idle_timeout_ms': 15_000,
}


def process_environment() -> dict[str, str]:
    """Returns the environment of a process: what the deploy page names."""
    kept = ('PATH', 'HOME', 'JAVA_HOME', 'LANG')
    environment = {n: os.environ[n] for n in kept if n in os.environ}
    return environment | {'PYTHONPATH': str(ROOT / 'target' / 'deps')}


def free_addresses(count: int) -> list[str]:
    """Returns addresses on loopback at which nothing listens."""
    taken = [socket.socket() for _ in range(count)]
    try:
        for made in taken:
            made.bind(('127.0.0.1', 0))
        return [f'127.0.0.1:{made.getsockname()[1]}' for made in taken]
    finally:
        for made in taken:
            made.close()


def run_case(main: Any, directory: pathlib.Path, limit_s: float = 110.0) -> int:
    """Runs a case; returns the exit code of its script."""
    record = Record(directory)
    record.add(f'trouble {is_troubled()}')

    async def bounded() -> int:
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        # A script that is ended ends its processes, too.
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, task.cancel)
        async with asyncio.timeout(limit_s):
            return await main(record)

    try:
        code = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError) as error:
        record.add(f'the case could not run: {error!r}')
        code = NOT_RUN
    record.add(f'exit {code}')
    return code
