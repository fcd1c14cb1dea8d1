"""Measures what requests and tokens cost one daemon on real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
import time
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
import msgspec

from bench.load_calls import (
    TAIL_BYTES,
    DaemonCalls,
    DirectCalls,
    LoadError,
    Times,
    check_end,
    count_tokens,
    long_prompts,
)
from bench.load_site import EngineSpeed, load_site, publish_and_wait
from bench.load_usage import UsageReader, cpu_seconds, memory_mb
from bench.slopes import fit_line, quantile
from standins.local_site import LocalSite
from standins.memory_site import SiteLayout

ONE_HOST = SiteLayout(
    data_centres=('dc1',),
    entry_hosts=1,
    prefill_engines=1,
    decode_engines=3,
    plain_endpoints=2,
)
FOUR_HOSTS = dataclasses.replace(ONE_HOST, entry_hosts=4)
HOST = 'entry-1'
CLOSED_LOOP_CALLERS = 32
CLOSED_LOOP_S = 4.0
PAIRED_CALLS = 150
# Open streams at which tokens and memory are measured.
STREAM_COUNTS = (10, 40, 120)
STREAM_WINDOW_S = 4.0
STREAM_SETTLE_S = 2.0
STREAM_TOKENS = 1500
# Step of the engines in the runs with many open streams, seconds.
OPEN_STREAM_STEP_S = 0.03
# Step of the engines in the runs with short answers, seconds.
FAST_STEP_S = 0.002
# Step at which the engines offer more tokens than the daemon passes on and
# still keep up themselves, seconds.
SATURATING_STEP_S = 0.01
SEED = 11

Call = Callable[[], Awaitable[Times]]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestCost:
    """A closed loop of one kind of request.

    Attributes:
        requests_per_s: rate reached.
        cpu_ms: processor time of the daemon for a request, milliseconds.
        cpu_ms_all_hosts: that of all daemons together.
        cpu_share: share of a core that the daemon used.
    """

    requests_per_s: float
    cpu_ms: float
    cpu_ms_all_hosts: float
    cpu_share: float


@dataclasses.dataclass(frozen=True, slots=True)
class AddedLatency:
    """One request at a time, in turn straight and through the daemon.

    Attributes:
        direct_p50_ms: median straight to the stand-ins, milliseconds.
        direct_p99_ms: 99th percentile of that.
        added_p50_ms: median through the daemon less that.
        added_p99_ms: the same for the 99th percentile.
        ratio_p50: median through the daemon over the direct one.
    """

    direct_p50_ms: float
    direct_p99_ms: float
    added_p50_ms: float
    added_p99_ms: float
    ratio_p50: float


@dataclasses.dataclass(frozen=True, slots=True)
class StreamPoint:
    """A number of open streams.

    Attributes:
        streams: how many were open.
        tokens_per_s: tokens that reached the callers.
        cpu_share: share of a core that the daemon used.
        cpu_us_per_token: processor time for a token, microseconds.
        memory_mb: resident memory of the daemon.
    """

    streams: int
    tokens_per_s: float
    cpu_share: float
    cpu_us_per_token: float
    memory_mb: float


async def closed_loop(
    reader: UsageReader, hosts: list[str], call: Call
) -> RequestCost:
    """Runs callers that each send the next request when one is answered."""
    pids = [reader.pid(host) for host in hosts]
    await call()
    before = [cpu_seconds(pid) for pid in pids]
    started = time.perf_counter()
    done = 0

    async def caller() -> None:
        nonlocal done
        while time.perf_counter() - started < CLOSED_LOOP_S:
            await call()
            done += 1

    await asyncio.gather(*(caller() for _ in range(CLOSED_LOOP_CALLERS)))
    elapsed_s = time.perf_counter() - started
    used = [
        cpu_seconds(pid) - cpu_s
        for pid, cpu_s in zip(pids, before, strict=True)
    ]
    return RequestCost(
        done / elapsed_s,
        1000 * used[0] / done,
        1000 * sum(used) / done,
        used[0] / elapsed_s,
    )


async def added_latency(direct: Call, through: Call) -> AddedLatency:
    """Compares the time to the first token or answer."""
    direct_ms, through_ms = [], []
    for _ in range(PAIRED_CALLS):
        direct_ms.append(1000 * (await direct()).first_s)
        through_ms.append(1000 * (await through()).first_s)
    direct_p50, direct_p99 = (quantile(direct_ms, s) for s in (0.5, 0.99))
    p50, p99 = (quantile(through_ms, s) for s in (0.5, 0.99))
    return AddedLatency(
        direct_p50,
        direct_p99,
        p50 - direct_p50,
        p99 - direct_p99,
        p50 / direct_p50,
    )


class _OpenStreams:
    """Streams that are read until they are closed."""

    def __init__(self, calls: DaemonCalls, rng: random.Random):
        self._calls = calls
        self._rng = rng
        self._tasks: list[asyncio.Task[None]] = []
        self.tokens = 0

    def open(self, count: int) -> None:
        """Opens streams; each is followed by another when it ends."""
        for text in long_prompts(count, STREAM_TOKENS, self._rng):
            self._tasks.append(asyncio.create_task(self._read(text)))

    async def close(self) -> None:
        """Closes all streams.

        Raises:
            LoadError: a stream was refused.
        """
        for task in self._tasks:
            task.cancel()
        results = await asyncio.gather(*self._tasks, return_exceptions=True)
        for result in results:
            if not isinstance(result, asyncio.CancelledError):
                raise LoadError('a stream has failed') from result

    async def _read(self, text: str) -> None:
        while True:
            tail = b''
            async with self._calls.stream(text, STREAM_TOKENS) as response:
                async for chunk in response.content.iter_any():
                    self.tokens += count_tokens(chunk)
                    tail = (tail + chunk)[-TAIL_BYTES:]
            check_end(tail)


async def stream_point(
    reader: UsageReader, calls: DaemonCalls, count: int
) -> StreamPoint:
    """Measures a number of open streams."""
    streams = _OpenStreams(calls, random.Random(SEED + count))
    pid = reader.pid(HOST)
    streams.open(count)
    await asyncio.sleep(STREAM_SETTLE_S)
    cpu_before, tokens_before = cpu_seconds(pid), streams.tokens
    started = time.perf_counter()
    await asyncio.sleep(STREAM_WINDOW_S)
    cpu_s = cpu_seconds(pid) - cpu_before
    tokens = streams.tokens - tokens_before
    elapsed_s = time.perf_counter() - started
    memory = memory_mb(pid)
    await streams.close()
    return StreamPoint(
        count,
        tokens / elapsed_s,
        cpu_s / elapsed_s,
        1e6 * cpu_s / max(1, tokens),
        memory,
    )


async def _ready(site: LocalSite, session: aiohttp.ClientSession) -> None:
    """Publishes the services and takes the plain endpoints' delay away."""
    await publish_and_wait(site, session)
    for name in site.plain_names():
        address = site.endpoint_address_by_id[name]
        body = msgspec.json.encode({'latency_s': 0.0})
        async with session.post(f'http://{address}/faults', data=body) as done:
            await done.read()
    await asyncio.sleep(STREAM_SETTLE_S)


