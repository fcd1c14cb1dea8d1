"""Model of the platform's rate-limited weight store."""

from __future__ import annotations

import asyncio
import dataclasses

from standins.faults import (
    Count,
    NonNegative,
    Outage,
    Positive,
    StandinRefusedError,
    outage_gate,
    pass_disruption,
)

# Least time for which an engine waits after a refusal, seconds.
LEAST_WAIT_S = 0.1


@dataclasses.dataclass(slots=True)
class WeightStoreConditions:
    """Limits and faults of the store; each may be changed at any time.

    Attributes:
        bytes_per_s: rate that all loads share, first come first served.
        loads_at_once: loads under way at most; further ones are refused.
        weight_bytes: size of one version of a model.
        outage: whether loads are refused or hang.
        delay_s: seconds that each load takes in addition.
    """

    bytes_per_s: Positive = 2e9
    loads_at_once: Count = 2
    weight_bytes: Count = 10_000_000_000
    outage: Outage = Outage.NONE
    delay_s: NonNegative = 0.0


@dataclasses.dataclass(slots=True)
class WeightStoreCounters:
    """What the store has done since its start.

    Attributes:
        loads: loads finished.
        refused: loads refused over the limit.
        loading: loads under way.
        most_loading: most loads that were under way at once.
    """

    loads: int = 0
    refused: int = 0
    loading: int = 0
    most_loading: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class WeightLoad:
    """A finished load.

    Attributes:
        model: name of the model.
        version: version of its weights.
        bytes: size.
        duration_s: seconds that the load took.
    """

    model: str
    version: str
    bytes: int
    duration_s: float


class WeightStoreModel:
    """The weight store.

    Attributes:
        conditions: limits and faults.
        counters: what it has done.
    """

    __slots__ = ('_busy_until', '_gate', 'conditions', 'counters')

    def __init__(self, conditions: WeightStoreConditions | None = None):
        self.conditions = conditions or WeightStoreConditions()
        self.counters = WeightStoreCounters()
        self._gate = outage_gate(self.conditions)
        self._busy_until = 0.0

    async def load(self, model: str, version: str) -> WeightLoad:
        """Loads one version of a model's weights.

        Raises:
            StandinRefusedError: too many loads are under way, or the store is
                out.
        """
        await pass_disruption(self.conditions, self._gate)
        now = asyncio.get_running_loop().time()
        self._begin(now)
        try:
            size = self.conditions.weight_bytes
            start = max(now, self._busy_until)
            self._busy_until = start + size / self.conditions.bytes_per_s
            duration_s = self._busy_until - now
            await asyncio.sleep(duration_s)
        finally:
            self.counters.loading -= 1
        self.counters.loads += 1
        return WeightLoad(model, version, size, duration_s)

    async def load_patiently(self, model: str, version: str) -> None:
        """Loads as engines do, which wait as often as the store asks."""
        while True:
            try:
                await self.load(model, version)
                return
            except StandinRefusedError as error:
                await asyncio.sleep(max(LEAST_WAIT_S, error.retry_after_s))

    def _begin(self, now: float) -> None:
        counters = self.counters
        if counters.loading >= self.conditions.loads_at_once:
            counters.refused += 1
            wait_s = max(0.0, self._busy_until - now)
            raise StandinRefusedError('loads at once', wait_s)
        counters.loading += 1
        counters.most_loading = max(counters.most_loading, counters.loading)
