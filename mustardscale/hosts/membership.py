"""Finds from heartbeats which hosts are live."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import math
import random
from collections.abc import Iterator

from mustardscale.blackboard import (
    NO_BEAT,
    BeatTime,
    Blackboard,
    HostEntry,
)
from mustardscale.controller import Controller, pause
from mustardscale.exceptions import PeerGoneError, PeerUnavailableError
from mustardscale.hosts.endpoint_loads import EndpointLoads
from mustardscale.hosts.heartbeat_hubs import HeartbeatHubs
from mustardscale.hosts.hub_view import ViewDelta
from mustardscale.hosts.quorum import Quorum
from mustardscale.hosts.stated_limits import StatedLimits, merge_statement
from mustardscale.hosts.stream_copies import StreamCopies
from mustardscale.peers.forward_messages import ForwardCall
from mustardscale.peers.load_messages import EndpointLoad
from mustardscale.peers.peer_calls import PeerCalls
from mustardscale.peers.peer_messages import HeardHost, Heartbeat

log = logging.getLogger(__name__)

# Seconds for which a report that an endpoint is leaving, by a peer or by the
# endpoint itself, overrides a host list that does not show it yet.
LEAVING_MEMORY_S = 30.0
# Interval at which all endpoints are checked for those that are leaving,
# seconds. It is a small part of the 3 s after which these get no new work.
LEAVING_INTERVAL_S = 0.25
# Heartbeat intervals of silence after which peers are asked whether they hear a
# host. Two exchanges with the host have failed by then, and there is time for
# several answers before the host counts as dead.
UNHEARD_AFTER_INTERVALS = 1.5


@dataclasses.dataclass(slots=True, kw_only=True)
class MembershipTimes:
    """Intervals of the membership controller, seconds.

    Attributes:
        heartbeat_s: interval between heartbeats to a peer.
        answer_s: timeout of an answer, after which the next heartbeat is sent;
            it is short enough that a lost message does not make a peer look
            dead.
        dead_after_s: silence after which a peer counts as dead.
        host_list_s: interval between reads of the host list.
    """

    heartbeat_s: float = 0.5
    answer_s: float = 0.75
    dead_after_s: float = 2.5
    host_list_s: float = 1.0


class HeartbeatController(Controller):
    """Exchanges heartbeats with peers and decides which hosts are live.

    Attributes:
        hubs: decides with which hosts heartbeats are exchanged.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        calls: PeerCalls,
        times: MembershipTimes,
        rng: random.Random,
    ):
        self._blackboard = blackboard
        self._calls = calls
        self._times = times
        self._rng = rng
        self._in_flight: dict[str, asyncio.Task[None]] = {}
        self.hubs = HeartbeatHubs(blackboard, times.dead_after_s)
        self._quorum = Quorum(blackboard, self.hubs)
        self._copies: StreamCopies | None = None
        self._loads: EndpointLoads | None = None
        self._leaving: tuple[str, ...] = ()
        self._leaving_at = -math.inf
        self._relayed: tuple[str, ...] = ()
        self._relayed_at = -math.inf
        self._stated_limits = StatedLimits(blackboard)
        calls.handle(Heartbeat, self._on_heartbeat)

    def report_streams(self, copies: StreamCopies) -> None:
        """Adds to heartbeats how far the platform's streams have been read."""
        self._copies = copies

    def report_loads(self, loads: EndpointLoads) -> None:
        """Adds to heartbeats which calls are open at plain endpoints."""
        self._loads = loads

    async def run(self) -> None:
        """Exchanges heartbeats at a fixed interval."""
        try:
            while True:
                self.hubs.choose()
                self.hubs.update_view()
                for host in list(self._blackboard.hosts_by_id.values()):
                    if host.id not in self._in_flight and self._starts_exchange(
                        host
                    ):
                        task = asyncio.create_task(self._exchange(host.id))
                        self._in_flight[host.id] = task
                self._mark_silent()
                self._quorum.update()
                await pause(self._times.heartbeat_s, self._rng)
        finally:
            for task in self._in_flight.values():
                task.cancel()

    def _starts_exchange(self, host: HostEntry) -> bool:
        """Returns whether this host starts the exchange with another one.

        The host of the pair whose id sorts first starts it. The other one does
        too while it receives no heartbeats.
        """
        if not self.hubs.exchanges_with(host.id):
            return False
        return self._blackboard.host < host.id or self._is_unheard(host)

    def _is_unheard(self, host: HostEntry) -> bool:
        now = asyncio.get_running_loop().time()
        silent_s = now - host.heard_at
        return silent_s > UNHEARD_AFTER_INTERVALS * self._times.heartbeat_s

    async def announce(self) -> None:
        """Sends a heartbeat to every live peer at once."""
        hosts = [
            host
            for host in self._blackboard.live_hosts()
            if host != self._blackboard.host
        ]
        await asyncio.gather(*(self._exchange(host) for host in hosts))

    async def meet(self, host: str) -> None:
        """Exchanges a heartbeat with a host that hubs tell of."""
        if host not in self._in_flight:
            task = asyncio.create_task(self._exchange(host))
            self._in_flight[host] = task
            await task

    def heartbeat(self, peer: str) -> Heartbeat:
        """Returns the heartbeat of this host to a peer."""
        now = asyncio.get_running_loop().time()
        board = self._blackboard
        known = board.hosts_by_id.get(peer)
        echo = known.last_beat if known is not None else NO_BEAT
        delta = self._delta_for(known, now)
        return Heartbeat(
            host=board.host,
            incarnation=board.incarnation,
            data_centre=board.data_centre,
            draining=board.draining,
            config_offset=board.config.folded_offset,
            config_digest=board.config.digest(),
            leaving=self._leaving_endpoints(now),
            heard=delta.heard,
            unheard=self._unheard_hosts(),
            sent_at=now,
            echo_at=echo.sent_at,
            echo_incarnation=echo.incarnation,
            address=board.address,
            heard_digest=self.hubs.heard_digest,
            known_digest=self.hubs.known_digest(peer),
            quorum_age_s=self._quorum.hub_quorum_age_s(now),
            relayed_leaving=self._relayed_leaving(now),
            heard_since=delta.since,
            lost=delta.lost,
            capacity=board.capacity,
            streams=self._copies.statuses(now) if self._copies else (),
            rate_limits=self._stated_limits.list_for(known, now),
            forwards=self._calls.handles(ForwardCall),
            loads=self._loads.list_own() if self._loads else (),
            summed_loads=self._sum_loads(peer, now),
        )

    def _sum_loads(self, peer: str, now: float) -> tuple[EndpointLoad, ...]:
        """Returns the open calls that a hub tells a peer of."""
        if self._loads is None or not self.hubs.is_hub:
            return ()
        return self._loads.list_sum(peer, now)

    def _unheard_hosts(self) -> tuple[str, ...]:
        """Returns the hosts whose heartbeats are missing, if in a mesh."""
        if not self.hubs.is_mesh:
            return ()
        hosts = self._blackboard.hosts_by_id.values()
        return tuple(host.id for host in hosts if self._is_unheard(host))

    def _leaving_endpoints(self, now: float) -> tuple[str, ...]:
        """Returns the endpoints that this host knows to be leaving.

        The result is kept for LEAVING_INTERVAL_S, as there are many heartbeats
        and endpoints.
        """
        if now - self._leaving_at >= LEAVING_INTERVAL_S:
            self._leaving_at = now
            self._leaving = tuple(
                endpoint.id
                for endpoint in self._blackboard.endpoints_by_id.values()
                if endpoint.known_leaving(now)
            )
        return self._leaving

    def _relayed_leaving(self, now: float) -> tuple[str, ...]:
        """Returns the endpoints that peers reported to this hub as leaving.

        Only what peers know themselves is relayed; otherwise a report would
        circulate among the hubs for ever.
        """
        if not self.hubs.is_hub:
            return ()
        if now - self._relayed_at >= LEAVING_INTERVAL_S:
            self._relayed_at = now
            leaving_ids = {
                endpoint
                for host in self._blackboard.hosts_by_id.values()
                if not host.silent
                for endpoint in host.leaving
            }
            self._relayed = tuple(sorted(leaving_ids))
        return self._relayed

    def _delta_for(self, asking: HostEntry | None, now: float) -> ViewDelta:
        """Returns the heard hosts that a heartbeat to a peer must report."""
        if asking is None:
            return ViewDelta()
        if self.hubs.is_mesh:
            return ViewDelta(heard=tuple(self._reports_on_unheard(asking, now)))
        return self.hubs.delta_for(asking.known_digest)

    def _reports_on_unheard(
        self, asking: HostEntry, now: float
    ) -> Iterator[HeardHost]:
        """Yields the hosts that this host hears and a peer does not."""
        for name in asking.unheard:
            host = self._blackboard.hosts_by_id.get(name)
            if host is None:
                continue
            age_s = now - host.heard_at
            if age_s <= self._times.dead_after_s:
                yield HeardHost(host.id, host.incarnation, host.draining, age_s)

    async def _exchange(self, host: str) -> None:
        sent_at = asyncio.get_running_loop().time()
        try:
            reply = await self._calls.call(
                host, self.heartbeat(host), Heartbeat, self._times.answer_s
            )
        except PeerUnavailableError as error:
            log.debug('no heartbeat from %s: %s', host, error)
            if isinstance(error, PeerGoneError):
                self._note_gone(host, sent_at)
        else:
            self._quorum.note_answer(host, sent_at)
            self._merge_heartbeat(reply)
        finally:
            self._in_flight.pop(host, None)

    def _note_gone(self, host_id: str, asked_at: float) -> None:
        """Marks a host whose process has ended as silent.

        Args:
            host_id: id of the host.
            asked_at: loop time at which the failed heartbeat was sent. A
                heartbeat received since comes from a restarted process.
        """
        host = self._blackboard.hosts_by_id.get(host_id)
        if host is None or host.silent or host.heard_at > asked_at:
            return
        log.warning('host %s is gone', host_id)
        host.silent = True
        host.silent_since = host.gone_at = asyncio.get_running_loop().time()
        host.heard_at = host.told_at = -math.inf
        self._blackboard.membership_changed.notify()

    async def _on_heartbeat(
        self, sender: str, heartbeat: Heartbeat
    ) -> Heartbeat:
        if sender == heartbeat.host:
            self._merge_heartbeat(heartbeat)
        return self.heartbeat(sender)

    def _merge_heartbeat(self, heartbeat: Heartbeat) -> None:
        now = asyncio.get_running_loop().time()
        host = self._blackboard.hosts_by_id.get(heartbeat.host)
        if host is None:
            host = self._add_unlisted_host(heartbeat)
        if host is None or heartbeat.incarnation < host.incarnation:
            return
        self._quorum.note_echo(heartbeat, now)
        self.hubs.merge_heartbeat(heartbeat, now)
        last_beat = BeatTime(heartbeat.incarnation, heartbeat.sent_at)
        host.last_beat = max(host.last_beat, last_beat)
        changed = (
            host.silent
            or host.incarnation != heartbeat.incarnation
            or host.draining != heartbeat.draining
        )
        if host.silent or host.incarnation != heartbeat.incarnation:
            host.met_at = now
        host.heard_at = now
        host.config_offset = heartbeat.config_offset
        host.unheard = heartbeat.unheard
        host.known_digest = heartbeat.known_digest
        host.leaving = heartbeat.leaving
        host.silent = False
        host.incarnation = heartbeat.incarnation
        host.draining = heartbeat.draining
        host.capacity = heartbeat.capacity
        host.grants_permits = heartbeat.grants_permits
        host.grants_quotas = heartbeat.grants_quotas
        host.keeps_versions = heartbeat.keeps_versions
        host.forwards = heartbeat.forwards
        self._merge_leaving(heartbeat, now)
        for statement in heartbeat.rate_limits:
            merge_statement(self._blackboard, statement, now)
        if self._loads is not None:
            self._loads.merge(
                heartbeat.host, heartbeat.loads, heartbeat.summed_loads, now
            )
        if self._copies is not None:
            self._copies.merge_statuses(heartbeat.host, heartbeat.streams, now)
        if self.hubs.is_mesh:
            for heard in heartbeat.heard:
                self._merge_peer_report(heard, now - heard.age_s, now)
        config = self._blackboard.config
        if heartbeat.config_offset > config.folded_offset:
            self._blackboard.config_changed.notify()
        if changed:
            log.info(
                'host %s is live, incarnation %d', host.id, host.incarnation
            )
            self._blackboard.membership_changed.notify()

    def _add_unlisted_host(self, heartbeat: Heartbeat) -> HostEntry | None:
        """Adds a host whose heartbeat has its address, before it is listed."""
        if not heartbeat.address or heartbeat.host == self._blackboard.host:
            return None
        host = HostEntry(
            heartbeat.host,
            heartbeat.address,
            heartbeat.data_centre,
            capacity=heartbeat.capacity,
            listed=False,
        )
        self._blackboard.hosts_by_id[heartbeat.host] = host
        return host

    def _merge_peer_report(
        self, heard: HeardHost, told_at: float, now: float
    ) -> None:
        """Merges a peer's report that a host is live.

        Two hosts that can not reach each other must not choose different
        owners and homes while other hosts hear both.

        Args:
            heard: the reported host.
            told_at: loop time at which the host was live.
            now: loop time.
        """
        host = self._blackboard.hosts_by_id.get(heard.host)
        if host is None or heard.incarnation < host.incarnation:
            return
        if heard.incarnation == host.incarnation and (
            now - host.gone_at <= self._times.dead_after_s
        ):
            # The peer has not yet detected that the host's process has ended.
            return
        if told_at <= max(host.heard_at, host.told_at):
            return
        host.told_at = told_at
        changed = (
            host.silent
            or host.incarnation != heard.incarnation
            or host.draining != heard.draining
        )
        if host.incarnation != heard.incarnation:
            # Its new process may be of an earlier release.
            host.forwards = False
        host.incarnation = heard.incarnation
        host.draining = heard.draining
        if changed and now - told_at <= self._times.dead_after_s:
            host.silent = False
            log.info('host %s is live as reported by a peer', host.id)
            self._blackboard.membership_changed.notify()

    def _merge_leaving(self, heartbeat: Heartbeat, now: float) -> None:
        for endpoint_id in (*heartbeat.leaving, *heartbeat.relayed_leaving):
            endpoint = self._blackboard.endpoints_by_id.get(endpoint_id)
            if endpoint is not None and not endpoint.leaving(now):
                endpoint.told_leaving_until = now + LEAVING_MEMORY_S
                self._blackboard.membership_changed.notify()

    def _mark_silent(self) -> None:
        now = asyncio.get_running_loop().time()
        changed = False
        named = self._merge_hub_views(now)
        for host in self._blackboard.hosts_by_id.values():
            live_at = max(host.heard_at, host.told_at)
            if named is not None and host.id not in named:
                live_at = host.heard_at
            overdue = now - live_at > self._times.dead_after_s
            if overdue and not host.silent:
                log.warning('host %s is silent', host.id)
                host.silent = True
                host.silent_since = now
                changed = True
        if changed:
            self._blackboard.membership_changed.notify()

    def _merge_hub_views(self, now: float) -> set[str] | None:
        """Merges the recent views of the hubs.

        Returns:
            Ids of the hosts in these views, None if there is no recent view.
        """
        recent_views = self.hubs.recent_views(now)
        for reported in recent_views:
            for heard in reported.view.heard:
                self._merge_peer_report(heard, reported.reported_at, now)
        if not recent_views:
            return None
        return set().union(*(reported.view.names for reported in recent_views))
