"""The daemon's settings, each declared once."""

from __future__ import annotations

import dataclasses
import typing
from typing import Any

import tabulate

from mustardscale.settings.setting_options import (
    Address,
    Amount,
    Choice,
    Count,
    Option,
    Seconds,
    Secret,
    Text,
    Url,
)

VARIABLE_PREFIX = 'MUSTARDSCALE_'

_FILE_SUFFIX = '_file'
_KEY_OPTION = 'option'
_KEY_HELP = 'help'


def setting(
    option: Option, text: str, default: Any = dataclasses.MISSING
) -> Any:
    """Declares a setting: its type, its help text and its default."""
    return dataclasses.field(
        default=default,
        repr=not isinstance(option, Secret),
        metadata={_KEY_OPTION: option, _KEY_HELP: text},
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SettingsDeclaration:
    """Base of the classes that declare settings."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Settings(SettingsDeclaration):
    """The daemon's settings; the help text of each says what it does."""

    host_id: str = setting(Text(), 'Id of this host on the host list.')
    data_centre: str = setting(Text(), 'Data centre of this host.')
    region: str = setting(Text(), 'Region of this host.')
    callers_listen: str = setting(
        Address(), 'Address on which callers are served.', '127.0.0.1:8080'
    )
    peers_listen: str = setting(
        Address(), 'Address on which peers are served.', '127.0.0.1:7400'
    )
    operators_listen: str = setting(
        Address(),
        'Address for operators: health, metrics, state dump.',
        '127.0.0.1:9400',
    )
    log_url: str = setting(Url(), "Address of the platform's log service.")
    host_list_url: str = setting(Url(), "Address of the platform's host list.")
    heartbeat_s: float = setting(
        Seconds(), 'Interval of heartbeats between peers.', 0.5
    )
    dead_after_s: float = setting(
        Seconds(), 'Silence after which a peer counts as dead.', 2.5
    )
    host_list_interval_s: float = setting(
        Seconds(), 'Interval at which the host list is read.', 1.0
    )
    resume_grace_s: float = setting(
        Seconds(),
        'Time for callers of a dead host to resume their streams.',
        3.0,
    )
    kept_answers_s: float = setting(
        Seconds(),
        'Time for which the ends of delivered answers can be resumed.',
        30.0,
    )
    kept_answers_bytes: int = setting(
        Count(minimum=0),
        'Memory for the ends of delivered answers, in bytes.',
        16_777_216,
    )
    policy: str = setting(
        Choice('mustardscale', 'round_robin', 'least_loaded'),
        'How requests are admitted and placed.',
        'mustardscale',
    )
    seed: int = setting(
        Count(minimum=0), 'Seed of the random number generator.', 0
    )
    memory_mb: float = setting(
        Amount(),
        'Memory of the machine in MB, to which the limits of callers are'
        ' fitted; 0 if unknown.',
        0.0,
    )
    max_fds: float = setting(
        Amount(),
        'Descriptors that the process may open, to which the number of'
        ' connections is fitted; 0 if unknown.',
        0.0,
    )
    max_connections: int = setting(
        Count(), "Limit of callers' connections.", 2_000
    )
    max_all_bodies_bytes: int = setting(
        Count(),
        'Memory for the bodies of all requests in progress, in bytes.',
        268_435_456,
    )
    max_header_bytes: int = setting(
        Count(), "Size limit of a caller's headers, in bytes.", 16_384
    )
    max_body_bytes: int = setting(
        Count(), "Size limit of a caller's body, in bytes.", 4_194_304
    )
    body_timeout_s: float = setting(
        Seconds(), 'Time in which a body must arrive.', 10.0
    )
    stream_write_timeout_s: float = setting(
        Seconds(),
        'Time for which a caller may take no bytes of its answer.',
        30.0,
    )
    drain_timeout_s: float = setting(
        Seconds(), 'Time for open requests to end at shutdown.', 300.0
    )
    record_file: str = setting(
        Text(empty=True), 'File to record a trace to; empty for none.', ''
    )
    record_bytes: int = setting(
        Count(), 'Size of the trace at which recording stops.', 268_435_456
    )
    log_level: str = setting(
        Choice('debug', 'info', 'warning', 'error'),
        'Lowest level of log lines.',
        'info',
    )
    operators_token: str = setting(
        Secret(), 'Bearer token that operators must present.'
    )
    peer_key: str = setting(
        Secret(optional=True),
        'Key shared by all peers; empty for no authentication.',
        '',
    )


def public_settings(settings: SettingsDeclaration) -> dict[str, Any]:
    """Returns the settings without the secrets, for state dumps."""
    return {
        field.name: getattr(settings, field.name)
        for field in dataclasses.fields(settings)
        if not isinstance(option_of(field), Secret)
    }


def settings_table(
    settings_type: type[SettingsDeclaration] = Settings,
) -> str:
    """Renders settings as a Markdown table."""
    rows = [_table_row(field) for field in dataclasses.fields(settings_type)]
    headers = ['Flag', 'Variable', 'Value', 'Default', 'What it does']
    return tabulate.tabulate(rows, headers, tablefmt='github')


def flag_of(name: str) -> str:
    """Returns the flag of a setting.

    >>> flag_of('heartbeat_s')
    '--heartbeat-s'
    """
    return '--' + name.replace('_', '-')


def variable_of(name: str) -> str:
    """Returns the environment variable of a setting.

    >>> variable_of('heartbeat_s')
    'MUSTARDSCALE_HEARTBEAT_S'
    """
    return VARIABLE_PREFIX + name.upper()


def argument_name_of(field: dataclasses.Field[Any]) -> str:
    """Returns the name that the flag is made from; secrets name a file."""
    if isinstance(option_of(field), Secret):
        return field.name + _FILE_SUFFIX
    return field.name


def option_of(field: dataclasses.Field[Any]) -> Option:
    """Returns the type of a setting."""
    return typing.cast(Option, field.metadata[_KEY_OPTION])


def help_of(field: dataclasses.Field[Any]) -> str:
    """Returns the help text of a setting."""
    return typing.cast(str, field.metadata[_KEY_HELP])


def _table_row(field: dataclasses.Field[Any]) -> list[str]:
    option = option_of(field)
    default = f'`{field.default}`' if field.default != '' else 'empty'
    if field.default is dataclasses.MISSING:
        default = 'required'
    variable = f'`{variable_of(field.name)}`'
    if isinstance(option, Secret):
        variable += f' or `{variable_of(argument_name_of(field))}`'
    flag = f'`{flag_of(argument_name_of(field))}`'
    return [flag, variable, option.kind, default, help_of(field)]
