"""Plays days of the users' bench with each policy and compares them.

    python -m bench.platform_days --bench PROGRAM --site FILE --day NAME ...

The program and the site files are the users' and stand outside the repository.
Each policy is deployed from a copy of the tree under build/ by one more line in
the template of its settings.
"""

from __future__ import annotations

import argparse
import dataclasses
import os
import pathlib
import re
import shutil
import subprocess
import sys
from collections.abc import Iterable, Iterator, Sequence

import tabulate

from mustardscale.policy import POLICY_BY_NAME

ROOT = pathlib.Path(__file__).resolve().parents[1]
OUTPUT = ROOT / 'build' / 'platform-days'
TEMPLATE = 'deploy/settings.conf'
DAY_TIMEOUT_S = 600.0
_HEADERS = ('site', 'day', 'policy', 'worth', 'served', 'refused', 'failed')
# A row of a report: name, hosts, score, worth, served, refused, failed.
_ROW = re.compile(
    r'^(?P<day>[\w-]+) +\d+/\d+ +[\d.]+ +(?P<worth>-?[\d.]+) +'
    r'(?P<served>[\d.]+) +(?P<refused>[\d.]+) +(?P<failed>[\d.]+) +'
    r'(?P<rest>.*)$',
    re.MULTILINE,
)


@dataclasses.dataclass(frozen=True, slots=True)
class DayResult:
    """What a day of the bench was worth.

    Attributes:
        site: name of the site.
        day: name of the day.
        policy: name of the policy.
        worth: worth less prices.
        served: credit earned as a share of that owed.
        refused: share of the requests that were refused.
        failed: share of the requests that failed.
        broken: the rules that were broken, '' for none.
    """

    site: str
    day: str
    policy: str
    worth: float
    served: float
    refused: float
    failed: float
    broken: str = ''


def read_report(text: str, site: str, policy: str) -> DayResult:
    """Reads the row of a day from a report.

    Raises:
        ValueError: there is none.

    >>> row = 'quiet-1   6/13   1.00  0.903  0.966   0.000  0.027  worst 0.9'
    >>> read_report(row, 'a', 'round_robin').worth
    0.903
    """
    match = _ROW.search(text)
    if match is None:
        raise ValueError(f'no row of a day in the report of {site}')
    return DayResult(
        site,
        match['day'],
        policy,
        worth=float(match['worth']),
        served=float(match['served']),
        refused=float(match['refused']),
        failed=float(match['failed']),
        broken=match['rest'].partition('BROKEN: ')[2],
    )


def copy_tree(name: str) -> pathlib.Path:
    """Returns a copy of the tree under a name."""
    folder = OUTPUT / name
    shutil.rmtree(folder, ignore_errors=True)
    listed = subprocess.run(
        ['git', 'ls-files'],
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
    )
    for path in listed.stdout.split():
        if path.startswith('journal/'):
            continue
        target = folder / path
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(ROOT / path, target)
    if (ROOT / 'target').exists():
        shutil.copytree(
            ROOT / 'target', folder / 'target', copy_function=os.link
        )
    return folder


def play(
    program: str, sites: Sequence[str], days: Sequence[str], policy: str
) -> Iterator[DayResult]:
    """Plays days with a policy."""
    folder = copy_tree(policy)
    template = folder / TEMPLATE
    template.write_text(template.read_text() + f'policy = {policy}\n')
    try:
        yield from _play_in(folder, program, sites, days, policy)
    finally:
        keep_journal(folder)


def keep_journal(folder: pathlib.Path) -> None:
    """Takes the entries that the bench has left in a copy of the tree."""
    shutil.copytree(folder / 'journal', ROOT / 'journal', dirs_exist_ok=True)


def _play_in(
    folder: pathlib.Path,
    program: str,
    sites: Sequence[str],
    days: Sequence[str],
    policy: str,
) -> Iterator[DayResult]:
    for site in sites:
        for day in days:
            done = subprocess.run(
                [program, 'run', site, day, '--why', f'policy {policy}'],
                cwd=folder,
                check=False,
                capture_output=True,
                text=True,
                timeout=DAY_TIMEOUT_S,
            )
            yield read_report(done.stdout, pathlib.Path(site).stem, policy)


def table(results: Iterable[DayResult]) -> str:
    """Renders results as a Markdown table."""
    rows = [
        [getattr(result, name) for name in _HEADERS] + [result.broken]
        for result in sorted(results, key=lambda r: (r.site, r.day, r.policy))
    ]
    return tabulate.tabulate(rows, [*_HEADERS, 'broken'], tablefmt='github')


def main() -> int:
    """Plays and prints the table."""
    parser = argparse.ArgumentParser(description=__doc__.split('\n')[0])
    parser.add_argument('--bench', required=True, help="the users' program")
    parser.add_argument('--site', action='append', required=True)
    parser.add_argument('--day', action='append', required=True)
    parser.add_argument(
        '--policy', action='append', choices=sorted(POLICY_BY_NAME)
    )
    options = parser.parse_args()
    results: list[DayResult] = []
    for policy in options.policy or sorted(POLICY_BY_NAME):
        results += play(options.bench, options.site, options.day, policy)
    text = table(results)
    OUTPUT.mkdir(parents=True, exist_ok=True)
    (OUTPUT / 'table.md').write_text(text + '\n')
    sys.stdout.write(text + '\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
