"""Cancels streams on engines that no live host reports."""

from __future__ import annotations

import asyncio
import itertools
import logging
import random

from mustardscale.blackboard import Blackboard
from mustardscale.controller import Controller, pause
from mustardscale.endpoints.cancellation import Canceller
from mustardscale.endpoints.endpoint_clients import EndpointClients
from mustardscale.endpoints.engines import StreamInfo, StreamStage
from mustardscale.exceptions import MustardscaleError
from mustardscale.outcomes import Outcome
from mustardscale.policy.base import tag_key
from mustardscale.pools.owned_pool import OwnedPool
from mustardscale.pools.pool_lines import OrphanLine
from mustardscale.pools.pool_owner import PoolOwner
from mustardscale.traces.trace import DecisionKind

log = logging.getLogger(__name__)

INTERVAL_S = 1.0
# In an idle pool only one of this number of comparisons takes place. A stream
# that is first seen there and has no holder is cancelled after two comparisons
# and its grace period, which takes under 5 s if its host is live.
IDLE_POOL_STRIDE = 2
TIMEOUT_S = 1.0
# Time for which a live host may leave a stream out of its reports, seconds.
UNNAMED_GRACE_S = 2.0


class Reconciler(Controller):
    """Compares the engines' streams with those that live hosts report."""

    def __init__(
        self,
        blackboard: Blackboard,
        clients: EndpointClients,
        pool_owner: PoolOwner,
        canceller: Canceller,
        resume_grace_s: float,
        rng: random.Random,
    ):
        self._blackboard = blackboard
        self._clients = clients
        self._pool_owner = pool_owner
        self._canceller = canceller
        self._resume_grace_s = resume_grace_s
        self._rng = rng
        self._unnamed_since: dict[tuple[str, str, int], float] = {}

    async def run(self) -> None:
        """Compares at a fixed interval, less often in idle pools."""
        for cycle in itertools.count():
            now = asyncio.get_running_loop().time()
            pools = [
                pool
                for pool in self._pool_owner.owned_by_id.values()
                if cycle % IDLE_POOL_STRIDE == 0
                or self._unnamed_since
                or not pool.is_idle(now)
            ]
            await asyncio.gather(
                *(
                    self._reconcile_engine(pool, engine_id)
                    for pool in pools
                    for engine_id in pool.members.engine_ids
                )
            )
            await pause(INTERVAL_S, self._rng)

    async def _reconcile_engine(self, pool: OwnedPool, engine_id: str) -> None:
        engine = self._clients.engine(engine_id)
        if engine is None or self._serves_other_model(pool, engine_id):
            return
        asked_at = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(TIMEOUT_S):
                streams = await engine.streams()
        except (MustardscaleError, TimeoutError) as error:
            log.debug('reading streams of %s failed: %s', engine_id, error)
            return
        present = {
            tag_key(info.tag)
            for info in streams
            if info.stage is not StreamStage.FINISHED
        }
        pool.expired_reservations.update_holders(engine_id, present, asked_at)
        for info in streams:
            if info.stage is StreamStage.FINISHED:
                continue
            if _is_named(info, pool):
                key = (engine_id, *tag_key(info.tag))
                self._unnamed_since.pop(key, None)
            else:
                self._cancel_if_orphaned(engine_id, info)
        for key in list(self._unnamed_since):
            if key[0] == engine_id and key[1:] not in present:
                del self._unnamed_since[key]

    def _serves_other_model(self, pool: OwnedPool, engine_id: str) -> bool:
        """Returns whether an engine now serves a model of another pool.

        An owner that is cut from the log does not learn that the engine was
        moved.
        """
        entry = self._blackboard.endpoints_by_id.get(engine_id)
        if entry is None or entry.report is None:
            return False
        return entry.report.model not in ('', pool.members.model)

    def _cancel_if_orphaned(self, engine_id: str, info: StreamInfo) -> None:
        """Cancels a stream that no host reports once its grace is over."""
        now = asyncio.get_running_loop().time()
        key = (engine_id, *tag_key(info.tag))
        since = self._unnamed_since.setdefault(key, now)
        unnamed_s = now - since
        host_live = self._host_is_live(info)
        if not is_orphan(unnamed_s, host_live, self._resume_grace_s):
            return
        self._blackboard.record_line(
            OrphanLine,
            DecisionKind.ORPHAN_JUDGED,
            request_id=info.tag.request_id,
            attempt=info.tag.attempt,
            endpoint=engine_id,
            unnamed_s=unnamed_s,
            host_live=host_live,
            resume_grace_s=self._resume_grace_s,
        )
        log.warning(
            'stream %s attempt %d at %s has no holder; cancelling it',
            info.tag.request_id,
            info.tag.attempt,
            engine_id,
            extra={'code': Outcome.ORPHAN_STREAM_CANCELLED},
        )
        self._canceller.cancel(engine_id, info.tag.request_id, info.tag.attempt)

    def _host_is_live(self, info: StreamInfo) -> bool:
        if info.tag.host == self._blackboard.host:
            return info.tag.incarnation == self._blackboard.incarnation
        host = self._blackboard.hosts_by_id.get(info.tag.host)
        if host is None or host.silent:
            return False
        return host.incarnation == info.tag.incarnation


def is_orphan(unnamed_s: float, host_live: bool, resume_grace_s: float) -> bool:
    """Returns whether a stream that no host reports must be cancelled.

    Args:
        unnamed_s: seconds for which no host has reported it.
        host_live: whether the process that started it is still live.
        resume_grace_s: seconds for which a dead host's streams are kept.
    """
    return unnamed_s >= (UNNAMED_GRACE_S if host_live else resume_grace_s)


def _is_named(info: StreamInfo, pool: OwnedPool) -> bool:
    """Returns whether an unexpired reservation needs a stream.

    Streams of attempts before that of the reservation are not needed.
    """
    request_id = info.tag.request_id
    held = pool.state.reservations_by_request_id.get(request_id)
    if held is None or request_id in pool.expired_reservations:
        return False
    return held.stream.tag.attempt <= info.tag.attempt
