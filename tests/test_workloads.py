"""Tests of the recorded arrivals."""

import uuid

import pytest

from bench.deployments import DEPLOYMENT_BY_NAME, KOBBERFONDEN, VERGADERBORD
from bench.workloads import (
    load_arrivals,
    prompt_of,
    record_arrivals,
    save_arrivals,
)
from mustardscale.configuration.config_records import ServiceKind


def contents(arrivals, service):
    return [
        (arrival.prompt, arrival.output_tokens)
        for arrival in arrivals
        if arrival.service == service
    ]


class TestPromptOf:
    """Block hashes of shared contents."""

    def test_shares_exactly_the_common_blocks(self):
        shared = (('template', 1024), ('file', 3000))
        one = prompt_of((*shared, ('a', 600)), 'a')
        other = prompt_of((*shared, ('b', 600)), 'b')
        # Block 7 begins in the file and ends in the question.
        assert one.block_hashes[:7] == other.block_hashes[:7]
        assert one.block_hashes[7] != other.block_hashes[7]
        assert one.fingerprint != other.fingerprint
        moved = prompt_of((('file', 3000),), 'c')
        assert not set(moved.block_hashes) & set(one.block_hashes)


class TestRecordArrivals:
    """Recordings of both deployments."""

    @pytest.mark.parametrize('name', sorted(DEPLOYMENT_BY_NAME))
    def test_seed_decides_everything(self, name):
        deployment = DEPLOYMENT_BY_NAME[name]
        first = record_arrivals(deployment, 5.0, 60.0, seed=1)
        assert record_arrivals(deployment, 5.0, 60.0, seed=1) == first
        assert record_arrivals(deployment, 5.0, 60.0, seed=2) != first
        assert len({arrival.request_id for arrival in first}) == len(first)
        assert all(uuid.UUID(a.request_id).version == 7 for a in first)
        times = [arrival.time_s for arrival in first]
        assert times == sorted(times)

    def test_other_rates_hold_the_same_requests(self):
        service = 'assay-summaries'
        slow = record_arrivals(KOBBERFONDEN, 3.0, 100.0, seed=4)
        fast = record_arrivals(KOBBERFONDEN, 9.0, 100.0, seed=4)
        known = {item[0].fingerprint: item for item in contents(fast, service)}
        drawn = contents(slow, service)
        shared = [item for item in drawn if item[0].fingerprint in known]
        assert len(shared) > 0.9 * len(drawn)
        assert all(known[item[0].fingerprint] == item for item in shared)

    @pytest.mark.parametrize('deployment', [KOBBERFONDEN, VERGADERBORD])
    def test_mix_has_the_stated_shape(self, deployment):
        arrivals = record_arrivals(deployment, 6.0, 600.0, seed=3)
        language = [a for a in arrivals if a.kind == ServiceKind.LANGUAGE]
        assert len(language) == pytest.approx(3600, rel=0.1)
        tokens = sorted(arrival.prompt.tokens for arrival in language)
        assert tokens[0] < 100 and tokens[-1] > 20_000
        outputs = sorted(arrival.output_tokens for arrival in language)
        mean = sum(outputs) / len(outputs)
        assert mean > 1.3 * outputs[len(outputs) // 2]
        for arrival in language:
            profile = deployment.profile(arrival.service)
            assert arrival.prompt.tokens <= profile.max_prompt_tokens
            assert arrival.max_tokens <= profile.max_output_tokens
            assert 1 <= arrival.output_tokens <= arrival.max_tokens

    def test_lookups_come_in_bursts(self):
        arrivals = record_arrivals(KOBBERFONDEN, 1.0, 600.0, seed=5)
        lookups = [a for a in arrivals if a.service == 'position-lookups']
        burst = [a for a in lookups if a.time_s % 60.0 >= 50.0]
        assert len(burst) > len(lookups) / 2
        assert all(a.idempotent for a in lookups)

    def test_saved_recording_loads_unchanged(self, tmp_path):
        arrivals = record_arrivals(VERGADERBORD, 2.0, 30.0, seed=6)
        save_arrivals(tmp_path / 'arrivals.jsonl', arrivals)
        assert load_arrivals(tmp_path / 'arrivals.jsonl') == arrivals
