"""Folds the configuration stream into the current configuration.

The fold depends only on the records, so all hosts that have folded the same
records have the same state. A change is accepted only if its base is the
current version of its key; a version is the offset of the record.

A host that has not read some records cannot decide on later changes, because
a missing record may have replaced their base. Such changes wait until a
snapshot covers the missing records.
"""

from __future__ import annotations

import bisect
import collections
import dataclasses
import enum

import xxhash

from mustardscale.configuration.config_records import (
    ConfigChange,
    ConfigKey,
    ConfigSnapshot,
    Profile,
    RecordError,
    ServiceChoice,
    VersionedChange,
    decode_record,
)
from mustardscale.configuration.route_index import EMPTY_INDEX, RouteIndex
from mustardscale.configuration.wanted_state import (
    WantedEngine,
    WeightStoreLimits,
)

PROFILE_KIND = 'profile'
SERVICE_KIND = 'service'
ENGINE_KIND = 'engine'
WEIGHTS_KIND = 'weights'
ROUTES_KIND = 'routes'

# Maximum number of changes kept for the operators' history.
HISTORY_LIMIT = 1_000
# Maximum number of records kept while earlier records are missing.
WAITING_LIMIT = 10_000


class RecordStatus(enum.StrEnum):
    """Result of folding a record.

    A change is ACCEPTED if its base was current and LOST otherwise. It is
    SUPERSEDED if a merged snapshot already had a later version of its key.
    A MERGED record is a snapshot, a REPEATED one was folded before, a WAITING
    one follows missing records, and an UNREADABLE one is skipped.
    """

    ACCEPTED = 'accepted'
    LOST = 'lost'
    SUPERSEDED = 'superseded'
    MERGED = 'merged'
    REPEATED = 'repeated'
    WAITING = 'waiting'
    UNREADABLE = 'unreadable'


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyResult:
    """Result of applying a record.

    Attributes:
        status: result of folding the record.
        changed: keys whose current version changed, by this record or by
            waiting records that could be folded after it.
        version: current version of the change's key; 0 if the record is not a
            change.
        detail: why a record is unreadable.
    """

    status: RecordStatus
    changed: tuple[ConfigKey, ...] = ()
    version: int = 0
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryEntry:
    """A folded change and its status.

    Attributes:
        offset: offset of its record.
        change: the change.
        status: ACCEPTED, LOST or SUPERSEDED.
        version: current version of the key after it was folded.
    """

    offset: int
    change: ConfigChange
    status: RecordStatus
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProfileEntry:
    """The current profile of a name, and its version."""

    version: int
    profile: Profile


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceEntry:
    """The current choice of a service, and its version."""

    version: int
    choice: ServiceChoice


