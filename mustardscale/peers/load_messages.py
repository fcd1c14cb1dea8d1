"""What hosts tell each other in heartbeats of the load of plain endpoints."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointLoad:
    """Calls that are open at one plain endpoint.

    Attributes:
        endpoint_key: digest of the endpoint's id, which is shorter than the id.
        open_calls: calls without an answer yet.
    """

    endpoint_key: int
    open_calls: int
