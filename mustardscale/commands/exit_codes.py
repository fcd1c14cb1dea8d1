"""Exit codes of the command-line tool."""

from __future__ import annotations

import enum

import tabulate


class ExitCode(enum.IntEnum):
    """What a command's exit code says."""

    DONE = 0
    WRONG_USAGE = 2
    NOT_EVERYWHERE = 3
    LOST = 4
    UNKNOWN = 5
    LOG_UNAVAILABLE = 6
    HOST_UNAVAILABLE = 7
    PROMISE_BROKEN = 8
    DECIDED_ANEW = 9
    NOTHING_FOUND = 10


TEXT_BY_EXIT_CODE = {
    ExitCode.DONE: 'done; a change is accepted and in force on every host',
    ExitCode.WRONG_USAGE: 'wrong usage; nothing was done',
    ExitCode.NOT_EVERYWHERE: 'accepted, but not yet in force on every host',
    ExitCode.LOST: 'the change lost to another one; it is not in force',
    ExitCode.UNKNOWN: 'it is not known what became of the change',
    ExitCode.LOG_UNAVAILABLE: 'the log is unavailable; nothing was published',
    ExitCode.HOST_UNAVAILABLE: 'a host or the host list did not answer',
    ExitCode.PROMISE_BROKEN: 'a replayed trace shows a promise broken',
    ExitCode.DECIDED_ANEW: 'decisions of a replayed trace differ today',
    ExitCode.NOTHING_FOUND: 'no log names the request',
}


def exit_code_table() -> str:
    """Renders the exit codes as a Markdown table."""
    rows = [[int(code), text] for code, text in TEXT_BY_EXIT_CODE.items()]
    return tabulate.tabulate(rows, ['Exit code', 'Meaning'], tablefmt='github')
