"""The software versions of streams that one host keeps, bounded in number."""

from __future__ import annotations

import dataclasses

from mustardscale.versions.version_witness import VersionWitness

# Records at most; beyond them the oldest go first.
MAX_RECORDS = 10_000
# Records are kept for this long at most, seconds.
MAX_KEEP_S = 300.0


@dataclasses.dataclass(frozen=True, slots=True)
class VersionOfStream:
    """The version that began a stream.

    Attributes:
        version: the software version.
        expires_at: loop time until which the stream may be taken up.
        witness: shows whether the version is right, None once it did.
    """

    version: str
    expires_at: float
    witness: VersionWitness | None = None


class VersionRecords:
    """The records by the id of the send that brought a stream's first event.

    Attributes:
        evicted: records that were dropped before their time.
    """

    __slots__ = ('_record_by_id', 'evicted')

    def __init__(self) -> None:
        self._record_by_id: dict[str, VersionOfStream] = {}
        self.evicted = 0

    def __len__(self) -> int:
        """Returns the number of records."""
        return len(self._record_by_id)

    def add(
        self,
        request_id: str,
        version: str,
        keep_s: float,
        now: float,
        witness: VersionWitness | None = None,
    ) -> VersionOfStream:
        """Keeps a record. The version of a known stream never changes."""
        expires_at = now + min(keep_s, MAX_KEEP_S)
        known = self._record_by_id.pop(request_id, None)
        if known is not None:
            version = known.version
            witness = known.witness
            expires_at = max(expires_at, known.expires_at)
        record = VersionOfStream(version, expires_at, witness)
        self._record_by_id[request_id] = record
        if len(self._record_by_id) > MAX_RECORDS:
            del self._record_by_id[next(iter(self._record_by_id))]
            self.evicted += 1
        return record

    def settle(self, request_id: str, is_confirmed: bool) -> None:
        """Notes what the witness of a stream has shown."""
        record = self._record_by_id.get(request_id)
        if record is None or record.witness is None:
            return
        if is_confirmed:
            self._record_by_id[request_id] = VersionOfStream(
                record.version, record.expires_at
            )
        else:
            del self._record_by_id[request_id]

    def find(self, request_id: str, now: float) -> VersionOfStream | None:
        """Returns the record of a stream, None if there is none in force."""
        record = self._record_by_id.get(request_id)
        if record is None or record.expires_at <= now:
            return None
        return record

    def expire(self, now: float) -> None:
        """Drops the records whose time has passed."""
        expired = [
            request_id
            for request_id, record in self._record_by_id.items()
            if record.expires_at <= now
        ]
        for request_id in expired:
            del self._record_by_id[request_id]
