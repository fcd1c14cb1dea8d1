"""Tests of the deadline for reading from a generator."""

import asyncio

import pytest

from mustardscale.requests.deadline import yield_until
from tests.virtual_time import virtual_time


async def numbers(pause_s, count=10):
    for number in range(count):
        await asyncio.sleep(pause_s)
        yield number


class TestYieldUntil:
    """The deadline ends a wait for an item, but not work of the consumer."""

    @virtual_time
    async def test_items_that_end_before_the_deadline(self):
        assert [n async for n in yield_until(numbers(0.1, 3), 10.0)] == [
            0,
            1,
            2,
        ]

    @virtual_time
    async def test_wait_ends_at_the_deadline(self):
        loop, seen = asyncio.get_running_loop(), []
        with pytest.raises(TimeoutError):
            async for number in yield_until(numbers(1.0), loop.time() + 2.5):
                seen.append(number)
        assert (seen, loop.time()) == ([0, 1], 2.5)
        assert not asyncio.current_task().cancelling()

    @virtual_time
    async def test_the_consumer_is_not_cancelled_by_the_deadline(self):
        loop, seen = asyncio.get_running_loop(), []
        with pytest.raises(TimeoutError):
            async for number in yield_until(numbers(1.0), loop.time() + 1.5):
                await asyncio.sleep(2.0)
                seen.append(number)
        assert (seen, loop.time()) == ([0], 3.0)

    @virtual_time
    async def test_cancellation_from_outside_is_passed_on(self):
        loop = asyncio.get_running_loop()

        async def consume():
            async for _ in yield_until(numbers(1.0), loop.time() + 100.0):
                pass

        task = asyncio.create_task(consume())
        await asyncio.sleep(1.5)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    @virtual_time
    async def test_past_deadline_starts_nothing(self):
        with pytest.raises(TimeoutError):
            await anext(
                yield_until(numbers(0.0), asyncio.get_running_loop().time())
            )
