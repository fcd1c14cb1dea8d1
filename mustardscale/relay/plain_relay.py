"""Relays requests to plain services."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses

from mustardscale.configuration.routes import Route
from mustardscale.endpoints.answer_framing import AnswerFraming
from mustardscale.exceptions import (
    EndpointFailedError,
    EndpointRefusedError,
    EndpointUnreachableError,
    OutcomeError,
)
from mustardscale.hosts.duties import choose_host
from mustardscale.hosts.host_list import ListedKind
from mustardscale.hosts.quorum import has_quorum
from mustardscale.outcomes import Outcome
from mustardscale.relay.answer_end import PLAIN_OUTLIVE
from mustardscale.relay.answer_memory import AnswerLimits, AnswerMemory
from mustardscale.relay.endpoint_choice import choose_endpoint
from mustardscale.relay.endpoint_health import HealthTable
from mustardscale.relay.even_load import EvenLoad, PlainLoad
from mustardscale.relay.plain_repeat import (
    PlainRepeats,
    RepeatableCall,
    require_end,
)
from mustardscale.relay.relay_context import (
    ANSWER_MARGIN_S,
    RelayContext,
    compute_deadline,
)
from mustardscale.relay.relay_endpoint import RelayCall
from mustardscale.relay.relay_messages import RelayRequest, WholeAnswer
from mustardscale.reporting.event_log import EventKind

# Unreachable endpoints after which a request is refused.
MAX_UNREACHABLE_ENDPOINTS = 4
# Time after which a refused caller may try again, where no endpoint announced a
# time, seconds.
RETRY_AFTER_S = 0.3
# Share of the remaining time after which an attempt at a repeatable request is
# abandoned for another endpoint, but not before MIN_FIRST_ATTEMPT_S.
FIRST_ATTEMPT_TIME_SHARE = 0.4
MIN_FIRST_ATTEMPT_S = 0.25


@dataclasses.dataclass(slots=True)
class _Progress:
    """Attempts made at a request so far.

    Attributes:
        keys: the request's suspicion keys.
        is_trial: whether it may be sent although it is quarantined.
        arrivals: endpoints that the request reached.
        runs: endpoints that may have run the request.
        unreachable: endpoints that could not be reached.
        excluded: endpoints that must not be tried again.
        without_permit: endpoints whose rate limit left no permit.
    """

    keys: tuple[str, ...]
    is_trial: bool = False
    arrivals: int = 0
    runs: int = 0
    unreachable: int = 0
    excluded: list[str] = dataclasses.field(default_factory=list)
    without_permit: list[str] = dataclasses.field(default_factory=list)


class PlainRelay:
    """Serves the requests of routes to plain services."""

    def __init__(
        self, context: RelayContext, limits: AnswerLimits | None = None
    ):
        self._context = context
        self._memory = AnswerMemory(limits or AnswerLimits())
        self._repeats = PlainRepeats(context, self._memory)
        self.health = HealthTable()
        self._even_load: EvenLoad | None = None
        if context.loads is not None:
            self._even_load = EvenLoad(context, context.loads, self.health)

    def describe_loads(self) -> dict[str, PlainLoad]:
        """Returns the load of plain endpoints by id; empty where unknown."""
        return self._even_load.describe() if self._even_load else {}

    async def serve(
        self, request: RelayRequest, route: Route, service: str
    ) -> WholeAnswer:
        """Returns an endpoint's whole answer.

        Raises:
            OutcomeError: there is no answer. The class of the outcome says
                whether the request may have run.
        """
        context = self._context
        keys = request.suspicion_keys(service)
        is_trial = self._try_harmful(keys, request.id)
        context.refuse_harmful(keys, 0, is_trial)
        context.budgets.count_request(service, context.now())
        progress = _Progress(keys, is_trial)
        deadline_at = compute_deadline(request, route)
        try:
            async with asyncio.timeout_at(
                deadline_at + ANSWER_MARGIN_S
            ) as timeout:
                with context.active.watch(timeout):
                    return await self._make_attempts(
                        request, route, service, progress, deadline_at
                    )
        except TimeoutError as error:
            raise context.timeout_error(progress.runs > 0) from error

    def _try_harmful(self, keys: tuple[str, ...], request_id: str) -> bool:
        """Returns whether a quarantined request may be tried by this host.

        One host decides on all trials of a request, and only if it is not cut
        off, so that one at a time is tried.
        """
        suspicions = self._context.crashes.suspicions
        harmful = suspicions.find_harmful(keys)
        if harmful is None or not suspicions.may_try(harmful):
            return False
        board = self._context.board
        duty = f'trial {min(harmful.keys)}'
        if choose_host(board, duty) != board.host:
            return False
        if not has_quorum(board, self._context.now()):
            return False
        suspicions.record_trial(harmful, request_id)
        return True

    async def _make_attempts(
        self,
        request: RelayRequest,
        route: Route,
        service: str,
        progress: _Progress,
        deadline_at: float,
    ) -> WholeAnswer:
        context = self._context
        last_error_answer: WholeAnswer | None = None
        while True:
            context.refuse_harmful(
                progress.keys, progress.runs, progress.is_trial
            )
            endpoint_id = await self._choose_permitted(
                request, service, progress
            )
            if endpoint_id is None or not self._may_send(service, progress):
                if last_error_answer is not None:
                    return last_error_answer
                raise self._compute_refusal(service, progress, endpoint_id)
            give_up_at = deadline_at
            if route.may_repeat and progress.runs + 1 < route.max_attempts:
                give_up_at = self._compute_give_up_at(request, deadline_at)
            try:
                answer = await self._call_endpoint(
                    request, endpoint_id, progress, deadline_at, give_up_at
                )
                if _is_ended_by_connection(answer):
                    repeatable = RepeatableCall(
                        request, service, progress.keys, deadline_at, give_up_at
                    )
                    answer = await self._confirm(route, repeatable, answer)
            except EndpointFailedError as error:
                self._record_failed_attempt(
                    request, endpoint_id, progress, error
                )
                if not _may_run_again(route, progress):
                    raise OutcomeError(
                        Outcome.ANSWER_LOST, str(error)
                    ) from error
                continue
            except (EndpointRefusedError, EndpointUnreachableError) as error:
                self._record_failed_attempt(
                    request, endpoint_id, progress, error
                )
                continue
            if answer.head.is_server_error and _may_run_again(route, progress):
                last_error_answer = answer
                progress.excluded.append(endpoint_id)
                continue
            return answer

    async def _choose_permitted(
        self, request: RelayRequest, service: str, progress: _Progress
    ) -> str | None:
        """Returns the endpoint to send to, with a permit where it needs one."""
        permits = self._context.permits
        progress.without_permit.clear()
        while True:
            endpoint_id = self._choose(service, progress)
            if endpoint_id is None:
                return None
            if await permits.acquire(endpoint_id, request.id):
                return endpoint_id
            progress.without_permit.append(endpoint_id)

    def _choose(self, service: str, progress: _Progress) -> str | None:
        if progress.unreachable >= MAX_UNREACHABLE_ENDPOINTS:
            return None
        now = self._context.now()
        candidates = sorted(
            endpoint.id
            for endpoint in self._context.endpoints(service, ListedKind.PLAIN)
            if not endpoint.busy(now)
        )
        excluded = [*progress.excluded, *progress.without_permit]
        if self._even_load is not None:
            return self._even_load.choose(candidates, excluded, now)
        return choose_endpoint(
            self.health.by_id, candidates, excluded, now, self._context.rng
        )

    def _may_send(self, service: str, progress: _Progress) -> bool:
        return not progress.arrivals or self._context.take_retry(service)

    def _compute_give_up_at(
        self, request: RelayRequest, deadline_at: float
    ) -> float:
        """Returns the loop time at which an unanswered attempt is abandoned."""
        now = self._context.now()
        left_s = deadline_at - now
        return now + max(MIN_FIRST_ATTEMPT_S, FIRST_ATTEMPT_TIME_SHARE * left_s)

    async def _call_endpoint(
        self,
        request: RelayRequest,
        endpoint_id: str,
        progress: _Progress,
        deadline_at: float,
        give_up_at: float,
    ) -> WholeAnswer:
        """Sends a request to an endpoint and reads its whole answer."""
        context = self._context
        client = context.client(endpoint_id)
        if client is None:
            raise EndpointUnreachableError('the endpoint is gone')
        process = context.find_process(request.id, endpoint_id, client)
        health = self.health.get_or_create(endpoint_id)
        began_at = context.now()
        health.begin(request.id, began_at)
        if self._even_load is not None:
            self._even_load.begin(endpoint_id)
        context.crashes.begin(endpoint_id, request.id, progress.keys)
        progress.runs += 1
        progress.arrivals += 1
        is_success = False
        try:
            async with asyncio.timeout_at(give_up_at + ANSWER_MARGIN_S):
                answer = await client.run(RelayCall(request, deadline_at))
                body = await self._memory.read(answer)
            with contextlib.closing(answer):
                # A repeat would cost more than waiting for the process's reply.
                await context.ends.check(
                    answer, process, deadline_at, PLAIN_OUTLIVE
                )
            is_success = answer.head.is_success
        except TimeoutError as error:
            raise EndpointFailedError('no answer in time') from error
        except EndpointUnreachableError:
            progress.runs -= 1
            progress.arrivals -= 1
            raise
        except EndpointRefusedError:
            progress.runs -= 1
            raise
        except EndpointFailedError as error:
            if error.crashed:
                context.crashes.check_for_crash(endpoint_id)
            raise
        except OutcomeError:
            # The answer ended at the deadline.
            health.record_failure(context.now())
            raise
        finally:
            health.end(request.id)
            if self._even_load is not None:
                self._even_load.end(endpoint_id)
            context.crashes.end(endpoint_id, request.id, is_success)
        now = context.now()
        if answer.head.is_server_error:
            health.record_failure(now)
        else:
            health.record_answer(now - began_at, now)
        return WholeAnswer(answer.head, body, endpoint_id, answer.framing)

    async def _confirm(
        self, route: Route, call: RepeatableCall, answer: WholeAnswer
    ) -> WholeAnswer:
        """Returns a success whose end its content or a second one shows.

        Raises:
            EndpointFailedError: it broke off.
        """
        if route.may_repeat:
            return await self._repeats.confirm(call, answer)
        require_end(answer)
        return answer

    def _record_failed_attempt(
        self,
        request: RelayRequest,
        endpoint_id: str,
        progress: _Progress,
        error: Exception,
    ) -> None:
        """Records how an attempt at an endpoint failed."""
        context = self._context
        inputs: dict[str, bool] = {}
        if self._even_load is not None and isinstance(
            error, EndpointRefusedError
        ):
            inputs['had_room'] = self._even_load.record_refusal(
                endpoint_id, progress.excluded, context.now()
            )
        progress.excluded.append(endpoint_id)
        health = self.health.get_or_create(endpoint_id)
        if isinstance(error, EndpointUnreachableError):
            progress.unreachable += 1
            health.record_unreachable(context.now())
        elif isinstance(error, EndpointFailedError):
            health.record_failure(context.now())
        context.events.emit(
            EventKind.ATTEMPT_FAILED,
            request.id,
            endpoint=endpoint_id,
            cause=type(error).__name__,
            detail=str(error),
            runs=progress.runs,
            arrivals=progress.arrivals,
            **inputs,
        )

    def _compute_refusal(
        self, service: str, progress: _Progress, endpoint_id: str | None
    ) -> OutcomeError:
        """Returns the outcome of a request that gets no further attempt."""
        if progress.runs:
            return OutcomeError(Outcome.ATTEMPTS_EXHAUSTED)
        if endpoint_id is not None:
            return OutcomeError(
                Outcome.RETRY_BUDGET_SPENT, retry_after_s=RETRY_AFTER_S
            )
        context = self._context
        endpoints = context.endpoints(service, ListedKind.PLAIN)
        return_s = context.permits.refuse(endpoints)
        if progress.arrivals or progress.without_permit or return_s:
            limited = sum(e.notice.is_rate_limited for e in endpoints)
            return OutcomeError(
                Outcome.POOL_SATURATED,
                f'every endpoint is full; {limited} state a rate limit',
                retry_after_s=return_s or RETRY_AFTER_S,
            )
        if progress.unreachable:
            return OutcomeError(
                Outcome.ENDPOINT_UNREACHABLE, retry_after_s=RETRY_AFTER_S
            )
        return OutcomeError(Outcome.NO_ENDPOINT, retry_after_s=RETRY_AFTER_S)


def _is_ended_by_connection(answer: WholeAnswer) -> bool:
    """Returns whether nothing but its connection marked a success's end."""
    return answer.framing is AnswerFraming.CONNECTION and answer.head.is_success


def _may_run_again(route: Route, progress: _Progress) -> bool:
    return route.may_repeat and progress.runs < route.max_attempts
