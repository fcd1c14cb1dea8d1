"""Messages with which a host calls an endpoint through another host."""

from __future__ import annotations

import dataclasses
import enum

from mustardscale.endpoints.engines import NO_PRIORITY

# Value of a rate limit that an endpoint does not state.
NO_LIMIT = -1.0
# Value of a position that hosts of earlier releases do not state.
NO_POSITION = -1


class ForwardKind(enum.StrEnum):
    """What the other host is asked to do at the endpoint."""

    RUN = 'run'
    PREFILL = 'prefill'
    FREE = 'free'
    START = 'start'
    REPORT = 'report'


class ForwardOutcome(enum.StrEnum):
    """How a forwarded call ended.

    Attributes:
        DONE: the endpoint answered.
        UNREACHED: nothing was sent: the other host has no connection to the
            endpoint, or must not send there.
        OVERLOADED: nothing was sent: the other host forwards as much as it
            may, or is shutting down.
        REFUSED: the endpoint did not run the request.
        FAILED: the endpoint may have run it.
    """

    DONE = 'done'
    UNREACHED = 'unreached'
    OVERLOADED = 'overloaded'
    REFUSED = 'refused'
    FAILED = 'failed'


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderField:
    """One header field."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A caller's request in a forwarded call; empty where none is sent.

    Attributes:
        id: the caller's id of this send.
        host: value of the Host header.
        method: HTTP method.
        target: path and query as received.
        headers: end-to-end headers that are passed on.
        body: the content.
        deadline_s: seconds left until the endpoint must stop.
        resume_after: id of the event after which the stream resumes.
        priority: priority that the endpoint is told, NO_PRIORITY for
            none and from hosts of earlier releases.
        backup: address of the engine that keeps a copy of the run's KV cache,
            '' for none. Hosts of earlier releases leave it out, so that their
            runs have no copy.
    """

    id: str = ''
    host: str = ''
    method: str = ''
    target: str = ''
    headers: tuple[HeaderField, ...] = ()
    body: bytes = b''
    deadline_s: float = 0.0
    resume_after: str = ''
    priority: int = NO_PRIORITY
    backup: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedHandle:
    """A prefill result in a forwarded call; empty where there is none.

    Attributes:
        engine: id of the engine that keeps it.
        source: address at which a decode engine fetches it.
        key: name of the result at the engine that keeps it.
        keep_s: seconds for which the engine guarantees to keep it.
    """

    engine: str = ''
    source: str = ''
    key: str = ''
    keep_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardCall:
    """Asks a host to call an endpoint that the sender does not reach.

    The receiver calls the endpoint itself and never passes the call on.

    Attributes:
        kind: what to do.
        endpoint: id of the endpoint.
        request: the request to run or to prefill.
        handle: the prefill result to fetch or to free.
    """

    kind: ForwardKind
    endpoint: str
    request: ForwardedRequest = ForwardedRequest()
    handle: ForwardedHandle = ForwardedHandle()


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardReply:
    """How a forwarded call ended, and what the endpoint states of itself.

    Attributes:
        outcome: how it ended.
        detail: what happened, for logs.
        crashed: whether the endpoint closed the connection without an answer.
        gone: whether the connection was refused.
        reaches_others: whether the other host reaches other endpoints, so that
            its failure to reach this one counts.
        status: status of the answer to a request.
        headers: its header fields.
        framing: what marks the end of its content.
        stream: number under which the content is read, 0 if there is none.
        handle: the prefill result.
        start: start number of the endpoint's process.
        report: the engine's load report as JSON.
        leaving: whether the endpoint takes no new work.
        busy_s: seconds for which it takes no work from the other host.
        limit_per_s: rate limit that it states, NO_LIMIT for none.
    """

    outcome: ForwardOutcome
    detail: str = ''
    crashed: bool = False
    gone: bool = False
    reaches_others: bool = False
    status: int = 0
    headers: tuple[HeaderField, ...] = ()
    framing: str = ''
    stream: int = 0
    handle: ForwardedHandle = ForwardedHandle()
    start: int = 0
    report: bytes = b''
    leaving: bool = False
    busy_s: float = 0.0
    limit_per_s: float = NO_LIMIT


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardRead:
    """Asks for the next part of a forwarded answer's content.

    Cancelling it closes the answer.

    Attributes:
        stream: number of the answer.
        position: bytes received so far, NO_POSITION from hosts of earlier
            releases.
    """

    stream: int
    position: int = NO_POSITION


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardPart:
    """The next part of a forwarded answer's content.

    Attributes:
        data: the bytes, empty if none came in time.
        ended: whether the content has ended.
        failed: whether it broke off.
        detail: how it broke off, for logs.
        crashed: whether the endpoint closed the connection.
        position: number of bytes before the data or the end, NO_POSITION from
            hosts of earlier releases.
        link_closed: whether the path to the endpoint was closed with the end of
            the content. Hosts of earlier releases do not find that out.
    """

    data: bytes = b''
    ended: bool = False
    failed: bool = False
    detail: str = ''
    crashed: bool = False
    position: int = NO_POSITION
    link_closed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardClose:
    """Closes a forwarded answer, which stops the endpoint's work on it.

    Attributes:
        stream: number of the answer.
    """

    stream: int
