"""What each prefill endpoint probably has in its prefix cache."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Sequence

from mustardscale.endpoints.engines import BLOCK_TOKENS, CacheEvent

# Blocks remembered for each endpoint.
BLOCKS_PER_ENDPOINT = 20_000
# An eviction event may be older than a send by at most this, seconds.
EVENT_LAG_S = 2.0
# Weight of one observed hit in the trust.
TRUST_GAIN = 0.2
# Trust never falls below this, so that observed hits can raise it again.
MIN_TRUST = 0.05


class EndpointPrefixes:
    """The blocks that one endpoint is believed to have cached.

    Attributes:
        trust: share of the believed blocks that are expected to be there.
    """

    __slots__ = ('_capacity', '_sent_at_by_block', '_sequence', 'trust')

    def __init__(self, capacity: int = BLOCKS_PER_ENDPOINT):
        self.trust = 1.0
        self._capacity = capacity
        self._sequence: int | None = None
        # Least recently used first.
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
        """Returns the length of the leading run of remembered blocks."""
        known = self._sent_at_by_block
        for count, block in enumerate(block_hashes):
            if block not in known:
                return count
        return len(block_hashes)

    def record_sent(self, block_hashes: Sequence[int], now: float) -> None:
        """Notes that a prompt was sent, after which its blocks are cached."""
        known = self._sent_at_by_block
        # The first block becomes the most recent: others need it.
        for block in reversed(block_hashes):
            known[block] = now
            known.move_to_end(block)
        self._evict_excess()

    def apply(self, events: Iterable[CacheEvent], now: float) -> None:
        """Takes in events, which may be late and may have gaps."""
        for event in sorted(events, key=lambda event: event.sequence):
            if self._sequence is not None:
                if event.sequence <= self._sequence:
                    continue
                self._lower_trust(event.sequence - self._sequence - 1)
            self._sequence = event.sequence
            self._apply_event(event, now)
        self._evict_excess()

    def observe(self, expected_blocks: int, cached_tokens: int) -> None:
        """Corrects the trust by a prefill's result.

        Args:
            expected_blocks: matched_blocks() when the prompt was sent.
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
        """Forgets the blocks of a prompt that the engine had to compute."""
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
        """Lowers the trust by the share of blocks that may have changed."""
        if events <= 0:
            return
        blocks = len(self._sent_at_by_block)
        kept = blocks / (blocks + events) if blocks else 1.0
        self.trust = max(MIN_TRUST, self.trust * kept)

    def _evict_excess(self) -> None:
        while len(self._sent_at_by_block) > self._capacity:
            self._sent_at_by_block.popitem(last=False)


class PrefixIndex:
    """The prefix caches of prefill endpoints."""

    __slots__ = ('_capacity', '_prefixes_by_endpoint')

    def __init__(self, capacity: int = BLOCKS_PER_ENDPOINT):
        self._capacity = capacity
        self._prefixes_by_endpoint: dict[str, EndpointPrefixes] = {}

    def endpoint(self, endpoint: str) -> EndpointPrefixes:
        """Returns an endpoint's entry, a new one for a new endpoint."""
        prefixes = self._prefixes_by_endpoint.get(endpoint)
        if prefixes is None:
            prefixes = EndpointPrefixes(self._capacity)
            self._prefixes_by_endpoint[endpoint] = prefixes
        return prefixes

    def expected_cached_tokens(
        self, endpoint: str, block_hashes: Sequence[int]
    ) -> float:
        """Returns the tokens of a prompt that a prefill need not compute."""
        prefixes = self._prefixes_by_endpoint.get(endpoint)
        if prefixes is None:
            return 0.0
        blocks = prefixes.matched_blocks(block_hashes)
        return prefixes.trust * blocks * BLOCK_TOKENS

    def forget(self, endpoint: str) -> None:
        """Drops an endpoint that left or restarted with an empty cache."""
        self._prefixes_by_endpoint.pop(endpoint, None)
