"""What all tests share.

The tests of KNOWN-RED.txt are marked: they must fail until they are mended.
The tests of processes share one site.
"""

import asyncio
import gc
import pathlib

import pytest

from standins.local_site import local_site
from standins.memory_site import SiteLayout
from tests.known_red import read_known_red
from tests.process_site import ProcessSite

pytest_plugins = ['pytester']

ROOT = pathlib.Path(__file__).parents[1]
LAYOUT = SiteLayout(
    prefill_engines=1,
    decode_engines=2,
    plain_endpoints=3,
    unfenced_engines=1,
)


def pytest_collection_modifyitems(items):
    """Expects the listed tests to fail; one that passes fails the run."""
    entries = read_known_red(ROOT / 'KNOWN-RED.txt')
    item_by_id = {item.nodeid: item for item in items}
    for entry in entries:
        item = item_by_id.get(entry.test)
        if item is not None:
            reason = f'issue {entry.issue}, seed {entry.seed}: {entry.seen}'
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_collection_finish():
    """Leaves what the collected tests take up out of garbage collections.

    Each one would otherwise pause the hosts and workers inside the process for
    so long that attempts to connect time out.
    """
    gc.collect()
    gc.freeze()


@pytest.fixture(scope='session')
def site():
    """A site with its profiles published; every test begins by healing it."""
    with local_site(LAYOUT) as local:
        site = ProcessSite(local)
        asyncio.run(_publish(site))
        yield site


async def _publish(site):
    async with site.open():
        await site.local.wait_ready(site.session, '/livez', site.hosts)
        await site.publish_all()
