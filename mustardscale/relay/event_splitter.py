"""Splits a stream of server-sent events without changing its bytes."""

from __future__ import annotations

import re

# Maximum bytes of one event.
MAX_EVENT_BYTES = 262_144
_EVENT_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_MAX_EVENT_END_BYTES = 4
_EVENT_ID = re.compile(rb'[\r\n]?id:[ ]?([^\r\n]*)')


class EventSplitter:
    r"""Collects the bytes of a stream until events are complete.

    Attributes:
        events: number of whole events so far.
        last_id: id of the last whole event with an id.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b'id: 1\ndata: a\n\nid: 2\nda')
    b'id: 1\ndata: a\n\n'
    >>> splitter.feed(b'ta: b\n\n'), splitter.last_id, splitter.events
    (b'id: 2\ndata: b\n\n', '2', 2)
    """

    __slots__ = ('_partial', 'events', 'last_id')

    def __init__(self):
        self.events = 0
        self.last_id = ''
        self._partial = b''

    @property
    def partial(self) -> bytes:
        """The bytes after the last whole event."""
        return self._partial

    def feed(self, data: bytes) -> bytes:
        """Adds the next bytes and returns the events that they complete.

        Raises:
            ValueError: an event is longer than MAX_EVENT_BYTES.
        """
        buffered = self._partial + data
        # The separator may have begun in the previous bytes.
        begin = max(0, len(self._partial) - _MAX_EVENT_END_BYTES + 1)
        ends = [match.end() for match in _EVENT_END.finditer(buffered, begin)]
        end = ends[-1] if ends else 0
        self.events += len(ends)
        self._read_last_id(buffered[:end])
        self._partial = buffered[end:]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise ValueError('an event is too long')
        return buffered[:end]

    def drop_partial(self) -> None:
        """Discards the bytes of an event that will not be completed."""
        self._partial = b''

    def _read_last_id(self, events: bytes) -> None:
        """Sets the id to that of the last event that has one.

        Only the last id is parsed, since an engine may send very many events.
        """
        begin = max(events.rfind(b'\nid:'), events.rfind(b'\rid:'))
        match = _EVENT_ID.match(events, max(0, begin))
        if match:
            self.last_id = match.group(1).decode('latin-1')
