"""Writes versions of a large configuration while hosts have narrow links.

Hosts are processes; all connections of a host share its link. Judged is whether
a version is in force in time on each host, by what callers are answered.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import json
import logging
import math
import pathlib
import random
import shutil
import signal
import statistics
import sys
import time
from collections.abc import Mapping, Sequence
from typing import Any

import uvloop

from standins.builds import check_out
from standins.config_callers import ConfigCallers
from standins.config_site import ConfigSite
from standins.large_config import FEW_ROUTES
from standins.stream_runs import write_line

# Time between two versions, seconds.
VERSION_EACH_S = 2.0
# Time between the readiness of all hosts and the first version, seconds.
SETTLE_S = 6.0
# Time for which hosts are down, or stopped, seconds.
DOWN_S = 1.0
STOPPED_S = 3.5
# Time in which hosts that return must be ready, seconds.
RECOVER_WITHIN_S = 15.0


class ConfigRun:
    """One run of a seed."""

    def __init__(
        self,
        seed: int,
        options: argparse.Namespace,
        directory: pathlib.Path,
        code: pathlib.Path | None,
    ):
        """Prepares the run.

        Args:
            seed: the seed.
            options: the arguments of the command line.
            directory: where logs are kept.
            code: folder of another build that the hosts run.
        """
        self._options = options
        self._rng = random.Random(f'{seed}/config')
        self._directory = directory
        self._site = ConfigSite(
            options.hosts,
            options.large,
            options.routes if options.at_start else FEW_ROUTES,
            directory,
            code,
            random.Random(f'{seed}/routes'),
        )
        self._callers = ConfigCallers(self._site, self._rng)
        # Unix time at which the harmed hosts were started or resumed.
        self._returned_at = math.nan
        self._harmed: list[str] = []
        # Seconds from then until all of them were ready.
        self._ready_after_s = math.nan
        self._first_carried: dict[str, tuple[int, int]] = {}

    async def play(self) -> None:
        """Plays the run."""
        options = self._options
        rates = (options.large_mbit, options.small_mbit)
        await self._site.start(rates if options.small_mbit else None)
        try:
            for name in self._site.names:
                self._site.start_host(name)
            await self._site.hosts.wait_ready(self._site.names)
            await asyncio.sleep(SETTLE_S)
            if not options.at_start:
                self._site.config.grow(options.routes)
            self._first_carried = dict(self._site.carried)
            async with asyncio.TaskGroup() as group:
                asking = group.create_task(self._callers.ask())
                harming = group.create_task(self._harm())
                await self._write_versions(options.versions)
                await harming
                await asyncio.sleep(VERSION_EACH_S)
                asking.cancel()
        finally:
            await self._site.close()

    async def _write_versions(self, count: int) -> None:
        for _ in range(count):
            self._callers.note_version(self._site.write_version())
            await asyncio.sleep(VERSION_EACH_S)

    async def _harm(self) -> None:
        """Kills or stops a share of the hosts, and lets them return."""
        options = self._options
        count = round(options.harm_share * len(self._site.names))
        if not count:
            return
        await asyncio.sleep(2 * VERSION_EACH_S)
        self._harmed = self._rng.sample(self._site.names, count)
        self._set_harmed(math.inf)
        if options.harm == 'kill':
            for name in self._harmed:
                self._site.hosts.end(name)
            await asyncio.sleep(DOWN_S)
            for name in self._harmed:
                self._site.start_host(name)
        else:
            for name in self._harmed:
                self._site.hosts.send_signal(name, signal.SIGSTOP)
            await asyncio.sleep(STOPPED_S)
            for name in self._harmed:
                self._site.hosts.send_signal(name, signal.SIGCONT)
        self._returned_at = time.time()
        await self._site.hosts.wait_ready(self._harmed)
        self._ready_after_s = time.time() - self._returned_at
        self._set_harmed(time.time())

    def _set_harmed(self, until: float) -> None:
        for name in self._harmed:
            self._callers.harmed_until_by_host[name] = until

    def count_broken(self) -> int:
        """Returns how many answers only an older version allows."""
        return sum(answer.is_broken for answer in self._callers.answers)

    def is_late(self) -> bool:
        """Returns whether hosts that returned were not ready in time."""
        return self._ready_after_s > RECOVER_WITHIN_S

    def describe(self) -> str:
        """Returns what the run has shown."""
        answers = self._callers.answers
        broken = collections.Counter(
            f'{answer.asked} {answer.status}'
            for answer in answers
            if answer.is_broken
        )
        statuses = collections.Counter(answer.status for answer in answers)
        calm = [n for n in self._site.names if n not in self._harmed]
        return '; '.join(
            (
                f'{self.count_broken()} broken of {len(answers)}'
                f' ({_describe(broken)})',
                f'answers {_describe(statuses)}',
                f'in force {self._describe_delays(calm)}',
                f'harmed ready after {self._ready_after_s:.1f} s',
                self._describe_bytes(),
            )
        )

    def _describe_delays(self, names: Sequence[str]) -> str:
        """Returns how late versions were, from the logs of hosts."""
        delays_by_version: dict[int, list[float]] = {}
        for name in names:
            applied = read_applied(self._directory / f'{name}.log')
            # The first version stands before the hosts start.
            for version, written_at in self._site.acknowledged_at.items():
                later = [at for v, at in applied if v >= version]
                delay_s = min(later) - written_at if later else math.inf
                delays_by_version.setdefault(version, []).append(delay_s)
        delays = list(delays_by_version.values())[1:]
        if not delays:
            return 'none'
        medians = [statistics.median(values) for values in delays]
        last = max(max(values) for values in delays)
        return f'{min(medians):.2f} to {max(medians):.2f} s, last {last:.2f} s'

    def _describe_bytes(self) -> str:
        """Returns what the links have carried since the hosts were ready."""
        sent = {
            name: total - self._first_carried.get(name, (0, 0))[0]
            for name, (total, _) in self._site.carried.items()
        }
        if not sent:
            return 'no relay'
        return (
            f'{sum(sent.values()) / 1e6:.1f} MB sent by hosts,'
            f' {max(sent.values()) / 1e6:.1f} MB by one'
        )


def read_applied(path: pathlib.Path) -> list[tuple[int, float]]:
    """Returns the versions that a host's log says are in force, with times."""
    applied = []
    for line in path.read_text().splitlines():
        if '"config_applied"' in line:
            content = json.loads(line)
            applied.append((content['version'], content['time']))
    return applied


