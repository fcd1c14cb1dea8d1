"""Draws how a worker of the drawn streams answers a run, and how it ends."""

from __future__ import annotations

import random

from standins.stream_content import TAKEN_UP
from standins.stream_worker_plan import (
    CUTS_OF_PLAIN,
    CUTS_WITH_LENGTH,
    CUTS_WITHOUT_CHUNKS,
    ODD_RUNS_FOR_CALLERS,
    UNFRAMED,
    Cut,
    Framing,
    OddRun,
    WorkerPlan,
)

# Numbers of positions that one event may hold.
_GROUPS = (2, 3)


class RunDraws:
    """Draws for the runs of one worker."""

    def __init__(self, plan: WorkerPlan, rng: random.Random):
        """Prepares the draws.

        Args:
            plan: what the worker is.
            rng: draws how it goes on, the framing and the cuts.
        """
        self._plan = plan
        self._rng = rng
        # Of their own, so that the draws above stay what they were.
        seed = f'{plan.seed} {plan.name} {plan.born}'
        self._closing_rng = random.Random(f'closings {seed}')
        self._group_rng = random.Random(f'groups {seed}')

    def draw_odd(self, after: str, target: str) -> OddRun | None:
        """Draws how a run does not go on as asked, None if it does.

        Args:
            after: id after which it is to go on, '' for none.
            target: target of the request.
        """
        if not after or self._rng.random() >= self._plan.odd_share:
            return None
        if target.endswith(TAKEN_UP):
            return self._rng.choice(ODD_RUNS_FOR_CALLERS)
        return self._rng.choice(list(OddRun))

    def draw_framing(self) -> Framing:
        """Draws what marks the end of an answer."""
        if self._rng.random() >= self._plan.unframed_share:
            return self._rng.choice((Framing.CHUNKED, Framing.LENGTH))
        return self._rng.choice(UNFRAMED)

    def draw_cut(self, framing: Framing, parts: int) -> Cut | None:
        """Draws how an answer ends early, None if it does not.

        Args:
            framing: what marks its end.
            parts: its number of events, or of halves of a plain one.
        """
        if not parts or self._rng.random() >= self._plan.cut_share:
            return None
        if not self._plan.phase:
            return self._rng.choice(CUTS_OF_PLAIN)
        if framing is Framing.CHUNKED:
            return self._rng.choice(list(Cut))
        if framing is Framing.LENGTH:
            return self._rng.choice(CUTS_WITH_LENGTH)
        return self._rng.choice(CUTS_WITHOUT_CHUNKS)

    def draw_closing(self, framing: Framing) -> Cut | None:
        """Draws how a worker that runs on closes an answer early.

        Only such ends are drawn that `draw_cut` does not have: plain answers,
        and streams without length and chunks between two events.

        Args:
            framing: what marks the end of the answer.

        Returns:
            How it ends early, None if it does not.
        """
        if self._closing_rng.random() >= self._plan.closed_share:
            return None
        if not self._plan.phase:
            return self._closing_rng.choice(
                (Cut.CLOSED_FIRST, Cut.CLOSED_BETWEEN)
            )
        return Cut.CLOSED_BETWEEN if framing in UNFRAMED else None

    def draw_kept(self, cut: Cut | None, is_closing: bool, parts: int) -> int:
        """Draws how many parts of an answer are written.

        Args:
            cut: how it ends early.
            is_closing: whether `draw_closing` has drawn that.
            parts: how many parts it has.
        """
        if cut is None:
            return parts
        if is_closing:
            if cut is Cut.CLOSED_FIRST or parts == 1:
                return 0
            return self._closing_rng.randrange(1, parts)
        kept = self._rng.randrange(parts)
        return 0 if cut is Cut.CLOSED_FIRST else kept

    def draw_group(self, odd: OddRun | None) -> int:
        """Draws how many positions the events of a run hold.

        Args:
            odd: how it does not go on as asked, None if it does.
        """
        if not self._plan.phase or odd is not None:
            return 1
        if self._group_rng.random() >= self._plan.grouped_share:
            return 1
        return self._group_rng.choice(_GROUPS)
