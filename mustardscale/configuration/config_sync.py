"""Keeps the folded configuration up to date from the log and from peers."""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections.abc import Sequence

from mustardscale.blackboard import Blackboard
from mustardscale.configuration.config_copy import ConfigCopy, build_part
from mustardscale.configuration.config_records import (
    ConfigSnapshot,
    encode_record,
)
from mustardscale.configuration.config_state import RecordStatus
from mustardscale.configuration.copy_grace import CopyGrace
from mustardscale.controller import Controller, pause
from mustardscale.exceptions import (
    LogUnavailableError,
    LogUncertainError,
    PeerUnavailableError,
)
from mustardscale.hosts.rendezvous import owner
from mustardscale.log.log_client import CONFIG_STREAM, LogClient, LogPage
from mustardscale.outcomes import Outcome
from mustardscale.peers.config_messages import (
    ConfigFetch,
    ConfigFetchReply,
)
from mustardscale.peers.peer_calls import PeerCalls
from mustardscale.reporting.event_log import EventKind

log = logging.getLogger(__name__)

LONG_POLL_S = 5.0
RETRY_S = 0.5
PEER_TIMEOUT_S = 1.0
# Shortest wait, seconds. One as short as a rounding error would not let the
# clock advance.
MIN_WAIT_S = 0.001
# Maximum number of requests for each part of a peer's configuration.
MAX_PART_ATTEMPTS = 3
# A snapshot is appended when more records than this follow the last one.
SNAPSHOT_AFTER_RECORDS = 200
SNAPSHOT_CHECK_S = 10.0
# A snapshot is appended at this interval even if nothing changed, so that the
# log always retains one. It must be well below the log's retention time.
SNAPSHOT_INTERVAL_S = 300.0


class ConfigLogController(Controller):
    """Folds the configuration stream of the log.

    Attributes:
        log_reachable: whether the last read of the log succeeded.
        snapshot_offset: offset of the newest snapshot read from the log.
        snapshot_read_at: event loop time at which it was read, seconds.
    """

    def __init__(
        self, blackboard: Blackboard, client: LogClient, rng: random.Random
    ):
        self._blackboard = blackboard
        self._client = client
        self._rng = rng
        self.log_reachable = False
        self.snapshot_offset = 0
        self.snapshot_read_at = -math.inf

    async def run(self) -> None:
        """Reads and folds new records as they arrive."""
        while True:
            state = self._blackboard.config
            try:
                page = await self._client.read(
                    CONFIG_STREAM, state.read_offset, wait_s=LONG_POLL_S
                )
            except LogUnavailableError as error:
                self.log_reachable = False
                log.warning(
                    'cannot read the configuration from the log: %s', error
                )
                await pause(RETRY_S, self._rng)
            else:
                self.log_reachable = True
                self.apply(page)

    def apply(self, page: LogPage) -> None:
        """Folds one page of records."""
        state = self._blackboard.config
        for record in page.records:
            result = state.apply(record.offset, record.payload)
            if result.status is RecordStatus.MERGED:
                self.snapshot_offset = record.offset
                self.snapshot_read_at = asyncio.get_running_loop().time()
            if result.status is RecordStatus.UNREADABLE:
                log.error(
                    'skipping unreadable configuration record %d: %s',
                    record.offset,
                    result.detail,
                    extra={'code': Outcome.RECORD_UNREADABLE},
                )
        if not state.settled:
            log.error(
                'the log dropped records after offset %d before this host '
                'read them; waiting for a snapshot',
                state.folded_offset,
            )
        if page.records:
            self._blackboard.config_changed.notify()


