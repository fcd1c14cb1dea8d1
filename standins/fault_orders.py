"""Seeded operators who change what engines shall serve during a run."""

from __future__ import annotations

import asyncio
import random

from mustardscale.configuration.config_records import ConfigKey, make_change
from mustardscale.configuration.config_state import ENGINE_KIND, WEIGHTS_KIND
from mustardscale.configuration.publishing import publish, read_config
from mustardscale.configuration.wanted_state import (
    MODEL_PREFIX,
    ListedEngine,
    WantedEngine,
    WeightStoreLimits,
    compute_target,
    find_wanted_state,
)
from mustardscale.exceptions import LogUnavailableError
from standins.memory_log import MemoryLogClient
from standins.memory_site import MemorySite

CHANGE_INTERVAL_S = 6.0
PUBLISH_TIMEOUT_S = 5.0
# Small weights, so that a run sees many changes.
WEIGHT_BYTES = 2_000_000_000
# Engines that get a wanted state of their own now and then, counted from the
# end of the list.
OWN_ENGINES = 2
# Time for all engines to reach the wanted state after the faults, seconds.
REACHED_S = 120.0


class FaultOrders:
    """Changes of wanted states in one run, and what they must lead to."""

    def __init__(self, site: MemorySite, rng: random.Random):
        self._site = site
        self._rng = rng
        self._version = 1
        site.weight_store.conditions.loads_at_once = 1
        site.weight_store.conditions.weight_bytes = WEIGHT_BYTES

    async def run(self, until: float) -> None:
        """Publishes wanted states until a loop time."""
        loop = asyncio.get_running_loop()
        region = self._site.layout.region
        await self._publish(ConfigKey(WEIGHTS_KIND, region), None)
        while loop.time() < until:
            self._version += 1
            await self._publish(self._draw_key(), str(self._version))
            spread = self._rng.uniform(0.5, 1.5)
            await asyncio.sleep(spread * CHANGE_INTERVAL_S)

    def _draw_key(self) -> ConfigKey:
        """Chooses all engines, or one of the last ones."""
        names = sorted(self._site.engines_by_id)[-OWN_ENGINES:]
        name = self._rng.choice([*names, ''])
        model = MODEL_PREFIX + self._site.layout.language_service
        return ConfigKey(ENGINE_KIND, name or model)

    async def _publish(self, key: ConfigKey, version: str | None) -> None:
        client = MemoryLogClient(self._site.log)
        model = self._site.layout.language_service
        content = WantedEngine(model, version) if version else None
        try:
            state = await read_config(client)
            change = make_change(
                key,
                state.version(key),
                f'{key}-{self._version}',
                'operator',
                content or WeightStoreLimits(),
            )
            await publish(client, state, change, PUBLISH_TIMEOUT_S)
        except LogUnavailableError:
            return

    async def judge(self) -> list[str]:
        """Waits for the wanted state and returns what went wrong."""
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + REACHED_S
        missing = await self._missing()
        while missing and loop.time() < give_up_at:
            await asyncio.sleep(1.0)
            missing = await self._missing()
        problems = [f'{name} is not as wanted' for name in missing]
        refused = self._site.weight_store.counters.refused
        if refused:
            problems.append(f'{refused} loads beyond the weight store')
        for name, engine in self._site.engines_by_id.items():
            if engine.counters.cut_by_orders:
                number = engine.counters.cut_by_orders
                problems.append(f'an order ended {number} streams of {name}')
        return problems

    async def _missing(self) -> list[str]:
        """Returns the engines that are not in the wanted state."""
        config = await read_config(MemoryLogClient(self._site.log))
        missing = []
        for name, host in self._site.listed_by_id().items():
            engine = self._site.engines_by_id.get(name)
            listed = ListedEngine(name, host.model, host.role, host.fencing)
            wanted = find_wanted_state(listed, config.wanted_by_name)
            if engine is None or wanted is None:
                continue
            if not compute_target(listed, wanted).reached(
                engine.current_report()
            ):
                missing.append(name)
        return missing
