"""A whole site as processes on loopback: entry hosts and stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import http
import logging
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import Iterator

import aiohttp
import msgspec

from mustardscale.endpoints.engines import EngineRole
from mustardscale.hosts.host_list import ListedHost, ListedKind
from mustardscale.hosts.http_host_list import HostsAnswer
from standins.memory_site import SiteLayout
from standins.reserved_ports import address_of, reserve_port

log = logging.getLogger(__name__)

OPERATORS_TOKEN = 'operators-of-the-stand-in-site'
READY_TIMEOUT_S = 30.0
POLL_S = 0.1
STOP_TIMEOUT_S = 10.0
# Bytes of a host's output that an error about it shows.
SHOWN_OUTPUT_BYTES = 2000

LAYOUT_BY_SITE = {
    'kobberfonden': SiteLayout(),
    'vergaderbord': SiteLayout(
        region='nl-west',
        data_centres=('dc1', 'dc2', 'dc3'),
        language_service='summary-llm',
        prefill_engines=2,
        decode_engines=4,
        plain_service='booking-app',
        plain_endpoints=3,
    ),
}


@dataclasses.dataclass(slots=True)
class EntryProcess:
    """One daemon.

    Attributes:
        id: the host's id.
        callers_url: where callers reach it.
        operators_url: where operators reach it.
        peers_address: where peers reach it.
        data_centre: its data centre.
        process: the process while it is up.
    """

    id: str
    callers_url: str
    operators_url: str
    peers_address: str
    data_centre: str
    process: subprocess.Popen[bytes] | None = None


class HostEndedError(Exception):
    """An entry host's process ended by itself."""


