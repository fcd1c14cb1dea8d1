"""Maps dataclasses to Cap'n Proto structs by field name.

A field first_token_s corresponds to the struct's field firstTokenS. Supported
field types: str, int, float, bool, bytes, string enumerations, dataclasses,
and tuples of any of these.
"""

from __future__ import annotations

import dataclasses
import enum
import functools
import typing
from collections.abc import Callable
from typing import Any

_Writer = Callable[[Any, Any], None]
_Reader = Callable[[Any], Any]


def camel_case(name: str) -> str:
    """Converts a Python name to a schema name.

    >>> camel_case('first_token_s')
    'firstTokenS'
    >>> camel_case('AdmitReply')
    'admitReply'
    """
    head, *rest = name.split('_')
    head = head[0].lower() + head[1:]
    return head + ''.join(part.capitalize() for part in rest)


def write_struct(builder: Any, value: Any) -> None:
    """Copies a dataclass instance into a struct builder."""
    for write in _writers(value.__class__):
        write(builder, value)


def read_struct(reader: Any, cls: type) -> Any:
    """Builds a dataclass instance from a struct reader."""
    return cls(
        *[convert(getattr(reader, name)) for name, convert in _readers(cls)]
    )


@functools.cache
def _writers(cls: type) -> tuple[_Writer, ...]:
    hints = typing.get_type_hints(cls)
    return tuple(
        _writer(field.name, hints[field.name])
        for field in dataclasses.fields(cls)
    )


@functools.cache
def _readers(cls: type) -> tuple[tuple[str, _Reader], ...]:
    hints = typing.get_type_hints(cls)
    return tuple(
        (camel_case(field.name), _reader(hints[field.name]))
        for field in dataclasses.fields(cls)
    )


def _writer(name: str, kind: Any) -> _Writer:
    target = camel_case(name)
    if dataclasses.is_dataclass(kind):

        def write(builder: Any, value: Any) -> None:
            write_struct(builder.init(target), getattr(value, name))

    elif typing.get_origin(kind) is tuple:
        item_is_struct = dataclasses.is_dataclass(typing.get_args(kind)[0])

        def write(builder: Any, value: Any) -> None:
            items = getattr(value, name)
            if not items:
                return
            target_items = builder.init(target, len(items))
            for index, item in enumerate(items):
                if item_is_struct:
                    write_struct(target_items[index], item)
                else:
                    target_items[index] = item

    elif kind is int:

        def write(builder: Any, value: Any) -> None:
            # Integer enumerations are accepted where int is declared.
            setattr(builder, target, int(getattr(value, name)))

    else:

        def write(builder: Any, value: Any) -> None:
            setattr(builder, target, getattr(value, name))

    return write


def _reader(kind: Any) -> _Reader:
    if dataclasses.is_dataclass(kind):
        return lambda value: read_struct(value, typing.cast(type, kind))
    if typing.get_origin(kind) is tuple:
        convert = _reader(typing.get_args(kind)[0])
        return lambda value: tuple([convert(item) for item in value])
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return lambda value: kind(str(value))
    return typing.cast(_Reader, kind)
