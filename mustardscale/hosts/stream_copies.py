"""Lets a few hosts read the platform's streams for all hosts.

Some of the hubs read the streams and report in their heartbeats how far they
have read. The other hosts copy new records from these readers, and read a
stream themselves only while no reader has read it recently. A host that starts
first reads the entries of hosts. If there are many, it asks readers for the
other streams, and reads only those that it does not get soon.

In a mesh each host reads the streams itself. A read that waits shows nothing
until it ends, and a record may fail to end it. So the readers of a mesh wait
only briefly at urgent streams, and each host copies from any one that is ahead.
"""

from __future__ import annotations

import asyncio
import dataclasses
import math
import random
from collections.abc import Iterable

from mustardscale.blackboard import Blackboard, Signal
from mustardscale.controller import Controller
from mustardscale.hosts.copy_fetcher import CopyFetcher
from mustardscale.hosts.copy_parts import CopySender
from mustardscale.hosts.heartbeat_hubs import MAX_MESH_HOSTS, HeartbeatHubs
from mustardscale.log.keyed_tail import LONG_POLL_S, KeyedTail, StreamReading
from mustardscale.peers.peer_calls import PeerCalls
from mustardscale.peers.stream_messages import (
    StreamFetch,
    StreamFetchReply,
    StreamStatus,
)

# Maximum age of a reader's last read at which other hosts rely on it instead of
# reading the store, seconds. Together with a heartbeat interval, it is less
# than the time within which a change must take effect.
MAX_READ_AGE_S = 1.5
# Time for which a read by a reader waits for a record, seconds. It is a part of
# MAX_READ_AGE_S, so that others can rely on the reader while nothing is
# written.
READER_POLL_S = 0.9
# MAX_READ_AGE_S and READER_POLL_S for streams that are not urgent, seconds. A
# new record normally ends a read at once; these bound the delay if it does not.
CALM_READ_AGE_S = 10.0
CALM_READER_POLL_S = 9.0
# Time without a read by a reader after one that found records, seconds. Changes
# that come together are then read together. It is a part of READER_POLL_S.
READER_PAUSE_S = 0.2
# Time for which a read of an urgent stream by a host that can not rely on a
# reader waits for a record, seconds. A record may fail to end the read, and
# must take effect all the same.
UNCOVERED_URGENT_POLL_S = 1.5
# Time for which a host that has just learnt that there are readers waits for
# their first reports instead of reading again, seconds. With the read after it,
# it is less than the time within which a change must take effect.
FIND_READERS_S = 1.0
# The same at streams that are not urgent, seconds.
FIND_CALM_READERS_S = 5.0
# Time for which a host that starts asks readers for a copy of a stream before
# it reads that itself, seconds. All hosts of a site may start within 0.3 s.
ASK_S = 0.4
ASK_INTERVAL_S = 0.05
# Time for which a host that starts reads only the entries of hosts, seconds. It
# bounds the delay if the store answers slowly.
START_S = 0.1
START_CHECK_S = 0.005
# Interval at which a host checks whether it has become a reader, seconds.
CHECK_INTERVAL_S = 0.5
# Shortest wait until readers no longer cover a stream, seconds. A wait as short
# as a rounding error would not let the clock advance.
MIN_WAIT_S = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class _ReaderStatus:
    """How far a reader has reported to have read a stream.

    Attributes:
        end_offset: offset up to which the reader has read.
        read_at: loop time of its last read, when it knew no newer record.
        regained_at: loop time since when it can read the stream again, minus
            infinity if it always could.
    """

    end_offset: int
    read_at: float
    regained_at: float


