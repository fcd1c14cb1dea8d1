"""A caller of a server with a fake service, over loopback sockets."""

import asyncio
import json

import aiohttp

from mustardscale.callers.caller_connections import CallerLimits
from mustardscale.callers.callers_http import CallersServer
from tests.fake_service import FakeService

BOOKING_ID = '01890a5d-ac96-774b-bcce-b302099a8057'
CHAT = {'model': 'model-a', 'messages': [{'role': 'user', 'content': 'hi'}]}
PATIENCE_S = 10


class Client:
    """A caller of a server with a fake service behind it."""

    def __init__(self, service, session, port):
        self.service = service
        self.port = port
        self._session = session

    async def send(self, method, path, token='lm-token', headers=(), **kwargs):
        headers = {'Authorization': f'Bearer {token}', **dict(headers)}
        url = f'http://127.0.0.1:{self.port}{path}'
        async with self._session.request(
            method, url, headers=headers, **kwargs
        ) as answer:
            return answer.status, answer.headers, await answer.read()

    async def chat(self, body=None, headers=(), **changes):
        body = json.dumps({**CHAT, **changes}) if body is None else body
        return await self.send(
            'POST', '/v1/chat/completions', headers=headers, data=body
        )

    async def raw(self, data):
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        writer.write(data)
        return reader, writer

    async def raw_chat(self, **changes):
        body = json.dumps({**CHAT, 'stream': True, **changes}).encode()
        return await self.raw(chat_head(len(body)) + body)


def chat_head(length):
    return (
        b'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n'
        b'Authorization: Bearer lm-token\r\nContent-Length: %d\r\n\r\n' % length
    )


def served(test, limits=None):
    """Runs a test with a client of a server on loopback."""

    async def run():
        service = FakeService()
        server = CallersServer(service, limits or CallerLimits(), grace_s=1)
        port = await server.start('127.0.0.1', 0)
        async with aiohttp.ClientSession() as session:
            try:
                async with asyncio.timeout(PATIENCE_S):
                    await test(Client(service, session, port))
            finally:
                await server.stop()

    asyncio.run(run())


def code(body):
    return json.loads(body)['code']


def stream_events(body):
    """Returns the events of a stream as (id, event, data)."""
    events = []
    for block in body.decode().strip().split('\n\n'):
        fields = dict(line.split(': ', 1) for line in block.split('\n'))
        events.append((fields.get('id'), fields.get('event'), fields['data']))
    return events
