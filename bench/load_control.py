"""Measures what control costs the daemons of a site without callers."""

from __future__ import annotations

import asyncio
import dataclasses
import statistics
import time

import aiohttp

from bench.load_site import LoadSite, Publisher, load_site, publish_and_wait
from bench.load_usage import Usage, UsageReader, rate
from bench.slopes import fit_line
from standins.memory_site import SiteLayout

PEER_COUNTS = (2, 4, 8, 12)
ENDPOINT_COUNTS = (8, 32, 64)
PROFILE_COUNTS = (10, 100, 1000)
# Hosts in the runs that vary endpoints and profiles.
HOSTS = 3
# Processes of the layout that are listed as engines.
BASE_ENGINES = 4
# Longer than the time after which a pool counts as quiet.
SETTLE_S = 12.0
WINDOW_S = 6.0
# Single changes whose cost is measured, and the time between them, seconds.
CHANGES = 100
CHANGE_INTERVAL_S = 0.04


@dataclasses.dataclass(frozen=True, slots=True)
class ControlPoint:
    """What the hosts of a site use for control at one size.

    Attributes:
        size: the number that was varied.
        cpu_share: share of a core, median over the hosts.
        cpu_share_max: that of the host that uses most, a pool's owner.
        cpu_share_sum: sum over the hosts.
        memory_mb: resident memory, median over the hosts.
        peer_bytes_per_s: bytes sent to peers in a second by a host.
        peer_frames_per_s: frames sent to peers in a second by a host.
    """

    size: int
    cpu_share: float
    cpu_share_max: float
    cpu_share_sum: float
    memory_mb: float
    peer_bytes_per_s: float
    peer_frames_per_s: float


def layout(hosts: int) -> SiteLayout:
    """Returns a layout in one data centre with few endpoints."""
    return SiteLayout(
        data_centres=('dc1',),
        entry_hosts=hosts,
        prefill_engines=BASE_ENGINES // 2,
        decode_engines=BASE_ENGINES // 2,
        plain_endpoints=1,
    )


async def _window(reader: UsageReader, seconds: float) -> list[Usage]:
    """Returns what each host uses in a second, over some seconds."""
    before = await reader.read_all()
    started = time.perf_counter()
    await asyncio.sleep(seconds)
    elapsed_s = time.perf_counter() - started
    after = await reader.read_all()
    return [rate(before[host], after[host], elapsed_s) for host in before]


def _point(size: int, usages: list[Usage]) -> ControlPoint:
    shares = [usage.cpu_s for usage in usages]
    return ControlPoint(
        size,
        statistics.median(shares),
        max(shares),
        sum(shares),
        statistics.median(usage.memory_mb for usage in usages),
        statistics.mean(usage.peer_bytes for usage in usages),
        statistics.mean(usage.peer_frames for usage in usages),
    )


async def _idle_point(site: LoadSite, size: int) -> ControlPoint:
    async with aiohttp.ClientSession() as session:
        await publish_and_wait(site, session)
        await asyncio.sleep(SETTLE_S)
        return _point(size, await _window(UsageReader(site, session), WINDOW_S))


async def measure_peers() -> dict[str, object]:
    """Varies the number of hosts."""
    points = []
    for hosts in PEER_COUNTS:
        with load_site(layout(hosts)) as site:
            points.append(await _idle_point(site, hosts))
    peers = [point.size - 1 for point in points]
    return {
        'points': points,
        'cpu_share': _line(peers, [p.cpu_share for p in points]),
        'memory_mb': _line(peers, [p.memory_mb for p in points]),
        'bytes_per_s': _line(peers, [p.peer_bytes_per_s for p in points]),
        'frames_per_s': _line(peers, [p.peer_frames_per_s for p in points]),
    }


async def measure_endpoints() -> dict[str, object]:
    """Varies the number of listed engines."""
    points = []
    for engines in ENDPOINT_COUNTS:
        extra = engines - BASE_ENGINES
        with load_site(layout(HOSTS), extra_engines=extra) as site:
            points.append(await _idle_point(site, engines))
    sizes = [point.size for point in points]
    return {
        'points': points,
        'cpu_share_sum': _line(sizes, [p.cpu_share_sum for p in points]),
        'memory_mb': _line(sizes, [p.memory_mb for p in points]),
        'bytes_per_s': _line(sizes, [p.peer_bytes_per_s for p in points]),
    }


async def measure_profiles() -> dict[str, object]:
    """Varies the number of profiles, and publishes changes one by one."""
    points = []
    with load_site(layout(HOSTS)) as site:
        async with aiohttp.ClientSession() as session:
            await publish_and_wait(site, session)
            reader = UsageReader(site, session)
            publisher = Publisher(site)
            known = 0
            for count in PROFILE_COUNTS:
                await publisher.publish_profiles(known, count)
                known = count
                await asyncio.sleep(SETTLE_S)
                points.append(_point(count, await _window(reader, WINDOW_S)))
            change = await _measure_changes(reader, publisher, points[-1])
            await publisher.close()
    sizes = [point.size for point in points]
    return {
        'points': points,
        'cpu_share': _line(sizes, [p.cpu_share for p in points]),
        'memory_mb': _line(sizes, [p.memory_mb for p in points]),
        'bytes_per_s': _line(sizes, [p.peer_bytes_per_s for p in points]),
        'change': change,
    }


async def _measure_changes(
    reader: UsageReader, publisher: Publisher, idle: ControlPoint
) -> dict[str, float]:
    """Returns what one change costs one host, beyond its idle use."""
    before = await reader.read_all()
    started = time.perf_counter()
    for number in range(CHANGES):
        await publisher.publish_one(PROFILE_COUNTS[-1] + number)
        await asyncio.sleep(CHANGE_INTERVAL_S)
    await asyncio.sleep(1.0)
    elapsed_s = time.perf_counter() - started
    after = await reader.read_all()
    used = [rate(before[host], after[host], elapsed_s) for host in before]
    cpu_share = statistics.median(usage.cpu_s for usage in used)
    peer_bytes = statistics.mean(usage.peer_bytes for usage in used)
    changes_per_s = CHANGES / elapsed_s
    return {
        'cpu_ms': 1000 * (cpu_share - idle.cpu_share) / changes_per_s,
        'peer_bytes': (peer_bytes - idle.peer_bytes_per_s) / changes_per_s,
    }


def _line(sizes: list[int], values: list[float]) -> dict[str, float]:
    line = fit_line(list(zip(sizes, values, strict=True)))
    return dataclasses.asdict(line)
