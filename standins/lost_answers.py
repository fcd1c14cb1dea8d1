"""Names what each lost answer was lost to, by the log of its host."""

from __future__ import annotations

import bisect
import dataclasses
import enum
import json
import pathlib
import re
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from standins.stream_callers import AnswerEnd, Send
from standins.stream_judge import WorkerRun

# Time after a whole answer in which its process must still reply, seconds.
OUTLIVE_S = 0.4
# Time by which the clocks of processes and the times of troubles may differ,
# seconds.
CLOCK_MARGIN_S = 0.1
# Longest text of a host's log that is kept in a reason.
MAX_DETAIL = 60
_DRAWN = re.compile(r"'[^']*'|127\.0\.0\.1:\d+|\d+(?:\.\d+)?")


class HostTrouble(enum.StrEnum):
    """What happened to a host while it held an answer."""

    KILLED = 'host killed'
    STOPPED = 'host stopped'
    FROZEN = 'host frozen'


@dataclasses.dataclass(frozen=True, slots=True)
class HostHarm:
    """One time in which a host was killed, stopped or frozen.

    Attributes:
        trouble: what happened.
        host: the host.
        begin: Unix time at which it began, seconds.
        end: Unix time at which the host went on or was started again.
    """

    trouble: HostTrouble
    host: str
    begin: float
    end: float


@dataclasses.dataclass(frozen=True, slots=True)
class FoundLoss:
    """What one answer was lost to.

    Attributes:
        reason: the reason.
        last_outcome: how the request ended at its host, '' if no log says.
    """

    reason: str
    last_outcome: str = ''


class HostLogs:
    """The logs of hosts.

    Attributes:
        entries_by_request: the entries of each request, in order of time.
    """

    def __init__(self, entries: Iterable[dict[str, Any]]):
        self.entries_by_request: dict[str, list[dict[str, Any]]] = {}
        for entry in sorted(entries, key=lambda entry: float(entry['time'])):
            request = entry.get('request_id', '')
            self.entries_by_request.setdefault(request, []).append(entry)

    @classmethod
    def read(cls, directory: pathlib.Path) -> HostLogs:
        """Reads the logs of all hosts of a run."""
        return cls(
            entry
            for path in directory.glob('*.log')
            for entry in _read_entries(path)
        )

    def find(self, request: str, event: str) -> list[dict[str, Any]]:
        """Returns the entries of a kind of a request."""
        entries = self.entries_by_request.get(request, [])
        return [entry for entry in entries if entry['event'] == event]


