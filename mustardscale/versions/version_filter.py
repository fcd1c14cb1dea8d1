"""Tells which engines run a software version."""

from __future__ import annotations

from collections.abc import Collection

from mustardscale.blackboard import Blackboard, EndpointEntry
from mustardscale.endpoints.engines import EngineRole
from mustardscale.hosts.host_list import ListedKind


def find_listed_versions(board: Blackboard, model: str) -> set[str]:
    """Returns the software versions of the engines of a model."""
    return {engine.version for engine in _engines(board, model)}


def find_other_engines(
    board: Blackboard, model: str, version: str
) -> list[str]:
    """Returns the engines that may decode and run another version."""
    return [
        engine.id
        for engine in _engines(board, model)
        if engine.version != version and engine.role is not EngineRole.PREFILL
    ]


def has_engine(
    board: Blackboard,
    model: str,
    version: str,
    now: float,
    excluded: Collection[str] = (),
) -> bool:
    """Returns whether an engine that takes new work runs a version.

    Args:
        board: the state of this host.
        model: model of the engine.
        version: the software version.
        now: loop time.
        excluded: engines that do not count.
    """
    return any(
        engine.version == version
        and engine.id not in excluded
        and not engine.leaving(now)
        for engine in _engines(board, model)
    )


def _engines(board: Blackboard, model: str) -> list[EndpointEntry]:
    return [
        endpoint
        for endpoint in board.endpoints_by_id.values()
        if endpoint.kind is ListedKind.ENGINE
        and model in (endpoint.model, endpoint.listed_model, endpoint.service)
    ]
