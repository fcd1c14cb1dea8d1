"""Compresses what hosts send one another, also relative to known bytes."""

from __future__ import annotations

import zstandard

from mustardscale.exceptions import MustardscaleError

_LEVEL = 3


class CompressionError(MustardscaleError):
    """Content can't be decompressed."""


def compress(plain: bytes, known: bytes = b'') -> bytes:
    """Compresses bytes with Zstandard.

    Args:
        plain: the bytes.
        known: bytes that the receiver has, to which the result may refer.
    """
    compressor = zstandard.ZstdCompressor(
        level=_LEVEL, dict_data=_make_dictionary(known)
    )
    return compressor.compress(plain)


def decompress(content: bytes, max_bytes: int, known: bytes = b'') -> bytes:
    """Returns the bytes that were compressed.

    Args:
        content: the result of compress().
        max_bytes: size of the bytes at most.
        known: what compress() was given.

    Raises:
        CompressionError: the content is damaged, too large, or made relative
            to other bytes.
    """
    decompressor = zstandard.ZstdDecompressor(dict_data=_make_dictionary(known))
    try:
        if zstandard.frame_content_size(content) > max_bytes:
            raise CompressionError('the content is too large')
        return decompressor.decompress(content, max_output_size=max_bytes)
    except zstandard.ZstdError as error:
        raise CompressionError(str(error)) from error


def _make_dictionary(known: bytes) -> zstandard.ZstdCompressionDict | None:
    if not known:
        return None
    return zstandard.ZstdCompressionDict(
        known, dict_type=zstandard.DICT_TYPE_RAWCONTENT
    )
