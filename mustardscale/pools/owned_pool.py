"""State of a pool at its owner: waiting requests and reservations."""

from __future__ import annotations

import asyncio
import dataclasses
import math

from mustardscale.endpoints.engines import EngineRole, StreamStage
from mustardscale.outcomes import Outcome
from mustardscale.peers.held_set import HeldSet
from mustardscale.peers.peer_messages import (
    AdmitReply,
    HeldDigest,
    HeldStream,
    Release,
)
from mustardscale.policy.backup_choice import choose_backup
from mustardscale.policy.base import (
    EngineState,
    Grant,
    PlacementPolicy,
    PoolState,
    Reservation,
    WaitingRequest,
    candidate_engines,
)
from mustardscale.pools.expired_reservations import ExpiredReservations
from mustardscale.pools.pool_members import PoolMembers
from mustardscale.quarantine.crash_evidence import ProcessId
from mustardscale.quarantine.suspicions import Suspicions

# Time without any work after which a pool is idle and its engines are polled
# less often, seconds. After a failure, work that is left on engines is found
# and cancelled in less time, so that no promise depends on the slower polling.
IDLE_AFTER_S = 10.0


@dataclasses.dataclass(slots=True)
class OwnedPool:
    """A pool that this host owns.

    Attributes:
        members: the pool's engines according to the host list.
        state: input of the policy.
        policy: placement policy that decides on admissions.
        owned_since: loop time at which this host became the owner.
        reply_by_request_id: futures that receive the decisions.
        waiting_by_request_id: admissions not decided yet. They include those
            that are hidden from the policy because suspected requests must run
            on different engines.
        start_by_engine_id: last start number seen of each engine.
        crashed_at_by_process: loop times of the last crashes counted.
        expired_reservations: reservations that their hosts do not report any
            more.
        last_work_at: last loop time at which there was work according to
            waiting requests, reservations or the engines' reports.
    """

    members: PoolMembers
    state: PoolState
    policy: PlacementPolicy
    owned_since: float
    reply_by_request_id: dict[str, asyncio.Future[AdmitReply]] = (
        dataclasses.field(default_factory=dict)
    )
    waiting_by_request_id: dict[str, WaitingRequest] = dataclasses.field(
        default_factory=dict
    )
    start_by_engine_id: dict[str, int] = dataclasses.field(default_factory=dict)
    crashed_at_by_process: dict[ProcessId, float] = dataclasses.field(
        default_factory=dict
    )
    expired_reservations: ExpiredReservations = dataclasses.field(
        default_factory=ExpiredReservations
    )
    last_work_at: float = -math.inf

    def update_last_work(self, now: float) -> None:
        """Updates the time of the last work if there is work now."""
        if (
            self.waiting_by_request_id
            or self.state.reservations_by_request_id
            or any(map(_may_have_work, self.state.engines_by_id.values()))
        ):
            self.last_work_at = now

    def is_idle(self, now: float) -> bool:
        """Returns whether there has been no work for IDLE_AFTER_S."""
        return now - max(self.last_work_at, self.owned_since) > IDLE_AFTER_S


def _may_have_work(engine: EngineState) -> bool:
    """Returns whether an engine has work or has not reported yet."""
    report = engine.report
    return report is None or (
        report.active > 0
        or report.queued_tokens > 0
        or report.pieces_free < report.pieces_total
    )


def find_current_engine(held: Reservation) -> str:
    """Returns the engine that works on a stream in its current stage."""
    stream = held.stream
    if stream.stage in (StreamStage.QUEUED, StreamStage.PREFILL):
        return stream.prefill
    return stream.decode


def find_reservations_on(pool: OwnedPool, engine_id: str) -> list[Reservation]:
    """Returns the reservations that an engine works on."""
    return [
        held
        for held in pool.state.reservations_by_request_id.values()
        if find_current_engine(held) == engine_id
    ]


