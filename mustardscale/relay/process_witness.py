"""Asks engines' processes whether they are those that the host list names."""

from __future__ import annotations

import asyncio

from mustardscale.blackboard import Blackboard
from mustardscale.outcomes import Outcome
from mustardscale.relay.answer_end import AnswerEnds, AnsweringProcess
from mustardscale.reporting.event_log import EventKind
from mustardscale.shared_call import SharedCall
from mustardscale.versions.version_witness import VersionWitness

# Time for which a process is asked at most, seconds.
WITNESS_TIMEOUT_S = 1.0
# Processes whose questions are shared, at most; the oldest go.
MAX_PROCESSES = 1_000


class ProcessWitnesses:
    """Makes the witnesses of streams, which share their questions."""

    __slots__ = ('_blackboard', '_ends', '_question_by_process')

    def __init__(self, blackboard: Blackboard, ends: AnswerEnds):
        self._blackboard = blackboard
        self._ends = ends
        self._question_by_process: dict[tuple[str, int], SharedCall[bool]] = {}

    def make(self, process: AnsweringProcess) -> ProcessWitness:
        """Returns the witness of a stream that a process has begun."""
        key = process.endpoint_id, process.start
        question = self._question_by_process.pop(key, None)
        if question is None:
            question = SharedCall(lambda: self._ask(process), lambda: 0.0)
        self._question_by_process[key] = question
        if len(self._question_by_process) > MAX_PROCESSES:
            oldest = next(iter(self._question_by_process))
            del self._question_by_process[oldest]
        return ProcessWitness(self._blackboard, process, question)

    async def _ask(self, process: AnsweringProcess) -> bool:
        give_up_at = asyncio.get_running_loop().time() + WITNESS_TIMEOUT_S
        return await self._ends.is_same_process(process, give_up_at)


class ProcessWitness(VersionWitness):
    """Confirms the version of a stream by the process that began it.

    Start numbers only rise. So if the process that was listed when the request
    was sent still runs, it has written the first event.
    """

    __slots__ = ('_asking', '_blackboard', '_process', '_question')

    def __init__(
        self,
        blackboard: Blackboard,
        process: AnsweringProcess,
        question: SharedCall[bool],
    ):
        self._blackboard = blackboard
        self._process = process
        self._question = question
        self._asking: asyncio.Task[bool] | None = None

    async def confirm(self) -> bool:
        """See the base class."""
        if self._asking is None:
            self._asking = asyncio.create_task(self._ask())
        return await asyncio.shield(self._asking)

    async def _ask(self) -> bool:
        is_same = await self._question.run()
        if not is_same:
            process = self._process
            self._blackboard.events.emit(
                EventKind.VERSION_UNCONFIRMED,
                process.request_id,
                Outcome.VERSION_UNKNOWN,
                endpoint=process.endpoint_id,
                start=process.start,
                version=process.version,
            )
        return is_same
