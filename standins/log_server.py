"""HTTP server of the log stand-in.

POST /streams/NAME/records takes {"records": [base64, ...]} and answers
{"offsets": [...]}. GET /streams/NAME/records?after=&limit=&wait_s= answers
{"records": [{"offset", "payload"}, ...], "first_offset", "end_offset"}.
"""

from __future__ import annotations

import random

import msgspec
from aiohttp import web

from mustardscale.log.http_log import AppendAnswer, AppendBody
from standins import serving
from standins.log_model import LogConditions, LogModel


def make_log_application(model: LogModel) -> web.Application:
    """Makes the application that serves a log model."""
    app = serving.make_application(model.conditions, model.counters)

    async def append(request: web.Request) -> web.Response:
        serving.refuse_cut_host(request, model.conditions.cut_hosts)
        body = msgspec.json.decode(await request.read(), type=AppendBody)
        name = request.match_info['name']
        offsets = await model.append(name, body.records)
        return serving.json_response(AppendAnswer(offsets))

    async def read(request: web.Request) -> web.Response:
        serving.refuse_cut_host(request, model.conditions.cut_hosts)
        query = request.query
        page = await model.read(
            request.match_info['name'],
            int(query.get('after', 0)),
            int(query.get('limit', 1000)),
            float(query.get('wait_s', 0.0)),
        )
        return serving.json_response(page)

    app.router.add_post('/streams/{name}/records', append)
    app.router.add_get('/streams/{name}/records', read)
    return app


def main() -> None:
    """Runs the stand-in from the command line."""
    conditions = LogConditions()
    parser = serving.make_parser('Log stand-in.', conditions)
    arguments = parser.parse_args()
    serving.apply_fault_arguments(conditions, arguments.fault)

    def make_listener(host: str, port: int) -> serving.Listener:
        model = LogModel(random.Random(arguments.seed), conditions)
        return serving.Listener(make_log_application(model), host, port)

    serving.run(make_listener, arguments.listen)


if __name__ == '__main__':
    main()
