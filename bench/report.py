"""The bench's results as a Markdown page."""

from __future__ import annotations

import pathlib
from typing import Any

import tabulate

HEADERS = (
    'case',
    'policy',
    'goodput',
    'language',
    'plain',
    'of capacity',
    'wasted prefill',
    'first token p95 (s)',
    'per token p95 (ms)',
    'refused',
    'violations',
)
BEGIN_MARK = '<!-- begin: written by python -m bench.compare -->'
END_MARK = '<!-- end -->'


def write_report(
    path: pathlib.Path,
    results: dict[str, Any],
    bounds: dict[str, dict[str, float]],
) -> None:
    """Writes the tables between the page's marks, keeping the text around."""
    page = f'# Bench\n\n{BEGIN_MARK}\n{END_MARK}\n'
    if path.exists():
        page = path.read_text()
    head, _, rest = page.partition(BEGIN_MARK)
    _, _, tail = rest.partition(END_MARK)
    parts = [
        _deployment(name, cases, bounds[name])
        for name, cases in results.items()
    ]
    tables = '\n'.join(parts)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(f'{head}{BEGIN_MARK}\n\n{tables}\n{END_MARK}{tail}')


def _deployment(
    name: str, cases: dict[str, Any], bounds: dict[str, float]
) -> str:
    rows = [
        _row(case, policy, summary)
        for case, by_policy in sorted(cases.items(), key=_case_order)
        for policy, summary in by_policy.items()
    ]
    table = tabulate.tabulate(
        rows, HEADERS, tablefmt='github', disable_numparse=True
    )
    bound = ', '.join(
        f'{case.removeprefix("load_")}%: {value:.2f}'
        for case, value in sorted(bounds.items(), key=_case_order)
    )
    return (
        f'## {name}\n\n{table}\n\nMost that any choice of requests could '
        f'complete, as a share of the capacity, by load: {bound}.\n'
    )


def _case_order(item: tuple[str, Any]) -> tuple[bool, int, str]:
    case = item[0]
    number = case.removeprefix('load_')
    is_load = number.isdigit()
    return (not is_load, int(number) if is_load else 0, case)


def _row(case: str, policy: str, summary: dict[str, Any]) -> list[str]:
    spread = summary['spread']
    low, high = spread['goodput']
    return [
        case,
        policy,
        f'{summary["goodput"]:.3f} ({low:.3f}-{high:.3f})',
        f'{summary["language_goodput"]:.3f}',
        f'{summary["plain_goodput"]:.3f}',
        f'{summary["goodput_of_capacity"]:.3f}',
        f'{summary["wasted_prefill"]:.2%}',
        f'{summary["ttft_p95_s"]:.2f}',
        f'{summary["tpot_p95_ms"]:.1f}',
        f'{summary["refused"]:.3f}',
        str(summary['violations']),
    ]
