"""Compresses messages between hosts, also relative to bytes that both have."""

from __future__ import annotations

import zstandard

from mustardscale.exceptions import MustardscaleError

_LEVEL = 3


class CompressionError(MustardscaleError):
    """Content can't be decompressed."""


def compress(plain: bytes, base: bytes = b'') -> bytes:
    """Compresses bytes with Zstandard.

    Args:
        plain: the bytes.
        base: bytes that the receiver has, to which the result may refer.

    Returns:
        The compressed bytes.
    """
    compressor = zstandard.ZstdCompressor(
        level=_LEVEL, dict_data=_make_dictionary(base)
    )
    return compressor.compress(plain)


def decompress(content: bytes, max_bytes: int, base: bytes = b'') -> bytes:
    """Decompresses bytes.

    Args:
        content: the result of compress().
        max_bytes: limit of the decompressed size, bytes.
        base: the same bytes that compress() was given. Other bytes are not
            detected here; the caller must compare them.

    Returns:
        The decompressed bytes.

    Raises:
        CompressionError: the content is not a valid frame, or exceeds
            max_bytes.
    """
    decompressor = zstandard.ZstdDecompressor(dict_data=_make_dictionary(base))
    try:
        # max_output_size has no effect on a frame that states its size.
        if zstandard.frame_content_size(content) > max_bytes:
            raise CompressionError('the content is too large')
        return decompressor.decompress(content, max_output_size=max_bytes)
    except zstandard.ZstdError as error:
        raise CompressionError(str(error)) from error


def _make_dictionary(base: bytes) -> zstandard.ZstdCompressionDict | None:
    if not base:
        return None
    return zstandard.ZstdCompressionDict(
        base, dict_type=zstandard.DICT_TYPE_RAWCONTENT
    )
