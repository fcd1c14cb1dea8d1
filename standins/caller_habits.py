"""What some callers do when an answer does not come, or fails."""

from __future__ import annotations

import dataclasses
import random

# Share of the callers who leave before the head of an answer, and after how
# long, seconds.
LEAVING_EARLY_SHARE = 0.08
HEAD_PATIENCE_S = (0.02, 1.2)
# Share of the callers who repeat an idempotent request after any failure.
REPEATING_SHARE = 0.5
# Statuses after which no caller repeats a request, nor after a success.
FINAL_STATUSES = (400, 401, 404, 413, 431)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerHabits:
    """What one caller does.

    Attributes:
        head_patience_s: seconds after which it leaves where no head has come,
            0 if it waits for its deadline.
        repeats: whether it repeats an idempotent request after any failure.
    """

    head_patience_s: float = 0.0
    repeats: bool = False

    @classmethod
    def draw(cls, rng: random.Random) -> CallerHabits:
        """Draws the habits of a caller."""
        patience_s = 0.0
        if rng.random() < LEAVING_EARLY_SHARE:
            patience_s = rng.uniform(*HEAD_PATIENCE_S)
        return cls(patience_s, rng.random() < REPEATING_SHARE)

    def repeats_after(self, status: int) -> bool:
        """Returns whether it repeats an idempotent request.

        Args:
            status: status of the answer, 0 for none.
        """
        is_final = status in FINAL_STATUSES or 200 <= status < 300
        return self.repeats and not is_final
