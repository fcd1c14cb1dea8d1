"""The command that states what a recorded trace shows."""

from __future__ import annotations

import pathlib
from typing import TextIO

import msgspec
import tabulate

from mustardscale.exceptions import SettingError
from mustardscale.exit_codes import ExitCode
from mustardscale.trace import TraceEvent, read_trace
from mustardscale.trace_checks import (
    TracedSend,
    TraceViolation,
    check_trace,
    sends_by_id,
)

_HEADERS = ('request', 'service', 'host', 'sent to', 'outcome')


def replay_trace(path: str, as_json: bool, out: TextIO) -> ExitCode:
    """States the outcome of each send in a trace and checks the promises.

    Raises:
        SettingError: the file cannot be read, or is no trace.
    """
    events = _read(path)
    sends = sends_by_id(events)
    trace_end = max((event.at for event in events), default=0.0)
    violations = check_trace(sends, trace_end)
    rows = [_row(send) for of_id in sends.values() for send in of_id]
    if as_json:
        _show_json(out, rows, violations)
    else:
        _show_table(out, rows, violations)
    return ExitCode.PROMISE_BROKEN if violations else ExitCode.DONE


def _read(path: str) -> list[TraceEvent]:
    try:
        return read_trace(pathlib.Path(path))
    except OSError as error:
        raise SettingError(
            f'trace {path}: {error.strerror}; name a readable file'
        ) from error
    except msgspec.MsgspecError as error:
        raise SettingError(
            f'trace {path}: {error}; name a file that mustardscaled wrote to '
            'its --record-file'
        ) from error


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
) -> None:
    names = [header.replace(' ', '_') for header in _HEADERS]
    content = {
        'sends': [dict(zip(names, row, strict=True)) for row in rows],
        'violations': violations,
    }
    text = msgspec.json.format(msgspec.json.encode(content))
    out.write(text.decode() + '\n')


def _show_table(
    out: TextIO,
    rows: list[tuple[str, str, str, str, str]],
    violations: list[TraceViolation],
) -> None:
    out.write(tabulate.tabulate(rows, _HEADERS, disable_numparse=True) + '\n\n')
    for item in violations:
        out.write(f'promise {item.promise}: {item.request_id} {item.text}\n')
    out.write(f'{len(rows)} sends, {len(violations)} violations\n')
