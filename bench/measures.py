"""The measures of a replay, judged by what callers and engines saw."""

from __future__ import annotations

import dataclasses
import statistics
from collections.abc import Iterable, Sequence

from bench.callers import CallRecord
from bench.deployments import Deployment
from bench.replay import WARM_UP_S, ReplayResult
from mustardscale.configuration.config_records import ServiceKind
from mustardscale.outcomes import OutcomeClass, outcome_class
from standins.expected_answers import expected_tokens

HIGH_PERCENTILE = 0.95
MS = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class RunMeasures:
    """The measures of one run; shares are from 0 to 1.

    Attributes:
        goodput: requests answered whole within their targets, of those
            offered and not cancelled by their callers.
        goodput_of_capacity: such language requests a second, of the capacity.
        wasted_prefill: prompt tokens computed for nothing, of those computed.
        ttft_p95_s: time to first token that 95 in 100 keep, seconds, of the
            language service with the strictest target.
        tpot_p95_ms: time per output token that 95 in 100 keep, milliseconds.
        refused: requests refused without being run, of those offered.
        violations: broken promises.
        language_goodput: goodput of the language services alone.
        plain_goodput: goodput of the plain services alone.
        preempted: streams preempted.
    """

    goodput: float
    goodput_of_capacity: float
    wasted_prefill: float
    ttft_p95_s: float
    tpot_p95_ms: float
    refused: float
    violations: int
    language_goodput: float
    plain_goodput: float
    preempted: int


def is_good(record: CallRecord, deployment: Deployment) -> bool:
    """Returns whether an answer came whole and within its targets."""
    if not record.complete or not is_whole(record):
        return False
    profile = deployment.profile(record.arrival.service)
    first_token_s = record.first_token_s
    if first_token_s is None:
        return False
    if record.arrival.kind is ServiceKind.PLAIN:
        return first_token_s <= profile.timeout_s
    return (
        first_token_s <= profile.first_token_s
        and record.per_token_s <= profile.per_token_s
    )


def is_whole(record: CallRecord) -> bool:
    """Returns whether a complete answer is the one that belongs to it."""
    arrival = record.arrival
    if arrival.kind is ServiceKind.PLAIN:
        return True
    length = min(arrival.output_tokens, arrival.max_tokens)
    expected = expected_tokens(arrival.prompt.fingerprint, 0, length)
    return not record.disordered and tuple(record.texts) == expected


def count_violations(result: ReplayResult) -> int:
    """Counts broken promises of a replay."""
    violations = result.pieces_left
    for record in result.records:
        arrival = record.arrival
        if record.complete and not is_whole(record):
            violations += 1
        plain = arrival.kind is ServiceKind.PLAIN
        runs_by_request = (
            result.plain_runs_by_request
            if plain
            else result.language_runs_by_request
        )
        runs = runs_by_request.get(arrival.request_id, 0)
        if not arrival.idempotent and runs > 1:
            violations += 1
        if is_refused(record) and runs:
            violations += 1
    return violations


def is_refused(record: CallRecord) -> bool:
    """Returns whether the caller was told that nothing was run."""
    outcome = record.outcome
    return outcome is not None and (
        outcome_class(outcome) is OutcomeClass.NOT_RUN
    )


def measure(
    result: ReplayResult,
    deployment: Deployment,
    duration_s: float,
    capacity_per_s: float,
) -> RunMeasures:
    """Measures a replay from the end of its warm-up on.

    Args:
        result: the replay.
        deployment: whose targets.
        duration_s: length of the recording, seconds.
        capacity_per_s: bound on the language requests a second.
    """
    offered = [
        record
        for record in result.records
        if record.arrival.time_s >= WARM_UP_S and not record.cancelled
    ]
    language = _of_kind(offered, ServiceKind.LANGUAGE)
    strictest = min(
        (mix.service for mix in deployment.language),
        key=lambda service: deployment.profile(service).first_token_s,
    )
    good = sum(is_good(record, deployment) for record in language)
    window_s = duration_s - WARM_UP_S
    computed = max(1, result.prefill.computed)
    return RunMeasures(
        goodput=_good_share(offered, deployment),
        goodput_of_capacity=good / (window_s * capacity_per_s),
        wasted_prefill=result.prefill.wasted / computed,
        ttft_p95_s=percentile(
            record.first_token_s
            for record in language
            if record.arrival.service == strictest
            and record.complete
            and record.first_token_s is not None
        ),
        tpot_p95_ms=MS
        * percentile(
            record.per_token_s
            for record in language
            if record.complete and len(record.texts) > 1
        ),
        refused=statistics.fmean(map(is_refused, offered)),
        violations=count_violations(result),
        language_goodput=_good_share(language, deployment),
        plain_goodput=_good_share(
            _of_kind(offered, ServiceKind.PLAIN), deployment
        ),
        preempted=result.preempted,
    )


def percentile(
    values: Iterable[float], share: float = HIGH_PERCENTILE
) -> float:
    """Returns the smallest value that a share of the values keep, else 0.

    >>> percentile([1.0, 2.0, 3.0, 4.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[max(0, -int(-share * len(ordered) // 1) - 1)]


def _of_kind(
    records: Sequence[CallRecord], kind: ServiceKind
) -> list[CallRecord]:
    return [record for record in records if record.arrival.kind is kind]


def _good_share(records: Sequence[CallRecord], deployment: Deployment) -> float:
    if not records:
        return 0.0
    return statistics.fmean(is_good(record, deployment) for record in records)
