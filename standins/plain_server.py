"""HTTP server of the plain service's stand-in.

Any method and path is a call, with its id in Idempotency-Key. A crash cuts
all connections and closes the port until the restart.
"""

from __future__ import annotations

import asyncio
import random

from aiohttp import web

from mustardscale.endpoints.engines import REFUSED_LEAVING
from mustardscale.endpoints.http_plain import IDEMPOTENCY_KEY, REFUSED_REASON
from standins import serving
from standins.plain_model import (
    CrashedError,
    LeavingError,
    NotListeningError,
    PlainConditions,
    PlainModel,
)


def make_plain_application(model: PlainModel) -> web.Application:
    """Makes the application that serves a plain service's model."""
    app = serving.make_application(model.conditions, model.counters)

    async def call(request: web.Request) -> web.Response:
        request_id = request.headers.get(IDEMPOTENCY_KEY, '')
        body = await request.read()
        try:
            result = await model.run(
                request_id, request.method, request.path_qs, body
            )
        except LeavingError:
            answer = serving.json_response({'reason': REFUSED_LEAVING}, 503)
            answer.headers[REFUSED_REASON] = REFUSED_LEAVING
            return answer
        except (CrashedError, NotListeningError):
            return serving.drop_connection(request)
        answer = serving.json_response(result)
        answer.headers[IDEMPOTENCY_KEY] = request_id
        return answer

    app.router.add_route('*', '/{path:.*}', call)
    return app


class CrashingListener(serving.Listener):
    """A listener whose port is closed while its model is down."""

    __slots__ = ('_model', '_restart')

    def __init__(self, model: PlainModel, host: str, port: int):
        super().__init__(make_plain_application(model), host, port)
        self._model = model
        self._restart: asyncio.Task[None] | None = None
        model.on_crash = self._start_restart

    def _start_restart(self) -> None:
        self._restart = asyncio.ensure_future(self._reopen_after_restart())

    async def _reopen_after_restart(self) -> None:
        await self.close_socket()
        await asyncio.sleep(self._model.conditions.restart_s)
        await self.open()

    async def close(self) -> None:
        """Stops listening and releases everything."""
        if self._restart is not None:
            self._restart.cancel()
        await super().close()


def main() -> None:
    """Runs the stand-in from the command line."""
    conditions = PlainConditions()
    parser = serving.make_parser('Plain service stand-in.', conditions)
    parser.add_argument(
        '--capacity', type=int, default=64, help='executions at a time'
    )
    arguments = parser.parse_args()
    serving.apply_fault_arguments(conditions, arguments.fault)

    def make_listener(host: str, port: int) -> serving.Listener:
        rng = random.Random(arguments.seed)
        model = PlainModel(rng, conditions, arguments.capacity)
        return CrashingListener(model, host, port)

    serving.run(make_listener, arguments.listen)


if __name__ == '__main__':
    main()
