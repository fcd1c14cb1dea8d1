"""Chooses the engine that keeps a copy of a stream's KV cache.

It addresses streams that may not be resumed: they end with their engine unless
a second engine has their KV cache. Copies take memory that other streams could
use, so an engine is named only if the whole stream fits into memory that is
free by its report and by the reservations.
"""

from __future__ import annotations

from mustardscale.endpoints.engines import EngineRole
from mustardscale.peers.peer_messages import AdmitRequest
from mustardscale.policy.base import (
    EngineState,
    PoolState,
    candidate_engines,
)
from mustardscale.policy.memory_booking import pieces_for


def choose_backup(pool: PoolState, request: AdmitRequest, decode: str) -> str:
    """Returns the id of the engine with the most room, '' if none has room.

    Engines in the data centre of the stream's engine come first, since a copy
    takes longer to another one.

    Args:
        pool: the pool, without the reservation of the request.
        request: the request.
        decode: id of the engine that runs it.
    """
    runner = pool.engines_by_id.get(decode)
    if runner is None:
        return ''
    pieces = pieces_for(
        request.prompt_tokens + request.max_tokens, pool.piece_tokens
    )
    candidates = [
        engine
        for engine in candidate_engines(pool, EngineRole.DECODE, request)
        if engine.id != decode
        and engine.version == runner.version
        and _free_pieces(pool, engine) >= pieces
    ]
    if not candidates:
        return ''
    return max(
        candidates,
        key=lambda engine: (
            engine.data_centre == runner.data_centre,
            _free_pieces(pool, engine),
            engine.id,
        ),
    ).id


def _free_pieces(pool: PoolState, engine: EngineState) -> int:
    """Returns the KV blocks that are free by report and by reservations."""
    report = engine.report
    if report is None:
        return 0
    share = pool.reservations_by_request_id.decode_share(engine.id)
    booked = share.largest_pieces + share.copied_pieces
    return min(report.pieces_free, report.pieces_total - booked)
