"""Tests of the learnt distribution of output lengths."""

import random

import pytest

from mustardscale.policy.output_lengths import (
    BIN_RATIO,
    MAX_OUTPUT_TOKENS,
    OutputLengths,
)


def learnt(draw, count=4000):
    lengths = OutputLengths()
    samples = [draw() for _ in range(count)]
    for sample in samples:
        lengths.record('digest', sample)
    return lengths, sorted(samples)


class TestOutputLengths:
    """Quantiles and means of the learnt distribution."""

    def test_follows_the_samples(self):
        rng = random.Random(1)
        lengths, samples = learnt(lambda: int(rng.lognormvariate(5.5, 1)) + 1)
        for q in (0.1, 0.5, 0.9):
            true = samples[int(q * len(samples))]
            seen = lengths.quantile('digest', q)
            assert true / 1.15 < seen < true * BIN_RATIO * 1.15
        true_mean = sum(samples) / len(samples)
        assert lengths.mean('digest') == pytest.approx(true_mean, rel=0.15)

    def test_remaining_grows_under_a_heavy_tail(self):
        rng = random.Random(2)
        lengths, _ = learnt(lambda: int(100 * rng.paretovariate(1.3)))
        remaining = [
            lengths.remaining_mean('digest', n) for n in (0, 500, 2000)
        ]
        assert remaining == sorted(remaining)
        assert remaining[0] < remaining[2]

    def test_remaining_is_conditional_on_emitted_tokens(self):
        lengths, _ = learnt(iter([100, 1000] * 2000).__next__)
        assert lengths.remaining_quantile('digest', 0, 0.4) <= 112
        after = lengths.remaining_quantile('digest', 150, 0.4) + 150
        assert 1000 <= after <= 1000 * BIN_RATIO

    def test_old_samples_are_forgotten(self):
        lengths, _ = learnt(lambda: 50)
        for _ in range(8000):
            lengths.record('digest', 2000)
        assert lengths.quantile('digest', 0.05) >= 2000

    def test_prior_counts_until_enough_samples(self):
        lengths = OutputLengths()
        before = lengths.quantile('digest', 0.9)
        for _ in range(16):
            lengths.record('digest', 10)
        assert 10 < lengths.quantile('digest', 0.9) < before
        assert lengths.tail('digest', MAX_OUTPUT_TOKENS) == 0

    def test_services_are_separate_and_extremes_are_bounded(self):
        lengths, _ = learnt(lambda: 10**9)
        assert lengths.quantile('digest', 0.9) == MAX_OUTPUT_TOKENS
        assert lengths.quantile('other', 0.5) < 400
        assert lengths.remaining_mean('digest', 10**9) == pytest.approx(1)
