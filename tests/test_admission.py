"""Tests of how long an entry host waits for a pool's owner."""

import asyncio
import random

import pytest

from mustardscale.blackboard import Blackboard, EndpointEntry, ServedRequest
from mustardscale.configuration.config_records import Profile
from mustardscale.endpoints.engines import EngineRole, Prompt, StreamTag
from mustardscale.exceptions import OutcomeError, PeerUnavailableError
from mustardscale.hosts.host_list import ListedKind
from mustardscale.outcomes import Outcome
from mustardscale.peers.peer_messages import AdmitReply
from mustardscale.pools.admission import AdmissionClient
from tests.virtual_time import virtual_time

HURRIED = Profile(first_token_s=0.9, patience_s=0.9)
DECIDED_AFTER_S = 20.0
DEADLINE_S = 60.0


class SlowOwner:
    """An owner that grants only after some time."""

    async def call(self, host, request, reply_type, timeout_s):
        await asyncio.sleep(min(timeout_s, DECIDED_AFTER_S))
        if timeout_s < DECIDED_AFTER_S:
            raise PeerUnavailableError(host)
        return AdmitReply(Outcome.COMPLETE, 'e0', 'e1')


async def admit(attempt):
    """Asks for endpoints; returns the reply and the seconds waited."""
    board = Blackboard('host', 1, 'dc', 'region')
    for number, role in enumerate(EngineRole):
        board.endpoints_by_id[f'e{number}'] = EndpointEntry(
            f'e{number}',
            ListedKind.ENGINE,
            '127.0.0.1:1',
            'dc',
            'region',
            model='m',
            role=role,
        )
    client = AdmissionClient(board, SlowOwner(), random.Random(1))
    client.follow_membership()
    prompt = Prompt(10, (), 1)
    now = asyncio.get_running_loop().time()
    served = ServedRequest('r', 'service', 1, now)
    served.tag = StreamTag('r', attempt, 'host', 1)
    return await client.admit(
        prompt, served, HURRIED, 'm', (), now + DEADLINE_S
    )


class TestPatience:
    """A request whose profile is impatient."""

    @virtual_time
    async def test_a_first_attempt_is_given_up(self):
        with pytest.raises(OutcomeError) as info:
            await admit(attempt=1)
        assert info.value.outcome is Outcome.OWNER_UNAVAILABLE

    @virtual_time
    async def test_a_repeated_attempt_waits_as_long_as_its_deadline(self):
        reply = await admit(attempt=2)
        assert reply.outcome == Outcome.COMPLETE
