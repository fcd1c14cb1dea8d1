"""Reads the engines' load reports and cache events, and detects crashes."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import math
import random

from mustardscale.background_tasks import BackgroundTasks
from mustardscale.blackboard import Blackboard, EndpointEntry
from mustardscale.controller import Controller, pause
from mustardscale.endpoints.endpoint_clients import ControlClients
from mustardscale.endpoints.engines import (
    CacheEvent,
    EngineControl,
    EngineRole,
    LoadReport,
)
from mustardscale.exceptions import MustardscaleError
from mustardscale.policy.base import tag_key
from mustardscale.pools.owned_pool import OwnedPool
from mustardscale.pools.pool_owner import PoolOwner
from mustardscale.reporting.event_log import EventKind

log = logging.getLogger(__name__)

REPORT_INTERVAL_S = 0.25
# Interval at which reports are read in an idle pool, seconds. It is less than
# half of the 3 s after which an endpoint that announced that it is leaving gets
# no new work.
IDLE_POOL_REPORT_INTERVAL_S = 1.0
# Interval at which cache events are read in an idle pool, seconds.
IDLE_POOL_EVENTS_INTERVAL_S = 2.0
# Fraction of an interval by which a poll may start early. Without it, jitter of
# the loop's interval could delay a poll by a whole interval.
EARLY_SHARE = 0.1
REPORT_TIMEOUT_S = 1.0
# Interval at which a host without a pool checks whether it owns one, seconds.
NO_POOL_WAIT_S = 2.0
# Time without an answer after which an engine gets no new work, seconds.
UNREACHABLE_AFTER_S = 1.5


@dataclasses.dataclass(slots=True)
class _PollState:
    """State of the polls of one engine.

    Attributes:
        answered_at: loop time of its last answer, or of the first poll.
        report_requested_at: loop time of the last request for its report.
        events_requested_at: loop time of the last request for cache events.
        sequence: number of the last cache event.
        failed: whether the last read failed.
    """

    answered_at: float
    report_requested_at: float = -math.inf
    events_requested_at: float = -math.inf
    sequence: int = 0
    failed: bool = False


class EngineWatch(Controller):
    """Polls the engines of the pools that this host owns."""

    def __init__(
        self,
        blackboard: Blackboard,
        clients: ControlClients,
        pool_owner: PoolOwner,
        rng: random.Random,
        report_interval_s: float = REPORT_INTERVAL_S,
    ):
        self._blackboard = blackboard
        self._clients = clients
        self._pool_owner = pool_owner
        self._rng = rng
        self._report_interval_s = report_interval_s
        self._poll_state_by_id: dict[str, _PollState] = {}
        self._in_flight: dict[str, asyncio.Task[None]] = {}
        self._background = BackgroundTasks()
        self._checking: set[str] = set()
        pool_owner.check_engine = self.check

    async def run(self) -> None:
        """Polls the engines of the owned pools, less often in idle ones."""
        try:
            while True:
                for pool in list(self._pool_owner.owned_by_id.values()):
                    self._start_polls(pool)
                self._pool_owner.refresh()
                await self._clients.close_retired()
                if self._pool_owner.owned_by_id:
                    await pause(REPORT_INTERVAL_S, self._rng)
                else:
                    await self._pool_owner.pools_acquired.wait(NO_POOL_WAIT_S)
        finally:
            for task in self._in_flight.values():
                task.cancel()
            self._background.cancel()

    def check(self, pool: OwnedPool, engine_id: str, sender: str) -> None:
        """Reads an engine's report at once since a host did not reach it.

        That host may have lost its own links, so its word alone does not count.

        Args:
            pool: the pool of the engine.
            engine_id: id of the engine.
            sender: the host.
        """
        entry = self._blackboard.endpoints_by_id.get(engine_id)
        now = asyncio.get_running_loop().time()
        if entry is None or entry.busy(now) or engine_id in self._checking:
            return
        self._checking.add(engine_id)
        self._background.start(self._check(pool, engine_id, sender))

    async def _check(
        self, pool: OwnedPool, engine_id: str, sender: str
    ) -> None:
        now = asyncio.get_running_loop().time()
        poll_state = self._poll_state_by_id.setdefault(
            engine_id, _PollState(now)
        )
        try:
            await self._poll(pool, engine_id, poll_state, True)
        finally:
            self._checking.discard(engine_id)
        if poll_state.failed:
            self._pool_owner.mark_unreachable(pool, engine_id, sender)

    def _start_polls(self, pool: OwnedPool) -> None:
        now = asyncio.get_running_loop().time()
        pool.update_last_work(now)
        is_idle = pool.is_idle(now)
        for engine_id in pool.members.engine_ids:
            poll_state = self._poll_state_by_id.get(engine_id)
            if poll_state is None:
                poll_state = self._poll_state_by_id[engine_id] = _PollState(now)
            slow = is_idle and not poll_state.failed
            interval_s = self._report_interval_s
            if slow:
                interval_s = max(interval_s, IDLE_POOL_REPORT_INTERVAL_S)
            due = _is_due(poll_state.report_requested_at, interval_s, now)
            entry = self._blackboard.endpoints_by_id.get(engine_id)
            if entry is not None and entry.busy(now):
                # A busy engine asked to be left alone: silence is expected.
                poll_state.answered_at = now
                continue
            if due and engine_id not in self._in_flight:
                self._start_poll(pool, engine_id, poll_state, slow)

    def _start_poll(
        self,
        pool: OwnedPool,
        engine_id: str,
        poll_state: _PollState,
        slow: bool,
    ) -> None:
        poll_state.report_requested_at = asyncio.get_running_loop().time()
        task = asyncio.create_task(
            self._poll(pool, engine_id, poll_state, slow)
        )
        self._in_flight[engine_id] = task
        task.add_done_callback(lambda _: self._in_flight.pop(engine_id, None))

    async def _poll(
        self,
        pool: OwnedPool,
        engine_id: str,
        poll_state: _PollState,
        slow: bool,
    ) -> None:
        engine = self._clients.control(engine_id)
        entry = self._blackboard.endpoints_by_id.get(engine_id)
        if engine is None or entry is None:
            return
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                report = await engine.report()
                events = []
                if report.role is EngineRole.PREFILL:
                    events = await self._read_events(engine, poll_state, slow)
        except (MustardscaleError, TimeoutError) as error:
            self._handle_poll_failure(entry, poll_state, error)
            return
        now = asyncio.get_running_loop().time()
        poll_state.answered_at = now
        poll_state.failed = False
        if entry.unreachable_since is not None:
            entry.unreachable_since = None
            self._emit_change(entry, 'answers')
        self._detect_restart(pool, entry, report.start)
        self._update_expired_reservations(pool, entry.id, report, now)
        if report.leaving:
            entry.leaving_until = max(entry.leaving_until, now + 1.0)
        entry.note_report(report, now)
        if events:
            poll_state.sequence = events[-1].sequence
            state = pool.state.engines_by_id.get(engine_id)
            if state is not None:
                pool.policy.observe_cache(pool.state, state, events, now)

    def _update_expired_reservations(
        self, pool: OwnedPool, engine_id: str, report: LoadReport, now: float
    ) -> None:
        """Updates which expired reservations an engine still runs."""
        if report.run_ids is None:
            return
        reservations = pool.state.reservations_by_request_id
        present = {
            tag_key(reservations[request_id].stream.tag)
            for request_id in report.run_ids
            if request_id in reservations
        }
        pool.expired_reservations.update_holders(
            engine_id, present, now - report.age_s
        )

    async def _read_events(
        self, engine: EngineControl, poll_state: _PollState, slow: bool
    ) -> list[CacheEvent]:
        """Reads new cache events; in an idle pool only at a longer interval."""
        now = asyncio.get_running_loop().time()
        interval_s = IDLE_POOL_EVENTS_INTERVAL_S if slow else 0.0
        if not _is_due(poll_state.events_requested_at, interval_s, now):
            return []
        poll_state.events_requested_at = now
        return await engine.cache_events(poll_state.sequence)

    def _handle_poll_failure(
        self, entry: EndpointEntry, poll_state: _PollState, error: Exception
    ) -> None:
        poll_state.failed = True
        now = asyncio.get_running_loop().time()
        silent_s = now - poll_state.answered_at
        if silent_s > UNREACHABLE_AFTER_S and entry.unreachable_since is None:
            log.warning('engine %s does not answer: %s', entry.id, error)
            entry.unreachable_since = now
            self._emit_change(entry, 'silent')

    def _emit_change(self, entry: EndpointEntry, change: str) -> None:
        """Emits the event that an engine has changed."""
        self._blackboard.events.emit(
            EventKind.ENDPOINT_CHANGED,
            endpoint=entry.id,
            change=change,
            service=entry.service,
            role=entry.role or '',
        )

    def _detect_restart(
        self, pool: OwnedPool, entry: EndpointEntry, start: int
    ) -> None:
        known = pool.start_by_engine_id.get(entry.id)
        if known is not None and start != known:
            log.warning('engine %s restarted', entry.id)
            self._emit_change(entry, 'restarted')
            self._poll_state_by_id[entry.id].sequence = 0
            self._pool_owner.handle_crash(pool, entry.id)
        pool.start_by_engine_id[entry.id] = start


def _is_due(last_at: float, interval_s: float, now: float) -> bool:
    """Returns whether an interval has passed, less EARLY_SHARE of it."""
    return now - last_at >= interval_s * (1 - EARLY_SHARE)
