"""Carries copies of streams from host to host in small parts.

A part is small, so that it passes a narrow link in a fraction of the time after
which its call is given up, little is sent in vain when that happens, and other
messages need not wait for a whole copy.
"""

from __future__ import annotations

import collections
import dataclasses

import xxhash

from mustardscale.log.copy_encoding import (
    MAX_COPY_BYTES,
    CopyError,
    decode_copy,
    encode_copy,
)
from mustardscale.log.keyed_log import KeyedCopy, KeyedRecord
from mustardscale.log.keyed_tail import KeyedTail
from mustardscale.peers.stream_messages import (
    StreamEntry,
    StreamFetch,
    StreamFetchReply,
)

# Size of a part that this host asks for at most, bytes.
PART_BYTES = 16_384
# Size of a part that a host sends at most, whatever it is asked for, bytes.
MAX_PART_BYTES = 262_144
# Encoded copies that a host keeps for those that ask for further parts.
KEPT_COPIES = 16
# Bytes of values in a copy at most; the rest comes with the next one.
_MAX_VALUE_BYTES = MAX_COPY_BYTES // 2
# Restarts of a copy at most, because its sender no longer keeps it.
MAX_RESTARTS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class _CopyKey:
    """What determines an encoded copy.

    Attributes:
        stream: name of the stream.
        after: offset up to which the receiver has read.
        is_relative: whether it may refer to what the receiver has.
        end_offset: offset up to which the sender has read.
        revision: the sender's number of changes of values.
        dropped_offset: offset at which the sender last found keys to be gone.
    """

    stream: str
    after: int
    is_relative: bool
    end_offset: int
    revision: int
    dropped_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class _KeptCopy:
    """An encoded copy and its hash."""

    digest: int
    content: bytes


class CopySender:
    """Answers the requests of other hosts for copies."""

    __slots__ = ('_kept_by_key',)

    def __init__(self):
        self._kept_by_key: collections.OrderedDict[_CopyKey, _KeptCopy] = (
            collections.OrderedDict()
        )

    def reply_to(
        self, tail: KeyedTail, request: StreamFetch
    ) -> StreamFetchReply:
        """Returns what is newer than the asking host knows.

        Args:
            tail: the stream.
            request: what is asked for.

        Returns:
            A part of an encoded copy, or entries for hosts that take no parts.
        """
        if not request.part_bytes:
            return _reply_with_entries(tail, request)
        part_bytes = min(request.part_bytes, MAX_PART_BYTES)
        kept = self._find(request.digest)
        position = request.position
        if kept is None:
            kept = self._encode(tail, request, part_bytes)
            if kept is None:
                return StreamFetchReply(False)
            if kept.digest != request.digest:
                position = 0
        end = position + part_bytes
        return StreamFetchReply(
            True,
            part=kept.content[position:end],
            digest=kept.digest,
            position=position,
            copy_bytes=len(kept.content),
        )

    def _find(self, digest: int) -> _KeptCopy | None:
        for key, kept in self._kept_by_key.items():
            if kept.digest == digest:
                self._kept_by_key.move_to_end(key)
                return kept
        return None

    def _encode(
        self, tail: KeyedTail, request: StreamFetch, part_bytes: int
    ) -> _KeptCopy | None:
        key = _CopyKey(
            tail.stream,
            request.after,
            request.is_relative,
            tail.end_offset,
            tail.revision,
            tail.dropped_offset,
        )
        if key in self._kept_by_key:
            self._kept_by_key.move_to_end(key)
            return self._kept_by_key[key]
        newer = tail.newer_than(request.after, _MAX_VALUE_BYTES)
        if newer is None:
            return None

        def find_base(known_key: str) -> bytes:
            if not request.is_relative:
                return b''
            return tail.value_at(known_key, request.after)

        content = encode_copy(newer, find_base)
        kept = _KeptCopy(xxhash.xxh3_64_intdigest(content), content)
        # Small copies are as cheap to encode again as to keep.
        value_bytes = sum(len(record.value) for record in newer.records)
        if len(content) > part_bytes or value_bytes > PART_BYTES:
            self._keep(key, kept)
        return kept

    def _keep(self, key: _CopyKey, kept: _KeptCopy) -> None:
        self._kept_by_key[key] = kept
        if len(self._kept_by_key) > KEPT_COPIES:
            self._kept_by_key.popitem(last=False)


