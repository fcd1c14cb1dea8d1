"""Keeps a stream from going on with older weights."""

from __future__ import annotations

import re

from mustardscale.exceptions import EndpointFailedError
from mustardscale.relay.event_ends import EVENT_END
from mustardscale.relay.relay_messages import AnswerHead

# Time for which the version that an engine stated counts, seconds.
KNOWN_S = 30.0
# Engines whose version is known at most.
MAX_ENGINES = 10_000
# Digits of a version that is read. More are taken for no version.
_MAX_DIGITS = 18
# A line that makes an event of what would be a comment without it.
_EVENT_FIELD = re.compile(rb'(?:^|[\r\n])(?:data|id)[:\r\n]')


class EngineWeights:
    """The versions of the weights that engines stated to this host.

    >>> weights = EngineWeights()
    >>> weights.record('e', 2, now=0.0)
    >>> weights.find_older(3, now=1.0), weights.find_older(2, now=1.0)
    (['e'], [])
    >>> weights.find_older(3, now=KNOWN_S + 1.0)
    []
    """

    __slots__ = ('_stated_by_id',)

    def __init__(self) -> None:
        # Version and loop time by engine, the one stated last at the end.
        self._stated_by_id: dict[str, tuple[int, float]] = {}

    def record(self, engine_id: str, version: int, now: float) -> None:
        """Records what an engine states, 0 if it states nothing."""
        self._stated_by_id.pop(engine_id, None)
        if version:
            self._stated_by_id[engine_id] = version, now
        if len(self._stated_by_id) > MAX_ENGINES:
            del self._stated_by_id[next(iter(self._stated_by_id))]

    def find_older(self, version: int, now: float) -> list[str]:
        """Returns the engines that stated an older version lately."""
        return [
            engine_id
            for engine_id, (stated, at) in self._stated_by_id.items()
            if stated < version and now - at <= KNOWN_S
        ]


class WeightsOrder:
    r"""The version of the weights that wrote a stream so far.

    Engines state it in the head of an answer, and as a first line of each event
    at which it changes. Within a run an engine may change it to any other one.
    What the head of a later run states counts from its first event on, unless
    that event states another version.

    Attributes:
        version: the version stated last to the caller, 0 if none was.

    >>> order = WeightsOrder('Weights')
    >>> order.begin(AnswerHead(200, (('weights', '3'),)))
    >>> order.record(b'id: 1\n\nweights: 4\nid: 2\n\n')
    >>> order.version
    4
    >>> order.begin(AnswerHead(200, (('weights', '3'),)))
    Traceback (most recent call last):
      ...
    mustardscale.exceptions.EndpointFailedError: weights of version 3 after 4
    """

    __slots__ = (
        '_checks_events',
        '_field',
        '_has_begun',
        '_line',
        '_of_run',
        'version',
    )

    def __init__(self, field: str):
        """Prepares the order.

        Args:
            field: name under which engines state the version, '' if they
                do not.
        """
        self.version = 0
        # What the head of the run states until its first event, 0 if nothing.
        self._of_run = 0
        self._has_begun = False
        # Whether a later run has brought no event yet.
        self._checks_events = False
        self._field = field.lower()
        name = re.escape(self._field.encode())
        self._line = re.compile(
            rb'(?:^(?:\xef\xbb\xbf)?|[\r\n])%b:[ ]?([0-9]{1,%d})(?![0-9])'
            % (name, _MAX_DIGITS)
        )

    def begin(self, head: AnswerHead) -> None:
        """Begins a run.

        Raises:
            EndpointFailedError: it states an older version than the stream has.
        """
        version = self.read(head)
        if version:
            self._require(version)
        self._of_run = version
        if not self._has_begun:
            # The caller gets the head of the first run.
            self.version = version
        self._checks_events = self._has_begun
        self._has_begun = True

    def check(self, events: bytes) -> None:
        """Requires that whole events may reach the caller.

        Raises:
            EndpointFailedError: they begin a run that goes on with the stream,
                and the first one states an older version than the stream has.
        """
        if not self._checks_events:
            return
        for match in self._line.finditer(events[: _find_first_end(events)]):
            self._require(int(match.group(1)))

    def _require(self, version: int) -> None:
        if version < self.version:
            raise EndpointFailedError(
                f'weights of version {version} after {self.version}'
            )

    def record(self, events: bytes) -> None:
        """Records the version that whole events of the run state."""
        if self._checks_events and _EVENT_FIELD.search(events):
            self._checks_events = False
            self.version = self._of_run or self.version
        if not self._field or self._field.encode() not in events:
            return
        for match in self._line.finditer(events):
            self.version = int(match.group(1))
            self._of_run = 0

    def read(self, head: AnswerHead) -> int:
        """Returns the version that a head states, 0 if none."""
        for name, value in head.headers:
            text = value.strip()
            if (
                name.lower() == self._field
                and text.isascii()
                and text.isdigit()
                and len(text) <= _MAX_DIGITS
            ):
                return int(text)
        return 0


def _find_first_end(events: bytes) -> int:
    """Returns where the first event ends, without comments before it."""
    field = _EVENT_FIELD.search(events)
    end = EVENT_END.search(events, field.end() - 1) if field else None
    return end.end() if end else len(events)
