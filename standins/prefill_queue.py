"""The serial prefill queue of the model engine stand-in."""

from __future__ import annotations

import asyncio
import dataclasses
import heapq
import itertools
from collections.abc import Callable

from mustardscale.endpoints.engines import (
    REFUSED_STALE_ATTEMPT,
    PrefillCall,
    PrefillResult,
    StreamStage,
    StreamTag,
)
from mustardscale.exceptions import EndpointRefusedError
from standins.engine_parameters import (
    WASTED_CANCELLED,
    WASTED_LOST,
    EngineCounters,
    EngineFaults,
    EngineParameters,
)
from standins.kv_store import KeptKv, KvStore
from standins.piece_memory import PieceMemory
from standins.prefix_cache import PrefixCache


@dataclasses.dataclass(slots=True)
class PrefillWork:
    """One prefill, queued or being computed.

    Attributes:
        call: what was asked for.
        done: its result, or the reason for which there is none.
        stage: QUEUED or PREFILL.
        pieces: memory pieces held.
        to_compute: prompt tokens that are being computed.
        started_at: loop time at which computing began, seconds.
        compute_s: seconds that computing takes.
    """

    call: PrefillCall
    done: asyncio.Future[PrefillResult]
    stage: StreamStage = StreamStage.QUEUED
    pieces: int = 0
    to_compute: int = 0
    started_at: float = 0.0
    compute_s: float = 0.0

    @property
    def tokens(self) -> int:
        """Tokens of the prompt and of what was emitted already."""
        return self.call.prompt.tokens + len(self.call.emitted)


class PrefillQueue:
    """Computes prefills one at a time, by priority and then arrival."""

    def __init__(
        self,
        parameters: EngineParameters,
        faults: EngineFaults,
        counters: EngineCounters,
        memory: PieceMemory,
        cache: PrefixCache,
        store: KvStore,
        thawed: asyncio.Event,
        on_start: Callable[[PrefillCall], None],
    ):
        """Creates an empty queue.

        Args:
            parameters: speeds.
            faults: the slow factor is read from it.
            counters: where work is counted.
            memory: where pieces are taken from.
            cache: prefix cache.
            store: where results are kept.
            thawed: set while the engine is not frozen.
            on_start: called before computing begins; may crash the engine.
        """
        self._parameters = parameters
        self._faults = faults
        self._counters = counters
        self._memory = memory
        self._cache = cache
        self._store = store
        self._thawed = thawed
        self._on_start = on_start
        self._arrivals = itertools.count()
        self._kv_numbers = itertools.count(1)
        self._heap: list[tuple[int, int, PrefillWork]] = []
        self._worker: asyncio.Task[None] | None = None
        self.work_by_tag: dict[StreamTag, PrefillWork] = {}

    @property
    def queued_tokens(self) -> int:
        """Prompt tokens queued or being computed."""
        return sum(work.tokens for work in self.work_by_tag.values())

    def submit(self, call: PrefillCall) -> asyncio.Future[PrefillResult]:
        """Queues a prefill; the same attempt is queued once."""
        work = self.work_by_tag.get(call.tag)
        if work is None:
            work = PrefillWork(call, asyncio.get_running_loop().create_future())
            # A caller that went away must not make its error look unhandled.
            work.done.add_done_callback(_read_error)
            self.work_by_tag[call.tag] = work
            entry = (call.priority, next(self._arrivals), work)
            heapq.heappush(self._heap, entry)
            self._ensure_worker()
        return work.done

    def cancel(self, matches: Callable[[StreamTag], bool]) -> None:
        """Drops the work of matching attempts, queued or being computed."""
        for work in list(self.work_by_tag.values()):
            if matches(work.call.tag):
                error = EndpointRefusedError(REFUSED_STALE_ATTEMPT)
                self._abandon(work, WASTED_CANCELLED, error)

    def fail_all(self, error: Exception) -> None:
        """Drops all work, as in a crash."""
        for work in list(self.work_by_tag.values()):
            self._abandon(work, WASTED_LOST, error)

    def _abandon(self, work: PrefillWork, cause: str, error: Exception) -> None:
        del self.work_by_tag[work.call.tag]
        if not work.done.done():
            work.done.set_exception(error)
        if work.stage is not StreamStage.PREFILL:
            return
        self._memory.release(work.pieces)
        computed = self._computed_so_far(work)
        self._counters.prefill_tokens_computed += computed
        self._counters.add_waste(cause, computed)
        if self._worker is not None:
            self._worker.cancel()
            self._worker = None
        self._ensure_worker()

    def _computed_so_far(self, work: PrefillWork) -> int:
        elapsed_s = asyncio.get_running_loop().time() - work.started_at
        share = min(1.0, elapsed_s / max(work.compute_s, 1e-9))
        return int(work.to_compute * share)

    def _ensure_worker(self) -> None:
        if self._worker is None and self.work_by_tag:
            self._worker = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while self._heap:
            _, _, work = heapq.heappop(self._heap)
            if self.work_by_tag.get(work.call.tag) is work:
                await self._compute(work)
            if self._worker is not asyncio.current_task():
                return
        self._worker = None

    async def _compute(self, work: PrefillWork) -> None:
        await self._thawed.wait()
        pieces = -(-work.tokens // self._parameters.piece_tokens)
        await self._memory.acquire(pieces, work.call.priority)
        if self.work_by_tag.get(work.call.tag) is not work:
            self._memory.release(pieces)
            return
        work.pieces = pieces
        self._start(work)
        if self.work_by_tag.get(work.call.tag) is not work:
            return
        await asyncio.sleep(work.compute_s)
        await self._thawed.wait()
        self._finish(work)

    def _start(self, work: PrefillWork) -> None:
        cached = self._cache.cached_tokens(work.call.prompt)
        # The last token is always computed: its output starts the answer.
        work.to_compute = max(1, work.tokens - cached)
        rate = self._parameters.prefill_tokens_per_s
        work_s = self._parameters.prefill_base_s + work.to_compute / rate
        work.compute_s = work_s * self._faults.slow_factor
        work.started_at = asyncio.get_running_loop().time()
        work.stage = StreamStage.PREFILL
        request_id = work.call.tag.request_id
        begun = self._counters.prefills_by_request
        begun[request_id] = begun.get(request_id, 0) + 1
        self._on_start(work.call)

    def _finish(self, work: PrefillWork) -> None:
        del self.work_by_tag[work.call.tag]
        self._counters.prefill_tokens_computed += work.to_compute
        self._cache.store(work.call.prompt)
        result = PrefillResult(
            kv_id=f'{work.call.tag.request_id}-{next(self._kv_numbers)}',
            prompt_tokens=work.call.prompt.tokens,
            cached_tokens=work.tokens - work.to_compute,
            kv_bytes=work.tokens * self._parameters.kv_bytes_per_token,
            keep_s=self._parameters.keep_s,
        )
        kept = KeptKv(work.call.tag, result, work.to_compute, work.pieces)
        self._store.keep(kept)
        if not work.done.done():
            work.done.set_result(result)


def _read_error(future: asyncio.Future[PrefillResult]) -> None:
    if not future.cancelled():
        future.exception()
