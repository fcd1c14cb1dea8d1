"""In-process client of a plain service's model."""

from __future__ import annotations

import msgspec

from mustardscale.endpoints.engines import REFUSED_LEAVING
from mustardscale.endpoints.plain_endpoints import (
    PlainAnswer,
    PlainCall,
    PlainEndpoint,
)
from mustardscale.exceptions import (
    EndpointFailedError,
    EndpointRefusedError,
    EndpointUnreachableError,
)
from standins.faults import AnswerLostError
from standins.memory_network import (
    ConnectionCutError,
    MemoryNetwork,
    NotConnectedError,
)
from standins.plain_model import (
    CrashedError,
    LeavingError,
    NotListeningError,
    PlainModel,
)


class MemoryPlainEndpoint(PlainEndpoint):
    """Access of one host to a PlainModel.

    Attributes:
        network: the host's way to the endpoint.
    """

    __slots__ = ('_model', 'network')

    def __init__(self, model: PlainModel, network: MemoryNetwork | None = None):
        self._model = model
        self.network = network or MemoryNetwork()

    async def call(self, call: PlainCall) -> PlainAnswer:
        """See the base class."""
        try:
            await self.network.connect()
            result = await self.network.call(
                lambda: self._model.run(
                    call.request_id, call.method, call.path, call.body
                ),
                call.timeout_s,
            )
        except (NotConnectedError, NotListeningError) as error:
            raise EndpointUnreachableError(str(error)) from error
        except LeavingError as error:
            raise EndpointRefusedError(REFUSED_LEAVING) from error
        except (CrashedError, AnswerLostError) as error:
            raise EndpointFailedError(
                'connection lost', crashed=True
            ) from error
        except ConnectionCutError as error:
            raise EndpointFailedError(str(error)) from error
        headers = (('Idempotency-Key', result.id),)
        return PlainAnswer(200, headers, msgspec.json.encode(result))
