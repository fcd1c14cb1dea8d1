"""Tells by a second run whether the first one came to its end."""

from __future__ import annotations

import enum

from mustardscale.endpoints.answer_framing import AnswerFraming
from mustardscale.exceptions import EndpointFailedError
from mustardscale.relay.event_splitter import EventSplitter
from mustardscale.relay.relay_endpoint import EndpointAnswer


class RepeatedEnd(enum.StrEnum):
    """Where a second run ended, compared with the first one.

    Attributes:
        SAME: at the same event, so that the first run was whole.
        LATER: behind it, so that the first run broke off.
        UNKNOWN: before it, or at an event that nothing compares with it.
    """

    SAME = 'same'
    LATER = 'later'
    UNKNOWN = 'unknown'


class NoRepeat(enum.StrEnum):
    """Why no second run shows where a stream ended.

    Attributes:
        ROUTE: the route allows none.
        IDS: no id tells where a second run would bring the last event again.
        DEADLINE: the deadline that the engine received may have passed.
        CLOSED: the engine takes no work.
        BUDGET: no retry is left.
        REFUSED: the engine did not begin to run it.
    """

    ROUTE = 'route'
    IDS = 'ids'
    DEADLINE = 'deadline'
    CLOSED = 'closed'
    BUDGET = 'budget'
    REFUSED = 'refused'


async def read_repeated_end(
    answer: EndpointAnswer, last_id: str, repeat_after: str
) -> RepeatedEnd:
    """Reads a second run and compares its end with that of the first one.

    A second run that begins before the last event of the first one must bring
    that event again, and shows nothing if it brings nothing. One that begins
    behind it shows by its length or last chunk that nothing is left.

    Args:
        answer: the answer of the second run.
        last_id: id of the last event of the first run, or the one that it was
            to go on after.
        repeat_after: id after which the second run begins.

    Raises:
        EndpointFailedError: it broke off before its end.
    """
    splitter = EventSplitter()
    reached = False
    async for data in answer.chunks():
        try:
            splitter.feed(data)
        except ValueError as error:
            raise EndpointFailedError(str(error)) from error
        if reached and splitter.last_id != last_id:
            return RepeatedEnd.LATER
        reached = splitter.last_id == last_id
    splitter.check_partial()
    if splitter.out_of_order_id:
        return RepeatedEnd.UNKNOWN
    if not splitter.last_id:
        is_empty = splitter.lacks_event and not splitter.partial
        is_framed = answer.framing is not AnswerFraming.CONNECTION
        if is_empty and is_framed and repeat_after == last_id:
            return RepeatedEnd.SAME
        return RepeatedEnd.UNKNOWN
    if splitter.partial or not splitter.is_resumable:
        return RepeatedEnd.LATER if reached else RepeatedEnd.UNKNOWN
    if reached:
        return RepeatedEnd.SAME
    return _compare(splitter.last_id, last_id)


def compare_bodies(first: bytes, second: bytes) -> RepeatedEnd:
    """Compares the contents of two plain answers to one request.

    >>> compare_bodies(b'ab', b'abc').value, compare_bodies(b'ab', b'a').value
    ('later', 'unknown')
    """
    if first == second:
        return RepeatedEnd.SAME
    if second.startswith(first):
        return RepeatedEnd.LATER
    return RepeatedEnd.UNKNOWN


def _compare(found_id: str, last_id: str) -> RepeatedEnd:
    """Compares the ids of the last events of two runs that differ."""
    if not (found_id.isdecimal() and last_id.isdecimal()):
        return RepeatedEnd.UNKNOWN
    is_later = int(found_id) > int(last_id)
    return RepeatedEnd.LATER if is_later else RepeatedEnd.UNKNOWN
