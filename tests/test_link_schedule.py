"""Tests of the predicted finish of KV transfers."""

import pytest

from mustardscale.policy.link_schedule import RATE_SAMPLES, LinkSchedule

RATE = 1000.0


class TestLinkSchedule:
    """Predicted finish on shared, slow and overdue links."""

    def test_transfers_on_a_shared_link_are_queued(self):
        links = LinkSchedule(RATE)
        assert links.book('a', 'p1', 'd1', 1000, 0.0, 0.0) == 1.0
        assert links.predict('p1', 'd2', 500, 0.0, 0.0) == 1.5
        assert links.predict('p2', 'd1', 500, 0.0, 0.0) == 1.5
        assert links.predict('p2', 'd2', 500, 0.0, 0.0) == 0.5
        links.finish('a', 0.4)
        assert links.predict('p1', 'd2', 500, 0.0, 0.4) == 0.9

    def test_slower_link_sets_the_rate(self):
        links = LinkSchedule(RATE)
        links.set_rate('d1', RATE / 4)
        assert links.predict('p1', 'd1', 1000, 2.0, 0.0) == 6.0

    def test_overdue_transfer_does_not_finish_in_the_past(self):
        links = LinkSchedule(RATE)
        links.book('a', 'p1', 'd1', 1000, 0.0, 0.0)
        assert links.predict('p1', 'd2', 500, 0.0, 5.0) >= 5.5

    def test_slow_link_does_not_lower_its_partners_rate(self):
        links = LinkSchedule(RATE)
        now = 0.0
        for number in range(4 * RATE_SAMPLES):
            slow = number % 2 == 0
            destination = 'slow' if slow else 'healthy'
            links.book('a', 'p1', destination, 1000, now, now)
            now += 10.0 if slow else 1.0
            links.finish('a', now)
        assert links.predict('p1', 'slow', 1000, now, now) - now > 9
        after = links.predict('p1', 'healthy', 1000, now, now) - now
        assert after == pytest.approx(1.0)

    def test_dropped_transfer_frees_its_links(self):
        links = LinkSchedule(RATE)
        links.book('a', 'p1', 'd1', 1000, 0.0, 0.0)
        links.drop('a')
        links.drop('a')
        assert links.predict('p1', 'd1', 1000, 0.0, 0.0) == 1.0

    def test_begin_updates_the_predicted_finish(self):
        links = LinkSchedule(RATE)
        links.book('a', 'p1', 'd1', 1000, 0.0, 0.0)
        links.begin('a', 3.0)
        assert links.predict('p1', 'd1', 1000, 3.0, 3.0) == 5.0
