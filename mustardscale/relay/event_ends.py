"""Finds where the events of a stream end."""

from __future__ import annotations

import re

# Two line ends, each CR LF, LF or CR, without a CR before the first LF. An LF
# after the last CR is part of it, so the event ends there only once another
# byte follows; a stream of CRs alone does not wait for that.
EVENT_END = re.compile(rb'\n(?:\r?\n|\r(?=[^\n]))|\r\r\n?')
MAX_EVENT_END_BYTES = 4
# What two line ends that follow each other have in their middle.
_PAIRS = (b'\n\n', b'\n\r', b'\r\r')
_LINE_ENDS = b'\r\n'


def count_ends(data: bytes) -> tuple[int, int]:
    r"""Counts the matches of EVENT_END in one step for all.

    An endpoint may send very many small events.

    Args:
        data: the bytes.

    Returns:
        The number of events that end, and the position after the last one, 0
        if there is none.

    >>> count_ends(b'data: a\n\n\r\ndata: b\n\r\ndata')
    (2, 21)
    >>> count_ends(b'data: a\n\r')
    (0, 0)
    """
    if data.endswith(b'\n\r'):
        # An LF may follow.
        data = data[:-1]
    events = _normalize(data).count(b'\n\n')
    if not events:
        return 0, 0
    begin, end = _find_last_run(data)
    if len(_normalize(data[begin:end])) % 2:
        # The last line end of the run belongs to the next event.
        end -= 2 if data.endswith(b'\r\n', begin, end) else 1
    return events, end


def _normalize(data: bytes) -> bytes:
    """Returns bytes with LF for each line end."""
    if b'\r' not in data:
        return data
    return data.replace(b'\r\n', b'\n').replace(b'\r', b'\n')


def _find_last_run(data: bytes) -> tuple[int, int]:
    """Returns begin and end of the last two or more line ends in a row."""
    pairs = _PAIRS if b'\r' in data else _PAIRS[:1]
    end = max(map(data.rfind, pairs)) + 2
    if data.startswith(b'\n', end) and data[end - 1 : end] == b'\r':
        end += 1
    return len(data[:end].rstrip(_LINE_ENDS)), end
