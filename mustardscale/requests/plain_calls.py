"""Serves requests to plain services."""

from __future__ import annotations

import asyncio
import logging
import random

import xxhash

from mustardscale.blackboard import Blackboard, EndpointEntry, ServedRequest
from mustardscale.claims.claim_state import ClaimRecord
from mustardscale.claims.claims_controller import Claims
from mustardscale.configuration.config_records import Profile
from mustardscale.directory.directory_client import DirectoryClient, check_reply
from mustardscale.directory.directory_home import ENDED_RETENTION_S
from mustardscale.endpoints.caller_requests import PlainRequest
from mustardscale.endpoints.endpoint_clients import EndpointClients
from mustardscale.endpoints.plain_endpoints import PlainAnswer, PlainCall
from mustardscale.exceptions import (
    EndpointFailedError,
    EndpointRefusedError,
    EndpointUnreachableError,
    OutcomeError,
)
from mustardscale.hosts.host_list import ListedKind
from mustardscale.hosts.membership import LEAVING_MEMORY_S
from mustardscale.outcomes import Outcome
from mustardscale.requests.limits import ServiceLimits
from mustardscale.traces.trace import TraceKind

log = logging.getLogger(__name__)

RETRY_AFTER_S = 1.0
# Time for which an endpoint is avoided after a connection to it could not be
# made, seconds.
UNREACHABLE_MEMORY_S = 1.0
# Maximum endpoints that one request is offered to.
MAX_ENDPOINTS_TRIED = 8


