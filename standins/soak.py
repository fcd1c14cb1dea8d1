"""Runs the platform's hosts as processes under faults from outside."""

from __future__ import annotations

import argparse
import asyncio
import collections
import logging
import pathlib
import random
import shutil
import signal
import sys
import time

import aiohttp
import uvloop

from standins.loopback_proxy import LinkState, LoopbackProxy
from standins.platform_processes import PlatformProcesses
from standins.platform_store import StoreCopy
from standins.promise_checks import Promise, Violation
from standins.soak_callers import SoakCallers, judge
from standins.soak_plan import (
    LAST_END_S,
    SoakFault,
    decode_plan,
    draw_faults,
    encode_plan,
)

CALLERS = 8
# Time after the last fault within which requests are served again, seconds.
RECOVERY_S = 15.0
PROBES = 8
# Limit that a worker states, requests a second.
WORKER_LIMIT_PER_S = 2.0
_LINK_STATES = {
    'link_delayed': LinkState.DELAYED,
    'link_silent': LinkState.SILENT,
    'link_one_way': LinkState.ONE_WAY,
    'link_refused': LinkState.REFUSED,
    'store_silent': LinkState.SILENT,
    'store_cut': LinkState.REFUSED,
}


class SoakFaults:
    """Carries out the faults of a plan."""

    def __init__(self, site: PlatformProcesses):
        self._site = site
        # What the store comes back from, by fault.
        self._copy_by_fault: dict[SoakFault, StoreCopy] = {}

    async def carry_out(self, fault: SoakFault, began_at: float) -> None:
        """Begins a fault at its time and ends it."""
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(began_at + fault.at - now)
        self._begin(fault)
        await asyncio.sleep(fault.for_s)
        self._end(fault)
        if fault.kind == 'worker_ends':
            await self._site.restart_worker(fault.target)

    def _begin(self, fault: SoakFault) -> None:
        site, target = self._site, fault.target
        if fault.kind in _LINK_STATES:
            link = self._link(fault)
            link.state = _LINK_STATES[fault.kind]
            if fault.kind == 'store_cut':
                link.reset()
        elif fault.kind == 'link_reset':
            site.link_by_worker[target].reset()
        elif fault.kind == 'worker_leaves':
            site.list_worker(target, 'draining')
        elif fault.kind.startswith('worker_'):
            self._set_worker(fault, True)
        elif fault.kind == 'store_refuses':
            site.store.faults.refuses = True
        elif fault.kind == 'store_set_back':
            self._copy_by_fault[fault] = site.store.take_copy()
        elif fault.kind == 'config_changed':
            site.change_config()
        elif fault.kind.startswith('host_'):
            self._signal(fault)

    def _end(self, fault: SoakFault) -> None:
        site, target = self._site, fault.target
        if fault.kind in _LINK_STATES:
            self._link(fault).state = LinkState.WHOLE
        elif fault.kind == 'worker_leaves':
            site.list_worker(target)
        elif fault.kind.startswith('worker_'):
            self._set_worker(fault, False)
        elif fault.kind == 'store_refuses':
            site.store.faults.refuses = False
        elif fault.kind == 'store_set_back':
            site.set_store_back(self._copy_by_fault.pop(fault))
        elif fault.kind == 'host_paused':
            site.process_by_host[target].send_signal(signal.SIGCONT)
        elif fault.kind.startswith('host_'):
            process = site.process_by_host[target]
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
            site.start_host(target)

    def _link(self, fault: SoakFault) -> LoopbackProxy:
        if fault.kind.startswith('store_'):
            return self._site.store_link_by_host[fault.target]
        return self._site.link_by_worker[fault.target]

    def _set_worker(self, fault: SoakFault, harmed: bool) -> None:
        faults = self._site.worker_by_name[fault.target].faults
        if fault.kind == 'worker_limits':
            limit_per_s = WORKER_LIMIT_PER_S if harmed else None
            worker = self._site.worker_by_name[fault.target]
            worker.arrivals.state_limit(limit_per_s)
        elif fault.kind == 'worker_full':
            faults.full = harmed
        elif fault.kind == 'worker_unframed':
            faults.unframed = harmed
        elif fault.kind == 'worker_ends':
            faults.ends_in_answer = harmed
        elif fault.kind == 'worker_loses_answers':
            faults.loses_answers = harmed
        else:
            faults.breaks_after = int(harmed)

    def _signal(self, fault: SoakFault) -> None:
        number = {
            'host_killed': signal.SIGKILL,
            'host_paused': signal.SIGSTOP,
            'host_stopped': signal.SIGTERM,
        }[fault.kind]
        self._site.process_by_host[fault.target].send_signal(number)


