"""Draws goodput and wasted prefill over load."""

from __future__ import annotations

import pathlib
from typing import Any

import matplotlib

matplotlib.use('Agg')

from matplotlib import pyplot

FIGURE_INCHES = (10.0, 7.0)
PERCENT = 100


def draw_plot(
    path: pathlib.Path,
    results: dict[str, Any],
    bounds: dict[str, dict[str, float]],
) -> None:
    """Writes a plot with a column of panels for each deployment."""
    # A fixed salt keeps the file the same from one run to the next.
    matplotlib.rcParams['svg.hashsalt'] = 'bench'
    figure, panels = pyplot.subplots(
        2, len(results), figsize=FIGURE_INCHES, squeeze=False, sharex=True
    )
    for column, (name, cases) in enumerate(results.items()):
        goodput, waste = panels[0][column], panels[1][column]
        _draw_measure(goodput, cases, 'goodput_of_capacity')
        _draw_measure(waste, cases, 'wasted_prefill')
        loads = sorted(
            (int(case.removeprefix('load_')), value)
            for case, value in bounds[name].items()
        )
        goodput.plot(*zip(*loads, strict=True), 'k--', label='bound')
        goodput.set_title(name)
        goodput.set_ylabel('language goodput / capacity')
        waste.set_ylabel('wasted prefill')
        waste.set_xlabel('load (% of capacity)')
        goodput.legend()
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, metadata={'Date': None})
    pyplot.close(figure)


def _draw_measure(panel: Any, cases: dict[str, Any], name: str) -> None:
    loads = sorted(
        int(case.removeprefix('load_'))
        for case in cases
        if case.startswith('load_')
    )
    for policy in cases[f'load_{loads[0]}']:
        summaries = [cases[f'load_{load}'][policy] for load in loads]
        values = [summary[name] for summary in summaries]
        spreads = [summary['spread'][name] for summary in summaries]
        below = [v - low for v, (low, _) in zip(values, spreads, strict=True)]
        above = [high - v for v, (_, high) in zip(values, spreads, strict=True)]
        panel.errorbar(
            loads, values, yerr=[below, above], label=policy, capsize=3
        )
    panel.grid(alpha=0.3)
