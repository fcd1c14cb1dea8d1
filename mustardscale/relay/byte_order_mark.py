"""Takes the byte order mark off the bytes of a run."""

from __future__ import annotations

_MARK = b'\xef\xbb\xbf'


class ByteOrderMark:
    r"""The byte order mark that may begin the bytes of a run.

    Attributes:
        taken: what was taken off so far: the mark, its first bytes until it is
            known whether they are the mark, or nothing.

    >>> mark = ByteOrderMark()
    >>> mark.take_off(b'\xef\xbb'), mark.take_off(b'\xbfid: 1')
    (b'', b'id: 1')
    >>> mark.is_present
    True
    """

    __slots__ = ('_is_decided', 'taken')

    def __init__(self) -> None:
        self.taken = b''
        self._is_decided = False

    @property
    def is_present(self) -> bool:
        """Whether the run began with a mark."""
        return self.taken == _MARK

    def take_off(self, data: bytes) -> bytes:
        """Returns the next bytes of the run without the mark."""
        if self._is_decided:
            return data
        begin = self.taken + data
        if begin.startswith(_MARK):
            self.taken = _MARK
            self._is_decided = True
            return begin[len(_MARK) :]
        if _MARK.startswith(begin):
            self.taken = begin
            return b''
        self.taken = b''
        self._is_decided = True
        return begin
