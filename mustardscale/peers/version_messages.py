"""Messages with which hosts tell one another the versions of streams."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class StreamVersion:
    """The software version that began a stream.

    Attributes:
        request_id: id of the send that brought its first event.
        version: the version.
        keep_s: seconds for which it may still be taken up.
    """

    request_id: str
    version: str
    keep_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class VersionNotice:
    """Tells a host the versions of streams, for it to keep.

    Attributes:
        streams: the streams.
    """

    streams: tuple[StreamVersion, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class VersionLookup:
    """Asks a host for the version of a stream.

    Attributes:
        request_id: id of the send that brought its first event.
    """

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class VersionReply:
    """The version of a stream, if the host knows it.

    Attributes:
        found: whether it does.
        version: the version.
        keep_s: seconds for which it keeps it.
    """

    found: bool
    version: str = ''
    keep_s: float = 0.0
