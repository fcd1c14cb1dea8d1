"""Decodes JSON that other processes wrote."""

from __future__ import annotations

from typing import Any, TypeVar, overload

import msgspec

T = TypeVar('T')


@overload
def decode_json(content: bytes | str) -> Any: ...


@overload
def decode_json(content: bytes | str, kind: type[T]) -> T: ...


def decode_json(content: bytes | str, kind: Any = Any) -> Any:
    """Decodes JSON, whatever it holds.

    Args:
        content: the JSON.
        kind: the type that it is converted to.

    Raises:
        msgspec.DecodeError: it is malformed, nested too deeply, not of the
            type, or holds a number out of range.

    >>> decode_json(b'[1, 2]', list[int])
    [1, 2]
    """
    try:
        return msgspec.json.decode(content, type=kind)
    except (RecursionError, UnicodeError) as error:
        raise msgspec.DecodeError(str(error)) from error