class LostAnswers:
    """Finds out what sound answers were lost to."""

    def __init__(
        self,
        logs: HostLogs,
        harms: Iterable[HostHarm],
        ends_by_worker: Mapping[str, Sequence[float]],
        runs: Iterable[WorkerRun],
    ):
        """Prepares the search.

        Args:
            logs: the logs of the hosts.
            harms: what happened to hosts.
            ends_by_worker: Unix times at which processes of a worker ended,
                rising.
            runs: the runs of all workers.
        """
        self._logs = logs
        self._harms = list(harms)
        self._ends_by_worker = dict(ends_by_worker)
        self._runs_by_place: dict[tuple[str, str], list[WorkerRun]] = {}
        for run in sorted(runs, key=lambda run: run.at):
            place = run.request, run.worker
            self._runs_by_place.setdefault(place, []).append(run)

    def is_repeat(self, run: WorkerRun) -> bool:
        """Returns whether a run is a second one at the same worker.

        Its answer shows a host where the first one ended. No caller gets it.
        """
        return self._runs_by_place[run.request, run.worker][0] is not run

    def find(
        self, run: WorkerRun, send: Send, done_at: float, ended_at: float
    ) -> FoundLoss:
        """Returns what a sound answer was lost to.

        Args:
            run: the run that made it.
            send: the send that it answers.
            done_at: Unix time at which the worker had made it whole.
            ended_at: Unix time at which the send ended at its caller.
        """
        outcome = self._find_outcome(run.request)
        for harm in self._harms:
            if (
                harm.host == send.host
                and harm.begin <= ended_at + CLOCK_MARGIN_S
                and harm.end >= done_at - CLOCK_MARGIN_S
            ):
                return FoundLoss(harm.trouble.value, outcome)
        if send.end is AnswerEnd.BROKEN and send.gave_up:
            if ended_at < done_at:
                return FoundLoss('caller left before the end', outcome)
            return FoundLoss('caller left', outcome)
        reason = self._find_in_log(run, done_at)
        return FoundLoss(reason, outcome)

    def _find_in_log(self, run: WorkerRun, done_at: float) -> str:
        """Returns what the log of the host says of the end of an answer."""
        for entry in self._logs.entries_by_request.get(run.request, []):
            if entry.get('endpoint', '') != run.worker:
                continue
            if entry['event'] == 'end_repeated' and entry['found'] != 'same':
                return f'second run: {self._describe_repeat(run, entry)}'
            if entry['event'] == 'answer_ended' and (
                entry['process'] != 'runs' or entry.get('link_closed')
            ):
                return self._describe_check(run, entry, done_at)
            if entry['event'] == 'attempt_failed':
                return f'run: {shorten(entry["detail"])}'
        if failures := self._logs.find(run.request, 'request_failed'):
            last = failures[-1]
            return f'request: {last["code"]} {shorten(last["detail"])}'
        if self._logs.find(run.request, 'request_served'):
            return 'served, lost on the way to the caller'
        return 'no log'

    def _describe_repeat(self, run: WorkerRun, entry: dict[str, Any]) -> str:
        """Returns what became of a second run."""
        runs = self._runs_by_place[run.request, run.worker]
        seen = 'not begun'
        if len(runs) > 1:
            repeat = runs[1]
            seen = repeat.odd or repeat.cut or repeat.stop or 'sound'
        detail = shorten(entry['detail'])
        return f'{entry["found"]}, worker: {seen}, {detail}'.rstrip(', ')

    def _describe_check(
        self, run: WorkerRun, entry: dict[str, Any], done_at: float
    ) -> str:
        """Returns what questions to the process of an answer showed."""
        if entry['process'] == 'stopped':
            return 'check: at the deadline'
        start = entry.get('start', 0)
        if start and start != run.born:
            return 'check: the host knew another start of the process'
        ends = self._ends_by_worker.get(run.worker, ())
        index = bisect.bisect_left(ends, done_at - CLOCK_MARGIN_S)
        if (
            index < len(ends)
            and ends[index] - done_at <= OUTLIVE_S + CLOCK_MARGIN_S
        ):
            return f'check: worker ended within {OUTLIVE_S} s'
        if entry['process'] == 'runs':
            return 'check: link closed with the answer'
        kinds = '+'.join(sorted(entry['replies'])) or 'none'
        left_s = entry.get('left_s')
        little = left_s is not None and left_s < 2 * OUTLIVE_S
        time = ', little time left' if little else ''
        leaving = ', leaving' if entry.get('leaving') else ''
        return f'check: {entry["process"]}, replies {kinds}{time}{leaving}'

    def _find_outcome(self, request: str) -> str:
        failures = self._logs.find(request, 'request_failed')
        return str(failures[-1]['code']) if failures else ''


def _read_entries(path: pathlib.Path) -> Iterable[dict[str, Any]]:
    for line in path.read_bytes().splitlines():
        try:
            entry = json.loads(line)
        except ValueError:
            # A killed host leaves half a line; others are no events.
            continue
        if isinstance(entry, dict) and 'event' in entry and 'time' in entry:
            yield entry


def shorten(detail: str) -> str:
    """Returns a text without what differs from request to request.

    >>> shorten("event '7' came after event '9'")
    'event # came after event #'
    """
    return _DRAWN.sub('#', detail)[:MAX_DETAIL]
