"""The commands of the command-line tool, one function for each."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Awaitable, Callable

from mustardscale.commands import command_config, command_hosts
from mustardscale.commands.command_context import CommandContext
from mustardscale.commands.command_explain import explain as explain_request
from mustardscale.commands.command_publish import PublishOptions, publish_entry
from mustardscale.commands.command_replay import replay_trace
from mustardscale.commands.exit_codes import ExitCode
from mustardscale.configuration.config_edits import Edit
from mustardscale.configuration.config_records import ConfigKey

Command = Callable[[CommandContext, argparse.Namespace], Awaitable[ExitCode]]


async def publish(
    context: CommandContext, options: argparse.Namespace
) -> ExitCode:
    """Publishes a configuration entry."""
    edit = Edit(options.file, options.set, options.caller_token_file)
    publish_options = PublishOptions(
        options.author, options.base, options.timeout
    )
    key = ConfigKey(options.kind, options.name)
    return await publish_entry(context, key, edit, publish_options)


async def show(
    context: CommandContext, options: argparse.Namespace
) -> ExitCode:
    """Shows the current entries of a kind."""
    return await command_config.show_entries(
        context, options.kind, options.name
    )


async def history(
    context: CommandContext, options: argparse.Namespace
) -> ExitCode:
    """Shows the changes of the entries of a kind."""
    return await command_config.show_history(
        context, options.kind, options.name
    )


async def diff(
    context: CommandContext, options: argparse.Namespace
) -> ExitCode:
    """Shows in which fields two entries of a kind differ."""
    return await command_config.show_difference(
        context, options.kind, options.left, options.right
    )


async def status(
    context: CommandContext, options: argparse.Namespace
) -> ExitCode:
    """Shows the entry hosts."""
    return await command_hosts.show_status(context)


async def dump(
    context: CommandContext, options: argparse.Namespace
) -> ExitCode:
    """Shows the state of one host."""
    return await command_hosts.show_dump(context, options.host)


def replay(options: argparse.Namespace) -> ExitCode:
    """Replays a trace; needs neither the platform nor a token."""
    return replay_trace(options.trace, options.json, sys.stdout)


def explain(options: argparse.Namespace) -> ExitCode:
    """Tells a request's story from logs; needs neither platform nor token."""
    return explain_request(
        options.request_id, options.log, options.json, sys.stdout
    )
