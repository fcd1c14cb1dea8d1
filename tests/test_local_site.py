"""The site of processes: its ports are its own, and its errors say why."""

import asyncio
import errno
import socket

import aiohttp
import pytest

from standins.local_site import HostEndedError, LocalSite
from standins.memory_site import SiteLayout
from standins.reserved_ports import address_of

HOST = 'entry-1'


@pytest.fixture
def site(tmp_path):
    """A site of one entry host that is not started."""
    layout = SiteLayout(
        entry_hosts=1, prefill_engines=1, decode_engines=1, plain_endpoints=1
    )
    site = LocalSite(layout, tmp_path)
    yield site
    site.stop()


async def wait_ready(site):
    async with aiohttp.ClientSession() as session:
        await site.wait_ready(session, '/livez', [HOST])


class TestPorts:
    """Ports of processes that are not started yet."""

    def test_no_port_is_free_for_others_before_its_process_listens(self, site):
        # Guards against sites that don't start since a port was taken.
        addresses = [item.address for item in site.listed_hosts()]
        for address in addresses:
            ip, _, port = address.rpartition(':')
            with socket.socket() as other, pytest.raises(OSError) as raised:
                other.bind((ip, int(port)))
            assert raised.value.errno == errno.EADDRINUSE


class TestWaiting:
    """What is said of hosts that do not get ready."""

    def test_host_whose_port_is_taken_is_named_with_its_output(self, site):
        # Guards against a time-out that doesn't say which host failed, or why.
        with socket.create_server(('127.0.0.1', 0)) as taken:
            site.entries_by_id[HOST].peers_address = address_of(taken)
            site.start_entry(HOST)
            with pytest.raises(HostEndedError) as raised:
                asyncio.run(wait_ready(site))
        assert HOST in str(raised.value)
        assert 'address already in use' in str(raised.value).lower()

    def test_host_that_does_not_answer_is_named(self, site, monkeypatch):
        # Guards against a time-out that doesn't say which host failed.
        monkeypatch.setattr('standins.local_site.READY_TIMEOUT_S', 0.0)
        site.start_entry(HOST)
        with pytest.raises(TimeoutError, match=f'{HOST} did not answer /livez'):
            asyncio.run(wait_ready(site))
