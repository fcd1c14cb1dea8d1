"""Tells other hosts the software versions of streams."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import logging
import math
from collections.abc import Awaitable, Callable

from mustardscale.blackboard import Blackboard
from mustardscale.exceptions import PeerUnavailableError
from mustardscale.peers.peer_calls import PeerCalls
from mustardscale.peers.peer_messages import Acknowledgement
from mustardscale.peers.version_messages import StreamVersion, VersionNotice
from mustardscale.reporting.metrics import Metrics
from mustardscale.versions.version_keepers import ASKED_HOSTS, rank_keepers
from mustardscale.versions.version_records import CONTESTED
from mustardscale.versions.version_witness import (
    VersionEvidence,
    VersionWitness,
)

log = logging.getLogger(__name__)

# Hosts that keep the version of a stream beside the one where it began.
COPIES = 5
NOTICE_TIMEOUT_S = 0.5
# Time for which other hosts are preferred to one that did not confirm, seconds.
AVOID_S = 1.0
# Time after which a stream that no host keeps is put on the platform, seconds.
UNTOLD_AFTER_S = 0.1
# Pause before an engine that did not reply is asked again, seconds.
ASK_PAUSE_S = 0.5
# Streams in one notice, and streams whose notices are not confirmed, at most.
MAX_NOTICE_STREAMS = 500
MAX_PENDING = 2_000

Settle = Callable[[str, VersionWitness], Awaitable[VersionEvidence]]


@dataclasses.dataclass(slots=True)
class PendingNotice:
    """A stream that other hosts are still to be told.

    Attributes:
        begun_at: loop time at which it began here.
        expires_at: loop time after which nobody needs to know it.
        version: its version.
        witness: shows whether the version is right, None if it is known.
        confirmed: the hosts that keep it.
    """

    begun_at: float
    expires_at: float
    version: str
    witness: VersionWitness | None = None
    confirmed: set[str] = dataclasses.field(default_factory=set)

    @property
    def evidence(self) -> VersionEvidence:
        """What is known of the version."""
        if self.witness is None:
            return VersionEvidence.SHOWN
        return self.witness.evidence


class VersionNotices:
    """The streams that other hosts are still to be told.

    Attributes:
        pending_by_id: the streams, by the id of the send that began them.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        calls: PeerCalls,
        metrics: Metrics,
        settle: Settle,
        wake: asyncio.Event,
    ):
        """Prepares the notices.

        Args:
            blackboard: the state of this host.
            calls: calls to peers.
            metrics: counters.
            settle: asks the witness of a stream, and notes what it finds.
            wake: set when there is something to tell, or to try again.
        """
        self._blackboard = blackboard
        self._calls = calls
        self._metrics = metrics
        self._settle = settle
        self._wake = wake
        self._sending: dict[str, asyncio.Task[None]] = {}
        # Questions to the engines that began streams, by the stream's id.
        self._asking: dict[str, asyncio.Task[None]] = {}
        self._failed_at_by_host: dict[str, float] = {}
        self.pending_by_id: dict[str, PendingNotice] = {}

    def add(self, request_id: str, notice: PendingNotice) -> None:
        """Adds a stream that is to be told."""
        self.add_to(self.pending_by_id, request_id, notice)
        self._wake.set()

    def add_to(
        self,
        notices_by_id: dict[str, PendingNotice],
        request_id: str,
        notice: PendingNotice,
    ) -> None:
        """Adds a notice to some; beyond the limit the oldest goes."""
        notices_by_id[request_id] = notice
        if len(notices_by_id) > MAX_PENDING:
            del notices_by_id[next(iter(notices_by_id))]
            self._metrics.count('stream_versions_given_up')

    def find_untold(self, now: float) -> dict[str, tuple[str, float]]:
        """Returns the streams that no other host keeps after a while.

        Args:
            now: loop time.

        Returns:
            Version and loop time of the expiry, by the id of the send.
        """
        return {
            request_id: (pending.version, pending.expires_at)
            for request_id, pending in self.pending_by_id.items()
            if pending.evidence is VersionEvidence.SHOWN
            and (
                pending.version == CONTESTED
                or (
                    not pending.confirmed
                    and now - pending.begun_at > UNTOLD_AFTER_S
                )
            )
        }

    def cancel(self) -> None:
        """Ends all that is in progress."""
        for task in [*self._sending.values(), *self._asking.values()]:
            task.cancel()

    def start(self) -> None:
        """Starts to tell each pending stream to the hosts that lack it."""
        ids_by_host: dict[str, list[str]] = collections.defaultdict(list)
        now = asyncio.get_running_loop().time()
        # Silent hosts count: this host may only be cut off from them.
        hosts = self._blackboard.hosts_by_id.values()
        wanted = min(COPIES, sum(host.keeps_versions for host in hosts))
        for request_id, pending in list(self.pending_by_id.items()):
            if pending.expires_at <= now or len(pending.confirmed) >= wanted:
                del self.pending_by_id[request_id]
                continue
            if pending.evidence is not VersionEvidence.SHOWN:
                continue
            for host in self._choose_hosts(request_id, now):
                if host not in pending.confirmed:
                    ids_by_host[host].append(request_id)
        for host, request_ids in ids_by_host.items():
            if host not in self._sending:
                self._sending[host] = asyncio.create_task(
                    self._tell(host, request_ids[:MAX_NOTICE_STREAMS])
                )

    def start_asking(
        self, request_id: str, witness: VersionWitness, expires_at: float
    ) -> None:
        """Starts to ask whether the version of a stream is right.

        Args:
            request_id: id of the send that began the stream.
            witness: shows it.
            expires_at: loop time after which nobody needs to know it.
        """
        if request_id not in self._asking:
            self._asking[request_id] = asyncio.create_task(
                self._ask(request_id, witness, expires_at)
            )

    async def _ask(
        self, request_id: str, witness: VersionWitness, expires_at: float
    ) -> None:
        loop = asyncio.get_running_loop()
        evidence = VersionEvidence.OPEN
        try:
            while loop.time() < expires_at:
                evidence = await self._settle(request_id, witness)
                if evidence is not VersionEvidence.OPEN:
                    break
                await asyncio.sleep(ASK_PAUSE_S)
        finally:
            del self._asking[request_id]
        pending = self.pending_by_id.get(request_id)
        if evidence is VersionEvidence.SHOWN:
            self._wake.set()
        elif evidence is VersionEvidence.REFUTED:
            now = loop.time()
            self.add(request_id, PendingNotice(now, expires_at, CONTESTED))
        elif pending is not None:
            del self.pending_by_id[request_id]

    def _choose_hosts(self, request_id: str, now: float) -> list[str]:
        """Returns the hosts that are to keep a stream's version."""
        ranked = rank_keepers(self._blackboard, request_id)
        answering = [
            host
            for host in ranked[:ASKED_HOSTS]
            if self._failed_at_by_host.get(host, -math.inf) + AVOID_S < now
        ]
        return (answering or ranked)[:COPIES]

    async def _tell(self, host: str, request_ids: list[str]) -> None:
        """Tells a host the versions of streams."""
        now = asyncio.get_running_loop().time()
        streams = tuple(
            StreamVersion(request_id, pending.version, pending.expires_at - now)
            for request_id in request_ids
            if (pending := self.pending_by_id.get(request_id)) is not None
            and pending.evidence is VersionEvidence.SHOWN
        )
        self._metrics.count('stream_version_notices')
        try:
            await self._calls.call(
                host, VersionNotice(streams), Acknowledgement, NOTICE_TIMEOUT_S
            )
        except PeerUnavailableError as error:
            log.debug('versions not told to %s: %s', host, error)
            failed_at = asyncio.get_running_loop().time()
            self._failed_at_by_host[host] = failed_at
        else:
            self._failed_at_by_host.pop(host, None)
            for stream in streams:
                pending = self.pending_by_id.get(stream.request_id)
                if pending is not None:
                    pending.confirmed.add(host)
        finally:
            del self._sending[host]
            self._wake.set()
