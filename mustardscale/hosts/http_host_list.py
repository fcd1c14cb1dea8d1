"""Client of the platform's host list over HTTP."""

from __future__ import annotations

import dataclasses
import http

import aiohttp
import msgspec

from mustardscale.endpoints.content_end import is_json_open
from mustardscale.endpoints.http_sessions import (
    CONNECT_TIMEOUT_S,
    REQUEST_ERRORS,
    describe_error,
    make_session,
    read_content,
)
from mustardscale.exceptions import PeerUnavailableError
from mustardscale.hosts.host_list import HostList, ListedHost
from mustardscale.hosts.listed_entries import (
    UnusableEntries,
    decode_entries,
    split_array,
)
from mustardscale.json_content import decode_json

# Timeout of a read, seconds.
FETCH_TIMEOUT_S = 2.0
# Maximum size of a list, bytes.
MAX_LIST_BYTES = 16 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class HostsAnswer:
    """The answer to a read of the list.

    Attributes:
        hosts: the hosts listed.
    """

    hosts: list[ListedHost]


class _Hosts(msgspec.Struct):
    """The answer to a read of the list, with its entries as JSON."""

    hosts: list[msgspec.Raw]


class HttpHostList(HostList):
    """The host list at one address."""

    __slots__ = (
        '_content',
        '_etag',
        '_fetch_timeout_s',
        '_hosts',
        '_session',
        '_unusable',
        '_url',
    )

    def __init__(
        self,
        address: str,
        host: str = '',
        fetch_timeout_s: float = FETCH_TIMEOUT_S,
    ):
        """Opens a session; a loop must be running.

        Args:
            address: 'ip:port' of the list's service.
            host: id of this host, which the service sees in each request.
            fetch_timeout_s: timeout of a read, seconds.
        """
        self._url = f'http://{address}/hosts'
        self._fetch_timeout_s = fetch_timeout_s
        self._session = make_session(host)
        self._etag = ''
        self._content = b''
        self._hosts: list[ListedHost] = []
        self._unusable = UnusableEntries('hosts')

    async def fetch(self) -> list[ListedHost]:
        """See the base class."""
        try:
            return await self._read()
        except (*REQUEST_ERRORS, msgspec.DecodeError) as error:
            raise PeerUnavailableError(
                f'host list: {describe_error(error)}'
            ) from error

    async def close(self) -> None:
        """Closes the session."""
        await self._session.close()

    async def _read(self) -> list[ListedHost]:
        """Reads the list, or the known one if the server has no newer one."""
        timeout = aiohttp.ClientTimeout(
            total=self._fetch_timeout_s, sock_connect=CONNECT_TIMEOUT_S
        )
        headers = {'If-None-Match': self._etag} if self._etag else None
        async with self._session.get(
            self._url, headers=headers, timeout=timeout, allow_redirects=False
        ) as response:
            if response.status == http.HTTPStatus.NOT_MODIFIED and self._etag:
                return self._hosts
            if response.status != http.HTTPStatus.OK:
                raise PeerUnavailableError(
                    f'host list: status {response.status}'
                )
            content = await read_content(response, MAX_LIST_BYTES)
            self._store(content, response.headers.get('ETag', ''))
            return self._hosts

    def _decode(self, content: bytes) -> list[ListedHost]:
        """Decodes a list without the entries that can't be used.

        Raises:
            msgspec.DecodeError: it is no list.
        """
        self._unusable.begin()
        try:
            entries = [bytes(raw) for raw in decode_json(content, _Hosts).hosts]
        except msgspec.ValidationError:
            raise
        except msgspec.DecodeError:
            if is_json_open(content):
                # It broke off, which its connection need not show.
                raise
            # An entry may be nested too deeply to be passed over.
            entries = list(split_array(content))
            if not entries:
                raise
        return decode_entries(entries, self._unusable)

    @property
    def unusable_count(self) -> int:  # type: ignore[override]
        """Entries of the last reading that can't be used."""
        return self._unusable.count

    def _store(self, content: bytes, etag: str) -> None:
        """Decodes and keeps a list, if its content has changed."""
        if content != self._content:
            self._hosts = self._decode(content)
            self._content = content
        self._etag = etag
