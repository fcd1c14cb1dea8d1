"""Attempts at a stream: admission, prefill and the start of a run."""

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
from mustardscale.endpoints.process_check import ProcessReply, ProcessState
from mustardscale.exceptions import (
    EndpointFailedError,
    EndpointHasRestError,
    EndpointRefusedError,
    EndpointUnreachableError,
    MustardscaleError,
    OutcomeError,
)
from mustardscale.hosts.host_list import ListedKind
from mustardscale.outcomes import Outcome, OutcomeClass, outcome_class
from mustardscale.peers.peer_messages import AdmitReply
from mustardscale.pools.admission import AdmissionClient
from mustardscale.relay.answer_end import (
    STREAM_OUTLIVE,
    AnsweringProcess,
    OutliveTimes,
)
from mustardscale.relay.relay_context import RelayContext, compute_deadline
from mustardscale.relay.relay_endpoint import (
    EndpointAnswer,
    PrefillHandle,
    RelayCall,
    RelayEndpoint,
)
from mustardscale.relay.relay_messages import RelayRequest
from mustardscale.relay.repeated_end import NoRepeat
from mustardscale.relay.version_pin import VersionPin
from mustardscale.reporting.event_log import EventKind
from mustardscale.versions.version_witness import VersionWitness

# Number of attempts refused before any work was done at which the request is
# refused.
MAX_REFUSALS = 6
# Time after which the caller of such a request may return if engines kept
# closing after they were granted, seconds.
CLOSED_RETRY_AFTER_S = 0.5
# A prefill result is only used if it is kept for at least this time, seconds.
HANDLE_MARGIN_S = 0.15
FREE_TIMEOUT_S = 1.0
# Timeout after which a prefill is abandoned and repeated at another engine: a
# multiple of the expected time plus a margin, seconds.
PREFILL_TIMEOUT_FACTOR = 3.0
PREFILL_MARGIN_S = 0.25
DEFAULT_PREFILL_S = 0.5


# Share of the retry budget that runs may use which only tell an end, so that
# streams that broke off find a retry.
REPEAT_BUDGET_SHARE = 0.7


class NotRepeatedError(MustardscaleError):
    """An engine did not begin another run, which shows nothing of the first."""


class _EngineClosedError(MustardscaleError):
    """A granted engine is leaving, or has asked this host to send nothing."""


