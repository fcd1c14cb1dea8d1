"""Estimates which blocks each prefill endpoint has in its prefix cache."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Sequence

from mustardscale.endpoints.engines import BLOCK_TOKENS, CacheEvent

# Maximum number of blocks remembered for each endpoint.
BLOCKS_PER_ENDPOINT = 20_000
# Longest delay of a cache event, seconds. An eviction event that arrives within
# this time after a prompt was sent may be older than the send.
EVENT_LAG_S = 2.0
# Weight of one prefill's observed share of hits in the trust.
TRUST_GAIN = 0.2
# Lower bound of the trust, so that observed hits can raise it again.
MIN_TRUST = 0.05


class EndpointPrefixes:
    """The blocks that one endpoint is expected to have cached.

    Attributes:
        trust: estimated share of these blocks that are really cached.
    """

    __slots__ = ('_capacity', '_sent_at_by_block', '_sequence', 'trust')

    def __init__(self, capacity: int = BLOCKS_PER_ENDPOINT):
        self.trust = 1.0
        self._capacity = capacity
        self._sequence: int | None = None
        # Ordered by last use, the least recently used block first.
        self._sent_at_by_block: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Returns the number of blocks remembered."""
        return len(self._sent_at_by_block)

    @property
    def sequence(self) -> int:
        """Number of the last event seen, 0 before the first."""
        return self._sequence or 0

    def matched_blocks(self, block_hashes: Sequence[int]) -> int:
        """Returns how many leading blocks of a prompt are remembered."""
        known = self._sent_at_by_block
        for count, block in enumerate(block_hashes):
            if block not in known:
                return count
        return len(block_hashes)

    def record_sent(self, block_hashes: Sequence[int], now: float) -> None:
        """Adds the blocks of a prompt that was sent to the endpoint."""
        known = self._sent_at_by_block
        # The first block becomes the most recently used one: the later blocks
        # are of no use without it, so it must be evicted last.
        for block in reversed(block_hashes):
            known[block] = now
            known.move_to_end(block)
        self._evict_excess()

    def apply(self, events: Iterable[CacheEvent], now: float) -> None:
        """Applies cache events, which may be delayed, repeated or missing."""
        for event in sorted(events, key=lambda event: event.sequence):
            if self._sequence is not None:
                if event.sequence <= self._sequence:
                    continue
                self._lower_trust(event.sequence - self._sequence - 1)
            self._sequence = event.sequence
            self._apply_event(event, now)
        self._evict_excess()

    def observe(self, expected_blocks: int, cached_tokens: int) -> None:
        """Updates the trust by the cache hits of a prefill.

        Args:
            expected_blocks: result of matched_blocks() before the send.
            cached_tokens: tokens that the engine took from its cache.
        """
        if expected_blocks <= 0:
            return
        seen = min(1.0, cached_tokens / (expected_blocks * BLOCK_TOKENS))
        trust = self.trust + TRUST_GAIN * (seen - self.trust)
        self.trust = max(MIN_TRUST, trust)

    def forget_missed(
        self, block_hashes: Sequence[int], cached_tokens: int
    ) -> None:
        """Forgets the blocks of a prompt that were not cached.

        Args:
            block_hashes: the prompt's blocks.
            cached_tokens: tokens that the engine took from its cache.
        """
        for block in block_hashes[cached_tokens // BLOCK_TOKENS :]:
            self._sent_at_by_block.pop(block, None)

    def _apply_event(self, event: CacheEvent, now: float) -> None:
        known = self._sent_at_by_block
        if event.stored:
            if event.block_hash not in known:
                known[event.block_hash] = now - EVENT_LAG_S
            return
        sent_at = known.get(event.block_hash)
        if sent_at is not None and now - sent_at >= EVENT_LAG_S:
            del known[event.block_hash]

    def _lower_trust(self, events: int) -> None:
        """Lowers the trust after a gap in the sequence of events.

        Each missing event may have changed one of the remembered blocks.

        Args:
            events: number of missing events.
        """
        if events <= 0:
            return
        blocks = len(self._sent_at_by_block)
        kept = blocks / (blocks + events) if blocks else 1.0
        self.trust = max(MIN_TRUST, self.trust * kept)

    def _evict_excess(self) -> None:
        while len(self._sent_at_by_block) > self._capacity:
            self._sent_at_by_block.popitem(last=False)


class PrefixIndex:
    """The expected content of the prefill endpoints' prefix caches."""

    __slots__ = ('_capacity', '_prefixes_by_endpoint')

    def __init__(self, capacity: int = BLOCKS_PER_ENDPOINT):
        self._capacity = capacity
        self._prefixes_by_endpoint: dict[str, EndpointPrefixes] = {}

    def endpoint(self, endpoint: str) -> EndpointPrefixes:
        """Returns the entry of an endpoint, created at the first call."""
        prefixes = self._prefixes_by_endpoint.get(endpoint)
        if prefixes is None:
            prefixes = EndpointPrefixes(self._capacity)
            self._prefixes_by_endpoint[endpoint] = prefixes
        return prefixes

    def expected_cached_tokens(
        self, endpoint: str, block_hashes: Sequence[int]
    ) -> float:
        """Returns the expected number of a prompt's tokens in the cache."""
        prefixes = self._prefixes_by_endpoint.get(endpoint)
        if prefixes is None:
            return 0.0
        blocks = prefixes.matched_blocks(block_hashes)
        return prefixes.trust * blocks * BLOCK_TOKENS

    def forget(self, endpoint: str) -> None:
        """Forgets an endpoint that left or restarted with an empty cache."""
        self._prefixes_by_endpoint.pop(endpoint, None)
