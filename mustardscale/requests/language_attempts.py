"""Attempts at language requests: admission, prefill and decode."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncGenerator

from mustardscale.blackboard import Blackboard, ServedRequest
from mustardscale.configuration.config_records import Profile
from mustardscale.directory.directory_client import DirectoryClient
from mustardscale.endpoints.caller_requests import LanguageRequest
from mustardscale.endpoints.cancellation import Canceller
from mustardscale.endpoints.endpoint_clients import EndpointClients
from mustardscale.endpoints.engines import (
    REFUSED_LEAVING,
    REFUSED_STALE_ATTEMPT,
    DecodeCall,
    Engine,
    PrefillCall,
    StreamStage,
    StreamTag,
    TokenEvent,
)
from mustardscale.endpoints.token_assembler import TokenAssembler
from mustardscale.endpoints.token_events import next_tokens
from mustardscale.exceptions import (
    EndpointFailedError,
    EndpointRefusedError,
    EndpointUnreachableError,
    OutcomeError,
)
from mustardscale.hosts.membership import LEAVING_MEMORY_S
from mustardscale.outcomes import Outcome
from mustardscale.peers.peer_messages import AdmitReply
from mustardscale.pools.admission import AdmissionClient
from mustardscale.reporting.metrics import Metrics
from mustardscale.traces.trace import TraceKind
from mustardscale.versions.version_filter import find_other_engines, has_engine

# Added to the attempt number when an engine refuses it as stale, to get past
# the numbers that the engine has seen cancelled.
ATTEMPT_SKIP = 16


@dataclasses.dataclass(slots=True)
class AttemptProgress:
    """State of the attempts at one request.

    Attributes:
        attempt: number of the last attempt.
        runs: attempts at which an endpoint may have begun work.
        refusals: attempts that were refused before any work.
        excluded: endpoints that failed an attempt and are not used again.
        computed_tokens: prompt tokens computed by the current attempt.
    """

    attempt: int = 0
    runs: int = 0
    refusals: int = 0
    excluded: list[str] = dataclasses.field(default_factory=list)
    computed_tokens: int = 0


class AttemptFailedError(Exception):
    """An attempt ended before the answer was complete; another may follow.

    Attributes:
        outcome: how it ended.
        endpoint: the endpoint that later attempts must avoid, '' if none.
        ran: whether the endpoint may have begun work.
    """

    def __init__(self, outcome: Outcome, endpoint: str, ran: bool):
        super().__init__(outcome.name)
        self.outcome = outcome
        self.endpoint = endpoint
        self.ran = ran


class AttemptRunner:
    """Runs attempts at requests whose callers are connected to this host."""

    def __init__(
        self,
        blackboard: Blackboard,
        admission: AdmissionClient,
        directory: DirectoryClient,
        clients: EndpointClients,
        canceller: Canceller,
        metrics: Metrics,
    ):
        self._blackboard = blackboard
        self._admission = admission
        self._directory = directory
        self._clients = clients
        self._canceller = canceller
        self._metrics = metrics

    async def run(
        self,
        request: LanguageRequest,
        served: ServedRequest,
        profile: Profile,
        model: str,
        progress: AttemptProgress,
        deadline_at: float,
    ) -> AsyncGenerator[TokenEvent, None]:
        """Runs one attempt and yields the tokens that it adds.

        Raises:
            AttemptFailedError: the attempt ended early.
        """
        progress.attempt += 1
        progress.computed_tokens = 0
        self._begin_attempt(request, served, progress.attempt)
        others = self._find_other_engines(served, model, progress.excluded)
        grant = await self._admission.admit(
            request.prompt,
            served,
            profile,
            model,
            [*progress.excluded, *others],
            deadline_at,
        )
        version = self._find_version(grant)
        if grant.decode in others or (
            served.emitted and version != served.version
        ):
            raise AttemptFailedError(Outcome.NO_ENDPOINT, grant.decode, False)
        served.prefill = grant.prefill
        served.decode = grant.decode
        self._record(TraceKind.GRANTED, served, grant.prefill)
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
        self._record(TraceKind.SENT, served, grant.decode)
        call = DecodeCall(
            tag=_require_tag(served),
            model=model,
            kv_id=kv_id,
            source=self._clients.engine_url(grant.prefill),
            prompt=dataclasses.replace(request.prompt, text=''),
            first_index=len(served.emitted),
            max_tokens=served.max_tokens,
            priority=grant.priority,
            sampling=request.sampling,
        )
        async with contextlib.aclosing(
            self._read(served, engine.decode(call), version)
        ) as events:
            async for event in events:
                yield event

    def _find_other_engines(
        self, served: ServedRequest, model: str, excluded: list[str]
    ) -> list[str]:
        """Returns the engines that must not go on with a stream.

        What two software versions write does not fit together.

        Raises:
            OutcomeError: ATTEMPTS_EXHAUSTED, no engine runs the version that
                began the stream, or that version is not known.
        """
        if not served.emitted:
            return []
        if served.version is None:
            raise OutcomeError(
                Outcome.ATTEMPTS_EXHAUSTED,
                'the version that began the stream is not known',
            )
        board = self._blackboard
        now = asyncio.get_running_loop().time()
        if not has_engine(board, model, served.version, now, excluded):
            raise OutcomeError(
                Outcome.ATTEMPTS_EXHAUSTED,
                f'no engine runs version {served.version!r}',
            )
        return find_other_engines(board, model, served.version)

    def _find_version(self, grant: AdmitReply) -> str | None:
        """Returns the software version of a granted decode engine.

        Only the pool's owner reads the engines' start numbers, and its host
        list may be another one than that of this host.

        Returns:
            The version, None if it is not known: the engine's process began
            after the list was read, or the two lists differ.
        """
        version = self._find_listed_version(grant.decode)
        if not version:
            return version
        is_other = grant.decode_version not in ('', version)
        return None if is_other or grant.decode_began_anew else version

    def _find_listed_version(self, engine_id: str) -> str | None:
        """Returns an engine's version by the list, None if it is outdated."""
        entry = self._blackboard.endpoints_by_id.get(engine_id)
        if entry is None or not entry.version:
            return ''
        return entry.version if entry.is_version_known else None

    def _record(
        self, kind: TraceKind, served: ServedRequest, endpoint_id: str
    ) -> None:
        self._blackboard.record(
            kind,
            served.id,
            endpoint=endpoint_id,
            attempt=_require_tag(served).attempt,
        )

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
        progress: AttemptProgress,
    ) -> str:
        engine = self._engine(grant.prefill)
        call = PrefillCall(
            tag=_require_tag(served),
            model=model,
            prompt=request.prompt,
            emitted=tuple(served.emitted),
            priority=grant.priority,
            sampling=request.sampling,
        )
        served.stage = StreamStage.PREFILL
        started_before = served.started
        served.started = True
        self._record(TraceKind.SENT, served, grant.prefill)
        try:
            result = await engine.prefill(call)
        except (EndpointRefusedError, EndpointUnreachableError) as error:
            served.started = started_before
            self._record(TraceKind.UNSENT, served, grant.prefill)
            raise self._record_refusal(
                grant.prefill, error, progress
            ) from error
        except EndpointFailedError as error:
            raise AttemptFailedError(
                Outcome.ENDPOINT_FAILED, grant.prefill, True
            ) from error
        progress.computed_tokens = result.prompt_tokens - result.cached_tokens
        return result.kv_id

    def _record_refusal(
        self,
        endpoint_id: str,
        error: EndpointRefusedError | EndpointUnreachableError,
        progress: AttemptProgress,
    ) -> AttemptFailedError:
        """Records why an endpoint refused the work.

        Returns:
            The error that ends the attempt.
        """
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

    async def resume(
        self, served: ServedRequest
    ) -> AsyncGenerator[TokenEvent, None]:
        """Attaches to a running stream that another host started.

        Raises:
            AttemptFailedError: the attempt ended early.
        """
        engine = self._engine(served.decode)
        tag = _require_tag(served)
        events = engine.resume(tag.request_id, tag.attempt, 0)
        version = self._find_listed_version(served.decode)
        served.started = True
        served.stage = StreamStage.TRANSFER
        self._admission.report_takeover(served)
        self._record(TraceKind.SENT, served, served.decode)
        async with contextlib.aclosing(
            self._read(served, events, version)
        ) as read:
            async for event in read:
                yield event

    async def _read(
        self,
        served: ServedRequest,
        events: AsyncGenerator[TokenEvent, None],
        version: str | None,
    ) -> AsyncGenerator[TokenEvent, None]:
        """Yields a stream's tokens in order.

        It attaches to the stream again when the connection breaks, unless no
        new token has come since it last did so.

        Args:
            served: the stream.
            events: what its decode engine sends.
            version: software version of that engine, None if it is not known.
        """
        engine = self._engine(served.decode)
        tag = _require_tag(served)
        assembler = TokenAssembler(
            tag.request_id, tag.attempt, len(served.emitted)
        )
        attached_at = -1
        while True:
            try:
                async for event in events:
                    ready = next_tokens(assembler, event)
                    if ready is not None:
                        self._record_tokens(served, ready, version)
                        yield ready
                    if assembler.finish_reason:
                        return
                raise EndpointFailedError(
                    'event stream ended without a finish reason'
                )
            except EndpointUnreachableError as error:
                raise AttemptFailedError(
                    Outcome.ENDPOINT_FAILED, served.decode, True
                ) from error
            except EndpointRefusedError as error:
                raise self._record_decode_refusal(served, error) from error
            except EndpointFailedError as error:
                if attached_at == assembler.next_index:
                    raise AttemptFailedError(
                        Outcome.ENDPOINT_FAILED, served.decode, True
                    ) from error
                attached_at = assembler.next_index
                events = engine.resume(
                    tag.request_id, tag.attempt, assembler.next_index
                )

    def _record_decode_refusal(
        self, served: ServedRequest, error: EndpointRefusedError
    ) -> AttemptFailedError:
        """Records why a decode engine refused a stream or no longer has it.

        Returns:
            The error that ends the attempt.
        """
        entry = self._blackboard.endpoints_by_id.get(served.decode)
        if error.reason != REFUSED_LEAVING or entry is None:
            return AttemptFailedError(Outcome.ATTEMPTS_EXHAUSTED, '', True)
        now = asyncio.get_running_loop().time()
        entry.leaving_until = now + LEAVING_MEMORY_S
        return AttemptFailedError(
            Outcome.ATTEMPTS_EXHAUSTED, served.decode, True
        )

    def _record_tokens(
        self, served: ServedRequest, event: TokenEvent, version: str | None
    ) -> None:
        if event.finish_reason in ('cancelled', 'preempted'):
            raise AttemptFailedError(Outcome.ATTEMPTS_EXHAUSTED, '', True)
        if served.stage is not StreamStage.DECODE:
            served.stage = StreamStage.DECODE
            self._admission.report_stage(served)
        if not served.emitted:
            served.version = version
        served.emitted.extend(event.texts)

    def free(
        self, served: ServedRequest, progress: AttemptProgress, outcome: Outcome
    ) -> None:
        """Frees the current attempt on its engines and at the pool owner."""
        if served.tag is None:
            return
        self.cancel(served)
        self._admission.release(
            served, outcome, progress.computed_tokens, finished=False
        )
        served.prefill = ''
        served.decode = ''

    def cancel(self, served: ServedRequest) -> None:
        """Cancels the current attempt on its engines, to free its memory."""
        tag = _require_tag(served)
        for endpoint_id in (served.prefill, served.decode):
            self._canceller.cancel(endpoint_id, tag.request_id, tag.attempt)


def _require_tag(served: ServedRequest) -> StreamTag:
    """Returns the tag of the current attempt.

    Raises:
        OutcomeError: INTERNAL_ERROR, no attempt has begun.
    """
    if served.tag is None:
        raise OutcomeError(Outcome.INTERNAL_ERROR, 'no attempt has begun')
    return served.tag
