"""Stand-ins and host processes for the cases of the second review.

The store and the workers live in the process of a case; each host of the
system is a process of its own, started with the command of the deploy file.
All addresses are loopback addresses.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable

from aiohttp import web

from standins.platform_store import (
    OPERATOR_TOPIC,
    WORKERS_TOPIC,
    PlatformStore,
    RecordView,
)

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = 'desk.example'
HOSTS_TOPIC = 'keyed.hosts'
READY_TIMEOUT_S = 20.0
CASE_S = 115.0
STABLE_S = 3.0
LIMITS = {
    'max_header_bytes': 16_384,
    'max_body_bytes': 4_194_304,
    'header_timeout_ms': 3_000,
    'idle_timeout_ms': 15_000,
}


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder: pathlib.Path):
        self._began_at = time.monotonic()
        self._file = (folder / 'record.txt').open('w')

    def now(self) -> float:
        """Returns the seconds since the start of the case."""
        return time.monotonic() - self._began_at

    def note(self, what: str, **fields: object) -> None:
        """Writes one line."""
        told = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._file.write(f'{self.now():8.3f} {what} {told}'.rstrip() + '\n')
        self._file.flush()

    def close(self) -> None:
        """Ends the record."""
        self._file.close()


def route(
    name: str, service: str, kind: str, **fields: object
) -> dict[str, object]:
    """Returns a route of the operator's configuration."""
    return {
        'name': name,
        'host': HOST,
        'path_prefix': f'/{name}/',
        'type': kind,
        'timeout_ms': 1500,
        'target_latency_ms': 300,
        'priority': 2,
        'service': service,
        'max_attempts': 2 if kind == 'idempotent' else 1,
    } | fields


class Head:
    """The head of a request and its body."""

    def __init__(self, method: str, target: str, fields: list, body: bytes):
        self.method = method
        self.target = target
        self.fields = fields
        self.body = body

    def get(self, name: str, default: str = '') -> str:
        """Returns the first value of a header."""
        for known, value in self.fields:
            if known.lower() == name.lower():
                return value
        return default


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Reads a request with a length or none; None at the end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode('latin-1').split('\r\n')
    method, target, _ = lines[0].split(' ', 2)
    fields = [tuple(line.split(': ', 1)) for line in lines[1:] if line]
    fields = [(pair[0], pair[1] if len(pair) > 1 else '') for pair in fields]
    head = Head(method, target, fields, b'')
    if head.get('Transfer-Encoding'):
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                break
        head.body = body
    else:
        head.body = await reader.readexactly(
            int(head.get('Content-Length', '0'))
        )
    return head


class Worker:
    """A plain worker: runs each request for work_s and answers it.

    Attributes:
        runs: pairs of time and request that it began to run.
    """

    def __init__(self, record: Record, name: str, service: str):
        self.record = record
        self.name = name
        self.service = service
        self.work_s = 0.06
        self.born = int(time.time() * 1000)
        self.runs: list[tuple[float, Head]] = []
        self.address = ''
        self.fields: dict[str, object] = {}
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        """Starts to serve, at the address that it had if it had one."""
        port = int(self.address.rpartition(':')[2]) if self.address else 0
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', port, backlog=256
        )
        ip, port = self._server.sockets[0].getsockname()
        self.address = f'{ip}:{port}'

    def entry(self, state: str = 'ready') -> dict[str, object]:
        """Returns its entry in the list of workers."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'z1',
            'version': 'v1',
            'slot_count': 6,
            'state': state,
            'cold_remaining_ms': 0,
            'sequence': 1,
            'born': self.born,
        } | self.fields

    async def close(self) -> None:
        """Ends it: resets all connections and stops to listen."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None or not await self.handle(head, writer):
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, head: Head, writer: asyncio.StreamWriter) -> bool:
        """Handles one request; returns whether the connection stays open."""
        expected = head.get('X-Expect-Instance', self.name)
        if expected != self.name:
            await self.answer(writer, 421, b'', [])
            return True
        if head.target == '/mustardscale/report':
            report = json.dumps(self.report()).encode()
            await self.answer(writer, 200, report, [])
            return True
        self.runs.append((self.record.now(), head))
        request_id = head.get('X-Request-Id')
        self.record.note('run', worker=self.name, id=request_id)
        return await self.run(head, writer)

    def report(self) -> dict[str, object]:
        """Returns what it says of itself."""
        return {'state': 'ready', 'born': self.born, 'busy': False}

    async def run(self, head: Head, writer: asyncio.StreamWriter) -> bool:
        """Runs a request; returns whether the connection stays open."""
        await asyncio.sleep(self.work_s)
        await self.answer(writer, 200, b'done ' + head.body, self.signed(head))
        return True

    def signed(self, head: Head) -> list[tuple[str, str]]:
        """Returns the headers that prove whose answer it is."""
        request_id = head.get('X-Request-Id')
        return [
            ('X-Request-Id', request_id),
            ('X-Response-Signature', f'{self.name}.{request_id}'),
        ]

    async def answer(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        body: bytes,
        fields: list[tuple[str, str]],
    ) -> None:
        """Writes a whole answer."""
        lines = [f'HTTP/1.1 {status} Answer']
        lines += [f'{name}: {value}' for name, value in fields]
        lines.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join([*lines, '', '']).encode() + body)
        await writer.drain()


