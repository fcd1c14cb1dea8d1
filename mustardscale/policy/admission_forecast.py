"""When waiting requests may expect their turn, so that the rest go at once.

By Little's law the streams of a pool end at the rate held / mean time held. A
waiting request has its turn when those before it, and the newcomers that
overtake it, have had theirs.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from mustardscale.configuration.config_records import Profile
from mustardscale.policy.base import Reservation, WaitingRequest

# Prior of the time for which a stream is held, seconds.
HELD_PRIOR_S = 3.0
# Weight of a new sample in the learnt time.
HELD_SAMPLE_WEIGHT = 0.03
# Time after which an arrival's weight has fallen to 1/e, seconds.
ARRIVAL_DECAY_S = 10.0
# Part of the streams that end whose room newcomers are taken to fill at most: a
# burst that is faster than the pool is taken to end soon.
MAX_PASSING_SHARE = 0.6
# Factor by which a forecast may exceed the time that a request has: it is no
# more exact than that, and a refusal is final.
FORECAST_UNCERTAINTY_FACTOR = 1.2
# Seconds of any forecast that are within its error.
MIN_FORECAST_UNCERTAINTY_S = 0.15
# Share of the time for which a caller stays within which a late turn must be
# forecast for waiting to be worthwhile.
WORTHWHILE_PATIENCE_SHARE = 0.9


class AdmissionForecast:
    """Learns at which rates requests come and streams end."""

    __slots__ = ('_arrivals', '_arrivals_at', '_held_s', '_seen_until')

    def __init__(self):
        self._held_s = HELD_PRIOR_S
        self._arrivals = 0.0
        self._arrivals_at = 0.0
        self._seen_until = -math.inf

    def observe_release(self, reservation: Reservation, now: float) -> None:
        """Learns from a stream that ended for how long streams are held."""
        held_s = now - reservation.granted_at
        self._held_s += HELD_SAMPLE_WEIGHT * (held_s - self._held_s)

    def observe_waiting(
        self, waiting: Iterable[WaitingRequest], now: float
    ) -> None:
        """Counts the requests that came since the last call to stay in line."""
        decay = math.exp(-(now - self._arrivals_at) / ARRIVAL_DECAY_S)
        self._arrivals_at = now
        new = sum(
            item.arrived_at > self._seen_until
            for item in waiting
            if not item.request.turn_within_s
        )
        self._arrivals = self._arrivals * decay + new / ARRIVAL_DECAY_S
        self._seen_until = now

    def ending_per_s(self, held: int) -> float:
        """Returns the streams that end a second while so many are held."""
        return held / max(self._held_s, 1e-3)

    def wait_s(self, ahead: int, passing_share: float, held: int) -> float:
        """Returns the seconds until a request may have its turn.

        That is sooner than to be expected by a standard deviation of the number
        of streams that end, which matters where lines are short.

        Args:
            ahead: requests before it.
            passing_share: share of the newcomers that go before it.
            held: streams held at present.
        """
        if not held:
            return 0.0
        ending_per_s = self.ending_per_s(held)
        passing_per_s = min(
            passing_share * self._arrivals, MAX_PASSING_SHARE * ending_per_s
        )
        endings = ahead + 1
        fewest = endings - math.sqrt(endings)
        return fewest / (ending_per_s - passing_per_s)


def may_be_admitted_in_time(wait_s: float, left_s: float) -> bool:
    """Returns whether a turn forecast in wait_s may come within left_s."""
    return (
        wait_s
        <= FORECAST_UNCERTAINTY_FACTOR * left_s + MIN_FORECAST_UNCERTAINTY_S
    )


def is_worth_waiting(wait_s: float, profile: Profile, waited_s: float) -> bool:
    """Returns whether a late turn is likely enough to keep a caller waiting."""
    left_s = profile.patience_s - waited_s
    return wait_s <= WORTHWHILE_PATIENCE_SHARE * left_s
