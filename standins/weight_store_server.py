"""HTTP server of the weight store's stand-in, and a load from it.

GET /weights/MODEL/VERSION answers a WeightLoad once the weights would have
been read, or 429 with Retry-After over the limit. No weights are sent.
"""

from __future__ import annotations

import http
from urllib.parse import quote

import aiohttp
import msgspec
from aiohttp import web

from standins import serving
from standins.faults import StandinRefusedError
from standins.weight_store_model import (
    WeightLoad,
    WeightStoreConditions,
    WeightStoreModel,
)

# Seconds to wait if the store does not say when to come back.
DEFAULT_RETRY_AFTER_S = 1.0


def make_weight_store_application(model: WeightStoreModel) -> web.Application:
    """Makes the application that serves a weight store's model."""
    app = serving.make_application(model.conditions, model.counters)

    async def load(request: web.Request) -> web.Response:
        path = request.match_info
        try:
            loaded = await model.load(path['model'], path['version'])
        except StandinRefusedError as error:
            return serving.refusal(error, http.HTTPStatus.TOO_MANY_REQUESTS)
        return serving.json_response(loaded)

    app.router.add_get('/weights/{model}/{version}', load)
    return app


async def load_weights(
    session: aiohttp.ClientSession, address: str, model: str, version: str
) -> WeightLoad:
    """Loads weights from the store at 'ip:port'.

    Raises:
        StandinRefusedError: the store refused the load or cannot be reached.
    """
    path = f'{quote(model, safe="")}/{quote(version, safe="")}'
    try:
        async with session.get(f'http://{address}/weights/{path}') as response:
            content = await response.read()
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise StandinRefusedError(str(error), DEFAULT_RETRY_AFTER_S) from error
    if response.status != http.HTTPStatus.OK:
        retry_after_s = response.headers.get('Retry-After')
        raise StandinRefusedError(
            f'status {response.status}',
            float(retry_after_s or DEFAULT_RETRY_AFTER_S),
        )
    return msgspec.json.decode(content, type=WeightLoad)


def main() -> None:
    """Runs the stand-in from the command line."""
    conditions = WeightStoreConditions()
    parser = serving.make_parser('Weight store stand-in.', conditions)
    arguments = parser.parse_args()
    serving.apply_fault_arguments(conditions, arguments.fault)

    def make_listener(host: str, port: int) -> serving.Listener:
        app = make_weight_store_application(WeightStoreModel(conditions))
        return serving.Listener(app, host, port)

    serving.run(make_listener, arguments.listen)


if __name__ == '__main__':
    main()
