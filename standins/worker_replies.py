"""What workers of the drawn run do beside sound answers, drawn with a share."""

from __future__ import annotations

import enum
import random

import msgspec

# Time after which a full worker lets callers come back, seconds.
RETRY_AFTER_S = 0.2
# Pauses in the middle of a stream: shorter and longer than the patience of
# callers, seconds, and the share of the longer ones.
SHORT_PAUSE_S = (0.2, 1.0)
LONG_PAUSE_S = (2.0, 4.5)
LONG_SHARE = 0.25
# Time for which a worker leaves a new connection unread, seconds.
UNREAD_S = (0.05, 1.2)
_NO_ANSWER = b'\x16\x03\x01 these bytes are no answer\r\n\r\n'
# Longest deadline that a worker lets pass without a head, milliseconds.
LONGEST_SILENCE_MS = 1_500


class Reply(enum.StrEnum):
    """What a worker answers to a request in place of its content.

    Attributes:
        FULL: 503; it has not run the request.
        LIMITED: 429; it has not run the request.
        FAILED: 500 of its own; it has run the request.
        FAILED_UNFRAMED: the same, ended by the connection only.
        TIMED_OUT: 504 of its own at the deadline; it has run the request.
        TIMED_OUT_UNFRAMED: the same, ended by the connection only.
        ENCODED: 200 with a content that is encoded; it has run the request.
        NO_ANSWER: bytes that are no answer; it has run the request.
    """

    FULL = '503 Full'
    LIMITED = '429 Limited'
    FAILED = '500 Failed'
    FAILED_UNFRAMED = '500 Failed unframed'
    TIMED_OUT = '504 Timed Out'
    TIMED_OUT_UNFRAMED = '504 Timed Out unframed'
    ENCODED = '200 Encoded'
    NO_ANSWER = '000 No Answer'

    @property
    def status(self) -> int:
        """The status of the answer, 0 if callers may get none with it."""
        if self is Reply.ENCODED:
            return 0
        return int(self.value[:3])

    @property
    def is_refusal(self) -> bool:
        """Whether the worker has not run the request."""
        return self in (Reply.FULL, Reply.LIMITED)

    @property
    def waits(self) -> bool:
        """Whether it comes at the deadline."""
        return self in (Reply.TIMED_OUT, Reply.TIMED_OUT_UNFRAMED)

    def make(self, request_id: str, signature: str) -> bytes:
        """Returns the bytes of the answer."""
        if self is Reply.NO_ANSWER:
            return _NO_ANSWER
        content = f'{self.value}\n'.encode()
        lines = [f'HTTP/1.1 {self.value}', f'X-Request-Id: {request_id}']
        if self.is_refusal:
            lines += ['X-Not-Executed: 1', f'Retry-After: {RETRY_AFTER_S}']
        else:
            lines.append(f'X-Response-Signature: {signature}')
        if self is Reply.ENCODED:
            lines.append('Content-Encoding: gzip')
        if not self.value.endswith('unframed'):
            lines.append(f'Content-Length: {len(content)}')
        return '\r\n'.join([*lines, '', '']).encode() + content


class ReplyShares(msgspec.Struct, frozen=True):
    """How often a worker does something else than to answer soundly.

    Attributes:
        replied: share of the requests that get a Reply.
        split: share of the events written in two parts, with a pause.
        paused: share of the streams with a pause in the middle.
        early: share of the answers that begin before the body is read.
        unread: share of the connections that are left unread for a time.
        closing: share of the answers with 'Connection: close'.
        kept: share of the connections kept for a next request.
        most_connections: connections beyond which new ones are reset, 0 for
            no limit.
    """

    replied: float = 0.0
    split: float = 0.0
    paused: float = 0.0
    early: float = 0.0
    unread: float = 0.0
    closing: float = 0.0
    kept: float = 0.0
    most_connections: int = 0


class ReplyDraws:
    """Draws what a worker does."""

    def __init__(self, shares: ReplyShares, seed: str):
        self._shares = shares
        self._rng = random.Random(seed)

    def draw_reply(self, left_ms: int) -> Reply | None:
        """Draws what a request gets in place of content, None for content.

        Args:
            left_ms: time to the deadline of the request.
        """
        if self._rng.random() >= self._shares.replied:
            return None
        reply = self._rng.choice(list(Reply))
        if reply.waits and left_ms > LONGEST_SILENCE_MS:
            return Reply.FAILED_UNFRAMED
        return reply

    def draw_pause_s(self) -> float:
        """Draws how long a stream pauses in its middle, 0 for not at all."""
        if self._rng.random() >= self._shares.paused:
            return 0.0
        is_long = self._rng.random() < LONG_SHARE
        return self._rng.uniform(*(LONG_PAUSE_S if is_long else SHORT_PAUSE_S))

    def draw_split(self, size: int) -> int:
        """Draws after how many bytes a part pauses, 0 for not at all."""
        if size < 2 or self._rng.random() >= self._shares.split:
            return 0
        return self._rng.randrange(1, size)

    def draw_unread_s(self) -> float:
        """Draws how long a connection is left unread, 0 for not at all."""
        if self._rng.random() >= self._shares.unread:
            return 0.0
        return self._rng.uniform(*UNREAD_S)

    def draw_early(self) -> bool:
        """Draws whether an answer begins before the body is read."""
        return self._rng.random() < self._shares.early

    def draw_closing(self) -> bool:
        """Draws whether an answer says 'Connection: close'."""
        return self._rng.random() < self._shares.closing

    def draw_kept(self) -> bool:
        """Draws whether a connection is kept for a next request."""
        return self._rng.random() < self._shares.kept

    def is_too_many(self, connections: int) -> bool:
        """Returns whether a worker with so many connections resets one."""
        return 0 < self._shares.most_connections < connections
