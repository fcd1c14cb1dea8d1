"""Reads and checks the headers of callers' requests."""

from __future__ import annotations

import dataclasses
import re
from collections.abc import Iterable

import uuid_utils
from multidict import CIMultiDictProxy

from mustardscale.exceptions import OutcomeError
from mustardscale.outcomes import Outcome

IDEMPOTENCY_KEY_HEADER = 'Idempotency-Key'
LAST_EVENT_ID_HEADER = 'Last-Event-ID'
DEADLINE_HEADER = 'X-Deadline-Seconds'

MAX_DEADLINE_S = 86_400.0
MAX_ID_LENGTH = 128

_TIMESTAMPED_UUID_VERSION = 7
_ID = re.compile(rf'[!-~]{{1,{MAX_ID_LENGTH}}}')
_UUID = re.compile(r'[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}')
_UUID_VERSION_INDEX = 14
_UUID_VARIANT_INDEX = 19
_EVENT_INDEX = re.compile(r'-1|[0-9]{1,9}')
# Undecodable bytes of headers arrive as surrogates.
_SURROGATE = re.compile('[\ud800-\udfff]')
_SECONDS = re.compile(r'[0-9]{1,6}(\.[0-9]{1,9})?')

# Headers about one connection, or consumed here, that are not passed on.
_NOT_PASSED_ON = frozenset(
    {
        'authorization',
        'connection',
        'content-length',
        'expect',
        'host',
        'idempotency-key',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-deadline-seconds',
        'x-request-id',
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class LastEvent:
    """The last event that a caller received of a broken stream.

    Attributes:
        request_id: id of the request.
        index: index of the last token, -1 for none.
    """

    request_id: str
    index: int


def bearer_token(headers: CIMultiDictProxy[str]) -> str:
    """Returns the bearer token.

    Raises:
        OutcomeError: UNAUTHENTICATED, when there is none.
    """
    scheme, _, token = _single(headers, 'Authorization').partition(' ')
    token = token.strip()
    if scheme.lower() != 'bearer' or not token or not token.isascii():
        raise OutcomeError(Outcome.UNAUTHENTICATED)
    return token


def request_id(headers: CIMultiDictProxy[str]) -> str:
    """Returns the caller's id for the request, '' if there is none.

    Raises:
        OutcomeError: INVALID_REQUEST_ID.
    """
    key = _single(headers, IDEMPOTENCY_KEY_HEADER)
    if key and not _ID.fullmatch(key):
        raise OutcomeError(
            Outcome.INVALID_REQUEST_ID,
            f'{IDEMPOTENCY_KEY_HEADER} must be 1 to {MAX_ID_LENGTH} visible'
            ' ASCII characters',
        )
    return key


def new_request_id() -> str:
    """Returns a new id that carries its time."""
    return str(uuid_utils.uuid7())


def timestamped_id(key: str) -> str:
    """Returns the canonical form of a UUIDv7.

    Two spellings of one id must not count as two ids.

    >>> timestamped_id('01890A5D-AC96-774B-BCCE-B302099A8057')
    '01890a5d-ac96-774b-bcce-b302099a8057'

    Raises:
        OutcomeError: INVALID_REQUEST_ID.
    """
    lowered = key.lower()
    if (
        not _UUID.fullmatch(lowered)
        or lowered[_UUID_VERSION_INDEX] != str(_TIMESTAMPED_UUID_VERSION)
        or lowered[_UUID_VARIANT_INDEX] not in '89ab'
    ):
        raise OutcomeError(
            Outcome.INVALID_REQUEST_ID,
            f'{IDEMPOTENCY_KEY_HEADER} must be a UUIDv7 for a method that is'
            ' not idempotent',
        )
    return lowered


def timeout_s(headers: CIMultiDictProxy[str]) -> float | None:
    """Returns the time to the deadline in seconds, None if not given.

    Raises:
        OutcomeError: MALFORMED_REQUEST.
    """
    given = _single(headers, DEADLINE_HEADER)
    if not given:
        return None
    seconds = float(given) if _SECONDS.fullmatch(given) else 0.0
    if not 0 < seconds <= MAX_DEADLINE_S:
        raise OutcomeError(
            Outcome.MALFORMED_REQUEST,
            f'{DEADLINE_HEADER} must be above 0 and at most {MAX_DEADLINE_S}',
        )
    return seconds


def last_event(headers: CIMultiDictProxy[str]) -> LastEvent | None:
    """Returns the last event received, None for a first send.

    Raises:
        OutcomeError: MALFORMED_REQUEST.
    """
    given = _single(headers, LAST_EVENT_ID_HEADER)
    if not given:
        return None
    key, _, index = given.rpartition(':')
    if not _ID.fullmatch(key) or not _EVENT_INDEX.fullmatch(index):
        raise OutcomeError(
            Outcome.MALFORMED_REQUEST,
            f'{LAST_EVENT_ID_HEADER} must be REQUEST_ID:INDEX',
        )
    return LastEvent(key, int(index))


def end_to_end_headers(
    headers: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Leaves out the headers that concern one connection only.

    Raises:
        OutcomeError: MALFORMED_REQUEST, when one is not UTF-8.
    """
    pairs = list(headers)
    if any(_SURROGATE.search(value) for _, value in pairs):
        raise OutcomeError(
            Outcome.MALFORMED_REQUEST, 'a header value is not UTF-8'
        )
    dropped = set(_NOT_PASSED_ON)
    for name, value in pairs:
        if name.lower() == 'connection':
            dropped.update(item.strip().lower() for item in value.split(','))
    return tuple(pair for pair in pairs if pair[0].lower() not in dropped)


def _single(headers: CIMultiDictProxy[str], name: str) -> str:
    """Returns a header that may be given once, '' if it is missing.

    Raises:
        OutcomeError: MALFORMED_REQUEST, when it is repeated.
    """
    values = headers.getall(name, [])
    if len(values) > 1:
        raise OutcomeError(
            Outcome.MALFORMED_REQUEST, f'{name} is given more than once'
        )
    return values[0].strip() if values else ''
