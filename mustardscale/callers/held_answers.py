"""The memory of whole answers that callers have not read yet."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
from collections.abc import Iterator

from aiohttp import web

from mustardscale.callers.caller_refusals import CallerRefusals

log = logging.getLogger(__name__)

# Seconds after which an unread answer ends if others need its memory.
UNREAD_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _HeldAnswer:
    request: web.BaseRequest
    size: int
    since: float


class HeldAnswers:
    """Counts answers from their start to the end of their sending.

    An answer comes from a request that ran, so that it can't be refused for
    want of memory; callers that have not read theirs for some time are cut off
    in its favour, the oldest first.

    Attributes:
        used: bytes of all answers that are being sent.
    """

    __slots__ = ('_answers', '_max_bytes', '_refusals', 'used')

    def __init__(self, max_bytes: int, refusals: CallerRefusals):
        self._max_bytes = max_bytes
        self._refusals = refusals
        # In the order of their start.
        self._answers: dict[_HeldAnswer, None] = {}
        self.used = 0

    def set_max(self, max_bytes: int) -> None:
        """Sets the limit for answers that begin from now on."""
        self._max_bytes = max_bytes

    @contextlib.contextmanager
    def hold(self, request: web.BaseRequest, size: int) -> Iterator[None]:
        """Counts an answer while it is sent.

        Args:
            request: the request that it answers.
            size: bytes.
        """
        now = asyncio.get_running_loop().time()
        self._make_room(size, now)
        answer = _HeldAnswer(request, size, now)
        self._answers[answer] = None
        self.used += size
        try:
            yield
        finally:
            self._drop(answer)

    def _make_room(self, size: int, now: float) -> None:
        while self._answers and self.used + size > self._max_bytes:
            oldest = next(iter(self._answers))
            if now - oldest.since < UNREAD_S:
                return
            log.info('caller cut off: others need the memory of its answer')
            self._refusals.answers_unread += 1
            if oldest.request.transport is not None:
                oldest.request.transport.abort()
            self._drop(oldest)

    def _drop(self, answer: _HeldAnswer) -> None:
        if answer in self._answers:
            del self._answers[answer]
            self.used -= answer.size


def body_size(response: web.StreamResponse) -> int:
    """Returns the size of an answer that is complete in memory, in bytes."""
    body = response.body if isinstance(response, web.Response) else None
    return len(body) if isinstance(body, bytes | bytearray) else 0
