"""Client of the platform's host list over HTTP."""

from __future__ import annotations

import dataclasses
import http

import aiohttp
import msgspec

from mustardscale.exceptions import PeerUnavailableError
from mustardscale.host_list import HostList, ListedHost
from mustardscale.http_sessions import (
    CONNECT_TIMEOUT_S,
    REQUEST_ERRORS,
    describe_error,
    make_session,
    read_content,
)

# Seconds until a read is given up.
FETCH_TIMEOUT_S = 2.0
# Bytes of a list that are read at most.
MAX_LIST_BYTES = 16 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class HostsAnswer:
    """The answer to a read of the list.

    Attributes:
        hosts: the hosts listed.
    """

    hosts: list[ListedHost]


class HttpHostList(HostList):
    """The host list at one address."""

    __slots__ = ('_fetch_timeout_s', '_session', '_url')

    def __init__(
        self,
        address: str,
        host: str = '',
        fetch_timeout_s: float = FETCH_TIMEOUT_S,
    ):
        """Opens a session; a loop must be running.

        Args:
            address: 'ip:port' of the list's service.
            host: id of this host, by which the service knows its readers.
            fetch_timeout_s: seconds until a read is given up.
        """
        self._url = f'http://{address}/hosts'
        self._fetch_timeout_s = fetch_timeout_s
        self._session = make_session(host)

    async def fetch(self) -> list[ListedHost]:
        """See the base class."""
        try:
            content = await self._read()
            return msgspec.json.decode(content, type=HostsAnswer).hosts
        except (
            *REQUEST_ERRORS,
            msgspec.DecodeError,
        ) as error:
            raise PeerUnavailableError(
                f'host list: {describe_error(error)}'
            ) from error

    async def close(self) -> None:
        """Closes the session."""
        await self._session.close()

    async def _read(self) -> bytes:
        timeout = aiohttp.ClientTimeout(
            total=self._fetch_timeout_s, sock_connect=CONNECT_TIMEOUT_S
        )
        async with self._session.get(
            self._url, timeout=timeout, allow_redirects=False
        ) as response:
            if response.status != http.HTTPStatus.OK:
                raise PeerUnavailableError(
                    f'host list: status {response.status}'
                )
            return await read_content(response, MAX_LIST_BYTES)
