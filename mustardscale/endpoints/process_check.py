"""Finds out whether an endpoint's process outlived one of its answers.

An answer that only the end of its connection delimits looks whole when the
process ends between two pieces of it. So the process is asked about itself
after the answer has ended, and the answer is whole only if the same process
replies. A process that shuts down ends its answers first and goes on replying
for a moment, so it must still reply after a time where that costs little, or
where it may be leaving. Without such a reply an answer cannot be told from one
that broke off, be it that the process has ended, that its replies are lost, or
that time is short. An endpoint that does not say which of its processes replies
is believed only as long as no other one can have been started.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import enum
import math
from collections.abc import Awaitable, Callable

from mustardscale.exceptions import EndpointFailedError

# Time after which nothing more is asked, seconds.
CHECK_TIMEOUT_S = 1.5
# Share of the time that is left for an answer in which its process is asked,
# and the time for which it is asked at least, seconds.
CHECK_TIME_SHARE = 0.5
MIN_CHECK_S = 0.05
# Time after which an unanswered question is asked once more, seconds.
ASK_INTERVAL_S = 0.25
# Time left in which nothing more is asked, seconds.
TOO_SHORT_S = 0.001
# Time by which a timer of the loop may fire early, seconds.
EARLY_TIMER_S = 0.002
# Pause after a reply that shows nothing, seconds.
ASK_PAUSE_S = 0.1
# Time after the end of an answer in which no process can have taken the place
# of one that ended, unless a connection was refused meanwhile, seconds.
REPLACED_AFTER_S = 0.5
# Time for which a process that does not say which one it is must outlive an
# answer at most, so that its reply comes before REPLACED_AFTER_S, seconds.
NAMELESS_OUTLIVE_S = 0.3
# Refused connections after which nothing listens any more. A single one may
# come from an endpoint that takes no further connections.
REFUSALS_OF_ENDED = 2


class ProcessReply(enum.StrEnum):
    """What one question to a process showed.

    Attributes:
        SAME: the same process answers.
        NAMELESS: the endpoint answers, without saying which process it is.
        OTHER: another process answers at its address.
        REFUSED: the connection was refused.
        NONE: nothing, such as a lost connection or no reply.
    """

    SAME = 'same'
    NAMELESS = 'nameless'
    OTHER = 'other'
    REFUSED = 'refused'
    NONE = 'none'


class ProcessState(enum.StrEnum):
    """What is known of a process after an answer of it has ended.

    Attributes:
        RUNS: it has replied, so that the answer is whole.
        ENDED: it has ended, so that the answer may have broken off.
        STOPPED: its deadline for the answer has passed, so that it may have
            stopped work and run on. It is not asked.
        UNKNOWN: nothing was found out, so that it may have ended as well.
    """

    RUNS = 'runs'
    ENDED = 'ended'
    STOPPED = 'stopped'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessFinding:
    """What questions to a process have shown.

    Attributes:
        state: what is known of it.
        count_by_reply: number of replies of each kind.
        unanswered: questions that had no reply yet.
    """

    state: ProcessState
    count_by_reply: dict[ProcessReply, int]
    unanswered: int = 0

    @property
    def was_running(self) -> bool:
        """Whether the process ran after the answer, be it for a moment."""
        return (
            ProcessReply.SAME in self.count_by_reply
            or ProcessReply.NAMELESS in self.count_by_reply
        )


def compute_give_up_at(
    deadline_at: float, time_share: float = CHECK_TIME_SHARE
) -> float:
    """Returns the loop time until which a process is asked about itself.

    Args:
        deadline_at: loop time by which its request must have ended.
        time_share: share of the time until then that this may take.
    """
    now = asyncio.get_running_loop().time()
    check_s = min(CHECK_TIMEOUT_S, time_share * (deadline_at - now))
    return now + max(MIN_CHECK_S, check_s)


def require_running(finding: ProcessFinding, is_leaving: bool = False) -> None:
    """Requires that a process has outlived its answer.

    Args:
        finding: what questions to the process have shown.
        is_leaving: whether it is known to leave, so that its end is no crash.

    Raises:
        EndpointFailedError: it has not, or nothing shows that it has.
    """
    may_have_crashed = not is_leaving and not finding.was_running
    if finding.state is ProcessState.ENDED:
        raise EndpointFailedError(
            'its process ended with the connection', crashed=may_have_crashed
        )
    if finding.state is ProcessState.UNKNOWN:
        raise EndpointFailedError(
            'its process did not confirm the end of the answer',
            crashed=may_have_crashed
            and ProcessReply.REFUSED in finding.count_by_reply,
        )


class _Replies:
    """The replies to the questions to one process.

    Attributes:
        count_by_reply: number of replies of each kind.
    """

    def __init__(self, ended_at: float, ended_after: float):
        self.count_by_reply: collections.Counter[ProcessReply] = (
            collections.Counter()
        )
        self._ended_at = ended_at
        self._ended_after = min(ended_after, ended_at)
        # Times of the last questions that were answered, by the reply.
        self._asked_at_by_reply: dict[ProcessReply, float] = {}

    def add(self, reply: ProcessReply, asked_at: float) -> None:
        """Adds the reply to a question."""
        self.count_by_reply[reply] += 1
        known_at = self._asked_at_by_reply.get(reply, -math.inf)
        self._asked_at_by_reply[reply] = max(known_at, asked_at)

    def conclude(self, now: float, outlive_s: float) -> ProcessState:
        """Returns what is known of the process.

        Args:
            now: loop time.
            outlive_s: seconds after the end of the answer at which the
                process must still run.
        """
        counts = self.count_by_reply
        if self._was_answered(ProcessReply.SAME, outlive_s):
            return ProcessState.RUNS
        if (
            counts[ProcessReply.OTHER]
            or counts[ProcessReply.REFUSED] >= REFUSALS_OF_ENDED
        ):
            return ProcessState.ENDED
        if (
            self._was_answered(
                ProcessReply.NAMELESS, min(outlive_s, NAMELESS_OUTLIVE_S)
            )
            and not counts[ProcessReply.REFUSED]
            and now - self._ended_after < REPLACED_AFTER_S
        ):
            return ProcessState.RUNS
        return ProcessState.UNKNOWN

    def compute_next_at(self, now: float, outlive_s: float) -> float:
        """Returns the loop time of the next question.

        Args:
            now: loop time.
            outlive_s: seconds after the end of the answer at which the
                process must still run.
        """
        counts = self.count_by_reply
        outlives_at = self._ended_at
        if counts[ProcessReply.SAME]:
            outlives_at += outlive_s
        elif counts[ProcessReply.NAMELESS]:
            outlives_at += min(outlive_s, NAMELESS_OUTLIVE_S)
        return outlives_at if now < outlives_at else now + ASK_PAUSE_S

    def _was_answered(self, reply: ProcessReply, outlive_s: float) -> bool:
        asked_at = self._asked_at_by_reply.get(reply, -math.inf)
        return asked_at >= self._ended_at + outlive_s - EARLY_TIMER_S


def require_nothing() -> float:
    """Returns that a process need not run on after its answer, 0 seconds."""
    return 0.0


async def question_process(
    ask: Callable[[], Awaitable[ProcessReply]],
    give_up_at: float,
    compute_outlive_s: Callable[[], float] = require_nothing,
    ended_after: float = math.inf,
) -> ProcessFinding:
    """Asks a process about itself until it is clear whether it runs.

    Args:
        ask: asks once. It may take long and must not raise.
        give_up_at: loop time after which nothing more is asked.
        compute_outlive_s: returns the seconds after the end of the answer,
            which is now, at which the process must still run. It is called
            after each reply, since that may tell that the process is leaving.
        ended_after: loop time before which the answer had not ended, if this
            host may have read its end late.
    """
    loop = asyncio.get_running_loop()
    ended_at = loop.time()
    asked_at_by_question: dict[asyncio.Future[ProcessReply], float] = {}
    replies = _Replies(ended_at, ended_after)
    state = ProcessState.UNKNOWN
    try:
        while (left_s := give_up_at - loop.time()) > TOO_SHORT_S:
            question = asyncio.ensure_future(ask())
            asked_at_by_question[question] = loop.time()
            done, _ = await asyncio.wait(
                asked_at_by_question,
                timeout=min(ASK_INTERVAL_S, left_s),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for answered in done:
                asked_at = asked_at_by_question.pop(answered)
                replies.add(answered.result(), asked_at)
            outlive_s = compute_outlive_s()
            state = replies.conclude(loop.time(), outlive_s)
            if state is not ProcessState.UNKNOWN:
                break
            if done:
                now = loop.time()
                asks_at = min(
                    replies.compute_next_at(now, outlive_s), give_up_at
                )
                await asyncio.sleep(max(0.0, asks_at - now))
    finally:
        for unanswered in asked_at_by_question:
            unanswered.cancel()
    return ProcessFinding(
        state, dict(replies.count_by_reply), len(asked_at_by_question)
    )
