"""The worst load replayed: what waits, what is turned away, what is placed.

Sizes and rates are those of the users' sheets: five engines of which one
prefills, prompts of 5,200 tokens, answers of 5,000 told as at most 9,360, and
bursts of several times the usual rate.
"""

import dataclasses
import random

import pytest

from mustardscale.configuration.config_records import Profile
from mustardscale.endpoints.engines import (
    EngineRole,
    LoadReport,
    StreamStage,
    StreamTag,
)
from mustardscale.outcomes import Outcome
from mustardscale.peers.peer_messages import AdmitRequest, Release
from mustardscale.policy import own_prompts
from mustardscale.policy.base import (
    EngineState,
    Grant,
    PoolState,
    Refusal,
    WaitingRequest,
)
from mustardscale.policy.engine_books import EngineBooks
from mustardscale.policy.prefill_timeline import LOST_AFTER_S
from mustardscale.policy.reserving import ReservingPolicy
from mustardscale.pools.owned_pool import build_reservation

ROUTE = Profile(
    first_token_s=0.9,
    per_token_s=1.0,
    patience_s=3.1,
    max_prompt_tokens=1_000_000,
    max_output_tokens=1_000_000,
)
MEMORY_TOKENS = 107_368
BLOCK_TOKENS = 16
STEP_S = 0.0007
PREFILL_RATE = 55_555.0
OWN_RATE = PREFILL_RATE / 2
TICK_S = 0.02


def report(role):
    total = MEMORY_TOKENS // BLOCK_TOKENS
    return LoadReport(
        role=role,
        model='m',
        model_version='1',
        pieces_total=total,
        pieces_free=total,
        active=0,
        queued_tokens=0,
        prefill_tokens_per_s=0.0,
        step_s=0.0,
        age_s=0.9,
        leaving=False,
        start=1,
        order_term=None,
        link_bytes_per_s=5.5e11,
        piece_tokens=BLOCK_TOKENS,
        kv_bytes_per_token=131_072,
        reads_prompts=True,
        drains_itself=True,
    )


@dataclasses.dataclass
class Asked:
    """A request of the replay.

    Attributes:
        at: when it comes, seconds.
        prompt: tokens of the prompt.
        output: tokens that the answer will have.
        hint: the caller's guess of them.
    """

    at: float
    prompt: int
    output: int
    hint: int


def arrivals(rng, seconds, rate_at):
    """Returns the requests of a replay, drawn as the users' sheets say."""
    asked, now = [], 0.0
    while now < seconds:
        now += rng.expovariate(rate_at(now))
        prompt = min(11_000, int(rng.lognormvariate(8.43, 0.48))) + 200
        output = min(9_360, int(rng.lognormvariate(8.43, 0.45)))
        hint = int(output * rng.lognormvariate(0.0, 0.48))
        asked.append(Asked(now, prompt, output, hint))
    return asked