def _describe(counts: Mapping[Any, int]) -> str:
    return ', '.join(f'{count} x {name}' for name, count in counts.items())


def make_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog='python -m standins.config_runs', description=__doc__
    )
    add = parser.add_argument
    add('--seeds', type=int, default=1, help='How many.')
    add('--first-seed', type=int, default=1, help='The first.')
    add('--hosts', type=int, default=65, help='Hosts.')
    add('--large', type=int, default=8, help='Large ones among them.')
    add('--routes', type=int, default=1_400, help='Routes that stand.')
    add(
        '--at-start',
        action='store_true',
        help='The routes stand when the hosts start, not from a version on.',
    )
    add('--versions', type=int, default=7, help='Versions that are written.')
    add(
        '--small-mbit',
        type=float,
        default=5.0,
        help='Rate of the links of small hosts in Mbit/s, 0 for no relay.',
    )
    add(
        '--large-mbit',
        type=float,
        default=100.0,
        help='Rate of the links of large hosts in Mbit/s.',
    )
    add('--harm', choices=('kill', 'stop'), default='kill', help='What comes.')
    add(
        '--harm-share',
        type=float,
        default=0.0,
        help='Share of the hosts to which it comes.',
    )
    add('--build', help='Commit whose build the hosts run, not this one.')
    add(
        '--directory',
        type=pathlib.Path,
        default=pathlib.Path('build/config'),
        help='Where the logs are kept.',
    )
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Plays the seeds that the arguments name."""
    logging.getLogger('aiohttp.server').setLevel(logging.CRITICAL)
    parser = make_parser()
    options = parser.parse_args(arguments)
    code = None
    if options.build:
        try:
            code = check_out(options.build, options.directory / 'builds')
        except ValueError as error:
            parser.error(str(error))
    broken = 0
    for seed in range(options.first_seed, options.first_seed + options.seeds):
        folder = options.directory.resolve() / f'seed-{seed}'
        shutil.rmtree(folder, ignore_errors=True)
        run = play_seed(seed, options, folder, code)
        broken += bool(run.count_broken() or run.is_late())
        write_line(f'seed {seed}: {run.describe()}')
    write_line(f'{options.seeds} seeds, {broken} broken')
    return 1 if broken else 0


def play_seed(
    seed: int,
    options: argparse.Namespace,
    directory: pathlib.Path,
    code: pathlib.Path | None,
) -> ConfigRun:
    """Plays a seed."""

    async def play() -> ConfigRun:
        run = ConfigRun(seed, options, directory, code)
        await run.play()
        return run

    return uvloop.run(play())


if __name__ == '__main__':
    sys.exit(main())
