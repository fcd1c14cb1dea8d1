"""The command that publishes configuration entries."""

from __future__ import annotations

import dataclasses

import uuid_utils

from mustardscale.commands.command_context import CommandContext
from mustardscale.commands.exit_codes import ExitCode
from mustardscale.configuration.config_edits import Edit, edit_content
from mustardscale.configuration.config_records import (
    ConfigChange,
    ConfigKey,
    make_change,
)
from mustardscale.configuration.config_rollout import (
    Rollout,
    await_rollout,
    entry_hosts,
)
from mustardscale.configuration.config_state import ConfigState
from mustardscale.configuration.publishing import (
    PublishResult,
    PublishStatus,
    publish,
    read_config,
)
from mustardscale.configuration.wanted_state import (
    ListedEngine,
    WantedEngine,
    check_wanted,
)
from mustardscale.exceptions import PeerUnavailableError, SettingError
from mustardscale.hosts.host_list import ListedKind
from mustardscale.outcomes import Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class PublishOptions:
    """How a change is published.

    Attributes:
        author: who publishes it.
        base: version that it is made from; None for the current one.
        timeout_s: seconds for its fate to be known, and again for it to be
            in force on every host.
    """

    author: str
    base: int | None
    timeout_s: float


async def publish_entry(
    context: CommandContext, key: ConfigKey, edit: Edit, options: PublishOptions
) -> ExitCode:
    """Publishes a configuration entry and says what became of it.

    Raises:
        SettingError: the input is wrong; nothing was published.
        LogUnavailableError: nothing was published.
        PeerUnavailableError: the host list, which a wanted state is checked
            against, could not be read; nothing was published.
    """
    state = await read_config(context.log)
    content = edit_content(state, key, edit)
    if isinstance(content, WantedEngine):
        await _check_engine(context, state, key, content)
    change = make_change(
        key,
        state.version(key) if options.base is None else options.base,
        str(uuid_utils.uuid7()),
        options.author,
        content,
    )
    result = await publish(context.log, state, change, options.timeout_s)
    rollout = None
    if result.status is PublishStatus.ACCEPTED:
        rollout = await _rollout(context, key, result, options.timeout_s)
    _show(context, change, result, rollout)
    return _exit_code(result, rollout)


async def _check_engine(
    context: CommandContext,
    state: ConfigState,
    key: ConfigKey,
    content: WantedEngine,
) -> None:
    """Checks a wanted state against the host list and the other ones."""
    engines = [
        ListedEngine(host.id, host.model, host.role, host.fencing)
        for host in await context.host_list.fetch()
        if host.kind is ListedKind.ENGINE
    ]
    wanted = state.wanted_by_name | {key.name: content}
    models = {e.choice.model for e in state.services_by_name.values()}
    try:
        check_wanted(key.name, engines, wanted, models)
    except ValueError as error:
        code = Outcome.WANTED_STATE_REFUSED
        raise SettingError(f'{key}: {code} {code.name}: {error}') from error


async def _rollout(
    context: CommandContext,
    key: ConfigKey,
    result: PublishResult,
    timeout_s: float,
) -> Rollout | None:
    """Waits until a version is in force; None if the hosts aren't known."""
    try:
        hosts = await entry_hosts(context.host_list, leaving=False)
    except PeerUnavailableError:
        return None
    return await await_rollout(
        hosts, context.operators.status, key, result.version, timeout_s
    )


def _exit_code(result: PublishResult, rollout: Rollout | None) -> ExitCode:
    """Returns the exit code for a change's fate."""
    if result.status is PublishStatus.LOST:
        return ExitCode.LOST
    if result.status is PublishStatus.UNKNOWN:
        return ExitCode.UNKNOWN
    if rollout is None or not rollout.complete:
        return ExitCode.NOT_EVERYWHERE
    return ExitCode.DONE


def _show(
    context: CommandContext,
    change: ConfigChange,
    result: PublishResult,
    rollout: Rollout | None,
) -> None:
    """Writes what became of a change."""
    if context.as_json:
        context.show_json(
            {
                'key': str(change.key),
                'change_id': change.change_id,
                'base': change.base,
                'fate': result.status,
                'version': result.version,
                'detail': result.detail,
                'in_force': rollout.in_force if rollout else None,
                'missing': rollout.missing if rollout else None,
            }
        )
        return
    context.show_text(f'{change.key}: {_sentence(change, result, rollout)}')


def _sentence(
    change: ConfigChange, result: PublishResult, rollout: Rollout | None
) -> str:
    """Says in a sentence what became of a change."""
    if result.status is PublishStatus.LOST:
        return (
            f'lost to version {result.version}; it was made from version'
            f' {change.base}. Look at the current one and publish again.'
        )
    if result.status is PublishStatus.UNKNOWN:
        return f'unknown. {result.detail}'
    accepted = f'accepted at version {result.version}'
    if rollout is None:
        return f'{accepted}; the host list is unavailable, see status'
    total = len(rollout.in_force) + len(rollout.missing)
    text = (
        f'{accepted} and in force on {len(rollout.in_force)} of {total} hosts'
    )
    if rollout.missing:
        text += f' (not on {", ".join(rollout.missing)})'
    return text
