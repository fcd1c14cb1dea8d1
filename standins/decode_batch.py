"""Continuous batching of decode streams on the model engine stand-in."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from mustardscale.endpoints.engines import StreamStage
from standins.decode_stream import (
    FINISH_LENGTH,
    FINISH_PREEMPTED,
    FINISH_STOP,
    DecodeStream,
)
from standins.engine_parameters import (
    EngineCounters,
    EngineFaults,
    EngineParameters,
)
from standins.piece_memory import PieceMemory

# Part of a step that rounding of loop times may hide.
_ROUNDING = 1e-6


class DecodeBatch:
    """Advances all streams in common steps.

    Several steps are planned as one block when events gather several tokens;
    a stream that joins enters at the next step boundary.
    """

    def __init__(
        self,
        parameters: EngineParameters,
        faults: EngineFaults,
        counters: EngineCounters,
        memory: PieceMemory,
        on_end: Callable[[DecodeStream], None],
    ):
        """Creates an empty batch.

        Args:
            parameters: speeds.
            faults: the slow factor is read from it.
            counters: where tokens and preemptions are counted.
            memory: where pieces are taken from.
            on_end: called with each stream that ended by itself.
        """
        self._parameters = parameters
        self._faults = faults
        self._counters = counters
        self._memory = memory
        self._on_end = on_end
        self._streams: list[DecodeStream] = []
        self._joining: list[DecodeStream] = []
        self._timer: asyncio.TimerHandle | None = None
        self._block_started_at = 0.0
        self._block_steps = 0
        self._frozen = False
        self.step_s = parameters.step_base_s

    @property
    def active(self) -> int:
        """Number of streams in the batch."""
        return len(self._streams) + len(self._joining)

    def join(self, stream: DecodeStream) -> None:
        """Takes in a stream that holds its memory."""
        stream.stage = StreamStage.DECODE
        self._joining.append(stream)
        if self._timer is None:
            self._plan()
        else:
            self._end_block_at_next_step()

    def remove(self, stream: DecodeStream) -> None:
        """Takes out a stream and frees its memory."""
        if stream in self._streams:
            self._streams.remove(stream)
        if stream in self._joining:
            self._joining.remove(stream)
        pieces = stream.pieces
        stream.pieces = 0
        self._memory.release(pieces)

    def clear(self) -> list[DecodeStream]:
        """Takes out all streams, as in a crash, and returns them."""
        streams = self._streams + self._joining
        for stream in streams:
            self.remove(stream)
        self._stop_timer()
        return streams

    def freeze(self) -> None:
        """Halts all steps."""
        self._frozen = True
        self._stop_timer()

    def thaw(self) -> None:
        """Continues; the block that was under way begins again."""
        self._frozen = False
        self._plan()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _plan(self) -> None:
        if self._frozen or self._timer is not None:
            return
        self._streams += self._joining
        self._joining.clear()
        self._finish_complete()
        if not self._streams:
            return
        parameters = self._parameters
        step_s = parameters.step_base_s
        step_s += parameters.step_per_stream_s * len(self._streams)
        self.step_s = step_s * self._faults.slow_factor
        self._block_steps = min(map(self._steps_wanted, self._streams))
        loop = asyncio.get_running_loop()
        self._block_started_at = loop.time()
        block_s = self._block_steps * self.step_s
        self._timer = loop.call_later(block_s, self._end_block)

    def _steps_wanted(self, stream: DecodeStream) -> int:
        if stream.visible_index == stream.call.first_index:
            return 1
        hidden = stream.next_index - stream.visible_index
        wanted = self._parameters.tokens_per_event - hidden
        return max(1, min(wanted, stream.remaining))

    def _end_block_at_next_step(self) -> None:
        loop = asyncio.get_running_loop()
        elapsed_s = loop.time() - self._block_started_at
        steps = int(elapsed_s / self.step_s + _ROUNDING) + 1
        if steps >= self._block_steps:
            return
        self._stop_timer()
        self._block_steps = steps
        end = self._block_started_at + steps * self.step_s
        self._timer = loop.call_at(end, self._end_block)

    def _end_block(self) -> None:
        self._timer = None
        for stream in self._streams:
            before = stream.next_index
            stream.advance(self._block_steps, self._parameters.tokens_per_event)
            self._counters.tokens_emitted += stream.next_index - before
        self._finish_complete()
        for stream in list(self._streams):
            if stream.stage is StreamStage.DECODE:
                self._grow(stream)
        self._plan()

    def _finish_complete(self) -> None:
        for stream in [item for item in self._streams if not item.remaining]:
            at_limit = stream.length >= stream.call.max_tokens
            self._end(stream, FINISH_LENGTH if at_limit else FINISH_STOP)

    def _grow(self, stream: DecodeStream) -> None:
        needed = stream.pieces_needed(self._parameters.piece_tokens)
        while stream.pieces < needed:
            if self._memory.try_acquire(1):
                stream.pieces += 1
                continue
            victim = max(self._streams, key=lambda item: item.rank)
            self._preempt_for(victim, stream)
            if victim is stream:
                return

    def _preempt_for(self, victim: DecodeStream, grower: DecodeStream) -> None:
        self._counters.preempted += 1
        if victim is not grower and victim.pieces:
            # Handed over directly: imports that wait must not take it.
            victim.pieces -= 1
            grower.pieces += 1
        self._end(victim, FINISH_PREEMPTED)

    def _end(self, stream: DecodeStream, reason: str) -> None:
        self.remove(stream)
        stream.finish(reason)
        self._on_end(stream)
