"""Decides which orders to send next, as a pure function of the known state."""

from __future__ import annotations

import collections
import dataclasses
import math

from mustardscale.configuration.wanted_state import (
    EngineTarget,
    ListedEngine,
    WantedEngine,
    WeightStoreLimits,
    checks_fencing,
    compute_target,
)
from mustardscale.endpoints.engines import EngineOrder, EngineRole, LoadReport
from mustardscale.orders.order_state import EngineChange

# Reports older than this are not used, seconds.
MAX_REPORT_AGE_S = 15.0
# Time after an order during which reports may still show the earlier state,
# seconds.
REPORT_SETTLE_S = 5.0
# Time for which an engine may finish its work before it is sent an order that
# ends the work, seconds.
MAX_DRAIN_S = 300.0
# Time after a change of coordinator during which an order of the previous
# coordinator may still arrive or be sent, seconds.
TAKEOVER_MARGIN_S = 6.0
# Time for which an engine may load weights before its order is sent again,
# seconds.
MAX_LOAD_S = 600.0
# A change is abandoned when its engine has sent no report for this time,
# seconds.
MAX_WITHOUT_REPORT_S = 60.0
# First and longest pause between two orders for the same change, seconds. The
# pause doubles with each order.
FIRST_RETRY_S = 3.0
MAX_RETRY_S = 60.0
# One engine may be changed at a time for each so many engines of the same role
# in a pool.
ENGINES_PER_CHANGE = 4


@dataclasses.dataclass(slots=True)
class ChangeProgress:
    """What the coordinator remembers of a change.

    Attributes:
        number: fencing number of the change.
        known_since: loop time at which this host first knew the change.
        drained: whether the engine has no work left.
        sent: number of orders sent.
        sent_at: loop time of the last order.
        accepted: whether the engine is known to have accepted the last order.
        next_at: loop time before which no further order is sent.
        fenced: whether the engine refused the fencing number as too old.
    """

    number: int
    known_since: float
    drained: bool = False
    sent: int = 0
    sent_at: float = -math.inf
    accepted: bool = False
    next_at: float = -math.inf
    fenced: bool = False

    def record_sent(self, now: float) -> None:
        """Counts an order and sets the earliest time of the next one."""
        retry_s = FIRST_RETRY_S * 2.0 ** min(self.sent, 10)
        self.sent += 1
        self.sent_at = now
        self.accepted = False
        self.next_at = now + min(retry_s, MAX_RETRY_S)


@dataclasses.dataclass(slots=True)
class EngineView:
    """What is known of an engine.

    Attributes:
        listed: the engine as listed.
        pool: id of its pool, '' if it is in none.
        model: model that it is placed for.
        role: role that it is placed for.
        usable: whether it may get new work, apart from what its report shows.
        wanted: its wanted state, None if there is none.
        report: its last load report.
        reported_at: loop time at which the state in that report was measured.
        change: its change in progress.
        progress: what this host remembers of that change.
    """

    listed: ListedEngine
    pool: str
    model: str
    role: EngineRole | None
    usable: bool
    wanted: WantedEngine | None
    report: LoadReport | None = None
    reported_at: float = -math.inf
    change: EngineChange | None = None
    progress: ChangeProgress | None = None

    @property
    def target(self) -> EngineTarget | None:
        """The state that it must reach."""
        return compute_target(self.listed, self.wanted) if self.wanted else None

    @property
    def group(self) -> tuple[str, EngineRole | None]:
        """Its pool and the role that it has there."""
        return (self.pool, self.report.role if self.report else self.role)

    def fresh_report(self, now: float) -> LoadReport | None:
        """Returns its report unless it is too old."""
        return (
            self.report if now - self.reported_at <= MAX_REPORT_AGE_S else None
        )

    def in_service(self, now: float) -> bool:
        """Returns whether it accepts new work."""
        report = self.fresh_report(now)
        if report is None or self.change is not None or not self.usable:
            return False
        return report.model == self.model and not report.leaving

    def needs_load(self, target: EngineTarget) -> bool:
        """Returns whether weights must be loaded to reach a state."""
        if self.report is None:
            return True
        loaded = (self.report.model, self.report.model_version)
        return loaded != (target.model, target.model_version)


