"""Keeps large values of a stream that newer ones have replaced.

A copy of a new value is small if it can refer to the value that the other host
knows, which may be an earlier one.
"""

from __future__ import annotations

import collections

# Size from which a value is kept, bytes. Smaller ones are copied as they are.
MIN_VALUE_BYTES = 1_024
# Size of all kept values at most, bytes.
MAX_KEPT_BYTES = 2 * 1024 * 1024


class EarlierValues:
    """The last large values that were replaced, the oldest first."""

    __slots__ = ('_entries', '_kept_bytes')

    def __init__(self):
        self._entries: collections.deque[tuple[str, int, bytes]] = (
            collections.deque()
        )
        self._kept_bytes = 0

    def add(self, key: str, offset: int, value: bytes) -> None:
        """Keeps a value that has just been replaced.

        Args:
            key: its key.
            offset: offset of its record.
            value: the value.
        """
        if not MIN_VALUE_BYTES <= len(value) <= MAX_KEPT_BYTES:
            self._forget(key)
            return
        self._entries.append((key, offset, value))
        self._kept_bytes += len(value)
        while self._kept_bytes > MAX_KEPT_BYTES:
            _, _, oldest = self._entries.popleft()
            self._kept_bytes -= len(oldest)

    def find(self, key: str, offset: int) -> bytes:
        """Returns the value that a key had at an offset, b'' if not kept."""
        for kept_key, kept_offset, value in reversed(self._entries):
            if kept_key == key and kept_offset <= offset:
                return value
        return b''

    def _forget(self, key: str) -> None:
        """Removes older values, which would be found for a later offset."""
        if not any(kept_key == key for kept_key, _, _ in self._entries):
            return
        self._entries = collections.deque(
            entry for entry in self._entries if entry[0] != key
        )
        self._kept_bytes = sum(len(value) for _, _, value in self._entries)
