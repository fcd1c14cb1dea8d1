"""Measures what the daemon costs, and writes build/load.json.

Run it with `python -m bench.load`; `make load` does. Names of parts may be
given to run only these: `python -m bench.load streams peers`.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import pathlib
import sys
import time
from collections.abc import Awaitable, Callable

import msgspec
import tabulate
import uvloop

from bench import load_control, load_data, load_micro, load_owner, load_services

OUTPUT = pathlib.Path('build/load.json')

Measure = Callable[[], Awaitable[object]]


def _in_process(measure: Callable[[], object]) -> Measure:
    """Runs a measurement without a site in a thread of its own loop."""

    async def run() -> object:
        return await asyncio.to_thread(measure)

    return run


MEASURE_BY_PART: dict[str, Measure] = {
    'requests': lambda: load_data.measure_requests(load_data.ONE_HOST),
    'requests_four_hosts': lambda: load_data.measure_requests(
        load_data.FOUR_HOSTS
    ),
    'streams': load_data.measure_streams,
    'peers': load_control.measure_peers,
    'endpoints': load_control.measure_endpoints,
    'profiles': load_control.measure_profiles,
    'owner': _in_process(load_owner.measure_owner),
    'services': _in_process(load_services.measure_services),
    'codec': _in_process(load_micro.measure_codec),
    'config': _in_process(load_micro.measure_config),
    'claims': _in_process(load_micro.measure_claims),
    'directory': _in_process(load_micro.measure_directory),
    'host_list': _in_process(load_micro.measure_host_list),
    'rendezvous': _in_process(load_micro.measure_rendezvous),
}


def flatten(value: object, name: str = '') -> list[tuple[str, float]]:
    """Returns the numbers of a nested result with their paths.

    >>> flatten({'a': [{'b': 1}], 'c': 2})
    [('a.0.b', 1), ('c', 2)]
    """
    if isinstance(value, dict):
        items = [(str(key), item) for key, item in value.items()]
    elif isinstance(value, list | tuple):
        items = [(str(number), item) for number, item in enumerate(value)]
    elif isinstance(value, int | float):
        return [(name, value)]
    else:
        return []
    rows = []
    for key, item in items:
        rows += flatten(item, f'{name}.{key}' if name else key)
    return rows


async def run_parts(parts: list[str]) -> dict[str, object]:
    """Runs parts one after another; returns their results by part."""
    results: dict[str, object] = {}
    for part in parts:
        load_before = os.getloadavg()[0]
        started = time.perf_counter()
        result = await MEASURE_BY_PART[part]()
        results[part] = msgspec.to_builtins(result)
        _keep({part: results[part]})
        _say(
            f'{part}: {time.perf_counter() - started:.0f} s, '
            f'load average before {load_before:.1f}'
        )
    return results


def _say(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def _keep(results: dict[str, object]) -> None:
    """Writes results in place of those that an earlier run had."""
    kept: dict[str, object] = {}
    if OUTPUT.exists():
        kept = msgspec.json.decode(OUTPUT.read_bytes())
    OUTPUT.parent.mkdir(exist_ok=True)
    content = msgspec.json.encode(kept | results)
    OUTPUT.write_bytes(msgspec.json.format(content))


def main() -> None:
    """Runs the parts named on the command line, or all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('parts', nargs='*', help='parts to run; all if none')
    parts = parser.parse_args().parts or list(MEASURE_BY_PART)
    unknown = set(parts) - set(MEASURE_BY_PART)
    if unknown:
        parser.error(f'no such part: {", ".join(sorted(unknown))}')
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        results = runner.run(run_parts(parts))
    rows = [(name, f'{number:,.4g}') for name, number in flatten(results)]
    _say(tabulate.tabulate(rows, ['measure', 'value'], stralign='right'))
    _say(f'written to {OUTPUT}')


if __name__ == '__main__':
    main()
