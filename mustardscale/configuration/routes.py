"""Routes: which services requests go to, and the limits of requests."""

from __future__ import annotations

import dataclasses
import enum

from mustardscale.configuration.customers import Customer


class RequestKind(enum.StrEnum):
    """How often a request may run, and whether its answer is a stream.

    REPEATABLE requests may run more than once. ONCE requests run at most once
    each time that a caller sends them. A STREAM request is answered by events
    and runs at most once; a RESUMABLE one is a stream that can continue at
    another endpoint after the last event delivered.
    """

    REPEATABLE = 'repeatable'
    ONCE = 'once'
    STREAM = 'stream'
    RESUMABLE = 'resumable'


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTarget:
    """A service that a route's requests go to.

    Attributes:
        service: the service's name.
        weight: its share of the requests, relative to the other targets.
    """

    service: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Target services and limits of the requests below a path.

    Attributes:
        name: the route's name.
        host: value of the Host header.
        path_prefix: beginning of the path, with a slash at both ends.
        kind: how often a request may run.
        targets: services that serve it.
        timeout_s: maximum duration of a request, seconds.
        target_latency_s: target time to the answer, or to a stream's first
            event, seconds.
        priority: priority of its requests; 0 is the most urgent.
        max_attempts: maximum number of endpoints that may run a request each
            time that a caller sends it.
        gap_s: target for the longest pause between events, seconds.
        is_public: whether callers without a key may use it.
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
    is_public: bool = False

    @property
    def is_stream(self) -> bool:
        """Whether the route's answers are streams of events."""
        return self.kind in (RequestKind.STREAM, RequestKind.RESUMABLE)

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind in (RequestKind.REPEATABLE, RequestKind.RESUMABLE)


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """What the engines of a service have in common.

    Attributes:
        slots: maximum number of streams that run at once.
        memory_tokens: capacity of the KV memory, tokens.
        kv_bytes_per_token: size of the KV cache of a token, bytes.
        link_bytes_per_s: rate of the link for KV transfers, bytes per second.
        event_tokens: number of tokens in an event of a stream.
        result_keep_s: time for which an engine keeps the result of a prefill,
            seconds.
        role_change_s: duration of a change of role, seconds.
        backups: whether an engine can keep a copy of the KV cache of a run at
            another engine while the run goes on.
        moves: whether the KV cache of a run can be moved to another engine.
    """

    slots: int
    memory_tokens: int
    kv_bytes_per_token: int
    link_bytes_per_s: float
    event_tokens: int = 1
    result_keep_s: float = 0.5
    role_change_s: float = 0.0
    backups: bool = False
    moves: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service that routes send requests to.

    Attributes:
        name: the service's name.
        max_connections: maximum number of connections to an endpoint.
        engine: what its engines have in common; None for plain services.
    """

    name: str
    max_connections: int = 0
    engine: EngineSpec | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerBounds:
    """Limits of the size and duration of callers' requests.

    Attributes:
        header_bytes: maximum size of all headers, bytes.
        body_bytes: maximum size of a body, bytes.
        header_timeout_s: maximum time for a request's headers to arrive,
            seconds.
        idle_timeout_s: maximum time that a connection may be idle, seconds.
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
        bounds: limits of callers' requests.
        customers: the customers; if there are any, callers must present the
            key of one.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceSpec, ...] = ()
    bounds: CallerBounds = CallerBounds()
    customers: tuple[Customer, ...] = ()
