"""Converts calls to endpoints to the messages between hosts, and back."""

from __future__ import annotations

import asyncio

from mustardscale.endpoints.answer_framing import AnswerFraming
from mustardscale.exceptions import (
    EndpointFailedError,
    EndpointGoneError,
    EndpointRefusedError,
    EndpointUnreachableError,
)
from mustardscale.peers.forward_messages import (
    ForwardedHandle,
    ForwardedRequest,
    ForwardOutcome,
    ForwardReply,
    HeaderField,
)
from mustardscale.relay.endpoint_listener import EndpointListener
from mustardscale.relay.relay_endpoint import PrefillHandle, RelayCall
from mustardscale.relay.relay_messages import (
    AnswerHead,
    Headers,
    RelayRequest,
)


def pack_request(call: RelayCall) -> ForwardedRequest:
    """Returns the message for a request to run or to prefill."""
    request = call.request
    now = asyncio.get_running_loop().time()
    return ForwardedRequest(
        request.id,
        request.host,
        request.method,
        request.target,
        pack_headers(request.headers),
        request.body,
        call.deadline_at - now,
        call.resume_after,
        call.priority,
        call.backup,
    )


def unpack_call(
    request: ForwardedRequest, handle: ForwardedHandle
) -> RelayCall:
    """Returns the call that a message asks for."""
    now = asyncio.get_running_loop().time()
    return RelayCall(
        RelayRequest(
            request.id,
            request.host,
            request.method,
            request.target,
            unpack_headers(request.headers),
            request.body,
            now,
            request.deadline_s,
        ),
        now + request.deadline_s,
        unpack_handle(handle),
        request.resume_after,
        request.priority,
        request.backup,
    )


def pack_headers(headers: Headers) -> tuple[HeaderField, ...]:
    """Returns the message for header fields."""
    return tuple(HeaderField(name, value) for name, value in headers)


def unpack_headers(fields: tuple[HeaderField, ...]) -> Headers:
    """Returns the header fields of a message."""
    return tuple((field.name, field.value) for field in fields)


def pack_handle(handle: PrefillHandle | None) -> ForwardedHandle:
    """Returns the message for a prefill result."""
    if handle is None:
        return ForwardedHandle()
    now = asyncio.get_running_loop().time()
    return ForwardedHandle(
        handle.engine_id, handle.source, handle.key, handle.kept_until - now
    )


def unpack_handle(handle: ForwardedHandle) -> PrefillHandle | None:
    """Returns the prefill result of a message, None if it has none."""
    if not handle.key:
        return None
    now = asyncio.get_running_loop().time()
    return PrefillHandle(
        handle.engine, handle.source, handle.key, now + handle.keep_s
    )


def unpack_head(reply: ForwardReply) -> tuple[AnswerHead, AnswerFraming]:
    """Returns the beginning of an answer, and what marks its end."""
    head = AnswerHead(reply.status, unpack_headers(reply.headers))
    return head, AnswerFraming(reply.framing)


def record_notices(reply: ForwardReply, listener: EndpointListener) -> None:
    """Records what the endpoint stated of itself to the other host."""
    if reply.leaving:
        listener.record_leaving()
    if reply.busy_s > 0:
        listener.record_busy(reply.busy_s)
    if reply.limit_per_s >= 0:
        listener.record_rate_limit(reply.limit_per_s)
    elif reply.outcome is ForwardOutcome.DONE and 200 <= reply.status < 300:
        listener.record_rate_limit(None)


def raise_failure(reply: ForwardReply, host: str) -> None:
    """Raises the error that a forwarded call ended with.

    Raises:
        EndpointUnreachableError: nothing was sent to the endpoint;
            EndpointGoneError if the connection was refused.
        EndpointRefusedError: the endpoint did not run the request.
        EndpointFailedError: the endpoint may have run it.
    """
    if reply.outcome is ForwardOutcome.DONE:
        return
    if reply.outcome is ForwardOutcome.REFUSED:
        raise EndpointRefusedError(reply.detail)
    detail = f'through {host}: {reply.detail}'
    if reply.outcome is ForwardOutcome.FAILED:
        raise EndpointFailedError(detail, reply.crashed)
    if reply.gone:
        raise EndpointGoneError(detail)
    raise EndpointUnreachableError(detail)
