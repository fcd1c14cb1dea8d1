"""Tests of the capacity bound."""

import itertools
import random

import numpy as np
import pytest

from bench.capacity import (
    best_split,
    completion_bound,
    piece_steps,
    recording_capacity,
    request_costs,
)
from bench.deployments import DEPLOYMENT_BY_NAME, KOBBERFONDEN
from bench.workloads import record_arrivals
from mustardscale.configuration.config_records import ServiceKind

PARAMETERS = KOBBERFONDEN.parameters


def decode_seconds(requests):
    """Decodes on one engine, filling its memory greedily step by step."""
    waiting = list(requests)
    running = []
    seconds = 0.0
    while waiting or running:
        held = sum(-(-(p + done + 1) // 2000) for p, done, _ in running)
        while waiting:
            prompt, output = waiting[0]
            need = -(-(prompt + output) // 2000)
            if running and held + need > PARAMETERS.pieces_total:
                break
            held += need
            running.append((prompt, 0, output))
            waiting.pop(0)
        seconds += PARAMETERS.step_base_s
        seconds += PARAMETERS.step_per_stream_s * len(running)
        running = [(p, done + 1, o) for p, done, o in running if done + 1 < o]
    return seconds


class TestRequestCosts:
    """The least cost of each request."""

    def test_piece_steps_is_the_sum_over_steps(self):
        rng = random.Random(1)
        for _ in range(200):
            prompt, output = rng.randrange(1, 9000), rng.randrange(1, 4000)
            total = sum(-(-(prompt + n) // 2000) for n in range(1, output + 1))
            assert piece_steps(prompt, output, 2000) == total

    def test_a_schedule_takes_at_least_the_decode_cost(self):
        arrivals = record_arrivals(KOBBERFONDEN, 4.0, 40.0, seed=2)
        costs = request_costs(arrivals, PARAMETERS, 0.03)
        requests = [
            (arrival.prompt.tokens, arrival.output_tokens)
            for arrival in arrivals
            if arrival.kind == ServiceKind.LANGUAGE
        ]
        least = costs[:, 1].sum()
        assert least <= decode_seconds(requests) <= 2 * least

    def test_each_block_is_paid_once(self):
        arrivals = record_arrivals(KOBBERFONDEN, 4.0, 100.0, seed=3)
        prefill = request_costs(arrivals, PARAMETERS, 0.03)[:, 0]
        again = request_costs([*arrivals, *arrivals], PARAMETERS, 0.03)[:, 0]
        repeated = again[len(prefill) :]
        # Only what follows the last full block is computed again.
        assert repeated.max() < 0.02 + 512 / 16_000
        assert again[: len(prefill)].sum() == prefill.sum()


class TestCapacity:
    """The bound on the request rate."""

    @pytest.mark.parametrize('name', sorted(DEPLOYMENT_BY_NAME))
    def test_deployments_use_the_best_split(self, name):
        deployment = DEPLOYMENT_BY_NAME[name]
        split = (deployment.prefill_engines, deployment.decode_engines)
        assert best_split(deployment, seed=1) == split

    def test_nothing_is_used_beyond_its_supply(self):
        arrivals = record_arrivals(KOBBERFONDEN, 5.0, 200.0, seed=1)
        capacity = recording_capacity(KOBBERFONDEN, arrivals)
        use = capacity.use_by_resource
        assert max(use.values()) == pytest.approx(1.0)
        assert use[capacity.bottleneck] == pytest.approx(1.0)

    def test_completion_bound_covers_every_choice(self):
        arrivals = record_arrivals(KOBBERFONDEN, 4.0, 3.5, seed=9)
        costs = request_costs(arrivals, PARAMETERS, 0.03)
        window = 0.25 * costs.sum(axis=0).min()
        supply = np.array([2, 3, 3, 2, 3]) * window
        best = 0
        for chosen in itertools.product((0, 1), repeat=len(costs)):
            if (np.array(chosen) @ costs <= supply).all():
                best = max(best, sum(chosen))
        bound = completion_bound(KOBBERFONDEN, arrivals, window)
        assert 0 < best <= bound < len(costs)
        assert bound < best + 2
