"""Reads and appends to the orders stream; places engines according to it."""

from __future__ import annotations

import asyncio
import logging
import math
import random

from mustardscale.blackboard import Blackboard
from mustardscale.controller import Controller, pause
from mustardscale.exceptions import LogUnavailableError, LogUncertainError
from mustardscale.log.keyed_tail import KeyedTail
from mustardscale.log.log_client import LogClient, LogPage, LogRecord
from mustardscale.orders.order_state import (
    OrderRecord,
    encode_order_record,
    orders_stream,
)
from mustardscale.reporting.event_log import EventKind

log = logging.getLogger(__name__)

# Time for which a read waits for a new record, seconds.
LONG_POLL_S = 20.0
# Shorter wait on the coordinator, which must know the tail of the stream,
# seconds.
COORDINATOR_POLL_S = 1.0
# Interval at which a host that copies the stream checks whether it must read
# the stream itself, seconds.
COPY_CHECK_S = 1.0
READ_RETRY_S = 0.5
APPEND_TIMEOUT_S = 2.0


class OrderLog(Controller):
    """Keeps the folded orders up to date with the log.

    Attributes:
        read_at: start time (loop time) of the last read that reached the tail
            of the stream.
        unsettled_since: loop time since which the state is not settled, None
            if it is settled.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        client: LogClient,
        rng: random.Random,
        tail: KeyedTail | None = None,
    ):
        """Prepares the following.

        Args:
            blackboard: the blackboard, which has the folded orders.
            client: reads and appends to the log.
            rng: spreads the retries.
            tail: follows the stream while readers read it for other hosts; None
                if each host reads the log itself. The stream then keeps only
                its newest record.
        """
        self._blackboard = blackboard
        self._client = client
        self._rng = rng
        self._tail = tail
        self._stream = orders_stream(blackboard.region)
        self._folded = asyncio.Condition()
        self.read_at = -math.inf
        self.unsettled_since: float | None = None
        self._is_coordinating = False
        self._reading: asyncio.Task[LogPage] | None = None

    async def run(self) -> None:
        """Reads new records as they arrive."""
        if self._tail is not None:
            await self._tail.reading.wait_started()
        try:
            while True:
                try:
                    await self._read()
                except LogUnavailableError as error:
                    log.warning('cannot read orders from the log: %s', error)
                    await pause(READ_RETRY_S, self._rng)
        finally:
            if self._reading is not None:
                self._reading.cancel()

    def set_coordinating(self, coordinating: bool) -> None:
        """Sets whether this host is the coordinator, which reads more often."""
        if (
            coordinating
            and not self._is_coordinating
            and self._reading is not None
        ):
            self._reading.cancel()
        self._is_coordinating = coordinating

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        state = self._blackboard.orders
        asked_at = loop.time()
        tail = None if self._is_coordinating else self._shared_tail()
        if tail is not None:
            reading = self._next_copy(tail)
        else:
            reading = self._read_log()
        self._reading = asyncio.create_task(reading)
        await asyncio.wait([self._reading])
        if self._reading.cancelled():
            return
        page = self._reading.result()
        changed = state.apply_page(page)
        if state.settled:
            self.unsettled_since = None
        elif self.unsettled_since is None:
            self.unsettled_since = loop.time()
        # A copy does not show that this host has read the log itself.
        if tail is None and state.folded_offset >= page.end_offset:
            self.read_at = asked_at
        if changed:
            self._place_all()
            self._blackboard.events.emit(
                EventKind.ORDERS_CHANGED,
                holder=state.host,
                version=state.version,
                changes={
                    change.engine: change.target.role
                    for change in state.change_by_engine.values()
                },
            )
        async with self._folded:
            self._folded.notify_all()

    async def _read_log(self) -> LogPage:
        wait_s = COORDINATOR_POLL_S if self._is_coordinating else LONG_POLL_S
        return await self._client.read(
            self._stream, self._blackboard.orders.folded_offset, wait_s=wait_s
        )

    def _shared_tail(self) -> KeyedTail | None:
        """Returns the tail that follows the stream, None if there is none."""
        tail = self._tail
        if tail is None or not tail.reading.is_shared():
            return None
        return tail

    async def _next_copy(self, tail: KeyedTail) -> LogPage:
        """Returns what the tail has that is newer, if it comes soon."""
        known = self._blackboard.orders.folded_offset
        copied = tail.newer_than(known)
        if copied is None or copied.end_offset <= known:
            await tail.changed.wait(COPY_CHECK_S)
            copied = tail.newer_than(known)
        if copied is None or copied.end_offset <= known:
            return LogPage((), known + 1, known)
        records = tuple(
            LogRecord(record.offset, record.value)
            for record in copied.records
            if record.value
        )
        return LogPage(records, 1, copied.end_offset, compacted=True)

    def _place_all(self) -> None:
        board = self._blackboard
        for endpoint in board.endpoints_by_id.values():
            board.place(endpoint)
        board.membership_changed.notify()

    async def append(self, record: OrderRecord) -> None:
        """Appends a record and waits until it has been folded.

        Only the fold shows whether the record counts and, if the answer was
        lost, whether it was appended at all.
        """
        payload = encode_order_record(record)
        try:
            async with asyncio.timeout(APPEND_TIMEOUT_S):
                offsets = await self._client.append(
                    self._stream, [payload], record.base
                )
                await self._wait_folded(offsets[0])
        except (
            LogUnavailableError,
            LogUncertainError,
            TimeoutError,
        ) as error:
            log.warning('order record may be missing on the log: %s', error)

    async def _wait_folded(self, offset: int) -> None:
        state = self._blackboard.orders
        async with self._folded:
            await self._folded.wait_for(lambda: state.folded_offset >= offset)
