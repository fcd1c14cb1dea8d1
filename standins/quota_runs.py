"""Runs fleets whose customers have quotas under faults drawn from a seed."""

from __future__ import annotations

import asyncio
import math
import random
import sys
from collections.abc import Sequence

from mustardscale.background_tasks import BackgroundTasks
from mustardscale.outcomes import Outcome
from standins.limit_runs import HOST_FAULTS, LONGEST_FAULT_S, FleetFault
from standins.quota_fleet import Demand, QuotaFleet, make_customer
from standins.seed_runs import SeedRun, play_run, play_seeds

# Load in a run, seconds; faults begin in it and end with it.
RUN_S = 25.0
# Limits of the customers, tokens a second.
LIMITS_PER_S = (18_000.0, 40_000.0, 150_000.0)
# Usual demand of a customer as a share of its limit, and that of one that sends
# too much for a time.
USUAL_SHARE = 0.55
CROWD_SHARES = (2.0, 4.0)
CROWD_S = (4.0, 10.0)
# Share of the hosts that a wide network partition isolates.
WIDE_CUT_SHARE = 0.35
# A refused request must not have waited for longer, seconds. Its host may ask
# an owner that does not answer.
MAX_REFUSAL_S = 0.6


class QuotaRun(SeedRun):
    """One run of a seed.

    Attributes:
        fleet: the hosts and the endpoint.
    """

    def __init__(self, seed: int, hosts: int):
        self._rng = random.Random(seed)
        customers = [
            make_customer(f'c{number}', limit)
            for number, limit in enumerate(LIMITS_PER_S)
        ]
        self.fleet = QuotaFleet(hosts, customers, seed)
        self._crowded = self._rng.choice(customers).name
        self._crowd_share = self._rng.choice(CROWD_SHARES)
        self._joined = 0
        self._background = BackgroundTasks()
        self._first_hosts: list[str] = []
        self._skewed = self._rng.random() < 0.5
        self._faults = [
            FleetFault(
                self._rng.choice((*HOST_FAULTS, 'wide cut', 'all restart')),
                self._rng.uniform(0.0, RUN_S - LONGEST_FAULT_S),
                self._rng.uniform(0.3, LONGEST_FAULT_S),
            )
            for _ in range(self._rng.randint(0, 6))
        ]

    async def play(self) -> list[str]:
        """See the base class."""
        fleet = self.fleet
        await fleet.start()
        self._first_hosts = list(fleet.router_by_host)
        async with asyncio.TaskGroup() as group:
            for fault in self._faults:
                group.create_task(self._carry_out(fault))
            for customer in fleet.customers:
                group.create_task(
                    self._load(customer.name, USUAL_SHARE, 0.0, RUN_S)
                )
            group.create_task(
                self._load(
                    self._crowded,
                    self._crowd_share,
                    self._rng.uniform(0.0, RUN_S / 2),
                    self._rng.uniform(*CROWD_S),
                )
            )
        await fleet.stop()
        return fleet.violations() + self._bad_refusals()

    def counts(self) -> dict[str, int]:
        """See the base class."""
        records = self.fleet.records
        usual = [r for r in records if r.customer != self._crowded]
        refused = [r for r in usual if r.outcome is Outcome.RATE_LIMITED]
        return {
            'requests': len(records),
            'of customers below their quota': len(usual),
            'of these refused by it': len(refused),
        }

    async def _load(
        self, customer: str, share: float, begins_s: float, seconds: float
    ) -> None:
        """Sends a share of what a customer's quota allows."""
        await asyncio.sleep(begins_s)
        fleet = self.fleet
        [quota] = [c.quota for c in fleet.customers if c.name == customer]
        one = Demand(customer, 1.0)
        per_s = share * quota.rate_per_s / one.tokens_per_s
        hosts = self._first_hosts
        weights = [
            self._rng.paretovariate(0.5) if self._skewed else 1.0 for _ in hosts
        ]
        await fleet.load(
            Demand(customer, per_s),
            seconds,
            dict(zip(hosts, weights, strict=True)),
        )

    async def _carry_out(self, fault: FleetFault) -> None:
        fleet = self.fleet
        await asyncio.sleep(fault.at)
        hosts = sorted(fleet.router_by_host)
        if fault.kind == 'join':
            self._joined += 1
            await fleet.start_host(f'h{900 + self._joined}')
        elif fault.kind == 'wide cut':
            count = math.ceil(WIDE_CUT_SHARE * len(hosts))
            for host in self._rng.sample(hosts, count):
                await self._start_fault(host, 'cut', fault.for_s)
        elif fault.kind == 'all restart':
            for host in hosts:
                await self._start_fault(host, 'restart', fault.for_s)
        elif len(hosts) > 1:
            host = self._rng.choice(hosts)
            if fault.kind == 'kill':
                await fleet.kill_host(host)
            else:
                await fleet.harm(host, fault.kind, fault.for_s)

    async def _start_fault(self, host: str, kind: str, for_s: float) -> None:
        """Starts a fault at a host without waiting for its end."""
        fleet = self.fleet
        if kind == 'restart':
            if not fleet.is_up(host):
                return
            await fleet.kill_host(host)
            self._background.start(self._start_later(host, for_s))
        else:
            fleet.cut_host(host)
            asyncio.get_running_loop().call_later(
                for_s, fleet.restore_host, host
            )

    async def _start_later(self, host: str, after_s: float) -> None:
        await asyncio.sleep(after_s)
        if not self.fleet.is_up(host):
            await self.fleet.start_host(host)

    def _bad_refusals(self) -> list[str]:
        """Returns refusals that came late, or without a time to return."""
        return [
            f'refused after {record.ended_at - record.sent_at:.3f} s with '
            f'{record.retry_after_s} s to return'
            for record in self.fleet.records
            if record.outcome is Outcome.RATE_LIMITED
            and (
                record.ended_at - record.sent_at > MAX_REFUSAL_S
                or not record.retry_after_s
            )
        ]


def play_seed(seed: int, hosts: int) -> QuotaRun:
    """Plays a seed on virtual time.

    Raises:
        AssertionError: a bound was broken.
    """
    return play_run(lambda: QuotaRun(seed, hosts))


def main(arguments: Sequence[str] | None = None) -> int:
    """Plays seeds; the exit status is 1 if one was broken."""
    return play_seeds('standins.quota_runs', __doc__, play_seed, arguments)


if __name__ == '__main__':
    sys.exit(main())
