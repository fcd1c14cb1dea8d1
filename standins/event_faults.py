"""Loses, doubles and reorders token events on their way to a reader."""

from __future__ import annotations

import contextlib
import random
from collections.abc import AsyncGenerator

from mustardscale.endpoints.engines import TokenEvent
from standins.engine_parameters import EngineFaults


async def disturb(
    events: AsyncGenerator[TokenEvent, None],
    faults: EngineFaults,
    rng: random.Random,
) -> AsyncGenerator[TokenEvent, None]:
    """Yields the events with the faults that are switched on."""
    held: TokenEvent | None = None
    async with contextlib.aclosing(events):
        async for event in events:
            if rng.random() < faults.lose_events:
                continue
            if held is None and rng.random() < faults.reorder_events:
                held = event
                continue
            yield event
            if rng.random() < faults.duplicate_events:
                yield event
            if held is not None:
                yield held
                held = None
    if held is not None:
        yield held
