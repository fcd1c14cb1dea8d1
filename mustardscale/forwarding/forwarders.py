"""Asks other hosts to call endpoints that this host does not reach."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import Awaitable, Callable

from mustardscale.background_tasks import BackgroundTasks
from mustardscale.blackboard import Blackboard, EndpointEntry, HostEntry
from mustardscale.exceptions import (
    EndpointFailedError,
    EndpointOutOfReachError,
    PeerNotReachedError,
    PeerUnavailableError,
)
from mustardscale.peers.forward_messages import (
    ForwardCall,
    ForwardClose,
    ForwardKind,
    ForwardOutcome,
    ForwardReply,
)
from mustardscale.peers.peer_calls import PeerCalls
from mustardscale.peers.peer_messages import Acknowledgement
from mustardscale.reporting.event_log import EventKind
from mustardscale.reporting.metrics import Metrics

# Other hosts that are asked for one call at most. A third of them may have lost
# their links, too.
MAX_ASKED_HOSTS = 6
# Time for which other hosts are asked before one, seconds: one that does not
# answer or has no links to the endpoints either, and one that forwards as much
# as it may.
UNREACHED_RETRY_S = 2.0
OVERLOADED_S = 0.2
# Hosts that a host knows to forward calls before it meets no others.
ENOUGH_FORWARDERS = 8
# Time after a request's deadline at which its forwarded call is given up,
# seconds. The endpoint may answer until then that the deadline has passed.
DEADLINE_MARGIN_S = 0.2
# Time for which an answer's end is told to the host that reads it, seconds.
CLOSE_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedReply:
    """The reply of another host.

    Attributes:
        host: the host.
        reply: its reply.
    """

    host: str
    reply: ForwardReply


class Forwarders:
    """The other hosts that call endpoints for this one."""

    def __init__(
        self,
        board: Blackboard,
        calls: PeerCalls,
        metrics: Metrics,
        meet: Callable[[str], Awaitable[None]],
        rng: random.Random,
    ):
        """Prepares the calls.

        Args:
            board: the blackboard, which has the hosts.
            calls: calls hosts.
            metrics: counts forwarded calls.
            meet: exchanges a heartbeat with a host that only hubs tell of.
            rng: the generator of random choices.
        """
        self.calls = calls
        self._board = board
        self._metrics = metrics
        self._meet = meet
        self._rng = rng
        self._background = BackgroundTasks()
        self._avoided_until_by_host: dict[str, float] = {}

    async def call(
        self, endpoint: EndpointEntry, call: ForwardCall, timeout_s: float
    ) -> ForwardedReply:
        """Asks other hosts, one after the other, to call an endpoint.

        The next one is asked only if nothing was sent to the endpoint.

        Raises:
            EndpointOutOfReachError: no host with links to the endpoints was
                found.
            EndpointFailedError: a host did not reply, so that the endpoint may
                have run the request.
        """
        ends_at = asyncio.get_running_loop().time() + timeout_s
        detail = 'no other host is known to forward calls'
        for host in self._choose(endpoint):
            left_s = ends_at - asyncio.get_running_loop().time()
            if left_s <= 0:
                break
            try:
                reply = await self.calls.call(host, call, ForwardReply, left_s)
            except PeerNotReachedError as error:
                detail = str(error)
                self._avoid(host, UNREACHED_RETRY_S)
                continue
            except PeerUnavailableError as error:
                self._avoid(host, UNREACHED_RETRY_S)
                self._log(call, host, 'lost', str(error))
                if call.kind in (ForwardKind.RUN, ForwardKind.PREFILL):
                    raise EndpointFailedError(f'{host}: {error}') from error
                continue
            self._log(call, host, reply.outcome, reply.detail)
            if reply.outcome is ForwardOutcome.OVERLOADED:
                detail = f'{host} is overloaded'
                self._avoid(host, OVERLOADED_S)
                continue
            if (
                reply.outcome is ForwardOutcome.UNREACHED
                and not reply.reaches_others
            ):
                detail = f'{host} has no links to the endpoints either'
                self._avoid(host, UNREACHED_RETRY_S)
                continue
            return ForwardedReply(host, reply)
        raise EndpointOutOfReachError(detail)

    def close_later(self, host: str, close: ForwardClose) -> None:
        """Closes a forwarded answer without waiting."""
        self._background.start(self._close(host, close))

    async def _close(self, host: str, close: ForwardClose) -> None:
        with contextlib.suppress(PeerUnavailableError):
            await self.calls.call(host, close, Acknowledgement, CLOSE_TIMEOUT_S)

    def _choose(self, endpoint: EndpointEntry) -> list[str]:
        """Returns the hosts to ask, in order.

        Hosts in the endpoint's data centre come first, among them large ones
        more often than small ones. Hosts that failed lately come last.
        """
        now = asyncio.get_running_loop().time()
        forwarding = [
            host
            for host in self._board.hosts_by_id.values()
            if host.forwards and not host.silent and not host.draining
        ]
        if len(forwarding) < ENOUGH_FORWARDERS:
            self._meet_others()
        weight_by_id = {
            host.id: self._rng.random() ** (1.0 / max(0.01, host.capacity))
            for host in forwarding
        }
        forwarding.sort(
            key=lambda host: (
                host.data_centre != endpoint.data_centre,
                -weight_by_id[host.id],
            )
        )
        avoided = [h for h in forwarding if self._is_avoided(h.id, now)]
        preferred = [h for h in forwarding if not self._is_avoided(h.id, now)]
        return [*_spread(preferred), *_spread(avoided)][:MAX_ASKED_HOSTS]

    def _is_avoided(self, host: str, now: float) -> bool:
        return self._avoided_until_by_host.get(host, now) > now

    def _meet_others(self) -> None:
        """Meets some hosts of which only hubs tell, to learn if they forward.

        Hosts of earlier releases close the connection at a forwarded call.
        """
        unknown = [
            host.id
            for host in self._board.hosts_by_id.values()
            if not host.silent and host.heard_at < host.told_at
        ]
        for host in self._rng.sample(
            unknown, min(ENOUGH_FORWARDERS, len(unknown))
        ):
            self._background.start(_meet(self._meet, host))

    def _avoid(self, host: str, seconds: float) -> None:
        now = asyncio.get_running_loop().time()
        self._avoided_until_by_host[host] = now + seconds

    def _log(
        self, call: ForwardCall, host: str, outcome: str, detail: str
    ) -> None:
        self._metrics.count(f'calls_forwarded_{outcome}')
        if call.kind is ForwardKind.REPORT:
            return
        self._board.events.emit(
            EventKind.CALL_FORWARDED,
            call.request.id,
            endpoint=call.endpoint,
            call=call.kind.value,
            via=host,
            outcome=str(outcome),
            detail=detail,
        )


async def _meet(meet: Callable[[str], Awaitable[None]], host: str) -> None:
    await meet(host)


def _spread(hosts: list[HostEntry]) -> list[str]:
    """Returns the ids of hosts, with the second one in another data centre.

    A data centre may have lost its links as a whole.
    """
    if not hosts:
        return []
    first = hosts[0]
    elsewhere = [h.id for h in hosts if h.data_centre != first.data_centre]
    nearby = [h.id for h in hosts[1:] if h.data_centre == first.data_centre]
    return [first.id, *elsewhere[:1], *nearby, *elsewhere[1:]]
