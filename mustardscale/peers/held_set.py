"""What names the streams that a process holds, in short."""

from __future__ import annotations

import dataclasses

import xxhash

from mustardscale.endpoints.engines import StreamStage, StreamTag


def stream_hash(tag: StreamTag, stage: StreamStage) -> int:
    """Returns a 64-bit hash of an attempt and its stage."""
    text = f'{tag.request_id}/{tag.attempt}/{stage.value}'
    return xxhash.xxh3_64_intdigest(text.encode())


@dataclasses.dataclass(slots=True)
class HeldSet:
    """A set of streams; two sets are taken to be the same if these are.

    Attributes:
        count: number of the streams.
        digest: exclusive or of their hashes.
    """

    count: int = 0
    digest: int = 0

    def add(self, key: int) -> None:
        """Adds a stream by its hash."""
        self.count += 1
        self.digest ^= key

    def remove(self, key: int) -> None:
        """Removes a stream by its hash."""
        self.count -= 1
        self.digest ^= key
