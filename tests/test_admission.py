"""Tests of admission requests to one pool and to several pools."""

import asyncio
import random

import pytest

from mustardscale.blackboard import Blackboard, EndpointEntry, ServedRequest
from mustardscale.configuration.config_records import Profile
from mustardscale.endpoints.engines import EngineRole, Prompt, StreamTag
from mustardscale.exceptions import OutcomeError, PeerUnavailableError
from mustardscale.hosts.host_list import ListedKind
from mustardscale.outcomes import Outcome
from mustardscale.peers.peer_messages import (
    Acknowledgement,
    AdmitReply,
    AdmitRequest,
    Release,
)
from mustardscale.pools import admission
from mustardscale.pools.admission import AdmissionClient
from tests.virtual_time import virtual_time

IMPATIENT_PROFILE = Profile(first_token_s=0.9, patience_s=0.9)
DECIDED_AFTER_S = 20.0
DEADLINE_S = 60.0


class SlowOwner:
    """A pool owner that grants only after DECIDED_AFTER_S."""

    async def call(self, host, request, reply_type, timeout_s):
        await asyncio.sleep(min(timeout_s, DECIDED_AFTER_S))
        if timeout_s < DECIDED_AFTER_S:
            raise PeerUnavailableError(host)
        return AdmitReply(Outcome.COMPLETE, 'e0', 'e1')


async def admit(attempt):
    """Requests admission and returns the reply."""
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
        prompt, served, IMPATIENT_PROFILE, 'm', (), now + DEADLINE_S
    )


class TestPatience:
    """Requests whose profile allows only a short wait."""

    @virtual_time
    async def test_a_first_attempt_is_given_up(self):
        with pytest.raises(OutcomeError) as info:
            await admit(attempt=1)
        assert info.value.outcome is Outcome.OWNER_UNAVAILABLE

    @virtual_time
    async def test_a_repeated_attempt_waits_as_long_as_its_deadline(self):
        reply = await admit(attempt=2)
        assert reply.outcome == Outcome.COMPLETE


DATA_CENTRES = ('dc', 'dc2', 'dc3')
PATIENT_PROFILE = Profile(first_token_s=0.9, patience_s=3.6)


class FakePoolOwners:
    """Owners of one pool in each data centre, each with a queue.

    Attributes:
        asked: data centres of the pools that were asked, in order.
        released: data centres of the pools whose grants were released.
        service_s: seconds for which a grant occupies its pool.
    """

    def __init__(self, service_s=0.0):
        self.asked = []
        self.released = []
        self.service_s = service_s
        self._free_at = dict.fromkeys(DATA_CENTRES, 0.0)
        self.grant_after_s = dict.fromkeys(DATA_CENTRES, 0.0)

    async def call(self, host, request, reply_type, timeout_s):
        data_centre = request.pool.partition('@')[2].partition('#')[0]
        if isinstance(request, Release):
            self.released.append(data_centre)
            return Acknowledgement()
        assert isinstance(request, AdmitRequest)
        self.asked.append(data_centre)
        loop = asyncio.get_running_loop()
        wait_s = self.grant_after_s[data_centre]
        wait_s += max(0.0, self._free_at[data_centre] - loop.time())
        if request.turn_within_s and wait_s > request.turn_within_s:
            await asyncio.sleep(request.turn_within_s)
            return AdmitReply(Outcome.POOL_SATURATED, missed_turn=True)
        begins_at = loop.time() + wait_s
        before = self._free_at[data_centre]
        self._free_at[data_centre] = begins_at + self.service_s
        try:
            await asyncio.sleep(wait_s)
        except asyncio.CancelledError:
            # A cancelled request leaves the queue.
            self._free_at[data_centre] = max(
                before, self._free_at[data_centre] - self.service_s
            )
            raise
        return AdmitReply(
            Outcome.COMPLETE, f'p-{data_centre}', f'd-{data_centre}'
        )


def make_client(pools):
    board = Blackboard('host', 1, 'dc', 'region')
    board.pool_engines = 2
    for data_centre in DATA_CENTRES:
        for role in EngineRole:
            name = f'{role.value[0]}-{data_centre}'
            board.endpoints_by_id[name] = EndpointEntry(
                name,
                ListedKind.ENGINE,
                '127.0.0.1:1',
                data_centre,
                'region',
                model='m',
                role=role,
            )
    client = AdmissionClient(board, pools, random.Random(1))
    client.follow_membership()
    return client


async def ask(client, name='r'):
    """Requests admission; returns the request and the seconds waited."""
    loop = asyncio.get_running_loop()
    served = ServedRequest(name, 'service', 1, loop.time())
    served.tag = StreamTag(name, 1, 'host', 1)
    reply = await client.admit(
        Prompt(10, (), 1), served, PATIENT_PROFILE, 'm', (), loop.time() + 14.0
    )
    assert reply.decode == f'd-{served.pool[2:-2]}'
    return served, loop.time() - served.arrived_at


class TestOtherPools:
    """Requests that may have to wait at the pool of their data centre."""

    @virtual_time
    async def test_a_free_pool_is_the_only_one_asked(self):
        pools = FakePoolOwners()
        served, waited_s = await ask(make_client(pools))
        assert (served.pool, pools.asked, waited_s) == ('m@dc#0', ['dc'], 0.0)

    @virtual_time
    async def test_another_pool_that_is_free_grants_soon(self):
        pools = FakePoolOwners()
        pools.grant_after_s['dc'] = 3.0
        served, waited_s = await ask(make_client(pools))
        assert served.pool != 'm@dc#0'
        assert (
            waited_s
            < admission.FIRST_POOL_WAIT_S + admission.OTHER_POOL_TIMEOUT_S
        )
        await asyncio.sleep(1.0)
        assert pools.released == ['dc']

    @virtual_time
    async def test_the_queue_position_is_kept_while_others_are_full(
        self,
    ):
        pools = FakePoolOwners()
        pools.grant_after_s = dict.fromkeys(DATA_CENTRES, 1.0)
        served, waited_s = await ask(make_client(pools))
        assert (served.pool, pools.asked[0]) == ('m@dc#0', 'dc')
        assert pools.asked.count('dc') == 1
        assert waited_s == pytest.approx(1.0)

    @virtual_time
    async def test_a_caller_that_leaves_gives_up_its_position(self):
        pools = FakePoolOwners()
        pools.grant_after_s = dict.fromkeys(DATA_CENTRES, 5.0)
        asking = asyncio.create_task(ask(make_client(pools)))
        await asyncio.sleep(1.0)
        asking.cancel()
        await asyncio.wait([asking])
        await asyncio.sleep(0.1)
        assert 'dc' in pools.released

    @virtual_time
    async def test_a_burst_in_one_data_centre_is_spread(self):
        # For four seconds, requests arrive at twice the rate that one pool
        # serves, which is two thirds of the rate that all three serve.
        pools = FakePoolOwners(service_s=0.1)
        client = make_client(pools)
        rng = random.Random(3)
        waits = []

        async def arrive(number, at):
            await asyncio.sleep(at)
            waits.append((await ask(client, f'r{number}'))[1])

        await asyncio.gather(
            *(arrive(n, rng.uniform(0.0, 4.0)) for n in range(80))
        )
        in_time = sum(
            wait_s <= PATIENT_PROFILE.first_token_s for wait_s in waits
        )
        assert in_time >= 0.95 * len(waits)
