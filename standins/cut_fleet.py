"""A fleet of hosts whose links to engines and plain endpoints can be cut."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import AsyncGenerator, Callable, Collection

from mustardscale.blackboard import EndpointEntry
from mustardscale.configuration.routes import (
    RequestKind,
    Route,
    RouteTable,
    RouteTarget,
    ServiceSpec,
)
from mustardscale.endpoints.answer_framing import AnswerFraming
from mustardscale.endpoints.engines import EngineControl
from mustardscale.exceptions import (
    EndpointFailedError,
    EndpointGoneError,
    OutcomeError,
)
from mustardscale.hosts.host_list import ListedHost, ListedKind
from mustardscale.outcomes import Outcome, OutcomeClass, outcome_class
from mustardscale.relay.endpoint_listener import EndpointListener
from mustardscale.relay.relay_endpoint import (
    EndpointAnswer,
    PrefillHandle,
    RelayCall,
    RelayConnector,
    RelayEndpoint,
)
from mustardscale.relay.relay_messages import AnswerHead, RelayRequest
from standins.crash_fleet import SERVICE, CrashFleet, service_route
from standins.cut_links import CutConnector, CutLinks, CutMode
from standins.host_fleet import DATA_CENTRES, REGION

LEDGER = 'ledger'
READ = 'read'
BOOK = 'book'
LEDGER_TIMEOUT_S = 3.0
WORK_S = 0.05
# Share of the first tries at the other hosts' that cut hosts must serve.
SERVED_SHARE = 0.9


@dataclasses.dataclass(slots=True)
class PlainModel:
    """A plain endpoint.

    Attributes:
        id: its id.
        alive: whether its process runs.
        ran: ids of the requests that it ran.
        running: number of requests that it runs.
        work_s: seconds that a request takes.
        loses_answers: whether it runs requests and gives no answer.
    """

    id: str
    alive: bool = True
    work_s: float = WORK_S
    loses_answers: bool = False
    ran: list[str] = dataclasses.field(default_factory=list)
    running: int = 0


class _PlainAnswer(EndpointAnswer):
    framing = AnswerFraming.LENGTH

    def __init__(self) -> None:
        self.head = AnswerHead(200, ())

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """See the base class."""
        yield b'ok'

    def close(self) -> None:
        """See the base class."""


class _PlainClient(RelayEndpoint):
    """A host's client of a plain endpoint."""

    def __init__(self, model: PlainModel):
        self._model = model

    async def run(self, call: RelayCall) -> EndpointAnswer:
        """See the base class."""
        if not self._model.alive:
            raise EndpointGoneError('connection refused')
        self._model.ran.append(call.request.id)
        self._model.running += 1
        try:
            await asyncio.sleep(self._model.work_s)
        finally:
            self._model.running -= 1
        if self._model.loses_answers:
            raise EndpointFailedError('the answer is lost')
        return _PlainAnswer()

    async def prefill(self, call: RelayCall) -> PrefillHandle:
        """See the base class."""
        raise NotImplementedError

    async def free(self, handle: PrefillHandle) -> None:
        """See the base class."""
        raise NotImplementedError

    async def read_start(self) -> int:
        """See the base class."""
        if not self._model.alive:
            raise EndpointGoneError('connection refused')
        return 1


class _MixedConnector(RelayConnector):
    """Makes clients of engines and of plain endpoints."""

    def __init__(
        self, engines: RelayConnector, model_by_id: dict[str, PlainModel]
    ):
        self._engines = engines
        self._model_by_id = model_by_id

    def control(self, endpoint: EndpointEntry) -> EngineControl:
        """See the base class."""
        return self._engines.control(endpoint)

    def relay(
        self, endpoint: EndpointEntry, listener: EndpointListener
    ) -> RelayEndpoint:
        """See the base class."""
        if endpoint.kind is ListedKind.PLAIN:
            return _PlainClient(self._model_by_id[endpoint.id])
        return self._engines.relay(endpoint, listener)


@dataclasses.dataclass(frozen=True, slots=True)
class FirstTry:
    """The first try of a request, and how it ended.

    Attributes:
        request_id: its id.
        host: the host that took it.
        route: its route.
        sent_at: loop time at which the caller sent it.
        ended_at: loop time of its end.
        outcome: how it ended.
    """

    request_id: str
    host: str
    route: str
    sent_at: float
    ended_at: float
    outcome: Outcome