class Soak:
    """Runs seeds one after the other.

    Attributes:
        violations: how many were found.
        requests: how many requests were sent.
        faults: faults carried out by kind.
    """

    def __init__(
        self,
        hosts: int,
        directory: pathlib.Path,
        recovery_s: float = RECOVERY_S,
    ):
        self.violations = 0
        self.requests = 0
        self.served = 0
        self.faults: collections.Counter[str] = collections.Counter()
        self._hosts = hosts
        self._directory = directory
        self._recovery_s = recovery_s

    async def run_seed(
        self, seed: int, faults: list[SoakFault] | None = None
    ) -> list[Violation]:
        """Runs one seed; keeps its plan and logs if a promise was broken."""
        directory = self._directory / f'seed-{seed}'
        shutil.rmtree(directory, ignore_errors=True)
        async with PlatformProcesses(self._hosts, directory) as site:
            if faults is None:
                faults = draw_faults(
                    seed, list(site.callers_by_host), list(site.worker_by_name)
                )
            (directory / 'plan.json').write_bytes(encode_plan(seed, faults))
            callers = SoakCallers(
                site.callers_by_host, random.Random(seed), f's{seed}'
            )
            violations = await self._play(site, faults, callers)
        self.faults.update(fault.kind for fault in faults)
        self.requests += len(callers.records)
        self.served += sum(record.served for record in callers.records)
        self.violations += len(violations)
        if violations:
            (directory / 'violations.txt').write_text(
                '\n'.join(map(str, violations))
            )
        else:
            shutil.rmtree(directory)
        return violations

    async def _play(
        self,
        site: PlatformProcesses,
        faults: list[SoakFault],
        callers: SoakCallers,
    ) -> list[Violation]:
        began_at = asyncio.get_running_loop().time()
        carrying = SoakFaults(site)
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                group.create_task(carrying.carry_out(fault, began_at))
            group.create_task(callers.run(CALLERS, began_at + LAST_END_S))
        recovered = await self._recovers(callers)
        violations = judge(callers.records, site.worker_by_name.values())
        if not recovered:
            now = asyncio.get_running_loop().time()
            text = f'not all of {PROBES} requests in a row are served'
            violations.append(Violation(Promise.RECOVERS, now, text))
        return violations

    async def _recovers(self, callers: SoakCallers) -> bool:
        """Returns whether requests in a row are served in time."""
        loop = asyncio.get_running_loop()
        until = loop.time() + self._recovery_s
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(self._recovery_s)
        ) as session:
            row = 0
            while row < PROBES and loop.time() < until:
                record = await callers.ask(session)
                row = row + 1 if record.served else 0
                await asyncio.sleep(0.05)
        return row >= PROBES


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


async def _run(arguments: argparse.Namespace) -> int:
    soak = Soak(arguments.hosts, arguments.directory)
    ends_at = time.monotonic() + arguments.minutes * 60
    seeds = 0
    if arguments.replay:
        seed, faults = decode_plan(arguments.replay.read_bytes())
        for violation in await soak.run_seed(seed, faults):
            _say(str(violation))
        seeds = 1
    else:
        for seed in range(
            arguments.first_seed, arguments.first_seed + arguments.seeds
        ):
            if arguments.minutes and time.monotonic() > ends_at:
                break
            violations = await soak.run_seed(seed)
            seeds += 1
            for violation in violations:
                _say(f'seed {seed}: {violation}')
    faults_text = ', '.join(
        f'{kind} {count}' for kind, count in sorted(soak.faults.items())
    )
    _say(
        f'{seeds} seeds, {soak.requests} requests, {soak.served} served, '
        f'faults: {faults_text}; {soak.violations} violations'
    )
    return 1 if soak.violations else 0


def main() -> int:
    """Runs the soak; the exit status is 1 if a promise was broken."""
    parser = argparse.ArgumentParser(
        prog='python -m standins.soak', description=__doc__
    )
    parser.add_argument('--seeds', type=int, default=5, help='How many.')
    parser.add_argument('--first-seed', type=int, default=1, help='The first.')
    parser.add_argument('--hosts', type=int, default=6, help='Entry hosts.')
    parser.add_argument(
        '--minutes', type=float, default=0.0, help='Limit of time; 0 for none.'
    )
    parser.add_argument(
        '--directory',
        type=pathlib.Path,
        default=pathlib.Path('build/soak'),
        help='Where plans and logs of broken promises are kept.',
    )
    parser.add_argument(
        '--replay', type=pathlib.Path, help='A plan.json to play again.'
    )
    # Workers that lose answers as the plan says are no errors.
    logging.getLogger('aiohttp.server').setLevel(logging.CRITICAL)
    return uvloop.run(_run(parser.parse_args()))


if __name__ == '__main__':
    sys.exit(main())
