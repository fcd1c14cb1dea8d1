"""What a host that relays requests is made from."""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Callable

from mustardscale.configuration.route_source import RouteSource
from mustardscale.hosts.host_list import HostList
from mustardscale.hosts.membership import MembershipTimes
from mustardscale.log.keyed_log import KeyedLogClient
from mustardscale.log.keyed_tail import KeyedTail
from mustardscale.log.log_client import LogClient
from mustardscale.peers.peer_transport import PeerTransport
from mustardscale.quotas.quota_share import QuotaTolerance
from mustardscale.relay.answer_memory import AnswerLimits
from mustardscale.relay.relay_endpoint import RelayConnector
from mustardscale.relay.retry_budget import RetryAllowance
from mustardscale.relay.stream_backups import BackupScope


@dataclasses.dataclass(slots=True)
class RelayOptions:
    """How one host works.

    Attributes:
        seed_addresses: 'ip:port' of peers to ask before any is known.
        policy: name of the placement policy.
        times: intervals of membership.
        allowance: the retry budget of each service.
        prefill_share: share of a model's engines that prefill.
        answers: what whole answers may take up.
        report_interval_s: seconds between readings of an engine's report.
        settle_s: seconds for which a new owner of a pool collects what hosts
            hold before it grants.
        weights_field: name under which engines state the version of their
            weights, in heads and in events; '' if they do not.
        customer_header: header in which endpoints are told the customer's name.
        max_key_age_s: seconds after which a configuration that could not be
            confirmed admits no requests with keys, 0 for no limit.
        quota_tolerance: by how much quotas of customers may be exceeded.
        backups: which streams get a copy of their KV cache at a second engine.
        even_load: whether hosts tell each other which calls are open at
            plain endpoints, and choose by that.
    """

    seed_addresses: tuple[str, ...] = ()
    policy: str = 'mustardscale'
    times: MembershipTimes = dataclasses.field(default_factory=MembershipTimes)
    allowance: RetryAllowance = dataclasses.field(
        default_factory=RetryAllowance
    )
    prefill_share: float = 0.2
    answers: AnswerLimits = dataclasses.field(default_factory=AnswerLimits)
    report_interval_s: float = 0.9
    settle_s: float = 0.25
    weights_field: str = ''
    customer_header: str = ''
    max_key_age_s: float = 0.0
    quota_tolerance: QuotaTolerance = dataclasses.field(
        default_factory=QuotaTolerance
    )
    backups: BackupScope = BackupScope.OFF
    even_load: bool = False


@dataclasses.dataclass(slots=True)
class KeyedStream:
    """A keyed stream of the platform that hosts write, too.

    Attributes:
        client: writes records.
        tail: follows the stream; it is one of the host's tails.
        wall_clock: returns the Unix time in seconds.
    """

    client: KeyedLogClient
    tail: KeyedTail
    wall_clock: Callable[[], float] = time.time


@dataclasses.dataclass(slots=True)
class RelayEdges:
    """The outside systems that a relaying host uses.

    Attributes:
        log: the platform's log.
        host_list: the platform's host list.
        routes: where routes come from.
        transport: carries messages to peers.
        connector: makes clients of endpoints.
        tails: the platform's streams that the edges follow.
        quarantine: where it is kept what crashes endpoints, None for nowhere.
        versions: where it is kept which software versions have run, None for
            nowhere.
        orders: follows the stream of orders while readers read it for other
            hosts; it is one of the tails. None if each host reads the log.
    """

    log: LogClient
    host_list: HostList
    routes: RouteSource
    transport: PeerTransport
    connector: RelayConnector
    tails: tuple[KeyedTail, ...] = ()
    quarantine: KeyedStream | None = None
    versions: KeyedStream | None = None
    orders: KeyedTail | None = None
