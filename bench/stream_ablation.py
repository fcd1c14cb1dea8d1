"""Plays the drawn streams with one check of answers switched off at a time.

    python -m bench.stream_ablation --seeds 3 --check joint --check ends

A check is switched off in a copy of the tree under build/, as in
bench.ablation. Then the tests that are named for it must fail, or seeds of the
drawn streams must break a promise; for checks of versions, seeds of the runs of
versions.
"""

from __future__ import annotations

import argparse
import dataclasses
import os
import pathlib
import re
import subprocess
import sys
from collections.abc import Sequence

import tabulate

from bench.platform_days import copy_tree
from bench.stream_checks import CHECKS, StreamCheck

TEST_TIMEOUT_S = 600.0
# Time of a seed beyond its load: start, end and judgement, seconds.
SEED_MARGIN_S = 60.0
_FAILED = re.compile(r'^FAILED (\S+)', re.MULTILINE)
_BROKEN = re.compile(r'(\d+) seeds broken$', re.MULTILINE)
_SEED = re.compile(r'^seed (\d+): ', re.MULTILINE)
_KIND = re.compile(r'\d+ (?:streams|plain) broken \([^)]*\)')


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """What found that a check is off.

    Attributes:
        tests: tests that failed, '' for none.
        broken: seeds of the drawn streams that broke a promise.
        kinds: which promises, with counts; of versions, the seeds.
    """

    tests: str
    broken: int
    kinds: str


class Ablation:
    """Switches checks off and looks for what finds it."""

    def __init__(self, options: argparse.Namespace):
        self._options = options

    def play(self, check: StreamCheck) -> Finding:
        """Plays the tests and the seeds without a check."""
        folder = copy_tree(f'stream-check-{check.name}')
        check.mechanism.switch_off(folder)
        failed = self._play_tests(folder, check.tests)
        if check.plays_versions:
            broken, kinds = self._play_versions(folder)
        else:
            broken, kinds = self._play_seeds(folder)
        return Finding(failed, broken, kinds)

    def _play_tests(self, folder: pathlib.Path, tests: Sequence[str]) -> str:
        text = _run(
            folder,
            ['pytest', '-p', 'no:cacheprovider', '-x', '-rf', *tests],
            TEST_TIMEOUT_S,
        )
        return ' '.join(_FAILED.findall(text))

    def _play_versions(self, folder: pathlib.Path) -> tuple[int, str]:
        """Plays the runs of versions; returns which seeds were broken."""
        options = self._options
        if not options.seeds:
            return 0, ''
        text = _run(
            folder,
            [
                'standins.version_runs',
                *('--seeds', str(options.seeds)),
                *('--first-seed', str(options.first_seed)),
            ],
            options.seeds * SEED_MARGIN_S,
        )
        broken = _BROKEN.search(text)
        if broken is None:
            raise RuntimeError(f'the runs of versions failed: {text[-500:]}')
        return int(broken.group(1)), ' '.join(_SEED.findall(text))

    def _play_seeds(self, folder: pathlib.Path) -> tuple[int, str]:
        options = self._options
        if not options.seeds:
            return 0, ''
        text = _run(
            folder,
            [
                'standins.stream_runs',
                *('--seeds', str(options.seeds)),
                *('--first-seed', str(options.first_seed)),
                *('--seconds', str(options.seconds)),
                *('--cut-share', str(options.cut_share)),
            ],
            options.seeds * (options.seconds + SEED_MARGIN_S),
        )
        broken = _BROKEN.search(text)
        if broken is None:
            raise RuntimeError(f'the drawn streams did not end: {text[-500:]}')
        summary = text.splitlines()[-1]
        return int(broken.group(1)), ', '.join(_KIND.findall(summary))


def _run(
    folder: pathlib.Path, arguments: Sequence[str], timeout_s: float
) -> str:
    """Returns what a module prints that runs in a copy of the tree."""
    return subprocess.run(
        [sys.executable, '-m', *arguments],
        cwd=folder,
        env=os.environ | {'PYTHONPATH': str(folder)},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=timeout_s,
        check=False,
    ).stdout


def make_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog='python -m bench.stream_ablation', description=__doc__
    )
    parser.add_argument(
        '--check',
        action='append',
        choices=[check.name for check in CHECKS],
        help='Check to switch off; may be repeated. All by default.',
    )
    parser.add_argument(
        '--seeds', type=int, default=3, help='Seeds to play; 0 for tests only.'
    )
    parser.add_argument('--first-seed', type=int, default=1, help='The first.')
    parser.add_argument(
        '--seconds', type=float, default=20.0, help='Time of a seed.'
    )
    parser.add_argument(
        '--cut-share',
        type=float,
        default=0.3,
        help='Share of the answers that workers cut short.',
    )
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Plays the checks that the arguments name."""
    options = make_parser().parse_args(arguments)
    ablation = Ablation(options)
    rows = []
    missed = 0
    for check in CHECKS:
        if options.check and check.name not in options.check:
            continue
        found = ablation.play(check)
        missed += not found.tests and not found.broken
        rows.append(
            [
                check.name,
                check.mechanism.name,
                found.tests or 'none',
                f'{found.broken} of {options.seeds}',
                found.kinds,
            ]
        )
        sys.stdout.write(f'{rows[-1]}\n')
        sys.stdout.flush()
    headers = ['check', 'what it does', 'test that fails', 'seeds', 'broken']
    sys.stdout.write(tabulate.tabulate(rows, headers, 'github') + '\n')
    return 1 if missed else 0


if __name__ == '__main__':
    sys.exit(main())
