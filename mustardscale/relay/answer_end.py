"""Decides whether an answer that only its connection delimits is whole."""

from __future__ import annotations

import asyncio
import dataclasses
import math

from mustardscale.blackboard import Blackboard
from mustardscale.endpoints.answer_framing import AnswerFraming
from mustardscale.endpoints.process_check import (
    CHECK_TIME_SHARE,
    ProcessFinding,
    ProcessReply,
    ProcessState,
    compute_give_up_at,
    question_process,
    require_running,
)
from mustardscale.exceptions import (
    EndpointFailedError,
    EndpointGoneError,
    EndpointRefusedError,
    EndpointUnreachableError,
    OutcomeError,
)
from mustardscale.outcomes import Outcome
from mustardscale.relay.relay_endpoint import (
    REFUSED_MOVED,
    EndpointAnswer,
    RelayEndpoint,
)
from mustardscale.reporting.event_log import EventKind
from mustardscale.reporting.metrics import Metrics
from mustardscale.suspension import suspended_s

# Share of the time to its deadline by which an endpoint's clock may run ahead
# of this host's, and time by which its timers may fire early, seconds.
CLOCK_DRIFT_SHARE = 0.005
EARLY_DEADLINE_S = 0.01
# Share of the time for questions after which a process that is not known to
# leave must still run at the latest.
OUTLIVE_TIME_SHARE = 0.7
# Share of the time to the deadline in which a process that may be leaving is
# asked.
LEAVING_TIME_SHARE = 0.75
# Time for which an answer that was cut short, while its process ran, tells
# against ends of other streams that nothing proves, seconds.
CUT_MEMORY_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class OutliveTimes:
    """Times for which a process must outlive an answer.

    Attributes:
        usual_s: where nothing is known against it, seconds.
        leaving_s: where it may be leaving, seconds.
        time_share: share of the time to the deadline that this may take.
    """

    usual_s: float
    leaving_s: float
    time_share: float = CHECK_TIME_SHARE

    def shorten(self, passed_s: float) -> OutliveTimes:
        """Returns what is left of the times after some seconds."""
        return OutliveTimes(
            max(0.0, self.usual_s - passed_s),
            max(0.0, self.leaving_s - passed_s),
            self.time_share,
        )


# A stream's events are delivered at once, and only its end is held back. A
# plain answer is held back as a whole.
STREAM_OUTLIVE = OutliveTimes(0.4, 1.0, 0.75)
PLAIN_OUTLIVE = OutliveTimes(0.0, 0.4)


def _now() -> float:
    return asyncio.get_running_loop().time()


@dataclasses.dataclass(frozen=True, slots=True)
class AnsweringProcess:
    """The process that a request was sent to.

    Attributes:
        request_id: id of the request.
        endpoint_id: id of the endpoint.
        client: the client of that process.
        start: start number of the process, 0 if unknown.
        version: version of its software, '' where the list states none.
        sent_at: loop time at which the request was sent to it.
        suspended_before_s: seconds for which this machine had been suspended
            by then.
    """

    request_id: str
    endpoint_id: str
    client: RelayEndpoint
    start: int
    version: str
    sent_at: float
    suspended_before_s: float

    def compute_left_s(self, deadline_at: float) -> float:
        """Returns the seconds that it has left, by this machine's clocks.

        Args:
            deadline_at: loop time of the deadline that was sent to it. The
                loop's clock stands still while the machine is suspended, and
                that of the process goes on.
        """
        suspended_since_s = max(0.0, suspended_s() - self.suspended_before_s)
        return deadline_at - _now() - suspended_since_s

    def may_have_stopped(self, deadline_at: float) -> bool:
        """Returns whether the deadline may have passed by its own clock.

        Args:
            deadline_at: loop time of the deadline that was sent to it.
        """
        ahead_s = CLOCK_DRIFT_SHARE * max(0.0, deadline_at - self.sent_at)
        return self.compute_left_s(deadline_at) <= ahead_s + EARLY_DEADLINE_S


