"""Speeds of decode engines' steps, learnt from the tokens in their reports."""

from __future__ import annotations

import dataclasses

from mustardscale.endpoints.engines import LoadReport

# Minimum weight of a new sample. Reports come once a second, too late to follow
# short slowdowns, so about five are averaged.
MIN_SAMPLE_WEIGHT = 0.2
# Bounds of a factor. An engine that makes no tokens at all is found to have
# failed by other means.
MIN_FACTOR = 0.25
MAX_FACTOR = 4.0
# Maximum time between two reports that are compared, seconds.
MAX_SAMPLE_S = 5.0
# Time constant with which the factor of an idle engine returns to 1, seconds.
# Otherwise an engine that was slow once might get none again.
IDLE_FADE_S = 10.0


@dataclasses.dataclass(slots=True)
class _EngineSpeed:
    """What is known of one process of an engine.

    Attributes:
        start: start number of the process.
        factor: its step time as a multiple of the pool's.
        samples: number of samples that the factor has.
        read_at: loop time at which the last report was read.
        tokens_by_run: tokens that each run had made by then.
    """

    start: int
    read_at: float
    factor: float = 1.0
    samples: int = 0
    tokens_by_run: dict[str, int] = dataclasses.field(default_factory=dict)


class StepSpeeds:
    """The step time of each decode engine relative to that of the pool."""

    __slots__ = ('_speed_by_id',)

    def __init__(self):
        self._speed_by_id: dict[str, _EngineSpeed] = {}

    def factor(self, engine_id: str) -> float:
        """Returns an engine's step time as a multiple of the pool's."""
        known = self._speed_by_id.get(engine_id)
        return known.factor if known is not None else 1.0

    def list_factors(self) -> dict[str, float]:
        """Returns the factors that have been learnt by engine."""
        return {
            engine_id: known.factor
            for engine_id, known in self._speed_by_id.items()
            if known.samples
        }

    def observe(
        self, engine_id: str, report: LoadReport, pool_step_s: float, now: float
    ) -> float:
        """Learns from a report.

        Args:
            engine_id: id of the engine.
            report: its report.
            pool_step_s: step time in the pool with as many streams, seconds.
            now: loop time.

        Returns:
            Time of a step since the report before, seconds, 0 if unknown.
        """
        known = self._speed_by_id.get(engine_id)
        if known is None or known.start != report.start:
            # A new process may run other software on another machine.
            known = _EngineSpeed(report.start, now)
            self._speed_by_id[engine_id] = known
        passed_s = now - known.read_at
        tokens_by_run = dict(
            zip(report.run_ids or (), report.run_tokens or (), strict=False)
        )
        step_s = report.step_s
        if step_s <= 0 and 0 < passed_s <= MAX_SAMPLE_S:
            step_s = _measure_step_s(
                known.tokens_by_run, tokens_by_run, passed_s
            )
        known.read_at = now
        known.tokens_by_run = tokens_by_run
        if report.active > 0 and step_s > 0:
            weight = max(MIN_SAMPLE_WEIGHT, 1 / (known.samples + 2))
            sample = min(MAX_FACTOR, max(MIN_FACTOR, step_s / pool_step_s))
            known.factor += weight * (sample - known.factor)
            known.samples += 1
        elif not report.active:
            share = min(1.0, passed_s / IDLE_FADE_S)
            known.factor += share * (1.0 - known.factor)
        return step_s


def _measure_step_s(
    before: dict[str, int], after: dict[str, int], passed_s: float
) -> float:
    """Returns the mean step time of the runs in two reports, 0 for none.

    Runs without a first token are still in their prefill. Runs that made no
    token since count, as their engine is slow now.
    """
    made = [
        max(0, tokens - before[run])
        for run, tokens in after.items()
        if before.get(run, 0) > 0
    ]
    return len(made) * passed_s / max(1, sum(made)) if made else 0.0
