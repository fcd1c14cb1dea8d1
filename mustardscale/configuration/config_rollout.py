"""Watches on which entry hosts a configuration version is in force."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable

from mustardscale.configuration.config_records import ConfigKey
from mustardscale.exceptions import PeerUnavailableError
from mustardscale.hosts.host_list import HostList, ListedHost, ListedKind

# Seconds between two rounds of asking.
POLL_INTERVAL_S = 0.2

StatusReader = Callable[[str], Awaitable[dict[str, object]]]


@dataclasses.dataclass(frozen=True, slots=True)
class Rollout:
    """Where a version is in force.

    Attributes:
        in_force: ids of the hosts where it is.
        missing: ids of the hosts where it is not, or that did not answer.
    """

    in_force: tuple[str, ...]
    missing: tuple[str, ...]

    @property
    def complete(self) -> bool:
        """Whether it is in force on all hosts, and there are any."""
        return bool(self.in_force) and not self.missing


async def entry_hosts(
    host_list: HostList, leaving: bool = True
) -> list[ListedHost]:
    """Returns the entry hosts, ordered by id.

    Args:
        host_list: the list to read.
        leaving: whether hosts that are leaving count.

    Raises:
        PeerUnavailableError: the host list could not be read.
    """
    hosts = [
        host
        for host in await host_list.fetch()
        if host.kind is ListedKind.ENTRY and (leaving or not host.leaving)
    ]
    return sorted(hosts, key=lambda host: host.id)


async def await_rollout(
    hosts: list[ListedHost],
    read_status: StatusReader,
    key: ConfigKey,
    version: int,
    timeout_s: float,
) -> Rollout:
    """Asks hosts until a version, or a later one, is in force on all.

    Args:
        hosts: the hosts.
        read_status: reads the summary of the host at an operators' address.
        key: the configuration entry.
        version: the version.
        timeout_s: seconds after which the result is returned as it is.
    """
    waiting = {host.id: host for host in hosts}

    async def ask(host: ListedHost) -> None:
        if await _version_on(host, read_status, key) >= version:
            del waiting[host.id]

    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            while waiting:
                await asyncio.gather(*map(ask, list(waiting.values())))
                if waiting:
                    await asyncio.sleep(POLL_INTERVAL_S)
    in_force = [host.id for host in hosts if host.id not in waiting]
    return Rollout(tuple(in_force), tuple(waiting))


async def _version_on(
    host: ListedHost, read_status: StatusReader, key: ConfigKey
) -> int:
    """Returns the version of a key on a host, 0 if it is not known."""
    try:
        status = await read_status(host.operators_address)
    except PeerUnavailableError:
        return 0
    versions = status.get('config_versions')
    if not isinstance(versions, dict):
        return 0
    version = versions.get(str(key), 0)
    return version if isinstance(version, int) else 0
