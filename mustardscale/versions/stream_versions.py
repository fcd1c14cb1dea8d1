"""Finds the software version that began a stream, at any host.

The host at which a stream begins tells a few others, chosen by a hash of the
stream's id, so that one where the caller takes the stream up can ask them. So
the number of messages for a stream doesn't grow with the number of hosts, and
the version is known after the first host has ended or was cut off.
"""

from __future__ import annotations

import asyncio
import collections
import logging
import math

from mustardscale.blackboard import Blackboard
from mustardscale.controller import Controller
from mustardscale.exceptions import (
    LogUnavailableError,
    OutcomeError,
)
from mustardscale.outcomes import Outcome
from mustardscale.peers.peer_calls import PeerCalls
from mustardscale.peers.peer_messages import Acknowledgement
from mustardscale.peers.version_messages import (
    VersionLookup,
    VersionNotice,
    VersionReply,
)
from mustardscale.reporting.event_log import EventKind
from mustardscale.reporting.metrics import Metrics
from mustardscale.versions.version_filter import find_listed_versions
from mustardscale.versions.version_keepers import VersionKeepers
from mustardscale.versions.version_log import VersionLog
from mustardscale.versions.version_notices import (
    MAX_NOTICE_STREAMS,
    PendingNotice,
    VersionNotices,
)
from mustardscale.versions.version_records import (
    CONTESTED,
    VersionRecords,
)
from mustardscale.versions.version_witness import (
    VersionEvidence,
    VersionWitness,
)

log = logging.getLogger(__name__)

# Rounds of questions, and the pause between two: the notice may be on its way,
# seconds.
LOOKUP_ROUNDS = 3
LOOKUP_PAUSE_S = 0.1
# Interval at which it is checked whether only one version of a service runs,
# seconds. Its streams are told once that no longer holds.
SOLE_INTERVAL_S = 0.5
# Age of the list of engines above which it is not relied on to tell when a
# second version comes, seconds. Engines change their entries each second.
MAX_LIST_AGE_S = 3.0
# Why a version is not used although it was told.
CONTESTED_CAUSE = 'its version is refuted, or hosts tell different ones'
# Pause before notices that were not confirmed are sent again, seconds.
RETRY_PAUSE_S = 0.2
# Time after a stream's deadline in which callers may still take it up, seconds.
KEEP_MARGIN_S = 10.0
EXPIRY_INTERVAL_S = 5.0
# Time after which a caller may try again where no host knows its stream,
# seconds.
RETRY_AFTER_S = 0.5


