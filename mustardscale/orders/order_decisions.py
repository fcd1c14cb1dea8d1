"""Decides which orders to give next; pure functions of what is known."""

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

# A report older than this says nothing about the present, seconds.
FRESH_S = 15.0
# Time after an order in which reports may show the state before it, seconds.
SETTLE_S = 5.0
# Time for which work on an engine may go on before it is given an order that
# ends it, seconds.
DRAIN_LIMIT_S = 300.0
# Time after a change of the host that gives orders in which an order of the
# earlier one may arrive, or that host may still give one, seconds.
MARGIN_S = 6.0
# Time for which an accepted order may load without a new one, seconds.
LOAD_LIMIT_S = 600.0
# A change of an engine that nothing is heard of is given up after this time,
# seconds.
UNHEARD_LIMIT_S = 60.0
# Pauses between two orders for the same change, seconds.
FIRST_RETRY_S = 3.0
LONGEST_RETRY_S = 60.0
# Engines of a role in a pool of which one may be changed at a time.
ENGINES_PER_CHANGE = 4


@dataclasses.dataclass(slots=True)
class ChangeProgress:
    """What the host that gives an order remembers of it.

    Attributes:
        number: fencing number of the change.
        known_since: loop time at which this host first knew it.
        drained: whether the engine holds no work any more.
        sent: orders sent.
        sent_at: loop time of the last one.
        accepted: whether the engine is known to have accepted it.
        next_at: loop time before which no further one is sent.
        fenced: whether the engine refused the number as old.
    """

    number: int
    known_since: float
    drained: bool = False
    sent: int = 0
    sent_at: float = -math.inf
    accepted: bool = False
    next_at: float = -math.inf
    fenced: bool = False

    def note_sent(self, now: float) -> None:
        """Counts an order and sets the time of the next one."""
        retry_s = FIRST_RETRY_S * 2.0 ** min(self.sent, 10)
        self.sent += 1
        self.sent_at = now
        self.accepted = False
        self.next_at = now + min(retry_s, LONGEST_RETRY_S)


@dataclasses.dataclass(slots=True)
class EngineView:
    """What is known of an engine.

    Attributes:
        listed: the engine as listed.
        pool: id of its pool, '' if it is in none.
        model: model that it is placed for.
        role: role that it is placed for.
        usable: whether nothing but its report speaks against new work.
        wanted: what operators want of it, None if nothing.
        report: its last load report.
        reported_at: loop time at which that report was true.
        change: its change that is under way.
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
        """The state that it shall reach."""
        return compute_target(self.listed, self.wanted) if self.wanted else None

    @property
    def group(self) -> tuple[str, EngineRole | None]:
        """Its pool and the role that it has there."""
        return (self.pool, self.report.role if self.report else self.role)

    def fresh_report(self, now: float) -> LoadReport | None:
        """Returns its report unless it is too old."""
        return self.report if now - self.reported_at <= FRESH_S else None

    def in_service(self, now: float) -> bool:
        """Returns whether it takes work."""
        report = self.fresh_report(now)
        if report is None or self.change is not None or not self.usable:
            return False
        return report.model == self.model and not report.leaving

    def loads_for(self, target: EngineTarget) -> bool:
        """Returns whether weights have to be loaded to reach a state."""
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
        held_since: loop time since when this host's records count.
        last_load_at: loop time at which the last load was ordered.
        limits: what the weight store bears.
        served_models: models that language services use.
        view_by_engine: the engines of the region.
        taken_over: whether another host gave the orders before.
    """

    host: str
    incarnation: int
    held_since: float
    last_load_at: float
    limits: WeightStoreLimits
    served_models: frozenset[str]
    view_by_engine: dict[str, EngineView]
    taken_over: bool = False


