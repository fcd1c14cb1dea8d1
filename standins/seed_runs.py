"""Plays fleets of hosts from seeds, on virtual time, from the command line."""

from __future__ import annotations

import abc
import argparse
import asyncio
import logging
import sys
from collections.abc import Callable, Sequence
from typing import TypeVar

import async_solipsism


class SeedRun(abc.ABC):
    """One run of a seed."""

    @abc.abstractmethod
    async def play(self) -> list[str]:
        """Plays the run; returns what was broken."""

    @abc.abstractmethod
    def counts(self) -> dict[str, int]:
        """Returns what is summed up over the runs, by its name."""


RunT = TypeVar('RunT', bound=SeedRun)


def play_run(make_run: Callable[[], RunT]) -> RunT:
    """Plays a run on virtual time.

    Raises:
        AssertionError: a bound was broken.
    """
    run = None

    async def main() -> list[str]:
        nonlocal run
        run = make_run()
        return await run.play()

    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        broken = runner.run(main())
    if broken:
        raise AssertionError('; '.join(broken[:3]))
    assert run is not None
    return run


def play_seeds(
    program: str,
    description: str | None,
    play_seed: Callable[[int, int], SeedRun],
    arguments: Sequence[str] | None,
) -> int:
    """Plays the seeds that the arguments name.

    Args:
        program: name of the module.
        description: what it does.
        play_seed: plays a seed with a number of hosts.
        arguments: the arguments, None for those of the process.

    Returns:
        The exit status, 1 if a seed was broken.
    """
    parser = argparse.ArgumentParser(
        prog=f'python -m {program}', description=description
    )
    parser.add_argument('--seeds', type=int, default=20, help='How many.')
    parser.add_argument('--first-seed', type=int, default=1, help='The first.')
    parser.add_argument('--hosts', type=int, default=6, help='Entry hosts.')
    options = parser.parse_args(arguments)
    # Hosts that fall silent as the faults say are no errors.
    logging.getLogger('mustardscale').setLevel(logging.CRITICAL)
    broken = 0
    sums: dict[str, int] = {}
    for seed in range(options.first_seed, options.first_seed + options.seeds):
        try:
            run = play_seed(seed, options.hosts)
        except AssertionError as error:
            broken += 1
            sys.stdout.write(f'seed {seed}: {error}\n')
            continue
        for name, count in run.counts().items():
            sums[name] = sums.get(name, 0) + count
    counted = ', '.join(f'{count} {name}' for name, count in sums.items())
    sys.stdout.write(
        f'{options.seeds} seeds, {options.hosts} hosts, {counted}; '
        f'{broken} seeds broken\n'
    )
    return 1 if broken else 0
