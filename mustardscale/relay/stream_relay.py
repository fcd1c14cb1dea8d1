"""Relays requests to engines: admission, prefill, then a stream of events."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator

from mustardscale.background_tasks import BackgroundTasks
from mustardscale.blackboard import RelayedRequest
from mustardscale.configuration.route_index import compute_leave_after_s
from mustardscale.configuration.routes import Route, ServiceSpec
from mustardscale.endpoints.engines import StreamStage
from mustardscale.exceptions import (
    EndpointFailedError,
    OutcomeError,
)
from mustardscale.outcomes import Outcome
from mustardscale.pools.admission import AdmissionClient
from mustardscale.relay.event_splitter import EventSplitter
from mustardscale.relay.relay_context import (
    ANSWER_MARGIN_S,
    RelayContext,
    deadline_error,
)
from mustardscale.relay.relay_endpoint import (
    EndpointAnswer,
)
from mustardscale.relay.relay_messages import (
    AnswerHead,
    RelayRequest,
    SizeEstimate,
)
from mustardscale.relay.stream_attempts import StreamAttempts
from mustardscale.reporting.event_log import EventKind

# Times without a whole event after which a stream counts as stalled, as shares
# of that after which callers leave: where it may go on elsewhere, or may not.
MOVED_AFTER_SHARE = 0.5
ENDED_AFTER_SHARE = 1.25
# What a caller that tells no size is taken to ask for, tokens.
UNTOLD_SIZE = SizeEstimate(1_000, 1_000)


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
        self._request = request
        self._route = route
        self._service = service
        self._splitter = EventSplitter()
        self._answer: EndpointAnswer | None = None
        self._outcome = Outcome.CALLER_LEFT
        self._progress_at = request.arrived_at
        self.first_event_at: float | None = None
        size = request.size or UNTOLD_SIZE
        self.served = RelayedRequest(
            id=request.id,
            service=route.name,
            fingerprint=fingerprint,
            arrived_at=request.arrived_at,
            prompt_tokens=size.prompt_tokens,
            max_tokens=size.max_output_tokens,
            hint_tokens=size.output_hint_tokens,
        )
        self._attempts = StreamAttempts(
            context,
            admission,
            background,
            request,
            route,
            service,
            self.served,
        )

    @property
    def _gives_up_at(self) -> float:
        return self._attempts.deadline_at + ANSWER_MARGIN_S

    @property
    def _stalls_at(self) -> float:
        """Loop time at which the stream counts as stalled, if nothing comes."""
        may_move = self._attempts.may_run_again()
        share = MOVED_AFTER_SHARE if may_move else ENDED_AFTER_SHARE
        return self._progress_at + share * compute_leave_after_s(self._route)

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
            async with asyncio.timeout_at(self._gives_up_at):
                self._answer = await self._next_answer()
        except TimeoutError as error:
            raise deadline_error(self._attempts.progress.runs > 0) from error

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
        self._attempts.free_handle()
        served = self.served
        if served.tag is not None and served.decode:
            finished = self._outcome is Outcome.COMPLETE
            self._admission.release(served, self._outcome, 0, finished)

    async def _next_answer(self) -> EndpointAnswer:
        after = self._splitter.last_id or self._request.resume_after
        answer = await self._attempts.next_answer(after)
        self._progress_at = self._context.now()
        return answer

    def _present(self) -> EndpointAnswer:
        if self._answer is None:
            raise OutcomeError(Outcome.INTERNAL_ERROR, 'no answer has begun')
        return self._answer

    async def _read(self, answer: EndpointAnswer) -> AsyncIterator[bytes]:
        """Yields an answer's content until the deadline.

        Raises:
            EndpointFailedError: it broke off, or stalled.
            TimeoutError: its time is over.
        """
        chunks = answer.chunks()
        while True:
            stalls_at = self._stalls_at
            try:
                async with asyncio.timeout_at(
                    min(stalls_at, self._gives_up_at)
                ):
                    data = await anext(chunks)
            except StopAsyncIteration:
                return
            except TimeoutError as error:
                if stalls_at < self._gives_up_at:
                    raise EndpointFailedError('the stream stalled') from error
                raise
            yield data

    def _take(self, data: bytes) -> bytes:
        """Takes the next bytes of the stream and returns whole events."""
        try:
            whole = self._splitter.feed(data)
        except ValueError as error:
            raise OutcomeError(Outcome.ENDPOINT_FAILED, str(error)) from error
        served = self.served
        if whole:
            self._progress_at = self._context.now()
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
        attempts = self._attempts
        await attempts.note_failure(self.served.decode, failure, ran=True)
        if not attempts.may_run_again():
            raise OutcomeError(Outcome.ENDPOINT_FAILED, str(failure))
        self._splitter.drop_partial()
        head = self.head
        self._present().close()
        try:
            async with asyncio.timeout_at(self._attempts.deadline_at):
                answer = await self._next_answer()
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
            runs=attempts.progress.runs,
        )


def first_event_s(stream: RelayedStream) -> float:
    """Returns the seconds from arrival to the first event, or infinity."""
    if stream.first_event_at is None:
        return math.inf
    return stream.first_event_at - stream.served.arrived_at
