"""The site of processes: its ports are its own."""

import errno
import socket

import pytest

from standins.local_site import LocalSite
from standins.memory_site import SiteLayout


@pytest.fixture
def site(tmp_path):
    """A site of one entry host that is not started."""
    layout = SiteLayout(
        entry_hosts=1, prefill_engines=1, decode_engines=1, plain_endpoints=1
    )
    site = LocalSite(layout, tmp_path)
    yield site
    site.stop()


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
