"""Sends orders to engines so that they reach the wanted state.

One host of each region coordinates the engine changes. It first records every
change on the log; the offset of that record is the order's fencing number. Only
then does it send the order.
"""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections.abc import Mapping

from mustardscale.blackboard import Blackboard
from mustardscale.configuration.wanted_state import WantedEngine
from mustardscale.controller import Controller, pause
from mustardscale.endpoints.endpoint_clients import ControlClients
from mustardscale.endpoints.engines import REFUSED_FENCED, EngineOrder
from mustardscale.exceptions import EndpointRefusedError, MustardscaleError
from mustardscale.hosts.duties import choose_host
from mustardscale.hosts.quorum import has_quorum
from mustardscale.orders.order_decisions import Decisions, decide
from mustardscale.orders.order_log import OrderLog
from mustardscale.orders.order_reports import OrderReports
from mustardscale.orders.order_state import (
    OrderRecord,
    PlacedEngine,
    orders_stream,
)
from mustardscale.orders.order_views import (
    OrderMemory,
    balance_views,
    build_situation,
)
from mustardscale.orders.role_balance import RoleBalance
from mustardscale.outcomes import Outcome
from mustardscale.pools.engine_drain import EngineDrains
from mustardscale.reporting.metrics import Metrics

log = logging.getLogger(__name__)

# Interval between decisions while an engine is being changed, seconds.
CHANGE_INTERVAL_S = 0.25
# Interval between decisions while no engine is being changed, seconds.
IDLE_INTERVAL_S = 1.0
# Time for which a host must be the chosen one before it sends orders, seconds.
MIN_CHOSEN_S = 1.0
# Age of the last read of the log's tail above which no order is sent, seconds.
MAX_LOG_AGE_S = 3.0
ORDER_TIMEOUT_S = 2.0
# The state is written again at this interval, seconds, so that the log retains
# it. It must be well below the retention time of the log.
REWRITE_INTERVAL_S = 60.0
# Time without a settled state after which the state is restarted, seconds. It
# is longer than REWRITE_INTERVAL_S, so that a host that knows the state has had
# time to write it again.
RESTART_AFTER_S = 150.0


