"""Requests to two workers, of which the one asked first answers otherwise."""

import asyncio

import uvloop

from tests.platform_site import until
from tests.test_broken_answers import RawSite, read_answer


async def _go_on_at_once(workers):
    """Lets the first answer end as soon as its worker has begun it."""


def read_of_two(
    names, path, first, later, site_type=RawSite, may_end=_go_on_at_once
):
    """Returns what a caller gets of two workers, and their numbers of runs.

    Args:
        names: the workers.
        path: path of the request.
        first: what the worker answers that is asked first, once.
        later: what both answer after that.
        site_type: type of the site; the host of a CutSite has another one read
            the answers.
        may_end: is awaited with the workers before the first answer ends.

    Returns:
        Status, content, whether the caller takes it for whole, and the sorted
        numbers of runs.
    """

    async def main():
        async with site_type(*names) as site:
            later_is_set = asyncio.Event()
            workers = site.raw.values()
            for worker in workers:
                worker.answers = [first, later]
                worker.before_end = later_is_set.wait
            reading = asyncio.create_task(read_answer(site, path))
            await until(lambda: any(worker.ran for worker in workers))
            await may_end(workers)
            for worker in workers:
                if not worker.ran:
                    worker.answers = [later]
            later_is_set.set()
            received = await reading
            return *received, sorted(len(worker.ran) for worker in workers)

    return uvloop.run(main())
