"""Calls to entry hosts by id, this host included."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar, cast

from mustardscale.blackboard import Blackboard
from mustardscale.exceptions import (
    MustardscaleError,
    PeerNotReachedError,
    PeerUnavailableError,
)
from mustardscale.peers.peer_messages import PeerReply, PeerRequest
from mustardscale.peers.peer_transport import PeerTransport

Reply = TypeVar('Reply')
RequestHandler = Callable[[str, Any], Awaitable[PeerReply]]


class PeerCalls:
    """Routes requests to peers and to this host's own handlers."""

    __slots__ = ('_blackboard', '_handler_by_type', '_transport')

    def __init__(self, blackboard: Blackboard, transport: PeerTransport):
        self._blackboard = blackboard
        self._transport = transport
        self._handler_by_type: dict[type, RequestHandler] = {}

    def handle(self, request_type: type, handler: RequestHandler) -> None:
        """Declares the handler of a request type."""
        self._handler_by_type[request_type] = handler

    def handles(self, request_type: type) -> bool:
        """Returns whether a request type has a handler."""
        return request_type in self._handler_by_type

    async def dispatch(self, sender: str, request: PeerRequest) -> PeerReply:
        """Hands a request to its handler."""
        handler = self._handler_by_type.get(type(request))
        if handler is None:
            raise MustardscaleError(
                f'no handler for {type(request).__name__} from {sender}'
            )
        return await handler(sender, request)

    async def call(
        self,
        host: str,
        request: PeerRequest,
        reply_type: type[Reply],
        timeout_s: float,
    ) -> Reply:
        """Calls a host.

        Raises:
            PeerNotReachedError: nothing was sent.
            PeerUnavailableError: no reply came; the host may have acted.
        """
        if host == self._blackboard.host:
            return await self._call_self(request, timeout_s)
        entry = self._blackboard.hosts_by_id.get(host)
        if entry is None:
            raise PeerNotReachedError(f'host {host} is not known')
        reply = await self._transport.call(
            host, entry.address, request, timeout_s
        )
        if not isinstance(reply, reply_type):
            raise PeerUnavailableError(
                f'host {host} answered with {type(reply).__name__}'
            )
        return reply

    async def call_address(
        self,
        address: str,
        request: PeerRequest,
        reply_type: type[Reply],
        timeout_s: float,
    ) -> Reply:
        """Calls whichever host serves its peers at an address.

        Raises:
            PeerUnavailableError: no reply came; the host may have acted.
        """
        reply = await self._transport.call('', address, request, timeout_s)
        if not isinstance(reply, reply_type):
            raise PeerUnavailableError(
                f'{address} answered with {type(reply).__name__}'
            )
        return reply

    async def _call_self(self, request: PeerRequest, timeout_s: float) -> Any:
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self.dispatch(self._blackboard.host, request)
        except TimeoutError as error:
            raise PeerUnavailableError('no reply in time') from error
        return cast(Any, reply)
