"""Keeps the known hosts and endpoints up to date from the host list."""

from __future__ import annotations

import asyncio
import logging
import math
import random

from mustardscale.blackboard import Blackboard, EndpointEntry, HostEntry
from mustardscale.controller import Controller, spread
from mustardscale.exceptions import PeerUnavailableError
from mustardscale.hosts.host_list import HostList, ListedHost, ListedKind
from mustardscale.hosts.membership import MembershipTimes
from mustardscale.hosts.quorum import counts_as_listed
from mustardscale.reporting.event_log import EventKind

log = logging.getLogger(__name__)

# Hosts that are unlisted and silent for this long are forgotten, seconds.
FORGET_AFTER_S = 60.0
# After the list can be read again, endpoints whose entries expired meanwhile
# may return within this time, seconds. Those still missing then are removed.
EXPIRY_GRACE_S = 2.0
# Versions of engines that have come, at most; the oldest go.
MAX_VERSIONS = 1_000
# If more than this share of the endpoints is missing at once, their entries are
# taken to have expired.
MASS_EXPIRY_SHARE = 0.5


class HostListController(Controller):
    """Reads the host list into the blackboard."""

    def __init__(
        self,
        blackboard: Blackboard,
        host_list: HostList,
        times: MembershipTimes,
        rng: random.Random,
    ):
        self._blackboard = blackboard
        self._host_list = host_list
        self._times = times
        self._rng = rng
        self.fetched_at: float | None = None
        self.version = 0
        self._applied: list[ListedHost] | None = None
        self._expiry_grace_ends_at = -math.inf
        # Loop time at which an engine of a model was last found to have come
        # with a version, by model and version.
        self.came_at_by_version: dict[tuple[str, str], float] = {}

    async def run(self) -> None:
        """Reads the list at each reported change, and at an interval."""
        while True:
            began_at = asyncio.get_running_loop().time()
            try:
                listed = await self._host_list.fetch()
            except PeerUnavailableError as error:
                log.warning('host list not read, keeping the last: %s', error)
                self._blackboard.host_list_current = False
                self.add_hosts(self._host_list.entry_hosts())
            else:
                self._blackboard.host_list_current = (
                    self._host_list.is_current()
                )
                self.fetched_at = asyncio.get_running_loop().time()
                if self._host_list.version >= self.version:
                    self.version = self._host_list.version
                    self.apply(listed)
                    self._confirm_versions(listed, began_at)
            await self._host_list.wait_changed(self._pause_s())

    async def confirm(self) -> None:
        """Merges what a reading finds that begins now.

        Raises:
            PeerUnavailableError: the list could not be read.
        """
        await self._host_list.confirm()
        listed = await self._host_list.fetch()
        if self._host_list.version < self.version:
            raise PeerUnavailableError('a peer has read a newer list')
        self.version = self._host_list.version
        self.apply(listed)

    def age_s(self) -> float:
        """Returns the seconds since nothing newer was known to be listed."""
        return self._host_list.age_s()

    def _pause_s(self) -> float:
        """Returns the seconds until the list is read again without a change."""
        pause_s = spread(self._times.host_list_s, self._rng)
        now = asyncio.get_running_loop().time()
        if self._expiry_grace_ends_at > now:
            pause_s = min(pause_s, self._expiry_grace_ends_at - now)
        return pause_s

    @property
    def listed(self) -> list[ListedHost]:
        """The list that was merged last."""
        return self._applied or []

    def copy(self, listed: list[ListedHost], version: int) -> bool:
        """Merges a list that a peer has read, if it is newer than this one.

        Returns:
            Whether it was merged.
        """
        if version <= self.version:
            return False
        self.version = version
        self.apply(listed)
        return True

    def add_hosts(self, listed: list[ListedHost]) -> None:
        """Adds the entry hosts of a list, and ignores all else in it."""
        hosts_by_id = self._blackboard.hosts_by_id
        known = len(hosts_by_id)
        for host in listed:
            if host.kind is ListedKind.ENTRY and host.id not in hosts_by_id:
                self._add_host(host)
        if len(hosts_by_id) > known:
            self._blackboard.membership_changed.notify()

    def _add_host(self, host: ListedHost) -> None:
        if host.id == self._blackboard.host:
            return
        self._blackboard.hosts_by_id[host.id] = HostEntry(
            host.id,
            host.address,
            host.data_centre,
            host.operators_address,
            host.capacity,
            silent_since=asyncio.get_running_loop().time(),
        )

    def apply(self, listed: list[ListedHost]) -> None:
        """Merges the list into the blackboard."""
        self._blackboard.host_list_read = True
        now = asyncio.get_running_loop().time()
        for passed in self._host_list.take_passed():
            self._note_version(passed, now)
        changed = self._apply_hosts(listed, now)
        if listed is not self._applied or self._expiry_grace_ends_at > 0:
            changed = self._apply_endpoints(listed, now) or changed
            self._applied = listed
        if changed:
            self._blackboard.membership_changed.notify()

    def _apply_hosts(self, listed: list[ListedHost], now: float) -> bool:
        hosts_by_id = self._blackboard.hosts_by_id
        entries = [
            host
            for host in listed
            if host.kind is ListedKind.ENTRY
            and host.id != self._blackboard.host
        ]
        changed = False
        for host in entries:
            known = hosts_by_id.get(host.id)
            if known is None or known.address != host.address:
                self._add_host(host)
                changed = True
        listed_ids = {host.id for host in entries}
        for known in list(hosts_by_id.values()):
            known.listed = known.id in listed_ids
            if known.listed:
                known.listed_at = now
            gone = known.silent and now - known.silent_since > FORGET_AFTER_S
            if gone and not counts_as_listed(known, now):
                del hosts_by_id[known.id]
                changed = True
        return changed

    def _apply_endpoints(self, listed: list[ListedHost], now: float) -> bool:
        endpoints_by_id = self._blackboard.endpoints_by_id
        entries = [host for host in listed if host.kind is not ListedKind.ENTRY]
        changed = False
        for host in entries:
            known = endpoints_by_id.get(host.id)
            if known is None or not _is_same_process(known, host):
                known = endpoints_by_id[host.id] = self._make_endpoint(host)
                self._blackboard.place(known)
                self._emit_change(known, 'listed')
                changed = True
            changed = self._apply_leaving(known, host.leaving) or changed
        listed_ids = {host.id for host in entries}
        gone = [key for key in endpoints_by_id if key not in listed_ids]
        if gone and self._may_return(len(gone), len(endpoints_by_id), now):
            for key in gone:
                endpoints_by_id[key].listed = False
            return changed
        for key in gone:
            self._emit_change(endpoints_by_id.pop(key), 'gone')
            self._blackboard.notices.mark_unlisted(key, now)
        return changed or bool(gone)

    def _confirm_versions(
        self, listed: list[ListedHost], began_at: float
    ) -> None:
        """Ties versions to processes where the list states no start numbers.

        Args:
            listed: the list.
            began_at: loop time at which its reading began.
        """
        for host in listed:
            known = self._blackboard.endpoints_by_id.get(host.id)
            if known is not None and host.version and not host.start:
                known.confirm_version(began_at)

    def _apply_leaving(self, known: EndpointEntry, leaving: bool) -> bool:
        """Updates from the list whether an endpoint is leaving.

        A process with a known start number never returns from leaving: a list
        by which it does was read from an older copy.

        Returns:
            Whether anything changed.
        """
        if leaving and known.notice.start:
            known.notice.leaving = True
        if known.listed_leaving == leaving and known.listed:
            return False
        known.listed_leaving = leaving
        known.listed = True
        if leaving:
            self._emit_change(known, 'leaving')
        elif not known.notice.leaving:
            self._emit_change(known, 'back')
        return True

    def _emit_change(self, endpoint: EndpointEntry, change: str) -> None:
        """Emits the event of a change of an endpoint."""
        self._blackboard.events.emit(
            EventKind.ENDPOINT_CHANGED,
            endpoint=endpoint.id,
            change=change,
            service=endpoint.service,
            role=endpoint.role or '',
            version=endpoint.version,
            list_version=self.version,
        )

    def _may_return(self, gone: int, known: int, now: float) -> bool:
        """Returns whether missing entries may have expired and may return.

        Entries can expire while the list can not be read. If most entries are
        missing at once, they are taken to have expired too.
        """
        ends_at = self._host_list.regained_at + EXPIRY_GRACE_S
        if gone > 1 and gone > known * MASS_EXPIRY_SHARE and ends_at < now:
            ends_at = self._expiry_grace_ends_at
            if ends_at < 0:
                ends_at = now + EXPIRY_GRACE_S
        self._expiry_grace_ends_at = ends_at if ends_at > now else -math.inf
        return ends_at > now

    def _note_version(self, host: ListedHost, now: float) -> None:
        """Notes the version of an engine that has come."""
        if host.kind is not ListedKind.ENGINE or not host.version:
            return
        came_at_by_version = self.came_at_by_version
        came_at_by_version.pop((host.model, host.version), None)
        came_at_by_version[host.model, host.version] = now
        if len(came_at_by_version) > MAX_VERSIONS:
            del came_at_by_version[next(iter(came_at_by_version))]

    def _make_endpoint(self, host: ListedHost) -> EndpointEntry:
        """Makes the blackboard's entry for a listed endpoint."""
        self._note_version(host, asyncio.get_running_loop().time())
        return EndpointEntry(
            id=host.id,
            kind=host.kind,
            address=host.address,
            data_centre=host.data_centre,
            region=host.region,
            service=host.service,
            model=host.model,
            role=host.role,
            fencing=host.fencing,
            listed_model=host.model,
            listed_role=host.role,
            version=host.version,
            version_start=host.start,
            notice=self._blackboard.notices.get_or_create(host.id, host.start),
        )


def _is_same_process(known: EndpointEntry, host: ListedHost) -> bool:
    """Returns whether a listed endpoint is the process already known."""
    same_address = known.address == host.address
    same_version = known.version == host.version
    return same_address and same_version and known.notice.start == host.start
