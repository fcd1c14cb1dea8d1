"""Numbered result codes of requests and of the router's own operations."""

from __future__ import annotations

import dataclasses
import enum

import tabulate


class Outcome(enum.IntEnum):
    """A result code.

    The thousands digit is the class: 0 complete, 1 not run and safe to send
    again, 2 ran and failed, 3 outcome unknown, 4 the request is wrong,
    5 internal events that are only logged.
    """

    COMPLETE = 0

    RATE_LIMITED = 1001
    POOL_SATURATED = 1002
    DRAINING = 1003
    LOG_UNAVAILABLE = 1004
    NO_ENDPOINT = 1005
    DEADLINE_TOO_SHORT = 1006
    DIRECTORY_UNAVAILABLE = 1007
    CONFIG_UNAVAILABLE = 1008
    OWNER_UNAVAILABLE = 1009
    ENDPOINT_UNREACHABLE = 1010
    RETRY_BUDGET_SPENT = 1011
    HEAT_LIMIT = 1012
    CALLER_LEFT_BEFORE_START = 1013
    DEADLINE_IN_QUEUE = 1014
    HOST_OVERLOADED = 1015
    VERSION_UNKNOWN = 1016
    VERSION_GONE = 1017

    ENDPOINT_FAILED = 2001
    DEADLINE_EXCEEDED = 2002
    CALLER_LEFT = 2003
    ATTEMPTS_EXHAUSTED = 2004
    STREAM_TAKEN_OVER = 2005
    PLAIN_SERVICE_FAILED = 2006

    ANSWER_LOST = 3001
    CLAIM_HOLDER_GONE = 3002
    CLAIM_EXPIRED = 3003
    CLAIM_UNCERTAIN = 3004

    MALFORMED_REQUEST = 4000
    UNAUTHENTICATED = 4001
    FORBIDDEN_BY_PROFILE = 4002
    UNKNOWN_SERVICE = 4003
    REQUEST_TOO_LARGE = 4004
    REQUEST_TOO_SLOW = 4005
    INVALID_REQUEST_ID = 4006
    REQUEST_ID_REUSED = 4007
    QUARANTINED = 4008
    ALREADY_IN_PROGRESS = 4009
    ALREADY_COMPLETED = 4010
    NOTHING_TO_RESUME = 4011
    PROMPT_TOO_LONG = 4012
    UNSUPPORTED_OPTION = 4013

    PEER_FRAME_MALFORMED = 5001
    PEER_FRAME_TOO_LARGE = 5002
    PEER_VERSION_UNSUPPORTED = 5003
    PEER_UNAVAILABLE = 5004
    RECORD_UNREADABLE = 5101
    RECORD_CONFLICT = 5102
    RECORD_APPEND_UNCERTAIN = 5103
    TOKEN_EVENT_DROPPED = 5201
    ENDPOINT_CRASH_SUSPECTED = 5202
    ORPHAN_STREAM_CANCELLED = 5203
    ORDER_FENCED_OFF = 5301
    ORDER_FAILED = 5302
    ORDER_HELD_BACK = 5303
    WANTED_STATE_REFUSED = 5304
    TRACE_LINE_UNREADABLE = 5401
    TRACE_FULL = 5402
    INTERNAL_ERROR = 5900


class OutcomeClass(enum.IntEnum):
    """The thousands digit of an outcome code."""

    COMPLETE = 0
    NOT_RUN = 1
    RAN_AND_FAILED = 2
    UNKNOWN = 3
    REQUEST_WRONG = 4
    INTERNAL = 5


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeText:
    """What people are told about an outcome code.

    Attributes:
        http_status: status of the HTTP answer that carries the code.
        cause: one line on what happened.
        remedy: one line on what the caller or operator may do.
    """

    http_status: int
    cause: str
    remedy: str


