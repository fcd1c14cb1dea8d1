"""The interface to the platform's append-only log service."""

from __future__ import annotations

import abc
import dataclasses

# Stream on which profiles, service choices and snapshots are published.
CONFIG_STREAM = 'config'


@dataclasses.dataclass(frozen=True, slots=True)
class LogRecord:
    """One record of a stream.

    Attributes:
        offset: position in the stream, from 1, never reused.
        payload: the content.
    """

    offset: int
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LogPage:
    """Records read from a stream.

    Attributes:
        records: records in offset order.
        first_offset: offset of the oldest record retained (end + 1 if none).
        end_offset: offset of the newest record of the stream, 0 if none.
        compacted: whether the records replace all that were before them.
    """

    records: tuple[LogRecord, ...]
    first_offset: int
    end_offset: int
    compacted: bool = False


class LogClient(abc.ABC):
    """Access to the log's streams."""

    @abc.abstractmethod
    async def append(
        self, stream: str, payloads: list[bytes], after: int | None = None
    ) -> list[int]:
        """Appends records in order, as one call, and returns their offsets.

        Args:
            stream: name of the stream.
            payloads: the records.
            after: append only if this is the offset of the newest record. Logs
                without such conditions append anyway.

        Raises:
            LogUnavailableError: nothing was appended.
            LogUncertainError: the records may have been appended.
        """

    @abc.abstractmethod
    async def read(
        self, stream: str, after: int, limit: int = 1000, wait_s: float = 0.0
    ) -> LogPage:
        """Reads records with an offset above after.

        Args:
            stream: name of the stream.
            after: offset after which to read.
            limit: number of records at most.
            wait_s: seconds to wait for a first record when there is none.

        Raises:
            LogUnavailableError: the log could not be read.
        """

    async def close(self) -> None:
        """Releases connections."""
        return None
