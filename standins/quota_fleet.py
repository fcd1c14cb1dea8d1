"""A fleet of hosts in one process whose customers have quotas."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Mapping, Sequence
from typing import Any

from mustardscale.blackboard import EndpointEntry
from mustardscale.configuration.customers import (
    Customer,
    CustomerQuota,
    QuotaUnit,
)
from mustardscale.configuration.route_source import merge_table
from mustardscale.configuration.routes import (
    RequestKind,
    Route,
    RouteTable,
    RouteTarget,
    ServiceSpec,
)
from mustardscale.endpoints.engines import EngineControl
from mustardscale.exceptions import OutcomeError
from mustardscale.hosts.host_list import ListedHost, ListedKind
from mustardscale.outcomes import Outcome
from mustardscale.quotas.quota_share import QuotaTolerance
from mustardscale.relay.endpoint_listener import EndpointListener
from mustardscale.relay.relay_endpoint import (
    EndpointAnswer,
    RelayCall,
    RelayConnector,
    RelayEndpoint,
)
from mustardscale.relay.relay_messages import RelayRequest, SizeEstimate
from mustardscale.relay_options import RelayOptions
from standins.host_fleet import DATA_CENTRES, REGION, HostFleet
from standins.limited_endpoints import LimitedClient, LimitedEndpoint

SERVICE = 'ledger'
TIMEOUT_S = 3.0
ROUTE = Route(
    'read',
    'host',
    '/read/',
    RequestKind.REPEATABLE,
    (RouteTarget(SERVICE),),
    TIMEOUT_S,
    0.4,
)
ENDPOINT = 'e1'
PLAIN_TOKENS = 200
# What the platform's rule tolerates.
TOLERANCE = QuotaTolerance(window_s=8.0, overrun=0.1, slack=73_000.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a customer sends to all hosts.

    Attributes:
        customer: the customer's name.
        requests_per_s: requests a second.
        large_share: share of the requests that declare a size.
        large_tokens: smallest and largest size, tokens.
    """

    customer: str
    requests_per_s: float
    large_share: float = 0.5
    large_tokens: tuple[int, int] = (1_000, 7_000)

    @property
    def tokens_per_s(self) -> float:
        """Tokens a second, on average."""
        large = sum(self.large_tokens) / 2
        mean = self.large_share * large + (1 - self.large_share) * PLAIN_TOKENS
        return self.requests_per_s * mean


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaRecord:
    """A request and how it ended.

    Attributes:
        customer: the customer's name.
        amount: tokens that it counts as.
        sent_at: loop time at which the caller sent it.
        ended_at: loop time of its end.
        outcome: how it ended.
        retry_after_s: time after which the caller may return, None for none.
    """

    customer: str
    amount: int
    sent_at: float
    ended_at: float
    outcome: Outcome
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that reached the endpoint.

    Attributes:
        at: loop time.
        amount: tokens that it counts as.
    """

    at: float
    amount: int


class QuotaLedger:
    """Checks what runs for customers against their quotas.

    Attributes:
        runs_by_customer: what ran for each customer, in order.
    """

    def __init__(self) -> None:
        self.runs_by_customer: dict[str, list[Run]] = {}

    def add(self, customer: str, amount: int) -> None:
        """Records a request that reached an endpoint."""
        now = asyncio.get_running_loop().time()
        runs = self.runs_by_customer.setdefault(customer, [])
        runs.append(Run(now, amount))

    def largest_window(self, customer: str, since: float = 0.0) -> float:
        """Returns the most tokens that ran within one window."""
        runs = [
            r for r in self.runs_by_customer.get(customer, ()) if r.at >= since
        ]
        largest = total = first = 0
        for run in runs:
            total += run.amount
            while runs[first].at <= run.at - TOLERANCE.window_s:
                total -= runs[first].amount
                first += 1
            largest = max(largest, total)
        return largest

    def tokens_between(
        self, customer: str, begins_at: float, ends_at: float
    ) -> int:
        """Returns the tokens that ran in a time."""
        return sum(
            run.amount
            for run in self.runs_by_customer.get(customer, ())
            if begins_at <= run.at < ends_at
        )


class _CountedClient(LimitedClient):
    """A client of the endpoint that records what it runs."""

    def __init__(self, ledger: QuotaLedger, *args: Any):
        super().__init__(*args)
        self._ledger = ledger

    async def run(self, call: RelayCall) -> EndpointAnswer:
        """See the base class."""
        customer = call.request.customer
        assert customer is not None
        amount = call.request.declared_tokens or PLAIN_TOKENS
        self._ledger.add(customer.name, amount)
        return await super().run(call)


class _CountedConnector(RelayConnector):
    """Makes one host's clients of the endpoint."""

    def __init__(self, fleet: QuotaFleet, host: str):
        self._fleet = fleet
        self._host = host

    def control(self, endpoint: EndpointEntry) -> EngineControl:
        """See the base class."""
        raise NotImplementedError

    def relay(
        self, endpoint: EndpointEntry, listener: EndpointListener
    ) -> RelayEndpoint:
        """See the base class."""
        fleet = self._fleet
        return _CountedClient(
            fleet.ledger,
            fleet.endpoint,
            self._host,
            listener,
            lambda: fleet.is_up(self._host),
        )