def outcome_class(outcome: Outcome) -> OutcomeClass:
    """Returns the class of an outcome code.

    >>> outcome_class(Outcome.RATE_LIMITED).name
    'NOT_RUN'
    """
    return OutcomeClass(outcome // 1000)


_RETRY = 'Send the same request again after the time in Retry-After.'
_RESEND = 'Send the request again if it is still wanted.'
_FIX = 'Correct the request; sending it unchanged gives the same answer.'
_ASK = 'Look up the outcome at the service before sending it under a new id.'
_LOGGED = 'Nothing for callers to do; operators see the log entry.'

TEXT_BY_OUTCOME: dict[Outcome, OutcomeText] = {
    Outcome.COMPLETE: OutcomeText(200, 'The answer is whole.', 'Nothing.'),
    Outcome.RATE_LIMITED: OutcomeText(
        429, 'The rate limit of the service or its customer is reached.', _RETRY
    ),
    Outcome.POOL_SATURATED: OutcomeText(
        429, 'The pool cannot meet the first-token target now.', _RETRY
    ),
    Outcome.DRAINING: OutcomeText(
        503, 'This entry host is shutting down.', _RETRY
    ),
    Outcome.LOG_UNAVAILABLE: OutcomeText(
        503, 'The log could not record the claim; nothing was sent.', _RETRY
    ),
    Outcome.NO_ENDPOINT: OutcomeText(
        503, 'No live endpoint serves this request.', _RETRY
    ),
    Outcome.DEADLINE_TOO_SHORT: OutcomeText(
        504, 'The deadline cannot be met.', 'Send it with a longer deadline.'
    ),
    Outcome.DIRECTORY_UNAVAILABLE: OutcomeText(
        503, 'The request directory could not be reached.', _RETRY
    ),
    Outcome.CONFIG_UNAVAILABLE: OutcomeText(
        503, 'This entry host has no current configuration.', _RETRY
    ),
    Outcome.OWNER_UNAVAILABLE: OutcomeText(
        503, "The pool's owner could not be reached.", _RETRY
    ),
    Outcome.ENDPOINT_UNREACHABLE: OutcomeText(
        503, 'No connection to the endpoint; nothing was sent.', _RETRY
    ),
    Outcome.RETRY_BUDGET_SPENT: OutcomeText(
        503, 'An attempt was refused and the retry budget is spent.', _RETRY
    ),
    Outcome.HEAT_LIMIT: OutcomeText(
        429, "The floor's limit on concurrent work is reached.", _RETRY
    ),
    Outcome.CALLER_LEFT_BEFORE_START: OutcomeText(
        499, 'The caller left before any work began.', _RESEND
    ),
    Outcome.DEADLINE_IN_QUEUE: OutcomeText(
        504, 'The deadline passed while the request was queued.', _RESEND
    ),
    Outcome.HOST_OVERLOADED: OutcomeText(
        503, 'This entry host serves as many callers as it may.', _RETRY
    ),
    Outcome.VERSION_UNKNOWN: OutcomeText(
        503, 'No host knows the software version of the stream.', _RETRY
    ),
    Outcome.VERSION_GONE: OutcomeText(
        503,
        'No engine runs the software version of the stream.',
        'Ask for a new stream.',
    ),
    Outcome.ENDPOINT_FAILED: OutcomeText(
        502, 'The endpoint failed while it ran the request.', _RESEND
    ),
    Outcome.DEADLINE_EXCEEDED: OutcomeText(
        504, 'The deadline passed while the request ran.', _RESEND
    ),
    Outcome.CALLER_LEFT: OutcomeText(
        499, 'The caller left while the request ran; it was cancelled.', _RESEND
    ),
    Outcome.ATTEMPTS_EXHAUSTED: OutcomeText(
        502, 'Every permitted attempt failed.', _RESEND
    ),
    Outcome.STREAM_TAKEN_OVER: OutcomeText(
        409,
        'The caller resumed this stream at another entry host.',
        'Read the answer from the resumed stream.',
    ),
    Outcome.PLAIN_SERVICE_FAILED: OutcomeText(
        502, 'The plain service failed while it ran the request.', _RESEND
    ),
    Outcome.ANSWER_LOST: OutcomeText(
        502, 'The request was sent but its answer was lost.', _ASK
    ),
    Outcome.CLAIM_HOLDER_GONE: OutcomeText(
        409, 'An earlier send holds this id and its outcome is unknown.', _ASK
    ),
    Outcome.CLAIM_EXPIRED: OutcomeText(
        409, 'The id is older than the claims that the log retains.', _ASK
    ),
    Outcome.CLAIM_UNCERTAIN: OutcomeText(
        503,
        'The log may have recorded a claim that could not be read back.',
        'Send the same id again later; it runs at most once.',
    ),
    Outcome.MALFORMED_REQUEST: OutcomeText(
        400, 'The request cannot be read.', _FIX
    ),
    Outcome.UNAUTHENTICATED: OutcomeText(
        401, 'The token or key is missing or unknown.', _FIX
    ),
    Outcome.FORBIDDEN_BY_PROFILE: OutcomeText(
        403, "The service's profile does not allow this.", _FIX
    ),
    Outcome.UNKNOWN_SERVICE: OutcomeText(
        404, 'No service or model has this name.', _FIX
    ),
    Outcome.REQUEST_TOO_LARGE: OutcomeText(
        413, 'The headers or the body exceed the size limit.', _FIX
    ),
    Outcome.REQUEST_TOO_SLOW: OutcomeText(
        408, 'The request was not received in time.', _RESEND
    ),
    Outcome.INVALID_REQUEST_ID: OutcomeText(
        400, 'The idempotency key is missing or not a UUIDv7.', _FIX
    ),
    Outcome.REQUEST_ID_REUSED: OutcomeText(
        422, 'The id was used before with another content.', _FIX
    ),
    Outcome.QUARANTINED: OutcomeText(
        422, 'Endpoints crashed while they ran this request.', _FIX
    ),
    Outcome.ALREADY_IN_PROGRESS: OutcomeText(
        409,
        'An earlier send of this id is being served.',
        'Wait for its answer, or resume it by its last event id.',
    ),
    Outcome.ALREADY_COMPLETED: OutcomeText(
        409, 'An earlier send of this id was answered.', 'Use that answer.'
    ),
    Outcome.NOTHING_TO_RESUME: OutcomeText(
        404, 'No stream with this id is held.', 'Send the request anew.'
    ),
    Outcome.PROMPT_TOO_LONG: OutcomeText(
        413, "The prompt exceeds the profile's limit.", _FIX
    ),
    Outcome.UNSUPPORTED_OPTION: OutcomeText(
        422, 'The request asks for an option that is not supported.', _FIX
    ),
    Outcome.PEER_FRAME_MALFORMED: OutcomeText(
        500, 'A peer sent a frame that cannot be decoded.', _LOGGED
    ),
    Outcome.PEER_FRAME_TOO_LARGE: OutcomeText(
        500, 'A peer sent a frame above the size limit.', _LOGGED
    ),
    Outcome.PEER_VERSION_UNSUPPORTED: OutcomeText(
        500, 'A peer speaks an unsupported frame version.', _LOGGED
    ),
    Outcome.PEER_UNAVAILABLE: OutcomeText(
        500, 'A peer did not reach another one that a call needs.', _LOGGED
    ),
    Outcome.RECORD_UNREADABLE: OutcomeText(
        500, 'A log record was skipped: it cannot be decoded.', _LOGGED
    ),
    Outcome.RECORD_CONFLICT: OutcomeText(
        409,
        'The change was made from a version that is no longer current.',
        'Read the current version and publish the change again.',
    ),
    Outcome.RECORD_APPEND_UNCERTAIN: OutcomeText(
        503,
        'The append may have taken effect; its answer was lost.',
        'Look for the change id in the history before publishing again.',
    ),
    Outcome.TOKEN_EVENT_DROPPED: OutcomeText(
        500, 'A token event of another stream was dropped.', _LOGGED
    ),
    Outcome.ENDPOINT_CRASH_SUSPECTED: OutcomeText(
        500, 'An endpoint crashed with requests in flight.', _LOGGED
    ),
    Outcome.ORPHAN_STREAM_CANCELLED: OutcomeText(
        500, 'A stream that no live host claims was cancelled.', _LOGGED
    ),
    Outcome.ORDER_FENCED_OFF: OutcomeText(
        500, 'An endpoint refused an order with an old term.', _LOGGED
    ),
    Outcome.ORDER_FAILED: OutcomeText(
        500, 'An order was not accepted or not carried out in time.', _LOGGED
    ),
    Outcome.ORDER_HELD_BACK: OutcomeText(
        500,
        'An order would take the last engine of a role out of service.',
        'Add an engine, or publish the wanted state with allow_outage.',
    ),
    Outcome.WANTED_STATE_REFUSED: OutcomeText(
        422,
        'A wanted state fits no engine or leaves a model without a role.',
        'Correct the wanted state; nothing was published.',
    ),
    Outcome.TRACE_LINE_UNREADABLE: OutcomeText(
        500, 'A line of a trace was skipped: it cannot be read.', _LOGGED
    ),
    Outcome.TRACE_FULL: OutcomeText(
        500, 'The trace has reached its size; recording stopped.', _LOGGED
    ),
    Outcome.INTERNAL_ERROR: OutcomeText(
        500, 'An error inside the router.', _LOGGED
    ),
}


def outcome_table() -> str:
    """Renders the outcome codes as a Markdown table."""
    rows = [
        [int(outcome), outcome.name, text.http_status, text.cause, text.remedy]
        for outcome, text in TEXT_BY_OUTCOME.items()
    ]
    headers = ['Code', 'Name', 'HTTP', 'Cause', 'What to do']
    return tabulate.tabulate(rows, headers, tablefmt='github')
