"""A site of processes whose sizes can be varied beyond one engine a process."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import hashlib
import pathlib
import tempfile
from collections.abc import Iterator

import aiohttp

from mustardscale.configuration.config_records import (
    ConfigChange,
    ConfigKey,
    Profile,
    ServiceChoice,
    ServiceKind,
    encode_record,
)
from mustardscale.endpoints.engines import EngineRole
from mustardscale.log.http_log import HttpLogClient
from mustardscale.log.log_client import CONFIG_STREAM
from standins.local_site import POLL_S, READY_TIMEOUT_S, LocalSite
from standins.memory_site import SiteLayout, token_of

# Changes published in one append.
PUBLISH_BATCH = 50
# Large enough that no limit of a profile is met.
LOAD_PROFILE = Profile(
    first_token_s=30.0, patience_s=30.0, max_output_tokens=100_000
)


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpeed:
    """Speed of the engine stand-ins.

    Attributes:
        step_base_s: duration of a decode step, seconds.
        pieces_total: memory in pieces.
    """

    step_base_s: float = 0.012
    pieces_total: int = 4000


class LoadSite(LocalSite):
    """A site whose host list names some engine processes many times."""

    def __init__(
        self,
        layout: SiteLayout,
        directory: pathlib.Path,
        speed: EngineSpeed,
        extra_engines: int = 0,
    ):
        """Chooses addresses.

        Args:
            layout: the processes.
            directory: where their logs go.
            speed: speed of the engines.
            extra_engines: further engines in the host list, which have the
                addresses of the layout's engines.
        """
        super().__init__(layout, directory)
        self._speed = speed
        self._extra_engines = extra_engines

    def listed_hosts(self) -> list:
        """Returns the host list, with the further engines."""
        listed = super().listed_hosts()
        engines = [host for host in listed if host.role is not None]
        prefill = next(e for e in engines if e.role is EngineRole.PREFILL)
        decode = next(e for e in engines if e.role is EngineRole.DECODE)
        for number in range(self._extra_engines):
            source = prefill if number % 2 == 0 else decode
            listed.append(
                dataclasses.replace(source, id=f'{source.id}-copy-{number}')
            )
        return listed

    def start_endpoint(self, name: str) -> None:
        """Starts an engine of the given speed or a plain endpoint."""
        role = self._engine_roles.get(name)
        if role is None:
            super().start_endpoint(name)
            return
        self._process_by_endpoint[name] = self._spawn_module(
            name,
            'standins.engine_server',
            self.endpoint_address_by_id[name],
            f'--role={role}',
            f'--model={self.layout.language_service}',
            f'--step-base-s={self._speed.step_base_s}',
            '--step-per-stream-s=0',
            '--prefill-base-s=0',
            '--prefill-tokens-per-s=1e9',
            '--link-bytes-per-s=1e13',
            f'--pieces-total={self._speed.pieces_total}',
        )


@contextlib.contextmanager
def load_site(
    layout: SiteLayout,
    speed: EngineSpeed | None = None,
    extra_engines: int = 0,
) -> Iterator[LoadSite]:
    """Runs a site's processes, and ends them at exit."""
    with tempfile.TemporaryDirectory(prefix='mustardscale-') as directory:
        site = LoadSite(
            layout,
            pathlib.Path(directory),
            speed or EngineSpeed(),
            extra_engines,
        )
        try:
            site.start()
            yield site
        finally:
            site.stop()


class Publisher:
    """Publishes profiles and service choices straight to the log."""

    def __init__(self, site: LocalSite):
        self._layout = site.layout
        self._log = HttpLogClient(site.log_address, 'publisher')
        self._changes = 0

    async def publish_services(self) -> None:
        """Publishes the site's two services with a wide profile."""
        layout = self._layout
        changes = []
        for service, kind in (
            (layout.language_service, ServiceKind.LANGUAGE),
            (layout.plain_service, ServiceKind.PLAIN),
        ):
            changes.append(self._change(ConfigKey('profile', service)))
            digest = hashlib.sha256(token_of(service).encode()).hexdigest()
            model = service if kind is ServiceKind.LANGUAGE else ''
            choice = ServiceChoice(service, kind, model, (digest,))
            changes.append(self._change(ConfigKey('service', service), choice))
        await self._append(changes)

    async def publish_profiles(self, first: int, stop: int) -> None:
        """Publishes new profiles, numbered from first up to before stop."""
        for start in range(first, stop, PUBLISH_BATCH):
            numbers = range(start, min(stop, start + PUBLISH_BATCH))
            await self._append(
                [
                    self._change(ConfigKey('profile', f'profile-{number}'))
                    for number in numbers
                ]
            )

    async def publish_one(self, number: int) -> None:
        """Publishes one new profile in an append of its own."""
        key = ConfigKey('profile', f'profile-{number}')
        await self._append([self._change(key)])

    async def close(self) -> None:
        """Closes the connection to the log."""
        await self._log.close()

    def _change(
        self, key: ConfigKey, choice: ServiceChoice | None = None
    ) -> ConfigChange:
        self._changes += 1
        profile = LOAD_PROFILE if choice is None else None
        return ConfigChange(
            key, 0, f'load-{self._changes}', 'load', profile, choice
        )

    async def _append(self, changes: list[ConfigChange]) -> None:
        await self._log.append(
            CONFIG_STREAM, [encode_record(change) for change in changes]
        )


async def publish_and_wait(
    site: LocalSite, session: aiohttp.ClientSession
) -> None:
    """Publishes the services and waits until the whole site serves.

    Raises:
        TimeoutError: a process did not answer in time.
    """
    hosts = list(site.entries_by_id)
    await site.wait_ready(session, '/livez', hosts)
    publisher = Publisher(site)
    await publisher.publish_services()
    await publisher.close()
    await site.wait_ready(session, '/readyz', hosts)
    async with asyncio.timeout(READY_TIMEOUT_S):
        for address in site.endpoint_address_by_id.values():
            await _poll_until_up(session, f'http://{address}/counters')


async def _poll_until_up(session: aiohttp.ClientSession, url: str) -> None:
    """Asks until a connection is made."""
    while True:
        try:
            async with session.get(url) as response:
                await response.read()
                return
        except aiohttp.ClientError:
            await asyncio.sleep(POLL_S)
