"""Seeded operators who race one another on the same profile."""

from __future__ import annotations

import asyncio
import random

from mustardscale.configuration.config_records import (
    ConfigChange,
    ConfigKey,
    Profile,
)
from mustardscale.configuration.publishing import (
    PublishResult,
    PublishStatus,
    publish,
    read_config,
)
from mustardscale.exceptions import LogUnavailableError
from mustardscale.log.log_client import CONFIG_STREAM
from standins.config_checks import fold_accepted
from standins.memory_log import MemoryLogClient
from standins.memory_site import MemorySite

RACE_INTERVAL_S = 2.0
OPERATORS = 3
PUBLISH_TIMEOUT_S = 5.0
KEY = ConfigKey('profile', 'raced')


class FaultOperators:
    """Operators of one run.

    Attributes:
        results: what each publisher was told, by change id.
    """

    def __init__(self, site: MemorySite, rng: random.Random):
        self._site = site
        self._rng = rng
        self._number = 0
        self.results: dict[str, PublishResult] = {}

    async def run(self, until: float) -> None:
        """Publishes in races until a loop time."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await asyncio.sleep(self._rng.uniform(0.5, 1.5) * RACE_INTERVAL_S)
            racers = (self.publish() for _ in range(OPERATORS))
            await asyncio.gather(*racers)

    async def publish(self) -> None:
        """Publishes one change made from the version that the log shows."""
        self._number += 1
        change_id = f'race-{self._number}'
        client = MemoryLogClient(self._site.log)
        try:
            state = await read_config(client)
            await asyncio.sleep(self._rng.uniform(0.0, 0.02))
            change = ConfigChange(
                KEY,
                state.version(KEY),
                change_id,
                'operator',
                profile=Profile(weight=float(self._number)),
            )
            self.results[change_id] = await publish(
                client, state, change, PUBLISH_TIMEOUT_S
            )
        except LogUnavailableError:
            return

    def judge(self) -> list[str]:
        """Compares what publishers were told with the log."""
        page = self._site.log.peek(CONFIG_STREAM, 0)
        accepted = fold_accepted(page.records)
        problems = []
        for change_id, result in self.results.items():
            if result.status is PublishStatus.UNKNOWN:
                continue
            told = result.status is PublishStatus.ACCEPTED
            if told != (change_id in accepted):
                problems.append(f'{change_id} was told {result.status}')
        return problems
