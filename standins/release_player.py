"""Plays a release while a host is out of step, with streams at that host."""

from __future__ import annotations

import asyncio
import dataclasses
import random

from standins.crash_engines import CrashEngine
from standins.crash_fleet import STABLE_S
from standins.releases import (
    JOINING,
    RETURN_EACH_S,
    TELLS_NOBODY,
    EngineChange,
    OutOfStep,
    Release,
)
from standins.version_fleet import StreamRecord, VersionFleet

# Time between the starts of two streams, seconds.
STREAM_EACH_S = 0.06
# Time after its return in which streams are still taken up at the host.
STREAMS_AFTER_S = 1.0
MAX_GAP_S = 0.5


@dataclasses.dataclass(slots=True)
class Span:
    """A time in which a host was out of step.

    Attributes:
        host: id of the host.
        begin: loop time.
        end: loop time.
    """

    host: str
    begin: float
    end: float


class ReleasePlayer:
    """Plays one release.

    Attributes:
        spans: when which hosts were out of step.
        hosts: the hosts that were, none if the release was not played.
        stopped_hosts: those of them that serve nobody now.
    """

    def __init__(self, fleet: VersionFleet, release: Release, seed: str):
        self._fleet = fleet
        self._release = release
        self._rng = random.Random(seed)
        self._returned = asyncio.Event()
        self.spans: list[Span] = []
        self.hosts: list[str] = []
        self.stopped_hosts: set[str] = set()

    async def play(self) -> None:
        """Plays the release, and the streams of its callers."""
        await asyncio.sleep(self._release.at)
        fleet = self._fleet
        sound = [h for h in sorted(fleet.router_by_host) if self._is_sound(h)]
        count = 2 if self._release.kind is OutOfStep.TWO_TOGETHER else 1
        if len(sound) < count + 2:
            return
        self.hosts = self._rng.sample(sound, count)
        loop = asyncio.get_running_loop()
        for host in self.hosts:
            fleet.begin_fault(host)
            self.spans.append(Span(host, loop.time(), float('inf')))
        async with asyncio.TaskGroup() as group:
            group.create_task(self._change_engines())
            callers = group.create_task(self._play_streams(group))
            await self._keep_out_of_step()
            for span in self.spans:
                fleet.end_fault(span.host)
                span.end = loop.time() + STABLE_S
            await callers

    def is_out_of_step(self, host: str, at: float) -> bool:
        """Returns whether the release kept a host out of step then."""
        return any(
            span.host == host and span.begin <= at < span.end
            for span in self.spans
        )

    def tells_nobody(self, host: str, at: float) -> bool:
        """Returns whether the release kept all that a host tells back then."""
        is_cut = self._release.kind in TELLS_NOBODY
        return is_cut and self.is_out_of_step(host, at)

    def _is_sound(self, host: str) -> bool:
        return self._fleet.is_up(host) and not self._fleet.is_harmed(host)

    async def _keep_out_of_step(self) -> None:
        release = self._release
        if release.kind is not OutOfStep.RETURNING:
            self._begin()
            await asyncio.sleep(release.for_s)
            self._end()
            return
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + release.for_s
        while loop.time() < ends_at:
            self._begin()
            await asyncio.sleep(self._rng.uniform(*RETURN_EACH_S))
            self._end()
            await asyncio.sleep(self._rng.uniform(*RETURN_EACH_S) / 4)

    def _begin(self) -> None:
        fleet, kind = self._fleet, self._release.kind
        for host in self.hosts:
            link = fleet.keyed_log_by_host[host].link
            if kind is OutOfStep.STORE_SILENT:
                link.keep_back()
            elif kind is OutOfStep.STORE_REFUSES:
                link.refuses = True
            elif kind is OutOfStep.STOPPED:
                link.keep_back()
                fleet.peers.freeze(host)
                self.stopped_hosts.add(host)
            else:
                fleet.set_aside(
                    host,
                    sends=kind is OutOfStep.DEAF,
                    receives=kind is OutOfStep.MUTE,
                )
        if kind is OutOfStep.TWO_TOGETHER:
            fleet.peers.restore(*self.hosts)

    def _end(self) -> None:
        for host in self.hosts:
            self._fleet.peers.thaw(host)
            self._fleet.bring_back(host)
        self.stopped_hosts.clear()
        self._returned.set()

    async def _change_engines(self) -> None:
        release, fleet = self._release, self._fleet
        await asyncio.sleep(release.change_after_s)
        old = fleet.decode_engines()
        if release.change is EngineChange.RESTART:
            self._restart(old)
            return
        new = [
            fleet.add_engine(f'lm-{release.at:.3f}-{number}', release.version)
            for number in range(JOINING)
        ]
        await asyncio.sleep(release.leave_after_s)
        if release.change is EngineChange.REPLACE:
            self._remove(old)
        elif release.change is EngineChange.BRIEF:
            self._remove(new)

    def _restart(self, engines: list[CrashEngine]) -> None:
        count = self._rng.randint(1, max(1, len(engines) - 2))
        for engine in self._rng.sample(engines, min(count, len(engines))):
            self._fleet.restart_in_place(
                engine, self._release.version, self._release.list_lag_s
            )

    def _remove(self, engines: list[CrashEngine]) -> None:
        for engine in engines:
            if engine.alive:
                self._fleet.remove_engine(engine)

    async def _play_streams(self, group: asyncio.TaskGroup) -> None:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + self._release.for_s + STREAMS_AFTER_S
        while loop.time() < ends_at:
            await asyncio.sleep(self._rng.expovariate(1.0 / STREAM_EACH_S))
            hosts = self._draw_hosts()
            if hosts:
                group.create_task(self._play_stream(hosts))

    def _draw_hosts(self) -> list[str]:
        """Returns the hosts of a stream, one of them out of step."""
        fleet, rng = self._fleet, self._rng
        others = [
            host
            for host in sorted(fleet.router_by_host)
            if host not in self.hosts and not fleet.is_harmed(host)
        ]
        if len(others) < 2:
            return []
        one, other = rng.sample(others, 2)
        host = rng.choice(self.hosts)
        if host in self.stopped_hosts:
            return [one, host]
        return rng.choice(
            (
                [one, host],
                [one, host],
                [one, host, other],
                [host, one],
                [host, one, host],
                [one, other],
            )
        )

    async def _play_stream(self, hosts: list[str]) -> None:
        gap_s = self._rng.choice((0.0, self._rng.uniform(0.0, MAX_GAP_S)))
        reads = [self._rng.randint(1, 4), self._rng.randint(1, 2)]

        async def pause(record: StreamRecord) -> None:
            if self.stopped_hosts:
                await self._returned.wait()
            await asyncio.sleep(gap_s)

        await self._fleet.play_stream(hosts, reads, pause)
