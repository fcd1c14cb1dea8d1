"""Routes: which requests go to which services, and how they are treated."""

from __future__ import annotations

import dataclasses
import enum


class RequestKind(enum.StrEnum):
    """How often a request may run, and what its answer is.

    REPEATABLE requests may run more than once, ONCE requests at most once for
    each send. A STREAM is answered by events and runs at most once; a
    RESUMABLE one can go on at another endpoint after its last event.
    """

    REPEATABLE = 'repeatable'
    ONCE = 'once'
    STREAM = 'stream'
    RESUMABLE = 'resumable'


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTarget:
    """A service that a route's requests go to.

    Attributes:
        service: its name.
        weight: its share of the requests, relative to the other targets.
    """

    service: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """How the requests below a path are treated.

    Attributes:
        name: its name.
        host: value of the Host header.
        path_prefix: beginning of the path, with a slash at both ends.
        kind: how often a request may run.
        targets: services that serve it.
        timeout_s: longest time that a request may take, seconds.
        target_latency_s: time to the answer, or to a stream's first event,
            that is aimed at, seconds.
        priority: rank, 0 is the most urgent.
        max_attempts: endpoints that may run one send of a request.
        gap_s: longest pause between events that is aimed at, seconds.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    targets: tuple[RouteTarget, ...]
    timeout_s: float
    target_latency_s: float
    priority: int = 0
    max_attempts: int = 1
    gap_s: float = 0.0

    @property
    def is_stream(self) -> bool:
        """Whether its answers are streams of events."""
        return self.kind in (RequestKind.STREAM, RequestKind.RESUMABLE)

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind in (RequestKind.REPEATABLE, RequestKind.RESUMABLE)


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """What the engines of a service have in common.

    Attributes:
        slots: streams that run at once.
        memory_tokens: tokens of KV cache that fit in the memory.
        kv_bytes_per_token: size of the KV cache of a token.
        link_bytes_per_s: rate of the link for KV transfers.
        event_tokens: tokens in an event of a stream.
        result_keep_s: seconds for which the result of a prefill is kept.
        role_change_s: seconds that a change of role takes.
    """

    slots: int
    memory_tokens: int
    kv_bytes_per_token: int
    link_bytes_per_s: float
    event_tokens: int = 1
    result_keep_s: float = 0.5
    role_change_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service behind routes.

    Attributes:
        name: its name.
        max_connections: connections that an endpoint accepts.
        engine: what its engines have in common, None for plain services.
    """

    name: str
    max_connections: int = 0
    engine: EngineSpec | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerBounds:
    """What a caller may send, and how long it may take.

    Attributes:
        header_bytes: size of all headers.
        body_bytes: size of a body.
        header_timeout_s: seconds for a request's headers to arrive.
        idle_timeout_s: seconds for which a connection may be idle.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """All routes and services of one version of the configuration.

    Attributes:
        version: number of the version.
        routes: the routes.
        services: the services.
        bounds: what callers may send.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceSpec, ...] = ()
    bounds: CallerBounds = CallerBounds()
