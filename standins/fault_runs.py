"""Runs random combinations of faults and judges the promises.

A run is decided by its seed alone: faults, callers and operators are drawn
from it and the clock is the event loop's, so a violation can be repeated.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import concurrent.futures
import dataclasses
import faulthandler
import functools
import logging
import os
import pathlib
import random
import sys

import async_solipsism

from mustardscale.configuration.config_records import Profile
from mustardscale.traces.trace import FileTrace
from standins.fault_actions import FaultActions
from standins.fault_callers import FaultCallers
from standins.fault_operators import FaultOperators
from standins.fault_orders import FaultOrders
from standins.fault_plan import FAULTS_END_S, Fault, draw_faults
from standins.memory_site import MemorySite, SiteLayout
from standins.promise_checks import (
    Promise,
    PromiseChecks,
    Violation,
    unknown_share,
)

WARM_UP_S = 5.0
# The system must serve again this long after the last fault, seconds.
RECOVERY_S = 15.0
# Time for memory to be freed after the last caller is gone, seconds.
QUIET_S = 11.0
MOST_PROCESSES = 5
# Real time after which a run that does not end is given up, seconds.
SEED_LIMIT_S = 60.0
# Size of the trace of one seed at most.
RECORD_LIMIT_BYTES = 100_000_000
LANGUAGE_PROFILE = Profile(
    first_token_s=2.0, patience_s=4.0, timeout_s=30.0, max_output_tokens=400
)
PLAIN_PROFILE = Profile(timeout_s=5.0)


@dataclasses.dataclass(frozen=True, slots=True)
class RunReport:
    """What came of one seed.

    Attributes:
        seed: the seed.
        faults: its faults.
        requests: requests of callers.
        answered: requests that were answered whole.
        unknown: sends of bookings that ended as unknown.
        booking_sends: all sends of bookings.
        outcomes: ends of sends by outcome name.
        violations: broken promises.
    """

    seed: int
    faults: tuple[Fault, ...]
    requests: int
    answered: int
    unknown: int
    booking_sends: int
    outcomes: collections.Counter[str]
    violations: tuple[Violation, ...]


def run_seed(
    seed: int,
    faults: list[Fault] | None = None,
    record: pathlib.Path | None = None,
    orders: bool = False,
) -> RunReport:
    """Runs one seed under virtual time.

    Args:
        seed: the seed of everything random.
        faults: faults to carry out in place of those that the seed draws.
        record: file to which all hosts record one trace.
        orders: whether operators also change what engines shall serve.
    """
    faulthandler.dump_traceback_later(SEED_LIMIT_S, exit=True)
    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        loop = runner.get_loop()
        loop.set_exception_handler(lambda *_: None)
        try:
            return runner.run(_run(seed, faults, record, orders))
        finally:
            faulthandler.cancel_dump_traceback_later()


class SharedTrace(FileTrace):
    """A trace that all hosts of a site write; no host closes it."""

    def __init__(self, path: pathlib.Path):
        path.unlink(missing_ok=True)
        super().__init__(path, RECORD_LIMIT_BYTES)

    def close(self) -> None:
        """Leaves the file open for the other hosts."""

    def end(self) -> None:
        """Writes what is left and closes the file."""
        super().close()


class ControllerFailures(logging.Handler):
    """Collects the unexpected errors of controllers."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self._texts: list[str] = []
        self._logger = logging.getLogger('mustardscale.controller')
        self._level = self._logger.level
        self._logger.setLevel(logging.ERROR)
        self._logger.addHandler(self)

    def emit(self, record: logging.LogRecord) -> None:
        """Notes the error of one log entry."""
        error = record.exc_info[1] if record.exc_info else None
        self._texts.append(f'{record.getMessage()}: {error!r}')

    def end(self) -> list[str]:
        """Stops collecting and returns the errors."""
        self._logger.removeHandler(self)
        self._logger.setLevel(self._level)
        return self._texts


async def _run(
    seed: int,
    faults: list[Fault] | None,
    record: pathlib.Path | None,
    orders: bool,
) -> RunReport:
    rng = random.Random(seed)
    drawn = draw_faults(rng)
    if faults is None:
        faults = drawn
    site = MemorySite(SiteLayout(), seed=seed)
    if record is not None:
        site.trace = SharedTrace(record)
    await site.start()
    await site.publish_defaults(LANGUAGE_PROFILE, PLAIN_PROFILE)
    await asyncio.sleep(WARM_UP_S)
    actions = FaultActions(site)
    callers = FaultCallers(site, actions, random.Random(rng.random()))
    checks = PromiseChecks(site, actions, callers)
    operators = FaultOperators(site, random.Random(rng.random()))
    engine_operators = None
    if orders:
        engine_operators = FaultOrders(site, random.Random(rng.random()))
    sampling = asyncio.create_task(checks.run())
    failures = ControllerFailures()
    async with asyncio.TaskGroup() as group:
        for fault in faults:
            group.create_task(actions.carry_out(fault))
        group.create_task(callers.run(FAULTS_END_S))
        group.create_task(operators.run(FAULTS_END_S))
        if engine_operators is not None:
            group.create_task(engine_operators.run(FAULTS_END_S))
    await _check_recovery(site, callers, checks)
    await asyncio.sleep(QUIET_S)
    checks.judge()
    for text in operators.judge():
        checks.report_config(text)
    if engine_operators is not None:
        for text in await engine_operators.judge():
            checks.report_orders(text)
    for text in failures.end():
        checks.require_recovery('controller', text)
    sampling.cancel()
    report = _report(seed, faults, callers, checks)
    await site.stop()
    if isinstance(site.trace, SharedTrace):
        site.trace.end()
    return report


