"""Keeps the last tokens of delivered answers for callers that lost them.

An answer counts as delivered once it is written to the caller's connection.
The connection may break before the caller has read it; the caller then resumes
the request and gets the missing tokens from here.
"""

from __future__ import annotations

import asyncio
import dataclasses
import sys
from collections.abc import Sequence

from mustardscale.peers.peer_messages import StreamReleaseReply

# Maximum number of tokens that are kept of one answer.
MAX_TAIL_TOKENS = 16_384
# Size of a tuple's reference to a token's text, bytes.
_REFERENCE_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class KeptAnswerLimits:
    """Limits on how long and in how much memory answers are kept.

    Attributes:
        keep_s: seconds for which an answer is kept.
        max_bytes: bytes that all kept answers together may occupy.
    """

    keep_s: float = 30.0
    max_bytes: int = 16 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class KeptAnswer:
    """The last tokens of a delivered answer.

    Attributes:
        first_index: index of the first token kept.
        texts: the tokens' texts.
        finish_reason: why the answer ended.
        delivered_at: loop time at which the last token was last sent to a
            caller.
    """

    first_index: int
    texts: tuple[str, ...]
    finish_reason: str
    delivered_at: float

    def rest_from(self, index: int) -> tuple[str, ...]:
        """Returns the tokens from an index on.

        The result is empty if the first of these tokens is no longer kept.

        >>> KeptAnswer(3, ('a', 'b'), 'stop', 0.0).rest_from(4)
        ('b',)
        >>> KeptAnswer(3, ('a', 'b'), 'stop', 0.0).rest_from(2)
        ()
        """
        if index < self.first_index:
            return ()
        return self.texts[index - self.first_index :]


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    """A kept answer with its size in bytes."""

    answer: KeptAnswer
    size: int


class KeptAnswers:
    """The answers that this host delivered recently.

    Answers older than the time limit are removed, and the oldest ones while
    all together exceed the size limit.

    Attributes:
        size: bytes that the answers occupy.
    """

    __slots__ = ('_entry_by_request_id', '_limits', 'size')

    def __init__(self, limits: KeptAnswerLimits):
        self._limits = limits
        self._entry_by_request_id: dict[str, _Entry] = {}
        self.size = 0

    def add(self, request_id: str, answer: KeptAnswer) -> None:
        """Keeps an answer and removes the oldest ones beyond the limits."""
        self._remove(request_id)
        texts = answer.texts[-MAX_TAIL_TOKENS:]
        first_index = answer.first_index + len(answer.texts) - len(texts)
        tail = dataclasses.replace(answer, first_index=first_index, texts=texts)
        size = sum(sys.getsizeof(text) + _REFERENCE_BYTES for text in texts)
        self._entry_by_request_id[request_id] = _Entry(tail, size)
        self.size += size
        self.expire()

    def find(self, request_id: str) -> KeptAnswer | None:
        """Returns the kept tail of an answer, None if there is none."""
        self.expire()
        entry = self._entry_by_request_id.get(request_id)
        if entry is None or self._is_expired(entry):
            return None
        return entry.answer

    def expire(self) -> None:
        """Removes the oldest answers beyond the limits."""
        for request_id, entry in list(self._entry_by_request_id.items()):
            if (
                not self._is_expired(entry)
                and self.size <= self._limits.max_bytes
            ):
                return
            self._remove(request_id)

    def _is_expired(self, entry: _Entry) -> bool:
        now = asyncio.get_running_loop().time()
        return now - entry.answer.delivered_at > self._limits.keep_s

    def _remove(self, request_id: str) -> None:
        entry = self._entry_by_request_id.pop(request_id, None)
        if entry is not None:
            self.size -= entry.size


def make_kept_reply(kept: KeptAnswer, released: bool) -> StreamReleaseReply:
    """Builds a reply that carries a kept answer.

    Args:
        kept: the answer.
        released: whether this host has stopped serving the request because of
            the call that is answered.
    """
    return StreamReleaseReply(
        released,
        kept.texts,
        done=True,
        first_index=kept.first_index,
        finish_reason=kept.finish_reason,
        age_s=asyncio.get_running_loop().time() - kept.delivered_at,
    )


def find_latest_answer(
    replies: Sequence[StreamReleaseReply | None],
) -> KeptAnswer | None:
    """Returns the most recently delivered answer among some replies.

    The age in a reply is taken as the age on arrival, so the answer looks
    younger than it is by the time that the reply took.
    """
    found = [
        reply
        for reply in replies
        if reply is not None and reply.done and reply.finish_reason
    ]
    if not found:
        return None
    reply = min(found, key=lambda reply: reply.age_s)
    now = asyncio.get_running_loop().time()
    return KeptAnswer(
        reply.first_index,
        reply.emitted,
        reply.finish_reason,
        now - reply.age_s,
    )
