"""Which hosts are live, from heartbeats."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import math
import random
from collections.abc import Callable, Iterator

from mustardscale.blackboard import (
    NO_BEAT,
    BeatTime,
    Blackboard,
    HostEntry,
    Suspicion,
)
from mustardscale.controller import Controller, pause
from mustardscale.exceptions import PeerGoneError, PeerUnavailableError
from mustardscale.peers.peer_calls import PeerCalls
from mustardscale.peers.peer_messages import HeardHost, Heartbeat, Quarantine
from mustardscale.reporting.event_log import EventKind

log = logging.getLogger(__name__)

# Seconds for which a peer's or an endpoint's own word that it is leaving
# outweighs a host list that does not say so yet.
LEAVING_MEMORY_S = 30.0
# A host answers for others' sake, as a home or as the holder of a stream, only
# if a majority of the listed hosts answered a heartbeat that it sent within
# this time, seconds. Less than the silence after which it counts as dead.
QUORUM_LEASE_S = 2.0
# Interval at which all endpoints are gone through for those that are leaving,
# seconds; a small part of the 3 s after which these get no new work.
LEAVING_INTERVAL_S = 0.25
# Heartbeat intervals of silence after which peers are asked for their word of a
# host; two exchanges with each have failed then, and the silence after which a
# host counts as dead leaves time for several answers.
ASK_AFTER_BEATS = 1.5
# Interval at which membership is looked at without a change, seconds.
FOLLOW_INTERVAL_S = 2.0


@dataclasses.dataclass(slots=True)
class MembershipTimes:
    """Intervals of the membership controller, seconds.

    Attributes:
        heartbeat_s: between heartbeats to a peer.
        answer_s: wait for an answer, after which the next one is sent; so a
            lost message does not let a peer look dead.
        dead_after_s: silence after which a peer counts as dead.
        host_list_s: between reads of the host list.
    """

    heartbeat_s: float = 0.5
    answer_s: float = 0.75
    dead_after_s: float = 2.5
    host_list_s: float = 1.0


class HeartbeatController(Controller):
    """Exchanges heartbeats with the peers and decides who is live."""

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
        self._answered_sent_at_by_host: dict[str, float] = {}
        self._leaving: tuple[str, ...] = ()
        self._leaving_at = -math.inf
        calls.handle(Heartbeat, self._on_heartbeat)

    async def run(self) -> None:
        """Exchanges heartbeats with each peer at a fixed interval."""
        try:
            while True:
                for host in list(self._blackboard.hosts_by_id.values()):
                    if host.id not in self._in_flight and self._begins(host):
                        task = asyncio.create_task(self._exchange(host.id))
                        self._in_flight[host.id] = task
                self._mark_silent()
                self._update_quorum()
                await pause(self._times.heartbeat_s, self._rng)
        finally:
            for task in self._in_flight.values():
                task.cancel()

    def _begins(self, host: HostEntry) -> bool:
        """Returns whether this host begins the exchange of a pair.

        The one whose id is first does; the other one too, when it hears
        nothing.
        """
        return self._blackboard.host < host.id or self._is_unheard(host)

    def _is_unheard(self, host: HostEntry) -> bool:
        now = asyncio.get_running_loop().time()
        silent_s = now - host.heard_at
        return silent_s > ASK_AFTER_BEATS * self._times.heartbeat_s

    async def announce(self) -> None:
        """Sends a heartbeat to every live peer at once."""
        hosts = [
            host
            for host in self._blackboard.live_hosts()
            if host != self._blackboard.host
        ]
        await asyncio.gather(*(self._exchange(host) for host in hosts))

    def heartbeat(self, peer: str) -> Heartbeat:
        """Returns what this host tells a peer."""
        now = asyncio.get_running_loop().time()
        board = self._blackboard
        known = board.hosts_by_id.get(peer)
        echo = known.last_beat if known is not None else NO_BEAT
        quarantined = [
            Quarantine(key, suspicion.crashes, now - suspicion.last_at, 1)
            for key, suspicion in board.suspicions_by_key.items()
            if suspicion.quarantined
        ]
        return Heartbeat(
            host=board.host,
            incarnation=board.incarnation,
            data_centre=board.data_centre,
            draining=board.draining,
            config_offset=board.config.folded_offset,
            config_digest=board.config.digest(),
            leaving=self._leaving_endpoints(now),
            quarantined=tuple(quarantined),
            heard=tuple(self._word_for(peer, now)),
            unheard=tuple(
                host.id
                for host in board.hosts_by_id.values()
                if self._is_unheard(host)
            ),
            sent_at=now,
            echo_at=echo.sent_at,
            echo_incarnation=echo.incarnation,
            address=board.address,
        )

    def _leaving_endpoints(self, now: float) -> tuple[str, ...]:
        """Returns the endpoints that this host knows to be leaving.

        They are looked for now and then: heartbeats and endpoints are many.
        """
        if now - self._leaving_at >= LEAVING_INTERVAL_S:
            self._leaving_at = now
            self._leaving = tuple(
                endpoint.id
                for endpoint in self._blackboard.endpoints_by_id.values()
                if endpoint.known_leaving(now)
            )
        return self._leaving

    def _word_for(self, peer: str, now: float) -> Iterator[HeardHost]:
        """Yields the hosts heard here that a peer does not hear."""
        hosts_by_id = self._blackboard.hosts_by_id
        asking = hosts_by_id.get(peer)
        for name in asking.unheard if asking is not None else ():
            host = hosts_by_id.get(name)
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
            answered_at = self._answered_sent_at_by_host.get(host, sent_at)
            self._answered_sent_at_by_host[host] = max(answered_at, sent_at)
            self._hear(reply)
        finally:
            self._in_flight.pop(host, None)

    def _note_gone(self, host_id: str, asked_at: float) -> None:
        """Takes a host for dead whose process has ended.

        Args:
            host_id: its id.
            asked_at: loop time at which it was asked; a heartbeat that came
                since is of a process that has started anew.
        """
        host = self._blackboard.hosts_by_id.get(host_id)
        if host is None or host.silent or host.heard_at > asked_at:
            return
        log.warning('host %s is gone', host_id)
        host.silent = True
        host.silent_since = asyncio.get_running_loop().time()
        host.heard_at = host.told_at = -math.inf
        self._blackboard.membership_changed.notify()

    async def _on_heartbeat(self, sender: str, beat: Heartbeat) -> Heartbeat:
        if sender == beat.host:
            self._hear(beat)
        return self.heartbeat(sender)

    def _hear(self, beat: Heartbeat) -> None:
        now = asyncio.get_running_loop().time()
        host = self._blackboard.hosts_by_id.get(beat.host)
        if host is None:
            host = self._introduced(beat)
        if host is None or beat.incarnation < host.incarnation:
            return
        self._take_echo(beat, now)
        last_beat = BeatTime(beat.incarnation, beat.sent_at)
        host.last_beat = max(host.last_beat, last_beat)
        changed = (
            host.silent
            or host.incarnation != beat.incarnation
            or host.draining != beat.draining
        )
        host.heard_at = now
        host.config_offset = beat.config_offset
        host.unheard = beat.unheard
        host.silent = False
        host.incarnation = beat.incarnation
        host.draining = beat.draining
        self._merge_leaving(beat, now)
        self._merge_quarantine(beat, now)
        for heard in beat.heard:
            self._take_word(heard, now)
        config = self._blackboard.config
        if beat.config_offset > config.folded_offset:
            self._blackboard.config_changed.notify()
        if changed:
            log.info(
                'host %s is live, incarnation %d', host.id, host.incarnation
            )
            self._blackboard.membership_changed.notify()

    def _introduced(self, beat: Heartbeat) -> HostEntry | None:
        """Adds a host that tells its address before the list names it."""
        if not beat.address or beat.host == self._blackboard.host:
            return None
        host = HostEntry(
            beat.host, beat.address, beat.data_centre, listed=False
        )
        self._blackboard.hosts_by_id[beat.host] = host
        return host

    def _take_echo(self, beat: Heartbeat, now: float) -> None:
        """Takes note that a peer has heard a heartbeat of this process.

        Just as good as an answer to it: the peer does not take this host for
        dead before the usual silence after it.
        """
        if beat.echo_incarnation != self._blackboard.incarnation:
            return
        answered_at = self._answered_sent_at_by_host.get(beat.host, -math.inf)
        if answered_at < beat.echo_at <= now:
            self._answered_sent_at_by_host[beat.host] = beat.echo_at

    def _take_word(self, heard: HeardHost, now: float) -> None:
        """Takes a peer's word that a host is live.

        Two hosts that are cut from each other must not choose different
        owners and homes while others hear both.
        """
        host = self._blackboard.hosts_by_id.get(heard.host)
        if host is None or heard.incarnation < host.incarnation:
            return
        told_at = now - heard.age_s
        if told_at <= max(host.heard_at, host.told_at):
            return
        host.told_at = told_at
        changed = (
            host.silent
            or host.incarnation != heard.incarnation
            or host.draining != heard.draining
        )
        host.incarnation = heard.incarnation
        host.draining = heard.draining
        if changed and now - told_at <= self._times.dead_after_s:
            host.silent = False
            log.info('host %s is live by the word of a peer', host.id)
            self._blackboard.membership_changed.notify()

    def _merge_leaving(self, beat: Heartbeat, now: float) -> None:
        for endpoint_id in beat.leaving:
            endpoint = self._blackboard.endpoints_by_id.get(endpoint_id)
            if endpoint is not None and not endpoint.leaving(now):
                endpoint.told_leaving_until = now + LEAVING_MEMORY_S
                self._blackboard.membership_changed.notify()

    def _merge_quarantine(self, beat: Heartbeat, now: float) -> None:
        suspicions = self._blackboard.suspicions_by_key
        for item in beat.quarantined:
            known = suspicions.get(item.key)
            if known is None or not known.quarantined:
                suspicions[item.key] = _suspicion_of(item, now)

    def _mark_silent(self) -> None:
        now = asyncio.get_running_loop().time()
        changed = False
        for host in self._blackboard.hosts_by_id.values():
            live_at = max(host.heard_at, host.told_at)
            overdue = now - live_at > self._times.dead_after_s
            if overdue and not host.silent:
                log.warning('host %s is silent', host.id)
                host.silent = True
                host.silent_since = now
                changed = True
        if changed:
            self._blackboard.membership_changed.notify()

    def _update_quorum(self) -> None:
        """Finds the newest send time that a majority has answered.

        A host that has not read the list yet does not know its peers, and so
        has no majority, also when it hears nobody.
        """
        if not self._blackboard.host_list_read:
            return
        now = asyncio.get_running_loop().time()
        listed = [
            host.id
            for host in self._blackboard.hosts_by_id.values()
            if host.listed and not host.draining
        ]
        answered = [
            self._answered_sent_at_by_host.get(host, float('-inf'))
            for host in listed
        ]
        needed = (len(listed) + 1) // 2
        newest_first = sorted(answered, reverse=True)
        quorum_at = newest_first[needed - 1] if needed else now
        board = self._blackboard
        had_quorum = math.isfinite(board.quorum_at)
        if had_quorum and quorum_at - board.quorum_at > QUORUM_LEASE_S:
            board.quorum_gap_at = now
        board.quorum_at = max(board.quorum_at, quorum_at)


class MembershipFollower(Controller):
    """Tells the parts that depend on it when membership changes."""

    def __init__(
        self, blackboard: Blackboard, followers: list[Callable[[], None]]
    ):
        self._blackboard = blackboard
        self._followers = followers

    async def run(self) -> None:
        """Runs the followers at each change, and now and then without one."""
        told: list[str] = []
        while True:
            for follow in self._followers:
                follow()
            live = self._blackboard.live_hosts()
            if live != told:
                told = live
                self._tell(live)
            await self._blackboard.membership_changed.wait(FOLLOW_INTERVAL_S)

    def _tell(self, live: list[str]) -> None:
        """Logs who is live now."""
        board = self._blackboard
        board.events.emit(
            EventKind.MEMBERSHIP_CHANGED,
            live=live,
            silent=sorted(set(board.hosts_by_id) - set(live)),
        )


def _suspicion_of(item: Quarantine, now: float) -> Suspicion:
    """Makes the blackboard's entry of a quarantine told by a peer."""
    return Suspicion(item.crashes, now - item.age_s, quarantined=True)