async def _check_recovery(
    site: MemorySite, callers: FaultCallers, checks: PromiseChecks
) -> None:
    """Requires that every host serves both kinds of requests again."""
    probes = [
        _probe(site, callers, checks, host) for host in site.routers_by_host
    ]
    await asyncio.gather(*probes)


async def _probe(
    site: MemorySite, callers: FaultCallers, checks: PromiseChecks, host: str
) -> None:
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + RECOVERY_S
    for make in (callers.language, callers.booking, callers.read):
        while True:
            error = await callers.probe(host, make())
            if error is None:
                break
            if loop.time() > give_up_at:
                checks.require_recovery(host, repr(error))
                return
            await asyncio.sleep(1.0)


def _report(
    seed: int,
    faults: list[Fault],
    callers: FaultCallers,
    checks: PromiseChecks,
) -> RunReport:
    records = callers.records
    unknown, booking_sends = unknown_share(records)
    outcomes = collections.Counter(
        'lost'
        if send.lost
        else 'left'
        if send.left
        else send.outcome.name
        if send.outcome is not None
        else 'whole'
        for record in records
        for send in record.sends
    )
    return RunReport(
        seed,
        tuple(faults),
        len(records),
        sum(1 for record in records if record.answers),
        unknown,
        booking_sends,
        outcomes,
        tuple(checks.violations),
    )


def _parse(arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=20)
    parser.add_argument('--first-seed', type=int, default=1)
    parser.add_argument('--processes', type=int, default=MOST_PROCESSES)
    parser.add_argument(
        '--orders',
        action='store_true',
        help='change what engines shall serve during the runs',
    )
    parser.add_argument('--verbose', action='store_true')
    parser.add_argument(
        '--record', type=pathlib.Path, help='directory for a trace of each seed'
    )
    return parser.parse_args(arguments)


def main(arguments: list[str]) -> int:
    """Runs seeds, prints violations by promise and the totals."""
    options = _parse(arguments)
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    processes = min(options.processes, MOST_PROCESSES)
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        run = functools.partial(
            _run_recorded, directory=options.record, orders=options.orders
        )
        reports = list(pool.map(run, seeds))
    write = sys.stdout.write
    for promise in Promise:
        for report in reports:
            for violation in report.violations:
                if violation.promise is promise:
                    write(f'seed {report.seed}: {violation}\n')
    broken = [report for report in reports if report.violations]
    for report in broken if not options.verbose else reports:
        write(f'seed {report.seed}: {"; ".join(map(str, report.faults))}\n')
    write(summary(reports))
    return 1 if broken else 0


def _run_recorded(
    seed: int, directory: pathlib.Path | None, orders: bool
) -> RunReport:
    """Runs a seed; its trace goes to a directory, if there is one."""
    if directory is None:
        return run_seed(seed, orders=orders)
    directory.mkdir(parents=True, exist_ok=True)
    record = directory / f'seed-{seed}.jsonl'
    return run_seed(seed, record=record, orders=orders)


def summary(reports: list[RunReport]) -> str:
    """Returns the outcomes and, as the last line, the totals."""
    outcomes: collections.Counter[str] = collections.Counter()
    by_promise: collections.Counter[str] = collections.Counter()
    for report in reports:
        outcomes.update(report.outcomes)
        by_promise.update(item.promise.name for item in report.violations)
    requests = sum(report.requests for report in reports)
    answered = sum(report.answered for report in reports)
    unknown = sum(report.unknown for report in reports)
    sends = sum(report.booking_sends for report in reports)
    share = unknown / sends if sends else 0.0
    broken = sum(1 for report in reports if report.violations)
    lines = [
        'ends of sends: '
        + ', '.join(f'{name} {n}' for name, n in outcomes.most_common()),
        'violations: '
        + (', '.join(f'{n} {k}' for k, n in by_promise.items()) or 'none'),
        f'{len(reports)} seeds, {requests} requests, {answered} answered,'
        f' {sends} sends of bookings, {unknown} unknown ({share:.2%}),'
        f' {sum(by_promise.values())} violations in {broken} seeds',
    ]
    return '\n'.join(lines) + '\n'


def _fix_hash_seed() -> None:
    """Starts anew with fixed hashes of texts, on which sets' order depends."""
    if os.environ.get('PYTHONHASHSEED') != '0':
        environment = os.environ | {'PYTHONHASHSEED': '0'}
        command = [sys.executable, '-m', 'standins.fault_runs', *sys.argv[1:]]
        os.execve(sys.executable, command, environment)


if __name__ == '__main__':
    _fix_hash_seed()
    logging.getLogger('mustardscale').setLevel(logging.CRITICAL)
    logging.getLogger('asyncio').setLevel(logging.CRITICAL)
    sys.exit(main(sys.argv[1:]))
