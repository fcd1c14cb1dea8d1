"""Reads one claims stream and appends to it in batches."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import math
import random
from collections.abc import Callable

from mustardscale.blackboard import Blackboard
from mustardscale.claims.claim_lines import ClaimsLine, folded_claims
from mustardscale.claims.claim_state import (
    ClaimRecord,
    ClaimState,
    decode_claim,
    encode_claim,
)
from mustardscale.controller import Controller, pause
from mustardscale.exceptions import LogUnavailableError, LogUncertainError
from mustardscale.log.log_client import LogClient, LogPage
from mustardscale.traces.trace import DecisionKind

log = logging.getLogger(__name__)

LONG_POLL_S = 5.0
READ_RETRY_S = 0.3
# Shortest time between two appends; a site's hosts share the log's rate.
APPEND_INTERVAL_S = 0.025
MAX_BATCH = 500
# Claims are kept in memory for this long, seconds.
MEMORY_S = 660.0


@dataclasses.dataclass(slots=True)
class _Pending:
    """A record that waits to be appended."""

    record: ClaimRecord
    appended: asyncio.Future[int]


class ClaimStream(Controller):
    """Appends to and folds one claims stream.

    Attributes:
        state: the folded claims.
        read_at: loop time of the last successful read.
    """

    def __init__(
        self,
        name: str,
        blackboard: Blackboard,
        client: LogClient,
        wall_clock: Callable[[], float],
        rng: random.Random,
    ):
        self._name = name
        self._blackboard = blackboard
        self._client = client
        self._wall_clock = wall_clock
        self._rng = rng
        self.state = ClaimState()
        self.read_at = -math.inf
        self._folded = asyncio.Condition()
        self._queue: list[_Pending] = []
        self._queued = asyncio.Event()

    async def run(self) -> None:
        """Reads new claims and appends queued ones."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._read())
            group.create_task(self._append())

    async def append(self, record: ClaimRecord) -> int:
        """Appends a record, together with others that wait.

        Raises:
            LogUnavailableError: it was not appended.
            LogUncertainError: it may have been appended.
        """
        loop = asyncio.get_running_loop()
        pending = _Pending(record, loop.create_future())
        self._queue.append(pending)
        self._queued.set()
        return await pending.appended

    async def wait_folded(self, offset: int) -> None:
        """Waits until the fold has reached an offset."""
        async with self._folded:
            await self._folded.wait_for(
                lambda: self.state.folded_offset >= offset
            )

    async def wait_held(self, record: ClaimRecord) -> None:
        """Waits until the fold shows that a claim holds its id."""
        async with self._folded:
            await self._folded.wait_for(lambda: self._holds(record))

    def _holds(self, record: ClaimRecord) -> bool:
        held = self.state.held_by_id.get(record.request_id)
        return held is not None and held.record.holder() == record.holder()

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                page = await self._client.read(
                    self._name, self.state.folded_offset, wait_s=LONG_POLL_S
                )
            except LogUnavailableError as error:
                log.warning('claims not read from %s: %s', self._name, error)
                await pause(READ_RETRY_S, self._rng)
                continue
            self.read_at = loop.time()
            self._fold(page)
            async with self._folded:
                self._folded.notify_all()

    def _fold(self, page: LogPage) -> None:
        state = self.state
        wall_now = self._wall_clock()
        before = (state.folded_offset, len(state.held_by_id))
        state.apply_page(page, self.read_at, wall_now)
        state.expire(self.read_at - MEMORY_S)
        if before != (state.folded_offset, len(state.held_by_id)):
            self._blackboard.record_line(
                ClaimsLine,
                DecisionKind.CLAIMS_FOLDED,
                self.read_at,
                stream=self._name,
                wall_now=wall_now,
                first_offset=page.first_offset,
                records=tuple(
                    (record.offset, decode_claim(record.payload))
                    for record in page.records
                ),
                folded=folded_claims(state, page),
            )

    async def _append(self) -> None:
        while True:
            await self._queued.wait()
            self._queued.clear()
            while self._queue:
                batch = self._queue[:MAX_BATCH]
                del self._queue[:MAX_BATCH]
                wanted = [item for item in batch if not item.appended.done()]
                if wanted:
                    await self._append_batch(wanted)
                    await asyncio.sleep(APPEND_INTERVAL_S)

    async def _append_batch(self, batch: list[_Pending]) -> None:
        payloads = [encode_claim(pending.record) for pending in batch]
        try:
            offsets = await self._client.append(self._name, payloads)
        except (LogUnavailableError, LogUncertainError) as error:
            for pending in batch:
                if not pending.appended.done():
                    pending.appended.set_exception(error)
            return
        for pending, offset in zip(batch, offsets, strict=True):
            if not pending.appended.done():
                pending.appended.set_result(offset)
