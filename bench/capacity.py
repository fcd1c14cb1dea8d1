"""An upper bound on the requests a second that engines can complete.

Each request costs at least some time of each resource, whatever the policy:

* prefill: the fixed time, and the computation of every full block that no
  earlier request of the recording has, plus the rest of the prompt. This is
  the cost with one prefix cache without limit before all prefill engines:
  whichever requests are served, each of their distinct blocks is computed
  at least once, and no block is counted for two requests.
* decode memory: a decode step serves at most pieces_total pieces. A request
  with n output tokens occupies pieces over n steps, so the steps of an
  engine are at least the sum of these over pieces_total, and each step takes
  step_base_s; each token adds step_per_stream_s. True lengths are used, as
  if every policy knew them.
* decode pace: requests that meet their time per token have sum(b * step(b))
  <= target * sum(b) over the steps, b being the batch. By the Cauchy-Schwarz
  inequality the number of steps is then at least the number of tokens over
  the largest batch whose step meets the target. The bound uses the least
  strict target.
* links: each prompt's KV cache crosses a prefill engine's link and a decode
  engine's link.

The capacity is the request rate, in the recording's own mix, at which the
first resource is used up: no policy that serves the mix in proportion can
complete more, and load is given as a share of it. A policy may also choose
which requests to refuse; completion_bound() covers that. It relaxes the
choice to shares of requests and bounds it by the Lagrangian dual, which
holds for any prices of the resources.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable, Sequence

import numpy as np
from numpy.typing import NDArray

from bench.deployments import Deployment
from bench.workloads import Arrival, record_arrivals
from mustardscale.configuration.config_records import ServiceKind
from mustardscale.endpoints.engines import BLOCK_TOKENS
from standins.engine_parameters import EngineParameters

RESOURCES = (
    'prefill',
    'decode memory',
    'decode pace',
    'prefill links',
    'decode links',
)
# Length and rate of the recording from which a deployment's capacity comes.
REFERENCE_DURATION_S = 600.0
REFERENCE_RATE_PER_S = 6.0
# Rounds and largest price step of the search for good prices.
_PRICE_ROUNDS = 60
_PRICE_STEPS = (0.5, 0.8, 0.95, 1.05, 1.25, 2.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """The bound for a recording's mix of requests.

    Attributes:
        requests_per_s: language requests a second.
        bottleneck: the resource that is used up first.
        use_by_resource: share of each resource used at that rate.
    """

    requests_per_s: float
    bottleneck: str
    use_by_resource: dict[str, float]


def piece_steps(
    prompt_tokens: int, output_tokens: int, piece_tokens: int
) -> int:
    """Returns the sum over a request's decode steps of the pieces it holds.

    >>> piece_steps(1999, 3, 2000)
    5
    """
    last = prompt_tokens + output_tokens
    full = last // piece_tokens - prompt_tokens // piece_tokens
    # Pieces at the step with n tokens in all are ceil(n / piece_tokens).
    total = 0
    first_pieces = -(-(prompt_tokens + 1) // piece_tokens)
    position = prompt_tokens
    for pieces in range(first_pieces, first_pieces + full + 2):
        end = min(last, pieces * piece_tokens)
        total += pieces * max(0, end - position)
        position = max(position, end)
    return total


def request_costs(
    arrivals: Iterable[Arrival],
    parameters: EngineParameters,
    per_token_s: float,
) -> NDArray[np.float64]:
    """Returns the least engine-seconds that each language request costs.

    Args:
        arrivals: a recording in order of time.
        parameters: speed and size of the engines.
        per_token_s: target time per output token.

    Returns:
        An array of requests x RESOURCES.
    """
    largest_batch = (
        per_token_s - parameters.step_base_s
    ) / parameters.step_per_stream_s
    seen: set[int] = set()
    rows = []
    for arrival in arrivals:
        if arrival.kind != ServiceKind.LANGUAGE:
            continue
        prompt = arrival.prompt
        reused = sum(block in seen for block in prompt.block_hashes)
        seen.update(prompt.block_hashes)
        computed = prompt.tokens - reused * BLOCK_TOKENS
        held = piece_steps(
            prompt.tokens, arrival.output_tokens, parameters.piece_tokens
        )
        streams_s = arrival.output_tokens * parameters.step_per_stream_s
        link_s = (
            prompt.tokens
            * parameters.kv_bytes_per_token
            / parameters.link_bytes_per_s
        )
        rows.append(
            (
                parameters.prefill_base_s
                + computed / parameters.prefill_tokens_per_s,
                parameters.step_base_s * held / parameters.pieces_total
                + streams_s,
                parameters.step_base_s * arrival.output_tokens / largest_batch
                + streams_s,
                link_s,
                link_s,
            )
        )
    return np.array(rows).reshape(-1, len(RESOURCES))


def _engine_counts(prefill: int, decode: int) -> NDArray[np.float64]:
    return np.array([prefill, decode, decode, prefill, decode], dtype=float)


def _loosest_target(deployment: Deployment) -> float:
    return max(
        deployment.profile(mix.service).per_token_s
        for mix in deployment.language
    )


def recording_capacity(
    deployment: Deployment,
    arrivals: Sequence[Arrival],
    split: tuple[int, int] | None = None,
) -> Capacity:
    """Bounds the request rate for a recording's mix.

    Args:
        deployment: whose engines.
        arrivals: a recording in order of time.
        split: prefill and decode engines, None for the deployment's own.
    """
    split = split or (deployment.prefill_engines, deployment.decode_engines)
    costs = request_costs(
        arrivals, deployment.parameters, _loosest_target(deployment)
    )
    rates = _engine_counts(*split) / costs.mean(axis=0)
    rate = float(rates.min())
    return Capacity(
        requests_per_s=rate,
        bottleneck=RESOURCES[int(rates.argmin())],
        use_by_resource=dict(
            zip(RESOURCES, (rate / rates).tolist(), strict=True)
        ),
    )


def reference_arrivals(deployment: Deployment, seed: int) -> list[Arrival]:
    """Draws the recording that a deployment's capacity is worked out from."""
    return record_arrivals(
        deployment, REFERENCE_RATE_PER_S, REFERENCE_DURATION_S, seed
    )