class CopyReceiver:
    """Collects the parts of a copy from one sender.

    Attributes:
        received_bytes: bytes of all parts.
    """

    __slots__ = (
        '_base_by_key',
        '_content',
        '_copy',
        '_copy_bytes',
        '_digest',
        '_is_relative',
        '_known_offset',
        '_restarts',
        '_stream',
        'received_bytes',
    )

    def __init__(self, tail: KeyedTail, is_relative: bool):
        """Prepares a copy of what is newer than a tail knows.

        Args:
            tail: the tail.
            is_relative: whether the copy may refer to the tail's values.
        """
        self.received_bytes = 0
        self._stream = tail.stream
        self._known_offset = tail.end_offset
        # The tail may go on meanwhile.
        self._base_by_key = dict(tail.value_by_key) if is_relative else {}
        self._is_relative = is_relative
        self._content = bytearray()
        self._digest = 0
        self._copy_bytes = 0
        self._restarts = 0
        self._copy: KeyedCopy | None = None

    @property
    def is_complete(self) -> bool:
        """Whether all parts were received."""
        if self._copy is not None:
            return True
        return bool(self._digest) and len(self._content) == self._copy_bytes

    def next_request(self) -> StreamFetch:
        """Returns the request for the next part."""
        return StreamFetch(
            self._stream,
            self._known_offset,
            PART_BYTES,
            self._digest,
            len(self._content),
            self._is_relative,
        )

    def add(self, reply: StreamFetchReply) -> None:
        """Adds a part.

        Raises:
            CopyError: the sender can not provide newer records, the part does
                not follow the last one, or the copy is too large or was
                restarted too often.
        """
        if not reply.available:
            raise CopyError('the sender can not provide newer records')
        if not reply.copy_bytes:
            self._add_entries(reply)
            return
        self.received_bytes += len(reply.part)
        if reply.digest != self._digest or not reply.position:
            self._begin(reply)
        if reply.position != len(self._content) or not reply.part:
            raise CopyError('the part is not the next one')
        self._content += reply.part
        if len(self._content) > self._copy_bytes:
            raise CopyError('the copy is longer than its sender says')

    def _add_entries(self, reply: StreamFetchReply) -> None:
        """Adds the reply of a host that sends no parts."""
        self.received_bytes += sum(len(entry.value) for entry in reply.entries)
        records = tuple(
            KeyedRecord(entry.key, entry.value, entry.offset)
            for entry in reply.entries
        )
        self._copy = KeyedCopy(records, reply.end_offset, reply.whole)

    def _begin(self, reply: StreamFetchReply) -> None:
        """Begins anew with a copy that the sender has made since."""
        if self._digest:
            self._restarts += 1
        if self._restarts > MAX_RESTARTS:
            raise CopyError('the copy was restarted too often')
        if reply.copy_bytes > MAX_COPY_BYTES:
            raise CopyError(f'the copy exceeds {MAX_COPY_BYTES} bytes')
        self._digest = reply.digest
        self._copy_bytes = reply.copy_bytes
        self._content.clear()

    def result(self) -> KeyedCopy:
        """Returns the copy; valid only once it is complete.

        Raises:
            BaseMismatchError: it was compressed against other values.
            CopyError: it is damaged.
        """
        if self._copy is not None:
            return self._copy
        content = bytes(self._content)
        if xxhash.xxh3_64_intdigest(content) != self._digest:
            raise CopyError('the copy has another hash than its sender says')
        return decode_copy(content, lambda key: self._base_by_key.get(key, b''))


def _reply_with_entries(
    tail: KeyedTail, request: StreamFetch
) -> StreamFetchReply:
    """Returns the entries themselves, for hosts that take no parts."""
    newer = tail.newer_than(request.after)
    if newer is None:
        return StreamFetchReply(False)
    entries = tuple(
        StreamEntry(record.key, record.value, record.offset)
        for record in newer.records
    )
    return StreamFetchReply(True, newer.end_offset, newer.whole, entries)
