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
from mustardscale.relay.stream_backups import (
    NotContinuedError,
    StreamBackup,
    wants_backup,
)
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

# Characters of an event's id in logs at most.
MAX_SHOWN_ID = 40

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
        # The copy of the KV cache of the present run.
        self._backup: StreamBackup | None = None
        # Releases the attempt before the present one.
        self._leaving: asyncio.Task[object] | None = None
        served.wants_backup = wants_backup(context.backups, route, service)
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
                if ran and error.crashed and self.has_backup:
                    with contextlib.suppress(NotContinuedError):
                        return await self.continue_at_backup(
                            error, resume_after
                        )
                else:
                    await self.record_failure(
                        self._current_engine(), error, ran
                    )
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
        served.backup = ''
        self._backup = None
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
        self._name_backup(grant)
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

    def _name_backup(self, grant: AdmitReply) -> None:
        """Notes the engine that the owner names for a copy of the KV cache."""
        served = self.served
        if not served.wants_backup or grant.backup in ('', grant.decode):
            return
        entries_by_id = self._context.board.endpoints_by_id
        runner = entries_by_id.get(grant.decode)
        entry = entries_by_id.get(grant.backup)
        if entry is None or runner is None or entry.version != runner.version:
            return
        if self._context.takes_work(grant.backup):
            served.backup = grant.backup
            self._backup = StreamBackup(grant.backup, entry.address)

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

    @property
    def has_backup(self) -> bool:
        """Whether the run has a copy, from which the stream may go on.

        Going on from the copy of a run that may not be repeated continues that
        run, so the limit on the number of runs does not apply to it.
        """
        if self._backup is None:
            return False
        return not self._route.may_repeat or self.may_run_again()

    async def continue_at_backup(
        self, failure: EndpointFailedError, resume_after: str
    ) -> EndpointAnswer:
        """Goes on with a run that broke off at the engine that has its copy.

        The answer of that run must be closed before. The copy is kept for half
        a second only, so that the request is sent while it is still being found
        out whether the engine before has crashed.

        Args:
            failure: how the run broke off.
            resume_after: id of the last event that the caller got.

        Raises:
            NotContinuedError: the engine did not go on. If the request may not
                be repeated, it must not be sent again.
            OutcomeError: the request became known to crash engines.
        """
        began_at = self._context.now()
        self._resume_after = resume_after
        self._leave_engine(failure)
        backup = self._backup or StreamBackup('', '')
        self._begin_attempt()
        try:
            answer = await self._run_from_copy(backup)
        except (EndpointRefusedError, _EngineClosedError) as error:
            # The engine may still run the request without a copy.
            self._record_backup(backup, began_at, str(error))
            await self.record_failure('', error, False)
            raise NotContinuedError(str(error)) from error
        except (EndpointUnreachableError, EndpointFailedError) as error:
            self._record_backup(backup, began_at, str(error))
            await self.record_failure(backup.engine_id, error, True)
            raise NotContinuedError(str(error)) from error
        self._record_backup(backup, began_at)
        return answer

    def _record_backup(
        self, backup: StreamBackup, began_at: float, failure: str = ''
    ) -> None:
        """Logs whether a stream went on from its copy.

        Args:
            backup: the copy.
            began_at: loop time at which the run before had failed.
            failure: why the stream did not go on, '' if it did.
        """
        found = 'missing' if failure else 'used'
        context = self._context
        context.metrics.count(f'stream_backups_{found}')
        context.events.emit(
            EventKind.BACKUP_TRIED,
            self._request.id,
            endpoint=backup.engine_id,
            found=found,
            after=self._resume_after[:MAX_SHOWN_ID],
            detail=failure,
            took_s=round(context.now() - began_at, 4),
        )

    async def _run_from_copy(self, backup: StreamBackup) -> EndpointAnswer:
        """Sends the request to the engine that has a copy of its KV cache."""
        context = self._context
        engine_id = backup.engine_id
        client = await self._permitted_client(engine_id)
        self._require_usable(backup)
        if context.now() >= self.deadline_at:
            raise _EngineClosedError('the deadline has passed')
        if not context.take_retry(self._service.name):
            raise _EngineClosedError('the retry budget is spent')
        process = context.find_process(self._request.id, engine_id, client)
        self._process = process
        answer = await self._send_from_copy(backup, client)
        try:
            await self._require_process(process)
        except BaseException:
            answer.close()
            raise
        return answer

    async def _send_from_copy(
        self, backup: StreamBackup, client: RelayEndpoint
    ) -> EndpointAnswer:
        served, progress = self.served, self.progress
        served.prefill = served.decode = backup.engine_id
        served.stage = StreamStage.TRANSFER
        self._run_sent = True
        # The run of a request that may not be repeated is still the first one.
        runs = 1 if self._route.may_repeat else 0
        progress.arrivals += 1
        progress.runs += runs
        self._begin_call(backup.engine_id)
        copy = PrefillHandle(
            backup.engine_id, backup.address, self._request.id, self.deadline_at
        )
        try:
            return await client.run(self._call(copy))
        except EndpointUnreachableError:
            progress.arrivals -= 1
            progress.runs -= runs
            raise
        except EndpointRefusedError:
            progress.runs -= runs
            raise

    def _require_usable(self, backup: StreamBackup) -> None:
        """Requires that the engine with a copy may go on with the stream.

        Raises:
            _EngineClosedError: it is another process by now, is excluded, or
                its software or weights are not those of the stream.
        """
        engine_id = backup.engine_id
        entry = self._context.board.endpoints_by_id.get(engine_id)
        if entry is None or entry.address != backup.address:
            raise _EngineClosedError(f'{engine_id} is gone')
        if (
            not self._pin.may_run(engine_id)
            or engine_id in self.progress.excluded
            or engine_id in self._older_engines()
        ):
            raise _EngineClosedError(f'{engine_id} may not run the stream')

    def _leave_engine(self, failure: EndpointFailedError) -> None:
        """Ends the attempt at an engine whose run broke off.

        Whether it crashed is found out in the background.
        """
        engine_id = self.find_failed(failure)
        if engine_id:
            self.progress.excluded.append(engine_id)
        former = dataclasses.replace(self.served)
        if failure.crashed:
            # The call must be open when the check begins.
            self._context.crashes.check_for_crash(former.decode)
        self.end_call()
        self._leaving = self._background.start(
            self._record_left(former, engine_id, failure, self.progress.runs)
        )

    async def _record_left(
        self,
        former: RelayedRequest,
        engine_id: str,
        failure: EndpointFailedError,
        runs: int,
    ) -> None:
        """Logs a failed run and releases its grant at the pool's owner."""
        outcome = await self._find_outcome(engine_id, failure)
        self._emit_failure(engine_id, failure, outcome, runs)
        self._admission.release(former, outcome, 0, finished=False)
        self._admission.report_move(self.served)

    def report_stage(self) -> None:
        """Reports to the pool's owner that the stream reached a stage.

        While the attempt before is not released yet, the report follows its
        release: the release tells of a crash, and a later attempt makes it
        void.
        """
        if self._leaving is None or self._leaving.done():
            self._admission.report_stage(self.served)

    def _call(
        self, handle: PrefillHandle | None, backup: str = ''
    ) -> RelayCall:
        return RelayCall(
            self._request,
            self.deadline_at,
            handle,
            self._resume_after,
            self._request.priority,
            backup,
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
            backup = self._backup.address if self._backup else ''
            answer = await client.run(self._call(handle, backup))
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
        if engine_id:
            self.progress.excluded.append(engine_id)
        outcome = await self._find_outcome(engine_id, error)
        self.end_call()
        self._emit_failure(engine_id, error, outcome, self.progress.runs)
        if self.served.decode:
            self._admission.release(self.served, outcome, 0, finished=False)

    async def _find_outcome(
        self, engine_id: str, error: MustardscaleError
    ) -> Outcome:
        """Returns what the pool's owner is told of a failed attempt."""
        if isinstance(error, EndpointUnreachableError):
            return Outcome.ENDPOINT_UNREACHABLE
        if (
            isinstance(error, EndpointFailedError)
            and error.crashed
            and await self._context.crashes.has_crashed(engine_id)
        ):
            return Outcome.ENDPOINT_FAILED
        return Outcome.ATTEMPTS_EXHAUSTED

    def _emit_failure(
        self,
        engine_id: str,
        error: MustardscaleError,
        outcome: Outcome,
        runs: int,
    ) -> None:
        self._context.events.emit(
            EventKind.ATTEMPT_FAILED,
            self._request.id,
            outcome,
            endpoint=engine_id,
            cause=type(error).__name__,
            detail=str(error),
            runs=runs,
            arrivals=self.progress.arrivals,
        )

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
