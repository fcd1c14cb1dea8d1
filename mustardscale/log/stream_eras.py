"""Positions on streams of a service that may come back from an older copy.

After such a return, offsets are given out again. The service counts its returns
as eras. A position joins era and offset in one number, so that every position
of a later era is above all positions of earlier ones, and whatever compares
positions needs to know nothing of eras.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import Any, TypeVar

from mustardscale.exceptions import LogUnavailableError
from mustardscale.log.keyed_log import RecordsGoneError

T = TypeVar('T')

# Bits of a position that hold the offset. Positions stay below 2**53, which
# JSON carries exactly, up to era 8,191.
OFFSET_BITS = 40
_OFFSET_MASK = (1 << OFFSET_BITS) - 1


def position_of(era: int, offset: int) -> int:
    """Returns the position of an offset in an era.

    >>> position_of(0, 7) < position_of(1, 0) < position_of(1, 1)
    True
    """
    return (era << OFFSET_BITS) | offset


def era_of(position: int) -> int:
    """Returns the era of a position.

    >>> era_of(position_of(3, 7))
    3
    """
    return position >> OFFSET_BITS


def offset_of(position: int) -> int:
    """Returns the offset of a position within its era.

    >>> offset_of(position_of(3, 7))
    7
    """
    return position & _OFFSET_MASK


class StreamEras:
    """The newest era that a service has told of itself.

    Attributes:
        newest: the era, 0 while none was told.
    """

    def __init__(self):
        self.newest = 0
        self._waiting_reads: set[asyncio.Future[Any]] = set()

    def note(self, era: int) -> None:
        """Takes the era that an answer tells.

        Raises:
            LogUnavailableError: the answer is of an earlier era.
        """
        if era < self.newest:
            raise LogUnavailableError(
                f'an answer of era {era} came in era {self.newest}'
            )
        if era > self.newest:
            self.newest = era
            for read in self._waiting_reads:
                read.cancel()

    def check(self, position: int) -> None:
        """Checks that a position is of the newest era, or the beginning.

        Raises:
            RecordsGoneError: it is of an earlier one.
        """
        if position and era_of(position) < self.newest:
            raise RecordsGoneError(
                f'era {era_of(position)} has ended, now it is {self.newest}'
            )

    async def while_current(self, read: Awaitable[T]) -> T:
        """Runs a read that waits, until it or the era ends.

        Raises:
            RecordsGoneError: the era has ended.
        """
        task = asyncio.ensure_future(read)
        self._waiting_reads.add(task)
        try:
            await asyncio.wait([task])
            if task.cancelled():
                raise RecordsGoneError('the era ended while a read waited')
            return task.result()
        finally:
            self._waiting_reads.discard(task)
            task.cancel()