class OrderController(Controller):
    """Sends the orders of a region while this host is chosen to coordinate."""

    def __init__(
        self,
        blackboard: Blackboard,
        clients: ControlClients,
        drains: EngineDrains,
        order_log: OrderLog,
        metrics: Metrics,
        rng: random.Random,
        balance: RoleBalance | None = None,
    ):
        self._blackboard = blackboard
        self._clients = clients
        self._order_log = order_log
        self._metrics = metrics
        self._rng = rng
        self._balance = balance
        self._chosen_since = math.inf
        self._reports = OrderReports(blackboard, clients, drains)
        self._memory = OrderMemory()
        self._written_at = -math.inf
        self._written_version = 0
        self._sending: dict[str, asyncio.Task[None]] = {}
        metrics.add_gauge(
            'engine_changes', lambda: len(blackboard.orders.change_by_engine)
        )

    async def run(self) -> None:
        """Decides at intervals while this host coordinates engine changes."""
        try:
            while True:
                chosen = self._is_chosen() and self._is_settled()
                self._order_log.set_coordinating(chosen)
                if not chosen:
                    self._reset()
                elif self._is_log_current():
                    await self._step()
                elif self._is_state_lost():
                    await self._write(Decisions(), restart=True)
                busy = chosen and self._blackboard.orders.change_by_engine
                interval_s = CHANGE_INTERVAL_S if busy else IDLE_INTERVAL_S
                await pause(interval_s, self._rng)
        finally:
            self._reports.stop()
            for task in self._sending.values():
                task.cancel()

    def _is_chosen(self) -> bool:
        """Returns whether this host coordinates, according to its own view."""
        board = self._blackboard
        if board.draining or not self._is_config_current():
            return False
        now = asyncio.get_running_loop().time()
        if not has_quorum(board, now):
            return False
        stream = orders_stream(board.region)
        return choose_host(board, stream) == board.host

    def _is_settled(self) -> bool:
        """Returns whether this host has been the chosen one for long enough.

        A host that has just started may not know its peers yet.
        """
        now = asyncio.get_running_loop().time()
        self._chosen_since = min(self._chosen_since, now)
        return now - self._chosen_since >= MIN_CHOSEN_S

    def _reset(self) -> None:
        self._memory.reset()
        if self._balance is not None:
            self._balance.reset()
        if not self._is_chosen():
            self._chosen_since = math.inf

    def _is_config_current(self) -> bool:
        """Returns whether no live host reports a later configuration."""
        config = self._blackboard.config
        offsets = [
            host.config_offset
            for host in self._blackboard.hosts_by_id.values()
            if not host.silent
        ]
        known = config.folded_offset >= max(offsets, default=0)
        return bool(config.by_key) and config.settled and known

    def _is_log_current(self) -> bool:
        age_s = asyncio.get_running_loop().time() - self._order_log.read_at
        return self._blackboard.orders.settled and age_s <= MAX_LOG_AGE_S

    def _is_state_lost(self) -> bool:
        """Returns whether the state is lost: no host has written it again."""
        since = self._order_log.unsettled_since
        now = asyncio.get_running_loop().time()
        fresh = now - self._order_log.read_at <= MAX_LOG_AGE_S
        return fresh and since is not None and now - since > RESTART_AFTER_S

    async def _step(self) -> None:
        board = self._blackboard
        now = asyncio.get_running_loop().time()
        idle = not board.config.wanted_by_name and self._balance is None
        if idle and not board.orders.version:
            return
        self._memory.update(board, now)
        self._reports.poll(self._memory)
        balanced: Mapping[str, WantedEngine] = {}
        if self._balance is not None:
            views = balance_views(board, self._reports.report_by_engine, now)
            balanced = self._balance.wanted(views, now)
        current = build_situation(
            board, self._memory, self._reports, balanced, now
        )
        decisions = decide(current, now)
        self._report_held_back(decisions)
        if decisions.writes or self._is_refresh_due(now):
            await self._write(decisions)
        for engine, order in decisions.orders.items():
            if engine not in self._sending:
                task = asyncio.create_task(self._send(engine, order))
                self._sending[engine] = task

    def _is_refresh_due(self, now: float) -> bool:
        if self._blackboard.orders.lost:
            return True
        version = self._blackboard.orders.version
        if version != self._written_version:
            self._written_version = version
            self._written_at = now
        return bool(version) and now - self._written_at > REWRITE_INTERVAL_S

    async def _write(self, decisions: Decisions, restart: bool = False) -> None:
        """Appends a record of the state that results from decisions."""
        board = self._blackboard
        orders = board.orders
        changes = dict(orders.change_by_engine)
        placed = dict(orders.placed_by_engine)
        for engine, target in decisions.finished.items():
            changes.pop(engine, None)
            placed[engine] = PlacedEngine(engine, target.model, target.role)
            listed = board.endpoints_by_id[engine]
            if (target.model, target.role) == (
                listed.listed_model,
                listed.listed_role,
            ):
                del placed[engine]
        for engine in decisions.abandoned:
            log.warning(
                'change of engine %s is abandoned',
                engine,
                extra={'code': Outcome.ORDER_FAILED},
            )
            changes.pop(engine, None)
        changes |= {change.engine: change for change in decisions.changes}
        record = OrderRecord(
            orders.folded_offset if restart else orders.version,
            board.host,
            board.incarnation,
            tuple(changes.values()) if not restart else (),
            tuple(placed.values()),
            restart,
        )
        await self._order_log.append(record)

    async def _send(self, engine: str, order: EngineOrder) -> None:
        """Sends one order, unless a later change has superseded it."""
        try:
            client = self._clients.control(engine)
            change = self._blackboard.orders.change_by_engine.get(engine)
            progress = self._memory.progress(engine, order.term)
            if client is None or change is None or progress is None:
                return
            if change.number != order.term or not self._may_send_orders():
                return
            now = asyncio.get_running_loop().time()
            progress.record_sent(now)
            if change.loads:
                self._memory.last_load_at = now
            self._metrics.count('engine_orders_sent')
            try:
                async with asyncio.timeout(ORDER_TIMEOUT_S):
                    await client.order(order)
                progress.accepted = True
            except EndpointRefusedError as error:
                progress.fenced = error.reason == REFUSED_FENCED
                self._record_failure(engine, error, progress.fenced)
            except (MustardscaleError, TimeoutError) as error:
                self._record_failure(engine, error, False)
        finally:
            self._sending.pop(engine, None)

    def _may_send_orders(self) -> bool:
        return self._is_chosen() and self._is_log_current()

    def _record_failure(
        self, engine: str, error: Exception, fenced: bool
    ) -> None:
        code = Outcome.ORDER_FENCED_OFF if fenced else Outcome.ORDER_FAILED
        self._metrics.count('engine_orders_failed')
        log.warning(
            'order to engine %s: %r', engine, error, extra={'code': code}
        )

    def _report_held_back(self, decisions: Decisions) -> None:
        """Logs each engine once when its change starts being held back."""
        held_back = set(decisions.held_back)
        for engine in sorted(held_back - self._memory.held_back):
            log.warning(
                'engine %s is the last one of its role in service',
                engine,
                extra={'code': Outcome.ORDER_HELD_BACK},
            )
        self._memory.held_back = held_back
