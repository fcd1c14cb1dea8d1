"""Runs tests on an event loop whose time is virtual."""

import functools

import async_solipsism


def virtual_time(test):
    """Runs a coroutine function as a test under virtual time."""

    @functools.wraps(test)
    def run(*args, **kwargs):
        loop = async_solipsism.EventLoop()
        try:
            loop.run_until_complete(test(*args, **kwargs))
        finally:
            loop.close()

    return run
