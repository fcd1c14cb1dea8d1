"""Finds out whether an endpoint's process outlived one of its answers.

An answer that only the end of its connection delimits looks whole when the
process ends between two pieces of it. So the process is asked about itself
after the answer has ended. Only what shows that it has ended counts against the
answer: a question that is slow, refused as full or lost shows nothing.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import enum
from collections.abc import Awaitable, Callable

# Time after which nothing more is asked, seconds.
CHECK_TIMEOUT_S = 1.5
# Share of the time that is left for an answer in which its process is asked.
CHECK_TIME_SHARE = 0.5
# Time after which an unanswered question is asked once more, seconds.
ASK_INTERVAL_S = 0.25
# Pause after a reply that shows nothing, seconds.
ASK_PAUSE_S = 0.1
# Refused connections after which nothing listens any more. A single one may
# come from an endpoint that takes no further connections.
REFUSALS_OF_ENDED = 2


class ProcessReply(enum.StrEnum):
    """What one question to a process showed.

    Attributes:
        SAME: the same process answers.
        OTHER: another process answers at its address.
        REFUSED: the connection was refused.
        NONE: nothing, such as a lost connection or no reply.
    """

    SAME = 'same'
    OTHER = 'other'
    REFUSED = 'refused'
    NONE = 'none'


class ProcessState(enum.StrEnum):
    """What is known of a process after an answer of it has ended."""

    RUNS = 'runs'
    ENDED = 'ended'
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


async def question_process(
    ask: Callable[[], Awaitable[ProcessReply]], give_up_at: float
) -> ProcessFinding:
    """Asks a process about itself until it is clear whether it runs.

    Args:
        ask: asks once. It may take long and must not raise.
        give_up_at: loop time after which nothing more is asked.
    """
    loop = asyncio.get_running_loop()
    asking: set[asyncio.Future[ProcessReply]] = set()
    counts: collections.Counter[ProcessReply] = collections.Counter()
    state = ProcessState.UNKNOWN
    try:
        while (left_s := give_up_at - loop.time()) > 0:
            asking.add(asyncio.ensure_future(ask()))
            done, asking = await asyncio.wait(
                asking,
                timeout=min(ASK_INTERVAL_S, left_s),
                return_when=asyncio.FIRST_COMPLETED,
            )
            counts.update(question.result() for question in done)
            state = _conclude(counts)
            if state is not ProcessState.UNKNOWN:
                break
            if done:
                left_s = give_up_at - loop.time()
                await asyncio.sleep(max(0.0, min(ASK_PAUSE_S, left_s)))
    finally:
        for question in asking:
            question.cancel()
    return ProcessFinding(state, dict(counts), len(asking))


def _conclude(counts: collections.Counter[ProcessReply]) -> ProcessState:
    if counts[ProcessReply.SAME]:
        return ProcessState.RUNS
    if (
        counts[ProcessReply.OTHER]
        or counts[ProcessReply.REFUSED] >= REFUSALS_OF_ENDED
    ):
        return ProcessState.ENDED
    return ProcessState.UNKNOWN
