"""The model engine stand-in behind HTTP.

Run it with `python -m standins.engine_server --listen 127.0.0.1:9000`.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import logging
import sys
from collections.abc import AsyncGenerator, Awaitable, Callable
from typing import TypeVar

import aiohttp
import msgspec
from aiohttp import web

from mustardscale.endpoints.engines import (
    DecodeCall,
    EngineOrder,
    PrefillCall,
    TokenEvent,
)
from mustardscale.endpoints.event_stream import encode_event
from mustardscale.endpoints.http_engine import Refusal
from mustardscale.exceptions import (
    EndpointFailedError,
    EndpointRefusedError,
    EndpointUnreachableError,
)
from standins import serving
from standins.engine_faults import FaultChange, apply_faults
from standins.engine_model import EngineModel
from standins.engine_parameters import EngineParameters
from standins.faults import StandinRefusedError
from standins.http_kv_source import HttpKvSource
from standins.weight_store_server import load_weights

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 8 * 1024 * 1024
# Time between the answer to a kill and the crash, seconds.
KILL_DELAY_S = 0.02

_STATUS_REFUSED = 409
_STATUS_MALFORMED = 400
_STATUS_UNAVAILABLE = 503

T = TypeVar('T')
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class EngineServer:
    """Serves an engine model; it is made when the server starts.

    Attributes:
        serving: set while new connections are taken, not after a crash.
    """

    def __init__(
        self,
        parameters: EngineParameters,
        host: str,
        port: int,
        weight_store: str = '',
    ):
        """Binds nothing yet.

        Args:
            parameters: size and speed of the engine.
            host: address to listen on.
            port: port to listen on; 0 takes a free one.
            weight_store: 'ip:port' of the weight store; '' loads at once.
        """
        self._parameters = parameters
        self._host = host
        self._weight_store = weight_store
        app = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[self._errors]
        )
        app.add_routes(self._routes())
        self._listener = serving.Listener(
            app, host, port, cancels_handlers=True
        )
        self.serving = asyncio.Event()
        self._restart: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """URL of the engine."""
        return f'http://{self._host}:{self._listener.port}'

    async def start(self) -> None:
        """Creates the engine and serves."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=None)
        )
        self.model = EngineModel(
            self._parameters,
            HttpKvSource(self._session),
            load_model=self._load_weights if self._weight_store else None,
        )
        self.model.on_crash = self._crash
        await self._listener.open()
        self.serving.set()

    async def stop(self) -> None:
        """Stops serving and drops all work."""
        if self._restart is not None:
            self._restart.cancel()
        self.model.on_crash = lambda down_s: None
        self.model.close()
        await self._listener.close()
        await self._session.close()

    def _routes(self) -> list[web.RouteDef]:
        stream = '/v1/streams/{request_id}/{attempt}'
        return [
            web.post('/v1/prefill', self._prefill),
            web.post('/v1/decode', self._decode),
            web.get('/v1/streams', self._streams),
            web.get(stream, self._resume),
            web.delete(stream, self._cancel),
            web.get('/v1/load', self._load),
            web.get('/v1/cache/events', self._cache_events),
            web.post('/v1/orders', self._order),
            web.get('/v1/kv/{kv_id}', self._export),
            web.get('/faults', self._get_faults),
            web.post('/faults', self._set_faults),
            web.get('/counters', self._counters),
        ]

    async def _load_weights(self, model: str, version: str) -> None:
        """Loads weights; waits as often as the store asks for it."""
        while True:
            try:
                await load_weights(
                    self._session, self._weight_store, model, version
                )
                return
            except StandinRefusedError as error:
                log.info('weight store refused: %s', error)
                await asyncio.sleep(error.retry_after_s)

    def _crash(self, down_s: float) -> None:
        """Cuts all connections and refuses new ones for a time."""
        self.serving.clear()
        if self._restart is not None:
            self._restart.cancel()
        self._restart = asyncio.create_task(self._come_back(down_s))

    async def _come_back(self, down_s: float) -> None:
        await self._listener.close_socket()
        await asyncio.sleep(down_s)
        await self._listener.open()
        self.serving.set()

    @web.middleware
    async def _errors(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        try:
            return await handler(request)
        except EndpointRefusedError as error:
            return serving.json_response(Refusal(error.reason), _STATUS_REFUSED)
        except EndpointUnreachableError as error:
            return web.Response(status=_STATUS_UNAVAILABLE, text=str(error))
        except EndpointFailedError as error:
            if not error.crashed:
                await asyncio.Event().wait()
            return serving.drop_connection(request)
        except (msgspec.MsgspecError, ValueError) as error:
            return web.Response(status=_STATUS_MALFORMED, text=str(error))

    async def _prefill(self, request: web.Request) -> web.StreamResponse:
        call = await _read(request, PrefillCall)
        return serving.json_response(await self.model.prefill(call))

    async def _decode(self, request: web.Request) -> web.StreamResponse:
        call = await _read(request, DecodeCall)
        return await _send_events(request, self.model.decode(call))

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        request_id, attempt = _stream_key(request)
        from_index = int(request.query.get('from', '0'))
        events = self.model.resume(request_id, attempt, from_index)
        return await _send_events(request, events)

    async def _cancel(self, request: web.Request) -> web.StreamResponse:
        await self.model.cancel(*_stream_key(request))
        return serving.json_response(None)

    async def _streams(self, request: web.Request) -> web.StreamResponse:
        return serving.json_response(await self.model.streams())

    async def _load(self, request: web.Request) -> web.StreamResponse:
        return serving.json_response(await self.model.report())

    async def _cache_events(self, request: web.Request) -> web.StreamResponse:
        after = int(request.query.get('after', '0'))
        return serving.json_response(await self.model.cache_events(after))

    async def _order(self, request: web.Request) -> web.StreamResponse:
        await self.model.order(await _read(request, EngineOrder))
        return serving.json_response(None)

    async def _export(self, request: web.Request) -> web.StreamResponse:
        rate = float(request.query['rate'])
        return serving.json_response(
            await self.model.export_kv(request.match_info['kv_id'], rate)
        )

    async def _get_faults(self, request: web.Request) -> web.StreamResponse:
        return serving.json_response(self.model.faults)

    async def _set_faults(self, request: web.Request) -> web.StreamResponse:
        change = await _read(request, FaultChange)
        apply_faults(self.model, dataclasses.replace(change, kill=False))
        response = serving.json_response(self.model.faults)
        if change.kill:
            # The answer leaves before the crash cuts this connection too.
            response.force_close()
            loop = asyncio.get_running_loop()
            loop.call_later(KILL_DELAY_S, self.model.kill, change.down_s)
        return response

    async def _counters(self, request: web.Request) -> web.StreamResponse:
        return serving.json_response(self.model.state())


async def _read(request: web.Request, content_type: type[T]) -> T:
    return msgspec.json.decode(await request.read(), type=content_type)


def _stream_key(request: web.Request) -> tuple[str, int]:
    return request.match_info['request_id'], int(request.match_info['attempt'])


async def _send_events(
    request: web.Request, events: AsyncGenerator[TokenEvent, None]
) -> web.StreamResponse:
    """Sends a stream; a refusal before the first event becomes a status."""
    response = web.StreamResponse(headers={'Content-Type': 'text/event-stream'})
    try:
        async for event in events:
            if not response.prepared:
                await response.prepare(request)
            await response.write(encode_event(msgspec.json.encode(event)))
    except EndpointFailedError:
        serving.drop_connection(request)
    finally:
        await events.aclose()
    if not response.prepared:
        await response.prepare(request)
    return response


def _is_true(text: str) -> bool:
    return text.lower() in ('1', 'true', 'yes')


def _parse(arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        description='A stand-in for a model engine.'
    )
    parser.add_argument('--listen', default='127.0.0.1:0', metavar='IP:PORT')
    parser.add_argument('--id', default='engine', help='name in the log')
    parser.add_argument('--weight-store', default='', metavar='IP:PORT')
    defaults = EngineParameters()
    for field in dataclasses.fields(EngineParameters):
        default = getattr(defaults, field.name)
        flag = '--' + field.name.replace('_', '-')
        kind = _is_true if isinstance(default, bool) else type(default)
        parser.add_argument(flag, type=kind, default=default)
    return parser.parse_args(arguments)


async def serve(arguments: list[str]) -> None:
    """Serves until SIGTERM or SIGINT."""
    options = _parse(arguments)
    names = [field.name for field in dataclasses.fields(EngineParameters)]
    settings = {name: getattr(options, name) for name in names}
    host, _, port = options.listen.rpartition(':')
    server = EngineServer(
        EngineParameters(**settings), host, int(port), options.weight_store
    )
    stopped = serving.stop_signal()
    await server.start()
    log.info('engine %s listens at %s', options.id, server.address)
    await stopped.wait()
    await server.stop()


if __name__ == '__main__':
    serving.log_json_lines()
    asyncio.run(serve(sys.argv[1:]))
