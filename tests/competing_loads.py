"""Kinds of streams that compete for a pool's memory, for replays of loads."""

import dataclasses
import random

import pytest

from mustardscale.configuration.config_records import Profile
from mustardscale.endpoints.engines import (
    NO_PRIORITY,
    EngineRole,
    StreamTag,
)
from mustardscale.peers.peer_messages import AdmitRequest
from mustardscale.policy.base import WaitingRequest
from tests import test_worst_load
from tests.test_worst_load import BLOCK_TOKENS, SimulatedPool

# Memory of an engine, prompts and answers of the first site.
MEMORY_TOKENS = 73_863
PROMPT_TOKENS = 5_000
ANSWER_TOKENS = 70
DEADLINE_S = 14.0
STEP_S = 0.02


@dataclasses.dataclass(frozen=True)
class StreamKind:
    """Streams of one route and customer.

    Attributes:
        service: the route.
        priority: their priority.
        customer: their customer.
    """

    service: str
    priority: int = NO_PRIORITY
    customer: str = ''


# First events due in 0.8 s and in 2 s; callers leave after 3.2 s and 8 s.
PROFILES = {
    'chat': Profile(first_token_s=0.8, per_token_s=1.0, patience_s=2.75),
    'batch': Profile(first_token_s=2.0, per_token_s=1.0, patience_s=7.55),
}
CHAT, BATCH = StreamKind('chat', 0), StreamKind('batch', 2)
UNSTATED = {'chat': StreamKind('chat'), 'batch': StreamKind('batch')}


@dataclasses.dataclass
class KindRequest:
    """A request of the replay.

    Attributes:
        at: its arrival time, seconds.
        kind: its kind.
        prompt: number of tokens of the prompt.
        output: number of tokens of the answer.
    """

    at: float
    kind: StreamKind
    prompt: int = PROMPT_TOKENS
    output: int = ANSWER_TOKENS


def draw_arrivals(rng, kind, rate_per_s, begin_s, end_s):
    """Returns random requests of a kind."""
    requests, now = [], begin_s
    while (now := now + rng.expovariate(rate_per_s)) < end_s:
        prompt = int(PROMPT_TOKENS * rng.uniform(0.8, 1.2))
        requests.append(KindRequest(now, kind, prompt))
    return requests


def draw_burst(seed, *kinds, rate_per_s=9.0):
    """Returns 8 s of several kinds at the same rate."""
    rng = random.Random(seed)
    return [
        request
        for kind in kinds
        for request in draw_arrivals(rng, kind, rate_per_s, 0.0, 8.0)
    ]


class CompetingPool(SimulatedPool):
    """Engines whose memory is short; steps of 20 ms."""

    def __init__(self, decodes=1):
        self.decided = []
        super().__init__(decodes=decodes)
        self.pool.profile_by_service = PROFILES
        for engine in self.pool.engines_by_id.values():
            if engine.role is EngineRole.DECODE:
                pieces = MEMORY_TOKENS // BLOCK_TOKENS
                engine.report = dataclasses.replace(
                    engine.report, pieces_total=pieces, pieces_free=pieces
                )
                self.policy.observe_report(
                    self.pool, engine, engine.report, 0.0
                )

    def run(self, requests, seconds):
        """See the base class."""
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(test_worst_load, 'STEP_S', STEP_S)
            super().run(requests, seconds)

    def _arrive(self, item, now):
        name = f'r{len(self.request_by_id)}'
        self.request_by_id[name] = item
        kind = item.kind
        stated = {}
        if kind.priority != NO_PRIORITY or kind.customer:
            stated = {'priority': kind.priority, 'customer': kind.customer}
        first_token_s = PROFILES[kind.service].first_token_s
        request = AdmitRequest(
            pool='pool',
            tag=StreamTag(name, 1, 'host', 1),
            service=kind.service,
            prompt_tokens=item.prompt,
            block_hashes=(),
            fingerprint=1,
            max_tokens=ANSWER_TOKENS,
            first_token_s=first_token_s,
            deadline_s=DEADLINE_S,
            **stated,
        )
        self.pool.waiting_by_request_id[name] = WaitingRequest(
            request, now, now + first_token_s, now + DEADLINE_S
        )

    def names_of(self, kind):
        """Returns the ids of the requests of a kind."""
        return [
            name
            for name, item in self.request_by_id.items()
            if item.kind == kind
        ]

    def in_time(self, kind):
        """Returns the share of a kind whose first token was in time."""
        names = self.names_of(kind)
        due_s = PROFILES[kind.service].first_token_s
        good = sum(self.first_s.get(name, 99.0) <= due_s for name in names)
        return good / len(names)

    def served(self, kind):
        """Returns the share of a kind that was served."""
        names = self.names_of(kind)
        return sum(name in self.first_s for name in names) / len(names)

    def _carry_out(self, decision, now):
        self.decided.append(
            [
                decision.request_id,
                round(now, 2),
                getattr(decision, 'prefill', ''),
                getattr(decision, 'decode', ''),
                round(getattr(decision, 'retry_after_s', 0.0), 4),
            ]
        )
        super()._carry_out(decision, now)


def decide_without_priorities(seed):
    """Returns the decisions on a burst of requests that state no priority."""
    pool = CompetingPool(decodes=2)
    pool.run(draw_burst(seed, *UNSTATED.values(), rate_per_s=18.0), 12.0)
    return pool.decided
