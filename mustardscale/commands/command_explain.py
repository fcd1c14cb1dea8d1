"""The command that tells the story of one request from logs."""

from __future__ import annotations

import dataclasses
import json
import pathlib
from collections.abc import Iterable, Iterator, Sequence
from typing import Any, TextIO

import msgspec
import tabulate

from mustardscale.commands.exit_codes import ExitCode
from mustardscale.exceptions import SettingError
from mustardscale.outcomes import TEXT_BY_OUTCOME, Outcome
from mustardscale.reporting.event_log import EventKind

_HEADERS = ('time', 'host', 'event', 'code', 'inputs')
_FRAME_FIELDS = frozenset({'time', 'host', 'event', 'code', 'request_id'})
# Kinds that say what a host believes; the last one of a subject is in force.
BELIEF_KINDS = frozenset(
    {
        EventKind.CONFIG_APPLIED,
        EventKind.MEMBERSHIP_CHANGED,
        EventKind.DEPENDENCY_LOST,
        EventKind.DEPENDENCY_REGAINED,
        EventKind.ENDPOINT_CHANGED,
        EventKind.RATE_LIMIT_CHANGED,
        EventKind.ENDPOINT_CRASHED,
        EventKind.LINK_CHANGED,
        EventKind.QUARANTINE_CHANGED,
        EventKind.ORDERS_CHANGED,
        EventKind.READINESS_CHANGED,
    }
)
# Times of one request by which hosts' clocks are seen to differ, seconds.
CLOCKS_DIFFER_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class LoggedEvent:
    """One line of a log.

    Attributes:
        time: Unix time by the host's clock, seconds.
        host: id of the host.
        event: kind of the event.
        code: numbered code.
        request_id: the request that it is about, '' for none.
        inputs: its other fields.
    """

    time: float
    host: str
    event: str
    code: int
    request_id: str
    inputs: dict[str, Any]


@dataclasses.dataclass(slots=True)
class Logs:
    """What was read of several hosts' logs.

    Attributes:
        events: the events by time.
        torn: lines that look like events and cannot be read.
    """

    events: list[LoggedEvent] = dataclasses.field(default_factory=list)
    torn: int = 0


def read_logs(paths: Iterable[str]) -> Logs:
    """Reads logs; lines that are no events are passed over.

    Raises:
        SettingError: a file cannot be read.
    """
    logs = Logs()
    for path in paths:
        try:
            text = pathlib.Path(path).read_text(errors='replace')
        except OSError as error:
            raise SettingError(
                f'log {path}: {error.strerror}; name a readable file'
            ) from error
        for line in text.splitlines():
            _read_line(line, logs)
    logs.events.sort(key=lambda event: event.time)
    return logs


def _read_line(line: str, logs: Logs) -> None:
    # Collectors of logs put text of their own before a line.
    start = line.find('{"')
    if start < 0 or '"event"' not in line:
        return
    try:
        fields = json.loads(line[start:])
        event = LoggedEvent(
            float(fields['time']),
            str(fields['host']),
            str(fields['event']),
            int(fields['code']),
            str(fields.get('request_id', '')),
            {k: v for k, v in fields.items() if k not in _FRAME_FIELDS},
        )
    except (ValueError, KeyError, TypeError):
        logs.torn += 1
        return
    logs.events.append(event)


def explain(
    request_id: str, paths: Sequence[str], as_json: bool, out: TextIO
) -> ExitCode:
    """Tells what happened to a request, in order, and what was believed.

    Raises:
        SettingError: a file cannot be read.
    """
    logs = read_logs(paths)
    story = [e for e in logs.events if e.request_id == request_id]
    beliefs = list(beliefs_in_force(logs.events, story))
    if as_json:
        out.write(
            msgspec.json.encode(
                {'story': story, 'beliefs': beliefs, 'torn': logs.torn}
            ).decode()
        )
        out.write('\n')
    else:
        _write_story(request_id, story, beliefs, logs, out)
    return ExitCode.DONE if story else ExitCode.NOTHING_FOUND


