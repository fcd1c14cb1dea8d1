"""Decides which streams get a copy of their KV cache at a second engine."""

from __future__ import annotations

import dataclasses
import enum

from mustardscale.configuration.routes import Route, ServiceSpec
from mustardscale.exceptions import MustardscaleError


class BackupScope(enum.StrEnum):
    """Which streams get a copy.

    ONCE means only streams that may not be resumed.
    """

    OFF = 'off'
    ONCE = 'once'
    ALL = 'all'


class NotContinuedError(MustardscaleError):
    """A stream does not go on from its copy."""


@dataclasses.dataclass(frozen=True, slots=True)
class StreamBackup:
    """The copy of the KV cache of one run.

    Attributes:
        engine_id: the engine that keeps it.
        address: address of that engine when the run began.
    """

    engine_id: str
    address: str


def wants_backup(
    scope: BackupScope, route: Route, service: ServiceSpec
) -> bool:
    """Returns whether the runs of a route get a copy of their KV cache."""
    if scope is BackupScope.OFF or not route.is_stream:
        return False
    if service.engine is None or not service.engine.backups:
        return False
    return scope is BackupScope.ALL or not route.may_repeat
