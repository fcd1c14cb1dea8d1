"""Serves requests to language services, from admission to the last token."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import AsyncGenerator

from mustardscale.blackboard import Blackboard, ServedRequest
from mustardscale.configuration.config_records import Profile
from mustardscale.directory.directory_client import DirectoryClient, check_reply
from mustardscale.endpoints.caller_requests import LanguageRequest
from mustardscale.endpoints.engines import (
    StreamTag,
    TokenEvent,
)
from mustardscale.endpoints.token_events import trim_event
from mustardscale.exceptions import (
    OutcomeError,
)
from mustardscale.hosts.quorum import has_quorum
from mustardscale.outcomes import Outcome, OutcomeClass, outcome_class
from mustardscale.peers.directory_messages import (
    DirectoryEntry,
    DirectoryReply,
)
from mustardscale.pools.admission import AdmissionClient
from mustardscale.quarantine.suspicion_keys import make_keys
from mustardscale.quarantine.suspicions import Suspicions, describe
from mustardscale.reporting.metrics import Metrics
from mustardscale.requests.deadline import yield_until
from mustardscale.requests.kept_answers import KeptAnswer
from mustardscale.requests.language_attempts import (
    AttemptFailedError,
    AttemptProgress,
    AttemptRunner,
)
from mustardscale.requests.limits import ServiceLimits
from mustardscale.requests.resumption import Resumption

log = logging.getLogger(__name__)

# Maximum attempts at one request that an endpoint may have begun, the first
# included.
MAX_ATTEMPTS = 6
# Maximum attempts at one request that were refused before any work.
MAX_REFUSALS = 30
# Pause after a refusal, seconds; multiplied by the number of refusals so far.
REFUSAL_PAUSE_S = 0.02


class LanguageService:
    """Serves language requests whose callers are connected to this host."""

    def __init__(
        self,
        blackboard: Blackboard,
        admission: AdmissionClient,
        directory: DirectoryClient,
        resumption: Resumption,
        runner: AttemptRunner,
        limits: ServiceLimits,
        suspicions: Suspicions,
        metrics: Metrics,
    ):
        self._blackboard = blackboard
        self._admission = admission
        self._directory = directory
        self._resumption = resumption
        self._runner = runner
        self._limits = limits
        self._suspicions = suspicions
        self._metrics = metrics

    async def serve(
        self, request: LanguageRequest, profile: Profile, model: str
    ) -> AsyncGenerator[TokenEvent, None]:
        """Yields the tokens of an answer, each exactly once and in order.

        Closing the generator or cancelling its task cancels the attempt and
        releases its reservation and its directory entry.

        Raises:
            OutcomeError: the request ended without a complete answer.
        """
        resumed = request.resume_after is not None
        try:
            served = await self._accept(request, profile, model)
        except OutcomeError as error:
            raise _correct_outcome(error, resumed) from error
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
                        served.delivered = True
                        self._resumption.keep_answer(
                            served, event.finish_reason
                        )
                        self._record_token_time(served, clock() - first_at)
                    yield event
        except TimeoutError as error:
            outcome = Outcome.DEADLINE_IN_QUEUE
            if served.started:
                outcome = Outcome.DEADLINE_EXCEEDED
            raise OutcomeError(outcome) from error
        except OutcomeError as error:
            started = served.started or resumed
            raise _correct_outcome(error, started) from error
        finally:
            self._finish(served)

    def _record_token_time(self, served: ServedRequest, seconds: float) -> None:
        if len(served.emitted) > 1:
            self._metrics.service(served.service).per_token.record(
                seconds / (len(served.emitted) - 1)
            )

    async def _accept(
        self, request: LanguageRequest, profile: Profile, model: str
    ) -> ServedRequest:
        """Checks a request against the limits and registers it.

        Nothing runs for a request before this returns.
        """
        keys = self._check(request, profile, model)
        earlier = self._blackboard.served_by_id.get(request.id)
        if earlier is not None:
            if request.resume_after is None:
                raise OutcomeError(Outcome.ALREADY_IN_PROGRESS)
            if earlier.delivered:
                raise OutcomeError(Outcome.ALREADY_COMPLETED)
            self._resumption.stop_serving(request.id)
        served = ServedRequest(
            id=request.id,
            service=request.service,
            fingerprint=request.prompt.fingerprint,
            arrived_at=asyncio.get_running_loop().time(),
            prompt_tokens=request.prompt.tokens,
            max_tokens=min(request.max_tokens, profile.max_output_tokens),
            keys=keys,
        )
        self._limits.enter(request.service, profile)
        # Set before the first await, so that a duplicate of the request that
        # arrives meanwhile is detected.
        self._blackboard.served_by_id[request.id] = served
        try:
            reply = await self._register(request, served, profile)
        except BaseException:
            self._limits.leave(request.service)
            self._forget(served)
            raise
        if reply.found:
            self._continue_attempts(request, served, reply.found[0])
        return served

    async def _register(
        self, request: LanguageRequest, served: ServedRequest, profile: Profile
    ) -> DirectoryReply:
        """Registers this host as the holder of a request."""
        deadline_at = served.arrived_at + _timeout_s(request, profile)
        takeover = request.resume_after is not None
        try:
            async with asyncio.timeout_at(deadline_at):
                reply = await self._directory.register(
                    served, profile.patience_s, takeover
                )
        except TimeoutError as error:
            raise OutcomeError(
                Outcome.DEADLINE_EXCEEDED
                if takeover
                else Outcome.DEADLINE_IN_QUEUE
            ) from error
        served.confirmed_at = asyncio.get_running_loop().time()
        check_reply(reply, served)
        if served.taken_over:
            raise OutcomeError(Outcome.STREAM_TAKEN_OVER)
        return reply

    def _forget(self, served: ServedRequest) -> None:
        if self._blackboard.served_by_id.get(served.id) is served:
            del self._blackboard.served_by_id[served.id]

    def _check(
        self, request: LanguageRequest, profile: Profile, model: str
    ) -> tuple[str, ...]:
        """Checks a request; returns its suspicion keys."""
        prompt = request.prompt
        if prompt.tokens > profile.max_prompt_tokens:
            raise OutcomeError(Outcome.PROMPT_TOO_LONG)
        keys = make_keys(
            model, request.id, prompt.fingerprint, request.segments
        )
        harmful = self._suspicions.find_harmful(keys)
        if harmful is not None and not self._suspicions.may_try(harmful):
            # The pool's owner decides whether the request is tried.
            raise OutcomeError(Outcome.QUARANTINED, describe(harmful))
        return keys

    def _continue_attempts(
        self,
        request: LanguageRequest,
        served: ServedRequest,
        found: DirectoryEntry,
    ) -> None:
        """Continues from the directory entry of an earlier holder.

        The attempt numbers go on from the last one of the earlier holder.
        """
        served.tag = StreamTag(
            served.id,
            found.attempt,
            self._blackboard.host,
            self._blackboard.incarnation,
        )
        # An entry that names this host may come from an earlier registration
        # whose reply was lost. It does not tell which host held the request
        # before.
        if found.host != self._blackboard.host:
            served.previous_holder = found.host
            served.previous_incarnation = found.incarnation
        served.answered = found.done
        if request.resume_after is not None:
            served.decode = found.decode

    async def _attempts(
        self,
        request: LanguageRequest,
        served: ServedRequest,
        profile: Profile,
        model: str,
    ) -> AsyncGenerator[TokenEvent, None]:
        """Makes attempts until the answer is complete."""
        deadline_at = served.arrived_at + _timeout_s(request, profile)
        progress = AttemptProgress(_last_attempt(served))
        first_index = 0
        resuming = request.resume_after is not None
        if request.resume_after is not None:
            first_index = request.resume_after + 1
        async with asyncio.timeout_at(deadline_at):
            kept = None
            if resuming:
                kept = await self._resumption.locate(served, model)
                progress.attempt = _last_attempt(served)
        if kept is not None:
            yield _make_rest_event(kept, served, first_index)
            return
        while True:
            try:
                if resuming:
                    events = self._runner.resume(served)
                else:
                    events = self._runner.run(
                        request, served, profile, model, progress, deadline_at
                    )
                async with contextlib.aclosing(events):
                    async for event in yield_until(events, deadline_at):
                        visible = trim_event(event, first_index)
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
        """Requires that a lost stream can be continued by a new attempt.

        This host must know all tokens that the caller has received, because the
        new attempt continues after the tokens that this host knows.

        Raises:
            OutcomeError: NOTHING_TO_RESUME.
        """
        if len(served.emitted) < first_index:
            raise OutcomeError(Outcome.NOTHING_TO_RESUME)

    async def _prepare_retry(
        self,
        served: ServedRequest,
        progress: AttemptProgress,
        failure: AttemptFailedError,
        profile: Profile,
    ) -> None:
        """Frees a failed attempt and decides whether another may follow.

        Raises:
            OutcomeError: there is no further attempt.
        """
        self._runner.free(served, progress, failure.outcome)
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
        """Requires that this host still holds the request.

        Another host may have taken the request over while this one was paused
        or cut off.

        Raises:
            OutcomeError: STREAM_TAKEN_OVER.
        """
        if served.taken_over:
            raise OutcomeError(Outcome.STREAM_TAKEN_OVER)
        now = asyncio.get_running_loop().time()
        if self._has_lease(served, now):
            return
        if not await self._directory.confirm(served):
            served.taken_over = True
            raise OutcomeError(Outcome.STREAM_TAKEN_OVER)
        served.confirmed_at = now

    def _has_lease(self, served: ServedRequest, now: float) -> bool:
        """Returns whether no other host can have taken a request over yet."""
        board = self._blackboard
        return (
            has_quorum(board, now)
            and served.confirmed_at >= board.quorum_gap_at
        )

    def _finish(self, served: ServedRequest) -> None:
        """Releases all that a request holds, however it ended."""
        delivered = served.delivered
        self._limits.leave(served.service)
        self._forget(served)
        answered = delivered or served.answered
        if answered:
            self._resumption.record_delivered(served.id)
        if served.taken_over:
            return
        if served.tag is not None and served.prefill:
            now = asyncio.get_running_loop().time()
            # Without the lease the stream may run for another host. If it does
            # not, the pool's owner cancels it.
            if not delivered and self._has_lease(served, now):
                self._runner.cancel(served)
            outcome = Outcome.COMPLETE if delivered else Outcome.CALLER_LEFT
            self._admission.release(served, outcome, 0, finished=delivered)
        self._directory.remove(served, answered)


def _make_rest_event(
    kept: KeptAnswer, served: ServedRequest, first_index: int
) -> TokenEvent:
    """Returns the remaining tokens of an answer that was delivered before.

    Raises:
        OutcomeError: ALREADY_COMPLETED, no token is left, or those asked for
            are no longer kept; STREAM_TAKEN_OVER, another host holds the
            request.
    """
    texts = kept.rest_from(first_index)
    if not texts:
        raise OutcomeError(Outcome.ALREADY_COMPLETED)
    if served.taken_over:
        raise OutcomeError(Outcome.STREAM_TAKEN_OVER)
    return TokenEvent(
        served.id,
        _last_attempt(served),
        first_index,
        texts,
        kept.finish_reason,
    )


def _timeout_s(request: LanguageRequest, profile: Profile) -> float:
    """Returns the seconds from a request's arrival to its deadline."""
    return request.timeout_s or profile.timeout_s


def _last_attempt(served: ServedRequest) -> int:
    """Returns the number of the last attempt, 0 if there was none."""
    return served.tag.attempt if served.tag else 0


def _correct_outcome(error: OutcomeError, started: bool) -> OutcomeError:
    """Replaces a "not run" outcome of a request that may have begun.

    Args:
        error: the error that ended the request.
        started: whether an endpoint may have begun to run the request, for
            this host or an earlier holder.
    """
    not_run = outcome_class(error.outcome) is OutcomeClass.NOT_RUN
    if not (started and not_run):
        return error
    return OutcomeError(
        Outcome.ATTEMPTS_EXHAUSTED, error.detail, error.retry_after_s
    )
