"""Follows a source of routes that operators write elsewhere."""

from __future__ import annotations

import abc
import logging
import random

from mustardscale.blackboard import Blackboard
from mustardscale.configuration.config_records import (
    ConfigChange,
    ConfigKey,
    ConfigSnapshot,
    VersionedChange,
)
from mustardscale.configuration.config_state import ROUTES_KIND
from mustardscale.configuration.routes import RouteTable
from mustardscale.controller import Controller, pause
from mustardscale.exceptions import LogUnavailableError
from mustardscale.reporting.event_log import EventKind

log = logging.getLogger(__name__)

ROUTES_KEY = ConfigKey(ROUTES_KIND, 'all')
RETRY_S = 0.2


class RouteSource(abc.ABC):
    """Where tables of routes come from."""

    @abc.abstractmethod
    async def next_table(self) -> RouteTable:
        """Returns the newest table that was not returned before, once there.

        Raises:
            LogUnavailableError: the source cannot be read.
        """

    async def close(self) -> None:
        """Releases connections."""
        return None


def merge_table(board: Blackboard, table: RouteTable) -> bool:
    """Puts a table into force unless a newer one is.

    Peers that cannot read the source copy it as they copy any configuration.
    """
    config = board.config
    if table.version <= config.version(ROUTES_KEY):
        return False
    change = ConfigChange(
        ROUTES_KEY,
        config.version(ROUTES_KEY),
        f'routes-{table.version}',
        'source',
        routes=table,
    )
    entry = VersionedChange(table.version, change)
    config.merge(ConfigSnapshot((entry,), table.version))
    board.config_changed.notify()
    return True


class RouteController(Controller):
    """Puts the source's tables into force."""

    def __init__(
        self, blackboard: Blackboard, source: RouteSource, rng: random.Random
    ):
        self._blackboard = blackboard
        self._source = source
        self._rng = rng

    async def run(self) -> None:
        """Takes one table after the other."""
        while True:
            try:
                table = await self._source.next_table()
            except LogUnavailableError as error:
                log.debug('routes not read: %s', error)
                await pause(RETRY_S, self._rng)
                continue
            merge_table(self._blackboard, table)


class RouteReporter(Controller):
    """Logs each version of the routes that comes into force here."""

    def __init__(self, blackboard: Blackboard):
        self._blackboard = blackboard

    async def run(self) -> None:
        """Logs at each change, however it came."""
        board = self._blackboard
        reported_version = 0
        while True:
            table = board.config.routes.table
            if table.version != reported_version:
                reported_version = table.version
                board.events.emit(
                    EventKind.CONFIG_APPLIED,
                    version=table.version,
                    routes=len(table.routes),
                    services=len(table.services),
                )
            await board.config_changed.wait(60.0)
