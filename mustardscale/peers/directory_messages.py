"""The messages between entry hosts and the homes of request ids."""

from __future__ import annotations

import dataclasses

# Value of DirectoryReply.known_s if another host is the home.
NOT_HOME = -1.0


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryEntry:
    """Where a request is being served.

    Attributes:
        request_id: the request's id.
        fingerprint: hash of the request's content.
        host: entry host that serves it.
        incarnation: start number of that host's process.
        attempt: number of the attempt, 0 before the first grant.
        decode: id of the decode endpoint, '' before decoding.
        done: whether the answer was delivered whole.
    """

    request_id: str
    fingerprint: int
    host: str
    incarnation: int
    attempt: int = 0
    decode: str = ''
    done: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryRegister:
    """Registers or updates an entry at the request's home.

    Attributes:
        entry: the entry.
        takeover: replace an entry that another host holds.
        rebuild: registration again with a new home; never refused.
    """

    entry: DirectoryEntry
    takeover: bool = False
    rebuild: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryReply:
    """Answer to a registration.

    Attributes:
        accepted: whether the sender now holds the entry.
        known_s: seconds for which the home has been in charge of this id
            without a break; entries older than that may be missing. NOT_HOME
            if another host is the home.
        found: the earlier entry, if there is one.
    """

    accepted: bool
    known_s: float
    found: tuple[DirectoryEntry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryRemove:
    """Ends an entry that the sender holds; the home remembers it for a while.

    Attributes:
        request_id: the request's id.
        host: id of the sender.
        incarnation: start number of the sender's process.
        attempt: number of the last attempt made.
        done: whether the answer was delivered whole.
    """

    request_id: str
    host: str
    incarnation: int
    attempt: int
    done: bool
