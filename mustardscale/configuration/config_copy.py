"""Parts of the folded configuration, so that each fits a peer's frame."""

from __future__ import annotations

import msgspec

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

# Encoded entries in one part, bytes; half is left for what is around them.
PART_BYTES = MAX_FRAME_BYTES // 2


def build_part(
    state: ConfigState, request: ConfigFetch, part_bytes: int = PART_BYTES
) -> ConfigFetchReply:
    """Returns the next part of a state, by rising version.

    An entry that changes while a copy is in progress gets a version above
    those already given, and so comes with a later part.

    Args:
        state: the configuration to copy.
        request: what the asking host has.
        part_bytes: encoded entries in the part at most, bytes; a larger entry
            comes alone.

    Returns:
        One record, or none while the state is unsettled or not further on
        than the asking host.
    """
    if not state.settled or state.folded_offset <= request.after:
        return ConfigFetchReply(())
    entries = state.entries_after(max(request.after, request.position))
    part = _first_part(entries, part_bytes)
    is_last = len(part) == len(entries)
    # Hosts that do not know of parts merge each as a whole snapshot; only the
    # last one lets them go on to the offset.
    covered_offset = state.folded_offset if is_last else 0
    snapshot = ConfigSnapshot(tuple(part), covered_offset, request.after)
    record = ConfigRecord(state.folded_offset, encode_record(snapshot))
    return ConfigFetchReply((record,), 0 if is_last else part[-1].version)


def _first_part(
    entries: list[VersionedChange], part_bytes: int
) -> list[VersionedChange]:
    """Returns the first entries up to a size, at least one."""
    size = 0
    for number, entry in enumerate(entries):
        size += len(msgspec.json.encode(entry))
        if size > part_bytes and number:
            return entries[:number]
    return entries


class ConfigCopy:
    """A copy of one peer's configuration while its parts come in.

    Attributes:
        whole: whether the last part is there.
    """

    __slots__ = ('_after', '_entries', '_folded_offset', '_position', 'whole')

    def __init__(self, after: int):
        """Begins a copy.

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
        return ConfigFetch(self._after, self._position)

    def snapshot(self) -> ConfigSnapshot:
        """Returns what came in; only once it is whole."""
        return ConfigSnapshot(
            tuple(self._entries), self._folded_offset, self._after
        )

    def add_part(self, reply: ConfigFetchReply) -> bool:
        """Takes in a part.

        Returns:
            False if the copy cannot be continued: the peer has nothing to
            give, its answer is unreadable, or it has started again since.
        """
        if not reply.records:
            return False
        record = reply.records[0]
        try:
            content = decode_record(record.payload)
        except RecordError:
            return False
        if not isinstance(content, ConfigSnapshot):
            return False
        advances = not reply.position or reply.position > self._position
        if record.offset < self._folded_offset or not advances:
            return False
        self._entries.extend(content.entries)
        self._folded_offset = record.offset
        self._position = reply.position
        self.whole = not reply.position
        return True
