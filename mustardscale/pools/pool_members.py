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
        data_centre: its data centre, '' when it spans a region.
        engine_ids: its engines.
    """

    id: str
    model: str
    data_centre: str
    engine_ids: tuple[str, ...]


def pools_of(board: Blackboard) -> dict[str, PoolMembers]:
    """Divides the engines that a host knows in its region into pools."""
    return divide_pools(
        board.endpoints_by_id.values(),
        board.region,
        board.pool_engines,
        both_roles=not board.engines_read_prompts,
    )


def owner_of(board: Blackboard, pool: PoolMembers) -> str:
    """Returns the host that owns a pool, one near its engines if any."""
    return choose_host(board, pool.id, pool.data_centre)


def divide_pools(
    endpoints: Iterable[EndpointEntry],
    region: str,
    most: int = MAX_POOL_ENGINES,
    both_roles: bool = True,
) -> dict[str, PoolMembers]:
    """Divides a region's engines into pools.

    A model with few engines forms one pool over the region. A larger one is
    cut by data centre and then into parts, each with engines of both roles.

    Args:
        endpoints: endpoints of any kind and region.
        region: the region whose engines are divided.
        most: engines in a pool at most, unless a data centre lacks a role.
        both_roles: whether a pool needs engines of both roles. Where it does
            not, the loss of one engine does not divide the others anew.

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
        for pool in _divide_model(model, engines, region, most, both_roles):
            pools[pool.id] = pool
    return pools


def _divide_model(
    model: str,
    engines: list[EndpointEntry],
    region: str,
    most: int,
    both_roles: bool,
) -> list[PoolMembers]:
    engines = sorted(engines, key=lambda engine: engine.id)
    if len(engines) <= most:
        return [_pool(model, region, '', 0, engines)]
    by_data_centre: dict[str, list[EndpointEntry]] = collections.defaultdict(
        list
    )
    for engine in engines:
        by_data_centre[engine.data_centre].append(engine)
    groups = by_data_centre.values()
    if both_roles and not all(map(_has_both_roles, groups)):
        return _cut(model, region, '', engines, most)
    pools = []
    for data_centre, group in sorted(by_data_centre.items()):
        pools += _cut(model, region, data_centre, group, most)
    return pools


def _has_both_roles(engines: list[EndpointEntry]) -> bool:
    roles = {engine.role for engine in engines}
    return {EngineRole.PREFILL, EngineRole.DECODE} <= roles


def _cut(
    model: str,
    region: str,
    data_centre: str,
    engines: list[EndpointEntry],
    most: int,
) -> list[PoolMembers]:
    """Cuts a group into parts and deals each role over all of them."""
    prefills = [e for e in engines if e.role is EngineRole.PREFILL]
    decodes = [e for e in engines if e.role is not EngineRole.PREFILL]
    parts = -(-len(engines) // most)
    parts = max(1, min(parts, len(prefills), len(decodes)))
    return [
        _pool(
            model,
            region,
            data_centre,
            number,
            prefills[number::parts] + decodes[number::parts],
        )
        for number in range(parts)
    ]


def _pool(
    model: str,
    region: str,
    data_centre: str,
    number: int,
    engines: list[EndpointEntry],
) -> PoolMembers:
    place = data_centre or region
    return PoolMembers(
        f'{model}@{place}#{number}',
        model,
        data_centre,
        tuple(engine.id for engine in engines),
    )
