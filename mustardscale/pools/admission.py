"""The entry host's side of admission.

It requests endpoints from pool owners and reports the running streams to them.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import math
import random
from collections.abc import Iterator, Sequence

from mustardscale.background_tasks import BackgroundTasks
from mustardscale.blackboard import Blackboard, ServedRequest
from mustardscale.configuration.config_records import Profile
from mustardscale.controller import Controller, pause
from mustardscale.endpoints.engines import Prompt, StreamTag
from mustardscale.exceptions import OutcomeError, PeerUnavailableError
from mustardscale.hosts.rendezvous import rank
from mustardscale.outcomes import Outcome
from mustardscale.peers.held_set import HeldSet, stream_hash
from mustardscale.peers.peer_calls import PeerCalls
from mustardscale.peers.peer_messages import (
    Acknowledgement,
    AdmitReply,
    AdmitRequest,
    HeldDigest,
    HeldDigestReply,
    HeldStream,
    PeerRequest,
    Progress,
    Release,
)
from mustardscale.pools.pool_members import (
    PoolMembers,
    compute_pools,
    find_owner,
)

log = logging.getLogger(__name__)

PROGRESS_INTERVAL_S = 0.5
# Interval at which owners get the progress of all streams, seconds. Between two
# lists they estimate it. In this time a stream fills only part of a KV block
# (piece).
FULL_LIST_INTERVAL_S = 10.0
# Up to this number of streams of a pool, every report lists all streams instead
# of sending their digest. That costs 6 kB/s. An owner that knows the progress
# grants more requests when memory is nearly full.
MAX_ALWAYS_LISTED_STREAMS = 16
CALL_TIMEOUT_S = 1.0
OWNER_RETRY_S = 0.1
# Remaining time that is too short for another request, seconds. The loop's
# clock may not advance by less.
LEAST_WAIT_S = 1e-6
RETRY_AFTER_S = 2.0
# Time for which a request waits for admission to the preferred pool before
# other pools are tried as well, seconds.
FIRST_POOL_WAIT_S = 0.1
# Time within which another pool must admit the request, seconds.
OTHER_POOL_ADMISSION_S = 0.005
# Timeout of the call to the owner of another pool, seconds.
OTHER_POOL_TIMEOUT_S = 0.1
# Maximum number of other pools that are tried while the request waits.
MAX_OTHER_POOLS = 2
# Time for the owner's answer to arrive after the patience of the request's
# profile has passed, seconds.
ANSWER_MARGIN_S = 2.0

_TRY_OTHER_POOL_OUTCOMES = frozenset(
    {
        Outcome.POOL_SATURATED,
        Outcome.NO_ENDPOINT,
        Outcome.OWNER_UNAVAILABLE,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class _AdmissionQuery:
    """Input of an admission that does not depend on the pool.

    Attributes:
        prompt: prompt of the request.
        served: state of the request at this host.
        profile: profile of the request.
        excluded: endpoints that must not be used again.
        deadline_at: loop time by which the request must have ended.
    """

    prompt: Prompt
    served: ServedRequest
    profile: Profile
    excluded: Sequence[str]
    deadline_at: float


class AdmissionClient(Controller):
    """Requests endpoints from pool owners and reports running streams."""

    def __init__(
        self, blackboard: Blackboard, calls: PeerCalls, rng: random.Random
    ):
        self._blackboard = blackboard
        self._calls = calls
        self._rng = rng
        self._background = BackgroundTasks()
        self._pools_by_id: dict[str, PoolMembers] = {}
        self._owner_by_pool: dict[str, str] = {}
        # Loop time of the last full list of streams, and the owner that got it.
        self._listed_at_by_pool: dict[str, tuple[float, str]] = {}
        self._release_by_request_id: dict[str, asyncio.Task[object]] = {}

    async def run(self) -> None:
        """Reports the streams of this host to the owners of their pools."""
        while True:
            await self.report_all()
            await pause(PROGRESS_INTERVAL_S, self._rng)

    def follow_membership(self) -> None:
        """Updates pools and owners when hosts or endpoints change."""
        board = self._blackboard
        self._pools_by_id = compute_pools(board)
        owner_by_pool = {
            pool.id: find_owner(board, pool)
            for pool in self._pools_by_id.values()
        }
        if owner_by_pool != self._owner_by_pool:
            self._owner_by_pool = owner_by_pool
            self._background.start(self.report_all())

    def pools_for(self, model: str, prompt_key: str) -> list[PoolMembers]:
        """Returns a model's pools, the preferred one first.

        Pools of this data centre and pools that span the region come first.
        Prompts with the same beginning get the same order of pools.
        """
        pools = [
            pool for pool in self._pools_by_id.values() if pool.model == model
        ]
        ranked = rank(prompt_key, [pool.id for pool in pools])
        rank_by_id = {pool_id: number for number, pool_id in enumerate(ranked)}
        here = self._blackboard.data_centre
        return sorted(
            pools,
            key=lambda p: (p.data_centre not in ('', here), rank_by_id[p.id]),
        )

    async def admit(
        self,
        prompt: Prompt,
        served: ServedRequest,
        profile: Profile,
        model: str,
        excluded: Sequence[str],
        deadline_at: float,
    ) -> AdmitReply:
        """Waits until a pool owner grants endpoints for a request.

        Raises:
            OutcomeError: the owner refused, or no owner answered.
        """
        await self._wait_for_release(served.id)
        hashes = prompt.block_hashes
        prompt_key = str(hashes[0] if hashes else prompt.fingerprint)
        pools = self.pools_for(model, prompt_key)
        if not pools:
            raise OutcomeError(Outcome.NO_ENDPOINT, retry_after_s=RETRY_AFTER_S)
        query = _AdmissionQuery(prompt, served, profile, excluded, deadline_at)
        reply = await self._admit_to_first_pool(pools, query)
        for pool in pools[1:]:
            if reply.outcome not in _TRY_OTHER_POOL_OUTCOMES:
                break
            served.pool = pool.id
            reply = await self._request_until_decided(
                self._build_request(query), query
            )
        if reply.outcome == Outcome.COMPLETE:
            return reply
        raise OutcomeError(
            Outcome(reply.outcome),
            retry_after_s=reply.retry_after_s or RETRY_AFTER_S,
        )

    async def _admit_to_first_pool(
        self, pools: Sequence[PoolMembers], query: _AdmissionQuery
    ) -> AdmitReply:
        """Waits for the preferred pool and tries others after a short time.

        During a burst the preferred pool may be full while others are free.
        """
        served = query.served
        served.pool = pools[0].id
        admission_request = self._build_request(query)
        waiting = asyncio.create_task(
            self._request_until_decided(admission_request, query)
        )
        try:
            if len(pools) > 1:
                await asyncio.wait([waiting], timeout=FIRST_POOL_WAIT_S)
            if _may_try_other_pools(waiting):
                other = await self._try_other_pools(pools[1:], query)
                if other is not None:
                    if _is_granted(waiting):
                        self._release_grant(admission_request)
                    return other
            served.pool = admission_request.pool
            return await waiting
        finally:
            waiting.cancel()

    async def _try_other_pools(
        self, pools: Sequence[PoolMembers], query: _AdmissionQuery
    ) -> AdmitReply | None:
        """Returns the grant of another pool that admits at once, if any."""
        served = query.served
        ranked = rank(served.id, [pool.id for pool in pools])
        for pool_id in ranked[:MAX_OTHER_POOLS]:
            served.pool = pool_id
            admission_request = dataclasses.replace(
                self._build_request(query), turn_within_s=OTHER_POOL_ADMISSION_S
            )
            reply = await self._request_once(
                admission_request, OTHER_POOL_TIMEOUT_S
            )
            if reply is not None and reply.outcome == Outcome.COMPLETE:
                return reply
        return None

    def _build_request(self, query: _AdmissionQuery) -> AdmitRequest:
        """Returns the message to the owner of the pool in served.pool."""
        served, prompt = query.served, query.prompt
        now = asyncio.get_running_loop().time()
        waited_s = now - served.arrived_at
        assert served.tag is not None
        return AdmitRequest(
            pool=served.pool,
            tag=served.tag,
            service=served.service,
            prompt_tokens=served.prompt_tokens,
            block_hashes=prompt.block_hashes,
            fingerprint=prompt.fingerprint,
            max_tokens=max(1, served.max_tokens - served.emitted_tokens),
            first_token_s=query.profile.first_token_s - waited_s,
            deadline_s=query.deadline_at - now,
            waited_s=waited_s,
            excluded=tuple(query.excluded),
            hint_tokens=served.hint_tokens,
            keys=served.keys,
            priority=served.priority,
            customer=served.customer,
            wants_backup=served.wants_backup,
        )

    async def _request_until_decided(
        self, admission_request: AdmitRequest, query: _AdmissionQuery
    ) -> AdmitReply:
        """Repeats a request until an owner has decided.

        The owner may change in the meantime. A first attempt is given up when
        the patience of its profile has passed. Later attempts, whose answer has
        begun, are repeated until the deadline.
        """
        loop = asyncio.get_running_loop()
        give_up_at = query.deadline_at
        if admission_request.tag.attempt == 1:
            patience_s = query.profile.patience_s + ANSWER_MARGIN_S
            give_up_at = min(give_up_at, loop.time() + patience_s)
        while True:
            left_s = give_up_at - loop.time()
            if left_s <= LEAST_WAIT_S:
                return AdmitReply(Outcome.OWNER_UNAVAILABLE)
            reply = await self._request_once(admission_request, left_s)
            if reply is not None and reply.outcome != Outcome.OWNER_UNAVAILABLE:
                return reply
            await asyncio.sleep(min(OWNER_RETRY_S, left_s))

    async def _request_once(
        self, admission_request: AdmitRequest, timeout_s: float
    ) -> AdmitReply | None:
        """Returns the reply of the current owner, None if there is none."""
        host = self._owner_by_pool.get(
            admission_request.pool, self._blackboard.host
        )
        call = asyncio.create_task(
            self._calls.call(host, admission_request, AdmitReply, timeout_s)
        )
        try:
            while not call.done():
                await asyncio.wait([call], timeout=OWNER_RETRY_S)
                if self._owner_by_pool.get(admission_request.pool) != host:
                    return call.result() if call.done() else None
            return call.result()
        except PeerUnavailableError as error:
            log.debug('owner %s did not answer: %s', host, error)
            return None
        except asyncio.CancelledError:
            self._release_grant(admission_request)
            raise
        finally:
            call.cancel()

    def _release_grant(self, admission_request: AdmitRequest) -> None:
        """Releases a grant that is not needed any more."""
        release = Release(
            admission_request.pool,
            admission_request.tag,
            Outcome.CALLER_LEFT,
            0,
            0,
            False,
        )
        self._send(admission_request.pool, release)

    def report_takeover(self, served: ServedRequest) -> None:
        """Reports to a pool's owner that this host took over a stream.

        The pool is that of the decode engine. The owner may have dropped the
        reservation if the stream's previous host has long been silent, so the
        report has all that is needed to restore it.
        """
        served.pool = self._find_pool_of_engine(served.decode)
        stream = served.held_stream()
        if stream is not None:
            self._send(served.pool, self._build_progress(served.pool, [stream]))

    def report_move(self, served: ServedRequest) -> None:
        """Reports to a pool's owner that a stream goes on at its backup.

        The report waits for the release of the attempt before, which it would
        make void otherwise.
        """
        self._background.start(self._report_move(served, served.tag))

    async def _report_move(
        self, served: ServedRequest, tag: StreamTag | None
    ) -> None:
        await self._wait_for_release(served.id)
        is_served = self._blackboard.served_by_id.get(served.id) is served
        if is_served and served.tag == tag:
            self.report_takeover(served)

    def _find_pool_of_engine(self, engine_id: str) -> str:
        """Returns the id of an engine's pool, '' if it is not listed."""
        for pool in self._pools_by_id.values():
            if engine_id in pool.engine_ids:
                return pool.id
        return ''

    def report_stage(self, served: ServedRequest) -> None:
        """Reports to the pool's owner that a stream reached a stage."""
        stream = served.held_stream()
        if stream is not None:
            known = dataclasses.replace(stream, keys=())
            self._send(served.pool, self._build_progress(served.pool, [known]))

    def release(
        self,
        served: ServedRequest,
        outcome: Outcome,
        computed_tokens: int,
        finished: bool,
    ) -> None:
        """Releases the reservation of the current attempt."""
        if served.tag is None or not served.pool:
            return
        emitted = served.emitted_tokens - served.attempt_base
        release = Release(
            served.pool,
            served.tag,
            outcome,
            computed_tokens,
            emitted,
            finished,
        )
        host = self._owner_by_pool.get(served.pool)
        if host is not None:
            task = self._background.start(self._deliver(host, release))
            self._release_by_request_id[served.id] = task
            task.add_done_callback(
                lambda done: self._forget_release(served.id, done)
            )

    async def _wait_for_release(self, request_id: str) -> None:
        """Waits until the release of the previous attempt is delivered.

        If the next admission request arrived first, its grant would replace the
        reservation, and the owner would not learn of a crash of the engine.
        """
        task = self._release_by_request_id.get(request_id)
        if task is not None:
            await asyncio.wait([task])

    def _forget_release(
        self, request_id: str, task: asyncio.Task[object]
    ) -> None:
        if self._release_by_request_id.get(request_id) is task:
            del self._release_by_request_id[request_id]

    async def report_all(self) -> None:
        """Reports all streams of this host to the owners of their pools."""
        pools = {served.pool for served in self._granted_requests()}
        for pool_id in pools:
            self._background.start(self._report_pool(pool_id))
        for pool_id in set(self._listed_at_by_pool) - pools:
            del self._listed_at_by_pool[pool_id]

    def _granted_requests(self) -> Iterator[ServedRequest]:
        """Yields the requests that have been granted engines."""
        for served in self._blackboard.served_by_id.values():
            granted = served.tag is not None and served.prefill
            if granted and not served.taken_over:
                yield served

    async def _report_pool(self, pool_id: str) -> None:
        """Reports the streams of a pool to its owner.

        Many streams are reported by their digest. They are listed one by one
        if the owner does not know the same streams, or if the last list is
        too old or went to another owner.
        """
        host = self._owner_by_pool.get(pool_id)
        if host is None:
            return
        now = asyncio.get_running_loop().time()
        listed_at, listed_to = self._listed_at_by_pool.get(
            pool_id, (-math.inf, '')
        )
        digest = self._build_digest(pool_id)
        fresh = listed_to == host and now - listed_at < FULL_LIST_INTERVAL_S
        if fresh and digest.count > MAX_ALWAYS_LISTED_STREAMS:
            try:
                reply = await self._calls.call(
                    host, digest, HeldDigestReply, CALL_TIMEOUT_S
                )
            except PeerUnavailableError as error:
                log.debug('sending digest to owner %s failed: %s', host, error)
                return
            if reply.known:
                return
        self._listed_at_by_pool[pool_id] = (now, host)
        streams = [
            stream
            for served in self._granted_requests()
            if served.pool == pool_id
            and (stream := served.held_stream()) is not None
        ]
        if listed_to == host:
            # The owner has the keys from the admissions or from the last list.
            streams = [
                dataclasses.replace(stream, keys=()) for stream in streams
            ]
        await self._deliver(host, self._build_progress(pool_id, streams, True))

    def _build_digest(self, pool_id: str) -> HeldDigest:
        streams = HeldSet()
        for served in self._granted_requests():
            if served.pool == pool_id and served.tag is not None:
                streams.add(stream_hash(served.tag, served.stage))
        board = self._blackboard
        return HeldDigest(
            pool_id,
            board.host,
            board.incarnation,
            streams.count,
            streams.digest,
        )

    def _build_progress(
        self, pool_id: str, streams: list[HeldStream], complete: bool = False
    ) -> Progress:
        return Progress(
            pool_id,
            self._blackboard.host,
            self._blackboard.incarnation,
            tuple(streams),
            complete,
        )

    def _send(self, pool_id: str, request: PeerRequest) -> None:
        """Sends a report to a pool's owner without waiting."""
        host = self._owner_by_pool.get(pool_id)
        if host is not None:
            self._background.start(self._deliver(host, request))

    async def _deliver(self, host: str, request: PeerRequest) -> None:
        try:
            await self._calls.call(
                host, request, Acknowledgement, CALL_TIMEOUT_S
            )
        except PeerUnavailableError as error:
            log.debug('report to owner %s failed: %s', host, error)


def _may_try_other_pools(admission: asyncio.Task[AdmitReply]) -> bool:
    """Returns whether another pool may admit what waits or was refused."""
    if not admission.done():
        return True
    return admission.result().outcome in _TRY_OTHER_POOL_OUTCOMES


def _is_granted(admission: asyncio.Task[AdmitReply]) -> bool:
    """Returns whether an owner has granted the admission."""
    if not admission.done() or admission.cancelled() or admission.exception():
        return False
    return admission.result().outcome == Outcome.COMPLETE
