"""Entry hosts of the platform as processes."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
from collections.abc import Iterable, Mapping, Sequence

import aiohttp

from standins.builds import ROOT
from standins.linked_host import LINKS_VARIABLE
from standins.peer_links import LinkMap, PeerLinks
from standins.reserved_ports import address_of, reserve_port

READY_TIMEOUT_S = 60.0


class HostProcesses:
    """The processes of entry hosts; their output goes to NAME.log.

    Attributes:
        callers_by_host: 'ip:port' for callers of each host.
        ready_by_host: 'ip:port' for readiness of each host.
        peers_by_host: 'ip:port' for peers of each host.
        process_by_host: the processes started last.
        links: links between the hosts, once listening. Hosts of this build that
            start after that call their peers through them.
        links_all: whether hosts of other builds do so too.
        relay_links: links through a relay, in place of these.
    """

    def __init__(self, names: Sequence[str], directory: pathlib.Path):
        """Chooses the addresses.

        Args:
            names: ids of the hosts.
            directory: where settings and logs are kept.
        """
        # Kept while hosts are down, since they start again at the same ports.
        self._reserved = [reserve_port() for _ in range(3 * len(names))]
        addresses = map(address_of, self._reserved)
        self.callers_by_host = {name: next(addresses) for name in names}
        self.ready_by_host = {name: next(addresses) for name in names}
        self.peers_by_host = {name: next(addresses) for name in names}
        self.links = PeerLinks(self.peers_by_host)
        self.links_all = False
        self.relay_links: LinkMap | None = None
        self.process_by_host: dict[str, subprocess.Popen[bytes]] = {}
        self._directory = directory

    def start(
        self,
        name: str,
        store_address: str,
        code: pathlib.Path | None = None,
        options: Mapping[str, object] | None = None,
    ) -> None:
        """Starts a host's process.

        Args:
            name: the host.
            store_address: 'ip:port' of the store.
            code: folder of another build of the program, None for this one.
            options: settings besides, or in place of, those of all hosts.
        """
        settings = {
            'host-id': name,
            'data-centre': 'z',
            'region': 'r',
            'callers-listen': self.callers_by_host[name],
            'ready-listen': self.ready_by_host[name],
            'peers-listen': self.peers_by_host[name],
            'seed-addresses': ','.join(
                address
                for host, address in self.peers_by_host.items()
                if host != name
            ),
            'store-address': store_address,
            'prefill-share': 0.34,
            'drain-notice-s': 0.3,
            'drain-timeout-s': 3.0,
            **(options or {}),
        }
        path = self._directory / f'{name}.conf'
        path.write_text(
            ''.join(f'{key} = {value}\n' for key, value in settings.items())
        )
        environment = os.environ | {'MUSTARDSCALE_BOOT': str(path)}
        module = 'mustardscale.platform'
        if code is not None:
            environment['PYTHONPATH'] = f'{code}{os.pathsep}{ROOT}'
        links = self._links_of(code)
        if links is not None:
            module = 'standins.linked_host'
            environment[LINKS_VARIABLE] = json.dumps(links.map_addresses(name))
        with (self._directory / f'{name}.log').open('ab') as output:
            self.process_by_host[name] = subprocess.Popen(
                [sys.executable, '-m', module],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=environment,
                cwd=code,
            )

    def _links_of(self, code: pathlib.Path | None) -> LinkMap | None:
        """Returns the links of hosts of a build, None for none."""
        if self.relay_links is not None:
            return self.relay_links
        is_linked = code is None or self.links_all
        return self.links if self.links.are_listening and is_linked else None

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a host's process."""
        self.process_by_host[name].send_signal(number)

    def end(self, name: str) -> None:
        """Ends a host's process at once."""
        process = self.process_by_host[name]
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
        process.wait()

    def close(self) -> None:
        """Ends all processes and frees their ports."""
        for name in self.process_by_host:
            self.end(name)
        for bound in self._reserved:
            bound.close()

    async def wait_ready(self, names: Iterable[str]) -> None:
        """Waits until hosts say that they are ready.

        Raises:
            TimeoutError: one of them is not in time.
        """
        async with (
            asyncio.timeout(READY_TIMEOUT_S),
            aiohttp.ClientSession() as session,
        ):
            for name in names:
                while not await self._is_ready(session, name):  # noqa: ASYNC110
                    await asyncio.sleep(0.1)

    async def _is_ready(
        self, session: aiohttp.ClientSession, name: str
    ) -> bool:
        url = f'http://{self.ready_by_host[name]}/mustardscale/ready'
        try:
            async with session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False