def build_expiry_release(pool: OwnedPool, held: Reservation) -> Release:
    """Returns the release of an expired reservation."""
    return Release(
        pool.members.id,
        held.stream.tag,
        Outcome.CALLER_LEFT,
        0,
        held.stream.emitted,
        False,
    )


def select_visible_requests(pool: OwnedPool) -> dict[str, WaitingRequest]:
    """Returns the requests that the policy may decide on.

    At most one of them is a suspect, and it may not use engines that already
    run another suspect. A crash of an engine then identifies its cause.
    """
    if not any(item.suspect for item in pool.waiting_by_request_id.values()):
        return dict(pool.waiting_by_request_id)
    visible: dict[str, WaitingRequest] = {}
    suspect_engines = {
        engine_id
        for held in pool.state.reservations_by_request_id.values()
        if held.suspect
        for engine_id in (held.stream.prefill, held.stream.decode)
    }
    suspect_shown = False
    for request_id, item in pool.waiting_by_request_id.items():
        if not item.suspect:
            visible[request_id] = item
            continue
        if suspect_shown:
            continue
        apart = dataclasses.replace(
            item.request,
            excluded=(*item.request.excluded, *sorted(suspect_engines)),
        )
        if all(
            candidate_engines(pool.state, role, apart) for role in EngineRole
        ):
            visible[request_id] = dataclasses.replace(item, request=apart)
            suspect_shown = True
    return visible


def renew_by_digest(pool: OwnedPool, request: HeldDigest) -> bool:
    """Renews the reservations of the streams that a host reports by digest.

    Returns:
        Whether the digest matches the reservations. It is False if one of them
        is a suspect, so that the host lists its streams: their progress may
        clear the suspect.
    """
    share = pool.state.reservations_by_request_id.process_share(
        request.host, request.incarnation
    )
    if share.streams != HeldSet(request.count, request.digest):
        return False
    held = share.by_request_id.values()
    if any(reservation.suspect for reservation in held):
        return False
    now = asyncio.get_running_loop().time()
    for reservation in held:
        reservation.named_at = now
    return True


def find_backup(pool: OwnedPool, item: WaitingRequest, grant: Grant) -> str:
    """Returns the engine for a copy of a stream's KV cache, '' for none.

    A request that may crash engines gets none: it would crash the second one.
    """
    if not item.request.wants_backup or item.suspect or item.is_trial:
        return ''
    return choose_backup(pool.state, item.request, grant.decode)


def build_reservation(
    item: WaitingRequest, grant: Grant, now: float, backup: str = ''
) -> Reservation:
    """Returns the reservation for a grant.

    Args:
        item: the request.
        grant: its engines.
        now: loop time.
        backup: id of the engine that keeps a copy of its KV cache, '' for none.
    """
    request = item.request
    stream = HeldStream(
        tag=request.tag,
        service=request.service,
        prefill=grant.prefill,
        decode=grant.decode,
        stage=StreamStage.QUEUED,
        prompt_tokens=request.prompt_tokens,
        emitted=0,
        max_tokens=request.max_tokens,
        fingerprint=request.fingerprint,
        hint_tokens=request.hint_tokens,
        backup=backup,
    )
    return Reservation(
        stream,
        request.fingerprint,
        granted_at=now,
        renewed_at=now,
        suspect=item.suspect,
        block_hashes=request.block_hashes,
        keys=request.keys,
        priority=request.priority,
        customer=request.customer,
    )


def mark_suspects(pool: OwnedPool, suspicions: Suspicions) -> None:
    """Updates which requests and reservations are suspects."""
    for waiting in pool.waiting_by_request_id.values():
        waiting.suspect = suspicions.is_suspect(waiting.request.keys)
    for held in pool.state.reservations_by_request_id.values():
        held.suspect = suspicions.is_suspect(held.keys)


def rebuild_reservation(stream: HeldStream, now: float) -> Reservation:
    """Returns the reservation of a stream that an earlier owner granted."""
    return Reservation(stream, stream.fingerprint, now, now, keys=stream.keys)
