"""Forecasts when waiting requests will be admitted.

Requests that would be admitted too late can then be refused at once. By
Little's law the streams of a pool end at the rate held / mean time held. A
waiting request is admitted once the requests before it, and the new requests
that pass it in the queue, have been admitted. New requests of a more urgent
class pass it, those of a less urgent one do not.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable

from mustardscale.configuration.config_records import Profile
from mustardscale.policy.base import Reservation, WaitingRequest
from mustardscale.policy.queue_passing import (
    QueueClass,
    compute_passing_share,
    find_class,
)

# Assumed time for which a stream is held before any was observed, seconds.
HELD_PRIOR_S = 3.0
# Weight of a new sample in the learnt mean time.
HELD_SAMPLE_WEIGHT = 0.03
# Time after which an arrival's weight has fallen to 1/e, seconds.
ARRIVAL_DECAY_S = 10.0
# Classes with fewer new requests per second are forgotten.
MIN_ARRIVALS_PER_S = 0.01
# Maximum share of the freed places that new requests are assumed to take by
# passing in the queue. A burst that exceeds the pool's rate is assumed to end
# soon.
MAX_PASSING_SHARE = 0.6
# The same for a request that more urgent classes pass. A lower value keeps
# requests waiting until they are late; a higher one refuses requests that could
# be in time.
MAX_URGENT_PASSING_SHARE = 0.8
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

    __slots__ = (
        '_arrivals',
        '_arrivals_at',
        '_arrivals_by_class',
        '_held_s',
        '_seen_until',
    )

    def __init__(self):
        self._held_s = HELD_PRIOR_S
        self._arrivals = 0.0
        self._arrivals_by_class: dict[QueueClass, float] = {}
        self._arrivals_at = 0.0
        self._seen_until = -math.inf

    def observe_release(self, reservation: Reservation, now: float) -> None:
        """Updates the mean time for which streams are held."""
        held_s = now - reservation.granted_at
        self._held_s += HELD_SAMPLE_WEIGHT * (held_s - self._held_s)

    def observe_waiting(
        self,
        waiting: Iterable[WaitingRequest],
        now: float,
        ahead_ids: Collection[str] = (),
    ) -> None:
        """Counts the requests that joined the queue since the last call.

        Requests with a time limit for their admission are not counted.

        Args:
            waiting: the waiting requests.
            now: loop time.
            ahead_ids: ids of the requests whose customer received more than its
                fair share.
        """
        decay = math.exp(-(now - self._arrivals_at) / ARRIVAL_DECAY_S)
        self._arrivals_at = now
        new = [
            find_class(item.request, item.request.tag.request_id in ahead_ids)
            for item in waiting
            if not item.request.turn_within_s
            and item.arrived_at > self._seen_until
        ]
        self._arrivals = self._arrivals * decay + len(new) / ARRIVAL_DECAY_S
        rates = self._arrivals_by_class
        for known in list(rates):
            rates[known] *= decay
            if rates[known] < MIN_ARRIVALS_PER_S:
                del rates[known]
        for queue_class in new:
            rates[queue_class] = (
                rates.get(queue_class, 0.0) + 1 / ARRIVAL_DECAY_S
            )
        self._seen_until = now

    def passing_share(
        self, queue_class: QueueClass, place_share: float
    ) -> float:
        """Returns the share of new requests that pass a waiting one.

        Args:
            queue_class: its class.
            place_share: its place among those of its class, 0 for the first.
        """
        return compute_passing_share(
            self._arrivals_by_class, queue_class, place_share
        )

    def ending_per_s(self, held: int) -> float:
        """Returns the streams that end per second while `held` are held."""
        return held / max(self._held_s, 1e-3)

    def is_passed(self, queue_class: QueueClass) -> bool:
        """Returns whether requests of a more urgent class arrive."""
        return any(other < queue_class for other in self._arrivals_by_class)

    def wait_s(
        self,
        ahead: int,
        passing_share: float,
        held: int,
        max_passing_share: float = MAX_PASSING_SHARE,
    ) -> float:
        """Returns the seconds until a request may be admitted.

        This is an optimistic estimate: the number of streams that have to end
        is lowered by one standard deviation, which matters for short queues.

        Args:
            ahead: requests before it in the queue.
            passing_share: share of the new requests that pass it in the queue.
            held: streams held now.
            max_passing_share: share of the freed places that new requests take
                at most.
        """
        if not held:
            return 0.0
        ending_per_s = self.ending_per_s(held)
        passing_per_s = min(
            passing_share * self._arrivals, max_passing_share * ending_per_s
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
