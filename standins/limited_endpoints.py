"""Model of endpoints that limit the rate of requests from all hosts."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Callable

from mustardscale.blackboard import EndpointEntry
from mustardscale.endpoints.answer_framing import AnswerFraming
from mustardscale.endpoints.engines import EngineControl
from mustardscale.relay.endpoint_listener import EndpointListener
from mustardscale.relay.relay_endpoint import (
    EndpointAnswer,
    PrefillHandle,
    RelayCall,
    RelayConnector,
    RelayEndpoint,
)
from mustardscale.relay.relay_messages import AnswerHead
from standins.limited_arrivals import LimitedArrivals

# One-way delay between a host and an endpoint, seconds.
TRAVEL_S = 0.0015
WORK_S = 0.05


class LimitedEndpoint:
    """One endpoint, which all hosts send to.

    Attributes:
        name: its id.
        arrivals: what reached it, and the limits that it has stated.
    """

    def __init__(self, name: str):
        self.name = name
        self.arrivals = LimitedArrivals(name)


class OkAnswer(EndpointAnswer):
    """A short answer of a known length."""

    framing = AnswerFraming.LENGTH

    def __init__(self) -> None:
        self.head = AnswerHead(200, ())

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """See the base class."""
        yield b'ok'

    def close(self) -> None:
        """See the base class."""


class LimitedClient(RelayEndpoint):
    """The client of a limited endpoint on one host."""

    def __init__(
        self,
        model: LimitedEndpoint,
        host: str,
        listener: EndpointListener,
        reaches: Callable[[], bool],
    ):
        self._model = model
        self._host = host
        self._listener = listener
        self._reaches = reaches

    async def run(self, call: RelayCall) -> EndpointAnswer:
        """See the base class."""
        await self._travel()
        self._model.arrivals.add(self._host)
        await asyncio.sleep(WORK_S)
        limit_per_s = self._model.arrivals.limit_per_s
        await self._travel()
        self._listener.record_rate_limit(limit_per_s)
        return OkAnswer()

    async def _travel(self) -> None:
        """Waits until a message has arrived, without end if it is lost."""
        if not self._reaches():
            await asyncio.Event().wait()
        await asyncio.sleep(TRAVEL_S)

    async def prefill(self, call: RelayCall) -> PrefillHandle:
        """See the base class."""
        raise NotImplementedError

    async def free(self, handle: PrefillHandle) -> None:
        """See the base class."""
        raise NotImplementedError

    async def read_start(self) -> int:
        """See the base class."""
        return 0


class LimitedConnector(RelayConnector):
    """Makes one host's clients of limited endpoints."""

    def __init__(
        self,
        host: str,
        model_by_id: dict[str, LimitedEndpoint],
        reaches: Callable[[str, str], bool],
    ):
        self._host = host
        self._model_by_id = model_by_id
        self._reaches = reaches

    def control(self, endpoint: EndpointEntry) -> EngineControl:
        """See the base class."""
        raise NotImplementedError

    def relay(
        self, endpoint: EndpointEntry, listener: EndpointListener
    ) -> RelayEndpoint:
        """See the base class."""
        return LimitedClient(
            self._model_by_id[endpoint.id],
            self._host,
            listener,
            lambda: self._reaches(self._host, endpoint.id),
        )
