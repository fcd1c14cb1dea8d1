"""A whole site in one process: entry hosts, endpoints and the platform.

Everything runs on one event loop, so that tests and benches can use a paused
clock; the entry hosts run the code that the daemon runs.
"""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import random
from collections.abc import Callable

from mustardscale.blackboard import EndpointEntry
from mustardscale.configuration.config_records import (
    ConfigContent,
    ConfigKey,
    ConfigSnapshot,
    Profile,
    ServiceChoice,
    ServiceKind,
    encode_record,
    make_change,
)
from mustardscale.endpoints.endpoint_clients import EndpointConnector
from mustardscale.endpoints.engines import Engine, EngineRole
from mustardscale.endpoints.plain_endpoints import PlainEndpoint
from mustardscale.hosts.host_list import ListedHost, ListedKind
from mustardscale.log.log_client import CONFIG_STREAM
from mustardscale.router import Router
from mustardscale.router_options import Edges, RouterOptions
from mustardscale.traces.trace import NoTrace, TraceSink
from standins.engine_inprocess import InProcessEngine
from standins.engine_model import EngineModel
from standins.engine_parameters import EngineParameters
from standins.expected_answers import output_length
from standins.host_list_model import HostListModel, MemoryHostList
from standins.kv_source import InProcessKvSource
from standins.kv_store import PickupLedger
from standins.log_model import LogModel
from standins.memory_log import MemoryLogClient
from standins.memory_network import MemoryNetwork
from standins.memory_peers import MemoryPeerNetwork
from standins.plain_inprocess import MemoryPlainEndpoint
from standins.plain_model import PlainModel
from standins.weight_store_model import WeightStoreModel

# Wall-clock time at loop time 0, seconds since the epoch.
WALL_START_S = 1_800_000_000.0
CLIENT_DELAY_S = 0.0015


@dataclasses.dataclass(frozen=True, slots=True)
class SiteLayout:
    """The size of a site.

    Attributes:
        region: its region.
        data_centres: its data centres.
        entry_hosts: number of entry hosts.
        language_service: name of the language service, also its model.
        prefill_engines: engines of the prefill role.
        decode_engines: engines of the decode role.
        plain_service: name of the plain service.
        plain_endpoints: its endpoints.
        other_plain_services: plain services that the same endpoints serve.
        unfenced_engines: engines, the last ones, that ignore old terms.
        versions: software versions that the engines take turns in, none if
            the list states none.
    """

    region: str = 'dk-east'
    data_centres: tuple[str, ...] = ('dc1', 'dc2', 'dc3', 'dc4')
    entry_hosts: int = 6
    language_service: str = 'katode-lm'
    prefill_engines: int = 2
    decode_engines: int = 3
    plain_service: str = 'katode-ledger'
    plain_endpoints: int = 4
    other_plain_services: tuple[str, ...] = ()
    unfenced_engines: int = 0
    versions: tuple[str, ...] = ()


def token_of(service: str) -> str:
    """Returns the bearer token of a service in stand-in sites."""
    return f'token-{service}'


class MemoryConnector(EndpointConnector):
    """Makes in-process clients on behalf of one entry host."""

    def __init__(self, site: MemorySite, host: str, incarnation: int):
        self._site = site
        self._host = host
        self._incarnation = incarnation

    def _reaches(self, target: str) -> bool:
        return self._site.reaches(self._host, target, self._incarnation)

    def engine(self, endpoint: EndpointEntry) -> Engine:
        """Makes the client of an engine."""
        model = self._site.engines_by_id[endpoint.id]
        return InProcessEngine(
            model,
            CLIENT_DELAY_S,
            lambda: self._reaches(endpoint.id),
        )

    def plain(self, endpoint: EndpointEntry) -> PlainEndpoint:
        """Makes the client of a plain service's endpoint."""
        model = self._site.plains_by_id[endpoint.id]
        network = MemoryNetwork(
            CLIENT_DELAY_S,
            reachable=lambda: self._reaches(endpoint.id),
        )
        return MemoryPlainEndpoint(model, network)

    def engine_url(self, endpoint: EndpointEntry) -> str:
        """Returns the address by which other engines reach an engine."""
        return endpoint.id


