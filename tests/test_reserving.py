"""Tests of the reserving placement policy."""

import random

import pytest

from mustardscale.configuration.config_records import Profile
from mustardscale.endpoints.engines import (
    BLOCK_TOKENS,
    EngineRole,
    LoadReport,
    StreamStage,
    StreamTag,
)
from mustardscale.outcomes import Outcome
from mustardscale.peers.peer_messages import AdmitRequest, HeldStream, Release
from mustardscale.policy.base import (
    EngineState,
    Grant,
    PoolState,
    Refusal,
    Reservation,
    WaitingRequest,
)
from mustardscale.policy.fair_shares import ALLOWANCE_TOKENS
from mustardscale.policy.reserving import ReservingPolicy

LATENCY_CRITICAL = Profile(first_token_s=0.9, patience_s=0.9)
PATIENT = Profile(first_token_s=8.0, patience_s=20.0)
SLOW = Profile(first_token_s=40.0, patience_s=60.0)


def report(role, pieces_free=64, queued_tokens=0, link=2e9):
    return LoadReport(
        role=role,
        model='m',
        model_version='1',
        pieces_total=64,
        pieces_free=pieces_free,
        active=0,
        queued_tokens=queued_tokens,
        prefill_tokens_per_s=16_000.0,
        step_s=0.0,
        age_s=0.0,
        leaving=False,
        start=1,
        order_term=0,
        link_bytes_per_s=link,
    )


class PoolScenario:
    """A pool whose policy observes the effects of its own grants."""

    def __init__(self, prefills=2, decodes=2):
        self.policy = ReservingPolicy(random.Random(1))
        self.pool = PoolState('pool')
        self.pool.profile_by_service = {
            'hurried': LATENCY_CRITICAL,
            'patient': PATIENT,
        }
        names = [(f'p{n}', EngineRole.PREFILL) for n in range(prefills)]
        names += [(f'd{n}', EngineRole.DECODE) for n in range(decodes)]
        for name, role in names:
            engine = EngineState(name, role, 'dc1', report=report(role))
            self.pool.engines_by_id[name] = engine
            self.policy.observe_report(self.pool, engine, engine.report, 0.0)

    def ask(self, name, service='patient', tokens=1000, now=0.0, **fields):
        profile = self.pool.profile_by_service[service]
        first_token_s = fields.pop('first_token_s', profile.first_token_s)
        fields.setdefault('max_tokens', 500)
        request = AdmitRequest(
            pool='pool',
            tag=StreamTag(name, fields.pop('attempt', 1), 'host', 1),
            service=service,
            prompt_tokens=tokens,
            block_hashes=fields.pop('block_hashes', ()),
            fingerprint=1,
            first_token_s=first_token_s,
            deadline_s=60.0,
            **fields,
        )
        self.pool.waiting_by_request_id[name] = WaitingRequest(
            request, now, now + first_token_s, now + 60.0
        )

    def decide(self, now=0.0):
        """Carries out the decisions and returns them by request id."""
        decisions = self.policy.decide(self.pool, now)
        for decision in decisions:
            item = self.pool.waiting_by_request_id.pop(decision.request_id)
            if isinstance(decision, Grant):
                self.reserve(item.request, decision, now)
        return {decision.request_id: decision for decision in decisions}

    def reserve(self, request, grant, now):
        stream = HeldStream(
            request.tag,
            request.service,
            grant.prefill,
            grant.decode,
            StreamStage.QUEUED,
            request.prompt_tokens,
            0,
            request.max_tokens,
        )
        held = Reservation(
            stream, 1, now, now, block_hashes=request.block_hashes
        )
        name = request.tag.request_id
        self.pool.reservations_by_request_id[name] = held
        self.policy.observe_grant(self.pool, held, now)

    def advance(self, name, stage, now):
        held = self.pool.reservations_by_request_id[name]
        stream = held.stream
        held.stream = HeldStream(
            stream.tag,
            stream.service,
            stream.prefill,
            stream.decode,
            stage,
            stream.prompt_tokens,
            0,
            stream.max_tokens,
        )
        held.renewed_at = now
        self.policy.observe_stage(self.pool, held, stage, now)

    def end(self, name, now):
        held = self.pool.reservations_by_request_id.pop(name)
        release = Release('pool', held.stream.tag, 0, 0, 100, True)
        self.policy.observe_release(self.pool, held, release, now)