class Floor:
    """Engines that serve as the policy decides, in steps of TICK_S."""

    def __init__(self, prefills=1, decodes=4, lost=()):
        self.policy = ReservingPolicy(random.Random(1))
        self.pool = PoolState('pool')
        self.pool.profile_by_service = {'route': ROUTE}
        names = [(f'p{n}', EngineRole.PREFILL) for n in range(prefills)]
        names += [(f'd{n}', EngineRole.DECODE) for n in range(decodes)]
        for name, role in names:
            engine = EngineState(name, role, 'dc', report=report(role))
            self.pool.engines_by_id[name] = engine
            self.policy.observe_report(self.pool, engine, engine.report, 0.0)
        self.pool.follow_pieces()
        # Requests whose prefill is never known to be done.
        self.lost = set(lost)
        self.asked_by_id = {}
        self.free_at = dict.fromkeys(self.pool.engines_by_id, 0.0)
        self.starts = {}
        self.first_s = {}
        # Requests whose prompt their decode engine computed.
        self.own = set()
        self.refused = {}
        # Seconds for which each refused request was kept.
        self.kept_s = {}
        self.overfull = 0

    def run(self, asked, seconds):
        """Plays the arrivals and the time after them."""
        pending = sorted(asked, key=lambda item: item.at)
        now = 0.0
        while now < seconds:
            while pending and pending[0].at <= now:
                self._arrive(pending.pop(0), now)
            self._advance(now)
            for decision in self.policy.decide(self.pool, now):
                self._carry_out(decision, now)
            now += TICK_S

    def _arrive(self, item, now):
        name = f'r{len(self.asked_by_id)}'
        self.asked_by_id[name] = item
        request = AdmitRequest(
            pool='pool',
            tag=StreamTag(name, 1, 'host', 1),
            service='route',
            prompt_tokens=item.prompt,
            block_hashes=(),
            fingerprint=1,
            max_tokens=9_360,
            first_token_s=ROUTE.first_token_s,
            deadline_s=14.0,
            hint_tokens=item.hint,
        )
        self.pool.waiting_by_request_id[name] = WaitingRequest(
            request, now, now + ROUTE.first_token_s, now + 14.0
        )

    def _carry_out(self, decision, now):
        name = decision.request_id
        item = self.pool.waiting_by_request_id.pop(name)
        if isinstance(decision, Refusal):
            self.refused[name] = decision
            self.kept_s[name] = now - self.asked_by_id[name].at
            return
        held = build_reservation(item, decision, now)
        self.pool.reservations_by_request_id[name] = held
        self.policy.observe_grant(self.pool, held, now)
        own = decision.prefill == decision.decode
        if own:
            self.own.add(name)
        rate = OWN_RATE if own else PREFILL_RATE
        begins = max(now, self.free_at[decision.prefill])
        done = begins + self.asked_by_id[name].prompt / rate
        self.free_at[decision.prefill] = done
        self.starts[name] = done + 0.02

    def _advance(self, now):
        held_by_id = self.pool.reservations_by_request_id
        used = dict.fromkeys(self.pool.engines_by_id, 0)
        for name, held in list(held_by_id.items()):
            if name in self.lost or now < self.starts[name]:
                continue
            item = self.asked_by_id[name]
            stream = held.stream
            if stream.stage is not StreamStage.DECODE:
                for stage in (StreamStage.TRANSFER, StreamStage.DECODE):
                    held.stream = stream = dataclasses.replace(
                        stream, stage=stage
                    )
                    self.policy.observe_stage(self.pool, held, stage, now)
                self.first_s[name] = now - item.at
            emitted = int((now - self.starts[name]) / STEP_S)
            held.stream = dataclasses.replace(stream, emitted=emitted)
            held.renewed_at = now
            held_by_id[name] = held
            used[stream.decode] += item.prompt + min(emitted, item.output)
            if emitted >= item.output:
                del held_by_id[name]
                release = Release(
                    'pool', stream.tag, Outcome.COMPLETE, 0, item.output, True
                )
                self.policy.observe_release(self.pool, held, release, now)
        self.overfull += sum(tokens > MEMORY_TOKENS for tokens in used.values())

    def on_time(self):
        """Returns the share of requests whose first token was on time."""
        good = sum(seconds <= 0.9 for seconds in self.first_s.values())
        return good / len(self.asked_by_id)


def burst(now):
    return 10.0 if 5.0 <= now < 10.0 else 5.2


class TestWaiting:
    """How work waits in a burst."""

    @pytest.mark.parametrize('seed', range(3))
    def test_a_burst_of_twice_the_rate_is_served_on_time(self, seed):
        floor = Floor()
        floor.run(arrivals(random.Random(seed), 20.0, burst), 30.0)
        assert floor.on_time() >= 0.9
        assert not floor.refused

    def test_nobody_is_kept_beyond_the_time_that_callers_stay(self):
        floor = Floor(decodes=1)
        floor.run(arrivals(random.Random(1), 12.0, lambda _: 12.0), 20.0)
        assert floor.refused
        assert max(floor.first_s.values()) <= ROUTE.patience_s + 0.6

    def test_a_prefill_that_is_never_done_does_not_block_the_engine(self):
        floor = Floor(lost={f'r{number}' for number in range(6)})
        asked = arrivals(random.Random(2), 12.0, lambda _: 4.0)
        floor.run(asked, 16.0)
        later = [
            name
            for name, item in floor.asked_by_id.items()
            if item.at > 3.0 + LOST_AFTER_S
        ]
        served = [name for name in later if floor.first_s.get(name, 9) <= 0.9]
        assert len(served) >= 0.8 * len(later)


