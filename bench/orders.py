"""Measures changes of engines: at a site under virtual time, and decisions.

Run it with `python -m bench.orders`.
"""

from __future__ import annotations

import asyncio
import dataclasses
import sys
import time

import async_solipsism

from mustardscale.configuration.config_records import ConfigKey, Profile
from mustardscale.configuration.wanted_state import (
    ListedEngine,
    WantedEngine,
    WeightStoreLimits,
)
from mustardscale.endpoints.engines import EngineRole, LoadReport
from mustardscale.orders.order_decisions import EngineView, Situation, decide
from mustardscale.orders.order_state import orders_stream
from standins.memory_site import MemorySite, SiteLayout

WARM_UP_S = 5.0
# Time of one load at the weight store, seconds.
LOAD_S = 5.0
VERSION = '2'
MODEL = 'katode-lm'
LAYOUT = SiteLayout(unfenced_engines=2)
SIZES = (50, 450, 1800)
REPEATS = 20
POLL_S = 0.05
GIVE_UP_S = 600.0


@dataclasses.dataclass(frozen=True, slots=True)
class SiteFigures:
    """What a change of all engines of a site took.

    Attributes:
        duration_s: from the publish to the last engine's state.
        records: records on the orders stream.
        loads: loads from the weight store.
        refused: loads beyond its limit.
    """

    duration_s: float
    records: int
    loads: int
    refused: int


async def _change_all(kills: int) -> SiteFigures:
    """Changes the version of all engines; kills the holder while it loads."""
    loop = asyncio.get_running_loop()
    site = MemorySite(LAYOUT, seed=1)
    site.weight_store.conditions.loads_at_once = 1
    await site.start()
    await site.publish_defaults(Profile(), Profile())
    await asyncio.sleep(WARM_UP_S)
    begun_at = loop.time()
    wanted = WantedEngine(MODEL, VERSION)
    await site.publish(ConfigKey('engine', f'model/{MODEL}'), wanted)
    while not _all_changed(site) and loop.time() < begun_at + GIVE_UP_S:
        holder = _holder(site)
        if kills and holder in site.routers_by_host and _loading(site):
            await site.kill_host(holder)
            kills -= 1
        await asyncio.sleep(POLL_S)
    duration_s = loop.time() - begun_at
    records = site.log.peek(orders_stream(LAYOUT.region), 0).end_offset
    counters = site.weight_store.counters
    await site.stop()
    return SiteFigures(duration_s, records, counters.loads, counters.refused)


def _all_changed(site: MemorySite) -> bool:
    engines = site.engines_by_id.values()
    reports = [engine.current_report() for engine in engines]
    return all(report.model_version == VERSION for report in reports)


def _loading(site: MemorySite) -> bool:
    engines = site.engines_by_id.values()
    return any(not engine.current_report().model for engine in engines)


def _holder(site: MemorySite) -> str:
    boards = [r.blackboard for r in site.routers_by_host.values()]
    return max(boards, key=lambda board: board.orders.version).orders.host


def decision_s(engines: int) -> float:
    """Returns the processor time of one decision, seconds."""
    report = LoadReport(
        EngineRole.DECODE, 'm', '1', 64, 64, 0, 0, 1e4, 0.0, 0.5, False, 1, 0, 1
    )
    views = {}
    for number in range(engines):
        listed = ListedEngine(f'e-{number}', 'm', EngineRole.DECODE, True)
        views[listed.id] = EngineView(
            listed,
            f'pool-{number // 8}',
            'm',
            EngineRole.DECODE,
            True,
            WantedEngine('m', '2'),
            report,
        )
    situation = Situation(
        'host', 1, 0.0, 0.0, WeightStoreLimits(), frozenset({'m'}), views
    )
    started = time.process_time()
    for _ in range(REPEATS):
        decide(situation, 0.0)
    return (time.process_time() - started) / REPEATS


def main() -> int:
    """Prints the figures."""
    write = sys.stdout.write
    engines = LAYOUT.prefill_engines + LAYOUT.decode_engines
    write(f'{engines} engines, one load of {LOAD_S} s at a time\n')
    for kills in range(3):
        with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
            figures = runner.run(_change_all(kills))
        write(
            f'{kills} holders killed: {figures.duration_s:.1f} s,'
            f' {figures.records} records, {figures.loads} loads,'
            f' {figures.refused} refused\n'
        )
    for size in SIZES:
        micro = decision_s(size) * 1e6
        write(f'decision on {size} engines: {micro:.0f} us\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
