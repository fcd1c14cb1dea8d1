"""The commands that look at running hosts."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import Any

from mustardscale.commands.command_context import CommandContext
from mustardscale.commands.exit_codes import ExitCode
from mustardscale.configuration.config_rollout import entry_hosts
from mustardscale.exceptions import PeerUnavailableError, SettingError
from mustardscale.hosts.host_list import ListedHost

_HOST_HEADERS = (
    'host',
    'data centre',
    'state',
    'log',
    'config offset',
    'requests',
    'sees',
)
_POOL_HEADERS = ('pool', 'owner', 'waiting', 'running', 'pieces used')
_CHANGE_HEADERS = ('engine', 'role', 'model', 'version', 'number', 'given by')
_VERSION_HEADERS = ('entry', 'version', 'hosts')


@dataclasses.dataclass(frozen=True, slots=True)
class HostStatus:
    """What a host answered.

    Attributes:
        host: its line of the host list.
        status: its summary, None if it did not answer.
    """

    host: ListedHost
    status: dict[str, Any] | None


async def show_status(context: CommandContext) -> ExitCode:
    """Shows versions, whom hosts see, pool fill and changes of engines.

    Raises:
        PeerUnavailableError: the host list could not be read.
    """
    hosts = await entry_hosts(context.host_list)
    reads = [_read_status(context, host) for host in hosts]
    statuses = await asyncio.gather(*reads)
    if context.as_json:
        context.show_json({item.host.id: item.status for item in statuses})
    else:
        context.show_table(_HOST_HEADERS, map(_host_row, statuses))
        context.show_text('')
        context.show_table(_VERSION_HEADERS, _version_rows(statuses))
        context.show_text('')
        context.show_table(_POOL_HEADERS, _pool_rows(statuses))
        context.show_text('')
        context.show_table(_CHANGE_HEADERS, _change_rows(statuses))
    if all(item.status is not None for item in statuses):
        return ExitCode.DONE
    return ExitCode.HOST_UNAVAILABLE


async def show_dump(context: CommandContext, host_id: str) -> ExitCode:
    """Shows the whole state of one host, as JSON.

    Raises:
        PeerUnavailableError: the host or the host list did not answer.
    """
    for host in await entry_hosts(context.host_list):
        if host.id == host_id:
            dump = await context.operators.dump(host.operators_address)
            context.show_json(dump)
            return ExitCode.DONE
    raise SettingError(f'no entry host {host_id!r} is on the host list')


async def _read_status(context: CommandContext, host: ListedHost) -> HostStatus:
    """Reads the summary of one host."""
    try:
        status = await context.operators.status(host.operators_address)
    except PeerUnavailableError:
        return HostStatus(host, None)
    return HostStatus(host, status)


def _host_row(item: HostStatus) -> list[Any]:
    """Returns a host's line of the table of hosts."""
    status = item.status
    if status is None:
        return [item.host.id, item.host.data_centre, 'no answer'] + [''] * 4
    ages = _members(status, 'hosts')
    seen = [f'{name} {age} s' for name, age in sorted(ages.items())]
    return [
        item.host.id,
        item.host.data_centre,
        'draining' if status.get('draining') else 'serving',
        'reachable' if status.get('log_reachable') else 'unreachable',
        status.get('config_offset'),
        status.get('requests'),
        ', '.join(seen),
    ]


def _version_rows(statuses: list[HostStatus]) -> list[list[Any]]:
    """Returns each version of each entry with the hosts that have it."""
    hosts_by_version: dict[tuple[str, int], list[str]] = {}
    for item in statuses:
        versions = _members(item.status or {}, 'config_versions')
        for key, version in versions.items():
            hosts = hosts_by_version.setdefault((key, version), [])
            hosts.append(item.host.id)
    return [
        [key, version, ', '.join(hosts)]
        for (key, version), hosts in sorted(hosts_by_version.items())
    ]


def _pool_rows(statuses: list[HostStatus]) -> list[list[Any]]:
    """Returns the pools that each host owns, with their fill."""
    rows: list[list[Any]] = []
    for item in statuses:
        pools = _members(item.status or {}, 'pools')
        for pool_id, pool in sorted(pools.items()):
            used = f'{pool.get("pieces_used")} of {pool.get("pieces_total")}'
            counts = [pool.get('waiting'), pool.get('running')]
            rows.append([pool_id, item.host.id, *counts, used])
    return rows


def _change_rows(statuses: list[HostStatus]) -> list[list[Any]]:
    """Returns the changes of engines that the most advanced host knows."""
    known = [_members(item.status or {}, 'orders') for item in statuses]
    newest = max(known, key=lambda orders: orders.get('version', 0), default={})
    rows: list[list[Any]] = []
    for engine, change in sorted(_members(newest, 'change_by_engine').items()):
        target = _members(change, 'target')
        names = ('role', 'model', 'model_version')
        rows.append(
            [
                engine,
                *(target.get(name) for name in names),
                change.get('number'),
                change.get('host'),
            ]
        )
    return rows


def _members(status: dict[str, Any], name: str) -> dict[str, Any]:
    """Returns an object in a summary, empty if it is missing."""
    value = status.get(name)
    return value if isinstance(value, dict) else {}
