"""What is measured of requests: outcomes and times, by service."""

from __future__ import annotations

import collections

from mustardscale.outcomes import Outcome


class RequestMetrics:
    """Counts outcomes and records times of requests."""

    def __init__(self):
        self.outcomes: collections.Counter[tuple[str, Outcome]] = (
            collections.Counter()
        )

    def count_outcome(self, service: str, outcome: Outcome) -> None:
        """Counts how a request ended."""
        self.outcomes[service, outcome] += 1

    def record_wait(self, service: str, seconds: float) -> None:
        """Records the time from arrival to the grant."""

    def record_first_token(self, service: str, seconds: float) -> None:
        """Records the time from arrival to the first token."""

    def record_per_token(self, service: str, seconds: float) -> None:
        """Records the mean time per output token after the first."""
