"""The way by which a decode engine gets a KV cache from a prefill engine."""

from __future__ import annotations

import abc
from collections.abc import Mapping
from typing import Protocol

from mustardscale.endpoints.engines import DecodeCall
from mustardscale.exceptions import EndpointUnreachableError


class KvExporter(Protocol):
    """An engine that KV caches can be fetched from."""

    async def export_kv(
        self, kv_id: str, importer_bytes_per_s: float
    ) -> object:
        """Hands a KV cache over; takes the time of the transfer."""


class KvSource(abc.ABC):
    """Fetches KV caches."""

    @abc.abstractmethod
    async def fetch(
        self, call: DecodeCall, importer_bytes_per_s: float
    ) -> None:
        """Fetches the KV cache of a call; takes the time of the transfer.

        Raises:
            EndpointRefusedError: the source keeps it no more.
            EndpointUnreachableError: the source cannot be reached.
            EndpointFailedError: the transfer broke off.
        """


class InProcessKvSource(KvSource):
    """Fetches from engine models in the same process."""

    __slots__ = ('model_by_address',)

    def __init__(self, model_by_address: Mapping[str, KvExporter]):
        self.model_by_address = model_by_address

    async def fetch(
        self, call: DecodeCall, importer_bytes_per_s: float
    ) -> None:
        """Fetches the KV cache of a call from its source's model."""
        source = self.model_by_address.get(call.source)
        if source is None:
            raise EndpointUnreachableError(f'no engine at {call.source}')
        await source.export_kv(call.kv_id, importer_bytes_per_s)
