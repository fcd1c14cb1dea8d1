"""Serves requests to language services, from admission to the last token."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
from collections.abc import AsyncGenerator

from mustardscale.admission import AdmissionClient
from mustardscale.blackboard import Blackboard, ServedRequest
from mustardscale.cancellation import Canceller
from mustardscale.config_records import Profile
from mustardscale.deadline import until
from mustardscale.directory_client import DirectoryClient, check_reply
from mustardscale.endpoint_clients import EndpointClients
from mustardscale.engines import (
    REFUSED_LEAVING,
    REFUSED_STALE_ATTEMPT,
    DecodeCall,
    Engine,
    PrefillCall,
    StreamStage,
    StreamTag,
    TokenEvent,
)
from mustardscale.exceptions import (
    EndpointFailedError,
    EndpointRefusedError,
    EndpointUnreachableError,
    OutcomeError,
)
from mustardscale.limits import ServiceLimits
from mustardscale.membership import QUORUM_LEASE_S
from mustardscale.metrics import Metrics
from mustardscale.outcomes import Outcome, OutcomeClass, outcome_class
from mustardscale.peers import AdmitReply, DirectoryEntry
from mustardscale.quarantine import Suspicions
from mustardscale.requests import LanguageRequest
from mustardscale.resumption import Resumption
from mustardscale.token_assembler import TokenAssembler

log = logging.getLogger(__name__)

# Attempts at one request, the first included.
MAX_ATTEMPTS = 6
# Attempts that the endpoints refused without running anything.
MAX_REFUSALS = 30
REFUSAL_PAUSE_S = 0.02
# Distance to an attempt number that an engine has not seen cancelled.
ATTEMPT_SKIP = 16
LEAVING_MEMORY_S = 30.0


@dataclasses.dataclass(slots=True)
class _Progress:
    """How the attempts at one request have gone.

    Attributes:
        attempt: number of the last attempt.
        runs: attempts at which an endpoint may have begun work.
        refusals: attempts that were refused before any work.
        excluded: endpoints that failed an attempt.
        computed_tokens: prompt tokens computed by the present attempt.
    """

    attempt: int = 0
    runs: int = 0
    refusals: int = 0
    excluded: list[str] = dataclasses.field(default_factory=list)
    computed_tokens: int = 0


class AttemptFailedError(Exception):
    """An attempt ended early; another may follow.

    Attributes:
        outcome: how it ended.
        endpoint: the endpoint that failed, '' if none is to blame.
        ran: whether the endpoint may have begun work.
    """

    def __init__(self, outcome: Outcome, endpoint: str, ran: bool):
        super().__init__(outcome.name)
        self.outcome = outcome
        self.endpoint = endpoint
        self.ran = ran


class LanguageService:
    """Serves language requests whose callers are connected to this host."""

    def __init__(
        self,
        blackboard: Blackboard,
        admission: AdmissionClient,
        directory: DirectoryClient,
        resumption: Resumption,
        clients: EndpointClients,
        canceller: Canceller,
        limits: ServiceLimits,
        suspicions: Suspicions,
        metrics: Metrics,
    ):
        self._blackboard = blackboard
        self._admission = admission
        self._directory = directory
        self._resumption = resumption
        self._clients = clients
        self._canceller = canceller
        self._limits = limits
        self._suspicions = suspicions
        self._metrics = metrics

    async def serve(
        self, request: LanguageRequest, profile: Profile, model: str
    ) -> AsyncGenerator[TokenEvent, None]:
        """Yields the tokens of an answer, each exactly once and in order.

        Closing the iterator or cancelling its task frees what it holds.

        Raises:
            OutcomeError: the request ended without a whole answer.
        """
        resumed = request.resume_after is not None
        try:
            served = await self._accept(request, profile)
        except OutcomeError as error:
            raise _after_start(error, resumed) from error
        delivered = False
        first_at: float | None = None
        clock = asyncio.get_running_loop().time
        try:
            async with contextlib.aclosing(
                self._attempts(request, served, profile, model)
            ) as events:
                async for event in events:
                    if first_at is None:
                        first_at = clock()
                        self._metrics.service(
                            served.service
                        ).first_token.record(first_at - served.arrived_at)
                    if event.finish_reason:
                        delivered = True
                        self._record_pace(served, clock() - first_at)
                    yield event
        except TimeoutError as error:
            outcome = Outcome.DEADLINE_IN_QUEUE
            if served.started:
                outcome = Outcome.DEADLINE_EXCEEDED
            raise OutcomeError(outcome) from error
        except OutcomeError as error:
            started = served.started or resumed
            raise _after_start(error, started) from error
        finally:
            self._end(served, delivered)

    def _record_pace(self, served: ServedRequest, seconds: float) -> None:
        if len(served.emitted) > 1:
            self._metrics.service(served.service).per_token.record(
                seconds / (len(served.emitted) - 1)
            )

    async def _accept(
        self, request: LanguageRequest, profile: Profile
    ) -> ServedRequest:
        """Checks a request and registers it before anything is run."""
        self._check(request, profile)
        if request.id in self._blackboard.served_by_id:
            if request.resume_after is None:
                raise OutcomeError(Outcome.ALREADY_IN_PROGRESS)
            self._resumption.let_go(request.id)
        served = ServedRequest(
            id=request.id,
            service=request.service,
            fingerprint=request.prompt.fingerprint,
            arrived_at=asyncio.get_running_loop().time(),
            max_tokens=min(request.max_tokens, profile.max_output_tokens),
        )
        self._limits.enter(request.service, profile)
        # Set before the first await, so that a second send sees it.
        self._blackboard.served_by_id[request.id] = served
        try:
            takeover = request.resume_after is not None
            reply = await self._directory.register(served, takeover)
            served.confirmed_at = asyncio.get_running_loop().time()
            check_reply(reply, served)
            if served.taken_over:
                raise OutcomeError(Outcome.STREAM_TAKEN_OVER)
        except BaseException:
            self._limits.leave(request.service)
            self._forget(served)
            raise
        if reply.found:
            self._follow(request, served, reply.found[0])
        return served

    def _forget(self, served: ServedRequest) -> None:
        if self._blackboard.served_by_id.get(served.id) is served:
            del self._blackboard.served_by_id[served.id]

    def _check(self, request: LanguageRequest, profile: Profile) -> None:
        prompt = request.prompt
        if prompt.tokens > profile.max_prompt_tokens:
            raise OutcomeError(Outcome.PROMPT_TOO_LONG)
        if self._suspicions.is_quarantined(request.id, prompt.fingerprint):
            raise OutcomeError(Outcome.QUARANTINED)

    def _follow(
        self,
        request: LanguageRequest,
        served: ServedRequest,
        found: DirectoryEntry,
    ) -> None:
        """Continues the attempt numbers of an earlier holder of the id."""
        served.tag = StreamTag(
            served.id,
            found.attempt,
            self._blackboard.host,
            self._blackboard.incarnation,
        )
        # An entry of this host may be from a registration whose reply was
        # lost; then it does not say who held the request before.
        if found.host != self._blackboard.host:
            served.previous_holder = found.host
        if request.resume_after is not None:
            served.decode = found.decode

    async def _attempts(
        self,
        request: LanguageRequest,
        served: ServedRequest,
        profile: Profile,
        model: str,
    ) -> AsyncGenerator[TokenEvent, None]:
        """Makes attempts until the answer is whole."""
        timeout_s = request.timeout_s or profile.timeout_s
        deadline_at = served.arrived_at + timeout_s
        progress = _Progress(attempt=served.tag.attempt if served.tag else 0)
        first_index = 0
        resuming = request.resume_after is not None
        if request.resume_after is not None:
            first_index = request.resume_after + 1
        async with asyncio.timeout_at(deadline_at):
            if resuming:
                await self._resumption.locate(served, model)
                progress.attempt = served.tag.attempt if served.tag else 0
        while True:
            try:
                if resuming:
                    events = self._resume(served)
                else:
                    events = self._attempt(
                        request, served, profile, model, progress, deadline_at
                    )
                async with contextlib.aclosing(events):
                    async for event in until(events, deadline_at):
                        visible = _from_index(event, first_index)
                        if visible is not None:
                            await self._check_lease(served)
                            yield visible
                return
            except AttemptFailedError as failure:
                if resuming:
                    self._check_resumable(served, first_index)
                resuming = False
                await self._prepare_retry(served, progress, failure, profile)

    def _check_resumable(self, served: ServedRequest, first_index: int) -> None:
        """A stream that is gone can only go on with all its tokens known."""
        if len(served.emitted) < first_index:
            raise OutcomeError(Outcome.NOTHING_TO_RESUME)

    async def _prepare_retry(
        self,
        served: ServedRequest,
        progress: _Progress,
        failure: AttemptFailedError,
        profile: Profile,
    ) -> None:
        """Frees an attempt and decides whether another may follow."""
        self._free_attempt(served, progress, failure.outcome)
        if failure.endpoint:
            progress.excluded.append(failure.endpoint)
        if served.taken_over:
            raise OutcomeError(Outcome.STREAM_TAKEN_OVER)
        if not failure.ran:
            progress.refusals += 1
            if progress.refusals >= MAX_REFUSALS:
                raise OutcomeError(
                    Outcome.ATTEMPTS_EXHAUSTED
                    if served.started
                    else Outcome.NO_ENDPOINT,
                    retry_after_s=1.0,
                )
            await asyncio.sleep(REFUSAL_PAUSE_S * progress.refusals)
            return
        progress.runs += 1
        if progress.runs >= MAX_ATTEMPTS:
            raise OutcomeError(Outcome.ATTEMPTS_EXHAUSTED)
        if not self._limits.take_retry(served.service, profile):
            raise OutcomeError(Outcome.ENDPOINT_FAILED, retry_after_s=2.0)

    async def _check_lease(self, served: ServedRequest) -> None:
        """Makes sure that this host still holds the request.

        A host that was paused or cut off may have lost it to another.
        """
        if served.taken_over:
            raise OutcomeError(Outcome.STREAM_TAKEN_OVER)
        board = self._blackboard
        now = asyncio.get_running_loop().time()
        is_fresh = now - board.quorum_at <= QUORUM_LEASE_S
        if is_fresh and served.confirmed_at >= board.quorum_gap_at:
            return
        if not await self._directory.confirm(served):
            served.taken_over = True
            raise OutcomeError(Outcome.STREAM_TAKEN_OVER)
        served.confirmed_at = now

    async def _attempt(
        self,
        request: LanguageRequest,
        served: ServedRequest,
        profile: Profile,
        model: str,
        progress: _Progress,
        deadline_at: float,
    ) -> AsyncGenerator[TokenEvent, None]:
        """Admits, prefills and decodes once."""
        progress.attempt += 1
        progress.computed_tokens = 0
        self._begin_attempt(request, served, progress.attempt)
        grant = await self._admission.admit(
            request, served, profile, model, progress.excluded, deadline_at
        )
        served.prefill = grant.prefill
        served.decode = grant.decode
        if not progress.runs:
            now = asyncio.get_running_loop().time()
            self._metrics.service(served.service).queue_wait.record(
                now - served.arrived_at
            )
        kv_id = await self._prefill(request, served, model, grant, progress)
        served.stage = StreamStage.TRANSFER
        self._admission.report_stage(served)
        self._directory.update(served)
        engine = self._engine(grant.decode)
        call = DecodeCall(
            tag=_tag_of(served),
            model=model,
            kv_id=kv_id,
            source=self._clients.engine_url(grant.prefill),
            prompt=dataclasses.replace(request.prompt, text=''),
            first_index=len(served.emitted),
            max_tokens=served.max_tokens,
            priority=grant.priority,
        )
        async with contextlib.aclosing(
            self._read(served, engine.decode(call))
        ) as events:
            async for event in events:
                yield event

    def _begin_attempt(
        self, request: LanguageRequest, served: ServedRequest, attempt: int
    ) -> None:
        board = self._blackboard
        served.tag = StreamTag(
            served.id, attempt, board.host, board.incarnation
        )
        served.prefill = ''
        served.decode = ''
        served.stage = StreamStage.QUEUED
        served.attempt_base = len(served.emitted)
        served.prompt_tokens = request.prompt.tokens + len(served.emitted)

    def _engine(self, endpoint_id: str) -> Engine:
        engine = self._clients.engine(endpoint_id)
        if engine is None:
            raise AttemptFailedError(Outcome.NO_ENDPOINT, endpoint_id, False)
        return engine

    async def _prefill(
        self,
        request: LanguageRequest,
        served: ServedRequest,
        model: str,
        grant: AdmitReply,
        progress: _Progress,
    ) -> str:
        engine = self._engine(grant.prefill)
        call = PrefillCall(
            tag=_tag_of(served),
            model=model,
            prompt=request.prompt,
            emitted=tuple(served.emitted),
            priority=grant.priority,
        )
        served.stage = StreamStage.PREFILL
        started_before = served.started
        served.started = True
        try:
            result = await engine.prefill(call)
        except (EndpointRefusedError, EndpointUnreachableError) as error:
            served.started = started_before
            raise self._refused(grant.prefill, error, progress) from error
        except EndpointFailedError as error:
            raise AttemptFailedError(
                Outcome.ENDPOINT_FAILED, grant.prefill, True
            ) from error
        progress.computed_tokens = result.prompt_tokens - result.cached_tokens
        return result.kv_id

    def _refused(
        self,
        endpoint_id: str,
        error: EndpointRefusedError | EndpointUnreachableError,
        progress: _Progress,
    ) -> AttemptFailedError:
        """Notes why an endpoint did not take the work."""
        entry = self._blackboard.endpoints_by_id.get(endpoint_id)
        now = asyncio.get_running_loop().time()
        if isinstance(error, EndpointUnreachableError):
            if entry is not None and entry.unreachable_since is None:
                entry.unreachable_since = now
            return AttemptFailedError(
                Outcome.ENDPOINT_UNREACHABLE, endpoint_id, False
            )
        if error.reason == REFUSED_LEAVING and entry is not None:
            entry.leaving_until = now + LEAVING_MEMORY_S
        if error.reason == REFUSED_STALE_ATTEMPT:
            progress.attempt += ATTEMPT_SKIP
            return AttemptFailedError(Outcome.NO_ENDPOINT, '', False)
        blamed = endpoint_id if error.reason == REFUSED_LEAVING else ''
        return AttemptFailedError(Outcome.NO_ENDPOINT, blamed, False)

    async def _resume(
        self, served: ServedRequest
    ) -> AsyncGenerator[TokenEvent, None]:
        """Attaches to a stream that another host left."""
        engine = self._engine(served.decode)
        tag = _tag_of(served)
        events = engine.resume(tag.request_id, tag.attempt, 0)
        served.started = True
        async with contextlib.aclosing(self._read(served, events)) as read:
            async for event in read:
                yield event

    async def _read(
        self, served: ServedRequest, events: AsyncGenerator[TokenEvent, None]
    ) -> AsyncGenerator[TokenEvent, None]:
        """Yields a stream's tokens in order, attaching again if it breaks."""
        engine = self._engine(served.decode)
        tag = _tag_of(served)
        assembler = TokenAssembler(
            tag.request_id, tag.attempt, len(served.emitted)
        )
        attached_at = -1
        while True:
            try:
                async for event in events:
                    ready = _next_tokens(assembler, event)
                    if ready is not None:
                        self._note_tokens(served, ready)
                        yield ready
                    if assembler.finish_reason:
                        return
                raise EndpointFailedError('stream ended without a finish')
            except EndpointUnreachableError as error:
                raise AttemptFailedError(
                    Outcome.ENDPOINT_FAILED, served.decode, True
                ) from error
            except EndpointRefusedError as error:
                raise self._refused_decode(served, error) from error
            except EndpointFailedError as error:
                if attached_at == assembler.next_index:
                    raise AttemptFailedError(
                        Outcome.ENDPOINT_FAILED, served.decode, True
                    ) from error
                attached_at = assembler.next_index
                events = engine.resume(
                    tag.request_id, tag.attempt, assembler.next_index
                )

    def _refused_decode(
        self, served: ServedRequest, error: EndpointRefusedError
    ) -> AttemptFailedError:
        """Notes why a decode engine did not take or no longer has a stream."""
        entry = self._blackboard.endpoints_by_id.get(served.decode)
        if error.reason != REFUSED_LEAVING or entry is None:
            return AttemptFailedError(Outcome.ATTEMPTS_EXHAUSTED, '', True)
        now = asyncio.get_running_loop().time()
        entry.leaving_until = now + LEAVING_MEMORY_S
        return AttemptFailedError(
            Outcome.ATTEMPTS_EXHAUSTED, served.decode, True
        )

    def _note_tokens(self, served: ServedRequest, event: TokenEvent) -> None:
        if event.finish_reason in ('cancelled', 'preempted'):
            raise AttemptFailedError(Outcome.ATTEMPTS_EXHAUSTED, '', True)
        if served.stage is not StreamStage.DECODE:
            served.stage = StreamStage.DECODE
            self._admission.report_stage(served)
        served.emitted.extend(event.texts)

    def _free_attempt(
        self, served: ServedRequest, progress: _Progress, outcome: Outcome
    ) -> None:
        """Frees what the present attempt holds and tells the pool's owner."""
        if served.tag is None:
            return
        self._cancel_on_engines(served)
        self._admission.release(
            served, outcome, progress.computed_tokens, finished=False
        )
        served.prefill = ''
        served.decode = ''

    def _cancel_on_engines(self, served: ServedRequest) -> None:
        tag = _tag_of(served)
        for endpoint_id in (served.prefill, served.decode):
            self._canceller.cancel(endpoint_id, tag.request_id, tag.attempt)

    def _end(self, served: ServedRequest, delivered: bool) -> None:
        """Lets go of a request, however it ended."""
        self._limits.leave(served.service)
        self._forget(served)
        if served.taken_over:
            return
        if served.tag is not None and served.prefill:
            if not delivered:
                self._cancel_on_engines(served)
            outcome = Outcome.COMPLETE if delivered else Outcome.CALLER_LEFT
            self._admission.release(served, outcome, 0, finished=delivered)
        self._directory.remove(served, delivered)


