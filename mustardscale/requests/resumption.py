"""Takes over streams whose callers reconnected to another host."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
import math
from collections.abc import Iterator, Sequence

from mustardscale.blackboard import Blackboard, ServedRequest
from mustardscale.endpoints.endpoint_clients import EndpointClients
from mustardscale.endpoints.engines import StreamStage, StreamTag
from mustardscale.exceptions import (
    MustardscaleError,
    OutcomeError,
    PeerGoneError,
    PeerUnavailableError,
)
from mustardscale.hosts.quorum import QUORUM_LEASE_S, has_quorum
from mustardscale.outcomes import Outcome
from mustardscale.peers.peer_calls import PeerCalls
from mustardscale.peers.peer_messages import (
    HeldStream,
    StreamLookup,
    StreamLookupReply,
    StreamRelease,
    StreamReleaseReply,
)
from mustardscale.requests.kept_answers import (
    KeptAnswer,
    KeptAnswers,
    find_latest_answer,
    make_kept_reply,
)

log = logging.getLogger(__name__)

# Seconds for which a host remembers which answers it has delivered.
DELIVERED_MEMORY_S = 60.0
# Timeout of a call to a peer or an engine, seconds.
CALL_TIMEOUT_S = 1.0
# Pause before a holder is asked again to release a request, seconds.
RELEASE_RETRY_S = 0.1
# Maximum further readings of the time at which an answer was delivered.
EXTRA_TIMING_READINGS = 4
# Time after which a holder that this host never heard from has lost its lease,
# seconds; longer than QUORUM_LEASE_S.
UNHEARD_LEASE_EXPIRY_S = 2.5


class Resumption:
    """Finds and takes over streams that other hosts served."""

    def __init__(
        self,
        blackboard: Blackboard,
        calls: PeerCalls,
        clients: EndpointClients,
        kept: KeptAnswers,
    ):
        self._blackboard = blackboard
        self._calls = calls
        self._clients = clients
        self._located_by_request_id: dict[str, asyncio.Event] = {}
        self._delivered_at_by_id: dict[str, float] = {}
        self._kept = kept
        calls.handle(StreamRelease, self._on_release)

    async def locate(
        self, served: ServedRequest, model: str
    ) -> KeptAnswer | None:
        """Finds the engines that run a request's stream, and takes it over.

        The attempt and its engines are written to served.

        Returns:
            The answer, if it was delivered completely before.

        Raises:
            OutcomeError: NOTHING_TO_RESUME, no stream was found;
                ALREADY_COMPLETED, the answer was delivered and is no longer
                kept, or its end was sent after this resumption was asked for.
        """
        hosts = [
            host
            for host in self._blackboard.live_hosts()
            if host != self._blackboard.host
        ]
        # If several hosts resume the same stream at once, the directory orders
        # them, and each takes the stream over from the one before it.
        incarnation_by_holder = dict.fromkeys(hosts, 0)
        if served.previous_holder:
            # The previous holder is asked even if this host does not receive
            # its heartbeats, or has not received one yet.
            incarnation_by_holder = {
                served.previous_holder: served.previous_incarnation
            }
        with self._mark_locating(served.id):
            released = await asyncio.gather(
                *(
                    self._release_holder(host, incarnation, served.id)
                    for host, incarnation in incarnation_by_holder.items()
                )
            )
        holders = list(incarnation_by_holder)
        kept = await self._find_delivered_answer(
            served, released, holders, hosts
        )
        if kept is not None:
            return kept
        for reply in released:
            if reply is not None and reply.released and reply.decode:
                self._adopt(served, reply.attempt, reply.prefill, reply.decode)
        if not served.decode:
            await self._find_at_pool_owners(served, hosts)
        if not served.decode:
            await self._find_at_engines(served, model)
        if not served.decode or served.tag is None:
            raise OutcomeError(Outcome.NOTHING_TO_RESUME)
        if not served.prefill:
            served.prefill = served.decode
        return None

    async def _find_delivered_answer(
        self,
        served: ServedRequest,
        released: Sequence[StreamReleaseReply | None],
        holders: list[str],
        hosts: list[str],
    ) -> KeptAnswer | None:
        """Returns the answer if it was delivered completely before.

        Args:
            served: the request.
            released: the replies of its holders.
            holders: the hosts that were asked to release it.
            hosts: all other live hosts.

        Raises:
            OutcomeError: ALREADY_COMPLETED, the answer is no longer kept, or
                its end was sent after this resumption was asked for.
        """
        kept = find_latest_answer(released)
        done = any(reply is not None and reply.done for reply in released)
        served.answered = served.answered or done
        if kept is None and not done:
            # No holder that was asked knows of a delivered answer.
            kept = await self._find_kept_answer(served, hosts)
        if kept is None:
            if served.answered:
                raise OutcomeError(Outcome.ALREADY_COMPLETED)
            return None
        served.answered = True
        asked_at = self._find_earliest_asked_at(served)
        if kept.delivered_at > asked_at:
            kept = await self._refine_delivery_time(
                served.id, kept, holders, asked_at
            )
        self._kept.add(served.id, kept)
        if kept.delivered_at > asked_at:
            # Only one of the two streams may deliver the end of the answer.
            raise OutcomeError(Outcome.ALREADY_COMPLETED)
        return kept

    async def _refine_delivery_time(
        self,
        request_id: str,
        kept: KeptAnswer,
        holders: list[str],
        asked_at: float,
    ) -> KeptAnswer:
        """Asks the holders again when an answer was delivered.

        A reply states an age. The time that the reply takes, which is long on a
        busy host, makes the delivery look later than it was. So the earliest
        of several readings is used.

        Args:
            request_id: the request.
            kept: the answer, with the first reading of its delivery time.
            holders: the hosts that are asked.
            asked_at: earliest loop time at which the resumption was asked for,
                seconds. Readings end once the delivery is known to be no later.
        """
        for _ in range(EXTRA_TIMING_READINGS):
            calls = [
                self._release_if_live(host, request_id) for host in holders
            ]
            again = find_latest_answer(await asyncio.gather(*calls))
            if again is None:
                break
            if again.delivered_at < kept.delivered_at:
                kept = again
            if kept.delivered_at <= asked_at:
                break
        return kept

    def _find_earliest_asked_at(self, served: ServedRequest) -> float:
        """Returns the earliest time at which the caller may have resumed.

        This may be before the arrival of the request at this code, because the
        request may have waited unread while this host was paused or cut off.

        Returns:
            Loop time, seconds; minus infinity if there is no lower bound.
        """
        board = self._blackboard
        now = asyncio.get_running_loop().time()
        if not has_quorum(board, now):
            return board.quorum_at
        is_after_gap = board.quorum_gap_at >= served.arrived_at - QUORUM_LEASE_S
        return -math.inf if is_after_gap else served.arrived_at

    async def _find_kept_answer(
        self, served: ServedRequest, hosts: list[str]
    ) -> KeptAnswer | None:
        """Looks for a delivered answer at this host, then at the others.

        The others are asked only if the answer is known to be delivered and is
        not kept here.
        """
        kept = None
        if served.answered or not served.previous_holder:
            kept = self._kept.find(served.id)
        if kept is not None or not served.answered:
            return kept
        calls = [self._release_if_live(host, served.id) for host in hosts]
        return find_latest_answer(await asyncio.gather(*calls))

    async def _release_if_live(
        self, host: str, request_id: str
    ) -> StreamReleaseReply | None:
        try:
            return await self._call_release(host, StreamRelease(request_id))
        except PeerUnavailableError:
            return None

    @contextlib.contextmanager
    def _mark_locating(self, request_id: str) -> Iterator[None]:
        """Marks that this host is taking over a request's stream.

        A release of the same request, for the next host that resumes it, waits
        until the block has ended.
        """
        located = asyncio.Event()
        self._located_by_request_id[request_id] = located
        try:
            yield
        finally:
            located.set()
            if self._located_by_request_id.get(request_id) is located:
                del self._located_by_request_id[request_id]

    def stop_serving(self, request_id: str) -> ServedRequest | None:
        """Stops serving a request that its caller has resumed.

        The caller has done so at another host or on another connection.

        Returns:
            The request, None if this host did not serve it.
        """
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

    async def _release_holder(
        self, host: str, incarnation: int, request_id: str
    ) -> StreamReleaseReply | None:
        """Asks a host to release a request, and retries until that is settled.

        The holder may be frozen and later go on sending the tokens that it has
        received. So it is asked until it answers, is gone, or has been silent
        for so long that it must ask the directory before it sends more to its
        caller.

        Returns:
            The holder's reply, None if it can no longer serve the request.
        """
        clock = asyncio.get_running_loop().time
        give_up_at = clock() + UNHEARD_LEASE_EXPIRY_S
        while True:
            try:
                return await self._call_release(host, StreamRelease(request_id))
            except PeerGoneError:
                return None
            except PeerUnavailableError as error:
                log.debug(
                    'host %s did not release request %s: %s',
                    host,
                    request_id,
                    error,
                )
            reply = await self._release_through_peers(host, request_id)
            if reply is not None:
                return reply
            if self._has_stopped_serving(
                host, incarnation, clock() >= give_up_at
            ):
                return None
            await asyncio.sleep(RELEASE_RETRY_S)

    def _has_stopped_serving(
        self, host: str, incarnation: int, lease_has_expired: bool
    ) -> bool:
        """Returns whether a process of a host sends nothing more to callers.

        Args:
            host: the host.
            incarnation: incarnation of the process, 0 if unknown.
            lease_has_expired: whether a process that no host has heard from
                has lost its lease by now, if it runs at all.
        """
        entry = self._blackboard.hosts_by_id.get(host)
        if entry is None or entry.incarnation < incarnation:
            return lease_has_expired
        return entry.silent or entry.incarnation > incarnation > 0

    async def _call_release(
        self, host: str, request: StreamRelease
    ) -> StreamReleaseReply:
        return await self._calls.call(
            host, request, StreamReleaseReply, CALL_TIMEOUT_S
        )

    async def _release_through_peers(
        self, holder: str, request_id: str
    ) -> StreamReleaseReply | None:
        """Asks the other live hosts to pass a release on to a holder.

        This reaches a holder to which only this host has no connection.

        Returns:
            The first reply, None if no host reached the holder.
        """
        request = StreamRelease(request_id, holder)
        others = set(self._blackboard.live_hosts())
        others -= {holder, self._blackboard.host}
        calls = [
            asyncio.ensure_future(self._call_release(peer, request))
            for peer in sorted(others)
        ]
        try:
            for call in asyncio.as_completed(calls):
                try:
                    return await call
                except PeerUnavailableError as error:
                    log.debug('no peer path to host %s: %s', holder, error)
        finally:
            for pending in calls:
                pending.cancel()
        return None

    async def _find_at_pool_owners(
        self, served: ServedRequest, hosts: list[str]
    ) -> None:
        """Finds the stream by the reservations that pool owners know of."""
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

    async def _find_at_engines(self, served: ServedRequest, model: str) -> None:
        """Finds the stream by asking the engines of a model.

        This is for the case that all hosts which knew of the stream have died.
        """
        engine_ids = [
            endpoint.id
            for endpoint in self._blackboard.endpoints_by_id.values()
            if endpoint.model == model
        ]
        found = await asyncio.gather(
            *(
                self._find_attempt(engine_id, served.id)
                for engine_id in engine_ids
            )
        )
        for engine_id, attempt in zip(engine_ids, found, strict=True):
            if attempt is not None:
                self._adopt(served, attempt, '', engine_id)

    async def _find_attempt(
        self, engine_id: str, request_id: str
    ) -> int | None:
        """Returns the newest attempt at a request that an engine decodes."""
        engine = self._clients.engine(engine_id)
        if engine is None:
            return None
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                streams = await engine.streams()
        except (MustardscaleError, TimeoutError) as error:
            log.debug(
                'could not list the streams of engine %s: %s', engine_id, error
            )
            return None
        attempts = [
            info.tag.attempt
            for info in streams
            if info.tag.request_id == request_id
            and info.stage in (StreamStage.DECODE, StreamStage.FINISHED)
        ]
        return max(attempts, default=None)

    def keep_answer(self, served: ServedRequest, finish_reason: str) -> None:
        """Keeps an answer whose last token is being sent to the caller."""
        now = asyncio.get_running_loop().time()
        answer = self._kept.find(served.id)
        if served.answered and answer is not None:
            answer = dataclasses.replace(answer, delivered_at=now)
        else:
            answer = KeptAnswer(0, tuple(served.emitted), finish_reason, now)
        self._kept.add(served.id, answer)

    def record_delivered(self, request_id: str) -> None:
        """Remembers for DELIVERED_MEMORY_S that an answer was delivered."""
        now = asyncio.get_running_loop().time()
        self._delivered_at_by_id.pop(request_id, None)
        self._delivered_at_by_id[request_id] = now
        for known, delivered_at in list(self._delivered_at_by_id.items()):
            if now - delivered_at <= DELIVERED_MEMORY_S:
                break
            del self._delivered_at_by_id[known]

    async def _on_release(
        self, sender: str, request: StreamRelease
    ) -> StreamReleaseReply:
        if request.holder not in ('', self._blackboard.host):
            direct = StreamRelease(request.request_id)
            return await self._call_release(request.holder, direct)
        located = self._located_by_request_id.get(request.request_id)
        if located is not None:
            await located.wait()
        local_request = self._blackboard.served_by_id.get(request.request_id)
        if local_request is not None and local_request.delivered:
            return StreamReleaseReply(released=False, done=True)
        served = self.stop_serving(request.request_id)
        kept = self._kept.find(request.request_id)
        if kept is not None:
            return make_kept_reply(kept, served is not None)
        if served is None and request.request_id in self._delivered_at_by_id:
            return StreamReleaseReply(released=False, done=True)
        if served is None or served.tag is None:
            return StreamReleaseReply(released=served is not None)
        return StreamReleaseReply(
            True,
            tuple(served.emitted),
            served.tag.attempt,
            served.prefill,
            served.decode,
        )
