"""Copies the folded configuration between peers, in parts of one frame."""

from __future__ import annotations

import msgspec

from mustardscale.compression import CompressionError, compress, decompress
from mustardscale.configuration.config_records import (
    ConfigSnapshot,
    RecordError,
    VersionedChange,
    decode_record,
    encode_record,
)
from mustardscale.configuration.config_state import ConfigState
from mustardscale.peers.config_messages import (
    ConfigFetch,
    ConfigFetchReply,
    ConfigRecord,
)
from mustardscale.peers.peer_codec import MAX_FRAME_BYTES

# Limit of the encoded entries in one part, bytes. The other half of the frame
# is left for the envelope around them.
PART_BYTES = MAX_FRAME_BYTES // 2
# Decompressed size of the record in a part at most, bytes.
MAX_RECORD_BYTES = 64 * 1024 * 1024


def build_part(
    state: ConfigState, request: ConfigFetch, part_bytes: int = PART_BYTES
) -> ConfigFetchReply:
    """Returns the next part of a state, in ascending order of version.

    An entry that changes during a copy gets a version above those already
    sent, so a later part contains it.

    Args:
        state: the configuration to copy.
        request: the offset and the position that the requesting host has
            reached.
        part_bytes: maximum size of the encoded entries in a part, bytes; a
            larger entry is sent alone.

    Returns:
        One record; none if the state has waiting records or its folded
        offset is not above that of the requesting host.
    """
    if not state.settled or state.folded_offset <= request.after:
        return ConfigFetchReply(())
    entries = state.entries_after(max(request.after, request.position))
    part = _first_part(entries, part_bytes)
    is_last = len(part) == len(entries)
    # Hosts of a version without parts merge each part as a whole snapshot, so
    # only the last part carries the offset that it covers.
    covered_offset = state.folded_offset if is_last else 0
    snapshot = ConfigSnapshot(
        tuple(part), covered_offset, request.after, has_customers=True
    )
    payload = encode_record(snapshot)
    if request.takes_compressed:
        payload = compress(payload)
    return ConfigFetchReply(
        (ConfigRecord(state.folded_offset, payload),),
        0 if is_last else part[-1].version,
        request.takes_compressed,
    )


def _first_part(
    entries: list[VersionedChange], part_bytes: int
) -> list[VersionedChange]:
    """Returns the first entries up to a size in bytes, at least one."""
    size = 0
    for number, entry in enumerate(entries):
        size += len(msgspec.json.encode(entry))
        if size > part_bytes and number:
            return entries[:number]
    return entries


class ConfigCopy:
    """Collects the parts of one peer's configuration.

    Attributes:
        whole: whether the last part was received.
    """

    __slots__ = ('_after', '_entries', '_folded_offset', '_position', 'whole')

    def __init__(self, after: int):
        """Starts a copy.

        Args:
            after: offset up to which this host has folded the configuration.
        """
        self.whole = False
        self._after = after
        self._position = 0
        self._folded_offset = 0
        self._entries: list[VersionedChange] = []

    def next_request(self) -> ConfigFetch:
        """Returns the request for the next part."""
        return ConfigFetch(self._after, self._position, takes_compressed=True)

    def snapshot(self) -> ConfigSnapshot:
        """Returns the collected entries; valid only once the copy is whole."""
        return ConfigSnapshot(
            tuple(self._entries), self._folded_offset, self._after
        )

    def add_part(self, reply: ConfigFetchReply) -> bool:
        """Adds a part.

        Returns:
            False if the copy cannot be continued: the peer has no newer
            records, its reply is unreadable, it has restarted since the
            previous part, or it may have dropped the customers of a table.
        """
        if not reply.records:
            return False
        record = reply.records[0]
        try:
            payload = record.payload
            if reply.is_compressed:
                payload = decompress(payload, MAX_RECORD_BYTES)
            content = decode_record(payload)
        except (CompressionError, RecordError):
            return False
        if not isinstance(content, ConfigSnapshot):
            return False
        if not content.has_customers and _contains_routes(content):
            return False
        advances = not reply.position or reply.position > self._position
        if record.offset < self._folded_offset or not advances:
            return False
        self._entries.extend(content.entries)
        self._folded_offset = record.offset
        self._position = reply.position
        self.whole = not reply.position
        return True


def _contains_routes(snapshot: ConfigSnapshot) -> bool:
    return any(entry.change.routes is not None for entry in snapshot.entries)