def _tag_of(served: ServedRequest) -> StreamTag:
    """Returns the tag of the present attempt."""
    if served.tag is None:
        raise OutcomeError(Outcome.INTERNAL_ERROR, 'no attempt has begun')
    return served.tag


def _after_start(error: OutcomeError, started: bool) -> OutcomeError:
    """Returns the truthful outcome of a request.

    Args:
        error: what ended it.
        started: whether it may have begun, here or at an earlier host.
    """
    not_run = outcome_class(error.outcome) is OutcomeClass.NOT_RUN
    if not (started and not_run):
        return error
    return OutcomeError(
        Outcome.ATTEMPTS_EXHAUSTED, error.detail, error.retry_after_s
    )


def _next_tokens(
    assembler: TokenAssembler, event: TokenEvent
) -> TokenEvent | None:
    """Returns the tokens that an event brings in order, None if none."""
    index = assembler.next_index
    texts = assembler.add(event)
    if not texts and not assembler.finish_reason:
        return None
    return TokenEvent(
        event.request_id, event.attempt, index, texts, assembler.finish_reason
    )


def _from_index(event: TokenEvent, first_index: int) -> TokenEvent | None:
    """Returns the part of an event from an index on, None if there is none."""
    skip = first_index - event.index
    if skip <= 0:
        return event
    texts = event.texts[skip:]
    if not texts and not event.finish_reason:
        return None
    return dataclasses.replace(
        event, index=max(event.index, first_index), texts=texts
    )
