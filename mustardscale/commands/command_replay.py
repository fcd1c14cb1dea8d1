"""The command that states what a recorded trace shows."""

from __future__ import annotations

import pathlib
from typing import TextIO

import msgspec
import tabulate

from mustardscale.commands.exit_codes import ExitCode
from mustardscale.exceptions import SettingError
from mustardscale.outcomes import Outcome
from mustardscale.replay.trace_checks import (
    TracedSend,
    TraceViolation,
    check_trace,
    sends_by_id,
)
from mustardscale.replay.trace_reader import Trace, read_trace
from mustardscale.replay.trace_replay import DecisionReplay

_HEADERS = ('request', 'service', 'host', 'sent to', 'outcome')


def replay_trace(path: str, as_json: bool, out: TextIO) -> ExitCode:
    """States the outcome of each send in a trace and checks the promises.

    What hosts decided is decided again by today's code.

    Raises:
        SettingError: the file cannot be read, or is no trace.
    """
    trace = _read(path)
    sends = sends_by_id(trace.events())
    trace_end = max((line.at for line in trace.lines), default=0.0)
    violations = check_trace(sends, trace_end)
    replay = DecisionReplay()
    replay.run(trace.lines)
    rows = [_row(send) for of_id in sends.values() for send in of_id]
    show = _show_json if as_json else _show_table
    show(out, rows, violations, replay, trace)
    if violations:
        return ExitCode.PROMISE_BROKEN
    return ExitCode.DECIDED_ANEW if replay.differences else ExitCode.DONE


def _read(path: str) -> Trace:
    try:
        trace = read_trace(pathlib.Path(path))
    except OSError as error:
        raise SettingError(
            f'trace {path}: {error.strerror}; name a readable file'
        ) from error
    if trace.unreadable and not trace.lines:
        raise SettingError(
            f'trace {path}: no line can be read; name a file that '
            'mustardscaled wrote to its --record-file'
        )
    return trace


def _row(send: TracedSend) -> tuple[str, str, str, str, str]:
    outcome = send.outcome
    return (
        send.arrived.request_id,
        send.arrived.service,
        send.arrived.host,
        ', '.join(endpoint for endpoint, _ in send.sent),
        'open at the end' if outcome is None else f'{outcome} {outcome.name}',
    )


def _show_json(
    out: TextIO,
    rows: list[tuple[str, str, str, str, str]],
    violations: list[TraceViolation],
    replay: DecisionReplay,
    trace: Trace,
) -> None:
    names = [header.replace(' ', '_') for header in _HEADERS]
    content = {
        'sends': [dict(zip(names, row, strict=True)) for row in rows],
        'violations': violations,
        'decisions': replay.decisions,
        'differences': replay.differences,
        'left_out': replay.left_out,
        'unreadable_lines': trace.unreadable,
    }
    text = msgspec.json.format(msgspec.json.encode(content))
    out.write(text.decode() + '\n')


def _show_table(
    out: TextIO,
    rows: list[tuple[str, str, str, str, str]],
    violations: list[TraceViolation],
    replay: DecisionReplay,
    trace: Trace,
) -> None:
    out.write(tabulate.tabulate(rows, _HEADERS, disable_numparse=True) + '\n\n')
    for item in violations:
        out.write(f'promise {item.promise}: {item.request_id} {item.text}\n')
    for found in replay.differences:
        out.write(
            f'decision of {found.decision} at {found.at:.3f} by {found.host}: '
            f'{found.request_id} was {found.recorded}; today {found.today}\n'
        )
    code = Outcome.TRACE_LINE_UNREADABLE
    for number in trace.unreadable:
        out.write(f'{code} {code.name}: line {number} was skipped\n')
    out.write(
        f'{replay.decisions} decisions run again, '
        f'{len(replay.differences)} differ, {replay.left_out} left out\n'
        f'{len(rows)} sends, {len(violations)} violations\n'
    )
