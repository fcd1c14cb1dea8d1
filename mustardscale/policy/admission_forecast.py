"""Forecasts when waiting requests will be admitted.

Requests that would be admitted too late can then be refused at once. By
Little's law the streams of a pool end at the rate held / mean time held. A
waiting request is admitted once the requests before it, and the new requests
that pass it in the queue, have been admitted.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from mustardscale.configuration.config_records import Profile
from mustardscale.policy.base import Reservation, WaitingRequest

# Assumed time for which a stream is held before any was observed, seconds.
HELD_PRIOR_S = 3.0
# Weight of a new sample in the learnt mean time.
HELD_SAMPLE_WEIGHT = 0.03
# Time after which an arrival's weight has fallen to 1/e, seconds.
ARRIVAL_DECAY_S = 10.0
# Maximum share of the freed places that new requests are assumed to take by
# passing in the queue. A burst that exceeds the pool's rate is assumed to end
# soon.
MAX_PASSING_SHARE = 0.6
# Factor by which a forecast may exceed the time that a request has left. The
# forecast is no more accurate than that, and a refusal is final.
FORECAST_UNCERTAINTY_FACTOR = 1.2
# Seconds that any forecast may be wrong by.
MIN_FORECAST_UNCERTAINTY_S = 0.15
# A late request goes on waiting if its admission is forecast within this share
# of the time for which its caller will still wait.
WORTHWHILE_PATIENCE_SHARE = 0.9


class AdmissionForecast:
    """Learns the rates at which requests arrive and streams end."""

    __slots__ = ('_arrivals', '_arrivals_at', '_held_s', '_seen_until')

    def __init__(self):
        self._held_s = HELD_PRIOR_S
        self._arrivals = 0.0
        self._arrivals_at = 0.0
        self._seen_until = -math.inf

    def observe_release(self, reservation: Reservation, now: float) -> None:
        """Updates the mean time for which streams are held."""
        held_s = now - reservation.granted_at
        self._held_s += HELD_SAMPLE_WEIGHT * (held_s - self._held_s)

    def observe_waiting(
        self, waiting: Iterable[WaitingRequest], now: float
    ) -> None:
        """Counts the requests that joined the queue since the last call.

        Requests with a time limit for their admission are not counted.
        """
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
        """Returns the streams that end per second while `held` are held."""
        return held / max(self._held_s, 1e-3)

    def wait_s(self, ahead: int, passing_share: float, held: int) -> float:
        """Returns the seconds until a request may be admitted.

        This is an optimistic estimate: the number of streams that have to end
        is lowered by one standard deviation, which matters for short queues.

        Args:
            ahead: requests before it in the queue.
            passing_share: share of the new requests that pass it in the queue.
            held: streams held now.
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
    """Returns whether an admission forecast in wait_s may be within left_s."""
    return (
        wait_s
        <= FORECAST_UNCERTAINTY_FACTOR * left_s + MIN_FORECAST_UNCERTAINTY_S
    )


def is_worth_waiting(wait_s: float, profile: Profile, waited_s: float) -> bool:
    """Returns whether a late admission is likely before the caller leaves."""
    left_s = profile.patience_s - waited_s
    return wait_s <= WORTHWHILE_PATIENCE_SHARE * left_s
