"""Checks that an answer is whole and in order before callers see it."""

from __future__ import annotations

import logging
from collections.abc import AsyncGenerator, AsyncIterator

from mustardscale.callers.chat_completions import Usage
from mustardscale.callers.service_api import RequestService
from mustardscale.endpoints.caller_requests import LanguageRequest
from mustardscale.endpoints.engines import TokenEvent
from mustardscale.exceptions import OutcomeError
from mustardscale.outcomes import Outcome

log = logging.getLogger(__name__)

_WHOLE_FINISH_REASONS = frozenset({'stop', 'length'})


class CheckedAnswer:
    """The answer to one language request.

    Attributes:
        usage: token counts, without tokens that an earlier stream delivered.
        last_index: index of the last token so far, -1 before the first.
        finish_reason: '' until the answer is whole.
    """

    __slots__ = (
        '_request',
        '_service',
        'finish_reason',
        'last_index',
        'usage',
    )

    def __init__(self, service: RequestService, request: LanguageRequest):
        self._service = service
        self._request = request
        resume_after = request.resume_after
        self.last_index = -1 if resume_after is None else resume_after
        self.finish_reason = ''
        self.usage = Usage(request.prompt.tokens)

    async def events(self) -> AsyncGenerator[TokenEvent, None]:
        """Yields the tokens; closing it ends the request.

        Raises:
            OutcomeError: the answer did not become whole.
        """
        events = self._service.serve_language(self._request)
        try:
            async for event in events:
                self._take(event)
                yield event
        except OutcomeError:
            raise
        except Exception as error:
            log.exception('language request failed')
            raise OutcomeError(Outcome.INTERNAL_ERROR) from error
        finally:
            await _close(events)
        if not self.finish_reason:
            raise OutcomeError(
                Outcome.ENDPOINT_FAILED, 'the answer ended before its end mark'
            )

    def _take(self, event: TokenEvent) -> None:
        """Checks and counts the next tokens."""
        expected = self.last_index + 1
        counts = event.texts or event.finish_reason
        if counts and event.index != expected:
            raise OutcomeError(
                Outcome.INTERNAL_ERROR,
                f'token {event.index} came in place of token {expected}',
            )
        if self.finish_reason:
            raise OutcomeError(
                Outcome.INTERNAL_ERROR, 'tokens came after the end mark'
            )
        if event.finish_reason in _WHOLE_FINISH_REASONS:
            self.finish_reason = event.finish_reason
        elif event.finish_reason:
            raise OutcomeError(
                Outcome.ENDPOINT_FAILED,
                f'the answer was ended early: {event.finish_reason}',
            )
        self.last_index += len(event.texts)
        self.usage.add(len(event.texts))


async def _close(events: AsyncIterator[TokenEvent]) -> None:
    """Closes an iterator, if it can be closed."""
    if isinstance(events, AsyncGenerator):
        await events.aclose()
