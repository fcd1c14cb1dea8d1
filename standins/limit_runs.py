"""Runs fleets before limited endpoints under faults drawn from a seed."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import sys
from collections.abc import Sequence

from mustardscale.outcomes import Outcome
from standins.limited_fleet import LimitedFleet
from standins.seed_runs import SeedRun, play_run, play_seeds

ENDPOINTS = 4
# Load in a run, seconds; faults begin in it and end with it.
RUN_S = 30.0
LONGEST_FAULT_S = 6.0
LOADS_PER_S = (8.0, 20.0, 40.0)
LIMITS_PER_S = (0.0, 0.3, 1.7, 4.0, 20.0)
# A refused request must not have waited for longer, seconds. A host may ask
# the owners of all limits first, and each may not answer.
MAX_REFUSAL_S = 1.0
HOST_FAULTS = ('kill', 'restart', 'freeze', 'cut', 'join')


@dataclasses.dataclass(frozen=True, slots=True)
class FleetFault:
    """A fault of one host.

    Attributes:
        kind: one of HOST_FAULTS.
        at: seconds from the start of the load.
        for_s: seconds that it lasts.
    """

    kind: str
    at: float
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LimitChange:
    """A change of an endpoint's limit.

    Attributes:
        endpoint: id of the endpoint.
        at: seconds from the start of the load.
        per_s: requests a second, None for no limit.
    """

    endpoint: str
    at: float
    per_s: float | None


class LimitRun(SeedRun):
    """One run of a seed.

    Attributes:
        fleet: the hosts and the endpoints.
    """

    def __init__(self, seed: int, hosts: int):
        self._rng = random.Random(seed)
        self.fleet = LimitedFleet(hosts, ENDPOINTS, seed)
        self._joined = 0
        self._load_per_s = self._rng.choice(LOADS_PER_S)
        # In some runs most requests come to few hosts.
        self._skewed = self._rng.random() < 0.5
        self._changes = self._draw_changes()
        self._faults = self._draw_faults()

    def _draw_changes(self) -> list[LimitChange]:
        changes = []
        for endpoint in self.fleet.endpoint_by_id:
            at = self._rng.uniform(0.0, 8.0)
            while at < RUN_S and self._rng.random() < 0.8:
                limited = self._rng.random() < 0.75
                per_s = self._rng.choice(LIMITS_PER_S) if limited else None
                changes.append(LimitChange(endpoint, at, per_s))
                at += self._rng.uniform(3.0, 15.0)
        return changes

    def _draw_faults(self) -> list[FleetFault]:
        return [
            FleetFault(
                self._rng.choice(HOST_FAULTS),
                self._rng.uniform(0.0, RUN_S),
                self._rng.uniform(0.3, LONGEST_FAULT_S),
            )
            for _ in range(self._rng.randint(0, 8))
        ]

    async def play(self) -> list[str]:
        """See the base class."""
        fleet = self.fleet
        await fleet.start()
        async with asyncio.TaskGroup() as group:
            for change in self._changes:
                group.create_task(self._change(change))
            for fault in self._faults:
                group.create_task(self._carry_out(fault))
            group.create_task(self._load())
        await fleet.stop()
        return fleet.violations() + self._late_refusals()

    def counts(self) -> dict[str, int]:
        """See the base class."""
        records = self.fleet.records
        refused = sum(r.outcome is not Outcome.COMPLETE for r in records)
        return {'requests': len(records), 'not served': refused}

    async def _load(self) -> None:
        hosts = list(self.fleet.router_by_host)
        weights = [
            self._rng.paretovariate(0.5) if self._skewed else 1.0 for _ in hosts
        ]
        share_by_host = dict(zip(hosts, weights, strict=True))
        await self.fleet.load(self._load_per_s, RUN_S, share_by_host)

    async def _change(self, change: LimitChange) -> None:
        await asyncio.sleep(change.at)
        endpoint = self.fleet.endpoint_by_id[change.endpoint]
        endpoint.arrivals.state_limit(change.per_s)

    async def _carry_out(self, fault: FleetFault) -> None:
        fleet = self.fleet
        await asyncio.sleep(fault.at)
        if fault.kind == 'join':
            self._joined += 1
            await fleet.start_host(f'h{900 + self._joined}')
            return
        if len(fleet.router_by_host) < 2:
            return
        host = self._rng.choice(sorted(fleet.router_by_host))
        if fault.kind == 'kill':
            await fleet.kill_host(host)
        else:
            await fleet.harm(host, fault.kind, fault.for_s)

    def _late_refusals(self) -> list[str]:
        """Returns refusals that came late, or without a time to return."""
        refused = [
            record
            for record in self.fleet.records
            if record.outcome is Outcome.POOL_SATURATED
        ]
        return [
            f'refused after {record.ended_at - record.sent_at:.3f} s with '
            f'{record.retry_after_s} s to return'
            for record in refused
            if record.ended_at - record.sent_at > MAX_REFUSAL_S
            or not record.retry_after_s
        ]


def play_seed(seed: int, hosts: int) -> LimitRun:
    """Plays a seed on virtual time.

    Raises:
        AssertionError: a bound was broken.
    """
    return play_run(lambda: LimitRun(seed, hosts))


def main(arguments: Sequence[str] | None = None) -> int:
    """Plays seeds; the exit status is 1 if one was broken."""
    return play_seeds('standins.limit_runs', __doc__, play_seed, arguments)


if __name__ == '__main__':
    sys.exit(main())
