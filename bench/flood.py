"""Measures what a service that sends too much takes from the others.

One service sends a multiple of its requests; the recordings of the others stay
the same. Prints the goodput of each service with and without that.
"""

from __future__ import annotations

import argparse
import dataclasses
import functools
import logging
import statistics
import sys

from tabulate import tabulate

from bench.compare import DURATION_S, PERCENT, SEEDS, capacity_per_s
from bench.deployments import DEPLOYMENT_BY_NAME, Deployment
from bench.measures import is_good
from bench.replay import WARM_UP_S, replay
from bench.workloads import record_arrivals

POLICY = 'mustardscale'
DEFAULT_FACTOR = 4.0
DEFAULT_LOAD_PERCENT = 60


def flooded(deployment: Deployment, service: str, factor: float) -> Deployment:
    """Returns a deployment in which one service sends more requests."""
    language = tuple(
        dataclasses.replace(mix, share=mix.share * factor)
        if mix.service == service
        else mix
        for mix in deployment.language
    )
    return dataclasses.replace(deployment, language=language)


def goodput_by_service(
    deployment: Deployment, load: float, seed: int
) -> dict[str, float]:
    """Replays a recording and returns each language service's goodput."""
    rate_per_s = capacity_per_s(deployment.name) * load
    arrivals = record_arrivals(deployment, rate_per_s, DURATION_S, seed)
    result = replay(deployment.name, arrivals, POLICY, seed)
    good_by_service: dict[str, list[bool]] = {
        mix.service: [] for mix in deployment.language
    }
    for record in result.records:
        good = good_by_service.get(record.arrival.service)
        if good is None or record.cancelled:
            continue
        if record.arrival.time_s >= WARM_UP_S:
            good.append(is_good(record, deployment))
    return {
        service: statistics.fmean(good)
        for service, good in good_by_service.items()
    }


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--deployment', default='kobberfonden')
    parser.add_argument('--service', default='assay-summaries')
    parser.add_argument('--factor', type=float, default=DEFAULT_FACTOR)
    parser.add_argument('--load', type=int, default=DEFAULT_LOAD_PERCENT)
    arguments = parser.parse_args()
    logging.disable(logging.ERROR)
    deployment = DEPLOYMENT_BY_NAME[arguments.deployment]
    measured = functools.partial(
        goodput_by_service, load=arguments.load / PERCENT
    )
    rows = []
    for factor in (1.0, arguments.factor):
        changed = flooded(deployment, arguments.service, factor)
        runs = [measured(changed, seed=seed) for seed in SEEDS]
        means = [
            f'{statistics.fmean(run[mix.service] for run in runs):.3f}'
            for mix in deployment.language
        ]
        rows.append([factor, *means])
    headers = ['factor', *(mix.service for mix in deployment.language)]
    sys.stdout.write(f'{tabulate(rows, headers)}\n')


if __name__ == '__main__':
    main()
