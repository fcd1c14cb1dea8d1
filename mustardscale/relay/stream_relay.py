"""Relays requests to engines: admission, prefill, then a stream of events."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import AsyncGenerator, AsyncIterator

from mustardscale.background_tasks import BackgroundTasks
from mustardscale.blackboard import RelayedRequest
from mustardscale.configuration.route_index import compute_leave_after_s
from mustardscale.configuration.routes import Route, ServiceSpec
from mustardscale.endpoints.answer_framing import AnswerFraming
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
)
from mustardscale.relay.relay_endpoint import (
    EndpointAnswer,
)
from mustardscale.relay.relay_messages import (
    AnswerHead,
    RelayRequest,
    SizeEstimate,
)
from mustardscale.relay.stream_attempts import MAX_SHOWN_ID, StreamAttempts
from mustardscale.relay.stream_backups import NotContinuedError
from mustardscale.relay.stream_end import StreamEnd
from mustardscale.relay.weights_order import WeightsOrder
from mustardscale.reporting.event_log import EventKind

# Times without a whole event after which a stream counts as stalled, as shares
# of the time after which callers leave. The first applies if another engine may
# resume the stream, the second if none may.
RESUMABLE_STALL_SHARE = 0.5
FINAL_STALL_SHARE = 1.25
# Time after its first event at which a run has done its engine no harm,
# seconds.
SURVIVED_AFTER_S = 2.0
# Size assumed if the caller declares none, tokens.
DEFAULT_SIZE = SizeEstimate(1_000, 1_000)


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
        """Opens a stream. Leaving the context ends it.

        Raises:
            OutcomeError: there is no answer. The class of the outcome says
                whether the request may have run.
        """
        context = self._context
        if request.id in context.board.served_by_id:
            raise OutcomeError(Outcome.ALREADY_IN_PROGRESS)
        keys = request.suspicion_keys(service.name)
        harmful = context.crashes.suspicions.find_harmful(keys)
        if harmful is None or not context.crashes.suspicions.may_try(harmful):
            # The pool's owner decides whether the request is tried.
            context.refuse_harmful(keys, 0)
        context.budgets.count_request(service.name, context.now())
        stream = RelayedStream(
            context,
            self._admission,
            self._background,
            request,
            route,
            service,
            keys,
        )
        context.board.served_by_id[request.id] = stream.served
        try:
            await stream.open()
            yield stream
        finally:
            del context.board.served_by_id[request.id]
            stream.end()


class RelayedStream:
    """The stream that answers one request.

    Attributes:
        served: the entry of the request on the blackboard.
        head: status and headers of the answer, once it has begun.
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
        keys: tuple[str, ...],
    ):
        self._context = context
        self._admission = admission
        self._request = request
        self._route = route
        self._service = service
        self._splitter = EventSplitter(request.resume_after)
        self._weights = WeightsOrder(context.weights_field)
        self._answer: EndpointAnswer | None = None
        self._outcome = Outcome.CALLER_LEFT
        # Whether the stream is kept at one software version.
        self._is_pinned = False
        # Whether only the host list tells that version so far.
        self._is_version_unshown = False
        self._progress_at = request.arrived_at
        self.first_event_at: float | None = None
        # Loop time of the first event of the present run, infinity once the
        # run's survival was recorded.
        self._wrote_since: float | None = None
        size = request.size or DEFAULT_SIZE
        self.served = RelayedRequest(
            id=request.id,
            service=route.name,
            fingerprint=request.fingerprint(),
            arrived_at=request.arrived_at,
            prompt_tokens=size.prompt_tokens,
            max_tokens=size.max_output_tokens,
            hint_tokens=size.output_hint_tokens,
            keys=keys,
            priority=request.priority,
            customer=request.customer.name if request.customer else '',
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
        self._end = StreamEnd(
            context,
            self._attempts,
            self._splitter,
            RESUMABLE_STALL_SHARE * compute_leave_after_s(route),
        )

    @property
    def _give_up_at(self) -> float:
        return self._attempts.deadline_at + ANSWER_MARGIN_S

    @property
    def _stall_timeout_at(self) -> float:
        """Loop time at which a stream without new events counts as stalled."""
        share = RESUMABLE_STALL_SHARE if self._may_resume else FINAL_STALL_SHARE
        return self._progress_at + share * compute_leave_after_s(self._route)

    @property
    def _may_resume(self) -> bool:
        """Whether another engine may go on with the answer that has begun.

        Only the ids of events tell how far an answer came.
        """
        return self._route.is_stream and self._attempts.may_run_again()

    @property
    def head(self) -> AnswerHead:
        """Status and headers of the answer."""
        if self._answer is None:
            raise OutcomeError(Outcome.INTERNAL_ERROR, 'no answer has begun')
        return self._answer.head

    @property
    def framing(self) -> AnswerFraming:
        """What marks the end of the engine's answer."""
        return self._require_answer().framing

    @property
    def version(self) -> str:
        """Software version of the engine that runs the stream, '' if none."""
        return self._attempts.version

    async def open(self) -> None:
        """Makes attempts until an answer has begun.

        Raises:
            OutcomeError: there is no answer.
        """
        try:
            async with asyncio.timeout_at(self._give_up_at) as timeout:
                with self._context.active.watch(timeout):
                    await self._pin_version()
                    self._answer = await self._next_answer()
                    self._weights.begin(self.head)
        except TimeoutError as error:
            ran = self._attempts.progress.runs > 0
            raise self._context.timeout_error(ran) from error

    async def _pin_version(self) -> None:
        """Keeps a stream that a caller takes up at the version that began it.

        Raises:
            OutcomeError: VERSION_UNKNOWN.
        """
        request = self._request
        if not request.resume_after and not request.resumes:
            return
        version = await self._context.versions.find(
            self._service.name,
            request.id,
            request.resumes,
            self._attempts.deadline_at,
        )
        self._attempts.pin_version(version)
        self._is_pinned = True

    def _begin_version(self) -> None:
        """Keeps the stream at the version that brings its first event."""
        self._is_pinned = True
        attempts = self._attempts
        attempts.pin_version(attempts.version)
        if self._route.may_repeat:
            self._context.versions.record(
                self._service.name,
                self._request.id,
                attempts.version,
                attempts.deadline_at,
                attempts.make_witness(),
            )
            self._is_version_unshown = True

    async def _require_shown_version(self) -> None:
        """Requires that the version of a stream that began here is shown.

        Raises:
            OutcomeError: its engine may have run another one.
        """
        if not self._is_version_unshown:
            return
        if not await self._context.versions.confirm_begun(
            self._service.name, self._request.id, self._attempts.version
        ):
            raise OutcomeError(
                Outcome.ENDPOINT_FAILED,
                'not resumed: the version that began it is not shown',
            )
        self._is_version_unshown = False

    async def events(self) -> AsyncIterator[bytes]:
        """Yields the bytes of whole events, or those of any other answer.

        Raises:
            OutcomeError: the answer broke off and cannot be resumed.
        """
        if not self.head.is_success or not self._route.is_stream:
            async for data in self._read_undivided():
                yield data
            if self.head.is_success:
                self._complete()
            return
        while True:
            try:
                async for whole_events in self._read_events():
                    yield whole_events
                await self._check_end()
                break
            except EndpointFailedError as error:
                await self._resume(error)
            except TimeoutError as error:
                raise OutcomeError(Outcome.DEADLINE_EXCEEDED) from error
        if self._splitter.partial:
            yield self._splitter.partial
        self._complete()

    def _complete(self) -> None:
        """Records that the engine has completed the request."""
        self._outcome = Outcome.COMPLETE
        self._attempts.end_call(is_success=True)

    async def _read_events(self) -> AsyncIterator[bytes]:
        """Yields the whole events of the present run.

        Raises:
            EndpointFailedError: it broke off, stalled, goes on with older
                weights, or an event was out of order.
            OutcomeError: an event is too long.
            TimeoutError: the deadline has passed.
        """
        read = self._read(self._require_answer())
        async with contextlib.aclosing(read) as chunks:
            async for data in chunks:
                whole_events = self._process_chunk(data)
                if whole_events:
                    yield whole_events
                self._require_order()

    async def _read_undivided(self) -> AsyncIterator[bytes]:
        """Yields the content of an answer that is no stream of events.

        Raises:
            OutcomeError: it broke off.
        """
        answer = self._require_answer()
        try:
            async for data in self._read(answer):
                self._progress_at = self._context.now()
                if self.head.is_success:
                    self._record_decoding()
                yield data
            await self._attempts.check_end(answer, 0)
        except EndpointFailedError as error:
            raise OutcomeError(Outcome.ENDPOINT_FAILED, str(error)) from error
        except TimeoutError as error:
            raise OutcomeError(Outcome.DEADLINE_EXCEEDED) from error

    async def _check_end(self) -> None:
        """Requires that an answer which its connection ends is complete.

        Raises:
            EndpointFailedError: the connection ended inside an event or before
                the first one, the engine's process has ended with it, or the
                bytes after the last whole event are out of order.
        """
        answer = self._require_answer()
        self._splitter.check_partial()
        self._require_order()
        if answer.framing is not AnswerFraming.CONNECTION:
            return
        if self._splitter.partial:
            raise EndpointFailedError(
                'the connection ended inside an event', crashed=True
            )
        await self._end.check(answer)

    def _require_order(self) -> None:
        """Requires that no event of the run was out of order.

        Raises:
            EndpointFailedError: one repeats, or goes back behind, what the
                caller has.
        """
        splitter = self._splitter
        if not splitter.out_of_order_id:
            return
        self._context.metrics.count('events_out_of_order')
        found = splitter.out_of_order_id[:MAX_SHOWN_ID]
        last = splitter.last_id[:MAX_SHOWN_ID]
        raise EndpointFailedError(f'event {found!r} came after event {last!r}')

    def end(self) -> None:
        """Releases the answer, the prefill result and the engine grant.

        This runs however the request ended.
        """
        if self._answer is not None:
            self._answer.close()
        self._attempts.end_call()
        self._attempts.free_handle()
        served = self.served
        if served.tag is not None and served.decode:
            finished = self._outcome is Outcome.COMPLETE
            self._admission.release(served, self._outcome, 0, finished)

    async def _next_answer(self) -> EndpointAnswer:
        attempts = self._attempts
        attempts.weights_version = self._weights.version
        answer = await attempts.next_answer(self._splitter.last_id)
        self._begin_run(answer)
        return answer

    def _begin_run(self, answer: EndpointAnswer) -> None:
        """Records that a run has begun to answer."""
        self._context.engine_weights.record(
            self.served.decode,
            self._weights.read(answer.head),
            self._context.now(),
        )
        self._progress_at = self._context.now()
        self._wrote_since = None

    def _require_answer(self) -> EndpointAnswer:
        if self._answer is None:
            raise OutcomeError(Outcome.INTERNAL_ERROR, 'no answer has begun')
        return self._answer

    async def _read(
        self, answer: EndpointAnswer
    ) -> AsyncGenerator[bytes, None]:
        """Yields an answer's content until the deadline.

        Raises:
            EndpointFailedError: the answer broke off or stalled.
            TimeoutError: the deadline has passed.
        """
        async with contextlib.aclosing(answer.chunks()) as chunks:
            while True:
                stall_timeout_at = self._stall_timeout_at
                try:
                    async with asyncio.timeout_at(
                        min(stall_timeout_at, self._give_up_at)
                    ):
                        data = await anext(chunks)
                except StopAsyncIteration:
                    return
                except TimeoutError as error:
                    if stall_timeout_at < self._give_up_at:
                        raise EndpointFailedError(
                            'the stream stalled'
                        ) from error
                    raise
                yield data

    def _process_chunk(self, data: bytes) -> bytes:
        """Processes the next bytes of the stream and returns whole events.

        Raises:
            EndpointFailedError: they were made with older weights.
            OutcomeError: an event is too long.
        """
        try:
            whole_events = self._splitter.feed(data, self._check_weights)
        except ValueError as error:
            raise OutcomeError(Outcome.ENDPOINT_FAILED, str(error)) from error
        served = self.served
        if whole_events:
            self._weights.record(whole_events)
            if not self._is_pinned:
                self._begin_version()
            self._progress_at = self._context.now()
            engine = self._service.engine
            per_event = engine.event_tokens if engine is not None else 1
            served.relayed_tokens = self._splitter.events * per_event
            self._record_long_survival()
        self._record_decoding()
        return whole_events

    def _record_decoding(self) -> None:
        """Records once for each run that its content has begun."""
        served = self.served
        if served.stage is StreamStage.DECODE:
            return
        served.stage = StreamStage.DECODE
        self._attempts.report_stage()
        if self.first_event_at is None:
            self.first_event_at = self._context.now()

    def _check_weights(self, whole_events: bytes) -> None:
        """Requires that the run does not go on with older weights.

        Raises:
            EndpointFailedError: its first event says that it does.
        """
        try:
            self._weights.check(whole_events)
        except EndpointFailedError:
            self._context.metrics.count('streams_weights_older')
            raise

    def _record_long_survival(self) -> None:
        """Records once that the stream runs on long after its first event."""
        if self._wrote_since is None:
            self._wrote_since = self._progress_at
        elif self._progress_at - self._wrote_since > SURVIVED_AFTER_S:
            self._wrote_since = math.inf
            self._attempts.record_survival()

    async def _resume(self, failure: EndpointFailedError) -> None:
        """Resumes a broken stream at another engine.

        Raises:
            OutcomeError: the stream cannot be resumed.
        """
        weights_before = self._weights.version
        answer = await self._take_up(failure)
        while True:
            try:
                self._weights.begin(answer.head)
                break
            except EndpointFailedError as error:
                self._context.metrics.count('streams_weights_older')
                answer.close()
                answer = await self._take_up(error)
        self._answer = answer
        self._context.events.emit(
            EventKind.STREAM_RESUMED,
            self._request.id,
            endpoint=self.served.decode,
            version=self.version,
            after=self._splitter.last_id,
            runs=self._attempts.progress.runs,
            weights=self._weights.read(answer.head),
            weights_before=weights_before,
        )

    async def _take_up(self, failure: EndpointFailedError) -> EndpointAnswer:
        """Returns the answer of another engine after a run has failed.

        Raises:
            OutcomeError: the stream cannot be resumed.
        """
        attempts = self._attempts
        if attempts.has_backup and self._splitter.is_resumable:
            continued = await self._continue_at_backup(failure)
            if continued is not None:
                return continued
        else:
            await attempts.record_failure(
                attempts.find_failed(failure), failure, ran=True
            )
        if not self._may_resume:
            raise OutcomeError(Outcome.ENDPOINT_FAILED, str(failure))
        if not self._splitter.is_resumable:
            raise OutcomeError(
                Outcome.ENDPOINT_FAILED,
                f'not resumed: no id tells how far it came; {failure}',
            )
        self._splitter.drop_partial()
        self._require_answer().close()
        try:
            async with asyncio.timeout_at(self._attempts.deadline_at):
                await self._require_shown_version()
                answer = await self._next_answer()
        except TimeoutError as error:
            raise OutcomeError(Outcome.DEADLINE_EXCEEDED) from error
        self._require_continues(answer)
        return answer

    async def _continue_at_backup(
        self, failure: EndpointFailedError
    ) -> EndpointAnswer | None:
        """Goes on from the copy of the KV cache of a run that has failed.

        Returns:
            The answer; None if the engine that has the copy did not go on.

        Raises:
            OutcomeError: the stream cannot be resumed.
        """
        attempts = self._attempts
        # The engine before must not work on it any more.
        self._require_answer().close()
        self._splitter.drop_partial(is_same=True)
        attempts.weights_version = self._weights.version
        try:
            async with asyncio.timeout_at(attempts.deadline_at):
                await self._require_shown_version()
                answer = await attempts.continue_at_backup(
                    failure, self._splitter.last_id
                )
        except NotContinuedError:
            return None
        except TimeoutError as error:
            raise OutcomeError(Outcome.DEADLINE_EXCEEDED) from error
        self._begin_run(answer)
        self._require_continues(answer)
        return answer

    def _require_continues(self, answer: EndpointAnswer) -> None:
        """Closes an answer that does not go on with the one that has begun.

        Raises:
            OutcomeError: it is none that does.
        """
        if answer.head.continues(self.head):
            return
        answer.close()
        raise OutcomeError(
            Outcome.ENDPOINT_FAILED,
            f'not resumed: status {answer.head.status}',
        )


def first_event_s(stream: RelayedStream) -> float:
    """Returns the seconds from arrival to the first event, infinity if none."""
    if stream.first_event_at is None:
        return math.inf
    return stream.first_event_at - stream.served.arrived_at
