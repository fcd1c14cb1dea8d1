"""Model of the platform's host list and its in-process client."""

from __future__ import annotations

import asyncio
import collections
import dataclasses

from mustardscale.exceptions import PeerUnavailableError
from mustardscale.hosts.host_list import HostList, ListedHost
from standins.faults import (
    NonNegative,
    Outage,
    StandinRefusedError,
    outage_gate,
    pass_disruption,
)
from standins.memory_network import (
    ConnectionCutError,
    MemoryNetwork,
    NotConnectedError,
)

# Earlier states of the list that are kept, for reads that lag.
MAX_STATES = 1000


@dataclasses.dataclass(slots=True)
class HostListConditions:
    """Behaviour and faults of the list; each may be changed at any time.

    Attributes:
        lag_s: seconds by which what is served is behind.
        outage: whether reads are refused or hang.
        delay_s: seconds that each read takes in addition.
        cut_hosts: ids of hosts whose reads are refused by the server.
    """

    lag_s: NonNegative = 0.0
    outage: Outage = Outage.NONE
    delay_s: NonNegative = 0.0
    cut_hosts: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class HostListCounters:
    """What the list has done since its start.

    Attributes:
        reads: reads answered.
        changes: changes made.
    """

    reads: int = 0
    changes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HostChange:
    """A change of the list.

    Attributes:
        put: hosts to add, or to replace by id.
        remove: ids of hosts to take off the list.
        leaving: ids of hosts to mark as leaving.
    """

    put: list[ListedHost] = dataclasses.field(default_factory=list)
    remove: list[str] = dataclasses.field(default_factory=list)
    leaving: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class _State:
    since: float
    hosts: tuple[ListedHost, ...]


class HostListModel:
    """The host list service.

    Attributes:
        conditions: behaviour and faults.
        counters: what it has done.
    """

    __slots__ = ('_gate', '_host_by_id', '_states', 'conditions', 'counters')

    def __init__(
        self,
        hosts: list[ListedHost],
        conditions: HostListConditions | None = None,
    ):
        """Makes a list whose first hosts are served without a lag."""
        self.conditions = conditions or HostListConditions()
        self.counters = HostListCounters()
        self._gate = outage_gate(self.conditions)
        self._host_by_id = {host.id: host for host in hosts}
        self._states: collections.deque[_State] = collections.deque(
            [_State(float('-inf'), tuple(hosts))], MAX_STATES
        )

    def change(self, change: HostChange) -> None:
        """Changes the list; reads show it after the lag.

        Raises:
            ValueError: an id to remove or to mark is not on the list.
        """
        named = {*change.remove, *change.leaving}
        unknown = named - self._host_by_id.keys()
        unknown -= {host.id for host in change.put}
        if unknown:
            raise ValueError(f'not on the list: {sorted(unknown)}')
        for host in change.put:
            self._host_by_id[host.id] = host
        for id_ in change.leaving:
            host = self._host_by_id[id_]
            self._host_by_id[id_] = dataclasses.replace(host, leaving=True)
        for id_ in change.remove:
            del self._host_by_id[id_]
        now = asyncio.get_running_loop().time()
        self._states.append(_State(now, tuple(self._host_by_id.values())))
        self.counters.changes += 1

    async def fetch(self) -> list[ListedHost]:
        """Reads the list as it was one lag ago.

        Raises:
            StandinRefusedError: the list is out.
        """
        await pass_disruption(self.conditions, self._gate)
        shown_time = asyncio.get_running_loop().time() - self.conditions.lag_s
        shown = self._states[0]
        for state in self._states:
            if state.since > shown_time:
                break
            shown = state
        self.counters.reads += 1
        return list(shown.hosts)


class MemoryHostList(HostList):
    """Access of one host to a HostListModel.

    Attributes:
        network: the host's way to the list.
    """

    __slots__ = ('_model', 'network')

    def __init__(
        self, model: HostListModel, network: MemoryNetwork | None = None
    ):
        self._model = model
        self.network = network or MemoryNetwork()

    async def fetch(self) -> list[ListedHost]:
        """See the base class."""
        try:
            await self.network.connect()
            return await self.network.call(self._model.fetch)
        except (
            NotConnectedError,
            ConnectionCutError,
            StandinRefusedError,
        ) as error:
            raise PeerUnavailableError(f'host list: {error}') from error