class TestTurningAway:
    """What is refused, and when it is told to come back."""

    def test_a_refusal_names_a_time_and_a_cause(self):
        floor = Floor(decodes=1)
        floor.run(arrivals(random.Random(3), 10.0, lambda _: 14.0), 14.0)
        for refusal in floor.refused.values():
            assert refusal.outcome is Outcome.POOL_SATURATED
            assert 0.4 <= refusal.retry_after_s <= 30.0

    def test_no_engine_at_all_is_refused_at_once(self):
        floor = Floor(prefills=1, decodes=0)
        floor.run([Asked(0.0, 5_200, 5_000, 5_000)], 0.1)
        assert floor.refused['r0'].outcome is Outcome.NO_ENDPOINT


@pytest.fixture(scope='module', name='afternoon')
def play_afternoon():
    """Plays a burst at twenty-eight engines once for several tests."""

    def rate(now):
        return 100.0 if 3.0 <= now < 8.0 else 29.0

    with pytest.MonkeyPatch.context() as patch:
        patch.setitem(globals(), 'MEMORY_TOKENS', 63_376)
        floor = Floor(prefills=6, decodes=22)
        floor.run(arrivals(random.Random(1), 16.0, rate), 20.0)
    return floor


class TestAfternoon:
    """Twenty-eight engines in bursts of two to three times what they bear.

    The replay of the day on which the owner of one large pool fell behind: 211
    requests waited, and each one that was refused had waited for 3.1 s.
    """

    def test_what_can_not_be_served_is_not_kept_until_its_caller_goes(
        self, afternoon
    ):
        assert len(afternoon.refused) > 100
        kept = sum(afternoon.kept_s.values()) / len(afternoon.kept_s)
        # Hardly longer than a request may still be in time.
        assert kept <= ROUTE.first_token_s * 4 / 3

    def test_the_engines_are_used_all_the_same(self, afternoon):
        # 22 engines with room for six streams of 3.5 s each.
        assert len(afternoon.first_s) >= 0.9 * 20 * 22 * 6 / 3.5 / 1.25

    def test_it_is_over_soon_after_the_burst(self, afternoon):
        later = [
            n for n, item in afternoon.asked_by_id.items() if item.at > 12.0
        ]
        good = sum(afternoon.first_s.get(name, 9.0) <= 0.9 for name in later)
        assert good >= 0.9 * len(later)

    def test_the_time_to_come_back_is_that_of_the_line(self, afternoon):
        times = [r.retry_after_s for r in afternoon.refused.values()]
        assert min(times) >= 0.5
        assert max(times) > 1.0


@pytest.fixture(scope='module', name='reading_burst')
def play_reading_burst():
    """Plays a burst of prompts with several seeds."""

    def rate(now):
        return 16.0 if 4.0 <= now < 8.0 else 5.0

    floors = []
    with pytest.MonkeyPatch.context() as patch:
        # Memory is not what is short here.
        patch.setitem(globals(), 'STEP_S', 0.0003)
        for seed in range(4):
            floor = Floor()
            floor.run(arrivals(random.Random(seed), 14.0, rate), 20.0)
            floors.append(floor)
    return floors


class TestReadingBurst:
    """A burst that prefill and decode engines can only read together.

    The prefill engine reads ten prompts a second and each decode engine one in
    0.6 s, so all of them are enough for sixteen.
    """

    def test_nine_of_ten_are_in_time(self, reading_burst):
        in_time = [floor.on_time() for floor in reading_burst]
        assert sum(in_time) / len(in_time) >= 0.9

    def test_hardly_any_is_refused(self, reading_burst):
        refused = sum(len(floor.refused) for floor in reading_burst)
        asked = sum(len(floor.asked_by_id) for floor in reading_burst)
        assert refused <= 0.05 * asked