class TestGrants:
    """Which requests are granted, and in which order."""

    def test_no_prefill_without_decode_memory(self):
        scenario = PoolScenario(decodes=1)
        scenario.ask('a', tokens=70_000, max_tokens=4000)
        assert isinstance(scenario.decide()['a'], Grant)
        scenario.advance('a', StreamStage.TRANSFER, 3.8)
        scenario.advance('a', StreamStage.DECODE, 6.8)
        scenario.ask('b', tokens=70_000, max_tokens=4000, now=7.0)
        assert scenario.decide(7.0) == {}
        scenario.end('a', 7.5)
        assert isinstance(scenario.decide(7.5)['b'], Grant)

    def test_memory_that_others_hold_is_not_granted(self):
        scenario = PoolScenario(decodes=1)
        engine = scenario.pool.engines_by_id['d0']
        full = report(EngineRole.DECODE, pieces_free=4)
        scenario.policy.observe_report(scenario.pool, engine, full, 1.0)
        scenario.ask('a', tokens=20_000, now=1.0)
        assert scenario.decide(1.0) == {}

    def test_no_prefill_whose_result_would_wait_for_its_link(self):
        scenario = PoolScenario(prefills=1, decodes=2)
        scenario.ask('long', tokens=40_000)
        assert isinstance(scenario.decide()['long'], Grant)
        # Its transfer takes until 4.5 s.
        scenario.advance('long', StreamStage.TRANSFER, 2.5)
        scenario.ask('short', tokens=200, now=2.5)
        assert scenario.decide(2.5) == {}
        assert isinstance(scenario.decide(4.2)['short'], Grant)

    def test_a_long_prompt_leaves_an_engine_to_latency_critical_ones(self):
        scenario = PoolScenario()
        scenario.ask('first', tokens=30_000)
        scenario.ask('h1', 'hurried', tokens=500)
        scenario.decide()
        scenario.ask('second', tokens=30_000, now=0.3)
        assert scenario.decide(0.3) == {}
        scenario.ask('h2', 'hurried', tokens=500, now=0.4)
        grants = scenario.decide(0.4)
        assert isinstance(grants['h2'], Grant)
        assert 'second' not in grants

    def test_a_late_prompt_leaves_an_engine_until_its_patience_ends(self):
        scenario = PoolScenario()
        scenario.ask('first', tokens=30_000)
        scenario.ask('h1', 'hurried', tokens=500)
        scenario.decide()
        late = {'tokens': 30_000, 'now': 0.3}
        scenario.ask('late', first_token_s=-0.1, **late)
        assert scenario.decide(0.3) == {}
        scenario.ask('last', first_token_s=-11.8, waited_s=19.8, **late)
        assert list(scenario.decide(0.3)) == ['last']

    def test_memory_is_left_to_latency_critical_ones(self):
        scenario = PoolScenario(decodes=1)
        scenario.ask('large', tokens=122_000)
        scenario.decide()
        scenario.advance('large', StreamStage.TRANSFER, 7.6)
        scenario.advance('large', StreamStage.DECODE, 13.8)
        # Two KV blocks are free.
        scenario.ask('patient', tokens=1_000, max_tokens=100, now=14.0)
        scenario.ask(
            'hurried', 'hurried', tokens=1_000, max_tokens=100, now=14.0
        )
        assert list(scenario.decide(14.0)) == ['hurried']

    def test_a_prompt_goes_to_the_engine_that_caches_its_prefix(self):
        scenario = PoolScenario()
        hashes = tuple(range(8))
        tokens = 8 * BLOCK_TOKENS + 10
        scenario.ask('a', tokens=tokens, block_hashes=hashes)
        engine = scenario.decide()['a'].prefill
        scenario.advance('a', StreamStage.TRANSFER, 0.3)
        scenario.advance('a', StreamStage.DECODE, 0.6)
        scenario.ask('b', tokens=tokens, block_hashes=hashes, now=1.0)
        assert scenario.decide(1.0)['b'].prefill == engine

    def test_a_long_prompt_goes_after_short_ones_but_is_not_starved(self):
        scenario = PoolScenario(prefills=1)
        scenario.ask('long', tokens=12_000)
        scenario.ask('short', tokens=400)
        assert list(scenario.decide()) == ['short']
        scenario.advance('short', StreamStage.TRANSFER, 0.05)
        scenario.ask('late', tokens=400, now=6.0)
        assert list(scenario.decide(6.0)) == ['long']

    def test_a_long_answer_goes_after_short_ones(self):
        scenario = PoolScenario(prefills=1)
        scenario.ask('long', tokens=400, max_tokens=16_000)
        scenario.ask('short', tokens=400, max_tokens=400)
        assert list(scenario.decide()) == ['short']


