"""Decides whether a stream that only its connection delimits is whole."""

from __future__ import annotations

import asyncio
import contextlib

from mustardscale.endpoints.answer_framing import AnswerFraming
from mustardscale.exceptions import (
    EndpointFailedError,
    EndpointHasRestError,
    OutcomeError,
)
from mustardscale.relay.answer_end import STREAM_OUTLIVE
from mustardscale.relay.event_splitter import EventSplitter
from mustardscale.relay.relay_context import RelayContext
from mustardscale.relay.relay_endpoint import EndpointAnswer
from mustardscale.relay.relay_messages import AnswerHead
from mustardscale.relay.repeated_end import (
    NoRepeat,
    RepeatedEnd,
    read_repeated_end,
)
from mustardscale.relay.stream_attempts import (
    MAX_SHOWN_ID,
    NotRepeatedError,
    StreamAttempts,
)
from mustardscale.reporting.event_log import EventKind


class StreamEnd:
    """The end of one stream.

    Where the stream may be resumed, another run at the same engine tells
    whether it was whole. Otherwise, and where the engine does not begin that
    run, the process must outlive its answer.
    """

    def __init__(
        self,
        context: RelayContext,
        attempts: StreamAttempts,
        splitter: EventSplitter,
        patience_s: float,
    ):
        """Prepares the check.

        Args:
            context: state and services that relays share.
            attempts: the attempts at the request.
            splitter: the events that came.
            patience_s: seconds for which another run is awaited.
        """
        self._context = context
        self._attempts = attempts
        self._splitter = splitter
        self._patience_s = patience_s

    async def check(self, answer: EndpointAnswer) -> None:
        """Requires that a stream came to its end.

        Args:
            answer: the answer of its last run, read to its end.

        Raises:
            EndpointFailedError: it did not, or nothing shows that it did.
            OutcomeError: the deadline has passed.
        """
        attempts = self._attempts
        repeat_after = self._splitter.repeat_after
        unrepeated: NoRepeat | None = NoRepeat.IDS
        if repeat_after is not None:
            unrepeated = attempts.take_repeat()
        if repeat_after is not None and unrepeated is None:
            try:
                await self._prove(answer.head, repeat_after)
                return
            except NotRepeatedError:
                unrepeated = NoRepeat.REFUSED
        if self._splitter.lacks_event:
            raise EndpointFailedError('the connection ended before an event')
        await attempts.check_end(
            answer, self._splitter.events, unrepeated=unrepeated
        )
        self._context.ends.require_no_cuts()

    async def _prove(self, head: AnswerHead, repeat_after: str) -> None:
        """Requires that another run ends at the same event.

        While answers are being cut short, the other run may have been cut at
        the same event, unless its framing shows its end. Then a third one must
        end there as well.

        Raises:
            NotRepeatedError: the engine did not begin to run it.
            EndpointFailedError: it ends elsewhere, or does not show where.
        """
        ended_at = self._context.now()
        framing = await self._repeat(head, repeat_after, ended_at)
        if framing is not AnswerFraming.CONNECTION:
            return
        if not self._context.ends.has_seen_cuts:
            return
        if self._attempts.take_repeat() is not None:
            self._context.ends.require_no_cuts()
        await self._repeat(head, repeat_after, ended_at)

    async def _repeat(
        self, head: AnswerHead, repeat_after: str, ended_at: float
    ) -> AnswerFraming:
        """Runs the request once more, and requires that it ends alike.

        Args:
            head: status and headers of the first run.
            repeat_after: id after which the last event comes again.
            ended_at: loop time at which the first run ended.

        Returns:
            What marked the end of the other run.

        Raises:
            NotRepeatedError: the engine did not begin to run it.
            EndpointFailedError: it ends elsewhere, or does not show where.
        """
        began_at = self._context.now()
        framing, detail = '', ''
        found = RepeatedEnd.UNKNOWN
        try:
            repeated = await self._begin(repeat_after)
            framing = repeated.framing
            with contextlib.closing(repeated):
                found = await self._compare(head, repeated, repeat_after)
                await self._require(found, repeated, ended_at)
            return repeated.framing
        except (NotRepeatedError, EndpointFailedError, OutcomeError) as error:
            detail = str(error)
            raise
        finally:
            self._context.metrics.count(f'unframed_ends_repeated_{found}')
            self._context.events.emit(
                EventKind.END_REPEATED,
                self._attempts.served.id,
                endpoint=self._attempts.served.decode,
                after=repeat_after[:MAX_SHOWN_ID],
                last=self._splitter.last_id[:MAX_SHOWN_ID],
                found=found.value,
                framing=framing,
                detail=detail,
                took_s=round(self._context.now() - began_at, 4),
            )

    async def _begin(self, repeat_after: str) -> EndpointAnswer:
        """Begins another run.

        Raises:
            NotRepeatedError: the engine did not begin to run it in time.
            EndpointFailedError: there is no answer.
        """
        try:
            async with asyncio.timeout_at(self._give_up_at()):
                return await self._attempts.repeat(repeat_after)
        except TimeoutError as error:
            raise NotRepeatedError('no other run in time') from error

    async def _compare(
        self, head: AnswerHead, repeated: EndpointAnswer, repeat_after: str
    ) -> RepeatedEnd:
        """Returns where another run ends.

        Raises:
            EndpointFailedError: it breaks off, or answers something else.
        """
        if not repeated.head.continues(head):
            raise EndpointFailedError(
                f'another run: status {repeated.head.status}'
            )
        try:
            async with asyncio.timeout_at(self._give_up_at()):
                return await read_repeated_end(
                    repeated, self._splitter.last_id, repeat_after
                )
        except TimeoutError as error:
            raise EndpointFailedError('another run did not end') from error

    async def _require(
        self, found: RepeatedEnd, repeated: EndpointAnswer, ended_at: float
    ) -> None:
        """Requires that another run ended at the same event, and is whole.

        Args:
            found: where it ended.
            repeated: its answer.
            ended_at: loop time at which the first run ended.

        Raises:
            EndpointFailedError: it did not, or nothing shows that it is whole.
        """
        if found is RepeatedEnd.LATER:
            # The end of a process cuts its own answers only.
            await self._attempts.require_same_process()
            self._context.ends.record_cut()
            raise EndpointHasRestError(f'another run ended: {found}')
        if found is not RepeatedEnd.SAME:
            raise EndpointFailedError(f'another run ended: {found}')
        if repeated.framing is AnswerFraming.CONNECTION:
            # A process that shuts down may end this run at the same event.
            passed_s = self._context.now() - ended_at
            await self._attempts.check_end(
                repeated, 0, STREAM_OUTLIVE.shorten(passed_s)
            )
        else:
            await self._attempts.require_same_process()

    def _give_up_at(self) -> float:
        now = self._context.now()
        return min(now + self._patience_s, self._attempts.deadline_at)
