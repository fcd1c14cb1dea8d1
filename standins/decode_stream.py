"""One stream on the decode side of the model engine stand-in."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import AsyncGenerator

from mustardscale.endpoints.engines import (
    DecodeCall,
    StreamInfo,
    StreamStage,
    TokenEvent,
)
from standins.expected_answers import expected_tokens

FINISH_STOP = 'stop'
FINISH_LENGTH = 'length'
FINISH_CANCELLED = 'cancelled'
FINISH_PREEMPTED = 'preempted'


@dataclasses.dataclass(slots=True, eq=False)
class DecodeStream:
    """A stream from its import to the end of its time to be resumed.

    The tokens are worked out from the prompt's fingerprint when they are
    read, so the stream itself only keeps indices.

    Attributes:
        call: what was asked for.
        length: index at which the answer ends.
        next_index: index of the next token to generate.
        visible_index: tokens below this index were sent to readers.
        stage: TRANSFER, DECODE or FINISHED.
        pieces: memory pieces held.
        started_at: loop time at which the stream came, seconds.
        finish_reason: '' until it has ended.
        error: why it ended without tokens, or None.
        importing: the task that imports the KV cache, while it runs.
        changed: set and replaced whenever a reader has something to read.
    """

    call: DecodeCall
    length: int
    next_index: int
    visible_index: int
    started_at: float
    stage: StreamStage = StreamStage.TRANSFER
    pieces: int = 0
    finish_reason: str = ''
    error: Exception | None = None
    importing: asyncio.Task[None] | None = None
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def rank(self) -> tuple[int, float]:
        """Order in which streams are preempted, the greatest first."""
        return (self.call.priority, self.started_at)

    @property
    def remaining(self) -> int:
        """Tokens still to generate."""
        return max(0, self.length - self.next_index)

    def info(self) -> StreamInfo:
        """Describes the stream."""
        return StreamInfo(
            self.call.tag, self.stage, self.pieces, self.next_index
        )

    def pieces_needed(self, piece_tokens: int) -> int:
        """Pieces that the prompt and the tokens so far fill."""
        tokens = self.call.prompt.tokens + self.next_index
        return -(-tokens // piece_tokens)

    def advance(self, steps: int, tokens_per_event: int) -> None:
        """Generates tokens and shows them once enough are gathered."""
        self.next_index += min(steps, self.remaining)
        hidden = self.next_index - self.visible_index
        first = self.visible_index == self.call.first_index
        if hidden and (first or hidden >= tokens_per_event):
            self._show()

    def finish(self, reason: str) -> None:
        """Ends the stream; readers get what was generated so far."""
        self.stage = StreamStage.FINISHED
        self.finish_reason = reason
        self._show()

    def fail(self, error: Exception) -> None:
        """Ends the stream with an error for every reader."""
        self.stage = StreamStage.FINISHED
        self.error = error
        self._show()

    async def follow(
        self, from_index: int, tokens_per_event: int
    ) -> AsyncGenerator[TokenEvent, None]:
        """Yields the tokens from an index on, up to the finishing event.

        Raises:
            EndpointRefusedError: the KV cache could not be imported.
            EndpointFailedError: the engine crashed.
        """
        index = from_index
        while True:
            if self.error is not None:
                raise self.error
            stop = min(self.visible_index, index + tokens_per_event)
            last = bool(self.finish_reason) and stop >= self.visible_index
            if stop > index or last:
                yield self._event(index, max(stop, index), last)
                index = max(stop, index)
                if last:
                    return
                continue
            await self.changed.wait()

    def _event(self, start: int, stop: int, last: bool) -> TokenEvent:
        texts = expected_tokens(self.call.prompt.fingerprint, start, stop)
        reason = self.finish_reason if last else ''
        tag = self.call.tag
        return TokenEvent(tag.request_id, tag.attempt, start, texts, reason)

    def _show(self) -> None:
        self.visible_index = self.next_index
        self.changed.set()
        self.changed = asyncio.Event()
