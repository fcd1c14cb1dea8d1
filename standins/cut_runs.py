"""Runs fleets whose hosts lose their links to endpoints, under drawn faults."""

from __future__ import annotations

import asyncio
import dataclasses
import math
import random
import sys
from collections.abc import Sequence

from standins.crash_fleet import STABLE_S
from standins.cut_fleet import SERVED_SHARE, CutFleet, FirstTry
from standins.cut_links import CutMode
from standins.limit_runs import FleetFault
from standins.seed_runs import SeedRun, play_run, play_seeds

CALM_S = 4.0
LOADED_S = 30.0
RATE_PER_S = 40.0
# Hosts above which there are more requests, and endpoints for them.
HOSTS_PER_RATE = 80
# Share of the hosts, and one host at least, that are never cut at once: what
# they forward for the others is bounded.
UNCUT_SHARE = 0.1
LAST_ENDS_S = 8.0
MAX_CUTS = 4
CUT_FOR_S = (1.0, 12.0)
MAX_FAULTS = 3
LONGEST_FAULT_S = 5.0
HOST_FAULTS = ('restart', 'freeze', 'peers', 'join', 'engine')
# First tries below which their share is not judged.
LEAST_TRIES = 30
# Share of first tries that sound hosts must serve while others are cut.
SOUND_SHARE = 0.95


@dataclasses.dataclass(slots=True)
class DrawnCut:
    """A cut of some hosts.

    Attributes:
        hosts: how many.
        mode: what happens to their connections.
        at: seconds from the start of the load.
        for_s: how long.
    """

    hosts: int
    mode: CutMode
    at: float
    for_s: float


