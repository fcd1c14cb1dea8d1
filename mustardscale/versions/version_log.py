"""Keeps on the platform which software versions of a service were listed.

A host that knows that only one version has run needs no record of a stream to
know its version, also after the loss of all hosts. One host writes a record for
each version, and drops it long after the version's last engine has left.
"""

from __future__ import annotations

import asyncio
import logging
import math

import msgspec
import xxhash

from mustardscale.blackboard import Blackboard
from mustardscale.controller import Controller
from mustardscale.exceptions import (
    LogUnavailableError,
    LogUncertainError,
    PeerUnavailableError,
)
from mustardscale.hosts.duties import choose_host
from mustardscale.hosts.host_list import ListedKind
from mustardscale.hosts.host_list_controller import HostListController
from mustardscale.json_content import decode_json
from mustardscale.log.keyed_log import KeyedLogClient
from mustardscale.log.keyed_tail import KeyedTail
from mustardscale.shared_call import SharedCall
from mustardscale.versions.version_filter import find_listed_versions
from mustardscale.versions.version_records import CONTESTED

log = logging.getLogger(__name__)

# Interval at which records are compared with the list, seconds.
CHECK_INTERVAL_S = 1.0
# Interval at which streams that only this host knows are written, seconds.
UNTOLD_INTERVAL_S = 0.25
# Such streams in one record at most; the last ones are kept.
MAX_UNTOLD = 500
# Names of the records of such streams begin so; the id of the host follows.
UNTOLD_PREFIX = 'untold '
# Time without a listed engine after which a version's record is dropped; longer
# than any stream and its repeats, seconds.
DROP_AFTER_S = 180.0
# Time after which a confirmation is given up, seconds.
CONFIRM_TIMEOUT_S = 0.3
# Confirmations that all hosts together make, 1/s. Each takes two reads of the
# platform, which bounds their number.
MAX_CONFIRMATIONS_PER_S = 500.0
# Records that are read and written at most. With more, versions are not told
# from them.
MAX_RECORDS = 256


class VersionRecord(msgspec.Struct, frozen=True):
    """A software version that engines of a service have run.

    Attributes:
        service: the service.
        version: the version.
    """

    service: str
    version: str


class UntoldStream(msgspec.Struct, frozen=True):
    """The software version of a stream that only its host knows.

    Attributes:
        request_id: id of the send that brought its first event.
        version: the version.
    """

    request_id: str
    version: str


class UntoldStreams(msgspec.Struct, frozen=True):
    """The streams that a host could tell no other host.

    Attributes:
        host: the host.
        streams: the streams.
    """

    host: str
    streams: tuple[UntoldStream, ...]


