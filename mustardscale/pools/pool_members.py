"""Divides the engines of each model into pools that one host can own."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable

from mustardscale.blackboard import (
    MAX_POOL_ENGINES,
    Blackboard,
    EndpointEntry,
)
from mustardscale.endpoints.engines import EngineRole
from mustardscale.hosts.duties import choose_host
from mustardscale.hosts.host_list import ListedKind


@dataclasses.dataclass(frozen=True, slots=True)
class PoolMembers:
    """A pool and the engines in it.

    Attributes:
        id: the pool's id.
        model: model that its engines serve.
        data_centre: its data centre, '' if it spans a region.
        engine_ids: its engines.
    """

    id: str
    model: str
    data_centre: str
    engine_ids: tuple[str, ...]


def compute_pools(board: Blackboard) -> dict[str, PoolMembers]:
    """Returns the pools of the engines in the region of this host by id."""
    return divide_pools(
        board.endpoints_by_id.values(),
        board.region,
        board.pool_engines,
        needs_both_roles=not board.engines_read_prompts,
    )


def find_owner(board: Blackboard, pool: PoolMembers) -> str:
    """Returns the host that owns a pool, in its data centre if possible."""
    return choose_host(board, pool.id, pool.data_centre)


def divide_pools(
    endpoints: Iterable[EndpointEntry],
    region: str,
    max_engines: int = MAX_POOL_ENGINES,
    needs_both_roles: bool = True,
) -> dict[str, PoolMembers]:
    """Divides a region's engines into pools.

    If a model has at most max_engines engines, they form one pool that spans
    the region. Otherwise its engines are divided by data centre and then into
    parts that each have engines of both roles.

    Args:
        endpoints: endpoints of any kind and region.
        region: the region whose engines are divided.
        max_engines: maximum number of engines in a pool. A pool may be larger
            if a group has fewer engines of one role than it needs parts.
        needs_both_roles: whether a pool needs engines of both roles. If it does
            not, the loss of one engine leaves the other pools unchanged.

    Returns:
        The pools by id.
    """
    engines_by_model: dict[str, list[EndpointEntry]] = collections.defaultdict(
        list
    )
    for endpoint in endpoints:
        in_region = endpoint.region == region
        if endpoint.kind is ListedKind.ENGINE and in_region and endpoint.model:
            engines_by_model[endpoint.model].append(endpoint)
    pools: dict[str, PoolMembers] = {}
    for model, engines in sorted(engines_by_model.items()):
        for pool in _divide_model(
            model, engines, region, max_engines, needs_both_roles
        ):
            pools[pool.id] = pool
    return pools


def _divide_model(
    model: str,
    engines: list[EndpointEntry],
    region: str,
    max_engines: int,
    needs_both_roles: bool,
) -> list[PoolMembers]:
    engines = sorted(engines, key=lambda engine: engine.id)
    if len(engines) <= max_engines:
        return [_build_pool(model, region, '', 0, engines)]
    by_data_centre: dict[str, list[EndpointEntry]] = collections.defaultdict(
        list
    )
    for engine in engines:
        by_data_centre[engine.data_centre].append(engine)
    groups = by_data_centre.values()
    if needs_both_roles and not all(map(_has_both_roles, groups)):
        return _split_group(model, region, '', engines, max_engines)
    pools = []
    for data_centre, group in sorted(by_data_centre.items()):
        pools += _split_group(model, region, data_centre, group, max_engines)
    return pools


def _has_both_roles(engines: list[EndpointEntry]) -> bool:
    roles = {engine.role for engine in engines}
    return {EngineRole.PREFILL, EngineRole.DECODE} <= roles


def _split_group(
    model: str,
    region: str,
    data_centre: str,
    engines: list[EndpointEntry],
    max_engines: int,
) -> list[PoolMembers]:
    """Splits a group into pools and spreads each role evenly over them."""
    prefills = [e for e in engines if e.role is EngineRole.PREFILL]
    decodes = [e for e in engines if e.role is not EngineRole.PREFILL]
    parts = -(-len(engines) // max_engines)
    parts = max(1, min(parts, len(prefills), len(decodes)))
    return [
        _build_pool(
            model,
            region,
            data_centre,
            number,
            prefills[number::parts] + decodes[number::parts],
        )
        for number in range(parts)
    ]


def _build_pool(
    model: str,
    region: str,
    data_centre: str,
    number: int,
    engines: list[EndpointEntry],
) -> PoolMembers:
    location = data_centre or region
    return PoolMembers(
        f'{model}@{location}#{number}',
        model,
        data_centre,
        tuple(engine.id for engine in engines),
    )
