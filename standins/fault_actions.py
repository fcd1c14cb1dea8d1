"""Begins and ends the faults of a plan at a site in memory."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

from mustardscale.hosts.rendezvous import owner
from mustardscale.pools.pool_members import divide_pools
from standins.fault_plan import Fault, FaultKind
from standins.faults import Outage
from standins.host_list_model import HostChange
from standins.memory_site import MemorySite

DRAIN_NOTICE_S = 1.0
DRAIN_TIMEOUT_S = 60.0
LIST_LAG_S = 4.0
SLOW_LOG_S = 0.8
LOSS_SHARE = 0.4
EVENT_LOSS = 0.02

End = Callable[[], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """An endpoint that was marked as leaving on the host list.

    Attributes:
        endpoint: its id.
        begun_at: loop time of the mark.
        ended_at: loop time at which the mark went.
    """

    endpoint: str
    begun_at: float
    ended_at: float


class FaultActions:
    """Carries out faults and remembers what the judge has to know.

    Attributes:
        frozen_hosts: hosts that are paused now.
        lost_at_by_process: loop time at which each (host, incarnation) died.
        lost_by_process: set when a process died.
        leaving: endpoints that were leaving.
        leaving_since: endpoints that are leaving, with the time of the mark.
        cut_short: hosts whose drain did not end in time.
        drained_at_by_host: loop times at which a drain ended in time.
    """

    def __init__(self, site: MemorySite):
        self._site = site
        self.frozen_hosts: set[str] = set()
        self.lost_at_by_process: dict[tuple[str, int], float] = {}
        self.lost_by_process: dict[tuple[str, int], asyncio.Event] = {}
        self.leaving: list[Leaving] = []
        self.leaving_since: dict[str, float] = {}
        self.cut_short: list[str] = []
        self.drained_at_by_host: dict[str, list[float]] = {}

    def process(self, host: str) -> tuple[str, int]:
        """Returns what identifies the process that runs on a host."""
        return (host, self._site.routers_by_host[host].blackboard.incarnation)

    def lost(self, process: tuple[str, int]) -> asyncio.Event:
        """Returns the event that is set when a process dies."""
        return self.lost_by_process.setdefault(process, asyncio.Event())

    async def carry_out(self, fault: Fault) -> None:
        """Waits for a fault's time, begins it and ends it."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(0.0, fault.at - loop.time()))
        end = await self._begin(fault)
        await asyncio.sleep(fault.lasts_s)
        await end()

    async def _begin(self, fault: Fault) -> End:
        kind = fault.kind
        if kind.startswith('log_'):
            return self._disturb_log(kind)
        if kind.startswith('list_'):
            return self._disturb_list(kind)
        if kind.startswith('plain_'):
            return self._disturb_plain(fault)
        if kind in _HOST_KINDS:
            return await self._disturb_host(fault)
        if kind in _LINK_KINDS:
            return self._disturb_links(fault)
        return self._disturb_engine(fault)

    def _host(self, number: int) -> str:
        hosts = sorted(self._site.routers_by_host)
        return hosts[number % len(hosts)]

    def _owner(self) -> str:
        """Returns the host that owns the first pool."""
        hosts = sorted(self._site.routers_by_host)
        board = self._site.routers_by_host[hosts[0]].blackboard
        pools = divide_pools(board.endpoints_by_id.values(), board.region)
        return owner(next(iter(pools)), hosts) if pools else hosts[0]

    async def kill(self, host: str) -> None:
        """Ends a host's process without a word."""
        process = self.process(host)
        self.lost_at_by_process[process] = asyncio.get_running_loop().time()
        self.lost(process).set()
        await self._site.kill_host(host)

    async def _start(self, host: str) -> None:
        if host not in self._site.routers_by_host:
            await self._site.start_host(host)

    async def _disturb_host(self, fault: Fault) -> End:
        kind = fault.kind
        host = self._host(fault.target)
        if kind is FaultKind.HOST_FROZEN:
            return self.freeze(host)
        if kind is FaultKind.HOST_DRAINED:
            drain = asyncio.create_task(self.drain(host))
            return lambda: self._finish_drain(drain)
        if kind is FaultKind.OWNER_KILLED:
            host = self._owner()
        if len(self._site.routers_by_host) > 2:
            await self.kill(host)
        return lambda: self._start(host)

    def freeze(self, host: str) -> End:
        """Pauses a host: nothing from it arrives anywhere, nor to it."""
        site = self._site
        targets = [*site.engines_by_id, *site.plains_by_id, 'log', 'list']
        pairs = {(host, target) for target in targets} - site.cut_pairs
        site.peers.freeze(host)
        site.cut_pairs |= pairs
        self.frozen_hosts.add(host)

        async def end() -> None:
            site.peers.thaw(host)
            site.cut_pairs -= pairs
            self.frozen_hosts.discard(host)

        return end

    async def drain(self, host: str) -> None:
        """Stops a host gracefully and starts a new process in its place."""
        router = self._site.routers_by_host[host]
        process = self.process(host)
        whole = await router.drain(DRAIN_NOTICE_S, DRAIN_TIMEOUT_S)
        if self.lost(process).is_set():
            return
        if whole:
            now = asyncio.get_running_loop().time()
            self.drained_at_by_host.setdefault(host, []).append(now)
        else:
            self.cut_short.append(host)
        await self.kill(host)
        await self._site.start_host(host)

    async def _finish_drain(self, drain: asyncio.Task[None]) -> None:
        await drain

    def _disturb_links(self, fault: Fault) -> End:
        site = self._site
        host = self._host(fault.target)
        other = self._host(fault.target + 1 + fault.other)
        if fault.kind is FaultKind.PEER_REPLIES_LOST:
            site.peers.lose_replies(host, other, LOSS_SHARE)
            return _ending(lambda: site.peers.lose_replies(host, other, 0.0))
        if fault.kind in (FaultKind.PEERS_CUT, FaultKind.PEERS_CUT_ONE_WAY):
            one_way = fault.kind is FaultKind.PEERS_CUT_ONE_WAY
            site.peers.cut(host, other, one_way)
            return _ending(lambda: site.peers.restore(host, other))
        endpoints = [*site.engines_by_id, *site.plains_by_id]
        target = {
            FaultKind.HOST_CUT_FROM_LOG: 'log',
            FaultKind.HOST_CUT_FROM_LIST: 'list',
        }.get(fault.kind, endpoints[fault.other % len(endpoints)])
        if (host, target) in site.cut_pairs:
            return _ending(lambda: None)
        site.cut_pairs.add((host, target))
        return _ending(lambda: site.cut_pairs.discard((host, target)))

    def _disturb_log(self, kind: FaultKind) -> End:
        conditions = self._site.log.conditions
        if kind is FaultKind.LOG_ANSWERS_LOST:
            conditions.lose_answer_probability = LOSS_SHARE
        elif kind is FaultKind.LOG_SLOW:
            conditions.delay_s = SLOW_LOG_S
        elif kind is FaultKind.LOG_HANGS:
            conditions.outage = Outage.HANG
        else:
            conditions.outage = Outage.REFUSE

        def restore() -> None:
            conditions.lose_answer_probability = 0.0
            conditions.delay_s = 0.0
            conditions.outage = Outage.NONE

        return _ending(restore)

    def _disturb_list(self, kind: FaultKind) -> End:
        conditions = self._site.host_list.conditions
        if kind is FaultKind.LIST_LAGS:
            conditions.lag_s = LIST_LAG_S
        else:
            conditions.outage = Outage.REFUSE

        def restore() -> None:
            conditions.lag_s = 0.0
            conditions.outage = Outage.NONE

        return _ending(restore)

    def _disturb_engine(self, fault: Fault) -> End:
        names = sorted(self._site.engines_by_id)
        name = names[fault.target % len(names)]
        engine = self._site.engines_by_id[name]
        faults = engine.faults
        kind = fault.kind
        if kind is FaultKind.ENGINE_LEAVING:
            return self._leave(name)
        if kind is FaultKind.ENGINE_KILLED:
            engine.kill(fault.lasts_s)
            return _ending(lambda: None)
        if kind is FaultKind.ENGINE_FROZEN:
            engine.freeze()
            return _ending(engine.thaw)
        if kind is FaultKind.TRANSFERS_STALLED:
            engine.stall_transfers(True)
            return _ending(lambda: engine.stall_transfers(False))
        if kind is FaultKind.ENGINE_SLOW:
            faults.slow_factor = 4.0
        elif kind is FaultKind.CANCEL_ANSWERS_LOST:
            faults.lose_cancel_answers = True
        else:
            faults.lose_events = EVENT_LOSS
            faults.duplicate_events = EVENT_LOSS
            faults.reorder_events = EVENT_LOSS

        def restore() -> None:
            faults.slow_factor = 1.0
            faults.lose_cancel_answers = False
            faults.lose_events = 0.0
            faults.duplicate_events = 0.0
            faults.reorder_events = 0.0

        return _ending(restore)

    def _disturb_plain(self, fault: Fault) -> End:
        names = sorted(self._site.plains_by_id)
        name = names[fault.target % len(names)]
        plain = self._site.plains_by_id[name]
        conditions = plain.conditions
        if fault.kind is FaultKind.PLAIN_LEAVING:
            return self._leave(name)
        if fault.kind is FaultKind.PLAIN_KILLED:
            conditions.restart_s = fault.lasts_s
            plain.crash()
        elif fault.kind is FaultKind.PLAIN_FROZEN:
            conditions.frozen = True
        else:
            conditions.lose_answer_probability = LOSS_SHARE

        def restore() -> None:
            conditions.frozen = False
            conditions.lose_answer_probability = 0.0

        return _ending(restore)

    def _leave(self, endpoint: str) -> End:
        """Marks an endpoint as leaving; it does not refuse work itself."""
        host_list = self._site.host_list
        begun_at = asyncio.get_running_loop().time()
        host_list.change(HostChange(leaving=[endpoint]))
        self.leaving_since[endpoint] = begun_at

        async def end() -> None:
            now = asyncio.get_running_loop().time()
            del self.leaving_since[endpoint]
            self.leaving.append(Leaving(endpoint, begun_at, now))
            listed = self._site.listed_by_id()[endpoint]
            host_list.change(HostChange(put=[listed]))

        return end


_HOST_KINDS = frozenset(
    {
        FaultKind.HOST_KILLED,
        FaultKind.OWNER_KILLED,
        FaultKind.HOST_FROZEN,
        FaultKind.HOST_DRAINED,
    }
)
_LINK_KINDS = frozenset(
    {
        FaultKind.PEERS_CUT,
        FaultKind.PEERS_CUT_ONE_WAY,
        FaultKind.PEER_REPLIES_LOST,
        FaultKind.HOST_CUT_FROM_LOG,
        FaultKind.HOST_CUT_FROM_LIST,
        FaultKind.HOST_CUT_FROM_ENDPOINT,
    }
)


def _ending(restore: Callable[[], None]) -> End:
    async def end() -> None:
        restore()

    return end
