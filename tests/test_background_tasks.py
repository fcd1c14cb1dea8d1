"""Tests of work that is not waited for."""

import asyncio
import logging

from mustardscale.background_tasks import BackgroundTasks
from tests.virtual_time import virtual_time


class TestTasks:
    """Tasks that end, fail or are cancelled."""

    @virtual_time
    async def test_waits_also_for_what_tasks_start(self):
        tasks = BackgroundTasks()
        ended = []

        async def work(depth):
            await asyncio.sleep(1)
            if depth:
                tasks.start(work(depth - 1))
            ended.append(depth)

        tasks.start(work(1))
        await tasks.wait_idle()
        assert ended == [1, 0]
        assert len(tasks) == 0

    @virtual_time
    async def test_a_failure_is_logged_and_a_cancel_is_not(self, caplog):
        tasks = BackgroundTasks()

        async def fail():
            raise ValueError('broken')

        tasks.start(fail())
        await tasks.wait_idle()
        tasks.start(asyncio.sleep(1000))
        await asyncio.sleep(0)
        tasks.cancel()
        await tasks.wait_idle()
        errors = [r for r in caplog.records if r.levelno == logging.ERROR]
        assert [str(r.exc_info[1]) for r in errors] == ['broken']