class MemorySite:
    """Entry hosts with stand-ins around them; make it inside a running loop.

    Attributes:
        layout: the size.
        log: the log.
        host_list: the host list.
        peers: the network between entry hosts.
        weight_store: where the engines load weights from.
        engines_by_id: the engines.
        plains_by_id: the endpoints of the plain service.
        trace: where hosts started from now on record events.
        routers_by_host: the entry hosts that are up.
        cut_pairs: (host, endpoint or platform service) that are cut.
    """

    def __init__(
        self,
        layout: SiteLayout,
        seed: int = 0,
        policy: str = 'mustardscale',
        parameters: EngineParameters | None = None,
        length_of: Callable[[int, int], int] = output_length,
    ):
        self.layout = layout
        self.rng = random.Random(seed)
        self._policy = policy
        self._length_of = length_of
        self._incarnation = 0
        self._change_number = 0
        self.trace: TraceSink = NoTrace()
        self.log = LogModel(random.Random(self.rng.random()))
        self.peers = MemoryPeerNetwork(random.Random(self.rng.random()))
        self.engines_by_id: dict[str, EngineModel] = {}
        self.plains_by_id: dict[str, PlainModel] = {}
        self.routers_by_host: dict[str, Router] = {}
        self.cut_pairs: set[tuple[str, str]] = set()
        self._ledger = PickupLedger()
        self._kv_source = InProcessKvSource(self.engines_by_id)
        self.weight_store = WeightStoreModel()
        self._make_engines(parameters or EngineParameters())
        self._make_plains()
        self.host_list = HostListModel(self._listed())

    def _make_plains(self) -> None:
        """Makes the endpoints; each is listed once for each service."""
        layout = self.layout
        for number in range(layout.plain_endpoints):
            model = PlainModel(random.Random(self.rng.random()))
            for service in (layout.plain_service, *layout.other_plain_services):
                self.plains_by_id[f'{service}-{number + 1}'] = model

    def _make_engines(self, parameters: EngineParameters) -> None:
        layout = self.layout
        roles = [EngineRole.PREFILL] * layout.prefill_engines
        roles += [EngineRole.DECODE] * layout.decode_engines
        fenced = len(roles) - layout.unfenced_engines
        for number, role in enumerate(roles):
            name = f'{layout.language_service}-{number + 1}'
            self.engines_by_id[name] = EngineModel(
                dataclasses.replace(
                    parameters,
                    role=role,
                    model=layout.language_service,
                    checks_fencing=number < fenced,
                    seed=self.rng.randrange(1 << 30),
                ),
                self._kv_source,
                self._length_of,
                self.weight_store.load_patiently,
                self._ledger,
            )

    def listed_by_id(self) -> dict[str, ListedHost]:
        """Returns the host list's entries as they are without faults."""
        return {listed.id: listed for listed in self._listed()}

    def _listed(self) -> list[ListedHost]:
        layout = self.layout
        places = layout.data_centres
        listed = [
            self._listed_entry(f'entry-{number + 1}')
            for number in range(layout.entry_hosts)
        ]
        for number, (name, engine) in enumerate(self.engines_by_id.items()):
            listed.append(
                ListedHost(
                    name,
                    ListedKind.ENGINE,
                    name,
                    places[number % len(places)],
                    layout.region,
                    service=layout.language_service,
                    model=layout.language_service,
                    role=engine.parameters.role,
                    fencing=engine.parameters.checks_fencing,
                    version=(
                        layout.versions[number % len(layout.versions)]
                        if layout.versions
                        else ''
                    ),
                )
            )
        for name in self.plains_by_id:
            number = int(name.rpartition('-')[2]) - 1
            listed.append(
                ListedHost(
                    name,
                    ListedKind.PLAIN,
                    name,
                    places[number % len(places)],
                    layout.region,
                    service=name.rpartition('-')[0],
                )
            )
        return listed

    def _listed_entry(self, host: str) -> ListedHost:
        places = self.layout.data_centres
        number = int(host.rpartition('-')[2]) - 1
        return ListedHost(
            host,
            ListedKind.ENTRY,
            host,
            places[number % len(places)],
            self.layout.region,
        )

    def reaches(self, host: str, target: str, incarnation: int) -> bool:
        """Returns whether a process is up and not cut from a target.

        What is left of a killed process reaches nothing, also when its host
        was started again.
        """
        router = self.routers_by_host.get(host)
        if router is None or router.blackboard.incarnation != incarnation:
            return False
        return (host, target) not in self.cut_pairs

    async def start(self) -> None:
        """Starts all entry hosts."""
        for number in range(self.layout.entry_hosts):
            await self.start_host(f'entry-{number + 1}')

    async def start_host(self, host: str) -> Router:
        """Starts an entry host with a new incarnation."""
        self._incarnation += 1
        number = self._incarnation
        listed = self._listed_entry(host)
        options = RouterOptions(
            host,
            number,
            listed.data_centre,
            listed.region,
            self._policy,
        )
        edges = Edges(
            MemoryLogClient(
                self.log,
                MemoryNetwork(
                    reachable=lambda: self.reaches(host, 'log', number)
                ),
            ),
            MemoryHostList(
                self.host_list,
                MemoryNetwork(
                    reachable=lambda: self.reaches(host, 'list', number)
                ),
            ),
            self.peers.transport(host),
            MemoryConnector(self, host, number),
            self.wall_clock,
            self.trace,
        )
        router = Router(options, edges, random.Random(self.rng.random()))
        self.routers_by_host[host] = router
        await router.start()
        return router

    async def kill_host(self, host: str) -> None:
        """Ends an entry host without any word to the others."""
        router = self.routers_by_host.pop(host)
        # The end of its tasks is no word of a process that is killed.
        router.blackboard.trace = NoTrace()
        self.peers.kill(host)
        await router.stop()

    def wall_clock(self) -> float:
        """Returns the wall-clock time that goes with the loop's."""
        return WALL_START_S + asyncio.get_running_loop().time()

    async def publish_defaults(self, language: Profile, plain: Profile) -> None:
        """Publishes a profile and a service choice for each service."""
        layout = self.layout
        await self.publish(
            ConfigKey('profile', layout.language_service), language
        )
        await self.publish(ConfigKey('profile', layout.plain_service), plain)
        for service, kind in (
            (layout.language_service, ServiceKind.LANGUAGE),
            (layout.plain_service, ServiceKind.PLAIN),
        ):
            digest = hashlib.sha256(token_of(service).encode()).hexdigest()
            model = service if kind is ServiceKind.LANGUAGE else ''
            choice = ServiceChoice(service, kind, model, (digest,))
            await self.publish(ConfigKey('service', service), choice)

    async def publish(
        self, key: ConfigKey, content: ConfigContent, base: int = 0
    ) -> int:
        """Appends a change to the configuration stream."""
        self._change_number += 1
        change_id = f'change-{self._change_number}'
        change = make_change(key, base, change_id, 'operator', content)
        offsets = await self.log.append(CONFIG_STREAM, [encode_record(change)])
        return offsets[0]

    async def append_snapshot(self, snapshot: ConfigSnapshot) -> None:
        """Appends a snapshot to the configuration stream."""
        await self.log.append(CONFIG_STREAM, [encode_record(snapshot)])

    async def stop(self) -> None:
        """Stops all that runs."""
        for host in list(self.routers_by_host):
            await self.kill_host(host)
        for engine in self.engines_by_id.values():
            engine.close()
