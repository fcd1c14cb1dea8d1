"""Judges the promises by what callers saw and what the stand-ins counted."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import enum

from mustardscale.endpoints.caller_requests import PlainRequest
from mustardscale.endpoints.engines import StreamInfo, StreamStage
from mustardscale.outcomes import OutcomeClass, outcome_class
from standins.caller_records import CallerRecord, Send
from standins.config_checks import ConfigChecks
from standins.fault_actions import FaultActions
from standins.fault_callers import FaultCallers
from standins.faults import Outage
from standins.memory_site import MemorySite

SAMPLE_S = 0.25
# Memory must be free this long after the caller's loss, seconds.
FREE_AFTER_S = 5.0
# The same where a host was lost or paused.
FREE_AFTER_HOST_LOSS_S = 10.0
# A leaving endpoint must get no new work this long after it is known.
LEAVING_S = 3.0
# Time in which callers notice that their host's process has ended, seconds.
CUT_OFF_S = 0.1


class Promise(enum.IntEnum):
    """What must always hold, and that the system comes back by itself."""

    MEMORY_FREED = 1
    ANSWERED_ONCE = 2
    WHOLE_ANSWER = 3
    NOT_RUN_IS_TRUE = 4
    AT_MOST_ONCE = 5
    LEAVING_LEFT_ALONE = 6
    DRAIN_CUTS_NOTHING = 7
    PROFILES_IN_FORCE = 8
    RECOVERS = 9
    ORDERS_REACHED = 10
    LIMIT_KEPT = 11
    ONE_VERSION = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was broken."""

    promise: Promise
    at: float
    text: str

    def __str__(self) -> str:
        """Returns one line."""
        return (
            f'{self.promise} {self.promise.name} at {self.at:.2f}: {self.text}'
        )


