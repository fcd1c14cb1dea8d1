"""Waits until a configuration version is in force on all entry hosts."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable

from mustardscale.configuration.config_records import ConfigKey
from mustardscale.exceptions import PeerUnavailableError
from mustardscale.hosts.host_list import HostList, ListedHost, ListedKind

# Seconds between two rounds of status requests.
POLL_INTERVAL_S = 0.2

StatusReader = Callable[[str], Awaitable[dict[str, object]]]


@dataclasses.dataclass(frozen=True, slots=True)
class Rollout:
    """The entry hosts on which a version is in force.

    Attributes:
        in_force: ids of the hosts on which the version is in force.
        missing: ids of the hosts on which it is not, or that did not answer.
    """

    in_force: tuple[str, ...]
    missing: tuple[str, ...]

    @property
    def complete(self) -> bool:
        """Whether there are hosts and all of them have it in force."""
        return bool(self.in_force) and not self.missing


async def entry_hosts(
    host_list: HostList, leaving: bool = True
) -> list[ListedHost]:
    """Returns the entry hosts, ordered by id.

    Args:
        host_list: the list to read.
        leaving: whether to include hosts that are leaving.

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
    """Polls hosts until a version, or a later one, is in force on all.

    Args:
        hosts: the hosts to poll.
        read_status: reads the status of the host at an operators' address.
        key: the configuration entry.
        version: the version.
        timeout_s: seconds after which the result so far is returned.
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
    """Returns the version of a key on a host, or 0 if it is unknown."""
    try:
        status = await read_status(host.operators_address)
    except PeerUnavailableError:
        return 0
    versions = status.get('config_versions')
    if not isinstance(versions, dict):
        return 0
    version = versions.get(str(key), 0)
    return version if isinstance(version, int) else 0
