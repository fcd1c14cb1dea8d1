"""What the parts that relay requests have in common."""

from __future__ import annotations

import asyncio
import dataclasses
import random

from mustardscale.blackboard import Blackboard
from mustardscale.configuration.routes import Route
from mustardscale.exceptions import OutcomeError
from mustardscale.outcomes import Outcome
from mustardscale.relay.crash_watch import CrashWatch
from mustardscale.relay.relay_endpoint import RelayClients, RelayEndpoint
from mustardscale.relay.relay_messages import RelayRequest
from mustardscale.relay.retry_budget import RetryBudgets
from mustardscale.reporting.event_log import EventLog

# Time beyond a deadline in which an endpoint's own word that it has passed may
# arrive, seconds.
ANSWER_MARGIN_S = 0.05


@dataclasses.dataclass(slots=True)
class RelayContext:
    """What relays need.

    Attributes:
        board: the blackboard.
        clients: the clients of endpoints.
        budgets: the retry budgets.
        crashes: finds out which requests crash endpoints.
        rng: the generator of random choices.
    """

    board: Blackboard
    clients: RelayClients
    budgets: RetryBudgets
    crashes: CrashWatch
    rng: random.Random

    @property
    def events(self) -> EventLog:
        """Where decisions are logged."""
        return self.board.events

    def now(self) -> float:
        """Returns the loop time."""
        return asyncio.get_running_loop().time()

    def take_retry(self, service: str) -> bool:
        """Takes a further arrival at a service from the budget."""
        hosts = len(self.board.live_hosts())
        return self.budgets.take(service, hosts, self.now())

    def client(self, endpoint_id: str) -> RelayEndpoint | None:
        """Returns the client of an endpoint, None if it is gone."""
        return self.clients.relay(endpoint_id)


def deadline_of(request: RelayRequest, route: Route) -> float:
    """Returns the loop time by which a request must have ended."""
    timeout_s = route.timeout_s
    if request.timeout_s is not None:
        timeout_s = min(timeout_s, request.timeout_s)
    return request.arrived_at + timeout_s


def deadline_error(ran: bool) -> OutcomeError:
    """Returns the outcome of a request whose time is over."""
    if ran:
        return OutcomeError(Outcome.DEADLINE_EXCEEDED)
    return OutcomeError(Outcome.DEADLINE_IN_QUEUE)
