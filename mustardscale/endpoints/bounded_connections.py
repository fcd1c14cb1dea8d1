"""HTTP client connections that bound the bytes around an answer's content."""

from __future__ import annotations

import asyncio
import functools
import math
import socket
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError

from mustardscale.endpoints.loop_rounds import LoopRounds
from mustardscale.endpoints.silent_addresses import SilentAddresses
from mustardscale.endpoints.tcp_connect import open_socket
from mustardscale.endpoints.unsent_bytes import count_unsent_bytes

# Bytes of an answer that are no content (heads, chunk sizes, chunk extensions,
# trailers): a fixed allowance, and so many for each byte of content. A chunk of
# a single byte has five.
MAX_OVERHEAD_BYTES = 512 * 1024
MAX_OVERHEAD_PER_BYTE = 16
# Maximum number of interim answers (1xx) before the final one.
MAX_INTERIM_ANSWERS = 16
_FIRST_FINAL_STATUS = 200
# The statuses that there are (RFC 9110, section 15).
_STATUSES = range(100, 600)
# Ends HTTP on a connection, for which no client here asks.
_SWITCHING_PROTOCOLS = 101


class OverheadTooLargeError(aiohttp.ClientError):
    """An answer has far more bytes than content."""


class TooManyInterimAnswersError(aiohttp.ClientError):
    """More than MAX_INTERIM_ANSWERS interim answers came before a final one."""


class MalformedAnswerError(aiohttp.ClientError):
    """The parser has given up on an answer, or its status is unsound."""


