"""The command-line tool for operators: reads the command line."""

from __future__ import annotations

import argparse
import getpass
import math
import os
import sys
from collections.abc import Sequence

import configargparse
import uvloop

from mustardscale import __version__
from mustardscale.commands import command_table as commands
from mustardscale.commands.command_context import (
    TOKEN_VARIABLE,
    open_context,
    read_token,
)
from mustardscale.commands.exit_codes import TEXT_BY_EXIT_CODE, ExitCode
from mustardscale.exceptions import (
    LogUnavailableError,
    PeerUnavailableError,
    SettingError,
)
from mustardscale.settings.setting_options import Url

PROGRAM = 'mustardscale'

# Seconds within which an accepted change is in force on every host.
DEFAULT_TIMEOUT_S = 6.0


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the tool and returns its exit code."""
    options = build_parser().parse_args(arguments)
    try:
        if options.command in (commands.replay, commands.explain):
            return options.command(options)
        return uvloop.run(_run(options))
    except SettingError as error:
        return _fail(error, ExitCode.WRONG_USAGE)
    except LogUnavailableError as error:
        return _fail(error, ExitCode.LOG_UNAVAILABLE)
    except PeerUnavailableError as error:
        return _fail(error, ExitCode.HOST_UNAVAILABLE)


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = configargparse.ArgumentParser(
        prog=PROGRAM,
        description='Publishes profiles and shows what hosts do with them.',
        epilog=_exit_code_text(),
        formatter_class=argparse.RawDescriptionHelpFormatter,
        add_env_var_help=False,
        default_config_files=[],
    )
    parser.add_argument(
        '--version', action='version', version=f'%(prog)s {__version__}'
    )
    subjects = parser.add_subparsers(required=True, metavar='COMMAND')
    common = _common_options()
    for kind, help_text in (
        ('profile', 'publish and show profiles'),
        ('service', 'publish and show which profile a service runs under'),
        ('engine', 'publish and show what engines shall serve'),
        ('weights', 'publish and show what a weight store bears'),
    ):
        subject = subjects.add_parser(kind, help=help_text)
        subject.set_defaults(kind=kind)
        _add_config_commands(subject, common)
    _add_host_commands(subjects, common)
    return parser


async def _run(options: argparse.Namespace) -> ExitCode:
    """Runs a command that calls the platform or hosts."""
    for name in ('log_url', 'host_list_url'):
        _check_url(name, getattr(options, name))
    token = read_token(
        options.operators_token_file, os.environ.get(TOKEN_VARIABLE)
    )
    async with open_context(
        options.log_url,
        options.host_list_url,
        token,
        sys.stdout,
        options.json,
    ) as context:
        return await options.command(context, options)


def _add_config_commands(
    subject: argparse.ArgumentParser, common: argparse.ArgumentParser
) -> None:
    """Adds the commands of one kind of configuration entries."""
    actions = subject.add_subparsers(required=True, metavar='COMMAND')

    publish = actions.add_parser('publish', parents=[common])
    publish.add_argument('name')
    publish.add_argument('--file', help='JSON file with the whole content')
    publish.add_argument(
        '--set',
        action='append',
        default=[],
        metavar='FIELD=VALUE',
        help='field to change; may be given several times',
    )
    publish.add_argument(
        '--caller-token-file',
        help='file with a bearer token that shall reach the service',
    )
    publish.add_argument(
        '--base',
        type=int,
        help='version that the change is made from (default: the current one)',
    )
    publish.add_argument(
        '--author', default=_user_name(), env_var='MUSTARDSCALE_AUTHOR'
    )
    publish.add_argument(
        '--timeout',
        type=_seconds,
        default=DEFAULT_TIMEOUT_S,
        help='seconds for the change to be in force on every host',
    )
    publish.set_defaults(command=commands.publish)

    show = actions.add_parser('show', parents=[common])
    show.add_argument('name', nargs='?')
    show.set_defaults(command=commands.show)

    history = actions.add_parser('history', parents=[common])
    history.add_argument('name', nargs='?')
    history.set_defaults(command=commands.history)

    diff = actions.add_parser('diff', parents=[common])
    diff.add_argument('left', metavar='NAME[@VERSION]')
    diff.add_argument('right', metavar='NAME[@VERSION]')
    diff.set_defaults(command=commands.diff)


def _add_host_commands(
    subjects: argparse._SubParsersAction, common: argparse.ArgumentParser
) -> None:
    """Adds the commands that look at hosts and traces."""
    status = subjects.add_parser(
        'status', parents=[common], help='show hosts, versions and pools'
    )
    status.set_defaults(command=commands.status)

    dump = subjects.add_parser(
        'dump', parents=[common], help='show the state of one host as JSON'
    )
    dump.add_argument('host')
    dump.set_defaults(command=commands.dump)

    replay = subjects.add_parser('replay', help='replay a recorded trace')
    replay.add_argument('trace')
    replay.add_argument('--json', action='store_true')
    replay.set_defaults(command=commands.replay)

    explain = subjects.add_parser(
        'explain', help="tell a request's story from hosts' logs"
    )
    explain.add_argument('request_id')
    explain.add_argument('log', nargs='+', help='log of a host')
    explain.add_argument('--json', action='store_true')
    explain.set_defaults(command=commands.explain)


def _common_options() -> argparse.ArgumentParser:
    """Returns the options of all commands that call the platform or hosts."""
    common = configargparse.ArgumentParser(
        add_help=False, default_config_files=[]
    )
    common.add_argument('--log-url', env_var='MUSTARDSCALE_LOG_URL')
    common.add_argument('--host-list-url', env_var='MUSTARDSCALE_HOST_LIST_URL')
    common.add_argument(
        '--operators-token-file',
        env_var=f'{TOKEN_VARIABLE}_FILE',
        help=f'file with the operators token (or set {TOKEN_VARIABLE})',
    )
    common.add_argument(
        '--json', action='store_true', help='write JSON for programs'
    )
    return common


def _check_url(name: str, value: str | None) -> None:
    """Checks an address of the platform.

    Raises:
        SettingError: it is missing or wrong.
    """
    option = Url()
    flag = f'--{name.replace("_", "-")} (MUSTARDSCALE_{name.upper()})'
    if value is None:
        raise SettingError(f'{flag}: is not set; {option.remedy}')
    try:
        option.parse(value)
    except ValueError as error:
        raise SettingError(
            f'{flag}: {value!r} {error}; {option.remedy}'
        ) from error


def _seconds(text: str) -> float:
    """Reads a time span above 0, in seconds."""
    value = float(text)
    if not math.isfinite(value) or value <= 0:
        raise argparse.ArgumentTypeError(f'{text!r} is not above 0 and finite')
    return value


def _user_name() -> str:
    """Returns the name of the user, for the author of a change."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return 'unknown'


def _exit_code_text() -> str:
    """Lists the exit codes."""
    lines = [f'  {code:d}  {text}' for code, text in TEXT_BY_EXIT_CODE.items()]
    return '\n'.join(['exit codes:', *lines])


def _fail(error: Exception, code: ExitCode) -> int:
    """Reports an error and returns the exit code."""
    sys.stderr.write(f'{PROGRAM}: {error}\n')
    return code


if __name__ == '__main__':
    sys.exit(main())
