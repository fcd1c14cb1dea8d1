"""Decodes server-sent events; fields other than data are ignored."""

from __future__ import annotations

# Longest line accepted, in bytes.
MAX_LINE_BYTES = 256 * 1024

_DATA = b'data:'


class EventStreamError(Exception):
    """The stream cannot be decoded."""


class EventStreamDecoder:
    r"""Splits a byte stream into the data of its events.

    >>> decoder = EventStreamDecoder()
    >>> decoder.feed(b'data: a\n\nda')
    [b'a']
    >>> decoder.feed(b'ta: b\n\n')
    [b'b']
    """

    __slots__ = ('_max_line_bytes', '_partial_line')

    def __init__(self, max_line_bytes: int = MAX_LINE_BYTES):
        self._max_line_bytes = max_line_bytes
        self._partial_line = b''

    def feed(self, chunk: bytes) -> list[bytes]:
        """Takes the next bytes and returns the data of all complete lines.

        Raises:
            EventStreamError: a line is longer than max_line_bytes.
        """
        lines = (self._partial_line + chunk).split(b'\n')
        self._partial_line = lines.pop()
        if max(map(len, lines), default=0) > self._max_line_bytes:
            raise EventStreamError('line too long')
        if len(self._partial_line) > self._max_line_bytes:
            raise EventStreamError('line too long')
        return [
            line[len(_DATA) :].strip()
            for line in lines
            if line.startswith(_DATA)
        ]


def encode_event(data: bytes) -> bytes:
    r"""Returns the bytes of an event.

    >>> encode_event(b'a')
    b'data: a\n\n'
    """
    return b'data: ' + data + b'\n\n'
