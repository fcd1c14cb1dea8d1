"""Shows metrics in the Prometheus text format, version 0.0.4."""

from __future__ import annotations

import logging
import math
from collections.abc import Iterator

from mustardscale.reporting.metrics import (
    LatencyHistogram,
    Metrics,
    ServiceMetrics,
)

log = logging.getLogger(__name__)

CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'

_PREFIX = 'mustardscale_'
_QUANTILES = (0.5, 0.9, 0.99, 0.999)
_HELP_BY_LATENCY = {
    'first_token': 'Time from arrival to the first token.',
    'per_token': 'Time per output token after the first.',
    'queue_wait': 'Time from arrival to admission.',
}


def prometheus_text(metrics: Metrics) -> str:
    """Returns all metrics as text.

    >>> metrics = Metrics()
    >>> metrics.count('retries')
    >>> print(prometheus_text(metrics).splitlines()[-1])
    mustardscale_retries_total 1.0
    """
    lines: list[str] = []
    services = sorted(metrics.by_service.items())
    lines.extend(_latency_lines(services))
    lines.extend(_outcome_lines(services))
    lines.extend(_counter_lines(metrics))
    lines.extend(_gauge_lines(metrics))
    return '\n'.join(lines) + '\n'


def _latency_lines(services: list[tuple[str, ServiceMetrics]]) -> Iterator[str]:
    for kind, text in _HELP_BY_LATENCY.items():
        name = f'{_PREFIX}{kind}_seconds'
        yield from _header(name, 'summary', text)
        for service, of_service in services:
            histogram: LatencyHistogram = getattr(of_service, kind)
            label = f'service="{_escape(service)}"'
            if histogram.count:
                for share in _QUANTILES:
                    value = _number(histogram.quantile(share))
                    yield f'{name}{{{label},quantile="{share}"}} {value}'
            yield f'{name}_sum{{{label}}} {_number(histogram.sum_s)}'
            yield f'{name}_count{{{label}}} {histogram.count}'


def _outcome_lines(services: list[tuple[str, ServiceMetrics]]) -> Iterator[str]:
    name = f'{_PREFIX}requests_total'
    yield from _header(name, 'counter', 'Finished requests by outcome.')
    for service, of_service in services:
        for outcome, count in sorted(of_service.count_by_outcome.items()):
            yield (
                f'{name}{{service="{_escape(service)}",code="{int(outcome)}",'
                f'outcome="{outcome.name.lower()}"}} {count}'
            )


def _counter_lines(metrics: Metrics) -> Iterator[str]:
    for name, value in sorted(metrics.counter_by_name.items()):
        full = f'{_PREFIX}{name}_total'
        yield from _header(full, 'counter', 'Events of this process.')
        yield f'{full} {_number(value)}'


def _gauge_lines(metrics: Metrics) -> Iterator[str]:
    for name, read in sorted(metrics.gauge_by_name.items()):
        try:
            value = float(read())
        except Exception:
            log.exception('gauge %s cannot be read', name)
            continue
        full = f'{_PREFIX}{name}'
        yield from _header(full, 'gauge', 'Present value.')
        yield f'{full} {_number(value)}'


def _header(name: str, kind: str, text: str) -> Iterator[str]:
    yield f'# HELP {name} {text}'
    yield f'# TYPE {name} {kind}'


def _number(value: float) -> str:
    if math.isnan(value):
        return 'NaN'
    if math.isinf(value):
        return '+Inf' if value > 0 else '-Inf'
    return repr(float(value))


def _escape(text: str) -> str:
    return text.replace('\\', '\\\\').replace('"', '\\"').replace('\n', '\\n')