class VersionLog(Controller):
    """Reads and writes the records.

    Attributes:
        confirmation: reads records and list anew, for all who ask.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        client: KeyedLogClient,
        tail: KeyedTail,
        host_list: HostListController,
    ):
        """Prepares the reading.

        Args:
            blackboard: the state of this host.
            client: writes records.
            tail: follows them.
            host_list: the engines that are listed.
        """
        self.confirmation = SharedCall(self._confirm, self._compute_pause_s)
        self._host_list = host_list
        self._blackboard = blackboard
        self._client = client
        self._tail = tail
        self._revision = -1
        self._records: dict[str, VersionRecord] = {}
        # Loop time at which this host last saw an engine of a version, or
        # first saw its record.
        self._seen_at: dict[VersionRecord, float] = {}
        self._unreadable: set[tuple[str, bytes]] = set()
        # Versions that began streams here and had no record then.
        self._begun_by_name: dict[str, VersionRecord] = {}
        # Version and loop time of the expiry of each stream that only this
        # host knows, by the id of its first send.
        self._untold: dict[str, tuple[str, float]] = {}
        self._written_untold: tuple[UntoldStream, ...] = ()
        self._version_by_untold_id: dict[str, str] = {}

    async def run(self) -> None:
        """Follows the records, and writes what they lack."""
        checked_at = -math.inf
        while True:
            self._read()
            await self._write_untold()
            now = asyncio.get_running_loop().time()
            is_due = now - checked_at >= CHECK_INTERVAL_S or self._lacks_begun()
            if is_due and (self._tail.end_offset or self._tail.current):
                checked_at = now
                await self._write()
            is_telling = self._untold or self._written_untold
            await self._tail.changed.wait(
                UNTOLD_INTERVAL_S if is_telling else CHECK_INTERVAL_S
            )

    def note_begun(self, service: str, version: str) -> None:
        """Notes that an engine of a version has begun a stream here.

        The platform is told at once, since the version may be gone before the
        host that watches the list has seen it.
        """
        record = VersionRecord(service, version)
        name = name_of(record)
        if name not in self._records and name not in self._begun_by_name:
            self._begun_by_name[name] = record
            self._tail.changed.notify()

    def _lacks_begun(self) -> bool:
        """Returns whether a version that began a stream here has no record."""
        for name in [*self._begun_by_name]:
            if name in self._records:
                del self._begun_by_name[name]
        return bool(self._begun_by_name)

    async def _confirm(self) -> None:
        """Reads records and list by calls that begin now.

        Raises:
            LogUnavailableError: one of them could not be read.
        """
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT_S):
                await asyncio.gather(
                    self._tail.confirm(), self._host_list.confirm()
                )
        except PeerUnavailableError as error:
            raise LogUnavailableError(str(error)) from error
        except TimeoutError as error:
            raise LogUnavailableError('no reading in time') from error

    async def confirm(self) -> None:
        """Makes sure that what this host knows was read after now.

        Raises:
            LogUnavailableError: it could not be read in time.
        """
        try:
            async with asyncio.timeout(
                self._compute_pause_s() + CONFIRM_TIMEOUT_S
            ):
                await self.confirmation.run()
        except TimeoutError as error:
            raise LogUnavailableError('no reading in time') from error

    def _compute_pause_s(self) -> float:
        """Returns the seconds between two confirmations of this host."""
        hosts = 1 + len(self._blackboard.hosts_by_id)
        return hosts / MAX_CONFIRMATIONS_PER_S

    def find_sole_version(self, service: str) -> str:
        """Returns the only version that is known to have run lately.

        This shows nothing of what has come since the last readings; whoever
        relies on it awaits `confirmation` first.

        Args:
            service: service of the engines.

        Returns:
            '' if there were several, or if it can't be told now.
        """
        self._read()
        if not self._tail.current or len(self._records) > MAX_RECORDS:
            return ''
        versions = {
            record.version
            for record in self._records.values()
            if record.service == service
        }
        versions |= {
            record.version
            for record in self._listed() | self._seen_lately()
            if record.service == service
        }
        # Engines that orders have placed serve another service than listed.
        versions |= find_listed_versions(self._blackboard, service)
        recorded = any(r.service == service for r in self._records.values())
        return versions.pop() if recorded and len(versions) == 1 else ''

    def read_age_s(self) -> float:
        """Returns the seconds since no newer record was known to be there."""
        return asyncio.get_running_loop().time() - self._tail.proved_at

    def list_age_s(self) -> float:
        """Returns the seconds since no newer engine was known to be listed."""
        return self._host_list.age_s()

    def set_untold(self, untold: dict[str, tuple[str, float]]) -> None:
        """Sets the streams that only this host knows.

        Args:
            untold: version and loop time of the expiry, by the id of the send
                that brought the first event.
        """
        is_new = bool(untold.keys() - self._untold.keys())
        self._untold = untold
        if is_new:
            self._tail.changed.notify()

    def find_stream(self, request_id: str) -> str | None:
        """Returns the version of a stream that some host told no other one.

        Args:
            request_id: id of the send that brought its first event.

        Returns:
            CONTESTED if it is refuted or hosts differ, None if there is no
            record of it.
        """
        self._read()
        return self._version_by_untold_id.get(request_id)

    async def _write_untold(self) -> None:
        """Writes the streams that only this host knows, if they changed."""
        now = asyncio.get_running_loop().time()
        newest = [
            UntoldStream(request_id, version)
            for request_id, (version, expires_at) in self._untold.items()
            if expires_at > now
        ]
        untold = tuple(newest[-MAX_UNTOLD:])
        if untold == self._written_untold:
            return
        host = self._blackboard.host
        value = b''
        if untold:
            value = msgspec.json.encode(UntoldStreams(host, untold))
        if await self._put(UNTOLD_PREFIX + host, value):
            self._written_untold = untold

    def _listed(self) -> set[VersionRecord]:
        return {
            VersionRecord(endpoint.listed_model, endpoint.version)
            for endpoint in self._blackboard.endpoints_by_id.values()
            if endpoint.kind is ListedKind.ENGINE and endpoint.version
        }

    def _seen_lately(self) -> set[VersionRecord]:
        """Returns the versions that have run lately as far as this host saw.

        An older copy from which the platform comes back may lack their records.
        """
        now = asyncio.get_running_loop().time()
        return {
            record
            for record, seen_at in self._seen_at.items()
            if now - seen_at <= DROP_AFTER_S
        } | {
            VersionRecord(*version)
            for version, came_at in self._host_list.came_at_by_version.items()
            if now - came_at <= DROP_AFTER_S
        }

    def _read(self) -> None:
        if self._tail.revision == self._revision:
            return
        self._revision = self._tail.revision
        self._records = {}
        self._version_by_untold_id = {}
        for name, value in self._tail.present_values().items():
            try:
                if name.startswith(UNTOLD_PREFIX):
                    self._read_untold(value)
                    continue
                record = decode_json(value, VersionRecord)
            except msgspec.MsgspecError:
                if (name, value) not in self._unreadable:
                    log.warning('version record %r is unreadable', name)
                self._unreadable = {(name, value)}
                continue
            self._records[name] = record

    def _read_untold(self, value: bytes) -> None:
        for stream in decode_json(value, UntoldStreams).streams[-MAX_UNTOLD:]:
            known = self._version_by_untold_id.setdefault(
                stream.request_id, stream.version
            )
            if known != stream.version:
                self._version_by_untold_id[stream.request_id] = CONTESTED

    async def _write(self) -> None:
        """Writes missing records, and drops those of versions long gone."""
        board = self._blackboard
        now = asyncio.get_running_loop().time()
        listed = self._listed()
        for record in listed:
            self._seen_at[record] = now
        for record in self._records.values():
            self._seen_at.setdefault(record, now)
        names = dict(self._begun_by_name)
        is_writer = choose_host(board, 'version log') == board.host
        if is_writer:
            # An older copy of the platform may lack versions that have gone.
            present = listed | self._seen_lately()
            names |= {name_of(record): record for record in present}
        for name, record in list(names.items())[:MAX_RECORDS]:
            if name not in self._records:
                await self._put(name, msgspec.json.encode(record))
        if not is_writer:
            return
        for name, record in list(self._records.items()):
            if now - self._seen_at.get(record, now) > DROP_AFTER_S:
                await self._put(name, b'')
                self._seen_at.pop(record, None)

    async def _put(self, name: str, value: bytes) -> bool:
        """Writes a record; returns whether the platform has confirmed it."""
        try:
            await self._client.put(self._tail.stream, name, value)
        except (LogUnavailableError, LogUncertainError) as error:
            log.warning('version record %s not written: %s', name, error)
            return False
        return True


def name_of(record: VersionRecord) -> str:
    """Returns the name of a record."""
    text = f'{record.service}\n{record.version}'
    return xxhash.xxh3_64_hexdigest(text.encode())
