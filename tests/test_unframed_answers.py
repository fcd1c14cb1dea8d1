"""Tests of answers without length and chunks at many hosts."""

import asyncio

import pytest

from standins.crash_fleet import SERVICE, STABLE_S
from standins.cut_fleet import BOOK, READ, SERVED_SHARE
from standins.cut_links import CutMode
from standins.unframed_fleet import UnframedFleet
from tests.virtual_time import virtual_time

HOSTS, CUT_HOSTS = 195, 65
RATE_PER_S = 120.0
LOAD_S = 12.0
# Time between the ends of two engines, and of two plain endpoints, seconds.
END_INTERVAL_S = 0.8
# Time after the load in which all that is open has ended, seconds.
LAST_ENDS_S = 15.0


def now():
    return asyncio.get_running_loop().time()


async def play(fleet, cut, ends=True):
    """Plays load at a fleet of which some hosts are cut off meanwhile.

    Returns:
        The loop times between which tries count.
    """
    await fleet.start()
    fleet.cut_endpoints(cut, CutMode.NEW_ONLY)
    await asyncio.sleep(STABLE_S)
    began_at = now()
    async with asyncio.TaskGroup() as group:
        group.create_task(fleet.load_routes(RATE_PER_S, LOAD_S))
        if ends:
            group.create_task(fleet.end_processes(END_INTERVAL_S, LOAD_S))
    ended_at = now()
    await asyncio.sleep(LAST_ENDS_S)
    await fleet.stop()
    return began_at, ended_at


class TestManyHosts:
    """Processes that end in their answers while hosts are cut off."""

    @pytest.mark.parametrize('seed', [1, 2])
    @virtual_time
    async def test_no_short_answer_looks_whole(self, seed):
        fleet = UnframedFleet(HOSTS, seed=seed)
        cut = [f'h{number:03}' for number in range(1, CUT_HOSTS + 1)]
        began_at, ended_at = await play(fleet, cut)
        assert fleet.short == []
        assert fleet.cut_short > 20
        others = fleet.served_share(lambda h: h not in cut, began_at, ended_at)
        own = fleet.served_share(cut.__contains__, began_at, ended_at)
        assert own >= SERVED_SHARE * others
        assert not fleet.false_outcomes()

    @virtual_time
    async def test_all_sound_answers_are_served(self):
        fleet = UnframedFleet(HOSTS, seed=3)
        cut = [f'h{number:03}' for number in range(1, CUT_HOSTS + 1)]
        began_at, ended_at = await play(fleet, cut, ends=False)
        assert fleet.cut_short == 0
        assert fleet.short == []
        for route in (SERVICE, READ, BOOK):
            others = fleet.served_share(
                lambda h: h not in cut, began_at, ended_at, route
            )
            own = fleet.served_share(
                cut.__contains__, began_at, ended_at, route
            )
            assert own >= SERVED_SHARE * others
