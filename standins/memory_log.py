"""In-process client of the log's model."""

from __future__ import annotations

from mustardscale.exceptions import LogUnavailableError, LogUncertainError
from mustardscale.log.log_client import LogClient, LogPage
from standins.faults import AnswerLostError, StandinRefusedError
from standins.log_model import LogModel
from standins.memory_network import (
    ConnectionCutError,
    MemoryNetwork,
    NotConnectedError,
)


class MemoryLogClient(LogClient):
    """Access of one host to a LogModel.

    Attributes:
        network: the host's way to the log.
    """

    __slots__ = ('_model', 'network')

    def __init__(self, model: LogModel, network: MemoryNetwork | None = None):
        self._model = model
        self.network = network or MemoryNetwork()

    async def append(
        self, stream: str, payloads: list[bytes], after: int | None = None
    ) -> list[int]:
        """See the base class."""
        try:
            await self.network.connect()
            return await self.network.call(
                lambda: self._model.append(stream, payloads)
            )
        except (NotConnectedError, StandinRefusedError) as error:
            raise LogUnavailableError(str(error)) from error
        except (ConnectionCutError, AnswerLostError) as error:
            raise LogUncertainError(str(error) or 'answer lost') from error

    async def read(
        self, stream: str, after: int, limit: int = 1000, wait_s: float = 0.0
    ) -> LogPage:
        """See the base class."""
        timeout_s = self.network.timeout_s + wait_s
        try:
            await self.network.connect()
            return await self.network.call(
                lambda: self._model.read(stream, after, limit, wait_s),
                timeout_s,
            )
        except (
            NotConnectedError,
            StandinRefusedError,
            ConnectionCutError,
        ) as error:
            raise LogUnavailableError(str(error)) from error
