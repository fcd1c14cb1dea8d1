"""The interface of endpoints of plain services."""

from __future__ import annotations

import abc
import dataclasses
from collections.abc import Callable


def never_leaves() -> bool:
    """Returns that nothing is known of an endpoint's leaving, False."""
    return False


@dataclasses.dataclass(frozen=True, slots=True)
class PlainCall:
    """An HTTP call to a plain service.

    Attributes:
        request_id: the request's id, sent as Idempotency-Key.
        method: HTTP method.
        path: path below the service's prefix, with the query.
        headers: end-to-end headers that are forwarded.
        body: the content.
        timeout_s: seconds until the call times out.
        is_leaving: returns whether the endpoint that is called is known to
            leave now, or is not listed any more.
    """

    request_id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout_s: float
    is_leaving: Callable[[], bool] = never_leaves


@dataclasses.dataclass(frozen=True, slots=True)
class PlainAnswer:
    """The answer of a plain service.

    Attributes:
        status: HTTP status.
        headers: end-to-end headers.
        body: the whole content.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class PlainEndpoint(abc.ABC):
    """One endpoint of a plain service."""

    @abc.abstractmethod
    async def call(self, call: PlainCall) -> PlainAnswer:
        """Sends a call and returns the whole answer.

        Raises:
            EndpointUnreachableError: no byte of the call left this host.
            EndpointRefusedError: the endpoint answered that it is leaving.
            EndpointFailedError: the call may have been sent, but no complete
                answer was received.
        """

    async def close(self) -> None:
        """Releases connections."""
        return None
