"""Puts the controllers of one host together that relays requests on routes.

It has the same admission, policy, reservations, membership, configuration,
quarantine and orders as the router of the product's own interface. What only
that interface needs is not started: claims, the directory and kept answers.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import random
from collections.abc import AsyncIterator

from mustardscale.active_requests import ActiveRequests
from mustardscale.blackboard import Blackboard
from mustardscale.configuration.config_sync import ConfigPeerController
from mustardscale.configuration.route_source import (
    UNCONFIRMED_RETRY_AFTER_S,
    RouteController,
    RouteReporter,
)
from mustardscale.configuration.routes import Route, ServiceSpec
from mustardscale.controller import Controller, RunningControllers
from mustardscale.exceptions import OutcomeError
from mustardscale.forwarding.forward_server import ForwardServer
from mustardscale.forwarding.forwarders import Forwarders
from mustardscale.forwarding.forwarding_connector import ForwardingConnector
from mustardscale.forwarding.link_monitor import LinkMonitor
from mustardscale.hosts.endpoint_loads import EndpointLoads
from mustardscale.hosts.host_list_controller import HostListController
from mustardscale.hosts.host_list_copy import HostListCopy
from mustardscale.hosts.host_registration import HostRegistration
from mustardscale.hosts.membership import HeartbeatController
from mustardscale.hosts.membership_follower import MembershipFollower
from mustardscale.hosts.stream_copies import StreamCopies
from mustardscale.orders.order_controller import OrderController
from mustardscale.orders.order_log import OrderLog
from mustardscale.orders.role_balance import RoleBalance
from mustardscale.outcomes import Outcome, OutcomeClass, outcome_class
from mustardscale.peers.peer_calls import PeerCalls
from mustardscale.policy import make_policy
from mustardscale.pools.admission import AdmissionClient
from mustardscale.pools.engine_drain import EngineDrains
from mustardscale.pools.engine_watch import EngineWatch
from mustardscale.pools.pool_owner import PoolOwner
from mustardscale.quarantine.quarantine_log import QuarantineLog
from mustardscale.quarantine.suspicion_sharing import SuspicionSharing
from mustardscale.quarantine.suspicions import (
    SuspicionExpiry,
    Suspicions,
    add_quarantine_gauges,
)
from mustardscale.quotas.host_quotas import HostQuotas
from mustardscale.quotas.quota_amounts import compute_amount
from mustardscale.quotas.quota_owner import QuotaOwner, QuotaOwners
from mustardscale.rate_limits.permit_owner import PermitOwner, PermitOwners
from mustardscale.rate_limits.permits import Permits
from mustardscale.relay.answer_end import AnswerEnds
from mustardscale.relay.caller_identity import CallerIdentities
from mustardscale.relay.crash_watch import CrashWatch
from mustardscale.relay.even_load import PlainLoad
from mustardscale.relay.plain_relay import PlainRelay
from mustardscale.relay.relay_context import RelayContext
from mustardscale.relay.relay_endpoint import RelayClients
from mustardscale.relay.relay_messages import RelayRequest, WholeAnswer
from mustardscale.relay.request_report import RequestReport
from mustardscale.relay.retry_budget import RetryAllowance, RetryBudgets
from mustardscale.relay.stream_relay import (
    RelayedStream,
    StreamRelay,
)
from mustardscale.relay_options import RelayEdges, RelayOptions
from mustardscale.reporting.metrics import Metrics
from mustardscale.versions.stream_versions import StreamVersions
from mustardscale.versions.version_log import VersionLog

# Time for the last answers to be sent when a drain has taken too long, seconds.
LAST_ANSWERS_S = 0.2
# Time for which a host that is behind its peers waits for the store's stream,
# before it copies their configuration, seconds. With a heartbeat and the copy
# it is less than the time within which a change must take effect.
CONFIG_GRACE_S = 0.75

RelayedAnswer = WholeAnswer | RelayedStream


class RelayRouter:
    """One host: relays callers' requests and takes part in the peers' work.

    Attributes:
        blackboard: the state that the controllers share.
        metrics: counters and histograms.
        active: the requests in progress.
        pool_owner: admission to the pools owned here.
        permit_owner: permits of the rate limits owned here.
        quota_owner: grants of the customers' quotas owned here.
        versions: the software versions of streams.
        forward_server: calls endpoints for other hosts.
    """

    def __init__(
        self,
        board: Blackboard,
        options: RelayOptions,
        edges: RelayEdges,
        rng: random.Random,
    ):
        """Puts the parts together.

        Args:
            board: the state of this host, which the edges may know already.
            options: how it works.
            edges: the outside systems.
            rng: the generator of random choices.
        """
        self.blackboard = board
        self.metrics = Metrics()
        self.active = ActiveRequests()
        self._edges = edges
        self._rng = rng
        self._running = RunningControllers()
        self._calls = calls = PeerCalls(board, edges.transport)
        self._budgets = RetryBudgets(options.allowance)
        self._identities = CallerIdentities(
            edges.routes, options.customer_header, options.max_key_age_s
        )
        suspicions = Suspicions(board)
        self.heartbeats = HeartbeatController(board, calls, options.times, rng)
        forwarders = Forwarders(
            board, calls, self.metrics, self.heartbeats.meet, rng
        )
        monitor = LinkMonitor(board, forwarders, rng)
        self._clients = clients = RelayClients(
            board, ForwardingConnector(edges.connector, monitor)
        )
        self.forward_server = ForwardServer(
            board, calls, clients, monitor, self.active, self.metrics
        )
        copies = StreamCopies(
            board, calls, self.heartbeats.hubs, edges.tails, rng
        )
        self.heartbeats.report_streams(copies)
        self.pool_owner = PoolOwner(
            board,
            calls,
            suspicions,
            functools.partial(
                make_policy,
                options.policy,
                learns_speeds=options.even_load,
            ),
            rng,
            options.settle_s,
            self.metrics,
        )
        admission = AdmissionClient(board, calls, rng)
        permit_owners = PermitOwners(board)
        self.permit_owner = PermitOwner(board, calls, permit_owners)
        permits = Permits(board, calls, permit_owners, self.metrics, rng)
        quota_owners = QuotaOwners(board)
        self.quota_owner = QuotaOwner(
            board, calls, quota_owners, options.quota_tolerance
        )
        self._quotas = HostQuotas(
            board,
            calls,
            quota_owners,
            options.quota_tolerance,
            self.metrics,
            rng,
        )
        host_list = HostListController(
            board, edges.host_list, options.times, rng
        )
        version_log = self._make_version_log(host_list)
        self.versions = StreamVersions(board, calls, self.metrics, version_log)
        context = RelayContext(
            board,
            clients,
            self._budgets,
            CrashWatch(board, clients, suspicions),
            rng,
            permits,
            AnswerEnds(board, self.metrics),
            self.versions,
            self.active,
            self.metrics,
            options.weights_field,
            options.backups,
            loads=self._make_loads(options),
        )
        self._plain = PlainRelay(context, options.answers)
        self._streams = StreamRelay(context, admission)
        self._registration = HostRegistration(
            board, edges.host_list, host_list, rng
        )
        sharing = SuspicionSharing(board, calls, suspicions, rng)
        followers = [
            self.pool_owner.follow_membership,
            admission.follow_membership,
            sharing.follow_membership,
            permit_owners.follow_membership,
            self.permit_owner.follow_membership,
            permits.follow_membership,
            quota_owners.follow_membership,
            self.quota_owner.follow_membership,
            self._quotas.follow_membership,
        ]
        add_quarantine_gauges(board, self.metrics)
        self.metrics.add_gauge(
            'config_version', lambda: board.config.routes.table.version
        )
        self.metrics.add_gauge('config_read_age_seconds', edges.routes.age_s)
        self.metrics.add_gauge(
            'unusable_list_entries', lambda: edges.host_list.unusable_count
        )
        self._controllers: list[Controller] = [
            *edges.tails,
            copies,
            host_list,
            HostListCopy(
                board,
                calls,
                edges.host_list,
                host_list,
                options.seed_addresses,
                rng,
            ),
            self._registration,
            self.heartbeats,
            RouteController(board, edges.routes, rng),
            RouteReporter(board, edges.routes),
            ConfigPeerController(board, calls, rng, CONFIG_GRACE_S),
            admission,
            self.pool_owner,
            EngineWatch(
                board, clients, self.pool_owner, rng, options.report_interval_s
            ),
            MembershipFollower(board, followers),
            SuspicionExpiry(suspicions),
            sharing,
            permits,
            self.quota_owner,
            self.forward_server,
            self.versions,
            *([version_log] if version_log is not None else []),
            *self._quarantine_controllers(suspicions),
            *self._order_controllers(options),
        ]

    def _make_loads(self, options: RelayOptions) -> EndpointLoads | None:
        """Returns what hosts tell each other of plain endpoints, if any."""
        if not options.even_load:
            return None
        loads = EndpointLoads()
        self.heartbeats.report_loads(loads)
        return loads

    def _make_version_log(
        self, host_list: HostListController
    ) -> VersionLog | None:
        """Returns what keeps on the platform which versions have run."""
        stream = self._edges.versions
        if stream is None:
            return None
        return VersionLog(
            self.blackboard, stream.client, stream.tail, host_list
        )

    def _quarantine_controllers(
        self, suspicions: Suspicions
    ) -> list[Controller]:
        """Returns what keeps on the platform what crashes endpoints."""
        stream = self._edges.quarantine
        if stream is None:
            return []
        return [
            QuarantineLog(
                self.blackboard,
                stream.client,
                stream.tail,
                suspicions,
                stream.wall_clock,
            )
        ]

    def _order_controllers(self, options: RelayOptions) -> list[Controller]:
        """Returns what gives orders to engines."""
        board = self.blackboard
        rng = random.Random(f'{board.host} {board.incarnation}')
        order_log = OrderLog(board, self._edges.log, rng, self._edges.orders)
        orders = OrderController(
            board,
            self._clients,
            EngineDrains(board, self._calls, self.pool_owner),
            order_log,
            self.metrics,
            rng,
            RoleBalance(options.prefill_share),
        )
        return [order_log, orders]

    async def start(self) -> None:
        """Starts to answer peers and starts the controllers."""
        await self._edges.transport.start(self._calls.dispatch)
        self._running.start(self._controllers)

    async def drain(self, notice_s: float, timeout_s: float) -> bool:
        """Stops taking requests and waits for those in progress.

        Args:
            notice_s: seconds for which new requests are still taken, until the
                balancer has seen that this host is not ready.
            timeout_s: seconds to wait for requests in progress at most.

        Returns:
            Whether all requests ended in time.
        """
        board = self.blackboard
        board.draining = True
        board.membership_changed.notify()
        withdrawing = asyncio.create_task(self._registration.withdraw())
        await self.heartbeats.announce()
        await asyncio.sleep(notice_s)
        self.active.accepting = False
        try:
            async with asyncio.timeout(timeout_s):
                await self.active.wait_idle()
        except TimeoutError:
            await self._end_unanswered()
            return False
        finally:
            withdrawing.cancel()
        return True

    async def _end_unanswered(self) -> None:
        """Tells the callers that have no answer yet that there will be none."""
        self.active.end_unanswered()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LAST_ANSWERS_S):
                await self.active.wait_idle()

    async def stop(self) -> None:
        """Stops at once."""
        await self._running.stop()
        await self._edges.transport.close()
        await self._clients.close()
        await self._edges.log.close()
        await self._edges.routes.close()
        await self._edges.host_list.close()

    def describe_plain_loads(self) -> dict[str, PlainLoad]:
        """Returns the load of plain endpoints by id; empty where unknown."""
        return self._plain.describe_loads()

    def set_allowance(self, allowance: RetryAllowance) -> None:
        """Sets the retry budget of each service."""
        self._budgets.allowance = allowance

    def is_ready(self) -> bool:
        """Returns whether callers may be sent here."""
        board = self.blackboard
        known = board.config.routes.table.version and board.endpoints_by_id
        return bool(known) and not board.draining

    @contextlib.asynccontextmanager
    async def serve(
        self, request: RelayRequest
    ) -> AsyncIterator[RelayedAnswer]:
        """Opens the answer to a request; leaving the context ends it.

        Raises:
            OutcomeError: there is no answer, or it broke off.
        """
        self.active.enter()
        report = RequestReport(self.blackboard, self.metrics, request)
        try:
            route, service = self._find(request)
            report.route, report.service = route, service
            routes = self.blackboard.config.routes
            self._identities.identify(request, route, routes)
            request.priority = routes.priorities.find(
                route, request.customer, service.name
            )
            await self._draw_on_quota(request)
            if service.engine is None:
                answer = await self._plain.serve(request, route, service.name)
                report.status = answer.head.status
                report.endpoint_id = answer.endpoint_id
                report.framing = answer.framing
                yield answer
            else:
                async with self._streams.serve(
                    request, route, service
                ) as stream:
                    report.stream = stream
                    report.status = stream.head.status
                    yield stream
                    report.endpoint_id = stream.served.decode
                    report.framing = stream.framing
        except OutcomeError as error:
            report.outcome = error.outcome
            report.error = error
            if outcome_class(error.outcome) is OutcomeClass.NOT_RUN:
                self._return_to_quota(request)
            raise
        except (
            asyncio.CancelledError,
            GeneratorExit,
            ConnectionError,
        ) as error:
            report.outcome = Outcome.CALLER_LEFT
            if isinstance(error.__cause__, OutcomeError):
                # The caller's connection was closed since the answer broke.
                report.error = error.__cause__
                report.outcome = report.error.outcome
            raise
        except BaseException:
            report.outcome = Outcome.INTERNAL_ERROR
            raise
        finally:
            self.active.leave()
            report.log_and_count()

    def _find(self, request: RelayRequest) -> tuple[Route, ServiceSpec]:
        """Returns the route of a request and the service that it goes to."""
        routes = self.blackboard.config.routes
        if not routes.table.version:
            raise OutcomeError(
                Outcome.CONFIG_UNAVAILABLE,
                retry_after_s=UNCONFIRMED_RETRY_AFTER_S,
            )
        route = routes.find(request.host, request.path)
        if route is None:
            self._edges.routes.require_recent_for_denial()
            raise OutcomeError(
                Outcome.UNKNOWN_SERVICE,
                f'no route matches in version {routes.table.version}; '
                f'{self._edges.routes.describe_age()}',
            )
        target = self._rng.choices(
            route.targets, [target.weight for target in route.targets]
        )[0]
        service = routes.service_by_name.get(target.service)
        if service is None:
            raise OutcomeError(Outcome.NO_ENDPOINT, retry_after_s=1.0)
        return route, service

    async def _draw_on_quota(self, request: RelayRequest) -> None:
        """Draws on the quota of a request's customer.

        Raises:
            OutcomeError: RATE_LIMITED.
        """
        customer = request.customer
        if customer is None or not customer.quota.is_limited:
            return
        amount = compute_amount(customer.quota, request.declared_tokens)
        request.draw = await self._quotas.acquire(customer, amount, request.id)

    def _return_to_quota(self, request: RelayRequest) -> None:
        """Returns what was drawn for a request that has not run."""
        if request.draw is not None:
            self._quotas.give_back(request.draw)
            request.draw = None
