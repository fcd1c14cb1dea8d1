"""Reads the settings from flags and environment variables."""

from __future__ import annotations

import dataclasses
import pathlib
from collections.abc import Mapping, Sequence
from typing import Any, NoReturn, TypeVar

import configargparse

from mustardscale.exceptions import SettingError
from mustardscale.settings.daemon_settings import (
    Settings,
    SettingsDeclaration,
    argument_name_of,
    flag_of,
    help_of,
    option_of,
    variable_of,
)
from mustardscale.settings.setting_options import Option, Secret

SettingsType = TypeVar('SettingsType', bound=SettingsDeclaration)


def load_settings(
    arguments: Sequence[str], environment: Mapping[str, str]
) -> Settings:
    """Reads the daemon's settings; see load_settings_of."""
    return load_settings_of(Settings, arguments, environment)


def load_settings_of(
    settings_type: type[SettingsType],
    arguments: Sequence[str],
    environment: Mapping[str, str],
    settings_file: str = '',
) -> SettingsType:
    """Reads settings; a flag goes before its variable, that before the file.

    Args:
        settings_type: the class that declares the settings.
        arguments: the command line without the program's name.
        environment: the environment variables.
        settings_file: path of a file of lines 'flag = value' without the
            dashes, '' for none.

    Raises:
        ExceptionGroup: of SettingError, one for each wrong setting.
        SystemExit: --help was given.
    """
    errors: list[SettingError] = []
    parser = _parser(settings_type, settings_file)
    raw = _read_raw(parser, arguments, environment, errors)
    values: dict[str, Any] = {}
    for field in dataclasses.fields(settings_type):
        try:
            _put_value(field, raw, environment, values)
        except SettingError as error:
            errors.append(error)
    _check_together(values, errors)
    if errors:
        raise ExceptionGroup('settings are wrong', errors)
    return settings_type(**values)


class _Parser(configargparse.ArgumentParser):
    """Raises errors in place of ending the process."""

    def error(self, message: str) -> NoReturn:
        """Raises a command line error."""
        raise SettingError(f'command line: {message}; see --help')


def _parser(
    settings_type: type[SettingsDeclaration], settings_file: str
) -> _Parser:
    parser = _Parser(
        prog='mustardscaled',
        description='Entry host of the router.',
        epilog=(
            '--check-settings shows the settings and exits; --version shows '
            'the version. A wrong setting ends the process with code 2.'
        ),
        allow_abbrev=False,
        add_env_var_help=False,
        default_config_files=[settings_file] if settings_file else [],
    )
    for field in dataclasses.fields(settings_type):
        name = argument_name_of(field)
        option = option_of(field)
        parser.add_argument(
            flag_of(name),
            env_var=variable_of(name),
            metavar=_metavar(option),
            help=f'{help_of(field)} [{variable_of(field.name)}]',
        )
    return parser


def _read_raw(
    parser: _Parser,
    arguments: Sequence[str],
    environment: Mapping[str, str],
    errors: list[SettingError],
) -> dict[str, str | None]:
    try:
        namespace, unknown = parser.parse_known_args(
            list(arguments), env_vars=dict(environment)
        )
    except SettingError as error:
        errors.append(error)
        namespace, unknown = parser.parse_known_args(
            [], env_vars=dict(environment)
        )
    for argument in unknown:
        name = argument.partition('=')[0]
        errors.append(SettingError(f'{name}: unknown argument; see --help'))
    return vars(namespace)


def _put_value(
    field: dataclasses.Field[Any],
    raw: Mapping[str, str | None],
    environment: Mapping[str, str],
    values: dict[str, Any],
) -> None:
    if isinstance(option_of(field), Secret):
        text = _secret_text(field, raw, environment)
    else:
        text = raw[field.name]
    if text is not None:
        values[field.name] = _parse(field, text)
    elif field.default is not dataclasses.MISSING:
        values[field.name] = field.default
    else:
        raise _error(field, 'is not set')


def _secret_text(
    field: dataclasses.Field[Any],
    raw: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> str | None:
    text = environment.get(variable_of(field.name)) or None
    path = raw[argument_name_of(field)]
    if path is None:
        return text
    if text is not None:
        raise _error(field, 'is given both by variable and by file')
    try:
        return pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError, ValueError) as error:
        raise _error(field, f'file {path!r} cannot be read: {error}') from error


def _parse(field: dataclasses.Field[Any], text: str) -> Any:
    option = option_of(field)
    try:
        return option.parse(text)
    except ValueError as error:
        if isinstance(option, Secret):
            raise _error(field, str(error)) from None
        raise _error(field, f'{text!r}: {error}') from error


def _check_together(
    values: Mapping[str, Any], errors: list[SettingError]
) -> None:
    """Notes values that do not fit each other."""
    heartbeat_s = values.get('heartbeat_s')
    body_bytes = values.get('max_body_bytes')
    if heartbeat_s is not None:
        _check_least(
            values, 'dead_after_s', 2 * heartbeat_s, 'two heartbeats', errors
        )
    if body_bytes is not None:
        _check_least(
            values, 'max_all_bodies_bytes', body_bytes, 'one body', errors
        )


def _check_least(
    values: Mapping[str, Any],
    name: str,
    least: float,
    what: str,
    errors: list[SettingError],
) -> None:
    """Notes a value that is below what another setting asks for."""
    value = values.get(name)
    if value is not None and value < least:
        errors.append(
            SettingError(
                f'{flag_of(name)} ({variable_of(name)}): {value} is '
                f'below {what}; give at least {least}'
            )
        )


def _error(field: dataclasses.Field[Any], problem: str) -> SettingError:
    flag = flag_of(argument_name_of(field))
    variable = variable_of(field.name)
    return SettingError(
        f'{flag} ({variable}): {problem}; {option_of(field).remedy}'
    )


def _metavar(option: Option) -> str:
    if isinstance(option, Secret):
        return 'FILE'
    return option.kind.upper().replace(' ', '-')