@dataclasses.dataclass(slots=True)
class Situation:
    """All that a decision depends on.

    Attributes:
        host: this host.
        incarnation: start number of its process.
        coordinating_since: loop time since which this host's record is the
            current one.
        last_load_at: loop time at which the last load was ordered.
        limits: load limits of the weight store.
        served_models: models that language services use.
        view_by_engine: the engines of the region.
        taken_over: whether another host was the coordinator before.
    """

    host: str
    incarnation: int
    coordinating_since: float
    last_load_at: float
    limits: WeightStoreLimits
    served_models: frozenset[str]
    view_by_engine: dict[str, EngineView]
    taken_over: bool = False


@dataclasses.dataclass(slots=True)
class Decisions:
    """What to do next.

    Attributes:
        changes: changes to begin, or to record again under a new number.
        finished: targets of the engines that reached them, by engine.
        abandoned: engines whose change is abandoned.
        orders: orders to send, by engine.
        held_back: engines whose change would leave too few of their role in
            service.
    """

    changes: list[EngineChange] = dataclasses.field(default_factory=list)
    finished: dict[str, EngineTarget] = dataclasses.field(default_factory=dict)
    abandoned: list[str] = dataclasses.field(default_factory=list)
    orders: dict[str, EngineOrder] = dataclasses.field(default_factory=dict)
    held_back: list[str] = dataclasses.field(default_factory=list)

    @property
    def writes(self) -> bool:
        """Whether a record must be appended to the log."""
        return bool(self.changes or self.finished or self.abandoned)


