"""Relays requests to engines: admission, prefill, then a stream of events."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import math
from collections.abc import AsyncIterator

from mustardscale.background_tasks import BackgroundTasks
from mustardscale.blackboard import RelayedRequest
from mustardscale.configuration.config_records import Profile
from mustardscale.configuration.route_index import profile_of
from mustardscale.configuration.routes import RequestKind, Route, ServiceSpec
from mustardscale.endpoints.engines import Prompt, StreamStage, StreamTag
from mustardscale.exceptions import (
    EndpointFailedError,
    EndpointRefusedError,
    EndpointUnreachableError,
    MustardscaleError,
    OutcomeError,
)
from mustardscale.outcomes import Outcome
from mustardscale.peers.peer_messages import AdmitReply
from mustardscale.pools.admission import AdmissionClient
from mustardscale.relay.event_splitter import EventSplitter
from mustardscale.relay.relay_context import (
    ANSWER_MARGIN_S,
    RelayContext,
    deadline_error,
    deadline_of,
)
from mustardscale.relay.relay_endpoint import (
    EndpointAnswer,
    PrefillHandle,
    RelayCall,
    RelayEndpoint,
)
from mustardscale.relay.relay_messages import (
    AnswerHead,
    RelayRequest,
    SizeEstimate,
)
from mustardscale.reporting.event_log import EventKind

# Attempts that endpoints refused without running anything.
MAX_REFUSALS = 6
# Time for which the result of a prefill must still be kept to be used, seconds.
HANDLE_MARGIN_S = 0.15
# What a caller that tells no size is taken to ask for, tokens.
UNTOLD_SIZE = SizeEstimate(1_000, 1_000)
FREE_TIMEOUT_S = 1.0
# Time after which a prefill is given up and repeated elsewhere: a multiple of
# the expected time and a margin, seconds.
PREFILL_TIMEOUT_FACTOR = 3.0
PREFILL_MARGIN_S = 0.25
UNKNOWN_PREFILL_S = 0.5


@dataclasses.dataclass(slots=True)
class _Progress:
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


class StreamRelay:
    """Serves the requests of routes to engines."""

    def __init__(self, context: RelayContext, admission: AdmissionClient):
        self._context = context
        self._admission = admission
        self._background = BackgroundTasks()

    @contextlib.asynccontextmanager
    async def serve(
        self, request: RelayRequest, route: Route, service: ServiceSpec
    ) -> AsyncIterator[RelayedStream]:
        """Opens a stream; leaving the context ends it.

        Raises:
            OutcomeError: there is no answer; its class says whether the
                request may have run.
        """
        context = self._context
        if request.id in context.board.served_by_id:
            raise OutcomeError(Outcome.ALREADY_IN_PROGRESS)
        fingerprint = request.fingerprint()
        if context.crashes.is_quarantined(request.id, fingerprint):
            raise OutcomeError(Outcome.QUARANTINED)
        context.budgets.count_request(service.name, context.now())
        stream = RelayedStream(
            context,
            self._admission,
            self._background,
            request,
            route,
            service,
            fingerprint,
        )
        context.board.served_by_id[request.id] = stream.served
        try:
            await stream.open()
            yield stream
        finally:
            del context.board.served_by_id[request.id]
            stream.end()


class RelayedStream:
    """The answer to one request.

    Attributes:
        served: what is registered of the request.
        head: the beginning of the answer, once it is open.
        first_event_at: loop time of the first event, or None.
    """

    def __init__(
        self,
        context: RelayContext,
        admission: AdmissionClient,
        background: BackgroundTasks,
        request: RelayRequest,
        route: Route,
        service: ServiceSpec,
        fingerprint: int,
    ):
        self._context = context
        self._admission = admission
        self._background = background
        self._request = request
        self._route = route
        self._service = service
        size = request.size or UNTOLD_SIZE
        self._prompt = Prompt(size.prompt_tokens, (), fingerprint)
        self._profile: Profile = profile_of(route)
        self._deadline_at = deadline_of(request, route)
        self._progress = _Progress()
        self._splitter = EventSplitter()
        self._answer: EndpointAnswer | None = None
        self._outcome = Outcome.CALLER_LEFT
        self._running = False
        self.first_event_at: float | None = None
        self.served = RelayedRequest(
            id=request.id,
            service=route.name,
            fingerprint=fingerprint,
            arrived_at=request.arrived_at,
            prompt_tokens=size.prompt_tokens,
            max_tokens=size.max_output_tokens,
            hint_tokens=size.output_hint_tokens,
        )

    @property
    def head(self) -> AnswerHead:
        """The beginning of the answer."""
        if self._answer is None:
            raise OutcomeError(Outcome.INTERNAL_ERROR, 'no answer has begun')
        return self._answer.head

    async def open(self) -> None:
        """Makes attempts until an answer has begun.

        Raises:
            OutcomeError: there is none.
        """
        try:
            async with asyncio.timeout_at(self._deadline_at + ANSWER_MARGIN_S):
                self._answer = await self._attempts()
        except TimeoutError as error:
            raise deadline_error(self._progress.runs > 0) from error

    async def events(self) -> AsyncIterator[bytes]:
        """Yields the bytes of whole events.

        Raises:
            OutcomeError: the stream broke off and cannot go on.
        """
        if not self.head.is_success:
            async for data in self._read(self._present()):
                yield data
            return
        while True:
            try:
                async for data in self._read(self._present()):
                    whole = self._take(data)
                    if whole:
                        yield whole
                break
            except EndpointFailedError as error:
                await self._go_on(error)
            except TimeoutError as error:
                raise OutcomeError(Outcome.DEADLINE_EXCEEDED) from error
        if self._splitter.partial:
            yield self._splitter.partial
        self._outcome = Outcome.COMPLETE

    def end(self) -> None:
        """Lets go of all that the request holds, however it ended."""
        if self._answer is not None:
            self._answer.close()
        self._free_handle()
        served = self.served
        if served.tag is not None and served.decode:
            finished = self._outcome is Outcome.COMPLETE
            self._admission.release(served, self._outcome, 0, finished)

    def _present(self) -> EndpointAnswer:
        if self._answer is None:
            raise OutcomeError(Outcome.INTERNAL_ERROR, 'no answer has begun')
        return self._answer

    async def _read(self, answer: EndpointAnswer) -> AsyncIterator[bytes]:
        """Yields an answer's content until the deadline."""
        chunks = answer.chunks()
        while True:
            try:
                async with asyncio.timeout_at(
                    self._deadline_at + ANSWER_MARGIN_S
                ):
                    data = await anext(chunks)
            except StopAsyncIteration:
                return
            yield data

    def _take(self, data: bytes) -> bytes:
        """Takes the next bytes of the stream and returns whole events."""
        try:
            whole = self._splitter.feed(data)
        except ValueError as error:
            raise OutcomeError(Outcome.ENDPOINT_FAILED, str(error)) from error
        served = self.served
        if whole:
            engine = self._service.engine
            per_event = engine.event_tokens if engine is not None else 1
            served.relayed_tokens = self._splitter.events * per_event
        if served.stage is not StreamStage.DECODE:
            served.stage = StreamStage.DECODE
            self._admission.report_stage(served)
            if self.first_event_at is None:
                self.first_event_at = self._context.now()
        return whole

    async def _go_on(self, failure: EndpointFailedError) -> None:
        """Resumes a broken stream at another engine.

        Raises:
            OutcomeError: it cannot go on.
        """
        progress = self._progress
        await self._note_failure(self.served.decode, failure, ran=True)
        if (
            self._route.kind is not RequestKind.RESUMABLE
            or progress.runs >= self._route.max_attempts
        ):
            raise OutcomeError(Outcome.ENDPOINT_FAILED, str(failure))
        self._splitter.drop_partial()
        head = self.head
        self._present().close()
        try:
            async with asyncio.timeout_at(self._deadline_at):
                answer = await self._attempts()
        except TimeoutError as error:
            raise OutcomeError(Outcome.DEADLINE_EXCEEDED) from error
        if answer.head.status != head.status:
            answer.close()
            raise OutcomeError(Outcome.ENDPOINT_FAILED, 'not resumed')
        self._answer = answer
        self._context.events.emit(
            EventKind.STREAM_RESUMED,
            self._request.id,
            endpoint=self.served.decode,
            after=self._splitter.last_id,
            runs=progress.runs,
        )

    async def _attempts(self) -> EndpointAnswer:
        """Makes attempts until an engine has begun to answer."""
        progress = self._progress
        while True:
            self._begin_attempt()
            try:
                return await self._attempt()
            except (EndpointRefusedError, EndpointUnreachableError) as error:
                progress.refusals += 1
                await self._note_failure(self._engine_in_use(), error, False)
                if progress.refusals >= MAX_REFUSALS:
                    raise self._refused() from error
            except EndpointFailedError as error:
                # A prefill may always be repeated.
                ran = self._running
                await self._note_failure(self._engine_in_use(), error, ran)
                if ran and not self._may_run_again():
                    raise OutcomeError(
                        Outcome.ANSWER_LOST, str(error)
                    ) from error

    def _may_run_again(self) -> bool:
        return (
            self._route.may_repeat
            and self._progress.runs < self._route.max_attempts
        )

    def _refused(self) -> OutcomeError:
        """Returns the outcome of a request that finds no engine."""
        if self._progress.runs:
            return OutcomeError(Outcome.ATTEMPTS_EXHAUSTED)
        return OutcomeError(Outcome.RETRY_BUDGET_SPENT, retry_after_s=1.0)

    def _begin_attempt(self) -> None:
        progress = self._progress
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
        progress = self._progress
        grant = await self._admission.admit(
            self._prompt,
            served,
            self._profile,
            self._service.name,
            progress.excluded,
            self._deadline_at,
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

    def _client(self, engine_id: str) -> RelayEndpoint:
        client = self._context.client(engine_id)
        if client is None:
            raise EndpointUnreachableError('the engine is gone')
        return client

    def _call(self, handle: PrefillHandle | None) -> RelayCall:
        return RelayCall(
            self._request,
            self._deadline_at,
            handle,
            self._splitter.last_id or self._request.resume_after,
        )

    async def _prefill(self, grant: AdmitReply) -> PrefillHandle:
        """Has the prompt computed; only the first accepted time is free."""
        context = self._context
        client = self._client(grant.prefill)
        if self._progress.prefills and not context.take_retry(
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
            if not self._progress.prefills:
                context.budgets.count_retry(self._service.name, context.now())
            raise
        finally:
            self._progress.prefills += 1
        return handle

    async def _run(self, engine_id: str) -> EndpointAnswer:
        """Sends the request to a decode engine."""
        context = self._context
        progress = self._progress
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

    async def _note_failure(
        self, engine_id: str, error: MustardscaleError, ran: bool
    ) -> None:
        """Remembers how an attempt failed and tells the pool's owner."""
        progress = self._progress
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
        handle = self._progress.handle
        now = self._context.now()
        if handle is not None and handle.kept_until - now < HANDLE_MARGIN_S:
            self._free_handle()

    def _free_handle(self) -> None:
        """Frees the result of a prefill that no engine fetched."""
        handle = self._progress.handle
        self._progress.handle = None
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


def first_event_s(stream: RelayedStream) -> float:
    """Returns the seconds from arrival to the first event, or infinity."""
    if stream.first_event_at is None:
        return math.inf
    return stream.first_event_at - stream.served.arrived_at
