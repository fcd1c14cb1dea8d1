"""Compares the placement policies on recorded arrivals.

Writes build/bench.json, a table and a plot.
"""

from __future__ import annotations

import argparse
import collections
import concurrent.futures
import dataclasses
import functools
import logging
import multiprocessing
import pathlib
import statistics
import sys
from collections.abc import Iterable, Sequence

import msgspec

from bench.bench_faults import FAULT_BY_NAME
from bench.capacity import completion_bound, deployment_capacity
from bench.deployments import DEPLOYMENT_BY_NAME
from bench.measures import RunMeasures, measure
from bench.plot import draw_plot
from bench.replay import WARM_UP_S, replay
from bench.report import write_report
from bench.workloads import record_arrivals

POLICIES = ('mustardscale', 'round_robin', 'least_loaded')
LOADS_PERCENT = (50, 70, 90, 110, 150)
FAULT_LOAD_PERCENT = 90
SEEDS = (1, 2, 3)
CAPACITY_SEED = 1
DURATION_S = 70.0
PROCESSES = 5
PERCENT = 100
DIGITS = 4
RESULT_PATH = pathlib.Path('build/bench.json')
REPORT_PATH = pathlib.Path('docs/bench.md')
PLOT_PATH = pathlib.Path('docs/images/bench.svg')


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One replay.

    Attributes:
        deployment: name of the deployment.
        case: 'load_NN' or 'fault_NAME'.
        policy: name of the policy.
        seed: seed of the recording and the replay.
        load: offered language load as a share of the capacity.
        fault: name of the fault, '' for none.
    """

    deployment: str
    case: str
    policy: str
    seed: int
    load: float
    fault: str = ''


def all_runs(
    loads_percent: Sequence[int], faults: Iterable[str], seeds: Sequence[int]
) -> list[Run]:
    """Returns the runs of a comparison, the longest first."""
    cases = [
        (f'load_{percent}', percent, '')
        for percent in sorted(loads_percent, reverse=True)
    ]
    cases += [(f'fault_{name}', FAULT_LOAD_PERCENT, name) for name in faults]
    return [
        Run(deployment, case, policy, seed, percent / PERCENT, fault)
        for case, percent, fault in cases
        for deployment in DEPLOYMENT_BY_NAME
        for policy in POLICIES
        for seed in seeds
    ]


@functools.cache
def capacity_per_s(deployment: str) -> float:
    """Returns the bound on a deployment's language requests a second."""
    return deployment_capacity(
        DEPLOYMENT_BY_NAME[deployment], CAPACITY_SEED
    ).requests_per_s


def execute(run: Run) -> RunMeasures:
    """Replays and measures one run."""
    logging.disable(logging.ERROR)
    deployment = DEPLOYMENT_BY_NAME[run.deployment]
    capacity = capacity_per_s(run.deployment)
    arrivals = record_arrivals(
        deployment, capacity * run.load, DURATION_S, run.seed
    )
    result = replay(run.deployment, arrivals, run.policy, run.seed, run.fault)
    return measure(result, deployment, DURATION_S, capacity)


def execute_all(runs: Sequence[Run], processes: int) -> list[RunMeasures]:
    """Executes the runs in a pool of processes."""
    context = multiprocessing.get_context('spawn')
    with concurrent.futures.ProcessPoolExecutor(
        processes, mp_context=context
    ) as pool:
        return list(pool.map(execute, runs))


Summary = dict[str, float | int | dict[str, list[float]]]
Results = dict[str, dict[str, dict[str, Summary]]]


def summarize(measures: Sequence[RunMeasures]) -> Summary:
    """Averages the runs of several seeds, with the spread of each measure.

    Violations are summed.
    """
    summary: Summary = {}
    spread: dict[str, list[float]] = {}
    for field in dataclasses.fields(RunMeasures):
        values = [getattr(item, field.name) for item in measures]
        if field.name == 'violations':
            summary[field.name] = sum(values)
            continue
        summary[field.name] = round(statistics.fmean(values), DIGITS)
        spread[field.name] = [
            round(min(values), DIGITS),
            round(max(values), DIGITS),
        ]
    summary['spread'] = spread
    return summary


def collect(runs: Sequence[Run], measures: Sequence[RunMeasures]) -> Results:
    """Groups the measures by deployment, case and policy."""
    grouped: dict[tuple[str, str, str], list[RunMeasures]] = (
        collections.defaultdict(list)
    )
    for run, measured in zip(runs, measures, strict=True):
        grouped[run.deployment, run.case, run.policy].append(measured)
    results: Results = {}
    for (deployment, case, policy), group in grouped.items():
        cases = results.setdefault(deployment, {})
        cases.setdefault(case, {})[policy] = summarize(group)
    return results


def bound_by_load(
    loads_percent: Sequence[int], seed: int
) -> dict[str, dict[str, float]]:
    """Bounds the goodput at each load, as a share of the capacity."""
    bounds: dict[str, dict[str, float]] = {}
    for name, deployment in DEPLOYMENT_BY_NAME.items():
        capacity = capacity_per_s(name)
        bounds[name] = {}
        for percent in loads_percent:
            rate = capacity * percent / PERCENT
            arrivals = [
                arrival
                for arrival in record_arrivals(
                    deployment, rate, DURATION_S, seed
                )
                if arrival.time_s >= WARM_UP_S
            ]
            window_s = DURATION_S - WARM_UP_S
            completed = completion_bound(deployment, arrivals, window_s)
            bounds[name][f'load_{percent}'] = round(
                completed / (window_s * capacity), DIGITS
            )
    return bounds


def main() -> None:
    """Runs the comparison."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--quick', action='store_true', help='one seed, two loads, no faults'
    )
    parser.add_argument('--processes', type=int, default=PROCESSES)
    arguments = parser.parse_args()
    seeds = SEEDS[:1] if arguments.quick else SEEDS
    loads = (90, 150) if arguments.quick else LOADS_PERCENT
    faults = () if arguments.quick else tuple(FAULT_BY_NAME)
    runs = all_runs(loads, faults, seeds)
    measures = execute_all(runs, arguments.processes)
    results = collect(runs, measures)
    bounds = bound_by_load(loads, CAPACITY_SEED)
    RESULT_PATH.parent.mkdir(exist_ok=True)
    content = {
        'deployments': results,
        'bound_of_capacity': bounds,
        'seeds': seeds,
    }
    RESULT_PATH.write_bytes(
        msgspec.json.format(msgspec.json.encode(content), indent=2)
    )
    if not arguments.quick:
        write_report(REPORT_PATH, results, bounds)
        draw_plot(PLOT_PATH, results, bounds)
    sys.stdout.write(f'wrote {RESULT_PATH}\n')


if __name__ == '__main__':
    main()