def free_ports(count: int) -> list[int]:
    """Returns ports that are free now."""
    bound = [socket.socket() for _ in range(count)]
    for sock in bound:
        sock.bind(('127.0.0.1', 0))
    ports = [sock.getsockname()[1] for sock in bound]
    for sock in bound:
        sock.close()
    return ports


class Hosts:
    """The processes of the system."""

    def __init__(self, folder: pathlib.Path, store_address: str, count: int):
        self._folder = folder
        self._store = store_address
        self.names = [
            f'edge-z{number % 2 + 1}-{number}' for number in range(count)
        ]
        ports = iter(free_ports(3 * count))
        self.ports = {
            name: (next(ports), next(ports), next(ports)) for name in self.names
        }
        self.process_by_name: dict[str, subprocess.Popen] = {}
        # What a host is told in place of the store's address and of others'.
        self.store_by_name: dict[str, str] = {}
        self.peer_ports_by_name: dict[str, dict[str, int]] = {}
        with (ROOT / 'deploy' / 'system.toml').open('rb') as file:
            roles = tomllib.load(file)['roles']
        self._command = roles['entry']['run'].split(' ')

    def settings(self, name: str) -> str:
        """Returns the settings of a host."""
        front, ready, control = self.ports[name]
        peers = {other: self.ports[other][2] for other in self.names}
        peers |= self.peer_ports_by_name.get(name, {})
        seeds = ','.join(f'127.0.0.1:{peers[x]}' for x in self.names[:3])
        lines = {
            'host-id': name,
            'data-centre': name.split('-')[1],
            'region': 'r1',
            'cpu-share': 0.537,
            'cpu-speed': 2,
            'memory-mb': 150,
            'max-fds': 4100,
            'callers-listen': f'127.0.0.1:{front}',
            'ready-listen': f'127.0.0.1:{ready}',
            'peers-listen': f'127.0.0.1:{control}',
            'seed-addresses': seeds,
            'store-address': self.store_by_name.get(name, self._store),
            'retry-ratio': 0.2,
            'retry-slack': 52,
            'retry-window-s': 10,
        }
        return ''.join(f'{key} = {value}\n' for key, value in lines.items())

    def start(self, name: str) -> subprocess.Popen:
        """Starts the process of a host."""
        path = self._folder / f'{name}.conf'
        path.write_text(self.settings(name))
        kept = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment = kept | {
            'MUSTARDSCALE_BOOT': str(path),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
        }
        with (self._folder / f'{name}.log').open('ab') as log:
            process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.process_by_name[name] = process
        return process

    async def is_ready(self, name: str) -> bool:
        """Asks a host whether it is ready, as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                answer = await send(
                    self.ports[name][1], 'GET', '/mustardscale/ready', []
                )
        except (OSError, TimeoutError):
            return False
        return answer.status == 200

    async def wait_ready(self, names: list[str]) -> None:
        """Waits until hosts are ready."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            for name in names:
                while not await self.is_ready(name):  # noqa: ASYNC110
                    await asyncio.sleep(0.1)

    def close(self) -> None:
        """Ends all processes."""
        for process in self.process_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


class Answer:
    """What a client got."""

    def __init__(self, status: int, fields: list, body: bytes, whole: bool):
        self.status = status
        self.fields = fields
        self.body = body
        self.whole = whole