class AnswerEnds:
    """Checks the ends of answers."""

    __slots__ = ('_blackboard', '_cut_at', '_metrics')

    def __init__(self, blackboard: Blackboard, metrics: Metrics):
        self._blackboard = blackboard
        self._metrics = metrics
        # Loop time at which an answer was last shown to be cut short.
        self._cut_at = -math.inf

    def record_cut(self) -> None:
        """Records that an answer was cut short while its process ran."""
        self._cut_at = _now()

    @property
    def has_seen_cuts(self) -> bool:
        """Whether an answer was shown to be cut short lately."""
        return _now() - self._cut_at < CUT_MEMORY_S

    def require_no_cuts(self) -> None:
        """Requires that no answer was shown to be cut short lately.

        What cut one of them, such as a path that closes connections, may have
        cut another one that nothing tells from a whole one.

        Raises:
            EndpointFailedError: one was.
        """
        if self.has_seen_cuts:
            self._metrics.count('unframed_ends_doubted')
            raise EndpointFailedError(
                'answers were cut short lately, and nothing proves this end'
            )

    async def check(
        self,
        answer: EndpointAnswer,
        process: AnsweringProcess,
        deadline_at: float,
        outlive: OutliveTimes,
        events: int = 0,
        unrepeated: str = '',
    ) -> None:
        """Requires that an answer was not cut short.

        Its process may have ended, or have stopped work at the deadline that
        it received and run on.

        Args:
            answer: the answer, whose content was read to its end.
            process: the process that gave it.
            deadline_at: loop time by which the request must have ended.
            outlive: times for which the process must outlive the answer.
            events: whole events of a stream.
            unrepeated: why no second run was asked for, '' if it does not
                concern the answer.

        Raises:
            EndpointFailedError: only the end of its connection delimits the
                answer, and the process has ended or does not reply.
            OutcomeError: only the end of its connection delimits the answer,
                and it came at the deadline.
        """
        if answer.framing is not AnswerFraming.CONNECTION:
            return
        began_at = _now()
        left_s = process.compute_left_s(deadline_at)
        inquiry = _Inquiry(self._blackboard, process)
        is_leaving = inquiry.is_leaving()
        if process.may_have_stopped(deadline_at):
            finding = ProcessFinding(ProcessState.STOPPED, {})
        else:
            finding = await inquiry.run(
                deadline_at, outlive, answer.ended_after
            )
        is_leaving = is_leaving or inquiry.is_leaving()
        link_closed = answer.was_link_closed(began_at)
        self._metrics.count(f'unframed_answers_process_{finding.state.value}')
        self._blackboard.events.emit(
            EventKind.ANSWER_ENDED,
            process.request_id,
            endpoint=process.endpoint_id,
            start=process.start,
            events=events,
            process=finding.state.value,
            replies=finding.count_by_reply,
            unanswered=finding.unanswered,
            detail=inquiry.last_error,
            left_s=round(left_s, 4),
            leaving=is_leaving,
            checked_s=round(_now() - began_at, 4),
            link_closed=link_closed,
            unrepeated=unrepeated,
        )
        if finding.state is ProcessState.STOPPED:
            raise OutcomeError(
                Outcome.DEADLINE_EXCEEDED,
                'the answer ended at the deadline of its endpoint',
            )
        require_running(finding, is_leaving)
        if link_closed:
            self._metrics.count('unframed_answers_link_closed')
            self.record_cut()
            raise EndpointFailedError('its link was closed with the answer')

    async def find_state(
        self, process: AnsweringProcess, deadline_at: float
    ) -> ProcessState:
        """Finds out whether a process runs.

        Args:
            process: the process.
            deadline_at: loop time by which its request must have ended.
        """
        return (await self._find(process, deadline_at)).state

    async def identify(
        self, process: AnsweringProcess, deadline_at: float
    ) -> ProcessReply:
        """Asks which process runs now.

        Args:
            process: the one that is named.
            deadline_at: loop time by which it must have replied.

        Returns:
            SAME if that process replied, NONE if nobody did.
        """
        replies = (await self._find(process, deadline_at)).count_by_reply
        for reply in (
            ProcessReply.SAME,
            ProcessReply.OTHER,
            ProcessReply.NAMELESS,
        ):
            if reply in replies:
                return reply
        return ProcessReply.NONE

    async def _find(
        self, process: AnsweringProcess, deadline_at: float
    ) -> ProcessFinding:
        inquiry = _Inquiry(self._blackboard, process)
        return await inquiry.run(deadline_at, OutliveTimes(0.0, 0.0))


class _Inquiry:
    """Questions to one process about itself.

    Attributes:
        last_error: why the last question that failed showed nothing.
    """

    def __init__(self, blackboard: Blackboard, process: AnsweringProcess):
        self.last_error = ''
        self._blackboard = blackboard
        self._process = process

    async def run(
        self,
        deadline_at: float,
        outlive: OutliveTimes,
        ended_after: float = math.inf,
    ) -> ProcessFinding:
        """Asks until it is clear whether the process runs.

        Args:
            deadline_at: loop time by which its request must have ended.
            outlive: times for which the process must outlive its answer.
            ended_after: loop time before which the answer had not ended.
        """
        time_share = outlive.time_share
        if self._may_be_leaving():
            time_share = LEAVING_TIME_SHARE
        give_up_at = compute_give_up_at(deadline_at, time_share)
        most_s = OUTLIVE_TIME_SHARE * (give_up_at - _now())

        def compute_outlive_s() -> float:
            if self._may_be_leaving():
                return outlive.leaving_s
            return min(outlive.usual_s, most_s)

        return await question_process(
            self._ask, give_up_at, compute_outlive_s, ended_after
        )

    async def _ask(self) -> ProcessReply:
        """Asks once."""
        process = self._process
        if self._is_replaced():
            return ProcessReply.OTHER
        try:
            start = await process.client.read_start()
        except EndpointGoneError as error:
            self.last_error = str(error)
            return ProcessReply.REFUSED
        except EndpointRefusedError as error:
            self.last_error = error.reason
            moved = error.reason == REFUSED_MOVED
            return ProcessReply.OTHER if moved else ProcessReply.NONE
        except (EndpointUnreachableError, EndpointFailedError) as error:
            self.last_error = str(error)
            return ProcessReply.NONE
        if not start or not process.start:
            return ProcessReply.NAMELESS
        return (
            ProcessReply.SAME if start == process.start else ProcessReply.OTHER
        )

    def is_leaving(self) -> bool:
        """Returns whether the process is known to leave, or is not listed."""
        entry = self._blackboard.endpoints_by_id.get(self._process.endpoint_id)
        return entry is None or not entry.listed or entry.leaving(_now())

    def _may_be_leaving(self) -> bool:
        """Returns whether the process is not known to stay."""
        return self.is_leaving() or not self._blackboard.host_list_current

    def _is_replaced(self) -> bool:
        """Returns whether the list names a later process of the endpoint."""
        process = self._process
        entry = self._blackboard.endpoints_by_id.get(process.endpoint_id)
        return (
            entry is not None
            and process.start != 0
            and entry.notice.start > process.start
        )
