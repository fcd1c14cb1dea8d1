"""Tests of the drawn releases while hosts are out of step."""

import asyncio
import random

import pytest

from mustardscale.exceptions import LogUnavailableError, LogUncertainError
from standins.memory_keyed_log import KeyedStreams, MemoryKeyedLog
from standins.release_player import ReleasePlayer
from standins.releases import (
    EngineChange,
    OutOfStep,
    Release,
    draw_release,
)
from standins.version_fleet import VersionFleet
from tests.virtual_time import virtual_time

RUN_S = 20.0
DRAWS = 300
# Streams of a release that must be taken up at hosts out of step.
LEAST_TAKES = 5


class TestDraws:
    """What is drawn."""

    def test_a_kind_or_a_change_is_never_drawn(self):
        rng = random.Random('draws')
        drawn = [draw_release(rng, RUN_S) for _ in range(DRAWS)]
        assert {release.kind for release in drawn} == set(OutOfStep)
        assert {release.change for release in drawn} == set(EngineChange)
        assert all(release.at + release.for_s < RUN_S for release in drawn)


class TestStoreLink:
    """One host's link to the platform, one way."""

    @virtual_time
    async def test_lost_answer_of_a_write_counts_as_not_written(self):
        streams = KeyedStreams()
        client = MemoryKeyedLog(streams)
        client.link.keep_back(calls=False)
        with pytest.raises(LogUncertainError):
            await client.put('versions', 'key', b'value')
        assert streams.writes == 1

    @virtual_time
    async def test_call_that_is_kept_back_is_carried_out(self):
        streams = KeyedStreams()
        client = MemoryKeyedLog(streams)
        client.link.keep_back(answers=False)
        with pytest.raises(LogUnavailableError):
            await client.put('versions', 'key', b'value')
        assert streams.writes == 0

    @virtual_time
    async def test_answer_that_was_kept_back_holds_what_came_later(self):
        streams = KeyedStreams()
        client = MemoryKeyedLog(streams)
        client.link.keep_back(calls=False)
        reading = asyncio.create_task(client.newest('versions'))
        await asyncio.sleep(0.1)
        streams.append('versions', 'key', b'value')
        client.link.release()
        assert (await reading).records == ()


class TestReleases:
    """Releases that are played while a host is out of step."""

    @pytest.mark.parametrize('change', list(EngineChange))
    @pytest.mark.parametrize('kind', list(OutOfStep))
    @virtual_time
    async def test_stream_taken_up_at_a_host_out_of_step_is_mixed(
        self, kind, change
    ):
        fleet = VersionFleet(6, 4, versions=('v1',))
        await fleet.start()
        release = Release(kind, change, 'v2', 0.5, 2.5, 0.2, 0.4, 0.1)
        player = ReleasePlayer(fleet, release, 'seed')
        await player.play()
        await fleet.stop()
        takes = [
            take
            for record in fleet.streams_played
            for take in record.takes
            if player.is_out_of_step(take.host, take.at)
        ]
        assert len(takes) >= LEAST_TAKES
        assert not fleet.mixed()
        assert all(record.is_in_order for record in fleet.streams_played)
