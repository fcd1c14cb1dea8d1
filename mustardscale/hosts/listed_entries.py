"""Decodes entries of lists of hosts, each by itself.

A list has several writers. An entry that can't be used is left out, so that it
costs none of the others.
"""

from __future__ import annotations

import contextlib
import logging
import math
import re
from collections.abc import Callable, Iterable, Iterator, Mapping

import msgspec
import xxhash

from mustardscale.hosts.host_list import ListedHost
from mustardscale.json_content import decode_json
from mustardscale.outcomes import Outcome

log = logging.getLogger(__name__)

MAX_TEXT_CHARS = 255
# Start numbers are sent to peers as numbers of 64 bits.
MAX_START = 1 << 63
MAX_CAPACITY = 1e6
# Unusable entries whose content is remembered, to log each once.
MAX_REMEMBERED = 1_000
_ID = re.compile(r'[!-~]{1,255}')
_ADDRESS = re.compile(r'((?:[0-9]{1,3}\.){3}[0-9]{1,3}):([0-9]{1,5})')
_BRACKET = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)


class UnusableEntryError(Exception):
    """An entry names no host that can be used; the message says why."""


class UnusableEntries:
    """Logs and counts the entries of a list that can't be used.

    Attributes:
        list_name: name of the list, for the log.
        count: entries of the last reading that can't be used.
    """

    __slots__ = ('_logged', 'count', 'list_name')

    def __init__(self, list_name: str):
        self.list_name = list_name
        self.count = 0
        self._logged: dict[str, int] = {}

    def begin(self) -> None:
        """Begins to count a new reading of the list."""
        self.count = 0

    def add(self, key: str, content: bytes, error: Exception) -> None:
        """Counts an entry, and logs it unless its content was logged."""
        self.count += 1
        digest = xxhash.xxh3_64_intdigest(content)
        if self._logged.get(key) == digest:
            return
        if len(self._logged) >= MAX_REMEMBERED:
            del self._logged[next(iter(self._logged))]
        self._logged[key] = digest
        log.warning(
            'list of %s: entry %.80r is left out: %.200s',
            self.list_name,
            key,
            error,
            extra={'code': int(Outcome.RECORD_UNREADABLE)},
        )


class DecodedEntries:
    """Entries of a list by key, decoded again only when they change.

    Attributes:
        unusable: the entries that can't be used.
    """

    __slots__ = ('_decode', '_decoded_by_key', 'unusable')

    def __init__(
        self, list_name: str, decode: Callable[[str, bytes], ListedHost]
    ):
        """Begins with no entry.

        Args:
            list_name: name of the list, for the log.
            decode: decodes the content of a key. It raises UnusableEntryError
                if that can't be used.
        """
        self.unusable = UnusableEntries(list_name)
        self._decode = decode
        self._decoded_by_key: dict[str, tuple[bytes, ListedHost]] = {}

    def read_replaced(
        self, replaced: Iterable[tuple[str, bytes]]
    ) -> list[ListedHost]:
        """Returns the usable entries that no reading has shown.

        Args:
            replaced: keys and contents that newer ones have replaced since.
        """
        hosts = []
        for key, content in replaced:
            known = self._decoded_by_key.get(key)
            if known is not None and known[0] == content:
                continue
            with contextlib.suppress(UnusableEntryError):
                hosts.append(self._decode(key, content))
        return hosts

    def read(self, content_by_key: Mapping[str, bytes]) -> list[ListedHost]:
        """Returns the entries of a new reading that can be used."""
        self.unusable.begin()
        known_by_key = self._decoded_by_key
        self._decoded_by_key = {}
        for key, content in content_by_key.items():
            known = known_by_key.get(key)
            if known is None or known[0] != content:
                try:
                    known = content, self._decode(key, content)
                except UnusableEntryError as error:
                    self.unusable.add(key, content, error)
                    continue
            self._decoded_by_key[key] = known
        return [host for _, host in self._decoded_by_key.values()]


def check_id(text: str) -> None:
    """Requires that an id can be sent in a header.

    Raises:
        UnusableEntryError: it can't.
    """
    if _ID.fullmatch(text) is None:
        raise UnusableEntryError('the id is not 1 to 255 printable characters')


def is_address(text: str) -> bool:
    """Returns whether a text is an IPv4 address and a port, in ASCII digits.

    >>> is_address('10.0.0.1:80'), is_address('nobody'), is_address('a:80')
    (True, False, False)
    >>> is_address('10.0.0.256:80'), is_address('10.0.0.1:' + '8' * 5_000)
    (False, False)
    """
    match = _ADDRESS.fullmatch(text)
    if match is None:
        return False
    parts = match[1].split('.')
    return all(int(part) < 256 for part in parts) and 0 < int(match[2]) < 65_536


def check_entry(host: ListedHost) -> None:
    """Requires that the fields of an entry can be used, but for its address.

    Raises:
        UnusableEntryError: one can't.
    """
    check_id(host.id)
    texts = (
        host.address,
        host.data_centre,
        host.region,
        host.service,
        host.model,
        host.operators_address,
        host.version,
    )
    if any(len(text) > MAX_TEXT_CHARS for text in texts):
        raise UnusableEntryError('a text is too long')
    if not 0 <= host.start < MAX_START:
        raise UnusableEntryError('the start number is out of range')
    if not (math.isfinite(host.capacity) and 0 < host.capacity < MAX_CAPACITY):
        raise UnusableEntryError('the capacity is out of range')


def decode_entry(content: bytes, needs_address: bool = True) -> ListedHost:
    """Decodes an entry.

    Args:
        content: its JSON.
        needs_address: whether its address must be an IP number and a port.

    Raises:
        UnusableEntryError: it can't be used.
    """
    try:
        host = decode_json(content, ListedHost)
    except msgspec.MsgspecError as error:
        raise UnusableEntryError(str(error)) from error
    check_entry(host)
    if needs_address and not is_address(host.address):
        raise UnusableEntryError('the address is not ip:port')
    return host


def decode_entries(
    contents: Iterable[bytes],
    unusable: UnusableEntries,
    needs_address: bool = True,
) -> list[ListedHost]:
    """Decodes the entries that can be used."""
    hosts = []
    for number, content in enumerate(contents):
        try:
            hosts.append(decode_entry(content, needs_address))
        except UnusableEntryError as error:
            unusable.add(f'number {number}', content, error)
    return hosts


def split_array(content: bytes) -> Iterator[bytes]:
    """Yields the elements of the first JSON array in a text.

    Elements are not decoded, so one that can't be costs no other.

    >>> list(split_array(b'{"hosts": [{"id": "a]"}, [[2]], 3]}'))
    [b'{"id": "a]"}', b'[[2]]', b'3']
    """
    depth = 0
    begin = None
    for match in _BRACKET.finditer(content):
        token = match[0]
        if begin is None:
            if token == b'[':
                begin = match.end()
            continue
        if token in b'[{':
            depth += 1
        elif depth and token in b']}':
            depth -= 1
        elif not depth and token in b',]':
            element = content[begin : match.start()].strip()
            if element:
                yield element
            if token == b']':
                return
            begin = match.end()
