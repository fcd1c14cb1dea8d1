"""Interface of the endpoints that requests are relayed to."""

from __future__ import annotations

import abc
import dataclasses
import math
from collections.abc import AsyncGenerator

from mustardscale.blackboard import Blackboard, EndpointEntry
from mustardscale.endpoints.answer_framing import AnswerFraming
from mustardscale.endpoints.endpoint_clients import (
    ControlClients,
    ControlConnector,
)
from mustardscale.endpoints.engines import NO_PRIORITY
from mustardscale.relay.endpoint_listener import EndpointListener
from mustardscale.relay.relay_messages import AnswerHead, RelayRequest

REFUSED_FULL = 'full'
REFUSED_MOVED = 'moved'


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillHandle:
    """KV cache that an engine keeps for a short time.

    It is the result of a prefill, or the backup of a run.

    Attributes:
        engine_id: the engine that keeps it.
        source: address at which a decode engine fetches it.
        key: its name at the engine that keeps it; that of a backup is the id of
            the request.
        kept_until: loop time until which the engine guarantees to keep it.
    """

    engine_id: str
    source: str
    key: str
    kept_until: float


@dataclasses.dataclass(frozen=True, slots=True)
class RelayCall:
    """One send of a request to an endpoint.

    Attributes:
        request: the request.
        deadline_at: loop time at which the endpoint must stop.
        prefill: the KV cache to go on from, None to run without one.
        resume_after: id of the event after which the stream resumes.
        priority: priority that the endpoint is told, NO_PRIORITY for none.
        backup: address of the engine that keeps a copy of the run's KV cache,
            '' for none.
    """

    request: RelayRequest
    deadline_at: float
    prefill: PrefillHandle | None = None
    resume_after: str = ''
    priority: int = NO_PRIORITY
    backup: str = ''


class EndpointAnswer(abc.ABC):
    """An answer that has begun.

    Attributes:
        head: status and headers.
        framing: what marks the end of the content; unless an answer says
            so, nothing but the end of its connection.
        ended_after: loop time before which the answer had not ended, set once
            its content was read; infinity if it is read as it comes.
    """

    head: AnswerHead
    framing: AnswerFraming = AnswerFraming.CONNECTION
    ended_after: float = math.inf

    @abc.abstractmethod
    def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yields the content as it arrives.

        Raises:
            EndpointFailedError: the answer broke off before its end.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Closes the answer, which stops an endpoint that still works on it."""

    def was_link_closed(self, ended_at: float) -> bool:
        """Returns whether the path to the endpoint was closed with the answer.

        Args:
            ended_at: loop time at which the answer ended.
        """
        return False


class RelayEndpoint(abc.ABC):
    """Client of one endpoint.

    Methods raise EndpointUnreachableError if nothing was sent,
    EndpointRefusedError if the endpoint did not run the request and never will,
    and EndpointFailedError if the endpoint may have run it.
    """

    @abc.abstractmethod
    async def run(self, call: RelayCall) -> EndpointAnswer:
        """Runs a request and returns its answer once that has begun."""

    @abc.abstractmethod
    async def prefill(self, call: RelayCall) -> PrefillHandle:
        """Computes a request's prompt and keeps the result."""

    @abc.abstractmethod
    async def free(self, handle: PrefillHandle) -> None:
        """Frees a prefill result that no engine will fetch."""

    @abc.abstractmethod
    async def read_start(self) -> int:
        """Asks the process about itself.

        Returns:
            The start number of the process that answered, 0 if it states none.

        Raises:
            EndpointRefusedError: REFUSED_MOVED, another endpoint answered.
        """


class RelayConnector(ControlConnector):
    """Creates the clients that relay requests."""

    @abc.abstractmethod
    def relay(
        self, endpoint: EndpointEntry, listener: EndpointListener
    ) -> RelayEndpoint:
        """Creates the client of an endpoint.

        Args:
            endpoint: the endpoint.
            listener: receives the notices in answers about the endpoint.
        """


class RelayClients(ControlClients):
    """The clients of the endpoints on the blackboard."""

    __slots__ = ('_relay_by_id', '_relay_connector')

    def __init__(self, blackboard: Blackboard, connector: RelayConnector):
        super().__init__(blackboard, connector)
        self._relay_connector = connector
        # The listener identifies the process that a client was created for;
        # the text is its address.
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
