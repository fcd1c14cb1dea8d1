"""The interface to endpoints that requests are relayed to."""

from __future__ import annotations

import abc
import dataclasses
from collections.abc import AsyncIterator

from mustardscale.blackboard import Blackboard, EndpointEntry
from mustardscale.endpoints.endpoint_clients import (
    ControlClients,
    ControlConnector,
)
from mustardscale.relay.endpoint_listener import EndpointListener
from mustardscale.relay.relay_messages import AnswerHead, RelayRequest

REFUSED_FULL = 'full'
REFUSED_MOVED = 'moved'


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillHandle:
    """The result of a prefill that an engine keeps for a short time.

    Attributes:
        engine_id: the engine that keeps it.
        source: how a decode engine finds it.
        key: its name at the engine that keeps it.
        kept_until: loop time until which it is surely kept.
    """

    engine_id: str
    source: str
    key: str
    kept_until: float


@dataclasses.dataclass(frozen=True, slots=True)
class RelayCall:
    """A request on its way to an endpoint.

    Attributes:
        request: the request.
        deadline_at: loop time at which the endpoint is to stop.
        prefill: the result to fetch, None to run without one.
        resume_after: id of the event after which a stream goes on.
    """

    request: RelayRequest
    deadline_at: float
    prefill: PrefillHandle | None = None
    resume_after: str = ''


class EndpointAnswer(abc.ABC):
    """An answer that has begun.

    Attributes:
        head: its beginning.
    """

    head: AnswerHead

    @abc.abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """Yields the content as it comes.

        Raises:
            EndpointFailedError: it broke off before its end.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Ends the answer; an endpoint that still works on it stops."""


class RelayEndpoint(abc.ABC):
    """One endpoint.

    Methods raise EndpointUnreachableError when nothing was sent,
    EndpointRefusedError when the endpoint did not run the request and never
    will, and EndpointFailedError when it may have run it.
    """

    @abc.abstractmethod
    async def run(self, call: RelayCall) -> EndpointAnswer:
        """Runs a request and returns its answer once that has begun."""

    @abc.abstractmethod
    async def prefill(self, call: RelayCall) -> PrefillHandle:
        """Computes a request's prompt and keeps the result."""

    @abc.abstractmethod
    async def free(self, handle: PrefillHandle) -> None:
        """Frees the result of a prefill that nobody fetches."""

    @abc.abstractmethod
    async def is_alive(self) -> bool:
        """Returns whether the process is there that was there before."""


class RelayConnector(ControlConnector):
    """Makes the clients by which requests are relayed."""

    @abc.abstractmethod
    def relay(
        self, endpoint: EndpointEntry, listener: EndpointListener
    ) -> RelayEndpoint:
        """Makes the client of an endpoint.

        Args:
            endpoint: the endpoint.
            listener: to be told what answers say of the endpoint itself.
        """


class RelayClients(ControlClients):
    """The clients of the endpoints on the blackboard."""

    __slots__ = ('_relay_by_id', '_relay_connector')

    def __init__(self, blackboard: Blackboard, connector: RelayConnector):
        super().__init__(blackboard, connector)
        self._relay_connector = connector
        # With what tells the process that the endpoint had.
        self._relay_by_id: dict[
            str, tuple[EndpointListener, str, RelayEndpoint]
        ] = {}

    def relay(self, endpoint_id: str) -> RelayEndpoint | None:
        """Returns the client of an endpoint, None if it is not listed."""
        endpoint = self._blackboard.endpoints_by_id.get(endpoint_id)
        if endpoint is None:
            return None
        known = self._relay_by_id.get(endpoint_id)
        if known is not None:
            listener, address, client = known
            if address == endpoint.address and listener.matches_process(
                endpoint
            ):
                return client
        self._forget_gone()
        listener = EndpointListener(self._blackboard, endpoint)
        client = self._relay_connector.relay(endpoint, listener)
        self._relay_by_id[endpoint_id] = (listener, endpoint.address, client)
        return client

    def _forget_gone(self) -> None:
        listed = self._blackboard.endpoints_by_id
        for endpoint_id in list(self._relay_by_id):
            if endpoint_id not in listed:
                del self._relay_by_id[endpoint_id]
