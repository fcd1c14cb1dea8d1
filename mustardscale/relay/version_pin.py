"""Keeps the attempts at a stream at one software version."""

from __future__ import annotations

import asyncio
from collections.abc import Collection

from mustardscale.exceptions import OutcomeError
from mustardscale.outcomes import Outcome
from mustardscale.relay.relay_context import RelayContext
from mustardscale.versions.version_filter import find_other_engines, has_engine

# Pause before a stream whose version no granted engine runs is tried again,
# seconds, and number of such pauses.
VERSION_WAIT_S = 0.2
MAX_VERSION_WAITS = 8


class VersionPin:
    """The software version at which a stream is kept.

    Attributes:
        version: the version, None while the stream is kept at none.
    """

    __slots__ = ('_context', '_service', '_waits', 'version')

    def __init__(self, context: RelayContext, service: str):
        """Prepares the pin.

        Args:
            context: state and services that relays share.
            service: name of the service that the request goes to.
        """
        self._context = context
        self._service = service
        self._waits = 0
        self.version: str | None = None

    def find_other_engines(self) -> list[str]:
        """Returns the engines that must not go on with the stream."""
        if self.version is None:
            return []
        return find_other_engines(
            self._context.board, self._service, self.version
        )

    def may_run(self, engine_id: str) -> bool:
        """Returns whether an engine is listed and may run the stream."""
        if self.version is None:
            return True
        entry = self._context.board.endpoints_by_id.get(engine_id)
        return entry is not None and entry.version == self.version

    def refuse_if_gone(self, excluded: Collection[str]) -> None:
        """Refuses a stream if no engine of its version takes new work.

        Args:
            excluded: engines that do not count.

        Raises:
            OutcomeError: VERSION_GONE.
        """
        version = self.version
        if not version:
            return
        context = self._context
        if not has_engine(
            context.board, self._service, version, context.now(), excluded
        ):
            raise OutcomeError(
                Outcome.VERSION_GONE, f'no engine runs version {version!r}'
            )

    async def wait(self, error: OutcomeError) -> bool:
        """Waits before another attempt at a stream that is kept at a version.

        The pool's owner refuses at once where the engines that it knows to
        serve run other versions, while this host knows some of this version.

        Returns:
            Whether another attempt may follow.
        """
        waits = error.outcome is Outcome.NO_ENDPOINT and self.version
        if not waits or self._waits >= MAX_VERSION_WAITS:
            return False
        self._waits += 1
        await asyncio.sleep(VERSION_WAIT_S)
        return True