class StreamCopies(Controller, StreamReading):
    """Copies records from readers, and serves copies as a reader."""

    def __init__(
        self,
        blackboard: Blackboard,
        calls: PeerCalls,
        hubs: HeartbeatHubs,
        tails: Iterable[KeyedTail],
        rng: random.Random,
    ):
        """Prepares the copying.

        Args:
            blackboard: the blackboard.
            calls: calls to peers.
            hubs: the hubs, of which some are the readers.
            tails: the streams.
            rng: chooses the reader to ask.
        """
        self._blackboard = blackboard
        self._calls = calls
        self._hubs = hubs
        self._rng = rng
        self._tail_by_stream = {tail.stream: tail for tail in tails}
        self._reported_by_stream: dict[str, dict[str, _ReaderStatus]] = {
            stream: {} for stream in self._tail_by_stream
        }
        # Streams of which a reader had reported a recent reading.
        self._reported_streams: set[str] = set()
        # Loop time since when this host is behind a reader, by stream.
        self._behind_since: dict[str, float] = {}
        self._reader_ahead = Signal()
        self._was_reader = False
        self._ask_by_reader: dict[str, asyncio.Task[None]] = {}
        self._asked_at_by_reader: dict[str, float] = {}
        self._sender = CopySender()
        self._fetcher = CopyFetcher(blackboard, calls)
        self._hosts_tail = next(
            (t for t in self._tail_by_stream.values() if t.lists_hosts), None
        )
        # Loop times since when this host waits for the entries of hosts, and
        # since when readers read the streams for the other hosts.
        self._started_at: float | None = None
        self._shared_since = math.inf
        for tail in self._tail_by_stream.values():
            tail.reading = self
        calls.handle(StreamFetch, self._on_fetch)

    async def run(self) -> None:
        """Copies new records as soon as a heartbeat reports them."""
        try:
            await self._follow()
        finally:
            for ask in self._ask_by_reader.values():
                ask.cancel()

    async def _follow(self) -> None:
        while True:
            self._update_sharing()
            if self._hubs.is_reader != self._was_reader:
                self._was_reader = self._hubs.is_reader
                for tail in self._tail_by_stream.values():
                    tail.read_anew()
            if self._hubs.is_mesh and not self._hubs.is_reader:
                self._end_long_reads()
            is_asking = self._is_asking()
            if is_asking:
                await self._ask_readers()
            for stream, tail in self._tail_by_stream.items():
                if self._hubs.is_mesh or not self._hubs.is_reader:
                    await self._catch_up(stream, tail)
            await self._reader_ahead.wait(
                ASK_INTERVAL_S if is_asking else CHECK_INTERVAL_S
            )

    def _is_asking(self) -> bool:
        """Returns whether this host asks readers before it reads itself."""
        if not self.is_shared() or self._hubs.is_reader:
            return False
        now = asyncio.get_running_loop().time()
        is_whole = all(tail.is_whole for tail in self._tail_by_stream.values())
        is_early = now < self._shared_since + ASK_S
        return not is_whole and (is_early or self._is_copying(ASK_S))

    async def _ask_readers(self) -> None:
        """Copies the streams that this host has not read yet.

        It asks one further reader at each interval, since one that has not
        answered by then may be lost.
        """
        idle = sorted(self._hubs.reader_ids - set(self._ask_by_reader))
        if not idle or self._is_copying(ASK_INTERVAL_S):
            return
        self._rng.shuffle(idle)
        reader = min(idle, key=lambda r: self._asked_at_by_reader.get(r, 0.0))
        self._asked_at_by_reader[reader] = asyncio.get_running_loop().time()
        ask = asyncio.create_task(self._ask(reader))
        self._ask_by_reader[reader] = ask
        ask.add_done_callback(lambda _: self._ask_by_reader.pop(reader, None))
        await asyncio.wait([ask], timeout=ASK_INTERVAL_S)

    def _is_copying(self, within_s: float) -> bool:
        """Returns whether a host that starts gets a copy, part by part.

        Args:
            within_s: seconds within which the last part must have come.
        """
        now = asyncio.get_running_loop().time()
        return (
            bool(self._ask_by_reader)
            and now - self._fetcher.last_part_at < within_s
        )

    async def _ask(self, reader: str) -> None:
        for tail in self._tail_by_stream.values():
            if not tail.is_whole:
                await self._fetcher.fetch(reader, tail, math.inf)

    def statuses(self, now: float) -> tuple[StreamStatus, ...]:
        """Returns how far this host has read the streams, if others need it."""
        is_mesh = self._hubs.is_mesh
        if not (is_mesh or self._hubs.is_reader):
            return ()
        return tuple(
            _make_status(tail, now)
            for tail in self._tail_by_stream.values()
            if tail.is_urgent or not is_mesh
        )

    def merge_statuses(
        self, reader: str, statuses: Iterable[StreamStatus], now: float
    ) -> None:
        """Merges a reader's report of how far it has read the streams."""
        for status in statuses:
            reported_by_reader = self._reported_by_stream.get(status.stream)
            if reported_by_reader is None or status.read_age_s < 0:
                continue
            regained_at = now - status.regained_age_s
            reported = reported_by_reader[reader] = _ReaderStatus(
                status.end_offset,
                now - status.read_age_s,
                regained_at if status.regained_age_s >= 0 else -math.inf,
            )
            self._apply_status(
                self._tail_by_stream[status.stream], reported, now
            )

    def _apply_status(
        self, tail: KeyedTail, reported: _ReaderStatus, now: float
    ) -> None:
        is_mesh = self._hubs.is_mesh
        if self._hubs.is_reader and not is_mesh:
            return
        if reported.end_offset > tail.end_offset or not tail.is_whole:
            self._behind_since.setdefault(tail.stream, now)
            self._reader_ahead.notify()
        elif reported.end_offset < tail.end_offset:
            # A reader that is behind this host tells nothing about its own
            # records.
            return
        elif is_mesh:
            tail.note_proved(reported.read_at)
        elif now - reported.read_at <= _max_age_s(tail):
            tail.note_covered(reported.regained_at, reported.read_at)

    def wait_s(self, stream: str) -> float:
        """See the base class."""
        tail = self._tail_by_stream[stream]
        is_urgent = tail.is_urgent
        now = asyncio.get_running_loop().time()
        if is_urgent and now - tail.proved_at >= MAX_READ_AGE_S:
            # The answer must come at once, to confirm what is known.
            return 0.0
        if self._hubs.is_mesh:
            is_alone = self._hubs.is_reader or not self._is_reported(tail)
            return READER_POLL_S if is_urgent and is_alone else LONG_POLL_S
        if self._hubs.is_reader:
            return READER_POLL_S if is_urgent else CALM_READER_POLL_S
        return UNCOVERED_URGENT_POLL_S if is_urgent else LONG_POLL_S

    def _is_reported(self, tail: KeyedTail) -> bool:
        """Returns whether a reader has reported a recent reading."""
        now = asyncio.get_running_loop().time()
        return any(
            reader in self._hubs.reader_ids
            and reported.read_at + _max_age_s(tail) > now
            for reader, reported in self._reported_by_stream[
                tail.stream
            ].items()
        )

    def _end_long_reads(self) -> None:
        """Ends long reads of urgent streams that readers no longer read."""
        for tail in self._tail_by_stream.values():
            is_reported = tail.is_urgent and self._is_reported(tail)
            if is_reported:
                self._reported_streams.add(tail.stream)
            elif tail.stream in self._reported_streams:
                self._reported_streams.remove(tail.stream)
                tail.read_anew()

    def pause_s(self, stream: str) -> float:
        """See the base class."""
        is_alone = self._hubs.is_mesh or not self._hubs.is_reader
        return 0.0 if is_alone else READER_PAUSE_S

    def is_shared(self) -> bool:
        """See the base class."""
        self._update_sharing()
        return not self._hubs.is_mesh

    async def wait_started(self) -> None:
        """See the base class."""
        while True:
            if not self._is_starting():
                return
            await asyncio.sleep(START_CHECK_S)

    def _is_starting(self) -> bool:
        """Returns whether this host still waits for the entries of hosts."""
        tail = self._hosts_tail
        if self.is_shared() or tail is None or tail.is_lost:
            return False
        if tail.is_whole and len(tail.value_by_key) <= MAX_MESH_HOSTS:
            return False
        now = asyncio.get_running_loop().time()
        if self._started_at is None:
            self._started_at = now
        return now - self._started_at < START_S

    def _update_sharing(self) -> None:
        """Notes when readers begin to read the streams for other hosts."""
        if self._hubs.is_mesh and (
            len(self._blackboard.hosts_by_id) >= MAX_MESH_HOSTS
        ):
            # The host list has been read since the last heartbeat.
            self._hubs.choose()
        if self._hubs.is_mesh:
            self._shared_since = math.inf
        elif math.isinf(self._shared_since):
            self._shared_since = asyncio.get_running_loop().time()
            self._reader_ahead.notify()

    def is_covered(self, stream: str) -> bool:
        """See the base class."""
        return self._covered_s(stream) > 0

    async def wait_uncovered(self, stream: str) -> None:
        """See the base class."""
        while True:
            covered_s = self._covered_s(stream)
            if covered_s <= 0:
                return
            await asyncio.sleep(max(covered_s, MIN_WAIT_S))

    def _covered_s(self, stream: str) -> float:
        """Returns the seconds for which this host need not read a stream.

        It relies on a reader meanwhile, or expects one soon. The result is 0 or
        less if it must read the store.
        """
        tail = self._tail_by_stream[stream]
        if not self.is_shared():
            return self._unread_in_mesh_s(tail)
        if self._hubs.is_reader:
            return 0.0
        now = asyncio.get_running_loop().time()
        fresh = [
            reported
            for reader, reported in self._reported_by_stream[stream].items()
            if reader in self._hubs.reader_ids
            and reported.read_at + _max_age_s(tail) > now
        ]
        # A reader that is behind this host has not read recently, whatever age
        # it reports: it may have been suspended. Records that this host has
        # just read itself are reported by the readers in one of their next
        # heartbeats.
        read_at = max(
            (
                reported.read_at
                for reported in fresh
                if reported.end_offset >= tail.end_offset
            ),
            default=tail.read_at if fresh else -math.inf,
        )
        ends_at = max(read_at + _max_age_s(tail), self._found_until(tail))
        behind_since = self._behind_since.get(stream)
        if behind_since is not None:
            ends_at = min(ends_at, behind_since + MAX_READ_AGE_S)
        return ends_at - now

    def _unread_in_mesh_s(self, tail: KeyedTail) -> float:
        """Returns the seconds for which a stream is not read in a mesh."""
        if self._is_starting():
            is_first = tail.lists_hosts and not tail.is_whole
            return 0.0 if is_first else START_CHECK_S
        return CHECK_INTERVAL_S if tail.is_followed_alone else 0.0

    def _found_until(self, tail: KeyedTail) -> float:
        """Returns the loop time until which readers must have reported.

        Until then this host relies on its own last read, unless that has become
        too old, or on what it has copied from a reader at its start.
        """
        if not tail.is_whole:
            began_at = self._shared_since
            if self._is_copying(ASK_S):
                began_at = max(began_at, self._fetcher.last_part_at)
            return began_at + ASK_S
        find_s = FIND_READERS_S if tail.is_urgent else FIND_CALM_READERS_S
        ends_at = self._shared_since + find_s
        if math.isfinite(tail.read_at):
            ends_at = min(ends_at, tail.read_at + _max_age_s(tail))
        return ends_at

    async def _catch_up(self, stream: str, tail: KeyedTail) -> None:
        """Copies from the readers that are ahead, until none is."""
        reported_by_reader = self._reported_by_stream[stream]
        ahead = [
            reader
            for reader, reported in reported_by_reader.items()
            if (reported.end_offset > tail.end_offset or not tail.is_whole)
            and not self._is_silent(reader)
        ]
        self._rng.shuffle(ahead)
        for reader in ahead:
            end_offset = reported_by_reader[reader].end_offset
            if end_offset > tail.end_offset or not tail.is_whole:
                await self._fetcher.fetch(reader, tail, end_offset)
        known = max(
            (reported.end_offset for reported in reported_by_reader.values()),
            default=0,
        )
        if known <= tail.end_offset and tail.is_whole:
            self._behind_since.pop(stream, None)

    def _is_silent(self, reader: str) -> bool:
        """Returns whether a reader no longer answers heartbeats."""
        host = self._blackboard.hosts_by_id.get(reader)
        return host is not None and host.silent

    async def _on_fetch(
        self, sender: str, request: StreamFetch
    ) -> StreamFetchReply:
        tail = self._tail_by_stream.get(request.stream)
        if tail is None:
            return StreamFetchReply(False)
        return self._sender.reply_to(tail, request)


def _max_age_s(tail: KeyedTail) -> float:
    """Returns the age of a reader's last read up to which hosts rely on it."""
    return MAX_READ_AGE_S if tail.is_urgent else CALM_READ_AGE_S


def _make_status(tail: KeyedTail, now: float) -> StreamStatus:
    """Returns how far this host has read a stream itself."""
    read_age_s = -1.0 if tail.is_lost else _age_s(tail.read_at, now)
    return StreamStatus(
        tail.stream,
        tail.end_offset,
        read_age_s,
        _age_s(tail.regained_at, now),
    )


def _age_s(at: float, now: float) -> float:
    """Returns the seconds since a loop time, negative if it never was."""
    return now - at if math.isfinite(at) else -1.0