class StreamVersions(Controller):
    """Records, shares and looks up the versions of streams.

    Attributes:
        records: the versions that this host keeps.
        version_log: knows which versions have run, None without a platform
            that keeps it.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        calls: PeerCalls,
        metrics: Metrics,
        version_log: VersionLog | None = None,
    ):
        """Starts to answer peers.

        Args:
            blackboard: the state of this host.
            calls: calls to peers.
            metrics: counters and gauges.
            version_log: knows which versions have run, None without a platform
                that keeps it.
        """
        self._blackboard = blackboard
        self._metrics = metrics
        self.version_log = version_log
        self.records = VersionRecords()
        self._wake = asyncio.Event()
        self._keepers = VersionKeepers(blackboard, calls, metrics)
        self._notices = VersionNotices(
            blackboard, calls, metrics, self._settle, self._wake
        )
        # Streams of services of which only one version is known to run.
        self._deferred_by_service: dict[str, dict[str, PendingNotice]] = (
            collections.defaultdict(dict)
        )
        # The sole version of each service, and the loop time of that reading.
        self._sole_by_service: dict[str, tuple[str, float]] = {}
        calls.handle(VersionNotice, self._on_notice)
        calls.handle(VersionLookup, self._on_lookup)
        metrics.add_gauge('stream_versions_kept', lambda: len(self.records))
        metrics.add_gauge(
            'stream_versions_untold', lambda: len(self._notices.pending_by_id)
        )
        metrics.add_gauge(
            'stream_versions_evicted', lambda: self.records.evicted
        )
        metrics.add_gauge(
            'stream_versions_contested', lambda: self.records.contested
        )

    async def run(self) -> None:
        """Tells other hosts the versions of streams."""
        expired_at = asyncio.get_running_loop().time()
        try:
            while True:
                now = asyncio.get_running_loop().time()
                self._tell_deferred(now)
                self._notices.start()
                await self._wait_woken()
                now = asyncio.get_running_loop().time()
                if now - expired_at >= EXPIRY_INTERVAL_S:
                    expired_at = now
                    self.records.expire(now)
                if self.version_log is not None:
                    untold = self._notices.find_untold(now)
                    self.version_log.set_untold(untold)
        finally:
            self._notices.cancel()

    async def _wait_woken(self) -> None:
        """Waits until there is something to tell, or to try again."""
        wait_s = EXPIRY_INTERVAL_S
        if self._notices.pending_by_id:
            wait_s = RETRY_PAUSE_S
        elif self._deferred_by_service:
            wait_s = SOLE_INTERVAL_S
        try:
            async with asyncio.timeout(wait_s):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()

    def record(
        self,
        service: str,
        request_id: str,
        version: str,
        deadline_at: float,
        witness: VersionWitness | None = None,
    ) -> None:
        """Keeps the version of a stream, here and at other hosts.

        It is used, and told, only once it is shown to be right.

        Args:
            service: service of the stream.
            request_id: id of the send that brought its first event.
            version: the software version that began it, '' where versions are
                not known, which is not kept.
            deadline_at: loop time of the stream's deadline.
            witness: shows whether the version is right, None if it is known.
        """
        if not version:
            return
        if witness is not None and self.version_log is not None:
            self.version_log.note_begun(service, version)
        now = asyncio.get_running_loop().time()
        keep_s = deadline_at - now + KEEP_MARGIN_S
        kept = self.records.add(request_id, version, keep_s, now, witness)
        if kept.version != version:
            return
        if kept.witness is not None:
            self._notices.start_asking(
                request_id, kept.witness, kept.expires_at
            )
        notice = PendingNotice(now, kept.expires_at, kept.version, kept.witness)
        if self._is_sole(service, version, now):
            deferred = self._deferred_by_service[service]
            self._notices.add_to(deferred, request_id, notice)
        else:
            self._notices.add(request_id, notice)

    def _is_sole(self, service: str, version: str, now: float) -> bool:
        """Returns whether only one version of a service has run lately."""
        if self.version_log is None:
            return False
        if self.version_log.list_age_s() > MAX_LIST_AGE_S:
            return False
        known = self._sole_by_service.get(service)
        if known is None or now - known[1] > SOLE_INTERVAL_S:
            known = self._find_sole(service), now
            self._sole_by_service[service] = known
        return known[0] == version

    def _tell_deferred(self, now: float) -> None:
        """Tells the streams of services that now have several versions."""
        for service, deferred in list(self._deferred_by_service.items()):
            for request_id, notice in list(deferred.items()):
                if notice.expires_at <= now:
                    del deferred[request_id]
            versions = {notice.version for notice in deferred.values()}
            if all(self._is_sole(service, v, now) for v in versions):
                continue
            for request_id, notice in deferred.items():
                self._notices.add(request_id, notice)
            del self._deferred_by_service[service]

    async def find(
        self, service: str, request_id: str, first_id: str, deadline_at: float
    ) -> str:
        """Returns the version that began a stream which a caller takes up.

        Args:
            service: service of the stream.
            request_id: id of the caller's present send.
            first_id: id of the send that brought its first event, '' if the
                caller names none.
            deadline_at: loop time of the deadline of the present send.

        Raises:
            OutcomeError: VERSION_UNKNOWN, no host knows it.
        """
        if find_listed_versions(self._blackboard, service) <= {''}:
            return ''
        began_at = asyncio.get_running_loop().time()
        version, source, cause = await self._look_up(service, first_id)
        listed = find_listed_versions(self._blackboard, service)
        self._metrics.count(f'stream_versions_{source}')
        self._blackboard.events.emit(
            EventKind.VERSION_FOUND,
            request_id,
            0 if version else Outcome.VERSION_UNKNOWN,
            service=service,
            resumes=first_id,
            version=version,
            source=source,
            listed=sorted(listed),
            cause=cause,
            took_s=round(asyncio.get_running_loop().time() - began_at, 4),
            **self._describe_readings(),
        )
        if not version:
            raise OutcomeError(
                Outcome.VERSION_UNKNOWN, cause, retry_after_s=RETRY_AFTER_S
            )
        if first_id:
            self.record(service, first_id, version, deadline_at)
        return version

    def _describe_readings(self) -> dict[str, float | None]:
        """Returns the ages of what this host knows of versions, seconds."""
        if self.version_log is None:
            return {}
        return {
            'read_age_s': _show_age(self.version_log.read_age_s()),
            'list_age_s': _show_age(self.version_log.list_age_s()),
        }

    async def _look_up(
        self, service: str, first_id: str
    ) -> tuple[str, str, str]:
        """Finds the version of a stream.

        Returns:
            The version, who knew it, and why others could not tell.
        """
        now = asyncio.get_running_loop().time()
        known = self.records.find(first_id, now) if first_id else None
        if known is not None and known.witness is None:
            return known.version, 'kept', ''
        logged = self._find_logged(first_id)
        if logged:
            return logged, 'logged', ''
        cause = await self._confirm()
        logged = self._find_logged(first_id)
        if logged:
            return logged, 'logged', cause
        if logged == CONTESTED or self.records.is_contested(first_id):
            return '', 'unknown', CONTESTED_CAUSE
        if not cause:
            sole = self._find_sole(service)
            if sole:
                return sole, 'sole', ''
            cause = 'no single version is known to have run'
        version = await self._find_shown(first_id)
        if version:
            return version, 'kept', cause
        version, source = await self._ask_repeatedly(first_id)
        if source == 'contested':
            return '', 'unknown', CONTESTED_CAUSE
        return version, source, cause

    async def confirm_begun(
        self, service: str, request_id: str, version: str
    ) -> bool:
        """Returns whether a stream that began here is shown to have a version.

        Args:
            service: service of the stream.
            request_id: id of the send that brought its first event.
            version: the version that it is believed to have.
        """
        if not version:
            return True
        now = asyncio.get_running_loop().time()
        known = self.records.find(request_id, now)
        if known is not None and known.witness is None:
            return known.version == version
        if self.records.is_contested(request_id):
            return False
        # Its engine has probably ended, so that asking it comes last.
        if not await self._confirm() and self._find_sole(service) == version:
            return True
        return await self._find_shown(request_id) == version

    async def _find_shown(self, request_id: str) -> str:
        """Returns the version that this host keeps, if it is right."""
        now = asyncio.get_running_loop().time()
        record = self.records.find(request_id, now) if request_id else None
        if record is None:
            return ''
        if record.witness is not None:
            evidence = await self._settle(request_id, record.witness)
            if evidence is not VersionEvidence.SHOWN:
                return ''
        return record.version

    async def _confirm(self) -> str:
        """Reads anew which versions have run.

        A host that is cut off, or was stopped, notices nothing of it by
        itself. Engines are listed before a stream begins at them, so a reading
        that begins now knows the versions of all streams that callers take up.

        Returns:
            Why that can't be told, '' if it was read.
        """
        if self.version_log is None:
            return 'no platform tells which versions have run'
        try:
            await self.version_log.confirm()
        except LogUnavailableError as error:
            self._metrics.count('stream_versions_unconfirmed')
            return f'not read which versions have run: {error}'
        return ''

    def _find_sole(self, service: str) -> str:
        """Returns the only version that has run, as far as this host knows."""
        if self.version_log is None:
            return ''
        return self.version_log.find_sole_version(service)

    async def _ask_repeatedly(self, first_id: str) -> tuple[str, str]:
        """Asks peers for a version while any of them answers.

        Returns:
            The version, and 'told', 'logged', 'contested' or 'unknown'.
        """
        for number in range(LOOKUP_ROUNDS if first_id else 0):
            if number:
                await asyncio.sleep(LOOKUP_PAUSE_S)
            answers = self._keepers.answers
            version = await self._keepers.ask(first_id)
            if version == CONTESTED:
                return '', 'contested'
            if version:
                return version, 'told'
            logged = self._find_logged(first_id)
            if logged:
                return logged, 'logged'
            if self._keepers.answers == answers:
                break
        return '', 'unknown'

    def _find_logged(self, first_id: str) -> str | None:
        """Returns the version of a stream that a host put on the platform."""
        if self.version_log is None or not first_id:
            return None
        return self.version_log.find_stream(first_id)

    async def _settle(
        self, request_id: str, witness: VersionWitness
    ) -> VersionEvidence:
        """Asks the witness of a stream, and notes what it finds."""
        evidence = await witness.ask()
        if evidence is VersionEvidence.REFUTED:
            self._metrics.count('stream_versions_refuted')
        self.records.settle(request_id, evidence)
        return evidence

    async def _on_notice(
        self, sender: str, request: VersionNotice
    ) -> Acknowledgement:
        now = asyncio.get_running_loop().time()
        for stream in request.streams[:MAX_NOTICE_STREAMS]:
            if stream.keep_s > 0:
                self.records.add(
                    stream.request_id, stream.version, stream.keep_s, now
                )
        return Acknowledgement()

    async def _on_lookup(
        self, sender: str, request: VersionLookup
    ) -> VersionReply:
        if self.records.is_contested(request.request_id):
            # Hosts of earlier releases take the empty version for none.
            return VersionReply(True)
        version = await self._find_shown(request.request_id)
        now = asyncio.get_running_loop().time()
        record = self.records.find(request.request_id, now)
        if record is None or not version:
            return VersionReply(False)
        return VersionReply(True, version, record.expires_at - now)


def _show_age(age_s: float) -> float | None:
    """Returns an age as logs show it, None where nothing was ever read."""
    return round(age_s, 3) if math.isfinite(age_s) else None