class ConfigPeerController(Controller):
    """Copies the configuration from peers with a later folded offset.

    A host needs this if it cannot reach the log, starts while the log is
    unavailable, or finds that the log dropped records before it read them. It
    gives the log some time to bring what peers already have.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        calls: PeerCalls,
        rng: random.Random,
        grace_s: float = 0.0,
    ):
        """Prepares to copy.

        Args:
            blackboard: the blackboard.
            calls: calls to peers.
            rng: chooses the peer to copy from.
            grace_s: seconds for which an offset that peers have reached may
                still come from the log.
        """
        self._blackboard = blackboard
        self._calls = calls
        self._rng = rng
        self._grace = CopyGrace(grace_s)
        calls.handle(ConfigFetch, self._on_fetch)

    async def run(self) -> None:
        """Copies from one random peer with a later offset at a time."""
        while True:
            left_s = self._grace.left_s()
            wait_s = min(left_s, RETRY_S) if left_s > 0 else RETRY_S
            await self._blackboard.config_changed.wait(max(wait_s, MIN_WAIT_S))
            peers = self.hosts_ahead()
            self._update_grace(peers)
            if peers and self._grace.left_s() <= 0:
                await self._fetch(self._rng.choice(peers))

    def _update_grace(self, peers: Sequence[str]) -> None:
        board = self._blackboard
        if not peers:
            self._grace.end()
            return
        offset = max(board.hosts_by_id[peer].config_offset for peer in peers)
        self._grace.update(board.config.folded_offset, offset)

    def hosts_ahead(self) -> list[str]:
        """Returns the live hosts whose heartbeats reported a later offset."""
        board = self._blackboard
        return sorted(
            host.id
            for host in board.hosts_by_id.values()
            if not host.silent
            and host.config_offset > board.config.folded_offset
        )

    async def _fetch(self, host: str) -> None:
        """Copies a peer's configuration in parts and merges the whole copy."""
        state = self._blackboard.config
        copy = ConfigCopy(state.folded_offset)
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        size = 0
        while not copy.whole:
            reply = await self._fetch_part(host, copy.next_request())
            if reply is None or not copy.add_part(reply):
                return
            size += sum(len(record.payload) for record in reply.records)
        before = state.folded_offset
        state.merge(copy.snapshot())
        if state.folded_offset > before:
            self._blackboard.events.emit(
                EventKind.STREAM_COPIED,
                stream=CONFIG_STREAM,
                sender=host,
                offset=state.folded_offset,
                bytes=size,
                took_s=round(loop.time() - began_at, 3),
            )
            self._blackboard.config_changed.notify()

    async def _fetch_part(
        self, host: str, request: ConfigFetch
    ) -> ConfigFetchReply | None:
        loop = asyncio.get_running_loop()
        for _ in range(MAX_PART_ATTEMPTS):
            began_at = loop.time()
            try:
                return await self._calls.call(
                    host, request, ConfigFetchReply, PEER_TIMEOUT_S
                )
            except PeerUnavailableError as error:
                self._blackboard.events.emit(
                    EventKind.STREAM_COPY_FAILED,
                    stream=CONFIG_STREAM,
                    sender=host,
                    known_offset=request.after,
                    took_s=round(loop.time() - began_at, 3),
                    detail=str(error),
                )
        return None

    async def _on_fetch(
        self, sender: str, request: ConfigFetch
    ) -> ConfigFetchReply:
        return build_part(self._blackboard.config, request)


class SnapshotController(Controller):
    """Appends snapshots, so that the log retains all versions in force.

    Any host may append a snapshot. Rendezvous hashing selects one host; if two
    hosts append a snapshot, the second one has no effect.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        reader: ConfigLogController,
        client: LogClient,
        rng: random.Random,
    ):
        self._blackboard = blackboard
        self._reader = reader
        self._client = client
        self._rng = rng

    async def run(self) -> None:
        """Checks at a fixed interval whether a snapshot is due."""
        while True:
            await pause(SNAPSHOT_CHECK_S, self._rng)
            hosts = self._blackboard.serving_hosts()
            chosen = owner('config-snapshot', hosts) == self._blackboard.host
            if chosen and self._is_snapshot_due():
                await self._append(self._blackboard.config.snapshot())

    def _is_snapshot_due(self) -> bool:
        state = self._blackboard.config
        if not state.by_key or not state.settled:
            return False
        unsaved = state.folded_offset - self._reader.snapshot_offset
        now = asyncio.get_running_loop().time()
        age_s = now - self._reader.snapshot_read_at
        return unsaved > SNAPSHOT_AFTER_RECORDS or age_s > SNAPSHOT_INTERVAL_S

    async def _append(self, snapshot: ConfigSnapshot) -> None:
        try:
            await self._client.append(CONFIG_STREAM, [encode_record(snapshot)])
        except (LogUnavailableError, LogUncertainError) as error:
            log.warning('cannot append a configuration snapshot: %s', error)
        else:
            log.info(
                'appended a configuration snapshot up to offset %d',
                snapshot.folded_offset,
            )


async def wait_for_config(blackboard: Blackboard, timeout_s: float) -> bool:
    """Waits until any configuration is known.

    Returns:
        False if none is known after timeout_s.
    """
    deadline = asyncio.get_running_loop().time() + timeout_s
    while not blackboard.config.by_key:
        left = deadline - asyncio.get_running_loop().time()
        if left <= 0:
            return False
        await blackboard.config_changed.wait(left)
    return True
