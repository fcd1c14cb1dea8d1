"""Tells how the end of an HTTP answer is marked, and how it was reached."""

from __future__ import annotations

import enum

import aiohttp

from mustardscale.endpoints.http_sessions import ObservedResponse
from mustardscale.exceptions import EndpointFailedError

_NO_CONTENT = 204
_NOT_MODIFIED = 304


class AnswerFraming(enum.StrEnum):
    """What marks the end of an answer's content (RFC 9112, section 6.3).

    Attributes:
        NONE: the answer has no content by its status or the request's method.
        LENGTH: the length that its head states.
        CHUNKED: the last chunk.
        CONNECTION: the end of the connection, so that the content alone does
            not tell a whole answer from one that broke off.
    """

    NONE = 'none'
    LENGTH = 'length'
    CHUNKED = 'chunked'
    CONNECTION = 'connection'


def find_framing(response: aiohttp.ClientResponse) -> AnswerFraming:
    """Returns what marks the end of an answer's content.

    Raises:
        EndpointFailedError: the content has a transfer coding other than
            chunked alone, so that it would be passed on as other bytes.
    """
    if response.method == 'HEAD' or response.status in (
        _NO_CONTENT,
        _NOT_MODIFIED,
    ):
        return AnswerFraming.NONE
    codings = [
        coding.strip().lower()
        for line in response.headers.getall('Transfer-Encoding', [])
        for coding in line.split(',')
    ]
    if codings == ['chunked']:
        return AnswerFraming.CHUNKED
    if codings:
        raise EndpointFailedError(f'transfer coding {", ".join(codings)[:100]}')
    if 'Content-Length' in response.headers:
        return AnswerFraming.LENGTH
    return AnswerFraming.CONNECTION


def find_ended_after(response: aiohttp.ClientResponse) -> float:
    """Returns the loop time before which an answer's connection had not ended.

    Returns:
        Negative infinity if that is not known.
    """
    assert isinstance(response, ObservedResponse)
    return response.find_connection_ended_after()


def require_request_read(response: aiohttp.ClientResponse) -> None:
    """Requires that an answer did not end in front of its request.

    An endpoint that has read a request has acknowledged it before the end of
    the answer. One that ends its answer earlier may just have broken off, so
    readers of an answer that the end of its connection delimits ask here.

    Raises:
        EndpointFailedError: part of the request had not arrived.
    """
    assert isinstance(response, ObservedResponse)
    unsent = response.count_unsent_bytes()
    if unsent:
        raise EndpointFailedError(
            f'the answer ended before {unsent} bytes of its request arrived'
        )


def find_reset(response: aiohttp.ClientResponse) -> str:
    """Returns the error that ended an answer's connection, '' if none did.

    aiohttp takes a reset for the regular end of an answer that the end of its
    connection delimits, so readers of such an answer ask here.
    """
    assert isinstance(response, ObservedResponse)
    error = response.find_connection_error()
    if isinstance(error, aiohttp.ClientOSError):
        return str(error) or type(error).__name__
    return ''