class QuotaFleet(HostFleet):
    """Hosts before one endpoint that runs all requests.

    Attributes:
        customers: the customers in force.
        ledger: what ran for each customer.
        endpoint: the endpoint.
        records: the requests that have ended.
    """

    def __init__(self, hosts: int, customers: Sequence[Customer], seed: int):
        self.customers = tuple(customers)
        super().__init__(hosts, self._make_table(1), seed)
        self.ledger = QuotaLedger()
        self.endpoint = LimitedEndpoint(ENDPOINT)
        self.records: list[QuotaRecord] = []
        self.listed[ENDPOINT] = ListedHost(
            ENDPOINT,
            ListedKind.PLAIN,
            f'{ENDPOINT}:1',
            DATA_CENTRES[0],
            REGION,
            service=SERVICE,
            start=1,
        )

    def _make_table(self, version: int) -> RouteTable:
        return RouteTable(
            version,
            (ROUTE,),
            (ServiceSpec(SERVICE),),
            customers=self.customers,
        )

    def connector(self, host: str) -> RelayConnector:
        """See the base class."""
        return _CountedConnector(self, host)

    def options(self) -> RelayOptions:
        """See the base class."""
        return RelayOptions(quota_tolerance=TOLERANCE)

    def publish(
        self, version: int, customers: Sequence[Customer], hosts: Sequence[str]
    ) -> None:
        """Puts other customers into force on hosts."""
        self.customers = tuple(customers)
        self._table = self._make_table(version)
        for host in hosts:
            merge_table(self.router_by_host[host].blackboard, self._table)

    async def load(
        self, demand: Demand, seconds: float, hosts: Mapping[str, float]
    ) -> None:
        """Sends a customer's requests at random times and to random hosts.

        Args:
            demand: what it sends.
            seconds: how long.
            hosts: share of each host; none is sent to hosts that are down.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while True:
            await asyncio.sleep(self.rng.expovariate(demand.requests_per_s))
            if loop.time() >= ends_at:
                return
            [host] = self.rng.choices(list(hosts), list(hosts.values()))
            if host in self.router_by_host:
                call = loop.create_task(self._ask(host, demand))
                self._calls.add(call)
                call.add_done_callback(self._calls.discard)

    async def _ask(self, host: str, demand: Demand) -> None:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        request = RelayRequest(
            f'r{next(self._request_ids)}',
            'host',
            'GET',
            '/read/x',
            (),
            b'',
            sent_at,
            TIMEOUT_S,
            credential=key_of(demand.customer),
        )
        if self.rng.random() < demand.large_share:
            tokens = self.rng.randint(*demand.large_tokens)
            request.size = SizeEstimate(tokens - 100, 100)
        outcome, retry_after_s = Outcome.COMPLETE, None
        try:
            async with self.router_by_host[host].serve(request):
                pass
        except OutcomeError as error:
            outcome, retry_after_s = error.outcome, error.retry_after_s
        self.records.append(
            QuotaRecord(
                demand.customer,
                request.declared_tokens or PLAIN_TOKENS,
                sent_at,
                loop.time(),
                outcome,
                retry_after_s,
            )
        )

    def violations(self, since: float = 0.0) -> list[str]:
        """Returns the quotas that were exceeded, and how.

        Args:
            since: loop time before which nothing counts.
        """
        found = []
        for customer in self.customers:
            quota = customer.quota
            allowed = quota.rate_per_s * TOLERANCE.window_s + quota.burst
            allowed += TOLERANCE.overrun * allowed + TOLERANCE.slack
            largest = self.ledger.largest_window(customer.name, since)
            if quota.is_limited and largest > allowed:
                found.append(
                    f'{customer.name}: {largest:.0f} tokens in '
                    f'{TOLERANCE.window_s} s; {allowed:.0f} are allowed'
                )
        return found


def key_of(customer: str) -> str:
    """Returns the key of a customer's callers."""
    return f'key of {customer}'


def make_customer(name: str, tokens_per_s: float) -> Customer:
    """Returns a customer whose burst is what its rate gives in a second."""
    quota = CustomerQuota(
        tokens_per_s, tokens_per_s, QuotaUnit.TOKENS, PLAIN_TOKENS
    )
    return Customer(name, (key_of(name),), quota=quota)