class TestFairShares:
    """A service that sends too much does not starve the others."""

    def serve(self, scenario, now, until):
        """Serves waiting requests one by one; returns their ids in order."""
        served = []
        while now < until and scenario.pool.waiting_by_request_id:
            for name, decision in scenario.decide(now).items():
                if not isinstance(decision, Grant):
                    continue
                held = scenario.pool.reservations_by_request_id[name]
                now += 0.03 + held.stream.prompt_tokens / 16_000
                scenario.advance(name, StreamStage.TRANSFER, now)
                scenario.advance(name, StreamStage.DECODE, now)
                scenario.end(name, now)
                served.append(name)
            now += 0.01
        return served

    def test_a_flood_of_one_service_does_not_block_the_others(self):
        scenario = PoolScenario(prefills=1)
        scenario.pool.profile_by_service = {'flood': SLOW, 'other': SLOW}
        for number in range(60):
            scenario.ask(f'flood-{number}', 'flood', tokens=8_000)
        scenario.ask('other', 'other', tokens=8_000, now=0.1)
        served = self.serve(scenario, 0.1, 40.0)
        assert served.index('other') <= ALLOWANCE_TOKENS / 8_000 + 1

    def test_a_late_request_is_not_starved_by_a_flood_in_time(self):
        scenario = PoolScenario(prefills=1)
        scenario.pool.profile_by_service['flood'] = SLOW
        for number in range(60):
            scenario.ask(f'flood-{number}', 'flood', tokens=8_000)
        scenario.ask('late', tokens=8_000, first_token_s=-1.0, waited_s=9.0)
        served = self.serve(scenario, 0.0, 10.0)
        assert served.index('late') <= ALLOWANCE_TOKENS / 8_000 + 1

    def test_a_service_alone_uses_the_whole_pool_without_later_debt(self):
        scenario = PoolScenario(prefills=1)
        scenario.pool.profile_by_service = {'busy': SLOW, 'other': SLOW}
        for number in range(40):
            scenario.ask(f'busy-{number}', 'busy', tokens=8_000)
        assert len(self.serve(scenario, 0.0, 30.0)) == 40
        scenario.ask('busy-last', 'busy', tokens=8_000, now=30.0)
        scenario.ask('other', 'other', tokens=8_000, now=30.1)
        assert self.serve(scenario, 30.1, 32.0)[0] == 'busy-last'

    def test_a_flood_leaves_an_engine_to_latency_critical_ones_even_when_late(
        self,
    ):
        scenario = PoolScenario()
        scenario.pool.profile_by_service |= {'flood': PATIENT, 'other': SLOW}
        # Fits no engine, so its service keeps the smallest tag and the flood is
        # ahead of its share.
        scenario.ask('large', 'other', tokens=140_000)
        for number in range(20):
            scenario.ask(f'flood-{number}', 'flood', tokens=8_000)
        self.serve(scenario, 0.0, 12.0)
        scenario.ask('h1', 'hurried', tokens=500, now=13.0)
        scenario.ask('first', 'flood', tokens=30_000, now=13.0)
        assert len(scenario.decide(13.0)) == 2
        late = {'first_token_s': -11.8, 'waited_s': 19.8}
        scenario.ask('last', 'flood', tokens=30_000, now=13.3, **late)
        assert scenario.decide(13.3) == {}


class TestRefusals:
    """When a request is refused."""

    def test_a_late_request_is_refused_at_once_if_late_is_not_accepted(self):
        scenario = PoolScenario(prefills=1)
        scenario.ask('busy', tokens=30_000)
        scenario.decide()
        scenario.ask('hurried', 'hurried', now=0.1)
        scenario.ask('patient', 'patient', now=0.1)
        decisions = scenario.decide(0.1)
        assert list(decisions) == ['hurried']
        refusal = decisions['hurried']
        assert isinstance(refusal, Refusal)
        assert refusal.outcome is Outcome.POOL_SATURATED
        # The engine is busy for 1.8 s.
        assert 1.5 < refusal.retry_after_s < 3.0

    def test_a_request_is_refused_when_its_patience_ends(self):
        scenario = PoolScenario(prefills=1)
        scenario.ask('busy', tokens=30_000)
        scenario.decide()
        scenario.ask('patient', waited_s=19.0)
        assert scenario.decide(0.9) == {}
        refusal = scenario.decide(1.1)['patient']
        assert refusal.outcome is Outcome.POOL_SATURATED

    @pytest.mark.parametrize('excluded', [('p0', 'p1'), ('d0', 'd1')])
    def test_a_request_without_usable_engines_is_refused(self, excluded):
        scenario = PoolScenario()
        scenario.ask('a', excluded=excluded)
        assert scenario.decide()['a'].outcome is Outcome.NO_ENDPOINT

    def test_a_repeated_attempt_is_never_refused_for_lateness(self):
        scenario = PoolScenario()
        scenario.ask('a', 'hurried', attempt=2, first_token_s=-3.0)
        assert isinstance(scenario.decide()['a'], Grant)