def deployment_capacity(deployment: Deployment, seed: int) -> Capacity:
    """Bounds the request rate for a deployment's mix of requests."""
    return recording_capacity(deployment, reference_arrivals(deployment, seed))


def best_split(deployment: Deployment, seed: int) -> tuple[int, int]:
    """Returns the prefill and decode engines with the highest capacity."""
    arrivals = reference_arrivals(deployment, seed)
    engines = deployment.prefill_engines + deployment.decode_engines
    splits = [(count, engines - count) for count in range(1, engines)]
    return max(
        splits,
        key=lambda split: (
            recording_capacity(deployment, arrivals, split).requests_per_s
        ),
    )


def completion_bound(
    deployment: Deployment, arrivals: Sequence[Arrival], window_s: float
) -> float:
    """Bounds how many language requests of a recording can be completed.

    It holds for every choice of the requests to refuse.

    Args:
        deployment: whose engines.
        arrivals: a recording in order of time.
        window_s: seconds from the first arrival to the last completion.
    """
    costs = request_costs(
        arrivals, deployment.parameters, _loosest_target(deployment)
    )
    counts = _engine_counts(
        deployment.prefill_engines, deployment.decode_engines
    )
    supply = counts * window_s

    def dual(prices: NDArray[np.float64]) -> float:
        surplus = np.maximum(0.0, 1.0 - costs @ prices)
        return float(surplus.sum() + supply @ prices)

    return min(float(len(costs)), *_price_search(dual, costs))


def _price_search(
    dual: Callable[[NDArray[np.float64]], float], costs: NDArray[np.float64]
) -> list[float]:
    """Searches prices by coordinate from each resource alone.

    Returns:
        The dual's values; each is a valid bound.
    """
    values = []
    for only in range(len(RESOURCES)):
        prices = np.full(len(RESOURCES), 1e-4)
        prices[only] = 1 / max(costs[:, only].mean(), 1e-9)
        value = dual(prices)
        for _ in range(_PRICE_ROUNDS):
            before = value
            for resource in range(len(RESOURCES)):
                for step in _PRICE_STEPS:
                    trial = prices.copy()
                    trial[resource] *= step
                    trial_value = dual(trial)
                    if trial_value < value:
                        prices, value = trial, trial_value
            if value >= before * (1 - 1e-5):
                break
        values.append(value)
    return values
