"""What stand-ins of workers answer, so that each byte can be judged.

A request's target says how many events its stream has and from which seed
their ids are drawn. Each event names the run that made it.
"""

from __future__ import annotations

import dataclasses
import random
import urllib.parse

# Steps between the ids of two events at most.
_LARGEST_STEP = 5
# Events of a stream at which the version of the weights rises.
_WEIGHTS_CHANGE_EACH = 7


@dataclasses.dataclass(frozen=True, slots=True)
class StreamText:
    """The events of one stream.

    Attributes:
        events: how many there are.
        seed: where their ids come from.

    >>> text = StreamText(3, 7)
    >>> StreamText.parse(text.target('chat')) == text
    True
    >>> text.position(str(text.ids()[1]))
    2
    """

    events: int
    seed: int

    @classmethod
    def parse(cls, target: str) -> StreamText:
        """Reads what a request's target says."""
        query = urllib.parse.parse_qs(target.partition('?')[2])
        return cls(int(query['events'][0]), int(query['seed'][0]))

    def target(self, route: str) -> str:
        """Returns the target of a request to a route."""
        return f'/{route}/x?events={self.events}&seed={self.seed}'

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

    def event(self, position: int, run: str) -> bytes:
        """Returns an event of a run; the first one has position 1."""
        event_id = self.ids()[position - 1]
        text = f'id: {event_id}\ndata: {position} {run}\n\n'
        if position % _WEIGHTS_CHANGE_EACH == 0:
            number = position // _WEIGHTS_CHANGE_EACH + 1
            text = f'x-weight-versions: {number}\n{text}'
        return text.encode()


def plain_body(request_id: str) -> bytes:
    """Returns the answer of a plain worker to a request."""
    return f'{request_id} '.encode() * 40
