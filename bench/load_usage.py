"""Processor time, memory and peer traffic of the daemons under load."""

from __future__ import annotations

import dataclasses
import pathlib
import re

import aiohttp

from standins.local_site import OPERATORS_TOKEN, LocalSite

_PROC = pathlib.Path('/proc')
_GAUGE = re.compile(r'^mustardscale_peer_(\w+) (\S+)$', re.MULTILINE)
_NS_PER_S = 1e9
_KB_PER_MB = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What a process has used since its start.

    Attributes:
        cpu_s: processor time of its threads, seconds.
        memory_mb: resident memory, megabytes.
        peer_bytes: bytes sent to peers.
        peer_frames: frames sent to peers.
    """

    cpu_s: float
    memory_mb: float
    peer_bytes: float = 0.0
    peer_frames: float = 0.0


def cpu_seconds(pid: int) -> float:
    """Returns the processor time of a process's live threads.

    It is read from schedstat, which counts nanoseconds where stat counts
    hundredths of a second.
    """
    tasks = (_PROC / str(pid) / 'task').iterdir()
    run_ns = [
        int((task / 'schedstat').read_text().split()[0]) for task in tasks
    ]
    return sum(run_ns) / _NS_PER_S


def memory_mb(pid: int) -> float:
    """Returns the resident memory of a process."""
    status = (_PROC / str(pid) / 'status').read_text()
    for line in status.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / _KB_PER_MB
    raise ValueError(f'process {pid} has no memory')


class UsageReader:
    """Reads the usage of a site's daemons."""

    def __init__(self, site: LocalSite, session: aiohttp.ClientSession):
        self._site = site
        self._session = session

    def pid(self, host: str) -> int:
        """Returns the process id of an entry host.

        Raises:
            ValueError: it is not up.
        """
        process = self._site.entries_by_id[host].process
        if process is None:
            raise ValueError(f'{host} is not up')
        return process.pid

    async def read(self, host: str) -> Usage:
        """Returns the usage of one entry host since its start."""
        url = f'{self._site.entries_by_id[host].operators_url}/metrics'
        headers = {'Authorization': f'Bearer {OPERATORS_TOKEN}'}
        async with self._session.get(url, headers=headers) as response:
            gauges = dict(_GAUGE.findall(await response.text()))
        pid = self.pid(host)
        return Usage(
            cpu_seconds(pid),
            memory_mb(pid),
            float(gauges['bytes_sent']),
            float(gauges['frames_sent']),
        )

    async def read_all(self) -> dict[str, Usage]:
        """Returns the usage of every entry host by its id."""
        return {
            host: await self.read(host) for host in self._site.entries_by_id
        }


def rate(before: Usage, after: Usage, seconds: float) -> Usage:
    """Returns the use in a second; memory is that at the end."""
    return Usage(
        (after.cpu_s - before.cpu_s) / seconds,
        after.memory_mb,
        (after.peer_bytes - before.peer_bytes) / seconds,
        (after.peer_frames - before.peer_frames) / seconds,
    )


def mean(usages: list[Usage]) -> Usage:
    """Returns the mean of several usages."""
    columns = zip(
        *(dataclasses.astuple(usage) for usage in usages), strict=True
    )
    return Usage(*(sum(column) / len(usages) for column in columns))
