"""Encodes copies of streams, compressed relative to what the receiver knows."""

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


class KnownValuesError(CopyError):
    """A copy refers to other values than the receiver knows."""


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
        known_keys: keys of these values; none for a copy that needs none.
        known_digest: hash of these values.
        content: the compressed copy.
    """

    known_keys: list[str]
    known_digest: int
    content: bytes


def encode_copy(copy: KeyedCopy, find_known: Callable[[str], bytes]) -> bytes:
    """Encodes a copy.

    Args:
        copy: the copy.
        find_known: returns the value of a key that the receiver knows, b'' for
            none.
    """
    known_by_key = {
        record.key: known
        for record in copy.records
        if record.value and (known := find_known(record.key))
    }
    known = _join(known_by_key.values())
    records = [_Record(r.key, r.value, r.offset) for r in copy.records]
    plain = msgspec.msgpack.encode(_Copy(records, copy.end_offset, copy.whole))
    encoded = _EncodedCopy(
        list(known_by_key),
        xxhash.xxh3_64_intdigest(known),
        compress(plain, known),
    )
    return msgspec.msgpack.encode(encoded)


def decode_copy(
    content: bytes, find_known: Callable[[str], bytes]
) -> KeyedCopy:
    """Decodes a copy.

    Args:
        content: the encoded copy.
        find_known: returns the value of a key that this host knew when it asked
            for the copy, b'' for none.

    Raises:
        KnownValuesError: the copy refers to other values.
        CopyError: it is damaged or too large.
    """
    try:
        encoded = msgspec.msgpack.decode(content, type=_EncodedCopy)
        known = _join(map(find_known, encoded.known_keys))
        if xxhash.xxh3_64_intdigest(known) != encoded.known_digest:
            raise KnownValuesError('other values are known here')
        plain = decompress(encoded.content, MAX_COPY_BYTES, known)
        copy = msgspec.msgpack.decode(plain, type=_Copy)
    except (msgspec.MsgspecError, CompressionError) as error:
        raise CopyError(str(error)) from error
    records = tuple(KeyedRecord(r.key, r.value, r.offset) for r in copy.records)
    return KeyedCopy(records, copy.end_offset, copy.whole)


def _join(values: Iterable[bytes]) -> bytes:
    return b''.join(values)
