"""The interface to streams that keep the newest record of each key."""

from __future__ import annotations

import abc
import dataclasses
import math

from mustardscale.exceptions import MustardscaleError


class RecordsGoneError(MustardscaleError):
    """Records that were asked for are no longer kept; read all anew."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """One record.

    Attributes:
        key: its key.
        value: the content; empty where the key was dropped.
        offset: position in the stream, above all that were written before it;
            see stream_eras.
    """

    key: str
    value: bytes
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedPage:
    """Records of a stream.

    Attributes:
        records: the records.
        end_offset: offset of the newest record of the stream, 0 if none.
        answered_at: loop time at which the head of the answer came; the answer
            itself may take long. Infinity for clients that do not measure it.
    """

    records: tuple[KeyedRecord, ...]
    end_offset: int
    answered_at: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedCopy:
    """What is newer on a stream than a reader knows.

    Attributes:
        records: the newest record of each key, by offset.
        end_offset: offset up to which they go.
        whole: whether all keys without a record here were dropped.
    """

    records: tuple[KeyedRecord, ...]
    end_offset: int
    whole: bool


class KeyedLogClient(abc.ABC):
    """Access to keyed streams."""

    @abc.abstractmethod
    async def newest(self, stream: str) -> KeyedPage:
        """Reads the newest record of each key.

        Raises:
            LogUnavailableError: the stream could not be read.
        """

    @abc.abstractmethod
    async def read(self, stream: str, after: int, wait_s: float) -> KeyedPage:
        """Reads the records after an offset.

        Args:
            stream: name of the stream.
            after: offset after which to read.
            wait_s: seconds to wait for a first record when there is none.

        Raises:
            RecordsGoneError: some of them are no longer kept.
            LogUnavailableError: the stream could not be read.
        """

    @abc.abstractmethod
    async def put(
        self, stream: str, key: str, value: bytes, after: int | None = None
    ) -> int:
        """Appends a record and returns its offset.

        Args:
            stream: name of the stream.
            key: the record's key.
            value: the content; empty to drop the key.
            after: append only if this is the offset of the newest record.

        Raises:
            LogUnavailableError: nothing was appended.
            LogUncertainError: the record may have been appended.
        """

    async def close(self) -> None:
        """Releases connections."""
        return None
