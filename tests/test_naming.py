"""Tests of how entry hosts report their streams to pool owners."""

import asyncio
import collections
import dataclasses

import pytest

from mustardscale.endpoints.engines import EngineRole
from mustardscale.peers.peer_codec import Frame, FrameKind, encode_frame
from mustardscale.peers.peer_messages import HeldDigest, Progress
from mustardscale.pools import admission
from tests.test_memory_site import answer, language, run
from tests.test_promises_memory import leave, owner_of_pool

STREAMS = 12
WINDOW_S = 6
REPORTS_PER_S = 2
# Share of the bytes that full lists of the streams would take.
MAX_BYTES_SHARE = 0.2
REPORTED_AGAIN_AFTER_S = 1.0
DROPPED_AFTER_S = 3.0


def frame_bytes(request):
    return len(encode_frame(Frame(FrameKind.REQUEST, 1, request)))


def count_report_bytes(site, host):
    """Counts the bytes of stream reports to a host, by sender."""
    sent = collections.Counter()
    dispatch = site.routers_by_host[host]._calls.dispatch

    async def counted(sender, request):
        if isinstance(request, Progress | HeldDigest):
            sent[sender] += frame_bytes(request)
        return await dispatch(sender, request)

    site.peers.attach(host, counted)
    return sent


async def hold_streams(site):
    """Starts requests and returns their tasks once all are decoding."""
    for engine in site.engines_by_id.values():
        if engine.parameters.role is EngineRole.DECODE:
            engine.faults.slow_factor = 15.0
    host = site.routers_by_host['entry-1']
    tasks = [
        asyncio.create_task(answer(host, language(number, 4000)))
        for number in range(STREAMS)
    ]
    reservations = reservations_of(site)
    async with asyncio.timeout(60):
        # No event signals a change of a stream's stage.
        while len(decoding(reservations)) < STREAMS:  # noqa: ASYNC110
            await asyncio.sleep(0.05)
    return tasks


def reservations_of(site):
    owner = site.routers_by_host[owner_of_pool(site)].pool_owner
    (pool,) = owner.owned_by_id.values()
    return pool.state.reservations_by_request_id


def decoding(reservations):
    return [
        held
        for held in reservations.values()
        if held.decoding_since is not None
    ]


@pytest.fixture(autouse=True)
def _lower_listing_threshold(monkeypatch):
    """Makes hosts use digests for as few streams as these tests hold."""
    monkeypatch.setattr(admission, 'MAX_ALWAYS_LISTED_STREAMS', STREAMS - 3)


class TestStreamReports:
    """Streams that run on without a change of stage."""

    def test_unchanged_streams_are_reported_by_digest(self):
        async def scenario(site):
            tasks = await hold_streams(site)
            sent = count_report_bytes(site, owner_of_pool(site))
            await asyncio.sleep(WINDOW_S)
            held = decoding(reservations_of(site))
            assert len(held) == STREAMS
            streams = tuple(reservation.stream for reservation in held)
            listed = frame_bytes(Progress('pool', 'entry-1', 1, streams))
            reports = REPORTS_PER_S * WINDOW_S
            assert 0 < sent['entry-1'] <= MAX_BYTES_SHARE * listed * reports
            for task in tasks:
                await leave(task)

        run(scenario)

    @pytest.mark.parametrize('losses', [0.0, 0.3])
    def test_a_stream_that_the_owner_lost_is_listed_again(self, losses):
        async def scenario(site):
            tasks = await hold_streams(site)
            owner = owner_of_pool(site)
            site.peers.lose_replies(owner, 'entry-1', losses)
            reservations = reservations_of(site)
            lost = next(iter(reservations))
            del reservations[lost]
            await asyncio.sleep(REPORTED_AGAIN_AFTER_S * (1 + 4 * losses))
            assert lost in reservations
            for task in tasks:
                await leave(task)

        run(scenario)

    def test_a_stream_that_ended_without_a_release_is_dropped(self):
        async def scenario(site):
            tasks = await hold_streams(site)
            reservations = reservations_of(site)
            held = next(iter(reservations.values()))
            tag = dataclasses.replace(held.stream.tag, request_id='ended')
            reservations['ended'] = dataclasses.replace(
                held, stream=dataclasses.replace(held.stream, tag=tag)
            )
            await asyncio.sleep(DROPPED_AFTER_S)
            assert 'ended' not in reservations
            assert len(reservations) == STREAMS
            for task in tasks:
                await leave(task)

        run(scenario)