class CutRun(SeedRun):
    """One run of a seed.

    Attributes:
        fleet: the hosts and the endpoints.
    """

    def __init__(self, seed: int, hosts: int):
        rng = self._rng = random.Random(seed)
        scale = max(1, round(hosts / HOSTS_PER_RATE))
        self._rate_per_s = RATE_PER_S * scale
        self.fleet = CutFleet(hosts, 6 * scale, 4 * scale, seed)
        self._uncut = max(1, int(UNCUT_SHARE * hosts))
        self._joined = 0
        self._cuts = [
            DrawnCut(
                rng.randint(1, max(1, hosts - 1)),
                rng.choice(list(CutMode)),
                rng.uniform(0.0, LOADED_S - 5.0),
                rng.uniform(*CUT_FOR_S),
            )
            for _ in range(rng.randint(1, MAX_CUTS))
        ]
        self._faults = [
            FleetFault(
                rng.choice(HOST_FAULTS),
                rng.uniform(0.0, LOADED_S),
                rng.uniform(0.3, LONGEST_FAULT_S),
            )
            for _ in range(rng.randint(0, MAX_FAULTS))
        ]
        # Loop times of the cuts of each host, and of other faults.
        self._cut_at_by_host: dict[str, list[tuple[float, float]]] = {}
        self._harmed: list[tuple[float, float]] = []
        self._engines_ended: set[str] = set()

    async def play(self) -> list[str]:
        """See the base class."""
        fleet = self.fleet
        await fleet.start()
        async with asyncio.TaskGroup() as group:
            group.create_task(
                fleet.load_routes(self._rate_per_s, CALM_S + LOADED_S)
            )
            for cut in self._cuts:
                group.create_task(self._cut(cut))
            for fault in self._faults:
                group.create_task(self._carry_out(fault))
        await asyncio.sleep(LAST_ENDS_S)
        broken = self._false_verdicts() + self._unserved()
        broken += [f'false outcome: {one}' for one in fleet.false_outcomes()]
        await fleet.stop()
        return broken

    def counts(self) -> dict[str, int]:
        """See the base class."""
        return {
            'first tries': len(self.fleet.tries),
            'tries at cut hosts': len(self._judged(True)),
            'cuts': len(self._cuts),
        }

    async def _cut(self, cut: DrawnCut) -> None:
        await asyncio.sleep(CALM_S + cut.at)
        loop = asyncio.get_running_loop()
        up = [
            h for h in sorted(self.fleet.router_by_host) if not self._is_cut(h)
        ]
        most = max(0, len(up) - self._uncut)
        hosts = self._rng.sample(up, min(cut.hosts, most))
        began_at = loop.time()
        for host in hosts:
            spans = self._cut_at_by_host.setdefault(host, [])
            spans.append((began_at, math.inf))
            self.fleet.links.cut(host, cut.mode)
        await asyncio.sleep(cut.for_s)
        for host in hosts:
            self._cut_at_by_host[host].remove((began_at, math.inf))
            self._cut_at_by_host[host].append((began_at, loop.time()))
            self.fleet.links.restore(host)

    def _is_cut(self, host: str) -> bool:
        spans = self._cut_at_by_host.get(host, [])
        return any(ends_at == math.inf for _, ends_at in spans)

    async def _carry_out(self, fault: FleetFault) -> None:
        fleet = self.fleet
        await asyncio.sleep(CALM_S + fault.at)
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        if fault.kind == 'join':
            self._joined += 1
            await fleet.start_host(f'h{900 + self._joined}')
        elif fault.kind == 'engine':
            engine = self._rng.choice(fleet.decode_engines())
            self._engines_ended.add(engine.id)
            engine.crash()
        elif len(fleet.router_by_host) > 1:
            host = self._rng.choice(sorted(fleet.router_by_host))
            fleet.begin_fault(host)
            await fleet.harm(host, fault.kind, fault.for_s)
            fleet.end_fault(host)
        self._harmed.append((began_at, loop.time() + STABLE_S))

    def _judged(self, at_cut_hosts: bool) -> list[FirstTry]:
        """Returns the first tries that count, of cut hosts or of the others.

        They were sent later than STABLE_S after the cut of their host began,
        with no other fault about.
        """
        return [
            one
            for one in self.fleet.tries
            if not any(b <= one.sent_at < e for b, e in self._harmed)
            and self._was_cut(one) is at_cut_hosts
        ]

    def _was_cut(self, one: FirstTry) -> bool | None:
        """Returns whether a try met a cut, None where it does not count."""
        for began_at, ends_at in self._cut_at_by_host.get(one.host, []):
            if began_at + STABLE_S <= one.sent_at < ends_at - 0.5:
                return True
            if began_at <= one.sent_at < ends_at + 1.0:
                return None
        return False

    def _unserved(self) -> list[str]:
        """Returns whether cut hosts or the others served too little."""
        shares = {}
        for at_cut_hosts in (True, False):
            tries = self._judged(at_cut_hosts)
            if len(tries) < LEAST_TRIES:
                return []
            served = sum(one.outcome == 0 for one in tries)
            shares[at_cut_hosts] = served / len(tries)
        broken = []
        if shares[True] < SERVED_SHARE * shares[False]:
            broken.append(
                f'cut hosts served {shares[True]:.2f}, others '
                f'{shares[False]:.2f}'
            )
        if shares[False] < SOUND_SHARE:
            broken.append(f'sound hosts served {shares[False]:.2f}')
        return broken

    def _false_verdicts(self) -> list[str]:
        """Returns the crashes that were concluded of engines that ran on."""
        concluded = {
            crash.process.endpoint_id
            for router in self.fleet.router_by_host.values()
            for crash in router.blackboard.crash_evidence.crashes
        }
        sound = sorted(concluded - self._engines_ended)
        return [
            f'crash of {engine} concluded, which ran on' for engine in sound
        ]


def play_seed(seed: int, hosts: int) -> CutRun:
    """Plays a seed on virtual time.

    Raises:
        AssertionError: a bound was broken.
    """
    return play_run(lambda: CutRun(seed, hosts))


def main(arguments: Sequence[str] | None = None) -> int:
    """Plays seeds; the exit status is 1 if one was broken."""
    return play_seeds('standins.cut_runs', __doc__, play_seed, arguments)


if __name__ == '__main__':
    sys.exit(main())
