"""Serves callers on the users' platform with stand-ins, and loses a host."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import random
import sys
import tempfile

import uvloop

from standins.platform_processes import PlatformProcesses
from standins.soak_callers import ROUTES, SoakCallers, judge

HOSTS = 3
CALLERS = 4
BEFORE_S = 3.0
AFTER_S = 4.0


async def _run() -> int:
    with tempfile.TemporaryDirectory() as directory:
        async with PlatformProcesses(HOSTS, pathlib.Path(directory)) as site:
            _say(f'{HOSTS} hosts are ready')
            callers = SoakCallers(
                site.callers_by_host, random.Random(1), 'demo'
            )
            loop = asyncio.get_running_loop()
            await callers.run(CALLERS, loop.time() + BEFORE_S)
            _tell(callers)
            lost = next(iter(site.process_by_host))
            site.process_by_host[lost].kill()
            _say(f'{lost} is killed')
            callers.leave(site.callers_by_host[lost])
            await callers.run(CALLERS, loop.time() + AFTER_S)
            _tell(callers)
            violations = judge(callers.records, site.worker_by_name.values())
    for violation in violations:
        _say(str(violation))
    _say(f'{len(violations)} violations')
    return 1 if violations else 0


def _tell(callers: SoakCallers) -> None:
    """Writes how the requests of each route ended so far."""
    ends = collections.Counter(
        (record.route, record.served) for record in callers.records
    )
    for route in ROUTES:
        _say(
            f'  {route}: {ends[route, True]} served, '
            f'{ends[route, False]} not served'
        )


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(uvloop.run(_run()))