class LocalSite:
    """Starts and ends the processes of a site.

    Attributes:
        layout: the size.
        entries_by_id: the entry hosts.
        endpoint_address_by_id: addresses of engines and plain endpoints.
        log_address: address of the log.
        host_list_address: address of the host list.
    """

    def __init__(self, layout: SiteLayout, directory: pathlib.Path):
        self.layout = layout
        self._directory = directory
        self._processes: list[subprocess.Popen[bytes]] = []
        self._process_by_endpoint: dict[str, subprocess.Popen[bytes]] = {}
        self.entries_by_id: dict[str, EntryProcess] = {}
        self.endpoint_address_by_id: dict[str, str] = {}
        self._engine_roles: dict[str, EngineRole] = {}
        self._unfenced: set[str] = set()
        self._reserved: list[socket.socket] = []
        self._choose_addresses()

    def _choose_addresses(self) -> None:
        layout = self.layout
        engines = layout.prefill_engines + layout.decode_engines
        count = 2 + 3 * layout.entry_hosts + engines + layout.plain_endpoints
        self._reserved = [reserve_port() for _ in range(count)]
        addresses = map(address_of, self._reserved)
        self.log_address = next(addresses)
        self.host_list_address = next(addresses)
        for number in range(layout.entry_hosts):
            host = f'entry-{number + 1}'
            self.entries_by_id[host] = EntryProcess(
                host,
                f'http://{next(addresses)}',
                f'http://{next(addresses)}',
                next(addresses),
                layout.data_centres[number % len(layout.data_centres)],
            )
        for number in range(engines):
            name = f'{layout.language_service}-{number + 1}'
            self.endpoint_address_by_id[name] = next(addresses)
            if number >= engines - layout.unfenced_engines:
                self._unfenced.add(name)
            is_prefill = number < layout.prefill_engines
            self._engine_roles[name] = (
                EngineRole.PREFILL if is_prefill else EngineRole.DECODE
            )
        for number in range(layout.plain_endpoints):
            name = f'{layout.plain_service}-{number + 1}'
            self.endpoint_address_by_id[name] = next(addresses)

    def listed_hosts(self) -> list[ListedHost]:
        """Returns the host list of the site."""
        layout = self.layout
        listed = [
            ListedHost(
                entry.id,
                ListedKind.ENTRY,
                entry.peers_address,
                entry.data_centre,
                layout.region,
                operators_address=entry.operators_url.partition('://')[2],
            )
            for entry in self.entries_by_id.values()
        ]
        places = layout.data_centres
        for number, name in enumerate(self.endpoint_address_by_id):
            role = self._engine_roles.get(name)
            is_engine = role is not None
            listed.append(
                ListedHost(
                    name,
                    ListedKind.ENGINE if is_engine else ListedKind.PLAIN,
                    self.endpoint_address_by_id[name],
                    places[number % len(places)],
                    layout.region,
                    service=(
                        layout.language_service
                        if is_engine
                        else layout.plain_service
                    ),
                    model=layout.language_service if is_engine else '',
                    role=role,
                    fencing=name not in self._unfenced,
                )
            )
        return listed

    def engine_names(self) -> list[str]:
        """Returns the ids of the engines."""
        return list(self._engine_roles)

    def plain_names(self) -> list[str]:
        """Returns the ids of the plain service's endpoints."""
        engines = self._engine_roles
        return [
            name for name in self.endpoint_address_by_id if name not in engines
        ]

    def start(self) -> None:
        """Starts the stand-ins and the entry hosts."""
        hosts_file = self._directory / 'hosts.json'
        hosts_file.write_bytes(
            msgspec.json.encode(HostsAnswer(self.listed_hosts()))
        )
        self._spawn_module('log', 'standins.log_server', self.log_address)
        self._spawn_module(
            'host-list',
            'standins.host_list_server',
            self.host_list_address,
            f'--hosts={hosts_file}',
        )
        for name in self.endpoint_address_by_id:
            self.start_endpoint(name)
        for host in self.entries_by_id:
            self.start_entry(host)

    def write_file(self, name: str, content: bytes) -> str:
        """Writes a file that lasts as long as the site; returns its path."""
        path = self._directory / name
        path.write_bytes(content)
        return str(path)

    def start_endpoint(self, name: str) -> None:
        """Starts an engine or an endpoint of the plain service."""
        address = self.endpoint_address_by_id[name]
        role = self._engine_roles.get(name)
        if role is None:
            process = self._spawn_module(name, 'standins.plain_server', address)
        else:
            process = self._spawn_module(
                name,
                'standins.engine_server',
                address,
                f'--role={role}',
                f'--model={self.layout.language_service}',
                f'--checks-fencing={name not in self._unfenced}',
            )
        self._process_by_endpoint[name] = process

    def start_entry(self, host: str) -> None:
        """Starts an entry host."""
        entry = self.entries_by_id[host]
        arguments = {
            'host-id': host,
            'data-centre': entry.data_centre,
            'region': self.layout.region,
            'callers-listen': entry.callers_url.partition('://')[2],
            'operators-listen': entry.operators_url.partition('://')[2],
            'peers-listen': entry.peers_address,
            'log-url': f'http://{self.log_address}',
            'host-list-url': f'http://{self.host_list_address}',
        }
        entry.process = self._spawn_module(
            host,
            'mustardscale.daemon',
            None,
            *(f'--{name}={value}' for name, value in arguments.items()),
        )

    def _spawn_module(
        self, name: str, module: str, listen: str | None, *arguments: str
    ) -> subprocess.Popen[bytes]:
        command = [sys.executable, '-m', module]
        if listen is not None:
            command.append(f'--listen={listen}')
        environment = os.environ | {
            'MUSTARDSCALE_OPERATORS_TOKEN': OPERATORS_TOKEN
        }
        with open(self._directory / f'{name}.log', 'ab') as output:
            process = subprocess.Popen(
                [*command, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=environment,
            )
        self._processes.append(process)
        return process

    def signal_entry(self, host: str, number: signal.Signals) -> None:
        """Sends a signal to an entry host."""
        process = self.entries_by_id[host].process
        if process is None:
            raise ValueError(f'{host} is not up')
        process.send_signal(number)

    def signal_endpoint(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to an endpoint."""
        self._process_by_endpoint[name].send_signal(number)

    async def wait_ready(
        self, session: aiohttp.ClientSession, path: str, hosts: list[str]
    ) -> None:
        """Waits until each host answers a path of its operators' address.

        Raises:
            HostEndedError: a host's process has ended.
            TimeoutError: a host did not answer in time.
        """
        give_up_at = asyncio.get_running_loop().time() + READY_TIMEOUT_S
        for host in hosts:
            try:
                async with asyncio.timeout_at(give_up_at):
                    await self._wait_for_host(session, path, host)
            except TimeoutError as error:
                raise TimeoutError(
                    f'{host} did not answer {path}: {self._output_of(host)}'
                ) from error

    async def _wait_for_host(
        self, session: aiohttp.ClientSession, path: str, host: str
    ) -> None:
        """Asks until a host answers a path with status 200."""
        entry = self.entries_by_id[host]
        url = entry.operators_url + path
        while not await _is_ok(session, url):
            status = entry.process.poll() if entry.process else None
            if status is not None:
                raise HostEndedError(
                    f'{host} ended with {status}: {self._output_of(host)}'
                )
            await asyncio.sleep(POLL_S)

    def _output_of(self, host: str) -> str:
        """Returns the last lines that a host has printed."""
        output = (self._directory / f'{host}.log').read_bytes()
        return output[-SHOWN_OUTPUT_BYTES:].decode(errors='replace')

    def stop(self) -> None:
        """Ends all processes that were started, and frees the ports."""
        running = [item for item in self._processes if item.poll() is None]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in running:
            process.wait(STOP_TIMEOUT_S)
        for bound in self._reserved:
            bound.close()


async def _is_ok(session: aiohttp.ClientSession, url: str) -> bool:
    """Returns whether a URL answers with status 200."""
    try:
        async with session.get(url) as response:
            return response.status == http.HTTPStatus.OK
    except aiohttp.ClientError as error:
        log.debug('%s: %s', url, error)
        return False


@contextlib.contextmanager
def local_site(layout: SiteLayout) -> Iterator[LocalSite]:
    """Runs a site's processes, and ends them at exit."""
    with tempfile.TemporaryDirectory(prefix='mustardscale-') as directory:
        site = LocalSite(layout, pathlib.Path(directory))
        try:
            site.start()
            yield site
        finally:
            site.stop()
