"""Reads the operators' pages of entry hosts."""

from __future__ import annotations

import asyncio
import json

import aiohttp

from mustardscale.exceptions import PeerUnavailableError
from mustardscale.operators.operators_http import DUMP_PATH, STATUS_PATH

# Seconds until a call to one host is given up.
CALL_TIMEOUT_S = 2.0


class OperatorsClient:
    """Calls entry hosts with the operators' token."""

    def __init__(self, session: aiohttp.ClientSession, token: str):
        self._session = session
        self._headers = {'Authorization': f'Bearer {token}'}

    async def status(self, address: str) -> dict[str, object]:
        """Reads a host's summary.

        Args:
            address: the operators' 'ip:port' of the host.

        Raises:
            PeerUnavailableError: the host did not answer so.
        """
        return await self._get(address, STATUS_PATH)

    async def dump(self, address: str) -> dict[str, object]:
        """Reads a host's whole state.

        Raises:
            PeerUnavailableError: the host did not answer so.
        """
        return await self._get(address, DUMP_PATH)

    async def _get(self, address: str, path: str) -> dict[str, object]:
        """Reads a JSON object."""
        url = f'http://{address}{path}'
        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT_S),
                self._session.get(url, headers=self._headers) as answer,
            ):
                answer.raise_for_status()
                content = json.loads(await answer.read())
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise PeerUnavailableError(f'{url}: {error!r}') from error
        if not isinstance(content, dict):
            raise PeerUnavailableError(f'{url}: not a JSON object')
        return content