class CutFleet(CrashFleet):
    """Hosts before engines and plain endpoints.

    Attributes:
        links: the cuts between hosts and endpoints.
        plain_by_id: the plain endpoints.
        tries: the first tries that have ended.
    """

    def __init__(
        self,
        hosts: int,
        decode_engines: int = 6,
        plain_endpoints: int = 4,
        seed: int = 0,
    ):
        super().__init__(hosts, decode_engines, seed=seed)
        self.links = CutLinks()
        self.plain_by_id = {
            f'e{number}': PlainModel(f'e{number}')
            for number in range(1, plain_endpoints + 1)
        }
        self.tries: list[FirstTry] = []
        for model in self.plain_by_id.values():
            self.listed[model.id] = ListedHost(
                model.id,
                ListedKind.PLAIN,
                f'{model.id}:1',
                DATA_CENTRES[0],
                REGION,
                service=LEDGER,
                start=1,
            )
        self._table = RouteTable(
            1,
            (
                service_route(SERVICE),
                _ledger_route(READ, RequestKind.REPEATABLE),
                _ledger_route(BOOK, RequestKind.ONCE),
            ),
            (*self._table.services, ServiceSpec(LEDGER)),
        )

    def connector(self, host: str) -> RelayConnector:
        """See the base class."""
        mixed = _MixedConnector(super().connector(host), self.plain_by_id)
        return CutConnector(host, self.links, mixed)

    def cut_endpoints(self, hosts: Collection[str], mode: CutMode) -> None:
        """Cuts hosts off from all endpoints."""
        for host in hosts:
            self.links.cut(host, mode)

    async def load_routes(self, rate_per_s: float, seconds: float) -> None:
        """Sends requests on all routes at random times and to random hosts."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while True:
            await asyncio.sleep(self.rng.expovariate(rate_per_s))
            if loop.time() >= ends_at:
                return
            route = self.rng.choice((SERVICE, READ, BOOK))
            host = self._choose(None)
            if host is not None:
                self._spawn(self.try_once(host, route))

    async def try_once(self, host: str, route: str) -> FirstTry:
        """Sends one request and records its end."""
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        if route == SERVICE:
            topic = f'topic{self.rng.randrange(12)}'
            record = await self.ask(host, SERVICE, ('system', topic))
            name, outcome = '', record.outcome
        else:
            name, outcome = await self._ask_ledger(host, route)
        first_try = FirstTry(name, host, route, sent_at, loop.time(), outcome)
        self.tries.append(first_try)
        return first_try

    async def _ask_ledger(self, host: str, route: str) -> tuple[str, Outcome]:
        name = f'r{next(self._request_ids)}'
        now = asyncio.get_running_loop().time()
        request = RelayRequest(
            name,
            'host',
            'POST',
            f'/{route}/x',
            (),
            b'body',
            now,
            LEDGER_TIMEOUT_S,
        )
        try:
            async with self.router_by_host[host].serve(request):
                return name, Outcome.COMPLETE
        except OutcomeError as error:
            return name, error.outcome

    def served_share(
        self,
        is_cut: Callable[[str], bool],
        begin: float,
        end: float,
        route: str = '',
    ) -> float:
        """Returns the share of the first tries that were served.

        Args:
            is_cut: tells which hosts count.
            begin: loop time of the first try that counts.
            end: loop time of the last one.
            route: the only route that counts, '' for all.

        Raises:
            ValueError: there are fewer than 10.
        """
        tries = [
            one
            for one in self.tries
            if begin <= one.sent_at < end
            and is_cut(one.host)
            and route in ('', one.route)
        ]
        if len(tries) < 10:
            raise ValueError(f'{len(tries)} first tries')
        return sum(o.outcome is Outcome.COMPLETE for o in tries) / len(tries)

    def false_outcomes(self) -> list[FirstTry]:
        """Returns requests that ran more often than they may or than told."""
        runs = [name for m in self.plain_by_id.values() for name in m.ran]
        return [
            one
            for one in self.tries
            if (one.route == BOOK and runs.count(one.request_id) > 1)
            or (
                one.request_id in runs
                and outcome_class(one.outcome) is OutcomeClass.NOT_RUN
            )
        ]


def _ledger_route(name: str, kind: RequestKind) -> Route:
    return Route(
        name,
        'host',
        f'/{name}/',
        kind,
        (RouteTarget(LEDGER),),
        LEDGER_TIMEOUT_S,
        0.4,
        max_attempts=2,
    )
