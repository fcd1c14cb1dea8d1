"""Keeps a stream from going on with older weights."""

from __future__ import annotations

import re

from mustardscale.exceptions import EndpointFailedError
from mustardscale.relay.relay_messages import AnswerHead

# Digits of a version that is read. More are taken for no version.
_MAX_DIGITS = 18


class WeightsOrder:
    r"""The version of the weights that wrote a stream so far.

    Engines state it in the head of an answer, and as a first line of each event
    at which it changes. Within a run an engine may change it to any other one.

    Attributes:
        version: the version stated last, 0 if none was.

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

    __slots__ = ('_field', '_line', 'version')

    def __init__(self, field: str):
        """Prepares the order.

        Args:
            field: name under which engines state the version, '' if they
                do not.
        """
        self.version = 0
        self._field = field.lower()
        name = re.escape(self._field.encode())
        self._line = re.compile(
            rb'(?:^|[\r\n])%b:[ ]?([0-9]{1,%d})(?![0-9])' % (name, _MAX_DIGITS)
        )

    def begin(self, head: AnswerHead) -> None:
        """Begins a run.

        Raises:
            EndpointFailedError: it states an older version than the stream has.
        """
        version = self.read(head)
        if not version:
            return
        if version < self.version:
            raise EndpointFailedError(
                f'weights of version {version} after {self.version}'
            )
        self.version = version

    def record(self, events: bytes) -> None:
        """Records the version that whole events of the run state."""
        if not self._field or self._field.encode() not in events:
            return
        for match in self._line.finditer(events):
            self.version = int(match.group(1))

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
