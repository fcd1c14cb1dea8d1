"""The state of one process, which its controllers read and write."""

from __future__ import annotations

import asyncio
import dataclasses
import math
from typing import Any

from mustardscale.configuration.config_state import ConfigState
from mustardscale.endpoints.endpoint_notices import (
    EndpointNotice,
    EndpointNotices,
)
from mustardscale.endpoints.engines import (
    NO_PRIORITY,
    EngineRole,
    LoadReport,
    StreamStage,
    StreamTag,
)
from mustardscale.hosts.host_list import ListedKind
from mustardscale.orders.order_state import OrderState
from mustardscale.peers.directory_messages import DirectoryEntry
from mustardscale.peers.peer_messages import HeldStream
from mustardscale.quarantine.crash_evidence import CrashEvidence
from mustardscale.reporting.event_log import EventLog, NoEvents
from mustardscale.suspension import suspended_s
from mustardscale.traces.trace import (
    NoTrace,
    TraceEvent,
    TraceKind,
    TraceLine,
    TraceSink,
)

# Engines in one pool at most, unless a host is told otherwise.
MAX_POOL_ENGINES = 8


class Signal:
    """Wakes the tasks that wait for a change."""

    __slots__ = ('_event',)

    def __init__(self):
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Wakes all waiting tasks."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self, timeout_s: float) -> bool:
        """Waits for the next change; returns False after timeout_s."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._event.wait()
        except TimeoutError:
            return False
        return True


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class BeatTime:
    """When a process sent a heartbeat.

    Attributes:
        incarnation: start number of the process.
        sent_at: loop time there.
    """

    incarnation: int
    sent_at: float


NO_BEAT = BeatTime(0, 0.0)


@dataclasses.dataclass(slots=True)
class HostEntry:
    """An entry host as this process knows it.

    Attributes:
        id: its name.
        address: 'ip:port' for peers.
        data_centre: its data centre.
        capacity: its processor in usual cores, 1 while unknown.
        operators_address: 'ip:port' for operators.
        incarnation: start number of its process, 0 while unknown.
        listed: whether the host list names it.
        listed_at: loop time at which the host list last named it.
        draining: whether it takes no new requests.
        heard_at: loop time of the last heartbeat.
        told_at: loop time of the last heartbeat that a peer tells of.
        unheard: the hosts that it does not hear, by its last heartbeat.
        known_digest: digest of what it has of this host's word as a hub.
        leaving: the endpoints that it knows itself to be leaving.
        last_beat: when it sent the last heartbeat that came here.
        config_offset: configuration offset that it had folded then.
        silent: whether heartbeats have stopped.
        silent_since: loop time at which it was declared silent.
        met_at: loop time at which its present process was heard first.
        grants_permits: whether its version may own rate limits.
        grants_quotas: whether its version may own quotas of customers.
        keeps_versions: whether it keeps the software versions of streams.
        forwards: whether its process has said that it calls endpoints for
            others.
        gone_at: loop time at which its process was found to have ended.
    """

    id: str
    address: str
    data_centre: str
    operators_address: str = ''
    capacity: float = 1.0
    incarnation: int = 0
    listed: bool = True
    listed_at: float = -math.inf
    draining: bool = False
    heard_at: float = -math.inf
    told_at: float = -math.inf
    unheard: tuple[str, ...] = ()
    known_digest: int = 0
    leaving: tuple[str, ...] = ()
    last_beat: BeatTime = NO_BEAT
    config_offset: int = 0
    silent: bool = True
    silent_since: float = -math.inf
    met_at: float = -math.inf
    grants_permits: bool = True
    grants_quotas: bool = True
    keeps_versions: bool = True
    forwards: bool = False
    gone_at: float = -math.inf

    @property
    def may_run(self) -> bool:
        """Whether its process may run, heard or not."""
        if not self.silent:
            return True
        # The time of the last heartbeat is cleared when the process is found to
        # have ended.
        has_ended = self.gone_at > -math.inf and self.heard_at == -math.inf
        return self.listed and not has_ended


@dataclasses.dataclass(slots=True)
class EndpointEntry:
    """An endpoint as this process knows it.

    Attributes:
        id: its name.
        kind: engine or plain.
        address: 'ip:port'.
        data_centre: its data centre.
        region: its region.
        service: plain service that it serves.
        model: model that the engine serves, by the orders or the host list.
        role: role of the engine, by the orders or the host list.
        fencing: whether it refuses orders with an old term.
        listed: whether the host list names it.
        listed_leaving: whether the host list says that it is leaving.
        leaving_until: loop time until which its own word that it is leaving
            counts.
        told_leaving_until: the same for the word of peers.
        report: its last load report.
        reported_at: loop time of that report.
        unreachable_since: loop time since when it did not answer, or None.
        in_flight: calls that this host has in progress there.
        listed_model: model that the host list names.
        listed_role: role that the host list names.
        version: version of the software that it runs, '' where the list states
            none.
        version_start: start number of the process whose version the list
            states, 0 until one is known.
        start_seen_at: loop time at which a report first showed the present
            start number.
        notice: what its process has told this host itself.
    """

    id: str
    kind: ListedKind
    address: str
    data_centre: str
    region: str
    service: str = ''
    model: str = ''
    role: EngineRole | None = None
    fencing: bool = True
    listed: bool = True
    listed_leaving: bool = False
    leaving_until: float = -math.inf
    told_leaving_until: float = -math.inf
    report: LoadReport | None = None
    reported_at: float = -math.inf
    unreachable_since: float | None = None
    in_flight: int = 0
    listed_model: str = ''
    listed_role: EngineRole | None = None
    version: str = ''
    version_start: int = 0
    start_seen_at: float = -math.inf
    notice: EndpointNotice = dataclasses.field(default_factory=EndpointNotice)

    def note_report(self, report: LoadReport, now: float) -> None:
        """Records a load report that was read at a loop time."""
        if self.report is None or self.report.start != report.start:
            self.start_seen_at = now
        if not self.version_start:
            self.version_start = report.start
        self.report = report
        self.reported_at = now

    def confirm_version(self, read_at: float) -> None:
        """Ties the listed version to the process that reports.

        Needed for lists without start numbers. A list that was read earlier may
        describe the previous process, so it is ignored.

        Args:
            read_at: loop time at which the reading of the list began.
        """
        if self.report is not None and read_at >= self.start_seen_at:
            self.version_start = self.report.start

    @property
    def is_version_known(self) -> bool:
        """Whether the process that reports is the one that the list names.

        A process that reports no start number is taken for that one.
        """
        start = self.report.start if self.report is not None else 0
        return start in (0, self.version_start)

    def leaving(self, now: float) -> bool:
        """Returns whether the endpoint takes no new work."""
        told = now < self.told_leaving_until
        return self.known_leaving(now) or told

    def known_leaving(self, now: float) -> bool:
        """Returns whether this host knows it from the list or the endpoint."""
        return (
            self.listed_leaving
            or self.notice.leaving
            or now < self.leaving_until
        )

    def busy(self, now: float) -> bool:
        """Returns whether this host must send it nothing for now.

        Either the endpoint has asked for this, or its rate limit leaves this
        host no permit.
        """
        return now < self.notice.closed_until

    def takes_work(self, now: float) -> bool:
        """Returns whether this host knows of nothing against a new call."""
        return not self.known_leaving(now) and not self.busy(now)


@dataclasses.dataclass(slots=True)
class ServedRequest:
    """A request whose caller is connected to this host.

    Attributes:
        id: the request's id.
        service: the service that asks.
        fingerprint: hash of its content.
        arrived_at: loop time of arrival.
        pool: id of the pool, '' for plain services.
        tag: the present attempt.
        prefill: id of the prefill endpoint.
        decode: id of the decode endpoint.
        stage: where it stands.
        prompt_tokens: prompt length of the present attempt, tokens.
        max_tokens: tokens wanted at most.
        hint_tokens: the caller's guess of the tokens, 0 for none.
        emitted: tokens received so far.
        attempt_base: tokens received before the present attempt.
        started: whether an endpoint may have begun work on it.
        taken_over: whether its caller resumed it at another host.
        delivered: whether the last of its answer is being handed to the
            caller; nobody may take it over then.
        answered: whether its whole answer was delivered before.
        home: host that holds its directory entry.
        previous_holder: host that served it before, '' if not known.
        previous_incarnation: start number of that host's process.
        confirmed_at: loop time at which its home last confirmed that this
            host holds it.
        keys: its suspicion keys.
        version: software version of the engine that wrote the first token, None
            if it is not known.
        priority: its priority, NO_PRIORITY for none.
        customer: name of its customer, '' if it has none.
        wants_backup: whether the KV cache is to be copied to another engine.
        backup: id of the engine that keeps such a copy of the present attempt,
            '' if none does.
    """

    id: str
    service: str
    fingerprint: int
    arrived_at: float
    pool: str = ''
    tag: StreamTag | None = None
    prefill: str = ''
    decode: str = ''
    stage: StreamStage = StreamStage.QUEUED
    prompt_tokens: int = 0
    max_tokens: int = 0
    hint_tokens: int = 0
    emitted: list[str] = dataclasses.field(default_factory=list)
    attempt_base: int = 0
    started: bool = False
    taken_over: bool = False
    delivered: bool = False
    answered: bool = False
    home: str = ''
    previous_holder: str = ''
    previous_incarnation: int = 0
    confirmed_at: float = -math.inf
    keys: tuple[str, ...] = ()
    version: str | None = ''
    priority: int = NO_PRIORITY
    customer: str = ''
    wants_backup: bool = False
    backup: str = ''

    @property
    def emitted_tokens(self) -> int:
        """Number of tokens received so far."""
        return len(self.emitted)

    def held_stream(self) -> HeldStream | None:
        """Returns what is registered with the pool's owner, if granted."""
        if self.tag is None or not self.prefill:
            return None
        return HeldStream(
            tag=self.tag,
            service=self.service,
            prefill=self.prefill,
            decode=self.decode,
            stage=self.stage,
            prompt_tokens=self.prompt_tokens,
            emitted=self.emitted_tokens - self.attempt_base,
            max_tokens=self.max_tokens - self.attempt_base,
            fingerprint=self.fingerprint,
            hint_tokens=self.hint_tokens,
            keys=self.keys,
            backup=self.backup,
        )


