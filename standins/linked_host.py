"""Starts an entry host whose calls to peers go through links of the stand-ins.

Hosts learn the addresses of their peers from one another, so that only the
calling side can be led to another address.
"""

from __future__ import annotations

import json
import os

from mustardscale.peers import peer_connections
from mustardscale.platform.__main__ import main

# Environment variable with the 'ip:port' of links as JSON, by that of peers.
LINKS_VARIABLE = 'STANDINS_PEER_LINKS'


def lead_through_links() -> None:
    """Leads new connections to peers through the links."""
    link_by_address = json.loads(os.environ[LINKS_VARIABLE])
    split_address = peer_connections.split_address

    def split_link(address: str) -> tuple[str, int]:
        return split_address(link_by_address.get(address, address))

    peer_connections.split_address = split_link


if __name__ == '__main__':
    lead_through_links()
    main()
