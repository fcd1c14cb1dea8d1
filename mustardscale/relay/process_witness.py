"""Asks engines' processes whether they are those that the host list names."""

from __future__ import annotations

import asyncio

from mustardscale.blackboard import Blackboard
from mustardscale.endpoints.process_check import (
    REPLACED_AFTER_S,
    ProcessReply,
)
from mustardscale.outcomes import Outcome
from mustardscale.relay.answer_end import AnswerEnds, AnsweringProcess
from mustardscale.reporting.event_log import EventKind
from mustardscale.shared_call import SharedCall
from mustardscale.versions.version_witness import (
    VersionEvidence,
    VersionWitness,
)

# Time for which a process is asked at most, seconds.
WITNESS_TIMEOUT_S = 1.0
# Processes whose questions are shared, at most; the oldest go.
MAX_PROCESSES = 1_000

Question = SharedCall[ProcessReply]


class ProcessWitnesses:
    """Makes the witnesses of streams, which share their questions."""

    __slots__ = ('_blackboard', '_ends', '_question_by_process')

    def __init__(self, blackboard: Blackboard, ends: AnswerEnds):
        self._blackboard = blackboard
        self._ends = ends
        self._question_by_process: dict[tuple[str, int], Question] = {}

    def make(self, process: AnsweringProcess) -> VersionWitness:
        """Returns the witness of a stream that a process has begun."""
        return ProcessWitness(
            self._blackboard, process, self._find_question(process)
        )

    def _find_question(self, process: AnsweringProcess) -> Question:
        if not process.start:
            # Two such processes can't be told apart.
            return self._make_question(process)
        key = process.endpoint_id, process.start
        question = self._question_by_process.pop(key, None)
        if question is None:
            question = self._make_question(process)
        self._question_by_process[key] = question
        if len(self._question_by_process) > MAX_PROCESSES:
            oldest = next(iter(self._question_by_process))
            del self._question_by_process[oldest]
        return question

    def _make_question(self, process: AnsweringProcess) -> Question:
        return SharedCall(lambda: self._ask(process), lambda: 0.0)

    async def _ask(self, process: AnsweringProcess) -> ProcessReply:
        give_up_at = asyncio.get_running_loop().time() + WITNESS_TIMEOUT_S
        return await self._ends.identify(process, give_up_at)


class ProcessWitness(VersionWitness):
    """Confirms the version of a stream by the process that began it.

    Start numbers only rise. So if the process that was listed when the request
    was sent still runs, it has written the first event.
    """

    __slots__ = (
        '_begun_at',
        '_blackboard',
        '_process',
        '_question',
        'evidence',
    )

    def __init__(
        self,
        blackboard: Blackboard,
        process: AnsweringProcess,
        question: Question,
    ):
        self._blackboard = blackboard
        self._process = process
        self._question = question
        self._begun_at = asyncio.get_running_loop().time()
        self.evidence = VersionEvidence.OPEN

    async def ask(self) -> VersionEvidence:
        """See the base class."""
        if self.evidence is VersionEvidence.OPEN:
            reply = await self._question.run()
            if self.evidence is VersionEvidence.OPEN:
                self.evidence = self._conclude(reply)
                self._tell()
        return self.evidence

    def _conclude(self, reply: ProcessReply) -> VersionEvidence:
        process = self._process
        now = asyncio.get_running_loop().time()
        is_early = now - self._begun_at < REPLACED_AFTER_S
        if reply is ProcessReply.SAME or (
            reply is ProcessReply.NAMELESS and not process.start and is_early
        ):
            return VersionEvidence.SHOWN
        if reply is ProcessReply.OTHER:
            return VersionEvidence.REFUTED
        if process.endpoint_id not in self._blackboard.endpoints_by_id:
            return VersionEvidence.LOST
        return VersionEvidence.OPEN

    def _tell(self) -> None:
        if self.evidence not in (VersionEvidence.REFUTED, VersionEvidence.LOST):
            return
        process = self._process
        self._blackboard.events.emit(
            EventKind.VERSION_UNCONFIRMED,
            process.request_id,
            Outcome.VERSION_UNKNOWN,
            endpoint=process.endpoint_id,
            start=process.start,
            version=process.version,
            evidence=self.evidence.value,
        )