@dataclasses.dataclass(slots=True)
class RelayedRequest(ServedRequest):
    """A request whose answer is relayed as the endpoint's bytes.

    Attributes:
        relayed_tokens: tokens in the events relayed so far.
    """

    relayed_tokens: int = 0

    @property
    def emitted_tokens(self) -> int:
        """Number of tokens received so far."""
        return self.relayed_tokens


@dataclasses.dataclass(slots=True)
class DirectoryRow:
    """A directory entry at its home.

    Attributes:
        entry: the entry.
        renewed_at: loop time at which its holder last registered it.
        ended_at: loop time at which it ended, or None while it is served.
    """

    entry: DirectoryEntry
    renewed_at: float
    ended_at: float | None = None


class Blackboard:
    """Everything that one process knows.

    Attributes:
        host: id of this host.
        incarnation: start number of this process.
        data_centre: this host's data centre.
        capacity: this host's processor in usual cores.
        region: this host's region.
        address: 'ip:port' at which peers reach this host, '' where only the
            host list tells it.
        pool_engines: engines in one pool at most.
        engines_read_prompts: whether decode engines compute prompts themselves
            where no prefill engine is.
        draining: whether this host is shutting down.
        config: the folded configuration.
        orders: the folded orders stream.
        host_list_read: whether the host list was ever read.
        host_list_current: whether it could be read when that was tried last.
        hosts_by_id: the other entry hosts.
        notices: what endpoints have told this host themselves.
        endpoints_by_id: all endpoints.
        served_by_id: requests whose callers are connected here.
        directory_by_request_id: directory entries whose home is here.
        crash_evidence: what is known of crashes of endpoints.
        membership_changed: notified when a host or endpoint comes or goes.
        config_changed: notified when the configuration moves on.
        rate_limit_changed: notified when an endpoint states another rate limit
            to this host.
        trace: where events of requests are recorded.
        events: where decisions are logged.
        quorum_at: send time of the newest heartbeat round that a majority of
            the listed hosts answered.
        quorum_suspended_s: seconds for which the machine had been suspended
            when the quorum was found last.
        quorum_gap_at: loop time at which heartbeats were last found to have
            been without such an answer for longer than a lease.
    """

    __slots__ = (
        'address',
        'capacity',
        'config',
        'config_changed',
        'crash_evidence',
        'data_centre',
        'directory_by_request_id',
        'draining',
        'endpoints_by_id',
        'engines_read_prompts',
        'events',
        'host',
        'host_list_current',
        'host_list_read',
        'hosts_by_id',
        'incarnation',
        'membership_changed',
        'notices',
        'orders',
        'pool_engines',
        'quorum_at',
        'quorum_gap_at',
        'quorum_suspended_s',
        'rate_limit_changed',
        'region',
        'served_by_id',
        'trace',
    )

    def __init__(
        self, host: str, incarnation: int, data_centre: str, region: str
    ):
        self.host = host
        self.incarnation = incarnation
        self.data_centre = data_centre
        self.region = region
        self.address = ''
        self.capacity = 1.0
        self.pool_engines = MAX_POOL_ENGINES
        self.engines_read_prompts = False
        self.draining = False
        self.config = ConfigState()
        self.orders = OrderState()
        self.host_list_read = False
        self.host_list_current = True
        self.hosts_by_id: dict[str, HostEntry] = {}
        self.endpoints_by_id: dict[str, EndpointEntry] = {}
        self.notices = EndpointNotices()
        self.served_by_id: dict[str, ServedRequest] = {}
        self.directory_by_request_id: dict[str, DirectoryRow] = {}
        self.crash_evidence = CrashEvidence()
        self.trace: TraceSink = NoTrace()
        self.events: EventLog = NoEvents()
        self.membership_changed = Signal()
        self.config_changed = Signal()
        self.rate_limit_changed = Signal()
        self.quorum_at = -math.inf
        self.quorum_gap_at = -math.inf
        self.quorum_suspended_s = suspended_s()

    def record(self, kind: TraceKind, request_id: str, **fields: Any) -> None:
        """Records an event of a request; fields are those of TraceEvent."""
        self.record_line(TraceEvent, kind, request_id=request_id, **fields)

    def record_line(
        self,
        line_type: type[TraceLine],
        kind: str,
        at: float | None = None,
        **fields: Any,
    ) -> None:
        """Records a line, if a trace is wanted.

        Args:
            line_type: type of the line.
            kind: its kind.
            at: loop time, None for the present.
            **fields: the other fields of the type.
        """
        if not self.trace.takes_lines:
            return
        if at is None:
            at = asyncio.get_running_loop().time()
        self.trace.record(
            line_type(at, self.host, self.incarnation, kind, **fields)
        )

    def is_withdrawn(self, endpoint: EndpointEntry) -> bool:
        """Returns whether a change keeps an engine from new work.

        It may serve again as soon as its report shows that the order was
        carried out, also while the log cannot record that.
        """
        change = self.orders.change_by_engine.get(endpoint.id)
        if change is None:
            return False
        report = endpoint.report
        if report is None:
            return True
        term = report.order_term
        if term is not None and term < change.number:
            return True
        return not change.target.reached(report)

    def place(self, endpoint: EndpointEntry) -> None:
        """Sets what an endpoint serves by the orders, else by the list."""
        placed = self.orders.placed_by_engine.get(endpoint.id)
        endpoint.model = placed.model if placed else endpoint.listed_model
        endpoint.role = placed.role if placed else endpoint.listed_role

    def live_hosts(self) -> list[str]:
        """Returns the ids of hosts that are heard, this one included."""
        heard = [
            host.id for host in self.hosts_by_id.values() if not host.silent
        ]
        return sorted([*heard, self.host])

    def count_sharing_hosts(self) -> int:
        """Returns how many hosts a common allowance is divided by.

        A host that this one does not hear may only be cut off from it, and
        still use its share. So silent hosts count while they are listed, unless
        their processes are known to have ended.
        """
        others = self.hosts_by_id.values()
        return 1 + sum(host.may_run for host in others)

    def serving_hosts(self) -> list[str]:
        """Returns the ids of live hosts that may own pools and entries."""
        serving = [
            host.id
            for host in self.hosts_by_id.values()
            if not host.silent and not host.draining
        ]
        if not self.draining or not serving:
            serving.append(self.host)
        return sorted(serving)
