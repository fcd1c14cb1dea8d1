"""Outcome codes as HTTP answers: problem details after RFC 9457."""

from __future__ import annotations

import dataclasses
import math

import msgspec
from aiohttp import web

from mustardscale.exceptions import OutcomeError
from mustardscale.outcomes import (
    TEXT_BY_OUTCOME,
    Outcome,
    OutcomeClass,
    outcome_class,
)

PROBLEM_CONTENT_TYPE = 'application/problem+json'
REQUEST_ID_HEADER = 'X-Request-Id'
REQUEST_ID_KEY = web.RequestKey('request_id', str)

# Seconds told to callers where the cause of a refusal gives no time.
DEFAULT_RETRY_AFTER_S = 1.0

_RETRY_STATUSES = frozenset({429, 503})


@dataclasses.dataclass(frozen=True, slots=True)
class ProblemDetails:
    """The JSON members of a problem.

    Attributes:
        type: reference to the code's description.
        title: name of the outcome.
        status: HTTP status.
        detail: what happened.
        code: number of the outcome.
        remedy: what the caller may do.
        retry_after: seconds after which a new send may succeed, or None.
        request_id: id of the request, '' where it was not read.
    """

    type: str
    title: str
    status: int
    detail: str
    code: int
    remedy: str
    retry_after: float | None
    request_id: str = ''


def problem_of(error: OutcomeError, request_id: str = '') -> ProblemDetails:
    """Describes an outcome.

    >>> problem = problem_of(OutcomeError(Outcome.NO_ENDPOINT))
    >>> problem.code, problem.title, problem.retry_after
    (1005, 'NO_ENDPOINT', 1.0)
    """
    outcome = error.outcome
    text = TEXT_BY_OUTCOME[outcome]
    return ProblemDetails(
        type=f'urn:mustardscale:outcome:{int(outcome)}',
        title=outcome.name,
        status=text.http_status,
        detail=error.detail,
        code=int(outcome),
        remedy=text.remedy,
        retry_after=_retry_after(error),
        request_id=request_id,
    )


def problem_json(error: OutcomeError, request_id: str = '') -> bytes:
    """Serialises an outcome's problem details."""
    return msgspec.json.encode(problem_of(error, request_id))


def problem_response(
    error: OutcomeError, request_id: str = '', status: int | None = None
) -> web.Response:
    """Builds the HTTP answer to a request that ended with an outcome."""
    problem = problem_of(error, request_id)
    if status is not None:
        problem = dataclasses.replace(problem, status=status)
    headers = {}
    if problem.retry_after is not None:
        headers['Retry-After'] = str(max(1, math.ceil(problem.retry_after)))
    if request_id:
        headers[REQUEST_ID_HEADER] = request_id
    if error.outcome is Outcome.UNAUTHENTICATED:
        headers['WWW-Authenticate'] = 'Bearer'
    return web.Response(
        status=problem.status,
        reason=error.outcome.name,
        body=msgspec.json.encode(problem),
        content_type=PROBLEM_CONTENT_TYPE,
        headers=headers,
    )


def _retry_after(error: OutcomeError) -> float | None:
    """Returns the time after which a new send may succeed, seconds."""
    given = error.retry_after_s
    if given is not None and math.isfinite(given):
        return max(0.0, given)
    if outcome_class(error.outcome) is not OutcomeClass.NOT_RUN:
        return None
    if TEXT_BY_OUTCOME[error.outcome].http_status in _RETRY_STATUSES:
        return DEFAULT_RETRY_AFTER_S
    return None
