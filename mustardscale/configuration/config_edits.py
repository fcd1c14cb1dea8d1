"""Builds the content of configuration entries from operators' input."""

from __future__ import annotations

import dataclasses
import hashlib
import pathlib
from collections.abc import Sequence
from typing import Any

import msgspec

from mustardscale.configuration.config_records import (
    TYPE_BY_KIND,
    ConfigContent,
    ConfigKey,
    ServiceChoice,
)
from mustardscale.configuration.config_state import PROFILE_KIND, ConfigState
from mustardscale.exceptions import SettingError

_TOKENS_FIELD = 'token_sha256'


@dataclasses.dataclass(frozen=True, slots=True)
class Edit:
    """An operator's change of a configuration entry.

    Attributes:
        file: JSON file with the whole content; None to start from the current
            content, or from the defaults if there is none.
        assignments: texts of the form 'field=value', applied to that content.
        caller_token_file: file with a bearer token to add to a service.
    """

    file: str | None = None
    assignments: Sequence[str] = ()
    caller_token_file: str | None = None


def edit_content(
    state: ConfigState, key: ConfigKey, edit: Edit
) -> ConfigContent:
    """Returns the new content of an entry.

    Raises:
        SettingError: the input is wrong.
    """
    fields = _find_base_fields(state, key, edit)
    for assignment in edit.assignments:
        name, equals, value = assignment.partition('=')
        if not equals:
            raise SettingError(f'--set {assignment}: give field=value')
        fields[name] = _parse_value(value)
    if edit.caller_token_file is not None:
        tokens = [*fields.get(_TOKENS_FIELD, ())]
        digest = _read_token_digest(edit.caller_token_file)
        fields[_TOKENS_FIELD] = [*tokens, digest]
    content = _convert_fields(key, fields)
    if isinstance(content, ServiceChoice):
        _check_profile(state, content)
    return content


def _find_base_fields(
    state: ConfigState, key: ConfigKey, edit: Edit
) -> dict[str, Any]:
    """Returns the fields to which the assignments are applied."""
    if edit.file is not None:
        return _read_file(edit.file)
    current = state.current(key)
    if current is None:
        return {}
    fields: dict[str, Any] = msgspec.to_builtins(current.change.content)
    return fields


def _read_file(path: str) -> dict[str, Any]:
    """Reads a JSON object."""
    try:
        content = msgspec.json.decode(pathlib.Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise SettingError(f'--file {path}: {error}') from error
    if not isinstance(content, dict):
        raise SettingError(f'--file {path}: give a JSON object')
    return content


def _parse_value(text: str) -> Any:
    """Parses a value as JSON; other text is returned as it is."""
    try:
        return msgspec.json.decode(text)
    except msgspec.DecodeError:
        return text


def _read_token_digest(path: str) -> str:
    """Reads a bearer token and returns the hash that is published for it."""
    try:
        token = pathlib.Path(path).read_text().strip()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingError(f'--caller-token-file {path}: {error}') from error
    if not token:
        raise SettingError(f'--caller-token-file {path}: the file is empty')
    return hashlib.sha256(token.encode()).hexdigest()


def _convert_fields(key: ConfigKey, fields: dict[str, Any]) -> ConfigContent:
    """Converts fields to the content of a key's kind, and checks them."""
    content_type = TYPE_BY_KIND[key.kind]
    known = {field.name for field in dataclasses.fields(content_type)}
    unknown = sorted(set(fields) - known)
    if unknown:
        raise SettingError(
            f'{key}: no field {", ".join(unknown)}; the fields are '
            + ', '.join(sorted(known))
        )
    try:
        return msgspec.convert(fields, content_type)
    except (msgspec.ValidationError, ValueError) as error:
        raise SettingError(f'{key}: {error}') from error


def _check_profile(state: ConfigState, choice: ServiceChoice) -> None:
    """Checks that the profile of a service choice is published."""
    if choice.profile not in state.profiles_by_name:
        raise SettingError(
            f'no {PROFILE_KIND} {choice.profile!r} is published; publish it'
            ' first'
        )
