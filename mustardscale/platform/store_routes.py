"""Converts the operator's configuration to the router's route table."""

from __future__ import annotations

import logging

import msgspec

from mustardscale.configuration.customers import (
    Customer,
    CustomerQuota,
    QuotaUnit,
)
from mustardscale.configuration.route_source import RouteSource
from mustardscale.configuration.routes import (
    CallerBounds,
    EngineSpec,
    RequestKind,
    Route,
    RouteTable,
    RouteTarget,
    ServiceSpec,
)
from mustardscale.json_content import decode_json
from mustardscale.log.keyed_tail import KeyedTail
from mustardscale.platform import names

log = logging.getLogger(__name__)

WAIT_S = 60.0
_KIND_BY_TYPE = {
    'idempotent': RequestKind.REPEATABLE,
    'non_idempotent': RequestKind.ONCE,
    'streaming': RequestKind.STREAM,
}
_BYTES_PER_MBIT = 125_000.0
_TOKEN_UNIT = 'tokens'


class _Split(msgspec.Struct):
    """A service that gets a share of a route's requests."""

    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    """A route in the operator's configuration."""

    name: str
    host: str
    path_prefix: str
    type: str
    timeout_ms: float
    target_latency_ms: float = 1_000.0
    priority: int = 0
    service: str = ''
    traffic_split: list[_Split] = []
    max_attempts: int = 1
    resumable: bool = False
    target_gap_ms: float = 0.0
    auth_exempt: bool = False


class _Engine(msgspec.Struct):
    """Properties that all workers of a service have in common."""

    slot_count: int = 1
    kv_capacity_tokens: int = 0
    kv_token_bytes: int = 1
    link_mbps: float = 1.0
    stride: int = 1
    kv_hold_s: float = 0.5
    role_switch_s: float = 0.0
    backups: bool = False
    moves: bool = False


class _Service(msgspec.Struct):
    """A service in the operator's configuration."""

    name: str
    max_connections: int = 0
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    """Limits on the requests and connections of a client."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class _Tenant(msgspec.Struct):
    """A customer in the operator's configuration."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    unit: str = ''
    plain_tokens: int = 0
    rate_per_s: float = 0.0
    burst_size: float = 0.0


class _Config(msgspec.Struct):
    """One version of the configuration."""

    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


class StoreRoutes(RouteSource):
    """Reads route tables from the operator's topic."""

    def __init__(self, tail: KeyedTail):
        self._tail = tail
        self._applied_value = b''

    async def next_table(self) -> RouteTable:
        """See the base class."""
        while True:
            value = self._tail.value_by_key.get(names.CONFIG_KEY, b'')
            if value and value != self._applied_value:
                self._applied_value = value
                table = decode_table(value)
                if table is not None:
                    return table
            await self._tail.changed.wait(WAIT_S)

    def confirmed_at(self) -> float:
        """See the base class."""
        return self._tail.proved_at


def decode_table(value: bytes) -> RouteTable | None:
    """Decodes a configuration; returns None if it is unreadable."""
    try:
        config = decode_json(value, _Config)
        return RouteTable(
            config.version,
            tuple(_make_route(route) for route in config.routes),
            tuple(_make_service(service) for service in config.services),
            _make_bounds(config.limits),
            tuple(_make_customer(tenant) for tenant in config.tenants),
        )
    except (msgspec.MsgspecError, KeyError, ValueError) as error:
        log.error('skipped an unreadable configuration: %s', error)
        return None


def _make_route(route: _Route) -> Route:
    kind = _KIND_BY_TYPE[route.type]
    if kind is RequestKind.STREAM and route.resumable:
        kind = RequestKind.RESUMABLE
    targets = tuple(
        RouteTarget(split.service, split.weight)
        for split in route.traffic_split
        if split.weight > 0
    )
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        kind=kind,
        targets=targets or (RouteTarget(route.service),),
        timeout_s=route.timeout_ms / 1000.0,
        target_latency_s=route.target_latency_ms / 1000.0,
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
        gap_s=route.target_gap_ms / 1000.0,
        is_public=route.auth_exempt,
    )


def _make_service(service: _Service) -> ServiceSpec:
    engine = service.engine
    spec = None
    if engine is not None:
        spec = EngineSpec(
            slots=engine.slot_count,
            memory_tokens=engine.kv_capacity_tokens,
            kv_bytes_per_token=engine.kv_token_bytes,
            link_bytes_per_s=engine.link_mbps * _BYTES_PER_MBIT,
            event_tokens=max(1, engine.stride),
            result_keep_s=engine.kv_hold_s,
            role_change_s=engine.role_switch_s,
            backups=engine.backups,
            moves=engine.moves,
        )
    return ServiceSpec(service.name, service.max_connections, spec)


def _make_customer(tenant: _Tenant) -> Customer:
    unit = QuotaUnit.REQUESTS
    if tenant.unit == _TOKEN_UNIT:
        unit = QuotaUnit.TOKENS
    return Customer(
        name=tenant.name,
        keys=tuple(tenant.api_keys),
        priority=tenant.priority,
        quota=CustomerQuota(
            rate_per_s=max(0.0, tenant.rate_per_s),
            burst=max(0.0, tenant.burst_size),
            unit=unit,
            plain_tokens=max(0, tenant.plain_tokens),
        ),
    )


def _make_bounds(limits: _Limits) -> CallerBounds:
    return CallerBounds(
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_ms / 1000.0,
        limits.idle_timeout_ms / 1000.0,
    )
