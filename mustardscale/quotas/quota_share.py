"""What a host that reaches no owner of a quota may grant by itself.

It addresses the case that many hosts lose the owner at once while the customer
sends far more than its quota. The shares of all hosts add up to the quota, and
their initial credit to part of the excess that the deployment tolerates.
"""

from __future__ import annotations

import dataclasses
import random

from mustardscale.peers.quota_messages import QuotaTerms
from mustardscale.quotas.quota_bucket import MIN_CREDIT, QuotaBucket

# Parts of the tolerated excess that the owner and the shares of all hosts may
# use. The rest is left for an owner that grants until it learns that others do
# so as well.
OWNED_EXCESS = 0.4
SHARED_EXCESS = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaTolerance:
    """How far a deployment tolerates that a quota is exceeded.

    In any window, rate x window + burst may be exceeded by a share of that and
    a fixed number of units.

    Attributes:
        window_s: length of a window, seconds; 0 if usage is limited by rate and
            burst only.
        overrun: the share.
        slack: the number of units.
    """

    window_s: float = 0.0
    overrun: float = 0.0
    slack: float = 0.0

    def excess(self, terms: QuotaTerms) -> float:
        """Returns the units by which a quota may be exceeded in a window.

        >>> tolerance = QuotaTolerance(8.0, 0.1, 500.0)
        >>> round(tolerance.excess(QuotaTerms(1, 100.0, 200.0)))
        600
        """
        allowed = terms.rate_per_s * self.window_s + terms.burst
        return self.overrun * allowed + self.slack


class QuotaShare:
    """One host's share of a quota, without its owner."""

    __slots__ = ('_bucket', '_hosts', '_paused_at', '_terms', '_tolerance')

    def __init__(
        self,
        terms: QuotaTerms,
        tolerance: QuotaTolerance,
        hosts: int,
        first_amount: int,
        rng: random.Random,
        now: float,
    ):
        """Begins to use a share.

        The credit starts at a random level, as if the host had used its share
        for long. Otherwise all hosts could send a request at the same moment.

        Args:
            terms: the whole quota.
            tolerance: by how much it may be exceeded.
            hosts: the hosts that may be using a share, this one included.
            first_amount: units of the request that needs the share.
            rng: draws the level.
            now: loop time.
        """
        self._tolerance = tolerance
        self._terms = terms
        self._hosts = hosts
        self._paused_at: float | None = None
        excess = self._excess()
        level = MIN_CREDIT + excess - rng.random() * first_amount
        self._bucket = QuotaBucket(
            terms.rate_per_s / hosts, terms.burst / hosts + excess, level, now
        )

    def take(
        self, terms: QuotaTerms, hosts: int, amount: int, now: float
    ) -> float:
        """Takes the units of a request if the share has credit.

        Args:
            terms: the whole quota.
            hosts: the hosts that may be using a share.
            amount: units of the request.
            now: loop time.

        Returns:
            0 if the request is permitted, else the seconds until there is
            credit.
        """
        if (terms, hosts) != (self._terms, self._hosts):
            self._terms, self._hosts = terms, hosts
            self._bucket.change(
                terms.rate_per_s / hosts,
                terms.burst / hosts + self._excess(),
                now,
            )
        if self._bucket.take(amount, now):
            return 0.0
        return self._bucket.wait_s(now)

    def pause(self, now: float) -> None:
        """Notes that the owner grants from now on."""
        if self._paused_at is None:
            self._paused_at = now

    def resume(self, now: float) -> bool:
        """Uses the share again, without credit for the time of the pause.

        The owner granted then. Hosts that lose and find owners in turn would
        otherwise use the tolerated excess several times in a window.

        Returns:
            False if the pause was so long that the share has to begin anew.
        """
        if self._paused_at is None:
            return True
        if now - self._paused_at > self._tolerance.window_s:
            return False
        self._bucket.skip_until(now)
        self._paused_at = None
        return True

    def put_back(self, amount: int, now: float) -> None:
        """Returns units that were taken and not used."""
        self._bucket.put_back(amount, now)

    def _excess(self) -> float:
        excess = self._tolerance.excess(self._terms)
        return SHARED_EXCESS * excess / self._hosts
