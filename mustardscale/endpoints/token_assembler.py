"""Restores the order of the token events of one attempt."""

from __future__ import annotations

import logging

from mustardscale.endpoints.engines import TokenEvent
from mustardscale.outcomes import Outcome

log = logging.getLogger(__name__)

# Maximum number of buffered tokens that wait for earlier ones.
MAX_WAITING_TOKENS = 4096


class TokenAssembler:
    """Accepts delayed, duplicated, reordered and foreign token events.

    Attributes:
        next_index: index of the next token to return.
        finish_reason: '' until the whole answer has been returned.
        dropped: number of events dropped, because they belong to another
            request or attempt, exceed the buffer or end before next_index.
    """

    __slots__ = (
        '_attempt',
        '_end_index',
        '_end_reason',
        '_max_waiting',
        '_request_id',
        '_text_by_index',
        'dropped',
        'finish_reason',
        'next_index',
    )

    def __init__(
        self,
        request_id: str,
        attempt: int,
        next_index: int = 0,
        max_waiting: int = MAX_WAITING_TOKENS,
    ):
        """Creates an assembler for one attempt.

        Args:
            request_id: the request's id.
            attempt: number of the attempt.
            next_index: index of the first token wanted.
            max_waiting: maximum number of buffered tokens that wait for
                earlier ones.
        """
        self._request_id = request_id
        self._attempt = attempt
        self._max_waiting = max_waiting
        self._text_by_index: dict[int, str] = {}
        self._end_index: int | None = None
        self._end_reason = ''
        self.next_index = next_index
        self.finish_reason = ''
        self.dropped = 0

    @property
    def has_gap(self) -> bool:
        """Returns whether tokens before buffered ones or the end are absent."""
        if self._text_by_index:
            return True
        return self._end_index is not None and not self.finish_reason

    def add(self, event: TokenEvent) -> tuple[str, ...]:
        """Takes an event and returns the tokens that are now in order."""
        if not self._belongs(event):
            self._drop(event)
            return ()
        if self.finish_reason:
            return ()
        if event.finish_reason and self._end_index is None:
            self._set_end(event)
        if not self._text_by_index and event.index == self.next_index:
            return self._hand_out_directly(event)
        self._buffer_texts(event)
        return self._hand_out()

    def _belongs(self, event: TokenEvent) -> bool:
        return (
            event.request_id == self._request_id
            and event.attempt == self._attempt
            and event.index >= 0
        )

    def _set_end(self, event: TokenEvent) -> None:
        end_index = event.index + len(event.texts)
        if end_index < self.next_index:
            self._drop(event)
            return
        self._end_index = end_index
        self._end_reason = event.finish_reason

    def _hand_out_directly(self, event: TokenEvent) -> tuple[str, ...]:
        texts = event.texts
        if self._end_index is not None:
            texts = texts[: self._end_index - event.index]
        self.next_index += len(texts)
        self._check_end()
        return texts

    def _buffer_texts(self, event: TokenEvent) -> None:
        limit = self.next_index + self._max_waiting
        if event.index + len(event.texts) > limit:
            self._drop(event)
            return
        for index, text in enumerate(event.texts, start=event.index):
            if index >= self.next_index:
                self._text_by_index.setdefault(index, text)

    def _hand_out(self) -> tuple[str, ...]:
        texts = []
        while self.next_index in self._text_by_index:
            if self.next_index == self._end_index:
                break
            texts.append(self._text_by_index.pop(self.next_index))
            self.next_index += 1
        self._check_end()
        return tuple(texts)

    def _check_end(self) -> None:
        if self.next_index == self._end_index:
            self.finish_reason = self._end_reason
            self._text_by_index.clear()

    def _drop(self, event: TokenEvent) -> None:
        self.dropped += 1
        log.warning(
            'token event dropped: request %s attempt %d index %d',
            event.request_id,
            event.attempt,
            event.index,
            extra={'code': int(Outcome.TOKEN_EVENT_DROPPED)},
        )
