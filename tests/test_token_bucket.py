"""Tests of rate limits and retry budgets."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mustardscale.rate_limits.token_bucket import RetryBudget, TokenBucket


class TestTokenBucket:
    """The rate and the burst of requests."""

    @given(
        st.floats(0.1, 50),
        st.integers(1, 20),
        st.lists(st.floats(0, 2), min_size=1, max_size=80),
    )
    def test_requests_of_every_interval_are_bounded(self, rate, burst, gaps):
        bucket = TokenBucket(rate, burst)
        now = 100.0
        taken = []
        for gap in gaps:
            now += gap
            if bucket.take(now) == 0:
                taken.append(now)
        for first, start in enumerate(taken):
            for last in range(first, len(taken)):
                allowed = burst + rate * (taken[last] - start)
                assert last - first + 1 <= allowed + 1e-6

    def test_wait_ends_when_a_token_is_available(self):
        bucket = TokenBucket(2.0, 1)
        assert bucket.take(0.0) == 0
        wait = bucket.take(0.1)
        assert wait == pytest.approx(0.4)
        assert bucket.take(0.1 + wait - 0.01) > 0
        assert bucket.take(0.1 + wait + 1e-9) == 0

    def test_burst_below_one_still_permits_the_rate(self):
        bucket = TokenBucket(2.0, 0.5)
        assert bucket.take(0.0) == 0
        wait = bucket.take(0.0)
        assert bucket.take(wait + 1e-9) == 0

    def test_zero_rate_is_unlimited(self):
        bucket = TokenBucket(0.0, 1)
        assert all(bucket.take(5.0) == 0 for _ in range(100))

    def test_change_keeps_the_used_tokens(self):
        bucket = TokenBucket(1.0, 10)
        assert all(bucket.take(0.0) == 0 for _ in range(10))
        bucket.change(1.0, 20, 0.0)
        assert bucket.take(0.0) > 0


class TestRetryBudget:
    """Retries are limited to a share of the requests."""

    @pytest.mark.parametrize('requests', [1, 9, 10, 11, 995, 100_000])
    def test_amplification_under_total_failure(self, requests):
        budget = RetryBudget(0.1)
        attempts = 0
        for _ in range(requests):
            budget.count_request()
            attempts += 1
            while budget.spend_retry():
                attempts += 1
        assert attempts == requests + requests // 10

    def test_changed_share_applies_to_later_requests(self):
        budget = RetryBudget(0.0)
        budget.change(0.5)
        for _ in range(2):
            budget.count_request()
        assert budget.spend_retry()
        assert not budget.spend_retry()

    def test_unused_credit_is_capped(self):
        budget = RetryBudget(0.1, initial_retries=2)
        for _ in range(10_000):
            budget.count_request()
        assert [budget.spend_retry() for _ in range(3)] == [True, True, False]
