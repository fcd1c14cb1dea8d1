"""A prefix cache of limited size that publishes late and gappy events."""

from __future__ import annotations

import asyncio
import collections
import random

from mustardscale.endpoints.engines import BLOCK_TOKENS, CacheEvent, Prompt

# Cache events that are kept for readers.
_EVENTS_KEPT = 10_000


class PrefixCache:
    """Holds the hashes of prompt blocks, the least recently used go first."""

    __slots__ = (
        '_blocks',
        '_delay_s',
        '_events',
        '_limit',
        '_loss',
        '_random',
        '_sequence',
    )

    def __init__(
        self, limit: int, delay_s: float, loss: float, rng: random.Random
    ):
        """Creates an empty cache.

        Args:
            limit: blocks held at most.
            delay_s: seconds until an event is published.
            loss: probability that an event is lost.
            rng: source of chance for lost events.
        """
        self._limit = limit
        self._delay_s = delay_s
        self._loss = loss
        self._random = rng
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[tuple[float, CacheEvent]] = (
            collections.deque(maxlen=_EVENTS_KEPT)
        )
        self._sequence = 0

    def __len__(self) -> int:
        """Returns the number of blocks held."""
        return len(self._blocks)

    def cached_tokens(self, prompt: Prompt) -> int:
        """Returns how many leading tokens of a prompt need no computing."""
        blocks = 0
        for block_hash in prompt.block_hashes:
            if block_hash not in self._blocks:
                break
            blocks += 1
        return min(blocks * BLOCK_TOKENS, prompt.tokens)

    def store(self, prompt: Prompt) -> None:
        """Enters a prompt's blocks; a block's end is evicted before it."""
        for block_hash in reversed(prompt.block_hashes[: self._limit]):
            if block_hash not in self._blocks:
                self._publish(block_hash, stored=True)
            self._blocks[block_hash] = None
            self._blocks.move_to_end(block_hash)
        while len(self._blocks) > self._limit:
            evicted, _ = self._blocks.popitem(last=False)
            self._publish(evicted, stored=False)

    def clear(self) -> None:
        """Forgets all blocks without telling; leaves a gap in the numbers."""
        self._blocks.clear()
        self._events.clear()
        self._sequence += 1

    def events(self, after: int) -> list[CacheEvent]:
        """Returns the events published after a sequence number."""
        now = asyncio.get_running_loop().time()
        return [
            event
            for published_at, event in self._events
            if event.sequence > after and published_at <= now
        ]

    def _publish(self, block_hash: int, *, stored: bool) -> None:
        self._sequence += 1
        if self._random.random() < self._loss:
            return
        published_at = asyncio.get_running_loop().time() + self._delay_s
        event = CacheEvent(self._sequence, block_hash, stored)
        self._events.append((published_at, event))