async def send(
    port: int,
    method: str,
    target: str,
    fields: list[tuple[str, str]],
    body: bytes = b'',
    host: str = HOST,
) -> Answer:
    """Sends a request on a new connection and reads the answer.

    The status is 0 if the connection ended without one.
    """
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    try:
        lines = [f'{method} {target} HTTP/1.1', f'Host: {host}']
        lines += [f'{name}: {value}' for name, value in fields]
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        lines += ['Connection: close', '', '']
        writer.write('\r\n'.join(lines).encode() + body)
        try:
            raw = await reader.readuntil(b'\r\n\r\n')
        except (asyncio.IncompleteReadError, ConnectionError):
            return Answer(0, [], b'', False)
        head = raw.decode('latin-1').split('\r\n')
        got = [tuple(line.split(': ', 1)) for line in head[1:] if ': ' in line]
        status = int(head[0].split(' ')[1])
        length = next(
            (v for n, v in got if n.lower() == 'content-length'), None
        )
        try:
            if length is not None:
                return Answer(
                    status, got, await reader.readexactly(int(length)), True
                )
            return Answer(status, got, await reader.read(), True)
        except asyncio.IncompleteReadError as error:
            return Answer(status, got, error.partial, False)
        except ConnectionError:
            return Answer(status, got, b'', False)
    finally:
        writer.close()


class Path:
    """The path to one port, on which open connections may go silent."""

    def __init__(self, target: int):
        self._target = target
        self._silences = 0
        self._server: asyncio.Server | None = None
        self.port = 0

    async def listen(self) -> None:
        """Starts to pass connections on."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Takes no further connections."""
        if self._server is not None:
            self._server.close()

    def silence(self) -> None:
        """Makes the open connections silent for good; new ones work."""
        self._silences += 1

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        opened_at = self._silences
        try:
            far_reader, far_writer = await asyncio.open_connection(
                '127.0.0.1', self._target
            )
        except OSError:
            writer.transport.abort()
            return

        async def carry(
            source: asyncio.StreamReader, sink: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(OSError):
                while data := await source.read(65_536):
                    if opened_at != self._silences:
                        return
                    sink.write(data)
                    await sink.drain()
            if opened_at == self._silences:
                sink.close()

        # What went silent stays open at both ends.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                carry(reader, far_writer), carry(far_reader, writer)
            )
            if opened_at != self._silences:
                await asyncio.Event().wait()


class Site:
    """The store, the workers and the hosts of a case.

    Attributes:
        path_by_host: the path to each host's port for its peers, if there are
            paths between the hosts.
    """

    def __init__(self, record: Record):
        self.record = record
        self.store = PlatformStore()
        self.workers: list[Worker] = []
        self.hosts: Hosts | None = None
        self.path_by_host: dict[str, Path] = {}
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> 'Site':
        """Starts the store."""
        await self._stack.__aenter__()
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        self.folder = pathlib.Path(folder)
        self.store_address = await self._serve_store(None)
        return self

    async def _serve_store(self, view: RecordView | None) -> str:
        """Serves the store as one reader sees it; returns the address."""
        runner = web.AppRunner(
            self.store.application(view), shutdown_timeout=0.1
        )
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        ip, port = runner.addresses[0][:2]
        return f'{ip}:{port}'

    async def __aexit__(self, *error: object) -> None:
        """Ends all processes and stand-ins."""
        if self.hosts is not None:
            self.hosts.close()
        for worker in self.workers:
            await worker.close()
        await self._stack.aclose()

    async def add_worker(self, worker: Worker, listed: bool = True) -> None:
        """Starts a worker and lists it."""
        await worker.listen()
        self.workers.append(worker)
        if listed:
            self.list_worker(worker)

    def list_worker(self, worker: Worker, state: str = 'ready') -> None:
        """Writes a worker's entry."""
        entry = json.dumps(worker.entry(state)).encode()
        self.store.put(WORKERS_TOPIC, worker.name, entry)

    def configure(self, version: int, routes: list, services: list) -> None:
        """Writes a configuration, as the operator does."""
        config = {
            'version': version,
            'routes': routes,
            'services': services,
            'limits': LIMITS,
        }
        self.store.put(OPERATOR_TOPIC, 'config', json.dumps(config).encode())

    async def start_hosts(self, count: int, with_paths: bool = False) -> Hosts:
        """Starts hosts and waits until they are ready.

        Args:
            count: number of hosts.
            with_paths: whether they reach each other over paths.
        """
        self.hosts = hosts = Hosts(self.folder, self.store_address, count)
        if with_paths:
            await self._add_paths(hosts)
        for name in hosts.names:
            hosts.start(name)
        await hosts.wait_ready(hosts.names)
        return hosts

    async def _add_paths(self, hosts: Hosts) -> None:
        """Puts a path before each host's port for its peers.

        A host finds the others at these paths in the store's entries.
        """
        for name in hosts.names:
            path = self.path_by_host[name] = Path(hosts.ports[name][2])
            await path.listen()
            self._stack.callback(path.close)
        for name in hosts.names:
            hosts.store_by_name[name] = await self._serve_store(
                self._make_view(name)
            )
            hosts.peer_ports_by_name[name] = {
                other: path.port
                for other, path in self.path_by_host.items()
                if other != name
            }

    def _make_view(self, reader: str) -> RecordView:
        """Returns what a host sees: the others at their paths."""

        def view(topic: str, record: bytes) -> bytes:
            end = 1 + record[0]
            name = record[1:end].decode()
            path = self.path_by_host.get(name)
            is_other = topic == HOSTS_TOPIC and path and name != reader
            if not is_other or not record[end:]:
                return record
            entry = json.loads(record[end:])
            entry['address'] = f'127.0.0.1:{path.port}'
            return record[:end] + json.dumps(entry).encode()

        return view


