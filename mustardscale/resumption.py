"""Moves a broken stream to the host at which its caller asks for the rest."""

from __future__ import annotations

import asyncio
import logging

from mustardscale.blackboard import Blackboard, ServedRequest
from mustardscale.engines import StreamTag
from mustardscale.exceptions import OutcomeError, PeerUnavailableError
from mustardscale.outcomes import Outcome
from mustardscale.peer_calls import PeerCalls
from mustardscale.peers import (
    HeldStream,
    StreamLookup,
    StreamLookupReply,
    StreamRelease,
    StreamReleaseReply,
)

log = logging.getLogger(__name__)

CALL_TIMEOUT_S = 1.0


class Resumption:
    """Finds and takes over streams that other hosts served."""

    def __init__(self, blackboard: Blackboard, calls: PeerCalls):
        self._blackboard = blackboard
        self._calls = calls
        calls.handle(StreamRelease, self._on_release)

    async def locate(self, served: ServedRequest, model: str) -> None:
        """Fills in where a request's stream runs, and takes it over.

        Raises:
            OutcomeError: NOTHING_TO_RESUME.
        """
        hosts = [
            host
            for host in self._blackboard.live_hosts()
            if host != self._blackboard.host
        ]
        released = await asyncio.gather(
            *(self._release_at(host, served.id) for host in hosts)
        )
        for reply in released:
            if reply is not None and reply.released and reply.decode:
                self._adopt(served, reply.attempt, reply.prefill, reply.decode)
        if not served.decode:
            await self._look_up(served, hosts)
        if not served.decode or served.tag is None:
            raise OutcomeError(Outcome.NOTHING_TO_RESUME)
        if not served.prefill:
            served.prefill = served.decode

    def let_go(self, request_id: str) -> ServedRequest | None:
        """Stops serving a request here because its caller is elsewhere."""
        served = self._blackboard.served_by_id.pop(request_id, None)
        if served is not None:
            served.taken_over = True
        return served

    def _adopt(
        self, served: ServedRequest, attempt: int, prefill: str, decode: str
    ) -> None:
        if served.tag is not None and served.tag.attempt > attempt:
            return
        served.tag = StreamTag(
            served.id,
            attempt,
            self._blackboard.host,
            self._blackboard.incarnation,
        )
        served.prefill = prefill
        served.decode = decode

    async def _release_at(
        self, host: str, request_id: str
    ) -> StreamReleaseReply | None:
        try:
            return await self._calls.call(
                host,
                StreamRelease(request_id),
                StreamReleaseReply,
                CALL_TIMEOUT_S,
            )
        except PeerUnavailableError as error:
            log.debug('host %s not asked for %s: %s', host, request_id, error)
            return None

    async def _look_up(self, served: ServedRequest, hosts: list[str]) -> None:
        """Asks the pool owners, which remember reservations."""
        found: list[HeldStream] = []
        for host in [self._blackboard.host, *hosts]:
            try:
                reply = await self._calls.call(
                    host,
                    StreamLookup(served.id),
                    StreamLookupReply,
                    CALL_TIMEOUT_S,
                )
            except PeerUnavailableError:
                continue
            found += reply.streams
        found.sort(key=lambda stream: stream.tag.attempt)
        for stream in found:
            self._adopt(
                served, stream.tag.attempt, stream.prefill, stream.decode
            )

    async def _on_release(
        self, sender: str, request: StreamRelease
    ) -> StreamReleaseReply:
        served = self.let_go(request.request_id)
        if served is None or served.tag is None:
            return StreamReleaseReply(released=served is not None)
        return StreamReleaseReply(
            True,
            tuple(served.emitted),
            served.tag.attempt,
            served.prefill,
            served.decode,
        )
