"""A fleet of hosts in one process before endpoints that state rate limits."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Mapping

from mustardscale.configuration.routes import (
    RequestKind,
    Route,
    RouteTable,
    RouteTarget,
    ServiceSpec,
)
from mustardscale.exceptions import OutcomeError
from mustardscale.hosts.host_list import ListedHost, ListedKind
from mustardscale.outcomes import Outcome
from mustardscale.relay.relay_endpoint import RelayConnector
from mustardscale.relay.relay_messages import RelayRequest
from standins.host_fleet import DATA_CENTRES, REGION, HostFleet
from standins.limited_endpoints import LimitedConnector, LimitedEndpoint

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
    max_attempts=2,
)


@dataclasses.dataclass(frozen=True, slots=True)
class FleetRecord:
    """A request and how it ended.

    Attributes:
        sent_at: loop time at which the caller sent it.
        ended_at: loop time of its end.
        host: the host that took it.
        outcome: how it ended.
        retry_after_s: time after which the caller may return, None for none.
    """

    sent_at: float
    ended_at: float
    host: str
    outcome: Outcome
    retry_after_s: float | None = None


class LimitedFleet(HostFleet):
    """Hosts before the endpoints of one plain service.

    Attributes:
        endpoint_by_id: the endpoints.
        records: the requests that have ended.
    """

    def __init__(self, hosts: int, endpoints: int, seed: int = 0):
        table = RouteTable(1, (ROUTE,), (ServiceSpec(SERVICE),))
        super().__init__(hosts, table, seed)
        self.endpoint_by_id = {
            f'e{number}': LimitedEndpoint(f'e{number}')
            for number in range(1, endpoints + 1)
        }
        self.records: list[FleetRecord] = []
        self.listed |= {
            name: ListedHost(
                name,
                ListedKind.PLAIN,
                f'{name}:1',
                DATA_CENTRES[0],
                REGION,
                service=SERVICE,
                start=1,
            )
            for name in self.endpoint_by_id
        }

    def connector(self, host: str) -> RelayConnector:
        """See the base class."""
        return LimitedConnector(
            host, self.endpoint_by_id, lambda host, _: self.is_up(host)
        )

    async def load(
        self, rate_per_s: float, seconds: float, hosts: Mapping[str, float]
    ) -> None:
        """Sends requests at random times and to random hosts.

        Args:
            rate_per_s: requests a second to all hosts.
            seconds: how long.
            hosts: share of each host; none is sent to hosts that are down.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while True:
            await asyncio.sleep(self.rng.expovariate(rate_per_s))
            if loop.time() >= ends_at:
                return
            [host] = self.rng.choices(list(hosts), list(hosts.values()))
            if host in self.router_by_host:
                call = loop.create_task(self._ask(host))
                self._calls.add(call)
                call.add_done_callback(self._calls.discard)

    async def _ask(self, host: str) -> None:
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
        )
        outcome, retry_after_s = Outcome.COMPLETE, None
        try:
            async with self.router_by_host[host].serve(request):
                pass
        except OutcomeError as error:
            outcome, retry_after_s = error.outcome, error.retry_after_s
        self.records.append(
            FleetRecord(sent_at, loop.time(), host, outcome, retry_after_s)
        )

    def violations(self) -> list[str]:
        """Returns the limits that were broken, and how."""
        return [
            violation
            for endpoint in self.endpoint_by_id.values()
            for violation in endpoint.arrivals.violations()
        ]
