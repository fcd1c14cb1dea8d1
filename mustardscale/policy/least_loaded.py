"""The baseline policy that uses load reports and reserves no memory."""

from __future__ import annotations

from collections.abc import Sequence

from mustardscale.policy.base import EngineState
from mustardscale.policy.unreserved import UnreservedPolicy


class LeastLoadedPolicy(UnreservedPolicy):
    """Grants each request at once to the engines with the least load.

    The load is that of the latest reports: queued tokens of a prefill engine,
    used share of the memory of a decode engine. Without a report it is 0.
    """

    def choose(
        self, prefills: Sequence[EngineState], decodes: Sequence[EngineState]
    ) -> tuple[EngineState, EngineState]:
        """See the base class."""
        prefill = min(prefills, key=_queued_tokens)
        decode = min(decodes, key=_used_pieces)
        return prefill, decode


def _queued_tokens(engine: EngineState) -> tuple[int, str]:
    queued = engine.report.queued_tokens if engine.report else 0
    return (queued, engine.id)


def _used_pieces(engine: EngineState) -> tuple[float, str]:
    report = engine.report
    used = 0.0
    if report is not None and report.pieces_total > 0:
        used = 1.0 - report.pieces_free / report.pieces_total
    return (used, engine.id)
