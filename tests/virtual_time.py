"""Runs tests on an event loop whose time is virtual."""

import asyncio
import functools

import async_solipsism


def virtual_time(test):
    """Runs a coroutine function as a test under virtual time."""

    @functools.wraps(test)
    def run(*args, **kwargs):
        with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
            runner.run(test(*args, **kwargs))

    return run
