"""Reads the engines' load reports and cache events, and notices crashes."""

from __future__ import annotations

import asyncio
import logging
import random

from mustardscale.blackboard import Blackboard, EndpointEntry
from mustardscale.controller import Controller, pause
from mustardscale.endpoint_clients import EndpointClients
from mustardscale.engines import EngineRole
from mustardscale.exceptions import MustardscaleError
from mustardscale.owned_pool import OwnedPool
from mustardscale.pool_owner import PoolOwner

log = logging.getLogger(__name__)

REPORT_INTERVAL_S = 0.25
REPORT_TIMEOUT_S = 1.0
# An engine that does not answer for this long gets no new work, seconds.
UNREACHABLE_AFTER_S = 1.5


class EngineWatch(Controller):
    """Watches the engines of the pools that this host owns."""

    def __init__(
        self,
        blackboard: Blackboard,
        clients: EndpointClients,
        pool_owner: PoolOwner,
        rng: random.Random,
    ):
        self._blackboard = blackboard
        self._clients = clients
        self._pool_owner = pool_owner
        self._rng = rng
        self._answered_at_by_id: dict[str, float] = {}
        self._cache_sequence_by_id: dict[str, int] = {}
        self._in_flight: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Polls every engine of the owned pools at a fixed interval."""
        try:
            while True:
                for pool in list(self._pool_owner.owned_by_id.values()):
                    for engine_id in pool.members.engine_ids:
                        self._start_poll(pool, engine_id)
                self._pool_owner.refresh()
                await pause(REPORT_INTERVAL_S, self._rng)
        finally:
            for task in self._in_flight.values():
                task.cancel()

    def _start_poll(self, pool: OwnedPool, engine_id: str) -> None:
        if engine_id in self._in_flight:
            return
        task = asyncio.create_task(self._poll(pool, engine_id))
        self._in_flight[engine_id] = task
        task.add_done_callback(lambda _: self._in_flight.pop(engine_id, None))

    async def _poll(self, pool: OwnedPool, engine_id: str) -> None:
        engine = self._clients.engine(engine_id)
        entry = self._blackboard.endpoints_by_id.get(engine_id)
        if engine is None or entry is None:
            return
        loop = asyncio.get_running_loop()
        self._answered_at_by_id.setdefault(engine_id, loop.time())
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                report = await engine.report()
                events = []
                if report.role is EngineRole.PREFILL:
                    after = self._cache_sequence_by_id.get(engine_id, 0)
                    events = await engine.cache_events(after)
        except (MustardscaleError, TimeoutError) as error:
            self._note_silence(entry, error)
            return
        now = loop.time()
        self._answered_at_by_id[engine_id] = now
        entry.unreachable_since = None
        self._note_start(pool, entry, report.start)
        if report.leaving:
            entry.leaving_until = max(entry.leaving_until, now + 1.0)
        entry.report = report
        entry.reported_at = now
        if events:
            self._cache_sequence_by_id[engine_id] = events[-1].sequence
            state = pool.state.engines_by_id.get(engine_id)
            if state is not None:
                pool.policy.observe_cache(pool.state, state, events, now)

    def _note_silence(self, entry: EndpointEntry, error: Exception) -> None:
        now = asyncio.get_running_loop().time()
        silent_s = now - self._answered_at_by_id[entry.id]
        if silent_s > UNREACHABLE_AFTER_S and entry.unreachable_since is None:
            log.warning('engine %s does not answer: %s', entry.id, error)
            entry.unreachable_since = now

    def _note_start(
        self, pool: OwnedPool, entry: EndpointEntry, start: int
    ) -> None:
        known = pool.start_by_engine_id.get(entry.id)
        pool.start_by_engine_id[entry.id] = start
        if known is not None and start != known:
            log.warning('engine %s restarted', entry.id)
            self._cache_sequence_by_id.pop(entry.id, None)
            self._pool_owner.note_crash(pool, entry.id)
