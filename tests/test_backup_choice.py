"""Tests of which engine keeps the copy of a stream, and what that takes up."""

import dataclasses
import types

import pytest

from mustardscale.endpoints.engines import EngineRole, StreamStage, StreamTag
from mustardscale.forwarding.forwarded_calls import pack_request, unpack_call
from mustardscale.peers.forward_messages import ForwardedHandle
from mustardscale.peers.peer_messages import AdmitRequest, HeldStream
from mustardscale.policy.backup_choice import choose_backup
from mustardscale.policy.base import (
    EngineState,
    Grant,
    PoolState,
    Reservation,
    WaitingRequest,
)
from mustardscale.policy.decode_capacity import DecodeCapacity
from mustardscale.pools.owned_pool import find_backup
from mustardscale.relay.relay_endpoint import RelayCall
from tests.relay_fakes import request_of
from tests.test_reserving import report
from tests.virtual_time import virtual_time

# Three KV blocks (pieces) of 2,000 tokens.
REQUEST = AdmitRequest(
    'pool', StreamTag('r', 1, 'h', 1), 's', 5_000, (), 0, 70, 1.0, 9.0
)


def engine(name, free=64, **fields):
    fields.setdefault('version', 'v1')
    role = fields.pop('role', EngineRole.DECODE)
    state = EngineState(name, role, fields.pop('data_centre', 'z'), **fields)
    state.report = report(role, pieces_free=free)
    return state


def pool_of(*engines):
    return PoolState('pool', {state.id: state for state in engines})


def stream_of(name, decode, backup='', emitted=0):
    tag = StreamTag(name, 1, 'h', 1)
    stage = StreamStage.DECODE
    return HeldStream(
        tag, 's', 'p', decode, stage, 5_000, emitted, 2_000, backup=backup
    )


class TestChoice:
    """Engines that must not, or cannot, keep a copy."""

    def test_most_room_in_the_data_centre_comes_first(self):
        far = engine('c', data_centre='y')
        pool = pool_of(engine('a'), engine('b', 10), far, engine('d', 20))
        assert choose_backup(pool, REQUEST, 'a') == 'd'
        del pool.engines_by_id['b'], pool.engines_by_id['d']
        assert choose_backup(pool, REQUEST, 'a') == 'c'

    @pytest.mark.parametrize(
        'other',
        [
            engine('b', version='v2'),
            engine('b', role=EngineRole.PREFILL),
            engine('b', usable=False),
            engine('b', free=2),
            engine('excluded'),
        ],
    )
    def test_none_is_named(self, other):
        request = dataclasses.replace(REQUEST, excluded=('excluded',))
        assert not choose_backup(pool_of(engine('a'), other), request, 'a')

    def test_engine_without_a_report_is_not_named(self):
        other = engine('b')
        other.report = None
        assert not choose_backup(pool_of(engine('a'), other), REQUEST, 'a')

    def test_memory_reserved_for_streams_and_copies_is_not_free(self):
        pool = pool_of(engine('a'), engine('b'))
        held = pool.reservations_by_request_id
        for number in range(10):
            name = f's{number}'
            held[name] = Reservation(stream_of(name, 'b'), 0, 0.0, 0.0)
        assert choose_backup(pool, REQUEST, 'a') == 'b'
        for number in range(8):
            name = f'c{number}'
            held[name] = Reservation(stream_of(name, 'a', 'b'), 0, 0.0, 0.0)
        assert not choose_backup(pool, REQUEST, 'a')


class TestGrant:
    """Requests that get no copy."""

    @pytest.mark.parametrize(
        ('fields', 'suspect', 'found'),
        [
            ({'wants_backup': True}, False, 'b'),
            ({'wants_backup': False}, False, ''),
            # It would crash the second engine, too.
            ({'wants_backup': True}, True, ''),
        ],
    )
    def test_grant(self, fields, suspect, found):
        request = dataclasses.replace(REQUEST, **fields)
        item = WaitingRequest(request, 0.0, 1.0, 9.0, suspect=suspect)
        pool = types.SimpleNamespace(state=pool_of(engine('a'), engine('b')))
        assert find_backup(pool, item, Grant('r', 'p', 'a')) == found


class TestMemory:
    """The memory that copies take up counts at the engine that keeps them."""

    def test_copies_count_by_their_progress_until_they_go(self):
        pool = pool_of(engine('a'), engine('b'))
        held = pool.reservations_by_request_id
        held['s'] = Reservation(stream_of('s', 'a', 'b'), 0, 0.0, 0.0)
        assert held.decode_share('b').copied_pieces == 3
        held['s'].stream = stream_of('s', 'a', 'b', emitted=1_500)
        held['s'] = held['s']
        assert held.decode_share('b').copied_pieces == 4
        capacity = DecodeCapacity().capacities(pool, 0.0)['b']
        assert capacity.memory.pieces_total == 60
        # The stream goes on from its copy.
        held['s'].stream = stream_of('s', 'b')
        held['s'] = held['s']
        assert held.decode_share('b').copied_pieces == 0
        assert held.decode_share('b').largest_pieces == 4
        del held['s']
        assert held.decode_share('b').largest_pieces == 0

    def test_reported_copies_do_not_count_twice(self):
        pool = pool_of(engine('a'), engine('b'))
        held = pool.reservations_by_request_id
        for number in range(5):
            name = f'c{number}'
            held[name] = Reservation(stream_of(name, 'a', 'b'), 0, 0.0, 0.0)
        capacities = DecodeCapacity()
        seen = report(EngineRole.DECODE, pieces_free=49)
        capacities.observe_report(pool, 'b', seen, 1.0)
        assert capacities.capacities(pool, 1.0)['b'].memory.pieces_total == 49


class TestForwarding:
    """Calls that go through another host."""

    @virtual_time
    async def test_backup_is_passed_on(self):
        call = RelayCall(request_of(), 9.0, resume_after='1', backup='e:1')
        passed = unpack_call(pack_request(call), ForwardedHandle())
        assert (passed.backup, passed.resume_after) == ('e:1', '1')
