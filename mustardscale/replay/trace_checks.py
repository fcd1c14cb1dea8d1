"""States what a trace shows of each request, and checks the promises on it."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Iterator

from mustardscale.outcomes import Outcome, OutcomeClass, outcome_class
from mustardscale.traces.trace import TraceEvent, TraceKind

# Time within which work that nobody waits for must be cancelled, seconds.
CANCEL_BOUND_S = 5.0


@dataclasses.dataclass(slots=True)
class TracedSend:
    """One send of an id to one host.

    Attributes:
        arrived: the event with which it began.
        sent: (endpoint, attempt) of work that endpoints may have begun.
        cancelled_at: loop time of each confirmed cancel by (endpoint, attempt).
        ended: the event with which it ended, None if the trace ends before.
    """

    arrived: TraceEvent
    sent: list[tuple[str, int]] = dataclasses.field(default_factory=list)
    cancelled_at: dict[tuple[str, int], float] = dataclasses.field(
        default_factory=dict
    )
    ended: TraceEvent | None = None

    @property
    def outcome(self) -> Outcome | None:
        """Returns how it ended."""
        return Outcome(self.ended.code) if self.ended else None


@dataclasses.dataclass(frozen=True, slots=True)
class TraceViolation:
    """A promise that a trace shows broken.

    Attributes:
        promise: number of the promise in docs/promises.md.
        request_id: the request.
        text: what was seen.
    """

    promise: int
    request_id: str
    text: str


def sends_by_id(events: Iterable[TraceEvent]) -> dict[str, list[TracedSend]]:
    """Groups the events of a trace into sends, by request id."""
    sends: dict[str, list[TracedSend]] = collections.defaultdict(list)
    last_by_host: dict[tuple[str, int, str], TracedSend] = {}
    for event in events:
        key = (event.host, event.incarnation, event.request_id)
        if event.kind is TraceKind.ARRIVED:
            last_by_host[key] = TracedSend(event)
            sends[event.request_id].append(last_by_host[key])
        elif key in last_by_host:
            _add(last_by_host[key], event)
    return dict(sends)


def _add(send: TracedSend, event: TraceEvent) -> None:
    work = (event.endpoint, event.attempt)
    match event.kind:
        case TraceKind.SENT:
            send.sent.append(work)
        case TraceKind.UNSENT:
            if work in send.sent:
                send.sent.remove(work)
        case TraceKind.CANCELLED:
            send.cancelled_at.setdefault(work, event.at)
        case TraceKind.ENDED:
            send.ended = event


def check_trace(
    sends: dict[str, list[TracedSend]], trace_end: float
) -> list[TraceViolation]:
    """Returns the promises that a trace shows broken.

    Args:
        sends: the sends of each id.
        trace_end: loop time of the last event.
    """
    violations: list[TraceViolation] = []
    for request_id, of_id in sends.items():
        for promise, text in _check_id(of_id, trace_end):
            violations.append(TraceViolation(promise, request_id, text))
    return violations


def _check_id(
    sends: list[TracedSend], trace_end: float
) -> Iterator[tuple[int, str]]:
    whole = [send for send in sends if send.outcome is Outcome.COMPLETE]
    first_sends = [
        send
        for send in whole
        if not send.arrived.resumed and not send.arrived.repeatable
    ]
    if len(first_sends) > 1:
        yield 2, f'answered whole {len(first_sends)} times'
    for send in sends:
        yield from _check_not_run(send)
        yield from _check_cancelled(send, trace_end)
    dispatches = [work for send in sends for work in send.sent]
    if any(send.arrived.once for send in sends) and len(dispatches) > 1:
        yield 5, f'dispatched {len(dispatches)} times'


def _check_not_run(send: TracedSend) -> Iterator[tuple[int, str]]:
    outcome = send.outcome
    if outcome is None or outcome_class(outcome) is not OutcomeClass.NOT_RUN:
        return
    if send.sent:
        yield 4, f'{outcome.name} after work was sent to {send.sent[0][0]}'


def _check_cancelled(
    send: TracedSend, trace_end: float
) -> Iterator[tuple[int, str]]:
    """Checks the work of a language request that ended early."""
    if send.ended is None or send.arrived.once:
        return
    if send.outcome in (Outcome.COMPLETE, Outcome.STREAM_TAKEN_OVER):
        return
    due_at = send.ended.at + CANCEL_BOUND_S
    if trace_end < due_at:
        return
    for work in send.sent:
        if send.cancelled_at.get(work, due_at + 1.0) > due_at:
            yield 1, f'attempt {work[1]} at {work[0]} has no confirmed cancel'
