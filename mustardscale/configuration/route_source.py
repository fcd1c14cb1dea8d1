"""Follows an external source of routes that operators maintain."""

from __future__ import annotations

import abc
import asyncio
import logging
import math
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
from mustardscale.exceptions import LogUnavailableError, OutcomeError
from mustardscale.outcomes import Outcome
from mustardscale.reporting.event_log import EventKind

log = logging.getLogger(__name__)

ROUTES_KEY = ConfigKey(ROUTES_KIND, 'all')
RETRY_S = 0.2
# Time within which a change must take effect, seconds. A table that was not
# confirmed for longer denies no unknown routes and keys.
CHANGE_BOUND_S = 3.0
# Time after which a caller may return that was refused because this host could
# not confirm its configuration, seconds.
UNCONFIRMED_RETRY_AFTER_S = 1.0


class RouteSource(abc.ABC):
    """A source of tables of routes."""

    @abc.abstractmethod
    async def next_table(self) -> RouteTable:
        """Waits for a table that was not returned before; returns the newest.

        Raises:
            LogUnavailableError: the source cannot be read.
        """

    def confirmed_at(self) -> float:
        """Returns when the table was last confirmed to be the newest.

        It is a loop time; infinity for sources that are never behind.
        """
        return math.inf

    def age_s(self) -> float:
        """Returns the seconds since the table was confirmed to be the newest.

        Returns:
            0 for sources that are never behind, infinity if it never was.
        """
        now = asyncio.get_running_loop().time()
        return max(0.0, now - self.confirmed_at())

    def require_recent_for_denial(self) -> None:
        """Checks that the table is recent enough to deny what it lacks.

        Raises:
            OutcomeError: CONFIG_UNAVAILABLE, it was not confirmed for
                CHANGE_BOUND_S.
        """
        if self.age_s() > CHANGE_BOUND_S:
            raise OutcomeError(
                Outcome.CONFIG_UNAVAILABLE,
                'this host may lack a newer configuration; '
                f'{self.describe_age()}',
                retry_after_s=UNCONFIRMED_RETRY_AFTER_S,
            )

    def describe_age(self) -> str:
        """Returns in words when the table was last confirmed."""
        age_s = self.age_s()
        if math.isinf(age_s):
            return 'its own was never confirmed'
        return f'its own was confirmed {age_s:.3f} s ago'

    async def close(self) -> None:
        """Releases connections."""
        return None


def merge_table(board: Blackboard, table: RouteTable) -> bool:
    """Puts a table into force unless it is not newer than the current one.

    Peers that cannot read the source copy the table with the rest of the
    configuration.

    Returns:
        Whether the table was put into force.
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
        """Reads and merges new tables as they arrive."""
        while True:
            try:
                table = await self._source.next_table()
            except LogUnavailableError as error:
                log.debug('cannot read the routes: %s', error)
                await pause(RETRY_S, self._rng)
                continue
            merge_table(self._blackboard, table)


class RouteReporter(Controller):
    """Logs each version of the routes that comes into force on this host."""

    def __init__(self, blackboard: Blackboard, source: RouteSource):
        self._blackboard = blackboard
        self._source = source

    async def run(self) -> None:
        """Logs each change, whether from the source or from a peer."""
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
                    customers=len(table.customers),
                    read_age_s=_show_age(self._source.age_s()),
                )
            await board.config_changed.wait(60.0)


def _show_age(age_s: float) -> float | None:
    """Returns an age for a log line, None if it is infinite."""
    return round(age_s, 3) if math.isfinite(age_s) else None
