"""Tests of the expected content of prefix caches."""

from mustardscale.endpoints.engines import BLOCK_TOKENS, CacheEvent
from mustardscale.policy.prefix_index import PrefixIndex

CHAIN = tuple(range(100, 110))


class TestPrefixIndex:
    """Expected cache hits after sends and cache events."""

    def test_sent_prefix_is_expected_in_the_cache(self):
        index = PrefixIndex()
        index.endpoint('p1').record_sent(CHAIN, now=0.0)
        longer = (*CHAIN[:4], 7, 8)
        expected = index.expected_cached_tokens('p1', longer)
        assert expected == 4 * BLOCK_TOKENS
        assert index.expected_cached_tokens('p2', longer) == 0
        index.forget('p1')
        assert index.expected_cached_tokens('p1', longer) == 0

    def test_event_gap_lowers_trust_without_forgetting_blocks(self):
        index = PrefixIndex()
        prefixes = index.endpoint('p1')
        prefixes.apply([CacheEvent(1, CHAIN[0], True)], 0.0)
        prefixes.record_sent(CHAIN, now=0.0)
        prefixes.apply([CacheEvent(12, 5, True)], 1.0)
        expected = index.expected_cached_tokens('p1', CHAIN)
        assert expected == 0.5 * len(CHAIN) * BLOCK_TOKENS

    def test_trust_follows_observed_hits(self):
        prefixes = PrefixIndex().endpoint('p1')
        for _ in range(40):
            prefixes.observe(10, 0)
        assert prefixes.trust <= 0.1
        for _ in range(40):
            prefixes.observe(10, 10 * BLOCK_TOKENS)
        assert prefixes.trust > 0.95

    def test_late_eviction_does_not_undo_a_recent_send(self):
        prefixes = PrefixIndex().endpoint('p1')
        prefixes.record_sent(CHAIN, now=10.0)
        prefixes.apply([CacheEvent(1, CHAIN[2], False)], 10.5)
        assert prefixes.matched_blocks(CHAIN) == len(CHAIN)
        prefixes.apply([CacheEvent(2, CHAIN[2], False)], 20.0)
        assert prefixes.matched_blocks(CHAIN) == 2

    def test_old_and_repeated_events_are_ignored(self):
        prefixes = PrefixIndex().endpoint('p1')
        events = [CacheEvent(5, 1, True), CacheEvent(6, 2, True)]
        prefixes.apply(events, 0.0)
        prefixes.apply([CacheEvent(5, 1, False)], 100.0)
        assert prefixes.matched_blocks((1, 2)) == 2
        assert prefixes.trust == 1.0

    def test_block_count_is_bounded_and_leading_blocks_are_kept(self):
        prefixes = PrefixIndex(capacity=12).endpoint('p1')
        prefixes.record_sent(CHAIN, now=0.0)
        prefixes.record_sent((1, 2, 3, 4, 5), now=1.0)
        assert len(prefixes) == 12
        assert prefixes.matched_blocks(CHAIN) == 7

    def test_missed_blocks_are_forgotten(self):
        prefixes = PrefixIndex().endpoint('p1')
        prefixes.record_sent(CHAIN, now=0.0)
        prefixes.forget_missed(CHAIN, 3 * BLOCK_TOKENS)
        assert prefixes.matched_blocks(CHAIN) == 3
