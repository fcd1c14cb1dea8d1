"""Host list of the platform's workers and the entry hosts."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

import msgspec

from mustardscale.endpoints.engines import EngineRole
from mustardscale.exceptions import (
    LogUnavailableError,
    LogUncertainError,
    PeerUnavailableError,
)
from mustardscale.hosts.host_list import HostList, ListedHost, ListedKind
from mustardscale.hosts.listed_entries import (
    DecodedEntries,
    UnusableEntryError,
    check_entry,
    decode_entry,
    is_address,
)
from mustardscale.json_content import decode_json
from mustardscale.log.keyed_log import KeyedLogClient
from mustardscale.log.keyed_tail import KeyedTail
from mustardscale.log.stream_eras import offset_of
from mustardscale.platform import names

log = logging.getLogger(__name__)

_ROLE_BY_PHASE = {
    'prefill': EngineRole.PREFILL,
    'decode': EngineRole.DECODE,
}
MAX_VERSION_CHARS = 64
MAX_VERSION_NUMBER = 1 << 63
_STATES = frozenset({names.READY_STATE, names.DRAINING_STATE})


class StoreHostList(HostList):
    """Host list read from the topics of the workers and the entry hosts."""

    def __init__(
        self,
        client: KeyedLogClient,
        workers: KeyedTail,
        hosts: KeyedTail,
        region: str,
    ):
        self._client = client
        self._workers = workers
        self._workers.keeps_replaced = True
        self._passed: list[ListedHost] = []
        self._hosts = hosts
        self._revisions = (-1, -1)
        self._listed: list[ListedHost] = []
        self._worker_entries = DecodedEntries(
            'workers', lambda key, value: worker_entry(key, value, region)
        )
        self._host_entries = DecodedEntries('entry hosts', host_entry)

    @property
    def version(self) -> int:  # type: ignore[override]
        """Increases with each change to the workers that was read."""
        return self._workers.end_offset

    @property
    def regained_at(self) -> float:  # type: ignore[override]
        """Loop time at which the workers' topic became readable again."""
        return self._workers.regained_at

    def is_current(self) -> bool:
        """See the base class."""
        return self._workers.current and self._hosts.current

    async def confirm(self) -> None:
        """See the base class."""
        try:
            await self._workers.confirm()
        except LogUnavailableError as error:
            raise PeerUnavailableError(str(error)) from error

    def take_passed(self) -> list[ListedHost]:
        """See the base class."""
        passed, self._passed = self._passed, []
        return passed

    def age_s(self) -> float:
        """See the base class."""
        return asyncio.get_running_loop().time() - self._workers.proved_at

    def entry_hosts(self) -> list[ListedHost]:
        """See the base class."""
        return self._host_entries.read(self._hosts.present_values())

    async def fetch(self) -> list[ListedHost]:
        """See the base class."""
        revisions = (self._workers.revision, self._hosts.revision)
        if not offset_of(self._workers.end_offset):
            raise PeerUnavailableError('the store was not read yet')
        if revisions != self._revisions:
            self._revisions = revisions
            replaced = self._workers.take_replaced()
            self._passed += self._worker_entries.read_replaced(replaced)
            self._listed = [
                *self.entry_hosts(),
                *self._worker_entries.read(self._workers.present_values()),
            ]
        return self._listed

    async def wait_changed(self, timeout_s: float) -> None:
        """See the base class."""
        waits = [
            asyncio.create_task(tail.changed.wait(timeout_s))
            for tail in (self._workers, self._hosts)
        ]
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()

    async def announce(self, host: ListedHost) -> None:
        """See the base class."""
        await self._put(host.id, msgspec.json.encode(host))

    async def retire(self, host: str) -> None:
        """See the base class."""
        await self._put(host, b'')

    async def _put(self, key: str, value: bytes) -> None:
        try:
            await self._client.put(names.HOSTS_TOPIC, key, value)
        except (LogUnavailableError, LogUncertainError) as error:
            raise PeerUnavailableError(str(error)) from error

    @property
    def unusable_count(self) -> int:  # type: ignore[override]
        """Entries of the last reading that can't be used."""
        entries = (self._worker_entries, self._host_entries)
        return sum(decoded.unusable.count for decoded in entries)


def host_entry(key: str, value: bytes) -> ListedHost:
    """Decodes the entry of an entry host.

    Raises:
        UnusableEntryError: it names no entry host that can be used.
    """
    host = decode_entry(value)
    if host.kind is not ListedKind.ENTRY or host.id != key:
        raise UnusableEntryError('it is not of its entry host')
    return host


def worker_entry(key: str, value: bytes, region: str) -> ListedHost:
    """Decodes a worker's entry.

    Raises:
        UnusableEntryError: it names no worker that can be used.
    """
    try:
        fields = decode_json(value)
    except msgspec.MsgspecError as error:
        raise UnusableEntryError(str(error)) from error
    if not isinstance(fields, dict) or not _is_worker(fields):
        raise UnusableEntryError('a field is missing or can not be used')
    role = _ROLE_BY_PHASE.get(fields.get('phase', ''))
    worker = ListedHost(
        id=key,
        kind=ListedKind.PLAIN if role is None else ListedKind.ENGINE,
        address=fields['address'],
        data_centre=fields['zone'],
        region=region,
        leaving=fields['state'] == names.DRAINING_STATE,
        service=fields['service'],
        model=fields['service'] if role is not None else '',
        role=role,
        start=fields.get('born', 0),
        version=_find_version(key, fields),
    )
    check_entry(worker)
    return worker


def _find_version(key: str, fields: dict[str, Any]) -> str:
    """Returns the version of a worker's software.

    An entry that states none that can be read gets one of its own, since
    nothing shows that another worker runs the same.
    """
    version = fields.get('version')
    if isinstance(version, str) and 0 < len(version) <= MAX_VERSION_CHARS:
        return version
    if _is_version_number(version):
        return f'number {version}'
    return f'unknown of {key[:100]} {fields.get("born", 0)}'


def _is_worker(fields: dict[str, Any]) -> bool:
    texts = ('service', 'address', 'zone', 'state')
    if not all(isinstance(fields.get(name), str) for name in texts):
        return False
    if fields['state'] not in _STATES or not fields['service']:
        return False
    if not isinstance(fields.get('phase', ''), str):
        return False
    if not _is_integer(fields.get('born', 0)):
        return False
    return is_address(fields['address'])


def _is_integer(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _is_version_number(value: object) -> bool:
    return (
        isinstance(value, int)
        and not isinstance(value, bool)
        and abs(value) < MAX_VERSION_NUMBER
    )
