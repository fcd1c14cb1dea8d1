"""Estimates for how long a request occupies the scarce resources of a pool.

A prompt occupies the prefill engines, and an answer holds decode memory until
it ends. If not all requests can be served in time, preferring those that occupy
little allows more of them to be served.
"""

from __future__ import annotations

import dataclasses

from mustardscale.endpoints.engines import EngineRole
from mustardscale.peers.peer_messages import AdmitRequest
from mustardscale.policy.base import PoolState
from mustardscale.policy.engine_tracker import EngineTracker
from mustardscale.policy.pairing import Round

# Number of streams on a decode engine at which the step time is estimated.
TYPICAL_STREAMS = 10
# Share of the maximum answer length that is expected if the caller gives no
# hint.
DEFAULT_OUTPUT_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class PoolCapacity:
    """The combined capacity of a pool's engines.

    Attributes:
        prompt_tokens_per_s: prompt tokens that they compute per second.
        memory_tokens: tokens that fit into the decode engines' KV memory.
        step_s: seconds from one token of a stream to the next.
    """

    prompt_tokens_per_s: float
    memory_tokens: int
    step_s: float

    def occupancy_s(self, request: AdmitRequest) -> float:
        """Returns the seconds for which a request would occupy the whole pool.

        >>> request = AdmitRequest('', None, '', 5_000, (), 0, 1_000, 1.0, 9.0)
        >>> PoolCapacity(50_000.0, 1_000_000, 0.01).occupancy_s(request)
        0.12625
        """
        output = (
            request.hint_tokens or request.max_tokens * DEFAULT_OUTPUT_SHARE
        )
        seconds = request.prompt_tokens / self.prompt_tokens_per_s
        if self.memory_tokens:
            mean_tokens = request.prompt_tokens + output / 2
            held_s = output * self.step_s
            seconds += mean_tokens * held_s / self.memory_tokens
        return seconds


def compute_capacity(
    tracker: EngineTracker, current: Round, pool: PoolState
) -> PoolCapacity:
    """Returns the capacity of a pool's usable engines."""
    rate = sum(engine.tokens_per_s for engine in current.prefills)
    if not rate:
        rate = tracker.local_prefill_rate() * max(1, len(current.decode_ids))
    memory_tokens = sum(
        engine.report.pieces_total * engine.report.piece_tokens
        for engine in pool.engines(EngineRole.DECODE)
        if engine.report is not None
    )
    return PoolCapacity(
        rate, memory_tokens, tracker.capacities.step_s(TYPICAL_STREAMS)
    )
