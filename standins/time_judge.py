"""Judges how much time workers of the drawn streams are handed."""

from __future__ import annotations

from collections.abc import Iterable

from standins.stream_callers import Call
from standins.stream_judge import StreamPromise, StreamViolation, WorkerRun

# Time by which a deadline may be longer than is left, seconds.
SLACK_S = 0.5


class TimeJudge:
    """Compares the deadlines that workers received with those of callers."""

    def __init__(self, calls: Iterable[Call]):
        self._deadline_s_by_send = {
            send.id: call.deadline_ms / 1000
            for call in calls
            for send in call.sends
        }

    def judge(self, runs: Iterable[WorkerRun]) -> list[StreamViolation]:
        """Returns the runs that have no deadline, or one that is too long."""
        return [
            StreamViolation(StreamPromise.TIME, run.request, '', f'{run}')
            for run in runs
            if run.request in self._deadline_s_by_send
            and not 0 < run.deadline_s <= self._most_s(run)
        ]

    def find_late(self, runs: Iterable[WorkerRun]) -> list[WorkerRun]:
        """Returns runs sent once more whose deadline ends too late.

        A link that hangs, or a worker that leaves a connection unread, makes a
        run seem to be sent later than it was.
        """
        first_by_request: dict[str, WorkerRun] = {}
        late = []
        for run in sorted(runs, key=lambda run: run.at):
            first = first_by_request.setdefault(run.request, run)
            if run.at - first.at <= SLACK_S:
                continue
            if run.request not in self._deadline_s_by_send:
                continue
            own_s = self._deadline_s_by_send[run.request]
            ends_at = first.at + max(first.deadline_s, own_s)
            if run.at + run.deadline_s > ends_at + SLACK_S:
                late.append(run)
        return late

    def _most_s(self, run: WorkerRun) -> float:
        return self._deadline_s_by_send[run.request] + SLACK_S