@contextlib.asynccontextmanager
async def _running(
    layout: SiteLayout, step_s: float
) -> AsyncIterator[tuple[LocalSite, aiohttp.ClientSession]]:
    """Runs a site with its services published."""
    connector = aiohttp.TCPConnector(limit=0)
    with load_site(layout, EngineSpeed(step_s)) as site:
        async with aiohttp.ClientSession(connector=connector) as session:
            await _ready(site, session)
            yield site, session


async def measure_requests(layout: SiteLayout) -> dict[str, object]:
    """Measures reads, bookings and one-token language requests."""
    result: dict[str, object] = {}
    async with _running(layout, FAST_STEP_S) as (site, session):
        reader = UsageReader(site, session)
        through = DaemonCalls(site, session, HOST)
        direct = DirectCalls(site, session)
        hosts = list(site.entries_by_id)
        call_by_kind: dict[str, Call] = {
            'read': lambda: through.plain('GET'),
            'booking': lambda: through.plain('POST'),
            'one_token': lambda: through.language('one token', 1),
        }
        for kind, call in call_by_kind.items():
            result[kind] = await closed_loop(reader, hosts, call)
        result['added_read'] = await added_latency(
            lambda: direct.plain('GET'), call_by_kind['read']
        )
        result['added_booking'] = await added_latency(
            lambda: direct.plain('POST'), call_by_kind['booking']
        )
        result['added_first_token'] = await added_latency(
            lambda: direct.language('one token', 1), call_by_kind['one_token']
        )
    return result


async def measure_streams() -> dict[str, object]:
    """Measures open streams at the pace of engines, and the fastest pace."""
    points = []
    async with _running(ONE_HOST, OPEN_STREAM_STEP_S) as (site, session):
        reader = UsageReader(site, session)
        calls = DaemonCalls(site, session, HOST)
        for count in STREAM_COUNTS:
            points.append(await stream_point(reader, calls, count))
    async with _running(ONE_HOST, SATURATING_STEP_S) as (
        site,
        session,
    ):
        reader = UsageReader(site, session)
        calls = DaemonCalls(site, session, HOST)
        fastest = await stream_point(reader, calls, STREAM_COUNTS[-1])
    cpu_line = fit_line([(p.tokens_per_s, p.cpu_share) for p in points])
    memory_line = fit_line([(p.streams, p.memory_mb) for p in points])
    return {
        'points': points,
        'fastest': fastest,
        'cpu_us_per_token': 1e6 * cpu_line.slope,
        'memory_kb_per_stream': 1024 * memory_line.slope,
    }
