"""Reads the load reports of engines for the coordinator of engine changes."""

from __future__ import annotations

import asyncio
import math

from mustardscale.blackboard import Blackboard, EndpointEntry
from mustardscale.endpoints.endpoint_clients import ControlClients
from mustardscale.endpoints.engines import LoadReport
from mustardscale.exceptions import MustardscaleError
from mustardscale.hosts.host_list import ListedKind
from mustardscale.orders.order_views import OrderMemory
from mustardscale.pools.engine_drain import EngineDrains, has_no_work
from mustardscale.pools.pool_members import compute_pools

# Interval between reads of an engine's report, seconds.
IDLE_INTERVAL_S = 5.0
# Interval while the engine is being changed, seconds.
CHANGE_INTERVAL_S = 0.5
REPORT_TIMEOUT_S = 1.0


class OrderReports:
    """The last load reports of the engines of a region.

    Attributes:
        report_by_engine: last report of each engine.
        reported_at_by_engine: loop time at which the state in each report was
            measured.
        pool_by_engine: id of the pool of each engine.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        clients: ControlClients,
        drains: EngineDrains,
    ):
        self._blackboard = blackboard
        self._clients = clients
        self._drains = drains
        self._asked_at_by_engine: dict[str, float] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self.report_by_engine: dict[str, LoadReport] = {}
        self.reported_at_by_engine: dict[str, float] = {}
        self.pool_by_engine: dict[str, str] = {}

    def poll(self, memory: OrderMemory) -> None:
        """Starts reading the reports that are due."""
        board = self._blackboard
        pools = compute_pools(board)
        self.pool_by_engine = {
            engine: pool.id
            for pool in pools.values()
            for engine in pool.engine_ids
        }
        now = asyncio.get_running_loop().time()
        for endpoint in region_engines(board):
            engine = endpoint.id
            changing = engine in board.orders.change_by_engine
            interval_s = CHANGE_INTERVAL_S if changing else IDLE_INTERVAL_S
            asked_at = self._asked_at_by_engine.get(engine, -math.inf)
            if engine in self._tasks or now - asked_at < interval_s:
                continue
            self._asked_at_by_engine[engine] = now
            task = asyncio.create_task(self._read(engine, memory))
            self._tasks[engine] = task

    def stop(self) -> None:
        """Cancels the reads in progress."""
        for task in self._tasks.values():
            task.cancel()

    async def _read(self, engine: str, memory: OrderMemory) -> None:
        try:
            client = self._clients.control(engine)
            if client is None:
                return
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                report = await client.report()
            now = asyncio.get_running_loop().time()
            self.report_by_engine[engine] = report
            self.reported_at_by_engine[engine] = now - report.age_s
            await self._check_drained(engine, report, memory)
        except (MustardscaleError, TimeoutError):
            return
        finally:
            self._tasks.pop(engine, None)

    async def _check_drained(
        self, engine: str, report: LoadReport, memory: OrderMemory
    ) -> None:
        change = self._blackboard.orders.change_by_engine.get(engine)
        if change is None or not has_no_work(report):
            return
        progress = memory.progress(engine, change.number)
        if progress is None or progress.drained:
            return
        pool = self.pool_by_engine.get(engine, '')
        progress.drained = await self._drains.is_drained(
            pool, engine, change.number
        )


def region_engines(board: Blackboard) -> list[EndpointEntry]:
    """Returns the engines of this host's region."""
    return [
        endpoint
        for endpoint in board.endpoints_by_id.values()
        if endpoint.kind is ListedKind.ENGINE
        and endpoint.region == board.region
    ]