def beliefs_in_force(
    events: Sequence[LoggedEvent], story: Sequence[LoggedEvent]
) -> Iterator[LoggedEvent]:
    """Yields what the hosts of a story believed when it began.

    Only the last word of each host on each subject counts.
    """
    if not story:
        return
    hosts = {event.host for event in story}
    last: dict[tuple[str, str, str], LoggedEvent] = {}
    for event in events:
        if event.time > story[-1].time:
            break
        if event.event in BELIEF_KINDS and event.host in hosts:
            last[event.host, event.event, _subject_of(event)] = event
    yield from sorted(last.values(), key=lambda event: event.time)


def _subject_of(event: LoggedEvent) -> str:
    """Returns what a belief is about, '' if there is one of its kind only."""
    inputs = event.inputs
    keys = ' '.join(map(str, inputs.get('keys', ())))
    if event.event == EventKind.QUARANTINE_CHANGED:
        return keys
    return str(inputs.get('endpoint') or inputs.get('dependency', ''))


def _write_story(
    request_id: str,
    story: Sequence[LoggedEvent],
    beliefs: Sequence[LoggedEvent],
    logs: Logs,
    out: TextIO,
) -> None:
    if not story:
        out.write(f'no line names request {request_id}\n')
    else:
        out.write(f'request {request_id}\n\n')
        out.write(_table(story, story[0].time) + '\n\n')
        last = story[-1]
        if last.code:
            out.write(_meaning(last.code) + '\n\n')
        out.write('believed by these hosts (age at the end):\n\n')
        out.write(_belief_table(beliefs, last.time) + '\n')
        for line in _streams_taken_up(request_id, story, logs.events):
            out.write(f'\n{line}\n')
    for warning in _warnings(story, logs):
        out.write(f'\n{warning}\n')


def _streams_taken_up(
    request_id: str,
    story: Sequence[LoggedEvent],
    events: Sequence[LoggedEvent],
) -> Iterator[str]:
    """Yields what a request has to do with other sends of its stream."""
    for first in sorted({str(e.inputs.get('resumes', '')) for e in story}):
        if first:
            yield f'it takes up the stream that request {first} began'
    later = {e.request_id for e in events if _takes_up(e, request_id)}
    if later:
        yield f'its stream was taken up by {", ".join(sorted(later))}'


def _takes_up(event: LoggedEvent, request_id: str) -> bool:
    return event.inputs.get('resumes') == request_id


def _table(events: Sequence[LoggedEvent], begin: float) -> str:
    rows = [
        (
            f'{event.time - begin:+.3f}',
            event.host,
            event.event,
            event.code,
            _inputs(event),
        )
        for event in events
    ]
    return tabulate.tabulate(rows, _HEADERS, disable_numparse=True)


def _belief_table(events: Sequence[LoggedEvent], end: float) -> str:
    rows = [
        (f'{end - e.time:.1f} s', e.host, e.event, _inputs(e)) for e in events
    ]
    return tabulate.tabulate(rows, ('age', 'host', 'event', 'inputs'))


def _inputs(event: LoggedEvent) -> str:
    return ', '.join(f'{name}={value}' for name, value in event.inputs.items())


def _meaning(code: int) -> str:
    try:
        outcome = Outcome(code)
    except ValueError:
        return f'{code}: a code that this version does not know'
    text = TEXT_BY_OUTCOME[outcome]
    return f'{code} {outcome.name}: {text.cause} {text.remedy}'


def _warnings(story: Sequence[LoggedEvent], logs: Logs) -> Iterator[str]:
    if logs.torn:
        yield f'{logs.torn} torn lines were passed over'
    left_out = sum(e.inputs.get('left_out', 0) for e in logs.events)
    if left_out:
        yield f'{left_out} lines were left out by the hosts as too many'
    ends = [e for e in story if e.event.startswith('request_')]
    later = [e for e in story if ends and e.time > ends[0].time]
    late = [e for e in later if e.time - ends[0].time > CLOCKS_DIFFER_S]
    if late:
        yield (
            'lines of other hosts come after the end: their clocks differ '
            'from that of the host which served it'
        )
