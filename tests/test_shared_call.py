"""Tests of calls whose results several share."""

import asyncio
import gc

import pytest

from mustardscale.shared_call import SharedCall
from tests.virtual_time import virtual_time

CALL_S = 0.1


class Calls:
    """Calls that take a while; each returns the time of its beginning."""

    def __init__(self, pause_s=0.0):
        self.shared = SharedCall(self._call, lambda: pause_s)
        self.fails = False

    async def _call(self):
        began_at = asyncio.get_running_loop().time()
        await asyncio.sleep(CALL_S)
        if self.fails:
            raise ConnectionError('lost')
        return began_at


class TestFreshness:
    """The calls whose results are shared."""

    @virtual_time
    async def test_result_of_a_call_that_began_before_is_not_used(self):
        calls = Calls()
        loop = asyncio.get_running_loop()
        first = asyncio.create_task(calls.shared.run())
        await asyncio.sleep(CALL_S / 2)
        asked_at = loop.time()
        assert await calls.shared.run() >= asked_at
        assert await first < asked_at

    @virtual_time
    async def test_all_who_wait_share_one_call(self):
        calls = Calls()
        first = asyncio.create_task(calls.shared.run())
        await asyncio.sleep(CALL_S / 2)
        results = await asyncio.gather(*(calls.shared.run() for _ in range(50)))
        assert len(set(results)) == 1 and await first not in results
        assert calls.shared.count == 2

    @virtual_time
    async def test_pause_lies_between_the_beginnings_of_calls(self):
        calls = Calls(pause_s=1.0)
        first = await calls.shared.run()
        assert await calls.shared.run() >= first + 1.0


class TestFailures:
    """Calls that fail, and waiting tasks that end."""

    @virtual_time
    async def test_error_reaches_all_and_the_next_call_is_made(self):
        calls = Calls()
        calls.fails = True
        with pytest.raises(ConnectionError):
            await calls.shared.run()
        calls.fails = False
        assert await calls.shared.run() == pytest.approx(CALL_S)

    @virtual_time
    async def test_one_that_is_cancelled_does_not_end_the_call_of_others(self):
        calls = Calls()
        leaving = asyncio.create_task(calls.shared.run())
        staying = asyncio.create_task(calls.shared.run())
        await asyncio.sleep(CALL_S / 2)
        leaving.cancel()
        assert await staying == 0.0
        assert calls.shared.count == 1

    @virtual_time
    async def test_call_that_nobody_waits_for_does_not_block_the_next(self):
        calls = Calls()
        leaving = asyncio.create_task(calls.shared.run())
        await asyncio.sleep(CALL_S / 2)
        leaving.cancel()
        assert await calls.shared.run() >= CALL_S / 2

    @virtual_time
    async def test_error_that_nobody_waits_for_is_reported_as_unseen(self):
        calls = Calls()
        calls.fails = True
        unseen = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: unseen.append(context))
        leaving = asyncio.create_task(calls.shared.run())
        await asyncio.sleep(CALL_S / 2)
        leaving.cancel()
        await asyncio.sleep(CALL_S)
        gc.collect()
        assert not unseen
