"""What the stand-ins' HTTP servers share."""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import http
import json
import logging
import math
import signal
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from aiohttp import web

from mustardscale.endpoints.http_sessions import HOST_ID_HEADER
from standins.faults import (
    OUTAGE_RETRY_AFTER_S,
    AnswerLostError,
    StandinRefusedError,
    update_fields,
)

# Bytes of a request's body that a stand-in takes at most.
MAX_BODY_BYTES = 64 * 1024 * 1024
# Seconds for which a stopping stand-in waits for calls under way.
SHUTDOWN_TIMEOUT_S = 0.5

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class JsonLineFormatter(logging.Formatter):
    """Formats each log entry as one JSON object on a line.

    Fields given as extra={'fields': {...}} are added to the object.
    """

    def format(self, record: logging.LogRecord) -> str:
        """Returns the entry's line."""
        entry = {
            'time': self.formatTime(record),
            'level': record.levelname.lower(),
            'logger': record.name,
            'message': record.getMessage(),
        }
        entry.update(getattr(record, 'fields', {}))
        if record.exc_info:
            entry['error'] = self.formatException(record.exc_info)
        return json.dumps(entry, default=str)


def json_response(value: Any, status: int = 200) -> web.Response:
    """Answers with a value that msgspec can encode."""
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        content_type='application/json',
    )


def refusal(error: StandinRefusedError, status: int) -> web.Response:
    """Answers that a call was refused, and when to come back."""
    answer = json_response({'reason': str(error)}, status)
    answer.headers['Retry-After'] = str(math.ceil(error.retry_after_s))
    return answer


def refuse_cut_host(request: web.Request, cut_hosts: list[str]) -> None:
    """Refuses calls of hosts that are cut from this stand-in.

    Raises:
        StandinRefusedError: the calling host is cut.
    """
    if request.headers.get(HOST_ID_HEADER, '') in cut_hosts:
        raise StandinRefusedError('cut', OUTAGE_RETRY_AFTER_S)


def drop_connection(request: web.Request) -> web.Response:
    """Closes a request's connection without an answer.

    Returns:
        a response that is never delivered, for the handler to return.
    """
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


@web.middleware
async def _map_errors(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    try:
        return await handler(request)
    except StandinRefusedError as error:
        return refusal(error, http.HTTPStatus.SERVICE_UNAVAILABLE)
    except AnswerLostError:
        return drop_connection(request)
    except (msgspec.DecodeError, ValueError) as error:
        return json_response({'reason': str(error)}, 400)


def make_application(conditions: Any, counters: Any) -> web.Application:
    """Makes an application with the endpoints that every stand-in has.

    GET and POST /faults read and change the conditions, GET /counters reads
    the counters. Refusals become 503 with Retry-After, lost answers close the
    connection, and wrong requests become 400.

    Args:
        conditions: a dataclass instance.
        counters: a dataclass instance.
    """
    app = web.Application(
        middlewares=[_map_errors], client_max_size=MAX_BODY_BYTES
    )

    async def read_faults(request: web.Request) -> web.Response:
        return json_response(conditions)

    async def change_faults(request: web.Request) -> web.Response:
        changes = msgspec.json.decode(await request.read(), type=dict)
        update_fields(conditions, changes)
        return json_response(conditions)

    async def read_counters(request: web.Request) -> web.Response:
        return json_response(counters)

    app.router.add_get('/faults', read_faults)
    app.router.add_post('/faults', change_faults)
    app.router.add_get('/counters', read_counters)
    return app


def make_parser(description: str, conditions: Any) -> argparse.ArgumentParser:
    """Makes a parser with --listen, --seed and --fault NAME=VALUE."""
    names = ', '.join(field.name for field in dataclasses.fields(conditions))
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument(
        '--listen', default='127.0.0.1:0', metavar='IP:PORT', help='address'
    )
    parser.add_argument(
        '--seed', type=int, default=1, help='seed of random choices'
    )
    parser.add_argument(
        '--fault',
        action='append',
        default=[],
        metavar='NAME=VALUE',
        help=f'a condition at the start, one of {names}',
    )
    return parser


def apply_fault_arguments(conditions: Any, arguments: list[str]) -> None:
    """Sets the conditions given by --fault NAME=VALUE, or exits."""
    changes: dict[str, str] = {}
    for argument in arguments:
        name, _, value = argument.partition('=')
        changes[name] = value
    try:
        update_fields(conditions, changes)
    except ValueError as error:
        raise SystemExit(f'--fault: {error}') from error


class Listener:
    """A listening socket that can be closed and opened again on its port.

    Attributes:
        port: the port, known once opened.
    """

    __slots__ = ('_app', '_host', '_runner', '_site', 'port')

    def __init__(
        self,
        app: web.Application,
        host: str,
        port: int,
        cancels_handlers: bool = False,
    ):
        """Binds nothing yet.

        Args:
            app: what is served.
            host: IP number to listen on.
            port: port to listen on; 0 takes any free port.
            cancels_handlers: whether a handler ends when its caller leaves.
        """
        self._app = app
        self._host = host
        self._runner = web.AppRunner(
            app,
            access_log=None,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            handler_cancellation=cancels_handlers,
        )
        self._site: web.TCPSite | None = None
        self.port = port

    async def open(self) -> None:
        """Starts to listen."""
        if self._runner.server is None:
            await self._runner.setup()
        self._site = web.TCPSite(
            self._runner, self._host, self.port, reuse_address=True
        )
        await self._site.start()
        self.port = self._runner.addresses[0][1]

    async def close_socket(self) -> None:
        """Stops listening and cuts all connections."""
        if self._site is not None:
            await self._site.stop()
            self._site = None
        server = self._runner.server
        for protocol in server.connections if server is not None else ():
            if protocol.transport is not None:
                protocol.transport.abort()

    async def close(self) -> None:
        """Stops listening and releases everything."""
        await self._runner.cleanup()


async def serve(listener: Listener) -> None:
    """Serves until SIGTERM or SIGINT; logs the port once it listens."""
    log = logging.getLogger('standins')
    stopped = stop_signal()
    await listener.open()
    log.info('listening', extra={'fields': {'port': listener.port}})
    await stopped.wait()
    await listener.close()


def stop_signal() -> asyncio.Event:
    """Returns an event that SIGTERM and SIGINT set."""
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    return stopped


def log_json_lines() -> None:
    """Writes the process's log as JSON lines to standard error."""
    handler = logging.StreamHandler()
    handler.setFormatter(JsonLineFormatter())
    logging.basicConfig(level=logging.INFO, handlers=[handler])


def run(make_listener: Callable[[str, int], Listener], listen: str) -> None:
    """Serves on 'ip:port' with JSON-lines logging.

    Args:
        make_listener: called in the loop with the IP number and the port.
        listen: 'ip:port'; port 0 takes any free port.
    """
    log_json_lines()
    host, _, port = listen.rpartition(':')

    async def main() -> None:
        await serve(make_listener(host, int(port)))

    asyncio.run(main())
