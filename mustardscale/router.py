"""Puts the controllers of one entry host together."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import hashlib
import random
from collections.abc import AsyncGenerator, Iterator

from mustardscale.active_requests import (
    DRAINING_RETRY_AFTER_S,
    ActiveRequests,
)
from mustardscale.blackboard import Blackboard
from mustardscale.callers.service_api import RequestService
from mustardscale.claims.claims_controller import Claims
from mustardscale.configuration.config_records import (
    Profile,
    ServiceChoice,
    ServiceKind,
)
from mustardscale.configuration.config_sync import (
    ConfigLogController,
    ConfigPeerController,
    SnapshotController,
)
from mustardscale.controller import Controller, RunningControllers
from mustardscale.directory.directory_client import DirectoryClient
from mustardscale.directory.directory_home import DirectoryHome
from mustardscale.endpoints.caller_requests import LanguageRequest, PlainRequest
from mustardscale.endpoints.cancellation import Canceller
from mustardscale.endpoints.endpoint_clients import EndpointClients
from mustardscale.endpoints.engines import TokenEvent
from mustardscale.endpoints.plain_endpoints import PlainAnswer
from mustardscale.exceptions import OutcomeError
from mustardscale.hosts.host_list_controller import HostListController
from mustardscale.hosts.membership import HeartbeatController
from mustardscale.hosts.membership_follower import MembershipFollower
from mustardscale.operators.state_dump import dump_state, summarize_state
from mustardscale.orders.order_controller import OrderController
from mustardscale.orders.order_log import OrderLog
from mustardscale.outcomes import Outcome
from mustardscale.peers.peer_calls import PeerCalls
from mustardscale.policy import POLICY_BY_NAME
from mustardscale.pools.admission import AdmissionClient
from mustardscale.pools.engine_drain import EngineDrains
from mustardscale.pools.engine_watch import EngineWatch
from mustardscale.pools.pool_owner import PoolOwner
from mustardscale.pools.reconcile import Reconciler
from mustardscale.quarantine.suspicion_sharing import SuspicionSharing
from mustardscale.quarantine.suspicions import (
    SuspicionExpiry,
    Suspicions,
    add_quarantine_gauges,
)
from mustardscale.reporting.metrics import Metrics
from mustardscale.requests.kept_answers import KeptAnswers
from mustardscale.requests.language import LanguageService
from mustardscale.requests.language_attempts import AttemptRunner
from mustardscale.requests.limits import ServiceLimits
from mustardscale.requests.plain_calls import PlainService, content_fingerprint
from mustardscale.requests.resumption import Resumption
from mustardscale.router_options import Edges, RouterOptions
from mustardscale.traces.trace import TraceKind


@dataclasses.dataclass(frozen=True, slots=True)
class _Arrival:
    """What is recorded of a request when it arrives."""

    request_id: str
    service: str
    fingerprint: int
    size: int
    once: bool = False
    resumed: bool = False
    repeatable: bool = False


class Router(RequestService):
    """One entry host: serves callers and takes part in the peers' work.

    Attributes:
        blackboard: the state that the controllers share.
        metrics: counters and histograms.
        pool_owner: admission to the pools owned here.
        claims: claims on the log.
        suspicions: requests suspected of crashing endpoints.
    """

    def __init__(
        self, options: RouterOptions, edges: Edges, rng: random.Random
    ):
        board = Blackboard(
            options.host,
            options.incarnation,
            options.data_centre,
            options.region,
        )
        calls = PeerCalls(board, edges.transport)
        clients = EndpointClients(board, edges.connector)
        self.suspicions = suspicions = Suspicions(board)
        self.blackboard = board
        self.metrics = Metrics()
        self._edges = edges
        board.trace = edges.trace
        self._calls = calls
        self._clients = clients
        self._running = RunningControllers()
        self._active = ActiveRequests()

        self.host_list = HostListController(
            board, edges.host_list, options.times, rng
        )
        self.heartbeats = HeartbeatController(board, calls, options.times, rng)
        self.config_log = ConfigLogController(board, edges.log, rng)
        self.pool_owner = PoolOwner(
            board, calls, suspicions, POLICY_BY_NAME[options.policy], rng
        )
        self.claims = Claims(board, edges.log, edges.wall_clock, rng)
        self._canceller = Canceller(board, clients)
        self._directory = DirectoryClient(board, calls, rng)
        self._admission = AdmissionClient(board, calls, rng)
        limits = ServiceLimits(board)
        self._language = self._language_service(options, limits)
        self._plain = PlainService(
            board, self._directory, self.claims, clients, limits, rng
        )
        add_quarantine_gauges(board, self.metrics)
        self.metrics.add_gauge(
            'unusable_list_entries', lambda: edges.host_list.unusable_count
        )
        self._controllers: list[Controller] = [
            self.host_list,
            self.heartbeats,
            *self._config_controllers(rng),
            *self._request_controllers(options, rng),
            *self._order_controllers(options),
            *self.claims.streams,
        ]

    def _language_service(
        self, options: RouterOptions, limits: ServiceLimits
    ) -> LanguageService:
        board, clients = self.blackboard, self._clients
        runner = AttemptRunner(
            board,
            self._admission,
            self._directory,
            clients,
            self._canceller,
            self.metrics,
        )
        resumption = Resumption(
            board, self._calls, clients, KeptAnswers(options.kept_answers)
        )
        return LanguageService(
            board,
            self._admission,
            self._directory,
            resumption,
            runner,
            limits,
            self.suspicions,
            self.metrics,
        )

    def _config_controllers(self, rng: random.Random) -> list[Controller]:
        """Returns what keeps the configuration up to date."""
        board, log = self.blackboard, self._edges.log
        return [
            self.config_log,
            ConfigPeerController(board, self._calls, rng),
            SnapshotController(board, self.config_log, log, rng),
        ]

    def _request_controllers(
        self, options: RouterOptions, rng: random.Random
    ) -> list[Controller]:
        """Returns what this host does for requests, its peers' as well."""
        board, calls, clients = self.blackboard, self._calls, self._clients
        home = DirectoryHome(board, calls, options.times.dead_after_s, rng)
        sharing = SuspicionSharing(board, calls, self.suspicions, rng)
        followers = [
            home.follow_membership,
            self.pool_owner.follow_membership,
            self._admission.follow_membership,
            self._directory.follow_membership,
            sharing.follow_membership,
        ]
        reconciler = Reconciler(
            board,
            clients,
            self.pool_owner,
            self._canceller,
            options.resume_grace_s,
            rng,
        )
        return [
            home,
            self._directory,
            self._admission,
            self.pool_owner,
            EngineWatch(board, clients, self.pool_owner, rng),
            reconciler,
            MembershipFollower(board, followers),
            SuspicionExpiry(self.suspicions),
            sharing,
        ]

    def _order_controllers(self, options: RouterOptions) -> list[Controller]:
        """Returns what gives orders to engines."""
        board = self.blackboard
        # A generator of their own, so that orders change no other draws.
        rng = random.Random(f'{options.host} {options.incarnation}')
        order_log = OrderLog(board, self._edges.log, rng)
        drains = EngineDrains(board, self._calls, self.pool_owner)
        orders = OrderController(
            board, self._clients, drains, order_log, self.metrics, rng
        )
        return [order_log, orders]

    async def start(self) -> None:
        """Starts to answer peers and starts the controllers."""
        await self._edges.transport.start(self._calls.dispatch)
        self._running.start(self._controllers)

    async def drain(self, notice_s: float, timeout_s: float) -> bool:
        """Stops taking requests and waits for those in progress.

        Peers take over this host's pools and directory entries at once.
        Callers are still served for a while, until the balancer has seen that
        the host is not ready.

        Args:
            notice_s: seconds for which new requests are still taken.
            timeout_s: seconds to wait for requests in progress at most.

        Returns:
            Whether all requests ended in time.
        """
        self.blackboard.draining = True
        self.blackboard.membership_changed.notify()
        await self.heartbeats.announce()
        await asyncio.sleep(notice_s)
        self._active.accepting = False
        try:
            async with asyncio.timeout(timeout_s):
                await self._active.wait_idle()
                await self._canceller.wait_idle()
        except TimeoutError:
            return False
        return True

    async def stop(self) -> None:
        """Stops at once."""
        self._canceller.stop()
        await self._running.stop()
        await self._edges.transport.close()
        await self._clients.close()
        await self._edges.log.close()
        await self._edges.host_list.close()
        self._edges.trace.close()

    def is_ready(self) -> bool:
        """Returns whether new requests are taken."""
        board = self.blackboard
        known = board.host_list_read and bool(board.config.services_by_name)
        return known and not board.draining

    def authenticate(self, bearer_token: str) -> str:
        """Returns the service that a bearer token belongs to."""
        config = self.blackboard.config
        if not config.services_by_name:
            raise OutcomeError(
                Outcome.CONFIG_UNAVAILABLE, retry_after_s=DRAINING_RETRY_AFTER_S
            )
        digest = hashlib.sha256(bearer_token.encode()).hexdigest()
        service = config.find_service_by_token(digest)
        if service is None:
            raise OutcomeError(Outcome.UNAUTHENTICATED)
        return service

    def service_choice(self, service: str) -> ServiceChoice:
        """Returns the published choice of a service."""
        entry = self.blackboard.config.services_by_name.get(service)
        if entry is None:
            raise OutcomeError(Outcome.UNKNOWN_SERVICE)
        return entry.choice

    def service_kind(self, service: str) -> ServiceKind:
        """Returns what stands behind a service."""
        return self.service_choice(service).kind

    def _profile(self, choice: ServiceChoice) -> Profile:
        entry = self.blackboard.config.profiles_by_name.get(choice.profile)
        if entry is None:
            raise OutcomeError(
                Outcome.CONFIG_UNAVAILABLE,
                f'profile {choice.profile} is not published',
            )
        return entry.profile

    async def serve_language(
        self, request: LanguageRequest
    ) -> AsyncGenerator[TokenEvent, None]:
        """Yields the tokens of an answer; closing it means the caller left."""
        arrival = _Arrival(
            request.id,
            request.service,
            request.prompt.fingerprint,
            request.prompt.tokens,
            resumed=request.resume_after is not None,
        )
        with self._counting(arrival):
            choice = self.service_choice(request.service)
            profile = self._profile(choice)
            async with contextlib.aclosing(
                self._language.serve(request, profile, choice.model)
            ) as events:
                async for event in events:
                    yield event

    async def serve_plain(self, request: PlainRequest) -> PlainAnswer:
        """Returns a plain service's answer; cancelled if the caller leaves."""
        arrival = _Arrival(
            request.id,
            request.service,
            content_fingerprint(request),
            len(request.body),
            once=not request.idempotent,
            repeatable=request.idempotent,
        )
        with self._counting(arrival):
            profile = self._profile(self.service_choice(request.service))
            return await self._plain.serve(request, profile)

    @contextlib.contextmanager
    def _counting(self, arrival: _Arrival) -> Iterator[None]:
        """Counts a request as active and records its arrival and outcome."""
        self._active.enter()
        self.blackboard.record(
            TraceKind.ARRIVED,
            arrival.request_id,
            service=arrival.service,
            fingerprint=arrival.fingerprint,
            size=arrival.size,
            once=arrival.once,
            resumed=arrival.resumed,
            repeatable=arrival.repeatable,
        )
        outcome = Outcome.INTERNAL_ERROR
        try:
            yield
        except OutcomeError as error:
            outcome = error.outcome
            raise
        except (GeneratorExit, asyncio.CancelledError):
            outcome = Outcome.CALLER_LEFT
            raise
        else:
            outcome = Outcome.COMPLETE
        finally:
            self.metrics.service(arrival.service).count_outcome(outcome)
            self.blackboard.record(
                TraceKind.ENDED, arrival.request_id, code=outcome
            )
            self._active.leave()

    def dump(self) -> dict[str, object]:
        """Returns the process's state as a JSON object."""
        return dump_state(self.blackboard, self.pool_owner)

    def status(self) -> dict[str, object]:
        """Returns a summary of the state as a JSON object."""
        return summarize_state(
            self.blackboard, self.pool_owner, self.config_log.log_reachable
        )
