"""Switches faults of the model engine stand-in by message."""

from __future__ import annotations

import dataclasses

from standins.engine_model import EngineModel


@dataclasses.dataclass(frozen=True, slots=True)
class FaultChange:
    """Faults to switch; what is None stays as it is.

    Attributes:
        kill: crash now; the engine comes back after down_s.
        down_s: seconds that it is down, None for the settings' time.
        frozen: whether the engine is halted and answers nothing.
        crash_fingerprints: prompts that crash the engine.
        slow_factor: factor on the time of prefills and decode steps.
        transfers_stalled: whether exports make no progress.
        link_bytes_per_s: rate of the link.
        report_lag_s: least age of load reports, seconds.
        leaving: whether new work is refused.
        lose_cancel_answers: cancels take effect but are not answered.
        lose_order_answers: orders take effect but are not answered.
        lose_events: probability that a token event is lost.
        duplicate_events: probability that a token event is sent twice.
        reorder_events: probability that a token event is sent after the next.
    """

    kill: bool = False
    down_s: float | None = None
    frozen: bool | None = None
    crash_fingerprints: tuple[int, ...] | None = None
    slow_factor: float | None = None
    transfers_stalled: bool | None = None
    link_bytes_per_s: float | None = None
    report_lag_s: float | None = None
    leaving: bool | None = None
    lose_cancel_answers: bool | None = None
    lose_order_answers: bool | None = None
    lose_events: float | None = None
    duplicate_events: float | None = None
    reorder_events: float | None = None


_PLAIN_FIELDS = (
    'slow_factor',
    'leaving',
    'lose_cancel_answers',
    'lose_order_answers',
    'lose_events',
    'duplicate_events',
    'reorder_events',
)


def apply_faults(model: EngineModel, change: FaultChange) -> None:
    """Switches the faults that a change names."""
    for name in _PLAIN_FIELDS:
        value = getattr(change, name)
        if value is not None:
            setattr(model.faults, name, value)
    if change.crash_fingerprints is not None:
        model.faults.crash_fingerprints.clear()
        model.faults.crash_fingerprints.update(change.crash_fingerprints)
    if change.transfers_stalled is not None:
        model.stall_transfers(change.transfers_stalled)
    if change.link_bytes_per_s is not None:
        model.set_link_rate(change.link_bytes_per_s)
    if change.report_lag_s is not None:
        model.set_report_lag(change.report_lag_s)
    if change.frozen is not None:
        _set_frozen(model, change.frozen)
    if change.kill:
        model.kill(change.down_s)


def _set_frozen(model: EngineModel, frozen: bool) -> None:
    if frozen:
        model.freeze()
    else:
        model.thaw()
