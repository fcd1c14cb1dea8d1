"""The commands that show configuration entries."""

from __future__ import annotations

from typing import Any

import msgspec

from mustardscale.commands.command_context import CommandContext
from mustardscale.commands.exit_codes import ExitCode
from mustardscale.configuration.config_records import ConfigChange, ConfigKey
from mustardscale.configuration.config_state import ConfigState, RecordStatus
from mustardscale.configuration.publishing import read_config
from mustardscale.exceptions import SettingError

_HISTORY_HEADERS = ('offset', 'name', 'fate', 'base', 'author', 'change id')
_VERSION_MARK = '@'


async def show_entries(
    context: CommandContext, kind: str, name: str | None
) -> ExitCode:
    """Shows one entry of a kind, or all."""
    state = await read_config(context.log)
    if name is None:
        _show_all(context, state, kind)
        return ExitCode.DONE
    entry = state.current(ConfigKey(kind, name))
    if entry is None:
        raise SettingError(f'no {kind} {name!r} is published')
    fields = {
        'name': name,
        'version': entry.version,
        'author': entry.change.author,
        **_fields(entry.change),
    }
    if context.as_json:
        context.show_json(fields)
    else:
        context.show_table(('field', 'value'), fields.items())
    return ExitCode.DONE


async def show_history(
    context: CommandContext, kind: str, name: str | None
) -> ExitCode:
    """Shows the changes on the log, the oldest first."""
    state = await read_config(context.log)
    rows = [
        (
            entry.offset,
            entry.change.key.name,
            _fate_text(entry.status, entry.version),
            entry.change.base,
            entry.change.author,
            entry.change.change_id,
        )
        for entry in state.history
        if entry.change.key.kind == kind
        and name in (None, entry.change.key.name)
    ]
    context.show_table(_HISTORY_HEADERS, rows)
    return ExitCode.DONE


async def show_difference(
    context: CommandContext, kind: str, left: str, right: str
) -> ExitCode:
    """Shows the fields in which two entries differ.

    Args:
        context: the services to call.
        kind: the kind of both.
        left: 'NAME', or 'NAME@VERSION' for an earlier version.
        right: the other one.
    """
    state = await read_config(context.log)
    old = _fields(_find(state, kind, left))
    new = _fields(_find(state, kind, right))
    rows = [
        (field, value, new[field])
        for field, value in old.items()
        if value != new[field]
    ]
    context.show_table(('field', left, right), rows)
    return ExitCode.DONE


def _show_all(context: CommandContext, state: ConfigState, kind: str) -> None:
    """Shows the current entries of a kind, by name."""
    entries = [
        entry for key, entry in sorted(state.by_key.items()) if key.kind == kind
    ]
    if not entries:
        context.show_table(('name', 'version', 'author'), [])
        return
    headers = ['name', 'version', 'author', *_fields(entries[0].change)]
    rows = [
        [
            entry.change.key.name,
            entry.version,
            entry.change.author,
            *_fields(entry.change).values(),
        ]
        for entry in entries
    ]
    context.show_table(headers, rows)


def _find(state: ConfigState, kind: str, reference: str) -> ConfigChange:
    """Returns an accepted change by its name and perhaps version."""
    name, mark, version = reference.partition(_VERSION_MARK)
    key = ConfigKey(kind, name)
    current = state.current(key)
    if current is not None and (not mark or version == str(current.version)):
        return current.change
    for entry in state.history:
        accepted = (
            entry.change.key == key and entry.status is RecordStatus.ACCEPTED
        )
        if mark and accepted and version == str(entry.offset):
            return entry.change
    raise SettingError(f'no {kind} {reference!r} is on the log')


def _fields(change: ConfigChange) -> dict[str, Any]:
    """Returns the fields of a change's content."""
    fields = msgspec.to_builtins(change.content)
    return {
        name: ' '.join(value) if isinstance(value, list | tuple) else value
        for name, value in fields.items()
    }


def _fate_text(status: RecordStatus, version: int) -> str:
    """Says what became of a change."""
    if status is RecordStatus.LOST:
        return f'lost to {version}'
    return str(status)