class PlainService:
    """Serves plain requests whose callers are connected to this host."""

    def __init__(
        self,
        blackboard: Blackboard,
        directory: DirectoryClient,
        claims: Claims,
        clients: EndpointClients,
        limits: ServiceLimits,
        rng: random.Random,
    ):
        self._blackboard = blackboard
        self._directory = directory
        self._claims = claims
        self._clients = clients
        self._limits = limits
        self._rng = rng

    async def serve(
        self, request: PlainRequest, profile: Profile
    ) -> PlainAnswer:
        """Returns the service's answer.

        Raises:
            OutcomeError: the request ended without an answer.
        """
        deadline_at = asyncio.get_running_loop().time() + (
            request.timeout_s or profile.timeout_s
        )
        if not request.idempotent:
            self._claims.check_known(request.id, content_fingerprint(request))
        self._limits.enter(request.service, profile)
        try:
            if request.idempotent:
                return await self._serve_idempotent(
                    request, profile, deadline_at
                )
            return await self._serve_once(request, deadline_at)
        finally:
            self._limits.leave(request.service)

    async def _serve_idempotent(
        self, request: PlainRequest, profile: Profile, deadline_at: float
    ) -> PlainAnswer:
        tried: set[str] = set()
        sent = False
        while True:
            endpoint = self._choose_endpoint(
                request.service, tried, deadline_at, sent
            )
            tried.add(endpoint.id)
            try:
                return await self._send(request, endpoint, deadline_at)
            except (EndpointUnreachableError, EndpointRefusedError) as error:
                log.debug(
                    'endpoint %s did not take the request: %s',
                    endpoint.id,
                    error,
                )
            except EndpointFailedError as error:
                sent = True
                if not self._limits.take_retry(request.service, profile):
                    raise OutcomeError(Outcome.PLAIN_SERVICE_FAILED) from error
            except TimeoutError as error:
                raise OutcomeError(Outcome.DEADLINE_EXCEEDED) from error

    async def _serve_once(
        self, request: PlainRequest, deadline_at: float
    ) -> PlainAnswer:
        """Serves a request that is not idempotent, so it runs at most once."""
        if request.id in self._blackboard.served_by_id:
            raise OutcomeError(Outcome.ALREADY_IN_PROGRESS)
        served = ServedRequest(
            id=request.id,
            service=request.service,
            fingerprint=content_fingerprint(request),
            arrived_at=asyncio.get_running_loop().time(),
        )
        self._blackboard.served_by_id[request.id] = served
        answered = False
        try:
            claim = await self._claim(served)
            answer = await self._dispatch(request, claim, deadline_at)
            answered = True
            return answer
        finally:
            self._blackboard.served_by_id.pop(request.id, None)
            self._directory.remove(served, answered)

    async def _claim(self, served: ServedRequest) -> ClaimRecord:
        """Registers and claims a request, so that only this host may run it.

        While the log is unavailable, other hosts report the id as not run if
        its directory home knows of no holder. So a host whose registration
        failed must not run the request, even if it holds the claim. It still
        claims the id, because only the log can tell whether the id ran before.

        Raises:
            OutcomeError: the request must not run at this host.
        """
        unregistered: OutcomeError | None = None
        known_s = 0.0
        try:
            reply = await self._directory.register(served)
        except OutcomeError as error:
            unregistered = error
        else:
            check_reply(reply, served)
            if not reply.found:
                known_s = min(reply.known_s, ENDED_RETENTION_S)
        claim = await self._claims.claim(served.id, served.fingerprint, known_s)
        if unregistered is not None:
            self._claims.abandon(claim)
            raise unregistered
        return claim

    async def _dispatch(
        self, request: PlainRequest, claim: ClaimRecord, deadline_at: float
    ) -> PlainAnswer:
        """Sends a claimed request to an endpoint and returns its answer.

        Another endpoint is tried only if the request certainly did not reach
        the one before.

        Raises:
            OutcomeError: ANSWER_LOST, the request may have run; other outcomes,
                it was not run.
        """
        tried: set[str] = set()
        while True:
            try:
                endpoint = self._choose_endpoint(
                    request.service, tried, deadline_at, False
                )
            except OutcomeError:
                self._claims.abandon(claim)
                raise
            tried.add(endpoint.id)
            self._record(TraceKind.SENT, request, endpoint)
            try:
                answer = await self._send(request, endpoint, deadline_at)
            except (EndpointUnreachableError, EndpointRefusedError) as error:
                log.debug(
                    'endpoint %s did not take the request: %s',
                    endpoint.id,
                    error,
                )
                self._record(TraceKind.UNSENT, request, endpoint)
            except (EndpointFailedError, TimeoutError) as error:
                self._claims.finish(claim, answered=False)
                raise OutcomeError(Outcome.ANSWER_LOST) from error
            except asyncio.CancelledError:
                self._claims.finish(claim, answered=False)
                raise
            else:
                self._claims.finish(claim, answered=True)
                return answer

    def _record(
        self, kind: TraceKind, request: PlainRequest, endpoint: EndpointEntry
    ) -> None:
        self._blackboard.record(kind, request.id, endpoint=endpoint.id)

    def _choose_endpoint(
        self, service: str, tried: set[str], deadline_at: float, sent: bool
    ) -> EndpointEntry:
        """Chooses the less loaded of two random endpoints.

        Args:
            service: name of the service.
            tried: ids of the endpoints that are no longer offered the request.
            deadline_at: loop time of the request's deadline, seconds.
            sent: whether an endpoint may have run the request before.

        Raises:
            OutcomeError: the deadline has passed, or no endpoint is left.
        """
        now = asyncio.get_running_loop().time()
        if now >= deadline_at:
            raise OutcomeError(
                Outcome.DEADLINE_EXCEEDED if sent else Outcome.DEADLINE_IN_QUEUE
            )
        candidates = [
            endpoint
            for endpoint in self._blackboard.endpoints_by_id.values()
            if endpoint.kind is ListedKind.PLAIN
            and endpoint.service == service
            and endpoint.id not in tried
            and not endpoint.leaving(now)
        ]
        reachable = [
            endpoint
            for endpoint in candidates
            if endpoint.unreachable_since is None
            or now - endpoint.unreachable_since > UNREACHABLE_MEMORY_S
        ]
        candidates = reachable or candidates
        if not candidates or len(tried) >= MAX_ENDPOINTS_TRIED:
            raise OutcomeError(
                Outcome.PLAIN_SERVICE_FAILED if sent else Outcome.NO_ENDPOINT,
                retry_after_s=RETRY_AFTER_S,
            )
        pair = self._rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda endpoint: endpoint.in_flight)

    async def _send(
        self, request: PlainRequest, endpoint: EndpointEntry, deadline_at: float
    ) -> PlainAnswer:
        loop = asyncio.get_running_loop()
        client = self._clients.plain(endpoint.id)
        if client is None:
            raise EndpointUnreachableError(f'{endpoint.id} is not listed')
        call = PlainCall(
            request.id,
            request.method,
            request.path,
            request.headers,
            request.body,
            timeout_s=deadline_at - loop.time(),
            is_leaving=lambda: self._is_leaving(endpoint),
        )
        endpoint.in_flight += 1
        try:
            async with asyncio.timeout_at(deadline_at):
                answer = await client.call(call)
        except EndpointUnreachableError:
            endpoint.unreachable_since = loop.time()
            raise
        except EndpointRefusedError:
            endpoint.leaving_until = loop.time() + LEAVING_MEMORY_S
            raise
        finally:
            endpoint.in_flight -= 1
        endpoint.unreachable_since = None
        return answer

    def _is_leaving(self, endpoint: EndpointEntry) -> bool:
        """Returns whether an endpoint leaves, or is gone or replaced."""
        listed = self._blackboard.endpoints_by_id.get(endpoint.id)
        now = asyncio.get_running_loop().time()
        return listed is not endpoint or endpoint.leaving(now)


def content_fingerprint(request: PlainRequest) -> int:
    """Returns a hash of a request's service, method, path and body."""
    head = f'{request.service} {request.method} {request.path}\n'.encode()
    return xxhash.xxh3_64_intdigest(head + request.body)