@dataclasses.dataclass(slots=True)
class Decisions:
    """What to do next.

    Attributes:
        changes: changes to begin, or to state anew under a new number.
        finished: engines that reached their target, to place by it.
        abandoned: engines whose change is given up.
        orders: orders to send, by engine.
        held_back: engines whose change would empty a pool's role.
    """

    changes: list[EngineChange] = dataclasses.field(default_factory=list)
    finished: dict[str, EngineTarget] = dataclasses.field(default_factory=dict)
    abandoned: list[str] = dataclasses.field(default_factory=list)
    orders: dict[str, EngineOrder] = dataclasses.field(default_factory=dict)
    held_back: list[str] = dataclasses.field(default_factory=list)

    @property
    def writes(self) -> bool:
        """Whether the log has to record something first."""
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
        """Decides on every engine, changes under way first."""
        for view in self._views:
            if view.change is not None:
                self._continue(view, view.change)
        for view in self._views:
            if view.change is None and view.target is not None:
                self._begin(view, view.target)
        return self.decisions

    def _continue(self, view: EngineView, change: EngineChange) -> None:
        engine = view.listed.id
        target = view.target
        progress = view.progress
        if target is None or progress is None or self._unheard(view, progress):
            self.decisions.abandoned.append(engine)
        elif not self._is_own(change) or change.target != target:
            self._state(view, target)
        elif self._reached(view, change, progress):
            self.decisions.finished[engine] = target
        elif progress.fenced or view.loads_for(target) > change.loads:
            self._state(view, target)
        elif self._may_send(view, progress, change):
            self._send(view, change)

    def _is_own(self, change: EngineChange) -> bool:
        own = (self._situation.host, self._situation.incarnation)
        return (change.host, change.incarnation) == own

    def _unheard(self, view: EngineView, progress: ChangeProgress) -> bool:
        heard_at = max(view.reported_at, progress.known_since)
        return self._now - heard_at > UNHEARD_LIMIT_S

    def _reached(
        self, view: EngineView, change: EngineChange, progress: ChangeProgress
    ) -> bool:
        """Returns whether a report shows the target, and no older state."""
        report = view.fresh_report(self._now)
        if report is None or not change.target.reached(report):
            return False
        if report.order_term is None:
            # The change began because another state was shown.
            return view.reported_at > progress.known_since
        settled = view.reported_at > progress.known_since + SETTLE_S
        return report.order_term >= change.number or settled

    def _state(self, view: EngineView, target: EngineTarget) -> None:
        """States a change under a new number, if the store bears its load."""
        loads = view.loads_for(target)
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
        drain_until = progress.known_since + DRAIN_LIMIT_S
        waits = not (view.report and view.report.drains_itself)
        if waits and not progress.drained and now < drain_until:
            return False
        fencing = checks_fencing(view.listed, view.wanted)
        alone = fencing and not self._situation.taken_over
        if not alone and now < self._situation.held_since + MARGIN_S:
            return False
        if change.loads and now < self._load_at + self._situation.limits.load_s:
            return False
        return not progress.sent or self._is_lost(view, progress)

    def _is_lost(self, view: EngineView, progress: ChangeProgress) -> bool:
        """Returns whether the order sent last is not being carried out."""
        sent_at = progress.sent_at
        loading = view.report is not None and not view.report.model
        if loading and view.reported_at > sent_at:
            return self._now > sent_at + LOAD_LIMIT_S
        return not progress.accepted or view.reported_at > sent_at + SETTLE_S

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

    def _begin(self, view: EngineView, target: EngineTarget) -> None:
        report = view.fresh_report(self._now)
        if report is None or report.leaving:
            return
        if target.reached(report):
            if (view.model, view.role) != (target.model, target.role):
                self.decisions.finished[view.listed.id] = target
            return
        if not self._may_leave(view):
            return
        stated = len(self.decisions.changes)
        self._state(view, target)
        if len(self.decisions.changes) > stated:
            self._changing[view.group] += 1
            self._serving[view.group] -= view.in_service(self._now)

    def _may_leave(self, view: EngineView) -> bool:
        """Returns whether enough engines serve while one is changed."""
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

    A change is stated on the log before its order is sent, under the number
    that the log gives it. It begins only if other engines of the same role go
    on serving and the weight store bears one more load.

    Args:
        situation: all that is known.
        now: loop time.
    """
    return _Decider(situation, now).decide()
