"""Collects the input of decisions on orders."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Mapping
from typing import Protocol

from mustardscale.blackboard import Blackboard, EndpointEntry
from mustardscale.configuration.config_records import ServiceKind
from mustardscale.configuration.wanted_state import (
    ListedEngine,
    WantedEngine,
    find_wanted_state,
)
from mustardscale.endpoints.engines import LoadReport
from mustardscale.hosts.host_list import ListedKind
from mustardscale.orders.order_decisions import (
    ChangeProgress,
    EngineView,
    Situation,
)
from mustardscale.orders.role_balance import BalanceView
from mustardscale.pools.pool_members import compute_pools


@dataclasses.dataclass(slots=True)
class OrderMemory:
    """What the coordinator remembers between two decisions.

    Attributes:
        coordinating_since: loop time since which this host's record is the
            current one, None if it is not.
        last_load_at: loop time at which the last load was ordered.
        progress_by_engine: progress of the changes in progress.
        held_back: engines whose change would leave too few of their role in
            service.
    """

    coordinating_since: float | None = None
    last_load_at: float = -math.inf
    progress_by_engine: dict[str, ChangeProgress] = dataclasses.field(
        default_factory=dict
    )
    held_back: set[str] = dataclasses.field(default_factory=set)

    def update(self, board: Blackboard, now: float) -> None:
        """Updates the memory from the folded orders."""
        orders = board.orders
        if (orders.host, orders.incarnation) != (board.host, board.incarnation):
            self.coordinating_since = None
            # The previous coordinator may have just ordered a load.
            self.last_load_at = now
        elif self.coordinating_since is None:
            self.coordinating_since = now
        changes = orders.change_by_engine
        for engine, change in changes.items():
            if self.progress(engine, change.number) is None:
                self.progress_by_engine[engine] = ChangeProgress(
                    change.number, now
                )
        for engine in set(self.progress_by_engine) - set(changes):
            del self.progress_by_engine[engine]

    def progress(self, engine: str, number: int) -> ChangeProgress | None:
        """Returns the progress of a change, None if it was superseded."""
        progress = self.progress_by_engine.get(engine)
        if progress is None or progress.number != number:
            return None
        return progress

    def reset(self) -> None:
        """Clears the progress of changes when this host does not coordinate."""
        self.coordinating_since = None
        self.progress_by_engine.clear()


class ReportSource(Protocol):
    """Holds the reports of the engines of a region."""

    report_by_engine: dict[str, LoadReport]
    reported_at_by_engine: dict[str, float]
    pool_by_engine: dict[str, str]


def build_situation(
    board: Blackboard,
    memory: OrderMemory,
    reports: ReportSource,
    balanced: Mapping[str, WantedEngine],
    now: float,
) -> Situation:
    """Returns the input of decisions at a point in time.

    Args:
        board: the blackboard.
        memory: what this host remembers of the changes.
        reports: the engines' reports.
        balanced: wanted states from the role balance, which apply to engines
            for which operators published none.
        now: loop time.
    """
    view_by_engine = {
        endpoint.id: _view(board, memory, reports, balanced, endpoint, now)
        for endpoint in board.endpoints_by_id.values()
        if endpoint.kind is ListedKind.ENGINE
        and endpoint.region == board.region
    }
    for engine, change in board.orders.change_by_engine.items():
        if engine not in view_by_engine:
            unlisted = ListedEngine(engine, '', None, True)
            view_by_engine[engine] = EngineView(
                unlisted, '', '', None, False, None, change=change
            )
    return Situation(
        board.host,
        board.incarnation,
        memory.coordinating_since
        if memory.coordinating_since is not None
        else math.inf,
        memory.last_load_at,
        board.config.weight_limits(board.region),
        _served_models(board),
        view_by_engine,
        taken_over=bool(board.orders.earlier_host),
    )


def _view(
    board: Blackboard,
    memory: OrderMemory,
    reports: ReportSource,
    balanced: Mapping[str, WantedEngine],
    endpoint: EndpointEntry,
    now: float,
) -> EngineView:
    engine = endpoint.id
    listed = ListedEngine(
        engine, endpoint.listed_model, endpoint.listed_role, endpoint.fencing
    )
    return EngineView(
        listed,
        reports.pool_by_engine.get(engine, ''),
        endpoint.model,
        endpoint.role,
        not endpoint.leaving(now),
        find_wanted_state(listed, board.config.wanted_by_name)
        or balanced.get(engine),
        reports.report_by_engine.get(engine),
        reports.reported_at_by_engine.get(engine, -math.inf),
        board.orders.change_by_engine.get(engine),
        memory.progress_by_engine.get(engine),
    )


def _served_models(board: Blackboard) -> frozenset[str]:
    """Returns the models that language services use."""
    return frozenset(
        entry.choice.model
        for entry in board.config.services_by_name.values()
        if entry.choice.kind is ServiceKind.LANGUAGE
    )


def balance_views(
    board: Blackboard, report_by_engine: Mapping[str, LoadReport], now: float
) -> list[BalanceView]:
    """Returns the input of the role balance for each usable engine."""
    pools = compute_pools(board).values()
    group_by_engine = {
        engine: pool.data_centre for pool in pools for engine in pool.engine_ids
    }
    return [
        BalanceView(
            endpoint.id,
            endpoint.listed_model,
            group_by_engine.get(endpoint.id, ''),
            report.role,
            report.model_version,
            report.pieces_total - report.pieces_free,
            report.pieces_total,
        )
        for endpoint in board.endpoints_by_id.values()
        if endpoint.kind is ListedKind.ENGINE
        and endpoint.region == board.region
        and not endpoint.leaving(now)
        and (report := report_by_engine.get(endpoint.id)) is not None
    ]
