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
        part_bytes: size of a part of an encoded copy at most, bytes; 0 from
            hosts that take entries only.
        digest: hash of the encoded copy of which a part is wanted, 0 for a
            new one.
        position: where the part begins.
        is_relative: whether the copy may refer to values that the sender knows.
    """

    stream: str
    after: int
    part_bytes: int = 0
    digest: int = 0
    position: int = 0
    is_relative: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StreamFetchReply:
    """What is newer on a stream.

    Attributes:
        available: whether the host can tell.
        end_offset: offset up to which the entries go.
        whole: whether all keys that are not among the entries were dropped.
        entries: the entries by offset; none if there is a part.
        part: a part of the encoded copy.
        digest: hash of that copy.
        position: where the part begins.
        copy_bytes: size of that copy, bytes; 0 if there are entries.
    """

    available: bool
    end_offset: int = 0
    whole: bool = False
    entries: tuple[StreamEntry, ...] = ()
    part: bytes = b''
    digest: int = 0
    position: int = 0
    copy_bytes: int = 0
