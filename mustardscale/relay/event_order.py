"""Checks that the events of a stream neither repeat nor go back."""

from __future__ import annotations

import re

# Ids of more digits are compared as text, not as numbers.
MAX_NUMBER_DIGITS = 40
_NUMBER = re.compile(f'[0-9]{{1,{MAX_NUMBER_DIGITS}}}')


class EventOrder:
    """The place in a stream, given by the id of its last event.

    Attributes:
        last_id: id of the last event with an id, '' if there is none.

    >>> order = EventOrder('9')
    >>> order.allows('9'), order.allows('8'), order.allows('12')
    (False, False, True)
    """

    __slots__ = ('last_id',)

    def __init__(self, last_id: str = ''):
        self.last_id = last_id

    def allows(self, event_id: str) -> bool:
        """Returns whether an event may follow the last one.

        A number must be greater than the last one, any other id must differ
        from it. An event without an id ('') may always follow.
        """
        if not event_id:
            return True
        if _is_number(event_id) and _is_number(self.last_id):
            return int(event_id) > int(self.last_id)
        return event_id != self.last_id

    def allows_all(self, event_ids: list[bytes]) -> bool:
        """Returns whether events may follow that all have rising numbers.

        >>> EventOrder('9').allows_all([b'10', b'12'])
        True
        >>> EventOrder('9').allows_all([b'12', b'10'])
        False
        """
        if not all(map(bytes.isdigit, event_ids)):
            return False
        if max(map(len, event_ids)) > MAX_NUMBER_DIGITS:
            return False
        if self.last_id and not _is_number(self.last_id):
            return False
        numbers = list(map(int, event_ids))
        last = int(self.last_id) if self.last_id else -1
        return numbers[0] > last and numbers == sorted(set(numbers))

    def record(self, event_id: str) -> None:
        """Moves on to an event. One without an id ('') keeps the place."""
        if event_id:
            self.last_id = event_id


def _is_number(event_id: str) -> bool:
    return _NUMBER.fullmatch(event_id) is not None
