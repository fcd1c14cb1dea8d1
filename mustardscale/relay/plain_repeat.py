"""Second answers to requests whose first one only its connection ended."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses

from mustardscale.endpoints.answer_framing import AnswerFraming
from mustardscale.endpoints.content_end import find_missing_end
from mustardscale.endpoints.process_check import compute_give_up_at
from mustardscale.exceptions import (
    EndpointFailedError,
    EndpointRefusedError,
    EndpointUnreachableError,
    OutcomeError,
)
from mustardscale.relay.answer_end import PLAIN_OUTLIVE
from mustardscale.relay.answer_memory import AnswerMemory
from mustardscale.relay.relay_context import RelayContext
from mustardscale.relay.relay_endpoint import RelayCall, RelayEndpoint
from mustardscale.relay.relay_messages import RelayRequest, WholeAnswer
from mustardscale.relay.repeated_end import RepeatedEnd, compare_bodies
from mustardscale.reporting.event_log import EventKind

# Share of the retry budget that second answers may use up. The rest is left to
# requests that have no answer yet.
BUDGET_SHARE = 0.5
# Time left in which no second answer is asked for, seconds.
TOO_SHORT_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class RepeatableCall:
    """A request that has an answer and may run once more.

    Attributes:
        request: the request.
        service: the service that it goes to.
        keys: its suspicion keys.
        deadline_at: loop time by which it must have ended.
        give_up_at: loop time at which its present attempt is abandoned.
    """

    request: RelayRequest
    service: str
    keys: tuple[str, ...]
    deadline_at: float
    give_up_at: float


class PlainRepeats:
    """Asks for second answers and compares them with the first ones.

    The endpoint that gave the first one is asked, so that the request runs at
    no further endpoint.
    """

    def __init__(self, context: RelayContext, memory: AnswerMemory):
        self._context = context
        self._memory = memory

    async def confirm(
        self, call: RepeatableCall, first: WholeAnswer
    ) -> WholeAnswer:
        """Returns the answer that is most likely whole.

        A second answer that states its end is. Of two that do not, the second
        one is if it goes on where the first one ended. Where nothing is shown,
        it is the first one, which its process has outlived.

        Args:
            call: the request.
            first: its first answer, a success that only its connection ended.

        Raises:
            EndpointFailedError: the content of the answer shows that it broke
                off.
        """
        second = await self._repeat(call, first)
        if second is None:
            require_end(first)
            return first
        if second.framing is not AnswerFraming.CONNECTION:
            return second
        found = compare_bodies(first.body, second.body)
        if found is RepeatedEnd.SAME:
            return first
        is_cut = bool(_find_missing_end(first))
        answer = second if found is RepeatedEnd.LATER or is_cut else first
        require_end(answer)
        return answer

    async def _repeat(
        self, call: RepeatableCall, first: WholeAnswer
    ) -> WholeAnswer | None:
        """Returns a second answer, None if there is none that shows anything.

        What goes wrong with it shows nothing of the first one.
        """
        context = self._context
        endpoint_id = first.endpoint_id
        client = context.client(endpoint_id)
        until = min(call.give_up_at, compute_give_up_at(call.deadline_at))
        if client is None or until - context.now() < TOO_SHORT_S:
            return None
        began_at = context.now()
        second: WholeAnswer | None = None
        detail = ''
        context.crashes.begin(endpoint_id, call.request.id, call.keys)
        try:
            async with asyncio.timeout_at(until):
                if not await self._may_repeat(call, endpoint_id):
                    return None
                second = await self._run(call, endpoint_id, client)
        except TimeoutError:
            detail = 'no second answer in time'
        except EndpointFailedError as error:
            detail = str(error)
            if error.crashed:
                context.crashes.check_for_crash(endpoint_id)
        except (
            EndpointRefusedError,
            EndpointUnreachableError,
            OutcomeError,
        ) as error:
            detail = str(error)
        finally:
            context.crashes.end(
                endpoint_id, call.request.id, second is not None
            )
        if second is not None and not second.head.is_success:
            detail = f'status {second.head.status}'
            second = None
        self._record(call, first, second, detail, context.now() - began_at)
        return second

    async def _may_repeat(self, call: RepeatableCall, endpoint_id: str) -> bool:
        """Takes a retry; returns whether an endpoint may be asked."""
        context = self._context
        if not await context.permits.acquire(endpoint_id, call.request.id):
            return False
        is_harmful = context.crashes.suspicions.find_harmful(call.keys)
        return (
            is_harmful is None
            and context.takes_work(endpoint_id)
            and context.take_retry(call.service, BUDGET_SHARE)
        )

    async def _run(
        self, call: RepeatableCall, endpoint_id: str, client: RelayEndpoint
    ) -> WholeAnswer:
        """Runs the request once more and returns the whole answer.

        Raises:
            EndpointFailedError: it broke off, or its end is not confirmed.
            EndpointRefusedError: the endpoint did not run the request.
            EndpointUnreachableError: nothing was sent.
            OutcomeError: the answer ended at the deadline.
        """
        context = self._context
        process = context.find_process(call.request.id, endpoint_id, client)
        answer = await client.run(RelayCall(call.request, call.deadline_at))
        body = await self._memory.read(answer)
        with contextlib.closing(answer):
            await context.ends.check(
                answer, process, call.deadline_at, PLAIN_OUTLIVE
            )
        return WholeAnswer(answer.head, body, endpoint_id, answer.framing)

    def _record(
        self,
        call: RepeatableCall,
        first: WholeAnswer,
        second: WholeAnswer | None,
        detail: str,
        took_s: float,
    ) -> None:
        """Logs what a second answer has shown."""
        found = RepeatedEnd.UNKNOWN
        if second is not None:
            found = compare_bodies(first.body, second.body)
        self._context.metrics.count(f'unframed_ends_repeated_{found}')
        self._context.events.emit(
            EventKind.END_REPEATED,
            call.request.id,
            endpoint=first.endpoint_id,
            after='',
            last='',
            found=found.value,
            framing=second.framing.value if second is not None else '',
            detail=detail,
            took_s=round(took_s, 4),
        )


def require_end(answer: WholeAnswer) -> None:
    """Requires that a success that its connection ended does not lack its end.

    Raises:
        EndpointFailedError: its content shows that it does.
    """
    missing = _find_missing_end(answer)
    if missing:
        raise EndpointFailedError(missing)


def _find_missing_end(answer: WholeAnswer) -> str:
    head = answer.head
    return find_missing_end(head.status, head.content_type, answer.body)
