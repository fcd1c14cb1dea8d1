"""Context and deadlines shared by the plain and the stream relay."""

from __future__ import annotations

import asyncio
import dataclasses
import random

from mustardscale.active_requests import (
    DRAINING_RETRY_AFTER_S,
    ActiveRequests,
)
from mustardscale.blackboard import Blackboard, EndpointEntry
from mustardscale.configuration.routes import Route
from mustardscale.exceptions import OutcomeError
from mustardscale.hosts.endpoint_loads import EndpointLoads
from mustardscale.hosts.host_list import ListedKind
from mustardscale.outcomes import Outcome
from mustardscale.quarantine.suspicions import describe
from mustardscale.rate_limits.permits import Permits
from mustardscale.relay.answer_end import AnswerEnds, AnsweringProcess
from mustardscale.relay.crash_watch import CrashWatch
from mustardscale.relay.process_witness import ProcessWitnesses
from mustardscale.relay.relay_endpoint import RelayClients, RelayEndpoint
from mustardscale.relay.relay_messages import RelayRequest
from mustardscale.relay.retry_budget import RetryBudgets
from mustardscale.relay.stream_backups import BackupScope
from mustardscale.relay.weights_order import EngineWeights
from mustardscale.reporting.event_log import EventLog
from mustardscale.reporting.metrics import Metrics
from mustardscale.suspension import suspended_s
from mustardscale.versions.stream_versions import StreamVersions

# Time after a deadline in which the endpoint's own answer that the deadline
# has passed may still arrive, seconds.
ANSWER_MARGIN_S = 0.05


@dataclasses.dataclass(slots=True)
class RelayContext:
    """State and services that relays share.

    Attributes:
        board: the blackboard.
        clients: the clients of endpoints.
        budgets: the retry budgets by service.
        crashes: detects crashes of endpoints and the requests behind them.
        rng: the generator of random choices.
        permits: permits to send to endpoints with a rate limit.
        ends: checks the ends of answers.
        versions: the software versions of streams.
        active: the requests in progress.
        metrics: the counters of this host.
        weights_field: name under which engines state the version of their
            weights, '' if they do not.
        backups: which streams get a copy of their KV cache.
        engine_weights: the versions that engines stated.
        loads: calls that all hosts have open at plain endpoints, None where
            hosts do not tell each other.
        witnesses: show which processes have begun streams.
    """

    board: Blackboard
    clients: RelayClients
    budgets: RetryBudgets
    crashes: CrashWatch
    rng: random.Random
    permits: Permits
    ends: AnswerEnds
    versions: StreamVersions
    active: ActiveRequests
    metrics: Metrics
    weights_field: str = ''
    backups: BackupScope = BackupScope.OFF
    engine_weights: EngineWeights = dataclasses.field(
        default_factory=EngineWeights
    )
    loads: EndpointLoads | None = None
    witnesses: ProcessWitnesses = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        """Makes what the other parts determine."""
        self.witnesses = ProcessWitnesses(self.board, self.ends)

    @property
    def events(self) -> EventLog:
        """The log of decisions and failures."""
        return self.board.events

    def now(self) -> float:
        """Returns the loop time."""
        return asyncio.get_running_loop().time()

    def take_retry(self, service: str, budget_share: float = 1.0) -> bool:
        """Takes one retry from a service's budget, if one remains.

        Args:
            service: the service.
            budget_share: share of the budget that may be used up.

        Returns:
            Whether the request may be sent to a further endpoint.
        """
        hosts = self.board.count_sharing_hosts()
        return self.budgets.take(service, hosts, self.now(), budget_share)

    def refuse_harmful(
        self, keys: tuple[str, ...], runs: int, is_trial: bool = False
    ) -> None:
        """Refuses a request that is known to crash endpoints.

        Args:
            keys: the request's suspicion keys.
            runs: number of endpoints that may have run it.
            is_trial: whether it was admitted although it is quarantined.

        Raises:
            OutcomeError: it must not be sent. The outcome says whether it may
                have run.
        """
        harmful = self.crashes.suspicions.find_harmful(keys)
        if harmful is None or is_trial:
            return
        outcome = Outcome.ATTEMPTS_EXHAUSTED if runs else Outcome.QUARANTINED
        raise OutcomeError(outcome, describe(harmful))

    def find_process(
        self, request_id: str, endpoint_id: str, client: RelayEndpoint
    ) -> AnsweringProcess:
        """Returns the process that a request is sent to."""
        entry = self.board.endpoints_by_id.get(endpoint_id)
        return AnsweringProcess(
            request_id,
            endpoint_id,
            client,
            start=entry.notice.start if entry is not None else 0,
            version=entry.version if entry is not None else '',
            sent_at=self.now(),
            suspended_before_s=suspended_s(),
        )

    def timeout_error(self, ran: bool) -> OutcomeError:
        """Returns the outcome of a request whose time is up.

        Args:
            ran: whether an endpoint may have run the request.
        """
        if not self.active.ending:
            return deadline_error(ran)
        if ran:
            return OutcomeError(
                Outcome.ANSWER_LOST, 'The host shut down before the answer.'
            )
        return OutcomeError(
            Outcome.DRAINING, retry_after_s=DRAINING_RETRY_AFTER_S
        )

    def client(self, endpoint_id: str) -> RelayEndpoint | None:
        """Returns the client of an endpoint, None if it is gone."""
        return self.clients.relay(endpoint_id)

    def endpoints(self, service: str, kind: ListedKind) -> list[EndpointEntry]:
        """Returns the endpoints of a service that are not leaving."""
        now = self.now()
        return [
            endpoint
            for endpoint in self.board.endpoints_by_id.values()
            if endpoint.service == service
            and endpoint.kind is kind
            and not endpoint.leaving(now)
        ]

    def takes_work(self, endpoint_id: str) -> bool:
        """Returns whether a call may be sent to an endpoint now."""
        endpoint = self.board.endpoints_by_id.get(endpoint_id)
        return endpoint is not None and endpoint.takes_work(self.now())

    def find_unavailable_engines(self, service: str) -> list[str]:
        """Returns a service's engines that accept no call from this host."""
        now = self.now()
        return [
            endpoint.id
            for endpoint in self.board.endpoints_by_id.values()
            if endpoint.service == service
            and endpoint.kind is ListedKind.ENGINE
            and not endpoint.takes_work(now)
        ]


def compute_deadline(request: RelayRequest, route: Route) -> float:
    """Returns the loop time by which a request must have ended."""
    timeout_s = route.timeout_s
    if request.timeout_s is not None:
        timeout_s = min(timeout_s, request.timeout_s)
    return request.arrived_at + timeout_s


def deadline_error(ran: bool) -> OutcomeError:
    """Returns the outcome of a request whose deadline has passed.

    Args:
        ran: whether an endpoint may have run the request.
    """
    if ran:
        return OutcomeError(Outcome.DEADLINE_EXCEEDED)
    return OutcomeError(Outcome.DEADLINE_IN_QUEUE)
