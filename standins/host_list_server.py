"""HTTP server of the host list's stand-in.

GET /hosts answers {"hosts": [...]}; POST /hosts takes a HostChange.
"""

from __future__ import annotations

import http
import pathlib

import msgspec
import xxhash
from aiohttp import web

from mustardscale.hosts.http_host_list import HostsAnswer
from standins import serving
from standins.host_list_model import (
    HostChange,
    HostListConditions,
    HostListModel,
)


def make_host_list_application(model: HostListModel) -> web.Application:
    """Makes the application that serves a host list's model."""
    app = serving.make_application(model.conditions, model.counters)

    async def read(request: web.Request) -> web.Response:
        serving.refuse_cut_host(request, model.conditions.cut_hosts)
        content = msgspec.json.encode(HostsAnswer(await model.fetch()))
        etag = f'"{xxhash.xxh3_64_hexdigest(content)}"'
        if request.headers.get('If-None-Match') == etag:
            return web.Response(
                status=http.HTTPStatus.NOT_MODIFIED, headers={'ETag': etag}
            )
        return web.Response(
            body=content,
            content_type='application/json',
            headers={'ETag': etag},
        )

    async def change(request: web.Request) -> web.Response:
        content = await request.read()
        model.change(msgspec.json.decode(content, type=HostChange))
        return serving.json_response({})

    app.router.add_get('/hosts', read)
    app.router.add_post('/hosts', change)
    return app


def main() -> None:
    """Runs the stand-in from the command line."""
    conditions = HostListConditions()
    parser = serving.make_parser('Host list stand-in.', conditions)
    parser.add_argument(
        '--hosts',
        type=pathlib.Path,
        metavar='FILE',
        help='JSON file with the first hosts, as GET /hosts answers them',
    )
    arguments = parser.parse_args()
    serving.apply_fault_arguments(conditions, arguments.fault)
    hosts = []
    if arguments.hosts is not None:
        content = arguments.hosts.read_bytes()
        hosts = msgspec.json.decode(content, type=HostsAnswer).hosts

    def make_listener(host: str, port: int) -> serving.Listener:
        model = HostListModel(hosts, conditions)
        return serving.Listener(make_host_list_application(model), host, port)

    serving.run(make_listener, arguments.listen)


if __name__ == '__main__':
    main()
