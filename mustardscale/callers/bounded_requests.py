"""Bounds what one connection may make the HTTP library keep."""

from __future__ import annotations

import asyncio

from aiohttp import StreamReader, web
from aiohttp.http import HttpRequestParser, RawRequestMessage

from mustardscale.callers.bounded_reads import READ_BYTES

# Requests of a connection that may wait for earlier answers. With one, reading
# would pause during each request, and a disconnect would be noticed late.
_REQUESTS_AHEAD = 2
# Headers of a request at most.
MAX_HEADERS = 128
# Bytes around the name and the value of a header, and a few empty lines.
_HEADER_FRAMING_BYTES = 4
_HEAD_SLACK_BYTES = 512
# A body may have one byte of chunk framing per this many bytes of content,
# besides an allowance of one read and the header size. Parsing one-byte chunks
# costs several microseconds each.
_CONTENT_PER_FRAMING_BYTE = 8


class BoundedRequests(web.RequestHandler):
    """The HTTP library's connection, bounded as the bytes arrive.

    The library bounds each line and the number of headers, but goes on to
    parse what follows an error, keeps 32 requests ahead, and reads a body up
    to 512 KiB ahead of its reader.
    """

    __slots__ = (
        '_arriving_body',
        '_body_raw_bytes',
        '_head_bytes',
        '_header_bytes',
        '_is_dropping',
    )

    def __init__(
        self,
        server: web.Server,
        loop: asyncio.AbstractEventLoop,
        header_bytes: int,
        keepalive_timeout_s: float,
        lingering_s: float,
    ):
        """Prepares the connection.

        Args:
            server: the server that it belongs to.
            loop: the event loop.
            header_bytes: size of all headers, and of the request line.
            keepalive_timeout_s: seconds for which it may be idle.
            lingering_s: seconds for which the rest of a refused body is read.
        """
        super().__init__(
            server,
            loop=loop,
            keepalive_timeout=keepalive_timeout_s,
            lingering_time=lingering_s,
            access_log=None,  # type: ignore[arg-type]
            read_bufsize=READ_BYTES,
        )
        # The transport is paused while so many requests wait for earlier
        # answers; the library takes no such argument.
        self._max_msg_queue_size = _REQUESTS_AHEAD
        self._msg_queue_resume_size = _REQUESTS_AHEAD - 1
        self._parser = HttpRequestParser(
            self,
            loop,
            READ_BYTES,
            max_line_size=header_bytes,
            max_field_size=header_bytes,
            max_headers=MAX_HEADERS,
            payload_exception=web.RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=1,
        )
        self._header_bytes = header_bytes
        self._head_bytes = 0
        self._arriving_body: StreamReader | None = None
        self._body_raw_bytes = 0
        self._is_dropping = False

    def data_received(self, data: bytes) -> None:
        """Passes bytes to the parser as long as they keep to the bounds."""
        if self._is_dropping:
            return
        count = self._request_count
        body = self._arriving_body
        super().data_received(data)
        has_ended = body is not None and body.is_eof()
        if has_ended:
            self._arriving_body = None
        if (has_ended or self._request_count != count) and not (
            self._reading_paused or len(self._messages) >= _REQUESTS_AHEAD
        ):
            # The parser stops after each request, and goes on with what it has
            # left over when it is called again.
            super().data_received(b'')
        if self._request_count != count:
            self._begin_request()
        elif body is None:
            self._head_bytes += len(data)
            if self._head_bytes > _max_head_bytes(self._header_bytes):
                self.drop_rest()
                self.on_large_head()
        else:
            self._check_framing(body, len(data))

    @property
    def awaits_head(self) -> bool:
        """Whether nothing is in progress until a head is complete."""
        if self._messages:
            return False
        # Data may come before the library's task waits for the first time.
        return self._waiter is not None or not self._request_count

    def drop_rest(self) -> None:
        """Drops, unparsed, all that arrives from now on."""
        self._is_dropping = True

    def on_large_head(self) -> None:
        """Closes the connection, since a request's head exceeds its limit."""
        self.force_close()

    def on_large_framing(self) -> None:
        """Called when a body's framing exceeds its limit, for subclasses."""

    def _begin_request(self) -> None:
        self._head_bytes = 0
        self._body_raw_bytes = 0
        message, body = self._messages[-1]
        if not isinstance(message, RawRequestMessage):
            # The parser has failed and would do so again and again. The
            # traceback would keep the data until the next collection.
            message.exc.with_traceback(None)
            self.drop_rest()
        self._arriving_body = None if body.is_eof() else body

    def _check_framing(self, body: StreamReader, size: int) -> None:
        """Fails a body that arrives as little else than framing."""
        self._body_raw_bytes += size
        allowed = (
            self._header_bytes
            + READ_BYTES
            + body.total_bytes // _CONTENT_PER_FRAMING_BYTE
        )
        if self._body_raw_bytes - body.total_bytes > allowed:
            self.drop_rest()
            # The library would read the failed body until this time is over.
            self._lingering_time = 0.0
            self.on_large_framing()
            body.set_exception(
                web.RequestPayloadError('the chunks are too small')
            )


def _max_head_bytes(header_bytes: int) -> int:
    """Returns the size of the largest head whose parts keep to the limits.

    >>> _max_head_bytes(16_384)
    33792
    """
    framing = MAX_HEADERS * _HEADER_FRAMING_BYTES
    return 2 * header_bytes + framing + _HEAD_SLACK_BYTES
