"""Fetches copies of streams from readers, part by part."""

from __future__ import annotations

import asyncio
import contextlib
import math

from mustardscale.blackboard import Blackboard
from mustardscale.exceptions import PeerUnavailableError
from mustardscale.hosts.copy_parts import PART_BYTES, CopyReceiver
from mustardscale.log.copy_encoding import BaseMismatchError, CopyError
from mustardscale.log.keyed_log import KeyedCopy
from mustardscale.log.keyed_tail import KeyedTail
from mustardscale.peers.peer_calls import PeerCalls
from mustardscale.peers.stream_messages import StreamFetch, StreamFetchReply
from mustardscale.reporting.event_log import EventKind

# Time after which the call for one part of a copy is given up, seconds.
FETCH_TIMEOUT_S = 0.5
MAX_PART_ATTEMPTS = 3


class CopyFetcher:
    """Fetches what readers have and this host lacks.

    Attributes:
        last_part_at: loop time at which the last part of a copy came, minus
            infinity if none has.
    """

    __slots__ = ('_blackboard', '_calls', 'last_part_at')

    def __init__(self, blackboard: Blackboard, calls: PeerCalls):
        self._blackboard = blackboard
        self._calls = calls
        self.last_part_at = -math.inf

    async def fetch(
        self, reader: str, tail: KeyedTail, end_offset: float
    ) -> None:
        """Copies records from a reader while it has newer ones.

        Args:
            reader: the reader.
            tail: receives the records.
            end_offset: offset up to which records are needed.
        """
        is_relative = tail.is_whole
        while tail.end_offset < end_offset or not tail.is_whole:
            try:
                copied = await self._fetch_copy(reader, tail, is_relative)
            except BaseMismatchError:
                if not is_relative:
                    return
                is_relative = False
                continue
            if copied is None or not tail.copy(copied):
                return

    async def _fetch_copy(
        self, reader: str, tail: KeyedTail, is_relative: bool
    ) -> KeyedCopy | None:
        """Fetches all parts of a copy; returns None if that fails.

        Raises:
            BaseMismatchError: the copy was compressed against other values.
        """
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        known_offset = tail.end_offset
        receiver = CopyReceiver(tail, is_relative)
        try:
            while not receiver.is_complete:
                receiver.add(await self._fetch_part(reader, receiver))
                self.last_part_at = loop.time()
            copied = receiver.result()
        except BaseMismatchError:
            raise
        except (PeerUnavailableError, CopyError) as error:
            self._blackboard.events.emit(
                EventKind.STREAM_COPY_FAILED,
                stream=tail.stream,
                sender=reader,
                known_offset=known_offset,
                took_s=round(loop.time() - began_at, 3),
                detail=str(error),
            )
            return None
        if sum(len(record.value) for record in copied.records) >= PART_BYTES:
            self._blackboard.events.emit(
                EventKind.STREAM_COPIED,
                stream=tail.stream,
                sender=reader,
                offset=copied.end_offset,
                bytes=receiver.received_bytes,
                took_s=round(loop.time() - began_at, 3),
            )
        return copied

    async def _fetch_part(
        self, reader: str, receiver: CopyReceiver
    ) -> StreamFetchReply:
        """Fetches the next part of a copy.

        A part that does not come is asked for again, so that the parts before
        need not be sent again, but not the first one.

        Raises:
            PeerUnavailableError: it did not come.
        """
        request = receiver.next_request()
        attempts = MAX_PART_ATTEMPTS if request.position else 1
        for _ in range(attempts - 1):
            with contextlib.suppress(PeerUnavailableError):
                return await self._call(reader, request)
        return await self._call(reader, request)

    async def _call(
        self, reader: str, request: StreamFetch
    ) -> StreamFetchReply:
        return await self._calls.call(
            reader, request, StreamFetchReply, FETCH_TIMEOUT_S
        )
