"""Messages with which hosts copy the platform's streams from one another."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class StreamStatus:
    """How far a host has read a keyed stream.

    Attributes:
        stream: name of the stream.
        end_offset: offset up to which it was read.
        read_age_s: seconds since the host knew that there is nothing newer,
            negative while it cannot read the stream.
        regained_age_s: seconds since the stream can be read again after an
            outage, negative if there was none.
    """

    stream: str
    end_offset: int
    read_age_s: float
    regained_age_s: float = -1.0


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEntry:
    """The newest record of a key.

    Attributes:
        key: its key.
        value: its content, empty where the key was dropped.
        offset: its offset on the stream.
    """

    key: str
    value: bytes
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class StreamFetch:
    """Asks for what is newer on a stream than the sender knows.

    Attributes:
        stream: name of the stream.
        after: offset up to which the sender has read.
    """

    stream: str
    after: int


@dataclasses.dataclass(frozen=True, slots=True)
class StreamFetchReply:
    """What is newer on a stream.

    Attributes:
        available: whether the host can tell.
        end_offset: offset up to which the entries go.
        whole: whether all keys that are not among the entries were dropped.
        entries: the entries by offset.
    """

    available: bool
    end_offset: int = 0
    whole: bool = False
    entries: tuple[StreamEntry, ...] = ()
