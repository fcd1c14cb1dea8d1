"""Encodes copies of streams, compressed relative to what the receiver has."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec
import xxhash

from mustardscale.compression import (
    CompressionError,
    compress,
    decompress,
)
from mustardscale.exceptions import MustardscaleError
from mustardscale.log.keyed_log import KeyedCopy, KeyedRecord

# Size of a decoded copy at most, bytes.
MAX_COPY_BYTES = 16 * 1024 * 1024


class CopyError(MustardscaleError):
    """A copy can't be decoded."""


class BaseMismatchError(CopyError):
    """A copy was compressed against other values than this host has."""


class _Record(msgspec.Struct, array_like=True):
    """A record of a copy."""

    key: str
    value: bytes
    offset: int


class _Copy(msgspec.Struct, array_like=True):
    """A copy before it is compressed."""

    records: list[_Record]
    end_offset: int
    whole: bool


class _EncodedCopy(msgspec.Struct, array_like=True):
    """A copy, compressed relative to known values.

    Attributes:
        base_keys: keys of these values; none for a copy that needs none.
        base_digest: hash of these values.
        content: the compressed copy.
    """

    base_keys: list[str]
    base_digest: int
    content: bytes


def encode_copy(copy: KeyedCopy, find_base: Callable[[str], bytes]) -> bytes:
    """Encodes a copy.

    Args:
        copy: the copy.
        find_base: returns the value of a key that the receiver knows, b'' for
            none.
    """
    base_by_key = {
        record.key: base
        for record in copy.records
        if record.value and (base := find_base(record.key))
    }
    base = _join(base_by_key.values())
    records = [_Record(r.key, r.value, r.offset) for r in copy.records]
    plain = msgspec.msgpack.encode(_Copy(records, copy.end_offset, copy.whole))
    encoded = _EncodedCopy(
        list(base_by_key),
        xxhash.xxh3_64_intdigest(base),
        compress(plain, base),
    )
    return msgspec.msgpack.encode(encoded)


def decode_copy(content: bytes, find_base: Callable[[str], bytes]) -> KeyedCopy:
    """Decodes a copy.

    Args:
        content: the encoded copy.
        find_base: returns the value of a key that this host knew when it asked
            for the copy, b'' for none.

    Raises:
        BaseMismatchError: the copy refers to other values.
        CopyError: it is damaged or too large.
    """
    try:
        encoded = msgspec.msgpack.decode(content, type=_EncodedCopy)
        base = _join(map(find_base, encoded.base_keys))
        if xxhash.xxh3_64_intdigest(base) != encoded.base_digest:
            raise BaseMismatchError('this host has other base values')
        plain = decompress(encoded.content, MAX_COPY_BYTES, base)
        copy = msgspec.msgpack.decode(plain, type=_Copy)
    except (msgspec.MsgspecError, CompressionError) as error:
        raise CopyError(str(error)) from error
    records = tuple(KeyedRecord(r.key, r.value, r.offset) for r in copy.records)
    return KeyedCopy(records, copy.end_offset, copy.whole)


def _join(values: Iterable[bytes]) -> bytes:
    return b''.join(values)