class BoundedResponseHandler(ResponseHandler):
    """A connection that is aborted when its answer exceeds the bounds.

    Readers bound the content, and the parser each line of a head. The parser
    passes over chunk extensions of any length, and neither bounds what arrives
    while nobody reads. So the bytes and the heads are counted where they
    arrive, for each request of the connection.

    Attributes:
        ended_after: loop time before which the other side had not ended the
            connection, negative infinity if it has not done so yet.
        unsent_bytes: bytes of the request that had not arrived when the other
            side was seen to end the connection.
    """

    def __init__(
        self, loop: Any, rounds: LoopRounds, silent_addresses: SilentAddresses
    ):
        super().__init__(loop)
        self.ended_after = -math.inf
        self.unsent_bytes = 0
        self._rounds = rounds
        self._silent_addresses = silent_addresses
        self._address: Any = None
        self._is_watching = False
        self._sent_at = -math.inf
        self._received_at = -math.inf
        # Loop time at which reading was last resumed, and the time before
        # which nothing had come that was unread when it was paused.
        self._resumed_at = -math.inf
        self._unread_after = -math.inf
        self._received_bytes = 0
        self._heads = 0
        self._violation: aiohttp.ClientError | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Notes the address of the other side."""
        super().connection_made(transport)
        self._address = transport.get_extra_info('peername')

    def is_connected(self) -> bool:
        """Returns whether it is open and, if idle, not known to be lost."""
        if not super().is_connected():
            return False
        is_answered = self._received_bytes > 0
        return not is_answered or not self._silent_addresses.may_be_silent(
            self._address, self._received_at
        )

    def close(self) -> None:
        """Closes the connection, and notes if no byte of an answer came."""
        self._note_unanswered()
        super().close()

    def abort(self) -> None:
        """Does the same at once."""
        self._note_unanswered()
        super().abort()

    def _note_unanswered(self) -> None:
        was_sent = self._sent_at > -math.inf
        if self.transport is None or not was_sent or self._received_bytes:
            return
        self._silent_addresses.record(
            self._address, self._sent_at, self._loop.time()
        )

    def set_response_params(self, **params: Any) -> None:
        """Prepares for the answer to the next request."""
        self._received_bytes = 0
        self._heads = 0
        self._sent_at = self._loop.time()
        self._start_watch()
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Parses data, and aborts if it has too many bytes but content."""
        self._received_at = self._loop.time()
        super().data_received(data)
        if isinstance(self._exception, HttpProcessingError):
            # aiohttp tells only those who wait for a head.
            self._fail_content(MalformedAnswerError(self._exception.message))
        self._received_bytes += len(data)
        content = 0 if self._payload is None else self._payload.total_bytes
        overhead = self._received_bytes - content
        if overhead > MAX_OVERHEAD_BYTES + MAX_OVERHEAD_PER_BYTE * content:
            self._abort(
                OverheadTooLargeError(
                    f'{overhead} bytes beside {content} bytes of content'
                )
            )

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Queues a head that was parsed.

        Aborts if there are too many or its status is unsound.
        """
        self._heads += 1
        if self._heads > MAX_INTERIM_ANSWERS + 1:
            self._abort(TooManyInterimAnswersError('no final answer came'))
            return
        message, _ = data
        is_sound = (
            message.code in _STATUSES and message.code != _SWITCHING_PROTOCOLS
        )
        if not is_sound:
            self._abort(MalformedAnswerError(f'status {message.code}'))
            return
        is_final = message.code >= _FIRST_FINAL_STATUS
        if is_final and not message.should_close:
            # The end of the connection does not end the answer.
            self._stop_watch()
        super().feed_data(data, size)

    def pause_reading(self) -> None:
        """Pauses reading, so that the end of the connection may wait."""
        if not self._reading_paused:
            self._unread_after = self._find_earliest_arrival()
        super().pause_reading()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resumes reading, if it is paused."""
        if self._reading_paused:
            self._resumed_at = self._loop.time()
        super().resume_reading(resume_parser)

    def eof_received(self) -> None:
        """Records how the other side ended the connection."""
        self.ended_after = self._find_earliest_arrival()
        if self.transport is not None:
            self.unsent_bytes = count_unsent_bytes(self.transport)
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the answer."""
        self._stop_watch()
        super().connection_lost(exc)

    def set_exception(self, exc: BaseException, *cause: BaseException) -> None:
        """Sets the error of the connection, unless it was aborted here."""
        if self._violation is None:
            super().set_exception(exc, *cause)

    def _find_earliest_arrival(self) -> float:
        """Returns the loop time before which what is read now was not there."""
        earliest = max(self._sent_at, self._rounds.find_earliest_arrival())
        if earliest <= self._resumed_at:
            return self._unread_after
        return earliest

    def _start_watch(self) -> None:
        if self.transport is not None and not self._is_watching:
            self._is_watching = True
            self._rounds.start_watch()

    def _stop_watch(self) -> None:
        if self._is_watching:
            self._is_watching = False
            self._rounds.stop_watch()

    def _abort(self, error: aiohttp.ClientError) -> None:
        if self._violation is not None:
            return
        self.set_exception(error)
        self._violation = error
        self._fail_content(error)
        # Without a parser, the end of the connection is no error of the content
        # that would replace this one.
        self._parser = None
        if self.transport is not None:
            self.transport.abort()

    def _fail_content(self, error: aiohttp.ClientError) -> None:
        payload = self._payload
        if payload is None or payload.is_eof() or payload.exception():
            return
        payload.set_exception(error)


def _make_socket(addr_info: aiohttp.AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = addr_info
    return socket.socket(family, kind, protocol)


class BoundedConnector(aiohttp.TCPConnector):
    """Makes connections that bound the bytes around an answer's content.

    A connection to a single numeric address waits for no thread.
    """

    def __init__(
        self,
        *,
        socket_factory: aiohttp.SocketFactoryType = _make_socket,
        **options: Any,
    ):
        super().__init__(socket_factory=socket_factory, **options)
        self._make_socket = socket_factory
        self._rounds = LoopRounds(self._loop)
        # None where each connection carries one request.
        self._silent_addresses = SilentAddresses(self._keepalive_timeout or 0.0)
        # aiohttp offers no argument for the class of its connections.
        self._factory = functools.partial(self._make_handler)

    def _make_handler(self) -> ResponseHandler:
        return BoundedResponseHandler(
            self._loop, self._rounds, self._silent_addresses
        )

    async def _wrap_create_connection(
        self,
        *args: Any,
        addr_infos: list[aiohttp.AddrInfoType],
        req: aiohttp.ClientRequest,
        timeout: aiohttp.ClientTimeout,
        client_error: type[Exception] = aiohttp.ClientConnectorError,
        **kwargs: Any,
    ) -> tuple[asyncio.Transport, ResponseHandler]:
        """Connects, with the errors of the base class.

        TLS, and a choice between several addresses, are left to the base class.
        """
        if req.is_ssl() or len(addr_infos) > 1:
            return await super()._wrap_create_connection(
                *args,
                addr_infos=addr_infos,
                req=req,
                timeout=timeout,
                client_error=client_error,
                **kwargs,
            )
        try:
            async with asyncio.timeout(timeout.sock_connect or None):
                return await self._connect(addr_infos[0], *args, **kwargs)
        except TimeoutError as error:
            if error.errno is None:
                raise
            raise client_error(req.connection_key, error) from error
        except OSError as error:
            raise client_error(req.connection_key, error) from error

    async def _connect(
        self, addr_info: aiohttp.AddrInfoType, *args: Any, **kwargs: Any
    ) -> tuple[asyncio.Transport, ResponseHandler]:
        sock = self._make_socket(addr_info)
        await open_socket(sock, addr_info[-1])
        return await self._loop.create_connection(*args, **kwargs, sock=sock)
