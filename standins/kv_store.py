"""KV caches kept after prefill, and their export over a limited link.

A link is full duplex and carries one transfer at a time in each direction,
first come first served. The importer occupies its inbound direction first and
then the exporter's outbound one, so a busy exporter also holds up the
importer's later transfers. A transfer runs at the slower of the two rates.
"""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable

from mustardscale.endpoints.engines import (
    REFUSED_KV_EVICTED,
    PrefillResult,
    StreamTag,
)
from mustardscale.exceptions import EndpointRefusedError
from standins.engine_parameters import (
    WASTED_EVICTED,
    WASTED_REPEATED,
    EngineCounters,
)


class PickupLedger:
    """Remembers which requests' KV cache was picked up, over many engines."""

    __slots__ = ('_request_ids',)

    def __init__(self):
        self._request_ids: set[str] = set()

    def pick_up(self, request_id: str) -> bool:
        """Notes a pick-up and returns whether there was one before."""
        seen = request_id in self._request_ids
        self._request_ids.add(request_id)
        return seen


@dataclasses.dataclass(slots=True)
class KeptKv:
    """A computed KV cache that waits to be picked up.

    Attributes:
        tag: the attempt that it was computed for.
        result: what the caller was told.
        computed_tokens: prompt tokens computed for it.
        pieces: memory pieces that it holds.
        exporting: transfers under way; it is not evicted meanwhile.
        expired: whether its time to be kept is over.
    """

    tag: StreamTag
    result: PrefillResult
    computed_tokens: int
    pieces: int
    exporting: int = 0
    expired: bool = False


class KvStore:
    """Keeps computed KV caches for a short time and exports them."""

    def __init__(
        self,
        link_bytes_per_s: float,
        counters: EngineCounters,
        ledger: PickupLedger,
        free_pieces: Callable[[int], None],
    ):
        """Creates an empty store.

        Args:
            link_bytes_per_s: rate of the engine's link.
            counters: where waste is counted.
            ledger: notes pick-ups.
            free_pieces: gives memory pieces back.
        """
        self.link_bytes_per_s = link_bytes_per_s
        self.kept_by_id: dict[str, KeptKv] = {}
        self._counters = counters
        self._ledger = ledger
        self._free_pieces = free_pieces
        self._outbound = asyncio.Lock()
        self._flowing = asyncio.Event()
        self._flowing.set()

    def set_stalled(self, stalled: bool) -> None:
        """Halts or continues all transfers."""
        if stalled:
            self._flowing.clear()
        else:
            self._flowing.set()

    def keep(self, kept: KeptKv) -> None:
        """Keeps a result until its time is over."""
        kv_id = kept.result.kv_id
        self.kept_by_id[kv_id] = kept
        loop = asyncio.get_running_loop()
        loop.call_later(kept.result.keep_s, self._expire, kept)

    async def export(
        self, kv_id: str, importer_bytes_per_s: float
    ) -> PrefillResult:
        """Carries a KV cache over the outbound link and lets it go.

        Raises:
            EndpointRefusedError: it is not kept any more.
        """
        async with self._outbound:
            kept = self.kept_by_id.get(kv_id)
            if kept is None:
                raise EndpointRefusedError(REFUSED_KV_EVICTED)
            kept.exporting += 1
            try:
                await self._flowing.wait()
                rate = min(self.link_bytes_per_s, importer_bytes_per_s)
                await asyncio.sleep(kept.result.kv_bytes / rate)
                await self._flowing.wait()
            except asyncio.CancelledError:
                kept.exporting -= 1
                self._evict_if_due(kept)
                raise
            self._finish_export(kept)
            return kept.result

    def discard(self, matches: Callable[[StreamTag], bool], cause: str) -> None:
        """Drops the kept results of matching attempts and counts the waste."""
        for kept in list(self.kept_by_id.values()):
            if matches(kept.tag):
                self._drop(kept, cause)

    def _finish_export(self, kept: KeptKv) -> None:
        if self.kept_by_id.get(kept.result.kv_id) is not kept:
            raise EndpointRefusedError(REFUSED_KV_EVICTED)
        del self.kept_by_id[kept.result.kv_id]
        self._free_pieces(kept.pieces)
        if self._ledger.pick_up(kept.tag.request_id):
            self._counters.add_waste(WASTED_REPEATED, kept.computed_tokens)

    def _expire(self, kept: KeptKv) -> None:
        kept.expired = True
        self._evict_if_due(kept)

    def _evict_if_due(self, kept: KeptKv) -> None:
        if kept.expired and not kept.exporting:
            self._drop(kept, WASTED_EVICTED)

    def _drop(self, kept: KeptKv, cause: str) -> None:
        if self.kept_by_id.get(kept.result.kv_id) is not kept:
            return
        del self.kept_by_id[kept.result.kv_id]
        self._free_pieces(kept.pieces)
        self._counters.add_waste(cause, kept.computed_tokens)
