"""Plays days of the users' bench with one mechanism switched off at a time.

    python -m bench.ablation --bench PROGRAM --site FILE --day NAME ...

A mechanism is switched off in a copy of the tree under build/, by replacing a
line of its source. Processor time is not charged, so runs can share a machine.
"""

from __future__ import annotations

import argparse
import collections
import concurrent.futures
import dataclasses
import pathlib
import subprocess
import sys
from collections.abc import Sequence

import tabulate

from bench.platform_days import (
    DAY_TIMEOUT_S,
    DayResult,
    copy_tree,
    keep_journal,
    read_report,
)

WHOLE = 'everything on'


@dataclasses.dataclass(frozen=True, slots=True)
class Mechanism:
    """A mechanism, and how it is switched off.

    Attributes:
        name: what it does.
        path: its source file below mustardscale/.
        line: the text that is replaced, which stands there once.
        off: the text in its place.
    """

    name: str
    path: str
    line: str
    off: str

    def switch_off(self, folder: pathlib.Path) -> None:
        """Replaces the text in a copy of the tree.

        Raises:
            ValueError: the text does not stand there once.
        """
        source = folder / 'mustardscale' / self.path
        text = source.read_text()
        if text.count(self.line) != 1:
            raise ValueError(
                f'{self.path}: {self.line!r} stands there '
                f'{text.count(self.line)} times; mend bench/ablation.py'
            )
        source.write_text(text.replace(self.line, self.off))


MECHANISMS = (
    Mechanism(
        'prompts read by engines with few streams',
        'policy/local_prefill.py',
        'LIGHT_LOAD_MEMORY_SHARE = 0.45',
        'LIGHT_LOAD_MEMORY_SHARE = -1.0',
    ),
    Mechanism(
        'prompts read by decode engines that would be late',
        'policy/reserving.py',
        'if not is_late or local_s > split_s:',
        'if True:',
    ),
    Mechanism(
        'small requests first',
        'policy/urgency.py',
        'SLACK_PER_POOL_SECOND = 6.0',
        'SLACK_PER_POOL_SECOND = 0.0',
    ),
    Mechanism(
        'refusal by a forecast',
        'policy/reserving.py',
        'if _may_keep_waiting(current, candidate, admission_s, late_s):',
        'if True:',
    ),
    Mechanism(
        'fair shares',
        'policy/fair_shares.py',
        'limit = self._virtual_time + ALLOWANCE_TOKENS',
        "limit = float('inf')",
    ),
    Mechanism(
        'guesses of output lengths',
        'policy/reserving.py',
        '        request.hint_tokens,\n    )',
        '        0,\n    )',
    ),
    Mechanism(
        'overbooking of memory',
        'policy/pairing.py',
        'OVERBOOK_BOUND_FACTOR = 3.0',
        'OVERBOOK_BOUND_FACTOR = 0.0',
    ),
    Mechanism(
        'no new prefill engine where memory is short',
        'orders/role_balance.py',
        'MAX_MEMORY_SHARE = 0.7',
        'MAX_MEMORY_SHARE = 1e9',
    ),
    Mechanism(
        'choice of plain endpoints by what was seen',
        'relay/endpoint_choice.py',
        'SIMILAR_COST_FACTOR = 1.6',
        'SIMILAR_COST_FACTOR = 1e9',
    ),
    Mechanism(
        'second attempts of reads',
        'relay/plain_relay.py',
        'return route.may_repeat and progress.runs < route.max_attempts',
        'return False',
    ),
    Mechanism(
        'ends of stalled streams',
        'relay/stream_relay.py',
        'share = RESUMABLE_STALL_SHARE if self._may_resume else ',
        'share = 1e9 or ',
    ),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Play:
    """One day to be played.

    Attributes:
        mechanism: name of the mechanism that is off, WHOLE for none.
        folder: the copy of the tree.
        site: path of the site file.
        day: name of the day.
        seed: seed, '' for that of the day.
    """

    mechanism: str
    folder: pathlib.Path
    site: str
    day: str
    seed: str

    def run(self, program: str) -> DayResult:
        """Plays it."""
        command = [program, 'run', self.site, self.day, '--no-cpu']
        command += ['--jobs', '1', '--why', f'ablation: {self.mechanism}']
        if self.seed:
            command += ['--seed', self.seed]
        done = subprocess.run(
            command,
            cwd=self.folder,
            check=False,
            capture_output=True,
            text=True,
            timeout=DAY_TIMEOUT_S,
        )
        site = pathlib.Path(self.site).stem
        return read_report(done.stdout, site, self.mechanism)


def table(results: Sequence[DayResult]) -> str:
    """Renders what each mechanism is worth, by site and day.

    >>> on = DayResult('s', 'd', WHOLE, 0.7, 0, 0, 0)
    >>> off = DayResult('s', 'd', 'x', 0.6, 0, 0, 0)
    >>> print(table([on, off]))
    | off           |    s d |
    |---------------|--------|
    | everything on |  0.700 |
    | x             | -0.100 |
    """
    worths: dict[tuple[str, str], list[float]] = collections.defaultdict(list)
    for result in results:
        column = f'{result.site} {result.day}'
        worths[result.policy, column].append(result.worth)
    mean = {key: sum(found) / len(found) for key, found in worths.items()}
    columns = sorted({column for _, column in mean})
    names = dict.fromkeys(result.policy for result in results)
    rows = []
    for name in names:
        cells = []
        for column in columns:
            worth = mean.get((name, column))
            whole = mean.get((WHOLE, column), 0.0)
            if worth is None:
                cells.append('')
            else:
                shown = worth if name == WHOLE else worth - whole
                cells.append(f'{shown:.3f}')
        rows.append([name, *cells])
    return tabulate.tabulate(
        rows, ['off', *columns], tablefmt='github', floatfmt='.3f'
    )


def plays_of(
    sites: Sequence[str], days: Sequence[str], seeds: Sequence[str]
) -> list[Play]:
    """Makes the copies of the tree and returns all that is to be played."""
    folders = {WHOLE: copy_tree('whole')}
    for number, mechanism in enumerate(MECHANISMS):
        folder = copy_tree(f'off-{number}')
        mechanism.switch_off(folder)
        folders[mechanism.name] = folder
    return [
        Play(name, folder, site, day, seed)
        for name, folder in folders.items()
        for site in sites
        for day in days
        for seed in seeds
    ]


def main() -> int:
    """Plays and prints the table."""
    parser = argparse.ArgumentParser(description=__doc__.split('\n')[0])
    parser.add_argument('--bench', required=True, help="the users' program")
    parser.add_argument('--site', action='append', required=True)
    parser.add_argument('--day', action='append', required=True)
    parser.add_argument('--seed', action='append', help="default: the day's")
    parser.add_argument('--jobs', type=int, default=2, help='days at a time')
    options = parser.parse_args()
    plays = plays_of(
        [str(pathlib.Path(site).resolve()) for site in options.site],
        options.day,
        options.seed or [''],
    )
    results: list[DayResult] = []
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as executor:
        for result in executor.map(lambda p: p.run(options.bench), plays):
            results.append(result)
            sys.stdout.write(f'{result.policy}: {result.worth}\n')
            sys.stdout.flush()
    for folder in {play.folder for play in plays}:
        keep_journal(folder)
    sys.stdout.write(table(results) + '\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
