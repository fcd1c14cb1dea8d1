"""Messages with which hosts copy the configuration from one another."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigRecord:
    """A configuration record as it stands on the log.

    Attributes:
        offset: its offset on the configuration stream.
        payload: the record's bytes.
    """

    offset: int
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigFetch:
    """Asks for the next part of a peer's folded configuration.

    Attributes:
        after: only entries with a version above this; 0 for all.
        position: where the part before ended; 0 for the first one.
        takes_compressed: whether the record may be compressed.
    """

    after: int
    position: int = 0
    takes_compressed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigFetchReply:
    """A part of the folded configuration as a snapshot record, or nothing.

    Attributes:
        records: a snapshot record; its offset is the offset folded up to.
        position: version at which the next part begins; 0 for the last part.
        is_compressed: whether the record is compressed.
    """

    records: tuple[ConfigRecord, ...]
    position: int = 0
    is_compressed: bool = False
