"""An engine in the same process, behind a simulated network."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncGenerator, Callable

from mustardscale.endpoints.engines import (
    CacheEvent,
    DecodeCall,
    Engine,
    EngineOrder,
    LoadReport,
    PrefillCall,
    PrefillResult,
    StreamInfo,
    TokenEvent,
)
from mustardscale.exceptions import (
    EndpointFailedError,
    EndpointUnreachableError,
)
from standins.engine_model import EngineModel


def _always() -> bool:
    return True


class InProcessEngine(Engine):
    """Calls an engine model as one host does over the network."""

    def __init__(
        self,
        model: EngineModel,
        delay_s: float = 0.0005,
        reachable: Callable[[], bool] = _always,
    ):
        """Connects to a model.

        Args:
            model: the engine.
            delay_s: network delay one way, seconds.
            reachable: whether packets pass between the caller's host and the
                engine at this moment.
        """
        self._model = model
        self._delay_s = delay_s
        self._reachable = reachable

    async def prefill(self, call: PrefillCall) -> PrefillResult:
        """Computes a prompt's KV cache."""
        await self._send()
        result = await self._model.prefill(call)
        await self._receive()
        return result

    async def decode(
        self, call: DecodeCall
    ) -> AsyncGenerator[TokenEvent, None]:
        """Imports a KV cache and yields tokens."""
        await self._send()
        events = self._carry(self._model.decode(call))
        async with contextlib.aclosing(events):
            async for event in events:
                yield event

    async def resume(
        self, request_id: str, attempt: int, from_index: int
    ) -> AsyncGenerator[TokenEvent, None]:
        """Yields the tokens of a stream from an index on."""
        await self._send()
        stream = self._model.resume(request_id, attempt, from_index)
        events = self._carry(stream)
        async with contextlib.aclosing(events):
            async for event in events:
                yield event

    async def cancel(self, request_id: str, attempt: int) -> None:
        """Frees whatever attempts up to this one hold."""
        await self._send()
        await self._model.cancel(request_id, attempt)
        await self._receive()

    async def streams(self) -> list[StreamInfo]:
        """Lists the streams held."""
        await self._send()
        streams = await self._model.streams()
        await self._receive()
        return streams

    async def report(self) -> LoadReport:
        """Reads the latest published load report."""
        await self._send()
        report = await self._model.report()
        await self._receive()
        return report

    async def cache_events(self, after: int) -> list[CacheEvent]:
        """Reads the cache events published after a sequence number."""
        await self._send()
        events = await self._model.cache_events(after)
        await self._receive()
        return events

    async def order(self, order: EngineOrder) -> None:
        """Asks the engine to reach a state."""
        await self._send()
        await self._model.order(order)
        await self._receive()

    async def _send(self) -> None:
        if not self._reachable():
            raise EndpointUnreachableError('no route to the engine')
        await asyncio.sleep(self._delay_s)

    async def _receive(self) -> None:
        await asyncio.sleep(self._delay_s)
        if not self._reachable():
            raise EndpointFailedError('the connection was lost')

    async def _carry(
        self, events: AsyncGenerator[TokenEvent, None]
    ) -> AsyncGenerator[TokenEvent, None]:
        finished = False
        async with contextlib.aclosing(events):
            async for event in events:
                await self._receive()
                finished = finished or bool(event.finish_reason)
                yield event
        if not finished:
            raise EndpointFailedError('the stream ended early')