@dataclasses.dataclass(slots=True)
class AttemptProgress:
    """Counts and state of the attempts at one request.

    Attributes:
        attempt: number of the last attempt.
        refusals: attempts that were refused before any work was done.
        prefills: number of prefills sent.
        arrivals: number of runs sent, including those that were refused.
        runs: number of runs that an engine may have begun.
        excluded: engines that must not be tried again.
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
        served: the entry of the request on the blackboard.
        progress: counts and state of the attempts so far.
        deadline_at: loop time by which the request must have ended.
        weights_version: version of the weights below which no engine may go
            on, 0 for none.
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
            context: state and services that relays share.
            admission: asks the pool's owner for engines.
            background: runs the tasks that free unused prefill results.
            request: the request.
            route: the route of the request.
            service: the service that the request goes to.
            served: the entry of the request on the blackboard.
        """
        self._context = context
        self._admission = admission
        self._background = background
        self._request = request
        self._route = route
        self._service = service
        self._prompt = Prompt(served.prompt_tokens, (), served.fingerprint)
        self._is_trial = False
        self._called_engine = ''
        self._profile = build_route_profile(route)
        self._run_sent = False
        self._resume_after = ''
        self._process: AnsweringProcess | None = None
        self._pin = VersionPin(context, service.name)
        self.served = served
        self.progress = AttemptProgress()
        self.weights_version = 0
        self.deadline_at = compute_deadline(request, route)

    @property
    def version(self) -> str:
        """Software version of the stream, or of the engine called last."""
        if self._pin.version is not None:
            return self._pin.version
        return self._process.version if self._process is not None else ''

    def make_witness(self) -> VersionWitness | None:
        """Returns what shows the version of the engine that was called last."""
        if self._process is None:
            return None
        return self._context.witnesses.make(self._process)

    def pin_version(self, version: str) -> None:
        """Keeps all further attempts at engines of a software version."""
        self._pin.version = version

    async def next_answer(self, resume_after: str) -> EndpointAnswer:
        """Makes attempts until an engine has begun to answer.

        Args:
            resume_after: id of the event after which the stream resumes.

        Raises:
            OutcomeError: no engine answers.
        """
        self._resume_after = resume_after
        progress = self.progress
        while True:
            self._begin_attempt()
            try:
                return await self._make_attempt()
            except OutcomeError as error:
                if not await self._pin.wait(error):
                    raise self._correct_outcome(error) from error
            except _EngineClosedError as error:
                # Nothing was sent, so the engine is not excluded.
                progress.refusals += 1
                await self.record_failure('', error, False)
                if progress.refusals >= MAX_REFUSALS:
                    raise self._compute_closed_refusal() from error
            except (EndpointRefusedError, EndpointUnreachableError) as error:
                progress.refusals += 1
                await self.record_failure(self._current_engine(), error, False)
                if progress.refusals >= MAX_REFUSALS:
                    raise self._compute_refusal() from error
            except EndpointFailedError as error:
                # A failed prefill may always be repeated.
                ran = self._run_sent
                await self.record_failure(self._current_engine(), error, ran)
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

    def _correct_outcome(self, error: OutcomeError) -> OutcomeError:
        """Replaces a 'not run' outcome if an engine may have run it."""
        not_run = (
            outcome_class(error.outcome) is OutcomeClass.NOT_RUN
            or error.outcome is Outcome.QUARANTINED
        )
        if not_run and self.progress.runs:
            return OutcomeError(Outcome.ATTEMPTS_EXHAUSTED, error.detail)
        return error

    def _compute_refusal(self) -> OutcomeError:
        """Returns the outcome of a request that gets no further attempt."""
        if self.progress.runs:
            return OutcomeError(Outcome.ATTEMPTS_EXHAUSTED)
        return OutcomeError(Outcome.RETRY_BUDGET_SPENT, retry_after_s=1.0)

    def _compute_closed_refusal(self) -> OutcomeError:
        """Returns the outcome of a request whose granted engines were closed.

        The engines that it was not granted may be open.
        """
        if self.progress.runs:
            return OutcomeError(Outcome.ATTEMPTS_EXHAUSTED)
        return OutcomeError(
            Outcome.POOL_SATURATED,
            'the granted engines take no calls now',
            retry_after_s=CLOSED_RETRY_AFTER_S,
        )

    def _begin_attempt(self) -> None:
        progress = self.progress
        board = self._context.board
        served = self.served
        progress.attempt += 1
        served.tag = StreamTag(
            served.id, progress.attempt, board.host, board.incarnation
        )
        self._run_sent = False
        served.prefill = ''
        served.decode = ''
        served.stage = StreamStage.QUEUED
        served.attempt_base = served.relayed_tokens
        served.prompt_tokens = self._prompt.tokens + served.relayed_tokens

    async def _make_attempt(self) -> EndpointAnswer:
        """Makes one attempt: admission, prefill and the start of a run."""
        served = self.served
        progress = self.progress
        self._pin.refuse_if_gone(progress.excluded)
        self._refuse_if_all_busy()
        unavailable = self._context.find_unavailable_engines(self._service.name)
        grant = await self._admission.admit(
            self._prompt,
            served,
            self._profile,
            self._service.name,
            [
                *progress.excluded,
                *unavailable,
                *self._pin.find_other_engines(),
                *self._older_engines(),
            ],
            self.deadline_at,
        )
        served.prefill = grant.prefill
        served.decode = grant.decode
        self._is_trial = grant.is_trial
        self._require_version(grant.decode)
        self._drop_expiring_handle()
        served.stage = StreamStage.PREFILL
        if grant.prefill != grant.decode:
            if progress.handle is None:
                progress.handle = await self._prefill(grant)
            served.stage = StreamStage.TRANSFER
            self._admission.report_stage(served)
        self._run_sent = True
        return await self._run(grant.decode)

    def _current_engine(self) -> str:
        if self._run_sent:
            return self.served.decode
        return self.served.prefill

    def _older_engines(self) -> list[str]:
        """Returns the engines whose weights are older than the stream's."""
        context = self._context
        return context.engine_weights.find_older(
            self.weights_version, context.now()
        )

    def _require_version(self, engine_id: str) -> None:
        """Requires that a granted engine runs the version of the stream.

        The pool's owner may know another version of it than this host.

        Raises:
            _EngineClosedError: it does not, or it is gone.
        """
        if not self._pin.may_run(engine_id):
            self.progress.excluded.append(engine_id)
            raise _EngineClosedError(f'{engine_id} runs another version')

    async def _require_process(self, process: AnsweringProcess) -> None:
        """Requires that the process which the list names resumes the stream.

        A process that started at the same address and under the same id may
        run another version, before the list says so.

        Raises:
            EndpointFailedError: another process answers, or none does.
        """
        if not self._pin.version or not process.start:
            return
        reply = await self._context.ends.identify(process, self.deadline_at)
        if reply is not ProcessReply.SAME:
            raise EndpointFailedError(
                f'{process.endpoint_id}: the version is not confirmed'
            )

    def _refuse_if_all_busy(self) -> None:
        """Refuses a request if all decode engines of its service are busy.

        Raises:
            OutcomeError: all are busy; it holds the seconds until the first
                engine accepts work again.
        """
        context = self._context
        engines = context.endpoints(self._service.name, ListedKind.ENGINE)
        return_s = context.permits.refuse(
            engine
            for engine in engines
            if engine.role is not EngineRole.PREFILL
        )
        if return_s:
            raise OutcomeError(
                Outcome.POOL_SATURATED,
                'every engine is busy',
                retry_after_s=return_s,
            )

    async def _permitted_client(self, engine_id: str) -> RelayEndpoint:
        """Returns the client of an engine that may be sent to at once.

        Raises:
            EndpointUnreachableError: the engine is gone.
            _EngineClosedError: the engine must not be sent to now.
        """
        context = self._context
        permitted = await context.permits.acquire(engine_id, self._request.id)
        self._refuse_harmful()
        client = context.client(engine_id)
        if client is None:
            raise EndpointUnreachableError('the engine is gone')
        if not permitted or not context.takes_work(engine_id):
            raise _EngineClosedError(f'{engine_id} takes no calls from here')
        return client

    def _refuse_harmful(self) -> None:
        """Refuses a request that became known to crash engines meanwhile."""
        self._context.refuse_harmful(
            self.served.keys, self.progress.runs, self._is_trial
        )

    def _begin_call(self, engine_id: str) -> None:
        """Counts the request as in flight at an engine."""
        self.end_call()
        self._called_engine = engine_id
        self._context.crashes.begin(engine_id, self.served.id, self.served.keys)

    def end_call(self, is_success: bool = False) -> None:
        """Ends the call at the engine that was called last.

        Args:
            is_success: whether the engine has completed the request.
        """
        if self._called_engine:
            self._context.crashes.end(
                self._called_engine, self.served.id, is_success
            )
            self._called_engine = ''

    async def check_end(
        self,
        answer: EndpointAnswer,
        events: int,
        outlive: OutliveTimes = STREAM_OUTLIVE,
        unrepeated: NoRepeat | None = None,
    ) -> None:
        """Requires that the last answer is whole.

        Args:
            answer: the answer, whose content was read to its end.
            events: whole events received.
            outlive: times for which its process must outlive it.
            unrepeated: why no second run was asked for, None if it is one.

        Raises:
            EndpointFailedError: it is not.
        """
        if self._process is not None:
            await self._context.ends.check(
                answer,
                self._process,
                self.deadline_at,
                outlive,
                events,
                unrepeated or '',
            )

    def take_repeat(self) -> NoRepeat | None:
        """Takes a retry for another run at the engine that ran last.

        Returns:
            Why it may not be asked, None if it may.
        """
        process = self._process
        if process is None or not self._route.may_repeat:
            return NoRepeat.ROUTE
        if process.may_have_stopped(self.deadline_at):
            return NoRepeat.DEADLINE
        context = self._context
        if not context.takes_work(process.endpoint_id):
            return NoRepeat.CLOSED
        if not context.take_retry(self._service.name, REPEAT_BUDGET_SHARE):
            return NoRepeat.BUDGET
        return None

    async def repeat(self, resume_after: str) -> EndpointAnswer:
        """Runs the request once more at the engine that ran it last.

        It has the prompt in its memory, and counts as one engine.

        Args:
            resume_after: id of the event after which the run begins, '' for
                the first one.

        Raises:
            NotRepeatedError: the engine did not begin to run it.
            EndpointFailedError: there is no answer.
        """
        engine_id = self.served.decode
        self._resume_after = resume_after
        try:
            client = await self._permitted_client(engine_id)
            if not self._pin.may_run(engine_id):
                raise _EngineClosedError(f'{engine_id} runs another version')
            self.progress.arrivals += 1
            self._begin_call(engine_id)
            return await client.run(self._call(None))
        except (
            EndpointRefusedError,
            EndpointUnreachableError,
            _EngineClosedError,
        ) as error:
            raise NotRepeatedError(str(error)) from error

    async def require_same_process(self) -> None:
        """Requires that the process of the last run still runs.

        Another one may have taken its place, and ends the stream elsewhere.

        Raises:
            EndpointFailedError: it does not, or it does not reply.
        """
        process = self._process
        if process is None:
            return
        state = await self._context.ends.find_state(process, self.deadline_at)
        if state is not ProcessState.RUNS:
            raise EndpointFailedError(
                f'{process.endpoint_id}: the process of the first run is '
                f'not confirmed: {state}'
            )

    def record_survival(self) -> None:
        """Records that the request has done the engine that runs it no harm."""
        self._context.crashes.record_survival(
            self._called_engine, self.served.id
        )

    def _call(self, handle: PrefillHandle | None) -> RelayCall:
        return RelayCall(
            self._request,
            self.deadline_at,
            handle,
            self._resume_after,
            self._request.priority,
        )

    async def _prefill(self, grant: AdmitReply) -> PrefillHandle:
        """Computes the prompt at the granted prefill engine.

        A first prefill uses retry budget only if the engine refuses or fails
        it. Each later prefill takes one retry in advance.
        """
        context = self._context
        client = await self._permitted_client(grant.prefill)
        if self.progress.prefills and not context.take_retry(
            self._service.name
        ):
            raise self._compute_refusal()
        expected_s = grant.prefill_s or DEFAULT_PREFILL_S
        timeout_s = PREFILL_TIMEOUT_FACTOR * expected_s + PREFILL_MARGIN_S
        self._begin_call(grant.prefill)
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
        client = await self._permitted_client(engine_id)
        self._require_version(engine_id)
        if progress.arrivals and not context.take_retry(self._service.name):
            raise self._compute_refusal()
        handle = progress.handle
        progress.arrivals += 1
        progress.runs += 1
        self.served.started = True
        self._begin_call(engine_id)
        process = context.find_process(self._request.id, engine_id, client)
        self._process = process
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
        try:
            await self._require_process(process)
        except BaseException:
            answer.close()
            raise
        return answer

    def find_failed(self, failure: EndpointFailedError) -> str:
        """Returns the engine that must not go on with a stream, '' if none.

        An engine that has the rest of a stream goes on with it if no other
        one can.
        """
        context = self._context
        engine_id = self.served.decode
        if not isinstance(failure, EndpointHasRestError):
            return engine_id
        excluded = {
            engine_id,
            *self.progress.excluded,
            *self._pin.find_other_engines(),
            *self._older_engines(),
        }
        engines = context.endpoints(self._service.name, ListedKind.ENGINE)
        others = any(
            engine.role is not EngineRole.PREFILL
            and engine.id not in excluded
            and context.takes_work(engine.id)
            for engine in engines
        )
        return engine_id if others else ''

    async def record_failure(
        self, engine_id: str, error: MustardscaleError, ran: bool
    ) -> None:
        """Logs a failed attempt and releases its grant at the pool owner.

        Args:
            engine_id: the engine to exclude, '' for none.
            error: how the attempt failed.
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
            and await self._context.crashes.has_crashed(engine_id)
        ):
            outcome = Outcome.ENDPOINT_FAILED
        self.end_call()
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

    def _drop_expiring_handle(self) -> None:
        """Frees a prefill result that may expire before it is used."""
        handle = self.progress.handle
        now = self._context.now()
        if handle is not None and handle.kept_until - now < HANDLE_MARGIN_S:
            self.free_handle()

    def free_handle(self) -> None:
        """Frees the prefill result if there is one that was not fetched."""
        handle = self.progress.handle
        self.progress.handle = None
        if handle is None:
            return
        client = self._context.client(handle.engine_id)
        if client is not None:
            self._background.start(_free(client, handle))


async def _free(client: RelayEndpoint, handle: PrefillHandle) -> None:
    """Frees a prefill result; on failure the engine drops it at its expiry."""
    with contextlib.suppress(MustardscaleError, TimeoutError):
        async with asyncio.timeout(FREE_TIMEOUT_S):
            await client.free(handle)
