"""A model of one engine, driven by the event loop's clock only.

It serves behind HTTP (standins.engine_server) and, under a paused clock,
inside the process of a test (standins.engine_inprocess).
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncGenerator, Callable

from mustardscale.endpoints.engines import (
    REFUSED_LEAVING,
    REFUSED_MEMORY,
    REFUSED_MODEL,
    CacheEvent,
    DecodeCall,
    EngineOrder,
    EngineRole,
    LoadReport,
    PrefillCall,
    PrefillResult,
    Prompt,
    StreamInfo,
    StreamStage,
    StreamTag,
    TokenEvent,
)
from mustardscale.exceptions import (
    EndpointFailedError,
    EndpointRefusedError,
    EndpointUnreachableError,
)
from standins.attempt_fence import AttemptFence
from standins.decode_side import DecodeSide
from standins.decode_stream import DecodeStream
from standins.engine_orders import ModelLoader, OrderDesk
from standins.engine_parameters import (
    WASTED_CANCELLED,
    WASTED_LOST,
    EngineCounters,
    EngineFaults,
    EngineParameters,
    EngineState,
)
from standins.event_faults import disturb
from standins.expected_answers import output_length
from standins.kv_source import KvSource
from standins.kv_store import KvStore, PickupLedger
from standins.load_reports import LaggedReports
from standins.piece_memory import PieceMemory
from standins.prefill_queue import PrefillQueue
from standins.prefix_cache import PrefixCache

# A prompt with this text crashes the engine that runs it.
CRASH_MARK = 'CRASH-ENDPOINT'


class EngineModel:
    """One engine; create it inside a running event loop.

    Its methods raise like those of mustardscale.endpoints.engines.Engine.

    Attributes:
        parameters: size and speed.
        faults: the faults switched on.
        counters: what was done.
        memory: memory in pieces.
        start: start number; a crash raises it.
        on_crash: called after a crash with the seconds that it is down.
    """

    def __init__(
        self,
        parameters: EngineParameters,
        kv_source: KvSource,
        length_of: Callable[[int, int], int] = output_length,
        load_model: ModelLoader | None = None,
        ledger: PickupLedger | None = None,
    ):
        """Starts the engine.

        Args:
            parameters: size and speed.
            kv_source: where KV caches are imported from.
            length_of: answer length by fingerprint and token limit.
            load_model: reads a model and version from the weight store.
            ledger: pick-ups of KV caches, shared by several engines.
        """
        self.parameters = parameters
        self.faults = EngineFaults()
        self.counters = EngineCounters()
        self.memory = PieceMemory(parameters.pieces_total)
        self.start = 1
        self.on_crash: Callable[[float], None] = lambda down_s: None
        self._random = random.Random(parameters.seed)
        self._down_until = 0.0
        self._thawed = asyncio.Event()
        self._thawed.set()
        self._fence = AttemptFence(parameters.remembered_requests)
        self._cache = PrefixCache(
            parameters.cache_blocks,
            parameters.cache_event_delay_s,
            parameters.cache_event_loss,
            self._random,
        )
        self._store = KvStore(
            parameters.link_bytes_per_s,
            self.counters,
            ledger or PickupLedger(),
            self.memory.release,
        )
        self._prefills = PrefillQueue(
            parameters,
            self.faults,
            self.counters,
            self.memory,
            self._cache,
            self._store,
            self._thawed,
            lambda call: self._crash_if_marked(call.prompt),
        )
        self._decodes = DecodeSide(
            parameters,
            self.faults,
            self.counters,
            self.memory,
            kv_source,
            self._thawed,
            length_of,
            lambda call: self._crash_if_marked(call.prompt),
        )
        self._orders = OrderDesk(
            parameters, self.counters, load_model, self._end_all_work
        )
        self._reports = LaggedReports(
            parameters.report_lag_s, self.current_report
        )

    async def prefill(self, call: PrefillCall) -> PrefillResult:
        """Computes a prompt's KV cache; it goes on when the caller leaves."""
        await self._answering()
        self._check_new_work(EngineRole.PREFILL, call.model)
        tokens = call.prompt.tokens + len(call.emitted)
        if tokens > self.parameters.pieces_total * self.parameters.piece_tokens:
            raise EndpointRefusedError(REFUSED_MEMORY)
        self._replace_lower_attempts(call.tag)
        self.counters.note_sampling(call.tag.request_id, call.sampling)
        for kept in self._store.kept_by_id.values():
            if kept.tag == call.tag:
                return kept.result
        start = self.start
        result = await asyncio.shield(self._prefills.submit(call))
        await self._thawed.wait()
        if self.start != start:
            raise EndpointFailedError('the engine crashed', crashed=True)
        return result

    async def decode(
        self, call: DecodeCall
    ) -> AsyncGenerator[TokenEvent, None]:
        """Imports a KV cache and yields tokens; goes on without a reader."""
        await self._answering()
        self._check_new_work(EngineRole.DECODE, call.model)
        self._replace_lower_attempts(call.tag)
        self.counters.note_sampling(call.tag.request_id, call.sampling)
        stream = self._decodes.start(call)
        events = self._follow(stream, call.first_index)
        async with contextlib.aclosing(events):
            async for event in events:
                yield event

    async def resume(
        self, request_id: str, attempt: int, from_index: int
    ) -> AsyncGenerator[TokenEvent, None]:
        """Yields the tokens of a stream from an index on."""
        await self._answering()
        stream = self._decodes.find(request_id, attempt)
        events = self._follow(stream, from_index)
        async with contextlib.aclosing(events):
            async for event in events:
                yield event

    async def cancel(self, request_id: str, attempt: int) -> None:
        """Frees whatever attempts up to this one hold."""
        await self._answering()
        self._fence.cancel(request_id, attempt)
        self._drop(request_id, attempt)
        if self.faults.lose_cancel_answers:
            raise EndpointFailedError('the answer to the cancel was lost')

    async def streams(self) -> list[StreamInfo]:
        """Lists what is held, at all stages."""
        await self._answering()
        return self.held_streams()

    @property
    def frozen(self) -> bool:
        """Whether the engine is halted."""
        return not self._thawed.is_set()

    def held_streams(self) -> list[StreamInfo]:
        """Lists what is held, also while the engine does not answer."""
        infos = [
            StreamInfo(
                work.call.tag, work.stage, work.pieces, len(work.call.emitted)
            )
            for work in self._prefills.work_by_tag.values()
        ]
        infos += [
            StreamInfo(kept.tag, StreamStage.KEPT, kept.pieces, 0)
            for kept in self._store.kept_by_id.values()
        ]
        held = self._decodes.stream_by_key.values()
        return infos + [stream.info() for stream in held]

    async def report(self) -> LoadReport:
        """Returns a load report that is some time old."""
        await self._answering()
        return self._reports.read()

    async def cache_events(self, after: int) -> list[CacheEvent]:
        """Returns the cache events published after a sequence number."""
        await self._answering()
        return self._cache.events(after)

    async def order(self, order: EngineOrder) -> None:
        """Accepts an order and carries it out afterwards."""
        await self._answering()
        self._orders.accept(order)
        if self.faults.lose_order_answers:
            raise EndpointFailedError('the answer to the order was lost')

    async def orders_settled(self) -> None:
        """Waits until the order accepted last is carried out."""
        await self._orders.settled()

    async def export_kv(
        self, kv_id: str, importer_bytes_per_s: float
    ) -> PrefillResult:
        """Carries a KV cache to another engine and lets it go."""
        await self._answering()
        return await self._store.export(kv_id, importer_bytes_per_s)

    def current_report(self) -> LoadReport:
        """Describes the load at this moment."""
        return LoadReport(
            role=self._orders.role,
            model=self._orders.model,
            model_version=self._orders.model_version,
            pieces_total=self.memory.total,
            pieces_free=self.memory.free,
            active=self._decodes.batch.active,
            queued_tokens=self._prefills.queued_tokens,
            prefill_tokens_per_s=self.parameters.prefill_tokens_per_s,
            step_s=self._decodes.batch.step_s,
            age_s=0.0,
            leaving=self.faults.leaving,
            start=self.start,
            order_term=self._orders.term,
            link_bytes_per_s=self._store.link_bytes_per_s,
            adapters=self._orders.adapters,
        )

    def state(self) -> EngineState:
        """Returns counters and memory in use, for judging."""
        return EngineState(
            self.counters,
            self.counters.prefill_tokens_wasted,
            self.memory.total - self.memory.free,
            self.start,
        )

    def kill(self, down_s: float | None = None) -> None:
        """Crashes the engine: everything is lost, then it starts anew.

        Args:
            down_s: seconds until it serves again, None for the settings'.
        """
        if down_s is None:
            down_s = self.parameters.restart_s
        self.counters.crashes += 1
        self.start += 1
        self._down_until = asyncio.get_running_loop().time() + down_s
        error = EndpointFailedError('the engine crashed', crashed=True)
        self._fence.clear()
        self._drop_all(error)
        self._orders.restart()
        self._reports.restart()
        self.on_crash(down_s)

    def _end_all_work(self) -> None:
        """Ends everything that was computed with the model unloaded now."""
        self.counters.cut_by_orders += sum(
            info.stage is not StreamStage.FINISHED
            for info in self.held_streams()
        )
        self._drop_all(EndpointFailedError('the model was unloaded'))

    def _drop_all(self, error: EndpointFailedError) -> None:
        self._prefills.fail_all(error)
        self._store.discard(lambda tag: True, WASTED_LOST)
        self._decodes.fail_all(error)
        self._cache.clear()

    def freeze(self) -> None:
        """Halts the engine; calls get no answer until it is thawed."""
        self._thawed.clear()
        self._decodes.batch.freeze()

    def thaw(self) -> None:
        """Lets a frozen engine go on."""
        self._thawed.set()
        self._decodes.batch.thaw()

    def stall_transfers(self, stalled: bool) -> None:
        """Halts or continues the exports of KV cache."""
        self.faults.transfers_stalled = stalled
        self._store.set_stalled(stalled)

    def set_link_rate(self, bytes_per_s: float) -> None:
        """Changes the rate of the link for transfers that begin later."""
        self.parameters.link_bytes_per_s = bytes_per_s
        self._store.link_bytes_per_s = bytes_per_s

    def set_report_lag(self, lag_s: float) -> None:
        """Changes the least age of load reports."""
        self._reports.set_lag(lag_s)

    def close(self) -> None:
        """Drops all work and stops the timers."""
        self._reports.close()
        self._orders.close()
        error = EndpointFailedError('the engine was closed')
        self._prefills.fail_all(error)
        self._decodes.fail_all(error)

    async def _answering(self) -> None:
        await self._thawed.wait()
        if asyncio.get_running_loop().time() < self._down_until:
            raise EndpointUnreachableError('the engine is down')

    def _check_new_work(self, role: EngineRole, model: str) -> None:
        if self.faults.leaving:
            raise EndpointRefusedError(REFUSED_LEAVING)
        if not self._orders.serves(role, model):
            raise EndpointRefusedError(REFUSED_MODEL)

    def _replace_lower_attempts(self, tag: StreamTag) -> None:
        self._fence.check(tag)
        self._drop(tag.request_id, tag.attempt - 1)

    def _drop(self, request_id: str, attempt: int) -> None:
        def matches(tag: StreamTag) -> bool:
            return tag.request_id == request_id and tag.attempt <= attempt

        self._prefills.cancel(matches)
        self._store.discard(matches, WASTED_CANCELLED)
        self._decodes.cancel(matches)

    def _crash_if_marked(self, prompt: Prompt) -> None:
        marked = prompt.fingerprint in self.faults.crash_fingerprints
        if marked or CRASH_MARK in prompt.text:
            self.kill()

    async def _follow(
        self, stream: DecodeStream, from_index: int
    ) -> AsyncGenerator[TokenEvent, None]:
        events = stream.follow(from_index, self.parameters.tokens_per_event)
        disturbed = disturb(events, self.faults, self._random)
        async with contextlib.aclosing(disturbed):
            async for event in disturbed:
                await self._thawed.wait()
                yield event
