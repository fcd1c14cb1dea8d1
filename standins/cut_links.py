"""Model of hosts' links to endpoints, which can be cut in several ways."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import AsyncGenerator, Awaitable, Callable, Collection
from typing import TypeVar

from mustardscale.blackboard import EndpointEntry, Signal
from mustardscale.endpoints.engines import (
    EngineControl,
    EngineOrder,
    LoadReport,
)
from mustardscale.exceptions import (
    EndpointFailedError,
    EndpointGoneError,
    EndpointUnreachableError,
)
from mustardscale.relay.endpoint_listener import EndpointListener
from mustardscale.relay.relay_endpoint import (
    EndpointAnswer,
    PrefillHandle,
    RelayCall,
    RelayConnector,
    RelayEndpoint,
)

# One-way delay of a link, and the time after which a connection that nobody
# answers is given up, seconds.
TRAVEL_S = 0.0015
CONNECT_TIMEOUT_S = 0.3

ResultT = TypeVar('ResultT')


class CutMode(enum.StrEnum):
    """What a cut does to connections.

    Attributes:
        HANG: new connections and open ones get no reply.
        REFUSED: new connections are refused, open ones reset.
        RESET: new connections are reset once the request is sent, and open
            ones at once.
        NEW_ONLY: new connections are refused, open ones live on.
    """

    HANG = 'hang'
    REFUSED = 'refused'
    RESET = 'reset'
    NEW_ONLY = 'new-only'


class CutLinks:
    """The cuts between hosts and endpoints."""

    def __init__(self) -> None:
        self._mode_by_host: dict[str, CutMode] = {}
        self._endpoints_by_host: dict[str, frozenset[str]] = {}
        self._changed = Signal()

    def cut(
        self, host: str, mode: CutMode, endpoints: Collection[str] = ()
    ) -> None:
        """Cuts a host off.

        Args:
            host: id of the host.
            mode: what happens to its connections.
            endpoints: ids of the endpoints, all if there are none.
        """
        self._mode_by_host[host] = mode
        self._endpoints_by_host[host] = frozenset(endpoints)
        self._changed.notify()

    def restore(self, host: str) -> None:
        """Ends a cut."""
        self._mode_by_host.pop(host, None)
        self._changed.notify()

    def mode(self, host: str, endpoint: str) -> CutMode | None:
        """Returns how a link is cut, None if it is not."""
        endpoints = self._endpoints_by_host.get(host)
        if endpoints and endpoint not in endpoints:
            return None
        return self._mode_by_host.get(host)

    async def connect(self, host: str, endpoint: str) -> None:
        """Connects a host to an endpoint.

        Raises:
            EndpointUnreachableError: no connection was made.
            EndpointFailedError: it was reset when the request was sent.
        """
        mode = self.mode(host, endpoint)
        if mode is CutMode.HANG:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise EndpointUnreachableError('connection timed out')
        await asyncio.sleep(TRAVEL_S)
        if mode is CutMode.RESET:
            raise EndpointFailedError('connection reset', crashed=True)
        if mode is not None:
            raise EndpointGoneError('connection refused')

    async def watch(
        self, host: str, endpoint: str, work: Awaitable[ResultT]
    ) -> ResultT:
        """Waits for work over an open connection.

        Raises:
            EndpointFailedError: the connection was reset meanwhile.
        """
        working = asyncio.ensure_future(work)
        try:
            while not working.done():
                mode = self.mode(host, endpoint)
                if mode in (CutMode.REFUSED, CutMode.RESET):
                    raise EndpointFailedError('connection reset', crashed=True)
                changed = asyncio.ensure_future(self._changed.wait(3600.0))
                await asyncio.wait(
                    {working, changed}, return_when=asyncio.FIRST_COMPLETED
                )
                changed.cancel()
            while self.mode(host, endpoint) is CutMode.HANG:
                await self._changed.wait(3600.0)
            return working.result()
        finally:
            working.cancel()


class _CutAnswer(EndpointAnswer):
    """An answer over a link that may be cut."""

    def __init__(
        self, links: CutLinks, host: str, endpoint: str, answer: EndpointAnswer
    ):
        self.head = answer.head
        self.framing = answer.framing
        self._links = links
        self._host = host
        self._endpoint = endpoint
        self._answer = answer

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """See the base class."""
        chunks = self._answer.chunks()
        while True:
            try:
                data = await self._links.watch(
                    self._host, self._endpoint, anext(chunks)
                )
            except StopAsyncIteration:
                return
            yield data

    def close(self) -> None:
        """See the base class."""
        self._answer.close()


class _CutClient(RelayEndpoint, EngineControl):
    """Client of an endpoint over a link that may be cut."""

    def __init__(
        self,
        links: CutLinks,
        host: str,
        endpoint: str,
        relay: RelayEndpoint | None,
        control: EngineControl | None,
    ):
        self._links = links
        self._host = host
        self._endpoint = endpoint
        self._relay = relay
        self._control = control

    async def _call(self, call: Callable[[], Awaitable[ResultT]]) -> ResultT:
        await self._links.connect(self._host, self._endpoint)
        return await self._links.watch(self._host, self._endpoint, call())

    def _require_relay(self) -> RelayEndpoint:
        assert self._relay is not None
        return self._relay

    def _require_control(self) -> EngineControl:
        assert self._control is not None
        return self._control

    async def run(self, call: RelayCall) -> EndpointAnswer:
        """See the base class."""
        answer = await self._call(lambda: self._require_relay().run(call))
        return _CutAnswer(self._links, self._host, self._endpoint, answer)

    async def prefill(self, call: RelayCall) -> PrefillHandle:
        """See the base class."""
        return await self._call(lambda: self._require_relay().prefill(call))

    async def free(self, handle: PrefillHandle) -> None:
        """See the base class."""
        await self._call(lambda: self._require_relay().free(handle))

    async def read_start(self) -> int:
        """See the base class."""
        return await self._call(self._require_relay().read_start)

    async def report(self) -> LoadReport:
        """See the base class."""
        return await self._call(self._require_control().report)

    async def order(self, order: EngineOrder) -> None:
        """See the base class."""
        await self._call(lambda: self._require_control().order(order))


class CutConnector(RelayConnector):
    """Makes one host's clients over links that may be cut."""

    def __init__(self, host: str, links: CutLinks, inner: RelayConnector):
        self._host = host
        self._links = links
        self._inner = inner

    def control(self, endpoint: EndpointEntry) -> EngineControl:
        """See the base class."""
        control = self._inner.control(endpoint)
        return _CutClient(self._links, self._host, endpoint.id, None, control)

    def relay(
        self, endpoint: EndpointEntry, listener: EndpointListener
    ) -> RelayEndpoint:
        """See the base class."""
        relay = self._inner.relay(endpoint, listener)
        return _CutClient(self._links, self._host, endpoint.id, relay, None)
