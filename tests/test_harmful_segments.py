"""Tests of segments of prompts that crash the engines that write on them."""

import asyncio

import pytest

from standins.crash_fleet import (
    CRASHES_ALLOWED,
    SOUND_SHARE,
    STABLE_S,
    CrashFleet,
)
from tests.virtual_time import virtual_time

# Requests a second to all hosts: sound ones, and ones with a harmful segment.
SOUND_PER_S = 8.0
HARMFUL_PER_S = 2.0
HARMFUL_FOR_S = 25.0
CALM_S = 8.0
HARMFUL = 'harmful1'


def now():
    return asyncio.get_running_loop().time()


async def start_fleet(hosts, **options):
    fleet = CrashFleet(hosts, **options)
    await fleet.start()
    return fleet


async def load_both(fleet, seconds=HARMFUL_FOR_S, harmful=(HARMFUL,)):
    """Sends sound requests, and beside them ones with a harmful segment."""
    for service in fleet.harmful_by_service.values():
        service.update(harmful)
    async with asyncio.TaskGroup() as group:
        group.create_task(fleet.load(SOUND_PER_S, seconds))
        group.create_task(fleet.load(HARMFUL_PER_S, seconds, harmful=harmful))


def check_sound_requests(fleet, calm_from, harmful_from):
    """Requires that sound requests are served as before, once all is known."""
    usual = fleet.sound_share(calm_from, harmful_from)
    crashes = sorted(
        at for times in fleet.log.crashed_at_by_segment.values() for at in times
    )[:CRASHES_ALLOWED]
    known_at = crashes[-1] + 2 * STABLE_S
    share = fleet.sound_share(known_at, now())
    assert usual > 0.9
    assert share >= SOUND_SHARE * usual
    assert fleet.refused_as_harmful(known_at) == 0


class TestFleetOfHosts:
    """Requests with a harmful segment that come to all hosts."""

    @virtual_time
    @pytest.mark.parametrize('hosts', [6, 195])
    async def test_harmful_segment_crashes_one_engine_after_the_other(
        self, hosts
    ):
        fleet = await start_fleet(hosts)
        calm_from = now()
        await fleet.load(SOUND_PER_S, CALM_S)
        harmful_from = now()
        await load_both(fleet)
        await fleet.stop()
        assert fleet.violations() == []
        check_sound_requests(fleet, calm_from, harmful_from)
