"""Maps dataclasses to Cap'n Proto structs by field name.

A field first_token_s corresponds to the struct's field firstTokenS. Supported
field types: str, int, float, bool, bytes, string enumerations, dataclasses,
and tuples of any of these.
"""

from __future__ import annotations

import dataclasses
import enum
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
    cls = value.__class__
    writers = _writers_by_class.get(cls)
    if writers is None:
        writers = _writers_by_class[cls] = _make_writers(builder.schema, cls)
    for write in writers:
        write(builder, value)


def read_struct(reader: Any, cls: type) -> Any:
    """Builds a dataclass instance from a struct reader."""
    readers = _readers_by_class.get(cls)
    if readers is None:
        readers = _readers_by_class[cls] = _make_readers(reader.schema, cls)
    get = reader._get_by_field
    return cls(*[convert(get(field)) for field, convert in readers])


# How each class is written and read. The schema's fields are looked up once:
# the library takes much longer to find a field by its name than to use it.
_writers_by_class: dict[type, tuple[_Writer, ...]] = {}
_readers_by_class: dict[type, tuple[tuple[Any, _Reader], ...]] = {}


def _make_writers(schema: Any, cls: type) -> tuple[_Writer, ...]:
    hints = typing.get_type_hints(cls)
    return tuple(
        _writer(field.name, hints[field.name], schema)
        for field in dataclasses.fields(cls)
    )


def _make_readers(schema: Any, cls: type) -> tuple[tuple[Any, _Reader], ...]:
    hints = typing.get_type_hints(cls)
    return tuple(
        (schema.fields[camel_case(field.name)], _reader(hints[field.name]))
        for field in dataclasses.fields(cls)
    )


def _writer(name: str, kind: Any, schema: Any) -> _Writer:
    target = camel_case(name)
    field = schema.fields[target]
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
            builder._set_by_field(field, int(getattr(value, name)))

    else:

        def write(builder: Any, value: Any) -> None:
            builder._set_by_field(field, getattr(value, name))

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
