"""The decode side of the model engine stand-in: imports and streams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from mustardscale.endpoints.engines import (
    REFUSED_KV_EVICTED,
    REFUSED_MEMORY,
    REFUSED_UNKNOWN_STREAM,
    DecodeCall,
    StreamStage,
    StreamTag,
)
from mustardscale.exceptions import (
    EndpointFailedError,
    EndpointRefusedError,
    EndpointUnreachableError,
)
from standins.decode_batch import DecodeBatch
from standins.decode_stream import FINISH_CANCELLED, DecodeStream
from standins.engine_parameters import (
    EngineCounters,
    EngineFaults,
    EngineParameters,
)
from standins.kv_source import KvSource
from standins.piece_memory import PieceMemory


class DecodeSide:
    """Holds the streams of an engine from import until forgotten."""

    def __init__(
        self,
        parameters: EngineParameters,
        faults: EngineFaults,
        counters: EngineCounters,
        memory: PieceMemory,
        kv_source: KvSource,
        thawed: asyncio.Event,
        length_of: Callable[[int, int], int],
        on_start: Callable[[DecodeCall], None],
    ):
        """Creates a side without streams.

        Args:
            parameters: sizes and speeds.
            faults: the faults switched on.
            counters: where work is counted.
            memory: where pieces are taken from.
            kv_source: where KV caches come from.
            thawed: set while the engine is not frozen.
            length_of: answer length by fingerprint and token limit.
            on_start: called before decoding begins; may crash the engine.
        """
        self._parameters = parameters
        self._counters = counters
        self._memory = memory
        self._kv_source = kv_source
        self._thawed = thawed
        self._length_of = length_of
        self._on_start = on_start
        self._inbound = asyncio.Lock()
        self.batch = DecodeBatch(
            parameters, faults, counters, memory, self._forget_later
        )
        self.stream_by_key: dict[tuple[str, int], DecodeStream] = {}

    def find(self, request_id: str, attempt: int) -> DecodeStream:
        """Returns a stream.

        Raises:
            EndpointRefusedError: there is none.
        """
        stream = self.stream_by_key.get((request_id, attempt))
        if stream is None:
            raise EndpointRefusedError(REFUSED_UNKNOWN_STREAM)
        return stream

    def start(self, call: DecodeCall) -> DecodeStream:
        """Starts to import a stream; the same attempt starts once.

        Raises:
            EndpointRefusedError: it can never fit into the memory.
        """
        key = (call.tag.request_id, call.tag.attempt)
        stream = self.stream_by_key.get(key)
        if stream is not None:
            return stream
        length = self._length_of(call.prompt.fingerprint, call.max_tokens)
        stream = DecodeStream(
            call=call,
            length=min(length, call.max_tokens),
            next_index=call.first_index,
            visible_index=call.first_index,
            started_at=asyncio.get_running_loop().time(),
        )
        if self._pieces_needed(stream) > self._memory.total:
            raise EndpointRefusedError(REFUSED_MEMORY)
        self.stream_by_key[key] = stream
        stream.importing = asyncio.create_task(self._import(stream))
        return stream

    def cancel(self, matches: Callable[[StreamTag], bool]) -> None:
        """Ends the running streams of matching attempts."""
        for stream in list(self.stream_by_key.values()):
            running = stream.stage is not StreamStage.FINISHED
            if running and matches(stream.call.tag):
                self._stop(stream)
                stream.finish(FINISH_CANCELLED)
                self._forget_later(stream)

    def fail_all(self, error: Exception) -> None:
        """Loses all streams, as in a crash."""
        streams = list(self.stream_by_key.values())
        self.stream_by_key.clear()
        for stream in streams:
            self._stop(stream)
            stream.fail(error)
        self.batch.clear()

    def _pieces_needed(self, stream: DecodeStream) -> int:
        return stream.pieces_needed(self._parameters.piece_tokens)

    def _stop(self, stream: DecodeStream) -> None:
        importing = stream.importing
        stream.importing = None
        self.batch.remove(stream)
        if importing is not None and importing is not asyncio.current_task():
            importing.cancel()

    async def _import(self, stream: DecodeStream) -> None:
        try:
            await self._reserve(stream)
            async with self._inbound:
                await self._kv_source.fetch(
                    stream.call, self._parameters.link_bytes_per_s
                )
            await self._thawed.wait()
        except (
            TimeoutError,
            EndpointRefusedError,
            EndpointUnreachableError,
            EndpointFailedError,
        ):
            self._refuse(stream)
            return
        self._begin(stream)

    async def _reserve(self, stream: DecodeStream) -> None:
        """Waits for memory, but not for longer than any result is kept."""
        pieces = self._pieces_needed(stream)
        async with asyncio.timeout(self._parameters.keep_s):
            await self._memory.acquire(pieces, stream.call.priority)
            stream.pieces = pieces

    def _begin(self, stream: DecodeStream) -> None:
        stream.importing = None
        request_id = stream.call.tag.request_id
        begun = self._counters.executions_by_request
        begun[request_id] = begun.get(request_id, 0) + 1
        self._on_start(stream.call)
        if stream.error is None:
            self.batch.join(stream)

    def _refuse(self, stream: DecodeStream) -> None:
        stream.importing = None
        self.batch.remove(stream)
        self._forget(stream)
        stream.fail(EndpointRefusedError(REFUSED_KV_EVICTED))

    def _forget_later(self, stream: DecodeStream) -> None:
        asyncio.get_running_loop().call_later(
            self._parameters.finished_keep_s, self._forget, stream
        )

    def _forget(self, stream: DecodeStream) -> None:
        key = (stream.call.tag.request_id, stream.call.tag.attempt)
        if self.stream_by_key.get(key) is stream:
            del self.stream_by_key[key]