class TestFewStreams:
    """Engines with few streams, and engines that are nearly full."""

    @pytest.mark.parametrize('seed', range(3))
    def test_few_streams_leave_the_prefill_engine_to_bursts(self, seed):
        floor = Floor()
        asked = arrivals(random.Random(seed), 15.0, lambda _: 3.0)
        floor.run(asked, 20.0)
        assert len(floor.own) >= 0.5 * len(floor.asked_by_id)
        assert floor.on_time() == 1.0

    def test_an_engine_rests_between_two_prompts(self):
        floor = Floor(decodes=1)
        for _ in range(3):
            floor._arrive(Asked(0.0, 4_000, 1_000, 1_000), 0.0)
        for decision in floor.policy.decide(floor.pool, 0.0):
            floor._carry_out(decision, 0.0)
        assert len(floor.own) == 1

    def test_a_full_engine_is_left_to_its_streams(self):
        floor = Floor(decodes=1)
        for number in range(20):
            now = 0.7 * number
            floor._arrive(Asked(now, 4_000, 9_000, 9_000), now)
            for decision in floor.policy.decide(floor.pool, now):
                floor._carry_out(decision, now)
        assert {'r0', 'r1'} <= floor.own
        assert not {'r10', 'r11'} & floor.own


class TestLateRequests:
    """What is late while others may still be in time."""

    @pytest.mark.parametrize('others', [0, 1])
    def test_it_leaves_the_decode_engines_to_them(self, monkeypatch, others):
        monkeypatch.setattr(own_prompts, 'CALM_MEMORY_SHARE', -1.0)
        floor = Floor(decodes=1)
        # The prefill engine is busy for a while.
        floor.policy._books._timeline('p0').add('busy', 0.4, 0.0)
        for _ in range(1 + others):
            floor._arrive(Asked(0.0, 5_000, 2_000, 2_000), 0.0)
        floor.pool.waiting_by_request_id['r0'].first_token_at = -0.5
        granted = floor.policy.decide(floor.pool, 0.0)
        assert bool(granted) == (not others)


class TestPlacing:
    """Where work is placed."""

    @pytest.mark.parametrize('seed', range(3))
    def test_memory_is_overbooked_but_does_not_run_out(self, seed):
        floor = Floor()
        rng = random.Random(seed)
        floor.run(arrivals(rng, 25.0, lambda _: 9.0), 32.0)
        looks = 32.0 / TICK_S * 4
        assert floor.overfull <= ROUTE.overbook_probability * looks
        most_by_longest = 4 * MEMORY_TOKENS / (5_200 + 9_360)
        busiest = len(floor.first_s) * 3.6 / 28.0
        assert busiest > 0.8 * most_by_longest

    def test_guesses_keep_memory_from_running_out_before_lengths_are_known(
        self,
    ):
        def overfull(hint):
            floor = Floor()
            long = [Asked(0.1 * n, 5_000, 6_000, hint) for n in range(80)]
            floor.run(long, 16.0)
            return floor.overfull

        assert overfull(6_000) == 0
        assert overfull(0) > 0

    def test_decode_engines_read_prompts_where_no_prefill_engine_is(self):
        floor = Floor(prefills=0, decodes=4)
        floor.run(arrivals(random.Random(4), 10.0, lambda _: 3.0), 15.0)
        assert not floor.refused
        assert floor.on_time() >= 0.9

    def test_an_excluded_prefill_engine_is_not_waited_for(self):
        floor = Floor()
        floor._arrive(Asked(0.0, 5_000, 1_000, 1_000), 0.0)
        waiting = floor.pool.waiting_by_request_id
        item = waiting['r0']
        waiting['r0'] = dataclasses.replace(
            item,
            request=dataclasses.replace(item.request, excluded=('p0',)),
        )
        (grant,) = floor.policy.decide(floor.pool, 0.0)
        assert isinstance(grant, Grant)
        assert grant.prefill == grant.decode

    def test_the_rate_of_a_silent_engine_is_learnt(self):
        floor = Floor()
        floor.run(arrivals(random.Random(5), 10.0, lambda _: 4.0), 12.0)
        books: EngineBooks = floor.policy._books
        assert 0.5 * PREFILL_RATE < books.rate('p0') < 1.5 * PREFILL_RATE
