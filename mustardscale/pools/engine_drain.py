"""Checks whether an engine that is to be changed has no work any more."""

from __future__ import annotations

from mustardscale.blackboard import Blackboard
from mustardscale.endpoints.engines import LoadReport, StreamStage
from mustardscale.exceptions import PeerUnavailableError
from mustardscale.peers.peer_calls import PeerCalls
from mustardscale.peers.peer_messages import EngineDrain, EngineDrainReply
from mustardscale.policy.base import Reservation
from mustardscale.pools.pool_members import compute_pools, find_owner
from mustardscale.pools.pool_owner import PoolOwner

TIMEOUT_S = 1.0


class EngineDrains:
    """Asks pool owners for drains, and answers for the pools owned here."""

    __slots__ = ('_blackboard', '_calls', '_pool_owner')

    def __init__(
        self, blackboard: Blackboard, calls: PeerCalls, pool_owner: PoolOwner
    ):
        self._blackboard = blackboard
        self._calls = calls
        self._pool_owner = pool_owner
        calls.handle(EngineDrain, self._on_drain)

    async def is_drained(self, pool: str, engine: str, number: int) -> bool:
        """Returns whether an engine gets no new work and runs no stream.

        Args:
            pool: id of the pool, '' if the engine is in no pool.
            engine: id of the engine.
            number: fencing number of the engine's change.
        """
        if not pool:
            return True
        members = compute_pools(self._blackboard).get(pool)
        if members is None:
            return False
        host = find_owner(self._blackboard, members)
        request = EngineDrain(pool, engine, number)
        try:
            reply = await self._calls.call(
                host, request, EngineDrainReply, TIMEOUT_S
            )
        except PeerUnavailableError:
            return False
        return reply.withdrawn and not reply.streams

    async def _on_drain(
        self, sender: str, request: EngineDrain
    ) -> EngineDrainReply:
        pool = self._pool_owner.owned_by_id.get(request.pool)
        change = self._blackboard.orders.change_by_engine.get(request.engine)
        if pool is None or change is None or change.number < request.number:
            return EngineDrainReply(False, 0)
        self._pool_owner.refresh()
        reservations = pool.state.reservations_by_request_id.values()
        needed = [
            held for held in reservations if _needs_engine(held, request.engine)
        ]
        return EngineDrainReply(True, len(needed))


def _needs_engine(held: Reservation, engine: str) -> bool:
    """Returns whether a stream still needs an engine."""
    stream = held.stream
    if stream.stage is StreamStage.FINISHED:
        return False
    prefilling = stream.stage is not StreamStage.DECODE
    return stream.decode == engine or (prefilling and stream.prefill == engine)


def has_no_work(report: LoadReport) -> bool:
    """Returns whether a report shows no work."""
    free = report.pieces_free >= report.pieces_total
    return free and not report.active and not report.queued_tokens
