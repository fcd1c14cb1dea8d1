"""Checks that the events of a stream neither repeat nor go back."""

from __future__ import annotations

import array
import re

# Ids that are no numbers of which a stream keeps count at most.
MAX_NAMED = 10_000
# Ids of more digits are compared as text, not as numbers.
MAX_NUMBER_DIGITS = 40
_NUMBER = re.compile(f'[0-9]{{1,{MAX_NUMBER_DIGITS}}}')


class EventOrder:
    """The place in a stream, given by the ids of its events.

    A number must be greater than the last one. Nothing tells the order of other
    ids, so that one must differ from the last one and, in a run that goes on
    with the stream, from all that came before this run.

    Attributes:
        last_id: id of the last event with an id, '' if there is none.
        previous_id: id of the event before that one, '' if it is the first of
            the stream, None if there is no event or the id is not known.

    >>> order = EventOrder('9')
    >>> order.allows('9'), order.allows('8'), order.allows('12')
    (False, False, True)
    >>> order.record('a')
    >>> order.record('b')
    >>> order.begin_run()
    >>> order.allows('a'), order.allows('9'), order.allows('c')
    (False, False, True)
    """

    __slots__ = (
        '_hashes',
        '_highest',
        '_lower_limit',
        '_next_number',
        '_of_earlier_runs',
        'last_id',
        'previous_id',
    )

    def __init__(self, last_id: str = ''):
        """Begins before the first event, or after the one with a given id."""
        self.last_id = ''
        self.previous_id: str | None = None
        # Hashes, since an id may be as long as an event.
        self._hashes = array.array('q')
        self._of_earlier_runs: frozenset[int] = frozenset()
        self._highest = -1
        # The highest number that came before the present run.
        self._lower_limit = -1
        # The only number that may come next, None if others may.
        self._next_number: int | None = None
        self.record(last_id)
        self.previous_id = None
        self.begin_run()

    @property
    def is_complete(self) -> bool:
        """Whether each id that came before would be known again."""
        return len(self._hashes) <= MAX_NAMED

    def begin_run(self, is_same: bool = False) -> None:
        """Begins a run that goes on after the events so far.

        Args:
            is_same: whether it goes on from the KV cache of the run before. If
                the last number was one above the one before it, the next one
                must be one above it, too: a later one shows a lost event.
        """
        self._next_number = self._find_next_number() if is_same else None
        self._lower_limit = self._highest
        self._of_earlier_runs = frozenset(self._hashes)

    def allows(self, event_id: str) -> bool:
        """Returns whether an event may come next.

        An event without an id ('') always may.
        """
        if not event_id:
            return True
        if self._next_number is not None:
            return event_id == str(self._next_number)
        if _is_number(event_id):
            return int(event_id) > self._find_limit()
        if event_id == self.last_id:
            return False
        return hash(event_id) not in self._of_earlier_runs

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
        if self._next_number not in (None, numbers[0]):
            return False
        rises = numbers == sorted(set(numbers))
        return rises and numbers[0] > self._find_limit()

    def record(self, event_id: str) -> None:
        """Moves on to an event. One without an id ('') keeps the place."""
        if not event_id:
            return
        self._next_number = None
        self.previous_id = self.last_id
        self.last_id = event_id
        if _is_number(event_id):
            self._highest = max(self._highest, int(event_id))
        elif self.is_complete:
            self._hashes.append(hash(event_id))

    def _find_next_number(self) -> int | None:
        """Returns the number that must come next, None if not known."""
        previous = self.previous_id or '0'
        if self.previous_id is None or not _is_number(self.last_id):
            return None
        if not _is_number(previous) or int(self.last_id) - int(previous) != 1:
            return None
        return int(self.last_id) + 1

    def _find_limit(self) -> int:
        """Returns the number that the next one must exceed."""
        if _is_number(self.last_id):
            return max(int(self.last_id), self._lower_limit)
        return self._lower_limit


def _is_number(event_id: str) -> bool:
    return _NUMBER.fullmatch(event_id) is not None
