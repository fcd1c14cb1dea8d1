"""Token bucket for request rates and budget for retries."""

from __future__ import annotations

# Retry credit is counted in whole millionths of a retry: their sums are exact.
_MICRO = 1_000_000


class TokenBucket:
    """Permits bursts of requests and a sustained rate.

    Attributes:
        rate: requests a second; 0 is unlimited.
        burst: requests that may arrive at once; at least 1.
    """

    __slots__ = ('_level', '_updated_at', 'burst', 'rate')

    def __init__(self, rate: float, burst: float, level: float | None = None):
        """Creates a bucket.

        Args:
            rate: requests a second; 0 is unlimited.
            burst: requests that may arrive at once.
            level: tokens that it holds at first, None for as many as it can.
        """
        self.rate = rate
        # A bucket that holds less than one token would never permit a request.
        self.burst = max(1.0, burst)
        self._level = self.burst if level is None else level
        self._updated_at: float | None = None

    def take(self, now: float) -> float:
        """Takes a token if one is available.

        Args:
            now: loop time, seconds.

        Returns:
            0 if the request is permitted, else the seconds until a token is
            available.
        """
        if self.rate <= 0:
            return 0.0
        self._refill(now)
        if self._level >= 1:
            self._level -= 1
            return 0.0
        return (1 - self._level) / self.rate

    def change(self, rate: float, burst: float, now: float) -> None:
        """Applies a changed rate and burst; tokens already used stay used."""
        self._refill(now)
        self.rate = rate
        self.burst = max(1.0, burst)
        self._level = min(self._level, self.burst)

    def _refill(self, now: float) -> None:
        if self._updated_at is None:
            self._updated_at = now
        elapsed = max(0.0, now - self._updated_at)
        self._level = min(self.burst, self._level + elapsed * self.rate)
        self._updated_at += elapsed


class RetryBudget:
    """Permits retries as a share of the requests.

    Among any n consecutive requests at most capacity + share * n retries are
    permitted, and among the first n at most initial_retries + share * n. With
    no initial retries and a share of 0.1, endpoints see at most 1.1 attempts
    per request when all attempts fail.
    """

    __slots__ = ('_capacity', '_credit', '_credit_per_request')

    def __init__(
        self, share: float, initial_retries: int = 0, capacity: int = 1
    ):
        """Creates a budget.

        Args:
            share: retries earned by each request.
            initial_retries: retries that are permitted before any are earned.
            capacity: upper bound on the retries that are saved up; it is
                raised to initial_retries if it is lower.
        """
        self._credit_per_request = round(share * _MICRO)
        self._credit = initial_retries * _MICRO
        self._capacity = max(initial_retries, capacity) * _MICRO

    def change(self, share: float) -> None:
        """Applies a changed share; credit earned so far is kept."""
        self._credit_per_request = round(share * _MICRO)

    def count_request(self) -> None:
        """Adds the credit that a request's first attempt earns."""
        self._credit = min(
            self._capacity, self._credit + self._credit_per_request
        )

    def spend_retry(self) -> bool:
        """Spends one retry.

        Returns:
            Whether there was enough credit.
        """
        if self._credit < _MICRO:
            return False
        self._credit -= _MICRO
        return True