class Engine(Worker):
    """A model worker: reads prompts, and streams events.

    Attributes:
        phase: its stage.
        events: events of each stream.
        gap_s: seconds before each event.
    """

    def __init__(self, record: Record, name: str, service: str, phase: str):
        super().__init__(record, name, service)
        self.phase = phase
        self.events = 8
        self.gap_s = 0.05
        self.fields = {'phase': phase, 'slot_count': 48}
        self._handles = 0
        self._sequence = 0

    def report(self) -> dict[str, object]:
        """Returns what it says of itself."""
        return {
            'phase': self.phase,
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'busy': False,
            'sequence': self._sequence,
            'waiting': 0,
            'running': 0,
            'kv_used': 0,
            'kv_total': 100_000,
            'kv_handles': 0,
            'state': 'ready',
            'next': 0,
            'born': self.born,
            'active_runs': [],
        }

    async def handle(self, head: Head, writer: asyncio.StreamWriter) -> bool:
        """Handles one request; returns whether the connection stays open."""
        expected = head.get('X-Expect-Instance', self.name)
        if expected == self.name and head.target == '/mustardscale/order':
            order = json.loads(head.body)
            self.record.note('order', worker=self.name, **order)
            self._sequence += 1
            self.phase = str(order['phase'])
            await self.answer(writer, 202, b'{}', [])
            return True
        if expected == self.name and 'kv-handle' in head.target:
            await self.answer(writer, 200, b'{}', [])
            return True
        if expected == self.name and head.get('X-Serving-Phase') == 'prefill':
            if self.phase != 'prefill':
                await self.answer(writer, 421, b'', [])
                return True
            self._handles += 1
            self.record.note(
                'prefill', worker=self.name, id=head.get('X-Request-Id')
            )
            kept = {
                'kv_handle': f'{self.name}h{self._handles}',
                'tokens': 500,
                'version': 1,
            }
            await self.answer(writer, 200, json.dumps(kept).encode(), [])
            return True
        return await super().handle(head, writer)

    async def run(self, head: Head, writer: asyncio.StreamWriter) -> bool:
        """Streams events after the one that the request names."""
        if self.phase == 'prefill':
            await self.answer(writer, 421, b'', [])
            return True
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
        lines += [f'{name}: {value}' for name, value in self.signed(head)]
        lines += ['X-Weight-Versions: 1', 'Transfer-Encoding: chunked', '', '']
        writer.write('\r\n'.join(lines).encode())
        first = int(head.get('Last-Event-Id') or '0') + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.gap_s)
            event = f'id: {number}\ndata: piece {number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True


def run_case(
    folder: pathlib.Path,
    play: Callable[[Site, bool], Awaitable[bool]],
) -> None:
    """Plays a case; exits with 1 if its rule was broken, 0 if it held.

    Args:
        folder: where record.txt goes.
        play: plays the case, with or without the disruption; returns whether
            the rule was broken.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(folder)

    async def run() -> bool:
        async with asyncio.timeout(CASE_S), Site(record) as site:
            return await play(site, trouble)

    try:
        broken = asyncio.run(run())
    except Exception as error:
        record.note('the case could not run', error=repr(error))
        record.close()
        sys.exit(2)
    record.note('the rule was broken' if broken else 'the rule held')
    record.close()
    sys.exit(1 if broken else 0)
