"""A link that carries so many bytes a second, one chunk after another."""

from __future__ import annotations

import asyncio

BYTES_PER_S_PER_MBIT = 125_000.0
# Chunks that share a link take turns, as packets of several connections do.
CHUNK_BYTES = 4_096


class RatedLink:
    """One direction of a host's link.

    Attributes:
        bytes_per_s: its rate.
        carried_bytes: bytes carried since the start.
    """

    __slots__ = ('_free_at', 'bytes_per_s', 'carried_bytes')

    def __init__(self, bytes_per_s: float):
        self.bytes_per_s = bytes_per_s
        self.carried_bytes = 0
        self._free_at = 0.0

    async def carry(self, size: int) -> None:
        """Waits until bytes have passed, behind those that came before."""
        now = asyncio.get_running_loop().time()
        self._free_at = max(now, self._free_at) + size / self.bytes_per_s
        self.carried_bytes += size
        await asyncio.sleep(self._free_at - now)


def split_chunks(size: int) -> list[int]:
    """Returns the sizes of the chunks of a message.

    >>> split_chunks(9_000)
    [4096, 4096, 808]
    """
    whole, rest = divmod(size, CHUNK_BYTES)
    return [CHUNK_BYTES] * whole + ([rest] if rest else [])


async def carry_over(links: tuple[RatedLink, ...], size: int) -> None:
    """Carries a message over several links, a chunk at a time.

    A chunk passes the next link while the one after it passes the first.
    """
    if not links:
        return
    first, *others = links
    last: asyncio.Task[None] | None = None
    for chunk in split_chunks(size):
        await first.carry(chunk)
        for link in others:
            last = asyncio.create_task(link.carry(chunk))
    if last is not None:
        await last
