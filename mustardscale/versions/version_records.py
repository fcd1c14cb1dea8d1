"""The software versions of streams that one host keeps, bounded in number."""

from __future__ import annotations

import dataclasses

from mustardscale.versions.version_witness import (
    VersionEvidence,
    VersionWitness,
)

# Records at most; beyond them the oldest go first.
MAX_RECORDS = 10_000
# In place of a version that is refuted, or of which hosts differ.
CONTESTED = ''
# Records are kept for this long at most, seconds.
MAX_KEEP_S = 300.0


@dataclasses.dataclass(frozen=True, slots=True)
class VersionOfStream:
    """The version that began a stream.

    Attributes:
        version: the software version.
        expires_at: loop time until which the stream may be taken up.
        witness: shows whether the version is right, None once it did.
        is_own: whether the stream began at this host.
    """

    version: str
    expires_at: float
    witness: VersionWitness | None = None
    is_own: bool = False


class VersionRecords:
    """The records by the id of the send that brought a stream's first event.

    Attributes:
        evicted: records that were dropped before their time.
        contested: streams of which hosts have told different versions.
    """

    __slots__ = ('_record_by_id', 'contested', 'evicted')

    def __init__(self) -> None:
        self._record_by_id: dict[str, VersionOfStream] = {}
        self.evicted = 0
        self.contested = 0

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
        """Keeps a record.

        Where the stream began here, what other hosts say does not count. Of
        two versions that others tell, neither is used.

        Args:
            request_id: id of the send that brought the stream's first event.
            version: its version.
            keep_s: seconds for which it may be taken up.
            now: loop time.
            witness: shows whether the version is right, where it began here.

        Returns:
            What is kept; without a version if that is contested.
        """
        expires_at = now + min(keep_s, MAX_KEEP_S)
        record = VersionOfStream(version, expires_at, witness, bool(witness))
        known = self._record_by_id.pop(request_id, None)
        if known is not None:
            record = self._merge(known, record)
        self._record_by_id[request_id] = record
        if len(self._record_by_id) > MAX_RECORDS:
            del self._record_by_id[next(iter(self._record_by_id))]
            self.evicted += 1
        return record

    def _merge(
        self, known: VersionOfStream, told: VersionOfStream
    ) -> VersionOfStream:
        """Returns what is kept of two records of one stream."""
        kept = told if told.is_own and not known.is_own else known
        version = kept.version
        if known.version != told.version and not kept.is_own and version:
            self.contested += 1
            version = CONTESTED
        return dataclasses.replace(
            kept,
            version=version,
            expires_at=max(known.expires_at, told.expires_at),
        )

    def settle(self, request_id: str, evidence: VersionEvidence) -> None:
        """Notes what the witness of a stream has found.

        A version that is refuted stays unknown, whatever else would show that
        only one version has run.
        """
        record = self._record_by_id.get(request_id)
        if record is None or record.witness is None:
            return
        if evidence is VersionEvidence.LOST:
            del self._record_by_id[request_id]
        elif evidence is not VersionEvidence.OPEN:
            is_shown = evidence is VersionEvidence.SHOWN
            self._record_by_id[request_id] = dataclasses.replace(
                record,
                version=record.version if is_shown else CONTESTED,
                witness=None,
            )

    def find(self, request_id: str, now: float) -> VersionOfStream | None:
        """Returns the record of a stream, None if there is none in force."""
        record = self._record_by_id.get(request_id)
        if record is None or record.expires_at <= now:
            return None
        return None if record.version == CONTESTED else record

    def is_contested(self, request_id: str) -> bool:
        """Returns whether a stream's version is refuted, or hosts differ."""
        record = self._record_by_id.get(request_id)
        return record is not None and record.version == CONTESTED

    def expire(self, now: float) -> None:
        """Drops the records whose time has passed."""
        expired = [
            request_id
            for request_id, record in self._record_by_id.items()
            if record.expires_at <= now
        ]
        for request_id in expired:
            del self._record_by_id[request_id]