class PromiseChecks:
    """Watches a site while faults are carried out.

    Attributes:
        violations: promises that were broken.
    """

    def __init__(
        self, site: MemorySite, actions: FaultActions, callers: FaultCallers
    ):
        self._site = site
        self._actions = actions
        self._callers = callers
        self._config = ConfigChecks(site, actions)
        self._hindered_until: dict[str, float] = {}
        self._reported: set[tuple[object, ...]] = set()
        self._known_leaving_at: dict[str, float] = {}
        self._work_at_deadline: dict[str, int] = {}
        self.violations: list[Violation] = []

    async def run(self) -> None:
        """Samples until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_S)

    def sample(self) -> None:
        """Looks at the site once."""
        self._check_memory()
        self._check_leaving()
        for text in self._config.sample():
            self._report(Promise.PROFILES_IN_FORCE, text)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _report(self, promise: Promise, text: str, *key: object) -> None:
        """Notes a violation, once for each key."""
        if key and (promise, *key) in self._reported:
            return
        self._reported.add((promise, *key))
        self.violations.append(Violation(promise, self._now(), text))

    def _check_memory(self) -> None:
        now = self._now()
        record_by_id = {
            record.request.id: record for record in self._callers.records
        }
        for name, engine in self._site.engines_by_id.items():
            if self._is_hindered(name):
                self._hindered_until[name] = now
            for info in engine.held_streams():
                record = record_by_id.get(info.tag.request_id)
                if record is None or info.stage is StreamStage.FINISHED:
                    continue
                self._check_stream(name, info, record)

    def _is_hindered(self, name: str) -> bool:
        """Returns whether nobody can reach an engine now."""
        engine = self._site.engines_by_id[name]
        return engine.frozen or not self._site.routers_by_host

    def _check_stream(
        self, name: str, info: StreamInfo, record: CallerRecord
    ) -> None:
        if record.unwanted_at is None or record.lingering or not info.pieces:
            return
        allowed_s = FREE_AFTER_HOST_LOSS_S if record.host_lost else FREE_AFTER_S
        since = max(record.unwanted_at, self._hindered_until.get(name, 0.0))
        if self._now() - since <= allowed_s:
            return
        self._report(
            Promise.MEMORY_FREED,
            f'{name} holds {info.pieces} pieces for {info.tag}'
            f' ({info.stage}), unwanted since {record.unwanted_at:.2f}',
            name,
            info.tag,
        )

    def _check_leaving(self) -> None:
        now = self._now()
        conditions = self._site.host_list.conditions
        for endpoint, begun_at in self._actions.leaving_since.items():
            shown = now - begun_at >= conditions.lag_s
            if conditions.outage is Outage.NONE and shown:
                self._known_leaving_at.setdefault(endpoint, now)
            known_at = self._known_leaving_at.get(endpoint)
            if known_at is None or now - known_at < LEAVING_S:
                continue
            work = self._work_begun(endpoint)
            before = self._work_at_deadline.setdefault(endpoint, work)
            if work > before:
                self._report(
                    Promise.LEAVING_LEFT_ALONE,
                    f'{endpoint} got work, leaving since {begun_at:.2f}',
                    endpoint,
                )
        for endpoint in list(self._known_leaving_at):
            if endpoint not in self._actions.leaving_since:
                del self._known_leaving_at[endpoint]
                self._work_at_deadline.pop(endpoint, None)

    def _work_begun(self, endpoint: str) -> int:
        engine = self._site.engines_by_id.get(endpoint)
        if engine is None:
            plain = self._site.plains_by_id[endpoint]
            return sum(plain.counters.executions_by_id.values())
        counters = engine.counters
        return sum(counters.prefills_by_request.values()) + sum(
            counters.executions_by_request.values()
        )

    def judge(self) -> None:
        """Judges what callers saw, after the run."""
        executions = self._executions()
        for record in self._callers.records:
            self._judge_answer(record)
            self._judge_runs(record, executions[record.request.id])
        for host in self._actions.cut_short:
            text = f'the drain of {host} did not end in time'
            self._report(Promise.DRAIN_CUTS_NOTHING, text)
        for record in self._callers.records:
            for send in record.sends:
                self._judge_drain(send)
        for text in self._config.judge():
            self._report(Promise.PROFILES_IN_FORCE, text)

    def _executions(self) -> collections.Counter[str]:
        """Counts what the endpoints have begun, by request id."""
        count_by_id: collections.Counter[str] = collections.Counter()
        for engine in self._site.engines_by_id.values():
            count_by_id.update(engine.counters.prefills_by_request)
            count_by_id.update(engine.counters.executions_by_request)
        for plain in self._site.plains_by_id.values():
            count_by_id.update(plain.counters.executions_by_id)
        return count_by_id

    def _judge_answer(self, record: CallerRecord) -> None:
        request_id = record.request.id
        if _answered_twice(record):
            self._report(
                Promise.ANSWERED_ONCE,
                f'{request_id} was answered {record.answers} times:'
                f' {record.sends}',
            )
        for problem in record.problems:
            self._report(Promise.WHOLE_ANSWER, f'{request_id}: {problem}')

    def _judge_drain(self, send: Send) -> None:
        """Looks for a send that ended with the drain of its host."""
        ended_at = send.ended_at
        if not send.lost or ended_at is None:
            return
        for at in self._actions.drained_at_by_host.get(send.host, ()):
            if send.started_at <= at <= ended_at <= at + CUT_OFF_S:
                text = f'the drain of {send.host} cut off {send}'
                self._report(Promise.DRAIN_CUTS_NOTHING, text)

    def _judge_runs(self, record: CallerRecord, executions: int) -> None:
        request = record.request
        if all(send.not_run for send in record.sends) and executions:
            self._report(
                Promise.NOT_RUN_IS_TRUE,
                f'{request.id} ran {executions} times: {record.sends}',
            )
        for text in record.false_refusals:
            self._report(Promise.NOT_RUN_IS_TRUE, f'{request.id}: {text}')
        once = isinstance(request, PlainRequest) and not request.idempotent
        if once and executions > 1:
            self._report(
                Promise.AT_MOST_ONCE,
                f'{request.id} ran {executions} times: {record.sends}',
            )

    def report_config(self, text: str) -> None:
        """Notes that an operator was told something untrue."""
        self._report(Promise.PROFILES_IN_FORCE, text)

    def report_orders(self, text: str) -> None:
        """Notes what orders to engines led to and must not."""
        self._report(Promise.ORDERS_REACHED, text)

    def require_recovery(self, host: str, text: str) -> None:
        """Notes that a host did not serve again by itself."""
        self._report(Promise.RECOVERS, f'{host}: {text}')


def _answered_twice(record: CallerRecord) -> bool:
    """Returns whether two connections went on to the end of an answer.

    A resumption takes the stream over, so the first connection must not go on
    to the end once the rest is asked for, if the rest comes too.
    """
    if _is_idempotent(record):
        return False
    finished = [send for send in record.sends if send.finished]
    resumed = [send for send in finished if send.first_index]
    if len(finished) - len(resumed) > 1:
        return True
    return any(
        other.ended_at is not None and other.ended_at > send.started_at
        for send in resumed
        for other in finished
        if other is not send and other.started_at < send.started_at
    )


def _is_idempotent(record: CallerRecord) -> bool:
    request = record.request
    return isinstance(request, PlainRequest) and request.idempotent


def unknown_share(records: list[CallerRecord]) -> tuple[int, int]:
    """Returns the sends of bookings that ended as unknown, and all of them."""
    outcomes = [
        send.outcome
        for record in records
        if isinstance(record.request, PlainRequest)
        and not record.request.idempotent
        for send in record.sends
    ]
    unknown = [
        outcome
        for outcome in outcomes
        if outcome is not None
        and outcome_class(outcome) is OutcomeClass.UNKNOWN
    ]
    return len(unknown), len(outcomes)
