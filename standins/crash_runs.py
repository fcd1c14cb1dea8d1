"""Runs fleets before engines that harmful segments end, under drawn faults."""

from __future__ import annotations

import asyncio
import random
import sys
from collections.abc import Sequence

from standins.crash_fleet import (
    CRASHES_ALLOWED,
    SOUND_SHARE,
    STABLE_S,
    CrashFleet,
)
from standins.limit_runs import FleetFault
from standins.seed_runs import SeedRun, play_run, play_seeds

CALM_S = 6.0
HARMFUL_S = 25.0
SOUND_PER_S = 8.0
HARMFUL_PER_S = (0.5, 1.5, 4.0)
LONGEST_FAULT_S = 6.0
MAX_FAULTS = 6
HOST_FAULTS = ('restart', 'freeze', 'cut', 'join', 'engine', 'links')


class CrashRun(SeedRun):
    """One run of a seed.

    Attributes:
        fleet: the hosts and the engines.
    """

    def __init__(self, seed: int, hosts: int):
        self._rng = random.Random(seed)
        self.fleet = CrashFleet(hosts, self._rng.choice((4, 6, 8)), seed=seed)
        self._harmful = tuple(
            f'harmful{number}' for number in range(self._rng.choice((1, 1, 2)))
        )
        self._harmful_per_s = self._rng.choice(HARMFUL_PER_S)
        self._joined = 0
        self._faults = [
            FleetFault(
                self._rng.choice(HOST_FAULTS),
                self._rng.uniform(0.0, HARMFUL_S),
                self._rng.uniform(0.3, LONGEST_FAULT_S),
            )
            for _ in range(self._rng.randint(0, MAX_FAULTS))
        ]

    async def play(self) -> list[str]:
        """See the base class."""
        fleet = self.fleet
        loop = asyncio.get_running_loop()
        await fleet.start()
        calm_from = loop.time()
        await fleet.load(SOUND_PER_S, CALM_S)
        harmful_from = loop.time()
        for harmful in fleet.harmful_by_service.values():
            harmful.update(self._harmful)
        async with asyncio.TaskGroup() as group:
            group.create_task(fleet.load(SOUND_PER_S, HARMFUL_S))
            load = fleet.load(
                self._harmful_per_s, HARMFUL_S, harmful=self._harmful
            )
            group.create_task(load)
            for fault in self._faults:
                group.create_task(self._carry_out(fault))
        ends_at = loop.time()
        await fleet.stop()
        broken = fleet.violations()
        return broken + self._lost(calm_from, harmful_from, ends_at)

    def counts(self) -> dict[str, int]:
        """See the base class."""
        crashes = self.fleet.log.crashed_at_by_segment.values()
        return {
            'requests': len(self.fleet.records),
            'engines ended': sum(map(len, crashes)),
        }

    def _lost(
        self, calm_from: float, harmful_from: float, ends_at: float
    ) -> list[str]:
        """Returns whether sound requests begin too seldom."""
        fleet = self.fleet
        known_at = harmful_from
        for segment in self._harmful:
            crashes = fleet.crashes_of(segment)[:CRASHES_ALLOWED]
            known_at = max([known_at, *crashes])
        try:
            usual = fleet.sound_share(calm_from, harmful_from)
            share = fleet.sound_share(known_at + 2 * STABLE_S, ends_at)
        except ValueError:
            return []
        if share >= SOUND_SHARE * usual:
            return []
        return [f'{share:.2f} of sound requests began, {usual:.2f} before']

    async def _carry_out(self, fault: FleetFault) -> None:
        fleet = self.fleet
        await asyncio.sleep(fault.at)
        if fault.kind == 'join':
            self._joined += 1
            await fleet.start_host(f'h{900 + self._joined}')
            return
        if fault.kind == 'engine':
            engines = list(fleet.decode_engines())
            if engines:
                self._rng.choice(engines).crash()
            return
        if len(fleet.router_by_host) < 2:
            return
        host = self._rng.choice(sorted(fleet.router_by_host))
        if fault.kind == 'links':
            await self._refuse_links(host, fault.for_s)
            return
        fleet.begin_fault(host)
        await fleet.harm(host, fault.kind, fault.for_s)
        fleet.end_fault(host)

    async def _refuse_links(self, host: str, for_s: float) -> None:
        engines = list(self.fleet.engine_by_address.values())
        for engine in engines:
            engine.refuse_host(host)
        await asyncio.sleep(for_s)
        for engine in engines:
            engine.unreachable_hosts.discard(host)


def play_seed(seed: int, hosts: int) -> CrashRun:
    """Plays a seed on virtual time.

    Raises:
        AssertionError: a bound was broken.
    """
    return play_run(lambda: CrashRun(seed, hosts))


def main(arguments: Sequence[str] | None = None) -> int:
    """Plays seeds; the exit status is 1 if one was broken."""
    return play_seeds('standins.crash_runs', __doc__, play_seed, arguments)


if __name__ == '__main__':
    sys.exit(main())
