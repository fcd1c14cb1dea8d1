"""What stand-ins of workers answer, so that each byte can be judged.

A request's target says how many events its stream has and from which seed
their ids are drawn. Each event names the run that made it.
"""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import random
import re
import urllib.parse
from collections.abc import Mapping

# Steps between the ids of two events at most.
_LARGEST_STEP = 5
# Events of a stream at which the version of the weights rises.
_WEIGHTS_CHANGE_EACH = 7
# Ends the target of a send that takes a stream up.
TAKEN_UP = '&taken-up=1'
# Further lines of data of a long event, and the tokens of each.
_LONG_LINES, _LONG_TOKENS = 8, 60
# Header fields of a request that stay as its caller wrote them.
_KEPT_HEADERS = ('x-model-name', 'x-token-usage', 'x-prompt-prefix')
_EVENT_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')


class EventForm(enum.StrEnum):
    """How the events of a stream are written.

    Attributes:
        PLAIN: a line with the id, then one with the data.
        CRLF: the same, with lines that end with CR and LF.
        CR: the same, with lines that end with CR.
        COMMENT: with a comment between the two lines.
        MORE_DATA: with a second line of data.
        ID_LAST: the id after the data.
        LONG: with many tokens in more lines of data.
    """

    PLAIN = 'plain'
    CRLF = 'crlf'
    CR = 'cr'
    COMMENT = 'comment'
    MORE_DATA = 'more-data'
    ID_LAST = 'id-last'
    LONG = 'long'


_LINE_END_BY_FORM = {EventForm.CRLF: '\r\n', EventForm.CR: '\r'}


@dataclasses.dataclass(frozen=True, slots=True)
class StreamText:
    """The events of one stream.

    Attributes:
        events: how many there are.
        seed: where their ids come from.
        form: how they are written.

    >>> text = StreamText(3, 7)
    >>> StreamText.parse(text.target('chat')) == text
    True
    >>> text.position(str(text.ids()[1]))
    2
    """

    events: int
    seed: int
    form: EventForm = EventForm.PLAIN

    @classmethod
    def parse(cls, target: str) -> StreamText:
        """Reads what a request's target says."""
        query = urllib.parse.parse_qs(target.partition('?')[2])
        return cls(
            int(query['events'][0]),
            int(query['seed'][0]),
            EventForm(query['form'][0]),
        )

    def target(self, route: str) -> str:
        """Returns the target of a request to a route."""
        return (
            f'/{route}/x?events={self.events}&seed={self.seed}&form={self.form}'
        )

    def ids(self) -> list[int]:
        """Returns the ids of the events, which rise by different steps."""
        rng = random.Random(self.seed)
        ids = [rng.randint(1, _LARGEST_STEP)]
        while len(ids) < self.events:
            ids.append(ids[-1] + rng.randint(1, _LARGEST_STEP))
        return ids

    def position(self, last_id: str) -> int:
        """Returns the number of events up to an id, 0 for none."""
        return self.ids().index(int(last_id)) + 1 if last_id else 0

    def event(
        self, position: int, run: str, offset: int = 0, last: int = 0
    ) -> bytes:
        """Returns an event.

        Args:
            position: its number; the first one has 1.
            run: the run that makes it.
            offset: version of the weights before the first event, from 0.
            last: the last position that it holds, 0 for no further one.
        """
        last = max(last, position)
        held = f'{position}-{last}' if last > position else str(position)
        lines = [f'id: {self.ids()[last - 1]}', f'data: {held} {run}']
        if self.form is EventForm.COMMENT:
            lines.insert(1, f': comment {position}')
        elif self.form is EventForm.MORE_DATA:
            lines.append('data: more')
        elif self.form is EventForm.LONG:
            lines += [f'data: {"token " * _LONG_TOKENS}'] * _LONG_LINES
        elif self.form is EventForm.ID_LAST:
            lines.reverse()
        if (
            last // _WEIGHTS_CHANGE_EACH
            > (position - 1) // _WEIGHTS_CHANGE_EACH
        ):
            version = find_version(last, offset)
            lines.insert(0, f'x-weight-versions: {version}')
        line_end = _LINE_END_BY_FORM.get(self.form, '\n')
        return line_end.join([*lines, '', '']).encode()


def find_version(position: int, offset: int) -> int:
    """Returns the version of the weights that make an event, from 1."""
    return offset + position // _WEIGHTS_CHANGE_EACH + 1


def split_events(body: bytes) -> tuple[list[bytes], bytes]:
    r"""Returns the whole events of a stream, and the bytes after them.

    >>> split_events(b'id: 1\n\nid: 2\n\nid')
    ([b'id: 1\n\n', b'id: 2\n\n'], b'id')
    >>> split_events(b'id: 1\r\n\r\nid: 2\r\n\r')
    ([b'id: 1\r\n\r\n'], b'id: 2\r\n\r')
    """
    ends = [match.end() for match in _EVENT_END.finditer(body)]
    begins = [0, *ends]
    events = [body[a:b] for a, b in zip(begins, ends, strict=False)]
    return events, body[begins[-1] :]


def hash_request(
    method: str, target: str, headers: Mapping[str, str], body: bytes
) -> str:
    """Returns a hash of what may not change between a caller and a worker.

    Args:
        method: the method.
        target: path and query.
        headers: header fields, names in lower case.
        body: the whole body.
    """
    fields = [headers.get(name, '') for name in _KEPT_HEADERS]
    text = '\n'.join([method, target, *fields])
    return hashlib.sha256(text.encode() + b'\n' + body).hexdigest()


def plain_body(request_id: str) -> bytes:
    """Returns the answer of a plain worker to a request."""
    return f'{request_id} '.encode() * 40
