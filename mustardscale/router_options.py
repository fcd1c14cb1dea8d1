"""What an entry host is made from: its options and the systems around it."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from mustardscale.endpoints.endpoint_clients import EndpointConnector
from mustardscale.hosts.host_list import HostList
from mustardscale.hosts.membership import MembershipTimes
from mustardscale.log.log_client import LogClient
from mustardscale.peers.peer_transport import PeerTransport
from mustardscale.requests.kept_answers import KeptAnswerLimits
from mustardscale.traces.trace import NoTrace, TraceSink


@dataclasses.dataclass(slots=True)
class RouterOptions:
    """What distinguishes one entry host.

    Attributes:
        host: its id.
        incarnation: start number of its process.
        data_centre: its data centre.
        region: its region.
        policy: name of the placement policy.
        times: intervals of membership.
        resume_grace_s: seconds for which a dead host's streams are kept.
        kept_answers: how long delivered answers are kept.
    """

    host: str
    incarnation: int
    data_centre: str
    region: str
    policy: str = 'mustardscale'
    times: MembershipTimes = dataclasses.field(default_factory=MembershipTimes)
    resume_grace_s: float = 3.0
    kept_answers: KeptAnswerLimits = dataclasses.field(
        default_factory=KeptAnswerLimits
    )


@dataclasses.dataclass(slots=True)
class Edges:
    """The outside systems that a router uses.

    Attributes:
        log: the platform's log.
        host_list: the platform's host list.
        transport: carries messages to peers.
        connector: makes clients of endpoints.
        wall_clock: returns the wall-clock time, seconds.
        trace: where events of requests are recorded.
    """

    log: LogClient
    host_list: HostList
    transport: PeerTransport
    connector: EndpointConnector
    wall_clock: Callable[[], float]
    trace: TraceSink = dataclasses.field(default_factory=NoTrace)