class ConfigState:
    """The folded configuration.

    Attributes:
        by_key: the current change of each key.
        profiles_by_name: the current profiles.
        services_by_name: the current service choices.
        wanted_by_name: the current wanted states of engines.
        routes: the current routes.
        history: the most recent folded changes, oldest first.
        folded_offset: offset up to which every record is folded, or covered by
            a merged snapshot.
    """

    __slots__ = (
        '_digest',
        '_service_by_token',
        '_waiting',
        '_waiting_offsets',
        'by_key',
        'folded_offset',
        'history',
        'profiles_by_name',
        'routes',
        'services_by_name',
        'wanted_by_name',
    )

    def __init__(self):
        self.by_key: dict[ConfigKey, VersionedChange] = {}
        self.profiles_by_name: dict[str, ProfileEntry] = {}
        self.services_by_name: dict[str, ServiceEntry] = {}
        self.wanted_by_name: dict[str, WantedEngine] = {}
        self.routes: RouteIndex = EMPTY_INDEX
        self.history: collections.deque[HistoryEntry] = collections.deque(
            maxlen=HISTORY_LIMIT
        )
        self.folded_offset = 0
        self._digest = 0
        self._service_by_token: dict[str, str] = {}
        self._waiting: dict[int, ConfigChange | None] = {}
        self._waiting_offsets: list[int] = []

    @property
    def read_offset(self) -> int:
        """Offset after which to continue reading the stream."""
        if self._waiting_offsets:
            return max(self.folded_offset, self._waiting_offsets[-1])
        return self.folded_offset

    @property
    def settled(self) -> bool:
        """Whether no record waits for missing earlier records."""
        return not self._waiting_offsets

    def current(self, key: ConfigKey) -> VersionedChange | None:
        """Returns the current change of a key."""
        return self.by_key.get(key)

    def version(self, key: ConfigKey) -> int:
        """Returns the current version of a key, or 0 if there is none."""
        entry = self.by_key.get(key)
        return entry.version if entry is not None else 0

    def apply(self, offset: int, payload: bytes) -> ApplyResult:
        """Folds the record at an offset of the stream."""
        try:
            content = decode_record(payload)
        except RecordError as error:
            changed = self._add_record(offset, None)
            return ApplyResult(
                RecordStatus.UNREADABLE, changed, detail=str(error)
            )
        if isinstance(content, ConfigSnapshot):
            return self._apply_snapshot(offset, content)
        return self._apply_change(offset, content)

    def merge(self, snapshot: ConfigSnapshot) -> ApplyResult:
        """Merges a snapshot from a peer."""
        return ApplyResult(RecordStatus.MERGED, self._merge_snapshot(snapshot))

    def settle(self) -> ApplyResult:
        """Folds the waiting records as if the missing ones held no change.

        Call it only if neither a peer nor a snapshot has the missing records.
        """
        if not self._waiting_offsets:
            return ApplyResult(RecordStatus.REPEATED)
        self.folded_offset = self._waiting_offsets[0] - 1
        return ApplyResult(RecordStatus.MERGED, self._fold_waiting())

    def snapshot(self) -> ConfigSnapshot:
        """Returns a snapshot of all current changes."""
        return ConfigSnapshot(tuple(self.entries_after(0)), self.folded_offset)

    def entries_after(self, version: int) -> list[VersionedChange]:
        """Returns the current changes above a version, in ascending order."""
        entries = [
            entry for entry in self.by_key.values() if entry.version > version
        ]
        entries.sort(key=lambda entry: entry.version)
        return entries

    def weight_limits(self, region: str) -> WeightStoreLimits:
        """Returns the current limits of a region's weight store."""
        entry = self.by_key.get(ConfigKey(WEIGHTS_KIND, region))
        limits = entry.change.weights if entry is not None else None
        return limits or WeightStoreLimits()

    def digest(self) -> int:
        """Returns a 64-bit hash over the keys and their versions."""
        return self._digest

    def find_service_by_token(self, token_sha256: str) -> str | None:
        """Returns the service to which a token gives access, if any.

        Args:
            token_sha256: hexadecimal hash of the token.
        """
        return self._service_by_token.get(token_sha256)

    def _apply_change(self, offset: int, change: ConfigChange) -> ApplyResult:
        """Folds a change, or keeps it while earlier records are missing."""
        if offset <= self.folded_offset or offset in self._waiting:
            return ApplyResult(
                RecordStatus.REPEATED, (), self.version(change.key)
            )
        changed = self._add_record(offset, change)
        if offset > self.folded_offset:
            return ApplyResult(
                RecordStatus.WAITING, (), self.version(change.key)
            )
        folded = (e for e in reversed(self.history) if e.offset == offset)
        return ApplyResult(
            next(folded).status, changed, self.version(change.key)
        )

    def _apply_snapshot(
        self, offset: int, snapshot: ConfigSnapshot
    ) -> ApplyResult:
        """Merges a snapshot of the stream, even if it was merged before."""
        newest = max([e.version for e in snapshot.entries], default=0)
        if max(newest, snapshot.folded_offset) >= offset:
            changed = self._add_record(offset, None)
            detail = 'the snapshot is newer than its own offset'
            return ApplyResult(RecordStatus.UNREADABLE, changed, detail=detail)
        changed = self._add_record(offset, None)
        changed += self._merge_snapshot(snapshot)
        return ApplyResult(RecordStatus.MERGED, tuple(dict.fromkeys(changed)))

    def _add_record(
        self, offset: int, content: ConfigChange | None
    ) -> tuple[ConfigKey, ...]:
        """Folds a new record, or keeps it while earlier records are missing."""
        if offset <= self.folded_offset or offset in self._waiting:
            return ()
        self._waiting[offset] = content
        bisect.insort(self._waiting_offsets, offset)
        if len(self._waiting_offsets) > WAITING_LIMIT:
            del self._waiting[self._waiting_offsets.pop(0)]
        return self._fold_waiting()

    def _merge_snapshot(
        self, snapshot: ConfigSnapshot
    ) -> tuple[ConfigKey, ...]:
        """Keeps the higher version of each key, so no key is set back."""
        changed = []
        for entry in snapshot.entries:
            if entry.version > self.version(entry.change.key):
                self._set_current(entry)
                changed.append(entry.change.key)
        if snapshot.after <= self.folded_offset < snapshot.folded_offset:
            self.folded_offset = snapshot.folded_offset
        changed.extend(self._fold_waiting())
        return tuple(changed)

    def _fold_waiting(self) -> tuple[ConfigKey, ...]:
        """Folds the waiting records that follow folded_offset without a gap."""
        changed: list[ConfigKey] = []
        folded = 0
        for offset in self._waiting_offsets:
            if offset > self.folded_offset + 1:
                break
            folded += 1
            content = self._waiting.pop(offset)
            if offset <= self.folded_offset:
                continue
            self.folded_offset = offset
            if content is not None:
                changed.extend(self._fold(offset, content))
        del self._waiting_offsets[:folded]
        return tuple(changed)

    def _fold(self, offset: int, change: ConfigChange) -> tuple[ConfigKey, ...]:
        """Accepts or rejects a change; returns its key if it became current."""
        changed: tuple[ConfigKey, ...] = ()
        current = self.version(change.key)
        if current == offset:
            status = RecordStatus.ACCEPTED
        elif current > offset:
            status = RecordStatus.SUPERSEDED
        elif change.base == current:
            status = RecordStatus.ACCEPTED
            self._set_current(VersionedChange(offset, change))
            changed = (change.key,)
        else:
            status = RecordStatus.LOST
        version = self.version(change.key)
        self.history.append(HistoryEntry(offset, change, status, version))
        return changed

    def _set_current(self, entry: VersionedChange) -> None:
        """Makes a change the current one of its key."""
        change = entry.change
        replaced = self.by_key.get(change.key)
        if replaced is not None:
            self._digest ^= _entry_hash(replaced)
        self._digest ^= _entry_hash(entry)
        self.by_key[change.key] = entry
        if change.profile is not None:
            self.profiles_by_name[change.key.name] = ProfileEntry(
                entry.version, change.profile
            )
        if change.engine is not None:
            self.wanted_by_name[change.key.name] = change.engine
        if change.routes is not None:
            self.routes = RouteIndex(change.routes)
        if change.service is not None:
            self._set_service(change.key.name, entry.version, change.service)

    def _set_service(
        self, name: str, version: int, choice: ServiceChoice
    ) -> None:
        replaced = self.services_by_name.get(name)
        self.services_by_name[name] = ServiceEntry(version, choice)
        if replaced is not None:
            self._remove_tokens(name, replaced.choice)
        for token in choice.token_sha256:
            # A token that several services share belongs to the first by name.
            holder = self._service_by_token.get(token, name)
            self._service_by_token[token] = min(holder, name)

    def _remove_tokens(self, name: str, choice: ServiceChoice) -> None:
        """Removes a service's tokens; a service that shares one receives it."""
        for token in choice.token_sha256:
            if self._service_by_token.get(token) != name:
                continue
            del self._service_by_token[token]
            sharing = [
                other
                for other, entry in self.services_by_name.items()
                if token in entry.choice.token_sha256
            ]
            if sharing:
                self._service_by_token[token] = min(sharing)


def _entry_hash(entry: VersionedChange) -> int:
    """Returns the contribution of one entry to the digest."""
    text = f'{entry.change.key}={entry.version}'
    return xxhash.xxh3_64_intdigest(text.encode())
