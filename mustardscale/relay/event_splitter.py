"""Splits a stream of server-sent events without changing its bytes."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable

from mustardscale.relay.byte_order_mark import ByteOrderMark
from mustardscale.relay.event_ends import (
    EVENT_END,
    MAX_EVENT_END_BYTES,
    count_ends,
)
from mustardscale.relay.event_order import EventOrder

# Maximum bytes of one event.
MAX_EVENT_BYTES = 262_144
# Stands for the id of an event that was discarded and has none.
NO_ID = 'without an id'
_DATA = re.compile(rb'(?:^|[\r\n])data(?:[:\r\n])')
_EVENT_ID = re.compile(rb'(?:^|[\r\n])id:[ ]?([^\r\n]*)')
# Ids that no header can carry unchanged: control characters, outer spaces, and
# bytes that are not UTF-8, which are decoded as surrogates.
_UNSENDABLE = re.compile('[\x00-\x1f\x7f\ud800-\udfff]|^ | $')


class EventSplitter:
    r"""Collects the bytes of a stream until events are complete.

    An event whose id is out of order, and what follows it, is discarded. So is
    data without an id at the begin of a run that goes on with the stream, since
    nothing tells its place, and the byte order mark of such a run.

    Attributes:
        events: number of whole events so far.
        lacks_event: whether no event of the present run has had data or an id.
        out_of_order_id: id of the event that was discarded, NO_ID if it has
            none, '' if none was discarded.
        is_resumable: whether a run that goes on after last_id repeats nothing:
            no data came without an id, and each id would be known again.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b'id: 1\ndata: a\n\nid: 2\nda')
    b'id: 1\ndata: a\n\n'
    >>> splitter.feed(b'ta: b\n\n'), splitter.last_id, splitter.events
    (b'id: 2\ndata: b\n\n', '2', 2)
    >>> splitter.feed(b'id: 3\n\nid: 2\n\nid: 4\n\n')
    b'id: 3\n\n'
    >>> splitter.out_of_order_id, splitter.last_id
    ('2', '3')
    """

    __slots__ = (
        '_awaits_id',
        '_byte_order_mark',
        '_ended_by_cr',
        '_has_handed_out',
        '_order',
        '_partial',
        'events',
        'is_resumable',
        'lacks_event',
        'out_of_order_id',
    )

    def __init__(self, last_id: str = ''):
        """Begins before the first event, or after the one with a given id."""
        self.events = 0
        self.lacks_event = True
        self.out_of_order_id = ''
        self.is_resumable = True
        self._order = EventOrder(last_id)
        # Whether a run goes on after events and has brought no id yet.
        self._awaits_id = False
        self._partial = b''
        # Whether all bytes so far were whole events, the last one ended by CR.
        self._ended_by_cr = False
        self._byte_order_mark = ByteOrderMark()
        # Whether whole events of the stream were returned.
        self._has_handed_out = False

    @property
    def last_id(self) -> str:
        """Id of the last whole event with an id, or the one begun after."""
        return self._order.last_id

    @property
    def repeat_after(self) -> str | None:
        """Id after which a run brings the last whole event again.

        Returns:
            '' if it must begin anew. Where a stream was taken up and brought
            no event, the id that it was to go on after, since none before it
            is known. None if there is no such id.
        """
        repeat_after = self._order.previous_id
        if repeat_after is None:
            repeat_after = self._order.last_id or None
        if not self.is_resumable or repeat_after is None:
            return None
        return None if _UNSENDABLE.search(repeat_after) else repeat_after

    @property
    def partial(self) -> bytes:
        """The bytes after the last whole event."""
        mark = self._byte_order_mark
        if mark.is_present and self._has_handed_out:
            return self._partial
        return mark.taken + self._partial

    def feed(
        self, data: bytes, check: Callable[[bytes], None] | None = None
    ) -> bytes:
        """Adds the next bytes and returns the events that they complete.

        Args:
            data: the bytes.
            check: gets the events before they count. If it raises, none of them
                does.

        Raises:
            ValueError: an event is longer than MAX_EVENT_BYTES.
        """
        if self.out_of_order_id:
            return b''
        whole_events = self._split(self._byte_order_mark.take_off(data), check)
        if whole_events and not self._has_handed_out:
            self._has_handed_out = True
            return self._byte_order_mark.taken + whole_events
        return whole_events

    def _split(
        self, data: bytes, check: Callable[[bytes], None] | None
    ) -> bytes:
        """Adds bytes without a byte order mark."""
        if not data:
            return b''
        if self._ended_by_cr and data.startswith(b'\n'):
            self._ended_by_cr = False
            return b'\n' + self._split(data[1:], check)
        buffered = self._partial + data
        # The separator may have begun in the previous bytes.
        begin = max(0, len(self._partial) - MAX_EVENT_END_BYTES + 1)
        events, end = count_ends(buffered[begin:])
        end += begin if events else 0
        whole_events = buffered[:end]
        if check is not None and whole_events:
            check(whole_events)
        if not self._record_all(whole_events, events):
            ends = EVENT_END.finditer(buffered, begin)
            end = self._record_each(whole_events, map(re.Match.end, ends))
            if self.out_of_order_id:
                return buffered[:end]
        self._partial = buffered[end:]
        self._ended_by_cr = not self._partial and buffered.endswith(b'\r')
        if len(self._partial) > MAX_EVENT_BYTES:
            raise ValueError('an event is too long')
        return whole_events

    def _record_all(self, block: bytes, events: int) -> bool:
        """Records events in one step, since an engine may send very many.

        Returns:
            False, with nothing recorded, unless all ids are rising numbers.
        """
        if self._awaits_id:
            return False
        ids = list(_EVENT_ID.finditer(block)) if b'id:' in block else []
        searched_from = 0
        if ids:
            texts = [match.group(1) for match in ids]
            if not self._order.allows_all(texts):
                return False
            self._order.record(texts[-1].decode())
            if len(texts) > 1:
                self._order.previous_id = texts[-2].decode()
            self.is_resumable = self._order.is_complete
            self.lacks_event = False
            # With the line end that goes before the first field.
            searched_from = _find_end(block, ids[-1].end()) - 1
        if self.is_resumable and _has_data(block, searched_from):
            self.is_resumable = False
            self.lacks_event = False
        self.events += events
        return True

    def _record_each(self, block: bytes, ends: Iterable[int]) -> int:
        """Records events up to one that is out of order.

        Returns:
            The number of bytes that were recorded.
        """
        begin = 0
        for end in ends:
            event = block[begin:end]
            if not self._check_order(event):
                break
            self._record(event)
            begin = end
        return begin

    def check_partial(self) -> None:
        """Discards the bytes after the last whole event if out of order."""
        self._check_order(self._partial)

    def drop_partial(self, is_same: bool = False) -> None:
        """Discards what was not completed; the stream goes on elsewhere.

        Args:
            is_same: whether it goes on from the KV cache of the run before.
        """
        self._order.begin_run(is_same)
        self._awaits_id = self._awaits_id or not self.lacks_event
        self.lacks_event = True
        self._partial = b''
        self._ended_by_cr = False
        self._byte_order_mark = ByteOrderMark()
        self.out_of_order_id = ''

    def _record(self, event: bytes) -> None:
        event_id = _find_id(event)
        self._order.record(event_id)
        self.events += 1
        if event_id:
            self.is_resumable = (
                self._order.is_complete and _UNSENDABLE.search(event_id) is None
            )
            self.lacks_event = False
            self._awaits_id = False
        elif _has_data(event):
            self.is_resumable = False
            self.lacks_event = False

    def _check_order(self, event: bytes) -> bool:
        """Returns whether an event may follow, and discards it if not."""
        event_id = _find_id(event)
        if self._order.allows(event_id) and self._has_place(event, event_id):
            return True
        self.out_of_order_id = event_id or NO_ID
        self._partial = b''
        return False

    def _has_place(self, event: bytes, event_id: str) -> bool:
        """Returns whether it is known behind which event this one comes."""
        return bool(event_id) or not self._awaits_id or not _has_data(event)


def _has_data(block: bytes, begin: int = 0) -> bool:
    """Returns whether there is a data field after a position."""
    return b'data' in block and _DATA.search(block, begin) is not None


def _find_end(block: bytes, begin: int) -> int:
    """Returns where the event ends in which a position lies.

    Args:
        block: whole events.
        begin: the position, which is not between two line ends.
    """
    # The byte that shows the end of the last event may not belong to it.
    match = EVENT_END.search(block, begin)
    return match.end() if match is not None else len(block)


def _find_id(event: bytes) -> str:
    """Returns the id of an event, '' if it has none. The last line counts."""
    event_id = ''
    for match in _EVENT_ID.finditer(event):
        event_id = match.group(1).decode('utf-8', 'surrogateescape')
    return event_id
