"""Releases engines while one host, a process like the others, is out of step.

Engines write their versions into their events; a stream must hold one only.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import logging
import pathlib
import random
import shutil
import sys
from collections.abc import Sequence

import uvloop

from standins.builds import check_out
from standins.releases import EngineChange, OutOfStep
from standins.skew_callers import SkewCallers, SkewStream
from standins.skew_site import STORE_LINK_BY_KIND, SkewSite
from standins.stream_runs import HostBuilds, write_line

HOSTS = 6
JOINING = 4
# Engines that start again under their ids.
RESTARTING = 2
# Time in which hosts have read the platform's streams, seconds.
SETTLE_S = 2.5
STREAM_EACH_S = 0.03
STREAMS_AFTER_S = 1.0
AWAY_S = (2.4, 4.5)
# Away long enough that the host works alone before engines start again.
ALONE_S = (3.0, 4.6)
STOPPED_S = 2.6
KINDS = (*STORE_LINK_BY_KIND, OutOfStep.STOPPED)
CHANGES = (EngineChange.JOIN, EngineChange.RESTART)


class SkewRun:
    """One run of a seed.

    Attributes:
        kind: what keeps the host out of step, None for nothing.
        change: what engines do meanwhile.
        host: the host out of step.
        streams: what callers got.
    """

    def __init__(
        self,
        seed: int,
        directory: pathlib.Path,
        builds: HostBuilds,
        kind: OutOfStep | None = None,
        change: EngineChange | None = None,
        is_sound: bool = False,
    ):
        """Draws the run.

        Args:
            seed: the seed.
            directory: where logs are kept.
            builds: what the hosts run.
            kind: what keeps the host out of step, None to draw it.
            change: what engines do, None to draw it.
            is_sound: whether nothing keeps the host out of step.
        """
        self._rng = random.Random(f'{seed}/skew')
        drawn = self._rng.choice(KINDS), self._rng.choice(CHANGES)
        self.kind = None if is_sound else kind or drawn[0]
        self.change = change or drawn[1]
        self._names = [f'h{number}' for number in range(HOSTS)]
        self.host = self._rng.choice(self._names)
        is_restart = self.change is EngineChange.RESTART
        self._for_s = self._rng.uniform(*(ALONE_S if is_restart else AWAY_S))
        if self.kind is OutOfStep.STOPPED:
            self._for_s = STOPPED_S
        self._code_by_host = builds.assign(self._names)
        self._directory = directory
        self.streams: list[SkewStream] = []

    async def play(self) -> None:
        """Plays the run."""
        site = SkewSite(self._names, self._directory, self._code_by_host)
        async with site:
            callers = SkewCallers(site.hosts.callers_by_host)
            self.streams = callers.streams
            await asyncio.sleep(SETTLE_S)
            if self.kind is not None:
                site.set_out_of_step(self.host, self.kind)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._change_engines(site))
                group.create_task(self._return(site))
                await self._call(callers, group)

    async def _return(self, site: SkewSite) -> None:
        await asyncio.sleep(self._for_s)
        if self.kind is not None:
            site.bring_back(self.host)

    async def _change_engines(self, site: SkewSite) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, 0.5))
        if self.change is EngineChange.RESTART:
            for number in range(1, 1 + RESTARTING):
                await site.restart_worker(f'd{number}', 'v2')
            return
        for number in range(JOINING):
            await site.add_worker(f'e{number}', 'v2')

    async def _call(
        self, callers: SkewCallers, group: asyncio.TaskGroup
    ) -> None:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + self._for_s + STREAMS_AFTER_S
        others = [name for name in self._names if name != self.host]
        while loop.time() < ends_at:
            hosts = [self._rng.choice(others), self.host]
            if self.change is EngineChange.RESTART:
                hosts.reverse()
            events = self._rng.randint(1, 4)
            gap_s = self._rng.uniform(0.0, 0.5)
            played = callers.play(hosts[0], hosts[1], events, gap_s)
            group.create_task(played)
            await asyncio.sleep(STREAM_EACH_S)

    def counts(self) -> collections.Counter[str]:
        """Returns what is summed up, by its name."""
        taken = [s for s in self.streams if s.was_taken_up]
        return collections.Counter(
            {
                'streams': len(self.streams),
                'taken up': len(taken),
                'of these begun at v2': sum(
                    s.versions[0] == 'v2' for s in taken
                ),
                'went on': sum(s.went_on for s in taken),
                'refused (503)': sum(s.statuses[-1] == 503 for s in taken),
                'mixed': sum(len(s.versions) > 1 for s in self.streams),
                'out of order': sum(not s.is_in_order for s in self.streams),
            }
        )

    def describe(self) -> str:
        """Returns what the run is."""
        kind = self.kind.value if self.kind is not None else 'nothing'
        build = 'other' if self.host in self._code_by_host else 'this'
        return (
            f'{kind} {self._for_s:.1f} s, {self.change.value}, '
            f'{self.host} of {build} build'
        )


def play_seed(
    seed: int, options: argparse.Namespace, builds: HostBuilds
) -> SkewRun:
    """Plays a seed; keeps the logs if a stream was broken."""
    folder = options.directory.resolve() / f'seed-{seed}'
    shutil.rmtree(folder, ignore_errors=True)

    async def main() -> SkewRun:
        run = SkewRun(
            seed,
            folder,
            builds,
            OutOfStep(options.kind) if options.kind else None,
            EngineChange(options.change) if options.change else None,
            options.sound,
        )
        await run.play()
        return run

    run = uvloop.run(main())
    counts = run.counts()
    if counts['mixed'] or counts['out of order']:
        broken = [
            s for s in run.streams if len(s.versions) > 1 or not s.is_in_order
        ]
        (folder / 'broken.txt').write_text(''.join(f'{s}\n' for s in broken))
    elif not options.keep:
        shutil.rmtree(folder)
    return run


def make_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog='python -m standins.skew_runs', description=__doc__
    )
    parser.add_argument('--seeds', type=int, default=10, help='How many.')
    parser.add_argument('--first-seed', type=int, default=1, help='The first.')
    parser.add_argument(
        '--kind',
        choices=[kind.value for kind in KINDS],
        help='What keeps the host out of step; drawn by default.',
    )
    parser.add_argument(
        '--change',
        choices=[change.value for change in CHANGES],
        help='What engines do; drawn by default.',
    )
    parser.add_argument(
        '--sound', action='store_true', help='No host is out of step.'
    )
    parser.add_argument(
        '--build', help='Commit whose build the hosts run, not this one.'
    )
    parser.add_argument(
        '--beside', help='Commit whose build every second host runs.'
    )
    parser.add_argument(
        '--keep', action='store_true', help='Keep the logs of all seeds.'
    )
    parser.add_argument(
        '--directory',
        type=pathlib.Path,
        default=pathlib.Path('build/skew'),
        help='Where the logs of broken seeds are kept.',
    )
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Plays the seeds that the arguments name."""
    # Callers who leave make no errors.
    logging.getLogger('aiohttp.server').setLevel(logging.CRITICAL)
    parser = make_parser()
    options = parser.parse_args(arguments)
    directory = options.directory / 'builds'
    try:
        first = check_out(options.build, directory) if options.build else None
        second = first
        if options.beside:
            second = check_out(options.beside, directory)
    except ValueError as error:
        parser.error(str(error))
    builds = HostBuilds(first, second)
    sums: collections.Counter[str] = collections.Counter()
    broken = 0
    for seed in range(options.first_seed, options.first_seed + options.seeds):
        run = play_seed(seed, options, builds)
        counts = run.counts()
        sums.update(counts)
        broken += bool(counts['mixed'] or counts['out of order'])
        write_line(f'seed {seed}, {run.describe()}: {_describe(counts)}')
    write_line(f'{options.seeds} seeds, {_describe(sums)}; {broken} broken')
    return 1 if broken else 0


def _describe(counts: collections.Counter[str]) -> str:
    return ', '.join(f'{count} {name}' for name, count in counts.items())


if __name__ == '__main__':
    sys.exit(main())