class _Decider:
    """Makes the decisions of one moment."""

    def __init__(self, situation: Situation, now: float):
        self._situation = situation
        self._now = now
        self._views = sorted(
            situation.view_by_engine.values(), key=lambda view: view.listed.id
        )
        self._loads = sum(
            1 for view in self._views if view.change and view.change.loads
        )
        self._serving: collections.Counter[object] = collections.Counter()
        self._changing: collections.Counter[object] = collections.Counter()
        self._members: collections.Counter[object] = collections.Counter()
        for view in self._views:
            self._members[view.group] += 1
            self._serving[view.group] += view.in_service(now)
            self._changing[view.group] += view.change is not None
        self._load_at = situation.last_load_at
        self.decisions = Decisions()

    def decide(self) -> Decisions:
        """Decides on every engine, changes in progress first."""
        for view in self._views:
            if view.change is not None:
                self._continue_change(view, view.change)
        for view in self._views:
            if view.change is None and view.target is not None:
                self._begin_change(view, view.target)
        return self.decisions

    def _continue_change(self, view: EngineView, change: EngineChange) -> None:
        engine = view.listed.id
        target = view.target
        progress = view.progress
        if (
            target is None
            or progress is None
            or self._is_unreported(view, progress)
        ):
            self.decisions.abandoned.append(engine)
        elif not self._is_own(change) or change.target != target:
            self._state_change(view, target)
        elif self._has_reached(view, change, progress):
            self.decisions.finished[engine] = target
        elif progress.fenced or view.needs_load(target) > change.loads:
            self._state_change(view, target)
        elif self._may_send(view, progress, change):
            self._send(view, change)

    def _is_own(self, change: EngineChange) -> bool:
        own = (self._situation.host, self._situation.incarnation)
        return (change.host, change.incarnation) == own

    def _is_unreported(
        self, view: EngineView, progress: ChangeProgress
    ) -> bool:
        heard_at = max(view.reported_at, progress.known_since)
        return self._now - heard_at > MAX_WITHOUT_REPORT_S

    def _has_reached(
        self, view: EngineView, change: EngineChange, progress: ChangeProgress
    ) -> bool:
        """Returns whether a report from after the change shows its target."""
        report = view.fresh_report(self._now)
        if report is None or not change.target.reached(report):
            return False
        if report.order_term is None:
            # The change began because the engine reported another state.
            return view.reported_at > progress.known_since
        settled = view.reported_at > progress.known_since + REPORT_SETTLE_S
        return report.order_term >= change.number or settled

    def _state_change(self, view: EngineView, target: EngineTarget) -> None:
        """Records a change under a new number if the load limit allows it."""
        loads = view.needs_load(target)
        counted = view.change is not None and view.change.loads
        if loads and not counted:
            if self._loads >= self._situation.limits.loads_at_once:
                return
            self._loads += 1
        self.decisions.changes.append(
            EngineChange(
                view.listed.id,
                target,
                self._situation.host,
                self._situation.incarnation,
                loads or counted,
            )
        )

    def _may_send(
        self, view: EngineView, progress: ChangeProgress, change: EngineChange
    ) -> bool:
        now = self._now
        if now < progress.next_at or view.wanted is None:
            return False
        drain_until = progress.known_since + MAX_DRAIN_S
        waits = not (view.report and view.report.drains_itself)
        if waits and not progress.drained and now < drain_until:
            return False
        fencing = checks_fencing(view.listed, view.wanted)
        alone = fencing and not self._situation.taken_over
        if (
            not alone
            and now < self._situation.coordinating_since + TAKEOVER_MARGIN_S
        ):
            return False
        if change.loads and now < self._load_at + self._situation.limits.load_s:
            return False
        return not progress.sent or self._is_order_lost(view, progress)

    def _is_order_lost(
        self, view: EngineView, progress: ChangeProgress
    ) -> bool:
        """Returns whether the last order seems to have had no effect."""
        sent_at = progress.sent_at
        loading = view.report is not None and not view.report.model
        if loading and view.reported_at > sent_at:
            return self._now > sent_at + MAX_LOAD_S
        return (
            not progress.accepted
            or view.reported_at > sent_at + REPORT_SETTLE_S
        )

    def _send(self, view: EngineView, change: EngineChange) -> None:
        target = change.target
        if change.loads:
            self._load_at = self._now
        self.decisions.orders[view.listed.id] = EngineOrder(
            change.number,
            target.role,
            target.model,
            target.model_version,
            target.adapters,
        )

    def _begin_change(self, view: EngineView, target: EngineTarget) -> None:
        report = view.fresh_report(self._now)
        if report is None or report.leaving:
            return
        if target.reached(report):
            if (view.model, view.role) != (target.model, target.role):
                self.decisions.finished[view.listed.id] = target
            return
        if not self._may_leave_service(view):
            return
        stated = len(self.decisions.changes)
        self._state_change(view, target)
        if len(self.decisions.changes) > stated:
            self._changing[view.group] += 1
            self._serving[view.group] -= view.in_service(self._now)

    def _may_leave_service(self, view: EngineView) -> bool:
        """Returns whether enough engines stay in service during a change."""
        if not view.in_service(self._now):
            return True
        group = view.group
        size = self._members[group]
        if self._changing[group] >= max(1, size // ENGINES_PER_CHANGE):
            return False
        if view.model not in self._situation.served_models:
            return True
        if view.wanted is not None and view.wanted.allow_outage:
            return True
        others = self._serving[group] - 1
        if others >= max(1, size // 2):
            return True
        self.decisions.held_back.append(view.listed.id)
        return False


def decide(situation: Situation, now: float) -> Decisions:
    """Decides what to do next.

    A change is recorded on the log before its order is sent, and the order
    carries the number that the log gives it. A change begins only if enough
    engines of the same role stay in service and the limit of the weight store
    allows one more load.

    Args:
        situation: all that is known.
        now: loop time.
    """
    return _Decider(situation, now).decide()
