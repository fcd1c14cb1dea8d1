"""Settings, faults and counters of the model engine stand-in."""

from __future__ import annotations

import dataclasses

from mustardscale.endpoints.engines import (
    EngineOrder,
    EngineRole,
    SamplingOptions,
)

WASTED_EVICTED = 'evicted'
WASTED_CANCELLED = 'cancelled'
WASTED_REPEATED = 'repeated'
WASTED_LOST = 'lost'


@dataclasses.dataclass(slots=True)
class EngineParameters:
    """Size and speed of one engine.

    Attributes:
        role: role at start.
        model: model loaded at start.
        model_version: version of that model.
        pieces_total: memory in pieces.
        piece_tokens: tokens that one piece holds.
        prefill_tokens_per_s: rate at which prompt tokens are computed.
        prefill_base_s: fixed part of each prefill, seconds.
        step_base_s: fixed part of a decode step, seconds.
        step_per_stream_s: part of a decode step for each stream, seconds.
        keep_s: seconds for which a prefill result is kept.
        kv_bytes_per_token: size of the KV cache of one token.
        link_bytes_per_s: rate of the link, the same in each direction.
        cache_blocks: blocks that the prefix cache holds.
        cache_event_delay_s: seconds until a cache event is published.
        cache_event_loss: probability that a cache event is lost.
        report_lag_s: least age of the load report handed out, seconds.
        finished_keep_s: seconds for which a finished stream can be resumed.
        tokens_per_event: tokens that are gathered into one event; the first
            and the last token of a stream are sent at once.
        checks_fencing: whether an order with an old term is refused.
        order_s: seconds that an order takes besides loading the model.
        restart_s: seconds for which the engine is down after a crash.
        remembered_requests: request ids whose newest attempt is remembered.
        seed: seed of the random generator.
    """

    role: EngineRole = EngineRole.PREFILL
    model: str = 'model'
    model_version: str = '1'
    pieces_total: int = 64
    piece_tokens: int = 2000
    prefill_tokens_per_s: float = 16_000.0
    prefill_base_s: float = 0.02
    step_base_s: float = 0.012
    step_per_stream_s: float = 0.0006
    keep_s: float = 0.8
    kv_bytes_per_token: int = 100_000
    link_bytes_per_s: float = 2e9
    cache_blocks: int = 400
    cache_event_delay_s: float = 0.3
    cache_event_loss: float = 0.05
    report_lag_s: float = 0.5
    finished_keep_s: float = 10.0
    tokens_per_event: int = 1
    checks_fencing: bool = True
    order_s: float = 0.5
    restart_s: float = 2.0
    remembered_requests: int = 20_000
    seed: int = 0


@dataclasses.dataclass(slots=True)
class EngineFaults:
    """Faults that can be switched while the engine runs.

    Attributes:
        crash_fingerprints: prompts that crash the engine.
        slow_factor: factor on the time of prefills and decode steps.
        transfers_stalled: whether exports of KV cache make no progress.
        leaving: whether new work is refused.
        lose_cancel_answers: cancels take effect but are not answered.
        lose_order_answers: orders take effect but are not answered.
        lose_events: probability that a token event is lost.
        duplicate_events: probability that a token event is sent twice.
        reorder_events: probability that a token event is sent after the next.
    """

    crash_fingerprints: set[int] = dataclasses.field(default_factory=set)
    slow_factor: float = 1.0
    transfers_stalled: bool = False
    leaving: bool = False
    lose_cancel_answers: bool = False
    lose_order_answers: bool = False
    lose_events: float = 0.0
    duplicate_events: float = 0.0
    reorder_events: float = 0.0


@dataclasses.dataclass(slots=True)
class EngineCounters:
    """What the engine did, for judging; survives crashes.

    Attributes:
        prefill_tokens_computed: prompt tokens computed, without cached ones.
        wasted_tokens_by_cause: those whose result was of no use.
        prefills_by_request: prefills begun for each request id.
        executions_by_request: decodes begun for each request id.
        tokens_emitted: output tokens generated.
        preempted: streams ended because memory ran out.
        sampling_by_request: options of each request's last prefill or decode,
            where it has any.
        crashes: crashes and kills.
        orders_done: orders carried out.
        orders_refused: orders refused because of their old term.
        cut_by_orders: prefills and streams that a change of model ended.
    """

    prefill_tokens_computed: int = 0
    wasted_tokens_by_cause: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    prefills_by_request: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    executions_by_request: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    sampling_by_request: dict[str, SamplingOptions] = dataclasses.field(
        default_factory=dict
    )
    tokens_emitted: int = 0
    preempted: int = 0
    crashes: int = 0
    orders_done: list[EngineOrder] = dataclasses.field(default_factory=list)
    orders_refused: int = 0
    cut_by_orders: int = 0

    @property
    def prefill_tokens_wasted(self) -> int:
        """Sum of the wasted tokens over all causes."""
        return sum(self.wasted_tokens_by_cause.values())

    def note_sampling(self, request_id: str, options: SamplingOptions) -> None:
        """Remembers options; they change no answer."""
        if options != SamplingOptions():
            self.sampling_by_request[request_id] = options

    def add_waste(self, cause: str, tokens: int) -> None:
        """Counts prefill tokens whose result was of no use."""
        earlier = self.wasted_tokens_by_cause.get(cause, 0)
        self.wasted_tokens_by_cause[cause] = earlier + tokens


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """Counters and memory at one moment.

    Attributes:
        counters: what was done.
        prefill_tokens_wasted: sum of the wasted tokens over all causes.
        pieces_used: memory pieces in use.
        start: start number.
    """

    counters: EngineCounters
    prefill_tokens_wasted: int
    pieces_used: int
    start: int
