"""Attempts at a stream: admission, prefill and the begin of a run."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses

from mustardscale.background_tasks import BackgroundTasks
from mustardscale.blackboard import RelayedRequest
from mustardscale.configuration.route_index import build_route_profile
from mustardscale.configuration.routes import Route, ServiceSpec
from mustardscale.endpoints.engines import (
    EngineRole,
    Prompt,
    StreamStage,
    StreamTag,
)
from mustardscale.exceptions import (
    EndpointFailedError,
    EndpointRefusedError,
    EndpointUnreachableError,
    MustardscaleError,
    OutcomeError,
)
from mustardscale.hosts.host_list import ListedKind
from mustardscale.outcomes import Outcome, OutcomeClass, outcome_class
from mustardscale.peers.peer_messages import AdmitReply
from mustardscale.pools.admission import AdmissionClient
from mustardscale.relay.relay_context import RelayContext, deadline_of
from mustardscale.relay.relay_endpoint import (
    EndpointAnswer,
    PrefillHandle,
    RelayCall,
    RelayEndpoint,
)
from mustardscale.relay.relay_messages import RelayRequest
from mustardscale.reporting.event_log import EventKind

# Attempts that endpoints refused without running anything.
MAX_REFUSALS = 6
# Time for which the result of a prefill must still be kept to be used, seconds.
HANDLE_MARGIN_S = 0.15
FREE_TIMEOUT_S = 1.0
# Time after which a prefill is given up and repeated elsewhere: a multiple of
# the expected time and a margin, seconds.
PREFILL_TIMEOUT_FACTOR = 3.0
PREFILL_MARGIN_S = 0.25
UNKNOWN_PREFILL_S = 0.5


class _EngineClosedError(MustardscaleError):
    """An engine that was granted leaves, or wants to be left alone."""


@dataclasses.dataclass(slots=True)
class AttemptProgress:
    """How the attempts at one request have gone.

    Attributes:
        attempt: number of the last attempt.
        refusals: attempts that were refused before any work.
        prefills: prefills sent.
        arrivals: runs sent, also those that were refused.
        runs: runs that an engine may have begun.
        excluded: engines that are not tried again.
        handle: result of a prefill that no engine has fetched yet.
    """

    attempt: int = 0
    refusals: int = 0
    prefills: int = 0
    arrivals: int = 0
    runs: int = 0
    excluded: list[str] = dataclasses.field(default_factory=list)
    handle: PrefillHandle | None = None


class StreamAttempts:
    """The attempts at one request.

    Attributes:
        served: what is registered of the request.
        progress: how they have gone so far.
        deadline_at: loop time by which the request must have ended.
    """

    def __init__(
        self,
        context: RelayContext,
        admission: AdmissionClient,
        background: BackgroundTasks,
        request: RelayRequest,
        route: Route,
        service: ServiceSpec,
        served: RelayedRequest,
    ):
        """Prepares the attempts.

        Args:
            context: what relays need.
            admission: asks the pool's owner for engines.
            background: frees what nobody fetches.
            request: the request.
            route: its route.
            service: the service that it goes to.
            served: what is registered of it.
        """
        self._context = context
        self._admission = admission
        self._background = background
        self._request = request
        self._route = route
        self._service = service
        self._prompt = Prompt(served.prompt_tokens, (), served.fingerprint)
        self._profile = build_route_profile(route)
        self._running = False
        self._resume_after = ''
        self.served = served
        self.progress = AttemptProgress()
        self.deadline_at = deadline_of(request, route)

    async def next_answer(self, resume_after: str) -> EndpointAnswer:
        """Makes attempts until an engine has begun to answer.

        Args:
            resume_after: id of the event after which the stream goes on.

        Raises:
            OutcomeError: no engine will.
        """
        self._resume_after = resume_after
        progress = self.progress
        while True:
            self._begin_attempt()
            try:
                return await self._attempt()
            except OutcomeError as error:
                raise self._truthful(error) from error
            except _EngineClosedError as error:
                # Nothing was sent, and the engine is not to blame.
                progress.refusals += 1
                await self.note_failure('', error, False)
                if progress.refusals >= MAX_REFUSALS:
                    raise self._refused() from error
            except (EndpointRefusedError, EndpointUnreachableError) as error:
                progress.refusals += 1
                await self.note_failure(self._engine_in_use(), error, False)
                if progress.refusals >= MAX_REFUSALS:
                    raise self._refused() from error
            except EndpointFailedError as error:
                # A prefill may always be repeated.
                ran = self._running
                await self.note_failure(self._engine_in_use(), error, ran)
                if ran and not self.may_run_again():
                    raise OutcomeError(
                        Outcome.ANSWER_LOST, str(error)
                    ) from error

    def may_run_again(self) -> bool:
        """Returns whether another engine may run the request."""
        return (
            self._route.may_repeat
            and self.progress.runs < self._route.max_attempts
        )

    def _truthful(self, error: OutcomeError) -> OutcomeError:
        """Returns an outcome that does not say 'not run' after a run."""
        not_run = outcome_class(error.outcome) is OutcomeClass.NOT_RUN
        if not_run and self.progress.runs:
            return OutcomeError(Outcome.ATTEMPTS_EXHAUSTED, error.detail)
        return error

    def _refused(self) -> OutcomeError:
        """Returns the outcome of a request that finds no engine."""
        if self.progress.runs:
            return OutcomeError(Outcome.ATTEMPTS_EXHAUSTED)
        return OutcomeError(Outcome.RETRY_BUDGET_SPENT, retry_after_s=1.0)

    def _begin_attempt(self) -> None:
        progress = self.progress
        board = self._context.board
        served = self.served
        progress.attempt += 1
        served.tag = StreamTag(
            served.id, progress.attempt, board.host, board.incarnation
        )
        self._running = False
        served.prefill = ''
        served.decode = ''
        served.stage = StreamStage.QUEUED
        served.attempt_base = served.relayed_tokens
        served.prompt_tokens = self._prompt.tokens + served.relayed_tokens

    async def _attempt(self) -> EndpointAnswer:
        """Admits, prefills and runs once."""
        served = self.served
        progress = self.progress
        self._refuse_if_all_busy()
        closed = self._context.closed_engines(self._service.name)
        grant = await self._admission.admit(
            self._prompt,
            served,
            self._profile,
            self._service.name,
            [*progress.excluded, *closed],
            self.deadline_at,
        )
        served.prefill = grant.prefill
        served.decode = grant.decode
        self._drop_stale_handle()
        served.stage = StreamStage.PREFILL
        if grant.prefill != grant.decode:
            if progress.handle is None:
                progress.handle = await self._prefill(grant)
            served.stage = StreamStage.TRANSFER
            self._admission.report_stage(served)
        self._running = True
        return await self._run(grant.decode)

    def _engine_in_use(self) -> str:
        if self._running:
            return self.served.decode
        return self.served.prefill

    def _refuse_if_all_busy(self) -> None:
        """Refuses a request whose every decode engine wants to be left alone.

        Raises:
            OutcomeError: with the time when the first one takes work again.
        """
        context = self._context
        engines = context.endpoints(self._service.name, ListedKind.ENGINE)
        busy_s = context.busy_s(
            engine
            for engine in engines
            if engine.role is not EngineRole.PREFILL
        )
        if busy_s:
            raise OutcomeError(
                Outcome.POOL_SATURATED,
                'every engine is busy',
                retry_after_s=busy_s,
            )

    def _client(self, engine_id: str) -> RelayEndpoint:
        context = self._context
        client = context.client(engine_id)
        if client is None:
            raise EndpointUnreachableError('the engine is gone')
        if not context.takes_work(engine_id):
            raise _EngineClosedError(f'{engine_id} takes no calls from here')
        return client

    def _call(self, handle: PrefillHandle | None) -> RelayCall:
        return RelayCall(
            self._request,
            self.deadline_at,
            handle,
            self._resume_after,
        )

    async def _prefill(self, grant: AdmitReply) -> PrefillHandle:
        """Has the prompt computed; only the first accepted time is free."""
        context = self._context
        client = self._client(grant.prefill)
        if self.progress.prefills and not context.take_retry(
            self._service.name
        ):
            raise self._refused()
        expected_s = grant.prefill_s or UNKNOWN_PREFILL_S
        timeout_s = PREFILL_TIMEOUT_FACTOR * expected_s + PREFILL_MARGIN_S
        try:
            async with asyncio.timeout(timeout_s) as limit:
                handle = await client.prefill(self._call(None))
        except TimeoutError as error:
            if not limit.expired():
                raise
            raise EndpointFailedError('no prefill in time') from error
        except (EndpointRefusedError, EndpointFailedError):
            if not self.progress.prefills:
                context.budgets.count_retry(self._service.name, context.now())
            raise
        finally:
            self.progress.prefills += 1
        return handle

    async def _run(self, engine_id: str) -> EndpointAnswer:
        """Sends the request to a decode engine."""
        context = self._context
        progress = self.progress
        client = self._client(engine_id)
        if progress.arrivals and not context.take_retry(self._service.name):
            raise self._refused()
        handle = progress.handle
        progress.arrivals += 1
        progress.runs += 1
        self.served.started = True
        try:
            answer = await client.run(self._call(handle))
        except EndpointUnreachableError:
            progress.arrivals -= 1
            progress.runs -= 1
            raise
        except EndpointRefusedError:
            progress.runs -= 1
            raise
        except EndpointFailedError:
            progress.handle = None
            raise
        progress.handle = None
        return answer

    async def note_failure(
        self, engine_id: str, error: MustardscaleError, ran: bool
    ) -> None:
        """Remembers how an attempt failed and tells the pool's owner.

        Args:
            engine_id: the engine, '' if none is to blame.
            error: how it failed.
            ran: whether the engine may have begun to run the request.
        """
        progress = self.progress
        if engine_id:
            progress.excluded.append(engine_id)
        outcome = Outcome.ATTEMPTS_EXHAUSTED
        if isinstance(error, EndpointUnreachableError):
            outcome = Outcome.ENDPOINT_UNREACHABLE
        elif (
            isinstance(error, EndpointFailedError)
            and error.crashed
            and not await self._context.crashes.is_alive(engine_id)
        ):
            outcome = Outcome.ENDPOINT_FAILED
        self._context.events.emit(
            EventKind.ATTEMPT_FAILED,
            self._request.id,
            outcome,
            endpoint=engine_id,
            cause=type(error).__name__,
            detail=str(error),
            runs=progress.runs,
            arrivals=progress.arrivals,
        )
        if self.served.decode:
            self._admission.release(self.served, outcome, 0, finished=False)

    def _drop_stale_handle(self) -> None:
        """Forgets a result that may not be kept long enough any more."""
        handle = self.progress.handle
        now = self._context.now()
        if handle is not None and handle.kept_until - now < HANDLE_MARGIN_S:
            self.free_handle()

    def free_handle(self) -> None:
        """Frees the result of a prefill that no engine fetched."""
        handle = self.progress.handle
        self.progress.handle = None
        if handle is None:
            return
        client = self._context.client(handle.engine_id)
        if client is not None:
            self._background.start(_free(client, handle))


async def _free(client: RelayEndpoint, handle: PrefillHandle) -> None:
    """Frees a result; where that fails it is dropped after its time."""
    with contextlib.suppress(MustardscaleError, TimeoutError):
        async with asyncio.timeout(FREE_TIMEOUT_S):
            await client.free(handle)
