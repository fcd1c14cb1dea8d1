"""Fetches KV caches from other engine stand-ins over HTTP."""

from __future__ import annotations

import urllib.parse

import aiohttp
import msgspec

from mustardscale.endpoints.engines import DecodeCall
from mustardscale.endpoints.http_engine import Refusal
from mustardscale.exceptions import EndpointFailedError, EndpointRefusedError
from standins.kv_source import KvSource

_STATUS_OK = 200
_STATUS_REFUSED = 409


class HttpKvSource(KvSource):
    """Asks the source for a KV cache; its answer takes the transfer's time."""

    def __init__(self, session: aiohttp.ClientSession):
        self._session = session

    async def fetch(
        self, call: DecodeCall, importer_bytes_per_s: float
    ) -> None:
        """Waits for the transfer of a call's KV cache."""
        kv_id = urllib.parse.quote(call.kv_id, safe='')
        url = f'{call.source.rstrip("/")}/v1/kv/{kv_id}'
        rate = {'rate': str(importer_bytes_per_s)}
        try:
            async with self._session.get(url, params=rate) as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            raise EndpointFailedError('the transfer broke off') from error
        if response.status == _STATUS_REFUSED:
            refusal = msgspec.json.decode(body, type=Refusal)
            raise EndpointRefusedError(refusal.reason)
        if response.status != _STATUS_OK:
            raise EndpointFailedError(f'status {response.status}')
